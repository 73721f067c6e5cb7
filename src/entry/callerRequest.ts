import type { Readable } from 'node:stream'
import type { ServingError } from '../contracts/verdict.js'
import type { Service, Urgency } from '../contracts/siteText.js'
import type { DispatchableRequest } from '../requests/poolDispatcher.js'
import type { RequestBody } from './requestBody.js'

/** A caller's request after its head has been checked. Times are monotonic milliseconds. */
export interface CallerRequest {
  readonly identity: string
  readonly service: string
  readonly method: string
  readonly path: string
  readonly headers: ReadonlyArray<[string, string]>
  readonly body: RequestBody
  readonly urgency: Urgency
  readonly deadline: number
  readonly signal: AbortSignal
  /** Whether an instance of another failure domain sent it on; it is not forwarded again. */
  readonly isForwarded?: boolean
}

/** What the caller gets. */
export type ServingResult =
  | { readonly kind: 'answer', readonly status: number, readonly headers: Record<string, string | string[]>, readonly body: Readable }
  | { readonly kind: 'error', readonly error: ServingError }

const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])

/** Whether a request may run twice without harm. */
export function isIdempotent (service: Service, method: string): boolean {
  return service.idempotent || IDEMPOTENT_METHODS.has(method)
}

/** A request from its acceptance to its one answer. */
export class PendingRequest implements DispatchableRequest {
  readonly tried = new Set<string>()
  /** Attempts of which a byte may have reached an executor. */
  attempts = 0
  /** Attempts that ended before a byte went out. */
  unsentAttempts = 0
  /** Whether an attempt may have run. */
  mayHaveRun = false
  private settled = false

  constructor (readonly request: CallerRequest, readonly service: Service, private readonly resolve: (answer: ServingResult) => void) {}

  get identity (): string {
    return this.request.identity
  }

  get urgency (): Urgency {
    return this.request.urgency
  }

  get deadline (): number {
    return this.request.deadline
  }

  /** Whether running it twice does no harm. */
  get isIdempotent (): boolean {
    return isIdempotent(this.service, this.request.method)
  }

  get isSettled (): boolean {
    return this.settled
  }

  /** Gives the request its answer; returns false if it has one, in which case the new one is to be discarded. */
  settle (result: ServingResult): boolean {
    if (this.settled) return false
    this.settled = true
    this.resolve(this.mayHaveRun ? replaceNotRun(result) : result)
    return true
  }
}

/** An error after an attempt of unknown outcome must not say that the request has not run. */
function replaceNotRun (result: ServingResult): ServingResult {
  if (result.kind === 'answer' || result.error.verdict !== 'notRun') return result
  const { message, retryAfterSeconds } = result.error
  return errorResult({ code: 'outcomeUnknown', verdict: 'mayHaveRun', message: `an earlier attempt may have run; ${message}`, retryAfterSeconds })
}

/** An error answer. */
export function errorResult (error: ServingError): ServingResult {
  return { kind: 'error', error }
}
