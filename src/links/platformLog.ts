import { Agent, request } from 'undici'
import { describeError } from '../base/logger.js'
import { appendResponseSchema, readResponseSchema, type AppendResponse, type ReadResponse } from '../contracts/platformProtocol.js'
import type { RecordEnvelope } from '../contracts/records.js'
import { isConnectFailure } from './connectFailure.js'

/** The platform's append-only log. Every method rejects if the log is unavailable; an append may still have taken effect, unless it rejects with `AppendRefusedError`. */
export abstract class PlatformLog {
  abstract append (stream: string, records: readonly RecordEnvelope[], signal?: AbortSignal): Promise<AppendResponse>

  /** Reads records from offset `from`; if there are none, waits up to `waitMilliseconds` for one. */
  abstract read (stream: string, from: number, limit: number, waitMilliseconds: number, signal?: AbortSignal): Promise<ReadResponse>
}

/** An append that is known to have had no effect. */
export class AppendRefusedError extends Error {}

/** Returns whether an error status means that nothing was appended; after any other error status the append may have taken effect. */
function isRefusal (status: number): boolean {
  return (status >= 400 && status < 500) || status === 503
}

const REQUEST_TIMEOUT_MILLISECONDS = 3000

/** Accesses the log over HTTP with JSON. */
export class HttpPlatformLog extends PlatformLog {
  constructor (private readonly address: string, private readonly agent: Agent) {
    super()
  }

  override async append (stream: string, records: readonly RecordEnvelope[], signal?: AbortSignal): Promise<AppendResponse> {
    const body = JSON.stringify({ records })
    const response = await this.sendAppend(stream, body, signal)
    if (response.statusCode !== 200) {
      await response.body.dump()
      const message = `the platform's log responded to append with status ${response.statusCode}`
      throw isRefusal(response.statusCode) ? new AppendRefusedError(message) : new Error(message)
    }
    return appendResponseSchema.parse(await response.body.json())
  }

  private async sendAppend (stream: string, body: string, signal: AbortSignal | undefined): ReturnType<typeof request> {
    try {
      return await request(`${this.address}/streams/${encodeURIComponent(stream)}/records`, {
        method: 'POST', body, headers: { 'content-type': 'application/json' }, dispatcher: this.agent, signal, headersTimeout: REQUEST_TIMEOUT_MILLISECONDS, bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS
      })
    } catch (error) {
      throw isConnectFailure(error) ? new AppendRefusedError(describeError(error), { cause: error }) : error
    }
  }

  override async read (stream: string, from: number, limit: number, waitMilliseconds: number, signal?: AbortSignal): Promise<ReadResponse> {
    const query = new URLSearchParams({ from: String(from), limit: String(limit), waitMilliseconds: String(waitMilliseconds) })
    const response = await request(`${this.address}/streams/${encodeURIComponent(stream)}/records?${query}`, {
      dispatcher: this.agent, signal, headersTimeout: REQUEST_TIMEOUT_MILLISECONDS + waitMilliseconds, bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS
    })
    return readResponseSchema.parse(await readJson(response, 'read'))
  }
}

async function readJson (response: Awaited<ReturnType<typeof request>>, action: string): Promise<unknown> {
  if (response.statusCode === 200) return await response.body.json()
  await response.body.dump()
  throw new Error(`the platform's log responded to ${action} with status ${response.statusCode}`)
}
