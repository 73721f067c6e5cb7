import { Agent, request } from 'undici'
import { appendAnswerSchema, readAnswerSchema, type AppendAnswer, type ReadAnswer } from '../contracts/platformProtocol.js'
import type { RecordEnvelope } from '../contracts/records.js'

/** The platform's append-only log. Every method rejects when the log is away; an append may have taken effect nevertheless. */
export abstract class PlatformLog {
  abstract append (stream: string, records: readonly RecordEnvelope[], signal?: AbortSignal): Promise<AppendAnswer>

  /** Reads from `from`; waits up to `waitMilliseconds` for a record if there is none. */
  abstract read (stream: string, from: number, limit: number, waitMilliseconds: number, signal?: AbortSignal): Promise<ReadAnswer>
}

/** Time after which an unanswered call counts as failed, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 3000

/** The log by HTTP and JSON. */
export class HttpPlatformLog extends PlatformLog {
  constructor (private readonly address: string, private readonly agent: Agent) {
    super()
  }

  override async append (stream: string, records: readonly RecordEnvelope[], signal?: AbortSignal): Promise<AppendAnswer> {
    const body = JSON.stringify({ records })
    const answer = await request(`${this.address}/streams/${encodeURIComponent(stream)}/records`, {
      method: 'POST', body, headers: { 'content-type': 'application/json' }, dispatcher: this.agent, signal, headersTimeout: CALL_TIMEOUT_MILLISECONDS, bodyTimeout: CALL_TIMEOUT_MILLISECONDS
    })
    return appendAnswerSchema.parse(await readJson(answer, 'append'))
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
