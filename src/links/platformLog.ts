import { Agent, request } from 'undici'
import { describeError } from '../base/logger.js'
import { appendResponseSchema, readResponseSchema, type AppendResponse, type ReadResponse } from '../contracts/platformProtocol.js'
import type { RecordEnvelope } from '../contracts/records.js'
import { isConnectFailure } from './connectFailure.js'

/** The platform's append-only log. Every method rejects when the log is away; an append may have taken effect nevertheless, unless it rejects with `AppendRefusedError`. */
export abstract class PlatformLog {
  abstract append (stream: string, records: readonly RecordEnvelope[], signal?: AbortSignal): Promise<AppendResponse>

  /** Reads from `from`; waits up to `waitMilliseconds` for a record if there is none. */
  abstract read (stream: string, from: number, limit: number, waitMilliseconds: number, signal?: AbortSignal): Promise<ReadResponse>
}

/** The log has certainly not taken the records of an append. */
export class AppendRefusedError extends Error {}

/** Statuses by which the log states that it has appended nothing; after any other error status it may have. */
function isRefusal (status: number): boolean {
  return (status >= 400 && status < 500) || status === 503
}

/** Time after which an unanswered call counts as failed, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 3000

/** The log by HTTP and JSON. */
export class HttpPlatformLog extends PlatformLog {
  constructor (private readonly address: string, private readonly agent: Agent) {
    super()
  }

  override async append (stream: string, records: readonly RecordEnvelope[], signal?: AbortSignal): Promise<AppendResponse> {
    const body = JSON.stringify({ records })
    const answer = await this.sendAppend(stream, body, signal)
    if (answer.statusCode !== 200) {
      await answer.body.dump()
      const message = `the platform's log answered append with status ${answer.statusCode}`
      throw isRefusal(answer.statusCode) ? new AppendRefusedError(message) : new Error(message)
    }
    return appendResponseSchema.parse(await answer.body.json())
  }

  private async sendAppend (stream: string, body: string, signal: AbortSignal | undefined): ReturnType<typeof request> {
    try {
      return await request(`${this.address}/streams/${encodeURIComponent(stream)}/records`, {
        method: 'POST', body, headers: { 'content-type': 'application/json' }, dispatcher: this.agent, signal, headersTimeout: CALL_TIMEOUT_MILLISECONDS, bodyTimeout: CALL_TIMEOUT_MILLISECONDS
      })
    } catch (error) {
      throw isConnectFailure(error) ? new AppendRefusedError(describeError(error), { cause: error }) : error
    }
  }

  override async read (stream: string, from: number, limit: number, waitMilliseconds: number, signal?: AbortSignal): Promise<ReadResponse> {
    const query = new URLSearchParams({ from: String(from), limit: String(limit), waitMilliseconds: String(waitMilliseconds) })
    const answer = await request(`${this.address}/streams/${encodeURIComponent(stream)}/records?${query}`, {
      dispatcher: this.agent, signal, headersTimeout: CALL_TIMEOUT_MILLISECONDS + waitMilliseconds, bodyTimeout: CALL_TIMEOUT_MILLISECONDS
    })
    return readResponseSchema.parse(await readJson(answer, 'read'))
  }
}

async function readJson (answer: Awaited<ReturnType<typeof request>>, action: string): Promise<unknown> {
  if (answer.statusCode === 200) return await answer.body.json()
  await answer.body.dump()
  throw new Error(`the platform's log answered ${action} with status ${answer.statusCode}`)
}
