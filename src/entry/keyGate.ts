import { pipeline, Readable, Transform } from 'node:stream'
import type { ServingError } from '../contracts/verdict.js'
import type { Service } from '../contracts/siteConfiguration.js'
import { CALLER_HEADERS } from '../requests/headers.js'
import { errorResult, isIdempotent, type ServingResult, type CallerRequest } from './callerRequest.js'
import { RECORDED_ANSWER_BYTES, type KeyOutcome, type KeyTask } from './keyTask.js'

const KEY_UNAVAILABLE: ServingError = { code: 'keyUnavailable', verdict: 'notRun', message: 'the idempotency key cannot be checked at the moment; send the request again with the same key', retryAfterSeconds: 2 }
const OUTCOME_UNKNOWN: ServingError = { code: 'outcomeUnknown', verdict: 'mayHaveRun', message: 'a request with this idempotency key runs or may have run', retryAfterSeconds: 2 }
const ALREADY_RAN: ServingError = { code: 'alreadyRan', verdict: 'ran', message: 'a request with this idempotency key has run; its answer is not kept' }

/** Lets a non-idempotent request with an idempotency key run at most once, and records its answer. */
export class KeyGate {
  constructor (private readonly keys: Pick<KeyTask, 'begin' | 'end'>) {}

  /** Runs the request, or answers it from what is known of its key. The instance that forwarded a request has checked its key. */
  async serve (request: CallerRequest, service: Service, run: () => Promise<ServingResult>): Promise<ServingResult> {
    const header = request.headers.find(([name]) => name.toLowerCase() === CALLER_HEADERS.idempotencyKey)?.[1]
    if (header === undefined || request.isForwarded || isIdempotent(service, request.method)) return await run()
    const key = `${request.service}:${header}`
    const decision = await this.keys.begin(key, request.identity, request.deadline)
    switch (decision.kind) {
      case 'unavailable':
        return errorResult(KEY_UNAVAILABLE)
      case 'outcomeUnknown':
        return errorResult(OUTCOME_UNKNOWN)
      case 'alreadyRan':
        return errorResult(ALREADY_RAN)
      case 'recorded': {
        const headers: Record<string, string> = decision.contentType === undefined ? {} : { 'content-type': decision.contentType }
        return { kind: 'answer', status: decision.status, headers, body: Readable.from([Buffer.from(decision.bodyBase64, 'base64')], { objectMode: false }) }
      }
      case 'run':
        return this.record(key, request.identity, await run())
    }
  }

  /** An unknown outcome is not recorded: the key stays with the request until the window has passed. */
  private record (key: string, request: string, answer: ServingResult): ServingResult {
    if (answer.kind === 'error') {
      if (answer.error.verdict === 'notRun') this.keys.end(key, request, { kind: 'notRun' })
      return answer
    }
    const contentType = answer.headers['content-type']
    const ended = (body: Buffer | undefined): KeyOutcome => ({ kind: 'ended', status: answer.status, contentType: contentType === undefined ? undefined : String(contentType), bodyBase64: body?.toString('base64') })
    const copy = new BodyCopy()
    // The whole answer is passed on or the copy breaks off as the answer did.
    pipeline(answer.body, copy, error => { this.keys.end(key, request, ended(error === null || error === undefined ? copy.whole : undefined)) })
    return { ...answer, body: copy }
  }
}

/** Passes a body on and keeps it while it is small. */
class BodyCopy extends Transform {
  private chunks: Buffer[] | undefined = []
  private size = 0

  /** The body; undefined if it was too large. */
  get whole (): Buffer | undefined {
    return this.chunks === undefined ? undefined : Buffer.concat(this.chunks)
  }

  override _transform (chunk: Buffer, _encoding: BufferEncoding, callback: (error: null, chunk: Buffer) => void): void {
    this.size += chunk.length
    if (this.size > RECORDED_ANSWER_BYTES) this.chunks = undefined
    this.chunks?.push(chunk)
    callback(null, chunk)
  }
}
