import { pipeline, Readable, Transform } from 'node:stream'
import type { ServingError } from '../contracts/verdict.js'
import type { Service } from '../contracts/siteConfiguration.js'
import { CALLER_HEADERS } from '../requests/headers.js'
import { errorResult, isIdempotent, type ServingResult, type CallerRequest } from './callerRequest.js'
import { MAXIMUM_RECORDED_RESPONSE_BYTES, type KeyOutcome, type IdempotencyKeyTask } from './idempotencyKeyTask.js'

const KEY_UNAVAILABLE: ServingError = { code: 'keyUnavailable', verdict: 'notRun', message: 'the idempotency key cannot be checked at the moment; send the request again with the same key', retryAfterSeconds: 2 }
const OUTCOME_UNKNOWN: ServingError = { code: 'outcomeUnknown', verdict: 'mayHaveRun', message: 'a request with this idempotency key runs or may have run', retryAfterSeconds: 2 }
const ALREADY_RAN: ServingError = { code: 'alreadyRan', verdict: 'ran', message: 'a request with this idempotency key has run; its answer is not kept' }

/** Runs a non-idempotent request with an idempotency key at most once, and records its response. */
export class IdempotencyGuard {
  constructor (private readonly keys: Pick<IdempotencyKeyTask, 'acquire' | 'recordOutcome'>) {}

  /** Runs the request, or returns the result that its key requires. The key of a forwarded request is not checked again, because the instance that forwarded the request has checked it. */
  async serve (request: CallerRequest, service: Service, run: () => Promise<ServingResult>): Promise<ServingResult> {
    const header = request.headers.find(([name]) => name.toLowerCase() === CALLER_HEADERS.idempotencyKey)?.[1]
    if (header === undefined || request.isForwarded || isIdempotent(service, request.method)) return await run()
    const key = `${request.service}:${header}`
    const decision = await this.keys.acquire(key, request.identity, request.deadline)
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

  /** Records the outcome of a request. An unknown outcome is not recorded: the key stays acquired until the idempotency window has passed. */
  private record (key: string, request: string, result: ServingResult): ServingResult {
    if (result.kind === 'error') {
      if (result.error.verdict === 'notRun') this.keys.recordOutcome(key, request, { kind: 'notRun' })
      return result
    }
    const contentType = result.headers['content-type']
    const toOutcome = (body: Buffer | undefined): KeyOutcome => ({ kind: 'ended', status: result.status, contentType: contentType === undefined ? undefined : String(contentType), bodyBase64: body?.toString('base64') })
    const recorder = new BodyRecorder()
    // If the response breaks off, the body passed on breaks off too, and the outcome is recorded without a body.
    pipeline(result.body, recorder, error => { this.keys.recordOutcome(key, request, toOutcome(error === null || error === undefined ? recorder.recordedBody : undefined)) })
    return { ...result, body: recorder }
  }
}

/** Passes a body through, and buffers it while it is small enough to be recorded. */
class BodyRecorder extends Transform {
  private chunks: Buffer[] | undefined = []
  private size = 0

  /** The body, or undefined if it was too large. */
  get recordedBody (): Buffer | undefined {
    return this.chunks === undefined ? undefined : Buffer.concat(this.chunks)
  }

  override _transform (chunk: Buffer, _encoding: BufferEncoding, callback: (error: null, chunk: Buffer) => void): void {
    this.size += chunk.length
    if (this.size > MAXIMUM_RECORDED_RESPONSE_BYTES) this.chunks = undefined
    this.chunks?.push(chunk)
    callback(null, chunk)
  }
}
