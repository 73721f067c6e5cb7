import { Agent, request } from 'undici'
import { appendAnswerSchema, readAnswerSchema, type AppendAnswer, type ReadAnswer } from '../contracts/platformProtocol.js'
import type { RecordEnvelope } from '../contracts/records.js'

/** The platform's append-only log. Every method rejects when the log is away; an append may have taken effect nevertheless, unless it rejects with `AppendRefusedError`. */
export abstract class PlatformLog {
  abstract append (stream: string, records: readonly RecordEnvelope[], signal?: AbortSignal): Promise<AppendAnswer>

  /** Reads from `from`; waits up to `waitMilliseconds` for a record if there is none. */
  abstract read (stream: string, from: number, limit: number, waitMilliseconds: number, signal?: AbortSignal): Promise<ReadAnswer>
}

/** The log has certainly not taken the records of an append. */
export class AppendRefusedError extends Error {}

/** Reasons of a failed call that rule out that the log has received it. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Time after which an unanswered call counts as failed, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 3000

/** The log by HTTP and JSON. */
export class HttpPlatformLog extends PlatformLog {
  constructor (private readonly address: string, private readonly agent: Agent) {
    super()
  }

  override async append (stream: string, records: readonly RecordEnvelope[], signal?: AbortSignal): Promise<AppendAnswer> {
    const body = JSON.stringify({ records })
    const answer = await this.sendAppend(stream, body, signal)
    if (answer.statusCode !== 200) {
      await answer.body.dump()
      throw new AppendRefusedError(`the platform's log refused an append with status ${answer.statusCode}`)
    }
    return appendAnswerSchema.parse(await answer.body.json())
  }

  private async sendAppend (stream: string, body: string, signal: AbortSignal | undefined): ReturnType<typeof request> {
    try {
      return await request(`${this.address}/streams/${encodeURIComponent(stream)}/records`, {
        method: 'POST', body, headers: { 'content-type': 'application/json' }, dispatcher: this.agent, signal, headersTimeout: CALL_TIMEOUT_MILLISECONDS, bodyTimeout: CALL_TIMEOUT_MILLISECONDS
      })
    } catch (error) {
      const code = (error as { code?: unknown }).code
      if (typeof code === 'string' && NOT_CONNECTED_CODES.has(code)) throw new AppendRefusedError(code, { cause: error })
      throw error
    }
  }

  override async read (stream: string, from: number, limit: number, waitMilliseconds: number, signal?: AbortSignal): Promise<ReadAnswer> {
    const query = new URLSearchParams({ from: String(from), limit: String(limit), waitMilliseconds: String(waitMilliseconds) })
    const answer = await request(`${this.address}/streams/${encodeURIComponent(stream)}/records?${query}`, {
      dispatcher: this.agent, signal, headersTimeout: CALL_TIMEOUT_MILLISECONDS + waitMilliseconds, bodyTimeout: CALL_TIMEOUT_MILLISECONDS
    })
    return readAnswerSchema.parse(await readJson(answer, 'read'))
  }
}

async function readJson (answer: Awaited<ReturnType<typeof request>>, action: string): Promise<unknown> {
  if (answer.statusCode === 200) return await answer.body.json()
  await answer.body.dump()
  throw new Error(`the platform's log answered ${action} with status ${answer.statusCode}`)
}
