import type { Readable } from 'node:stream'
import type { ServingError } from '../contracts/verdict.js'
import type { Service, Urgency } from '../contracts/siteConfiguration.js'
import type { DispatchableRequest } from '../requests/poolDispatcher.js'
import type { RequestBody } from './requestBody.js'

/** A caller's request with a validated head. Times are monotonic milliseconds. */
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
  /** Whether an instance of another failure domain forwarded the request; such a request is not forwarded again. */
  readonly isForwarded?: boolean
}

/** Outcome of serving a request: the response for the caller, or an error. */
export type ServingResult =
  | { readonly kind: 'answer', readonly status: number, readonly headers: Record<string, string | string[]>, readonly body: Readable }
  | { readonly kind: 'error', readonly error: ServingError }

const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])

/** Whether the service or the HTTP method makes a request idempotent. */
export function isIdempotent (service: Service, method: string): boolean {
  return service.idempotent || IDEMPOTENT_METHODS.has(method)
}

/** An accepted request that is settled with exactly one result. */
export class PendingRequest implements DispatchableRequest {
  readonly tried = new Set<string>()
  /** Number of attempts of which a byte may have reached an executor. */
  attempts = 0
  /** Number of attempts that failed before a byte was sent. */
  unsentAttempts = 0
  /** Whether an earlier attempt may have run. */
  mayHaveRun = false
  private settled = false

  constructor (readonly request: CallerRequest, readonly service: Service, private readonly resolve: (result: ServingResult) => void) {}

  get identity (): string {
    return this.request.identity
  }

  get urgency (): Urgency {
    return this.request.urgency
  }

  get deadline (): number {
    return this.request.deadline
  }

  get isIdempotent (): boolean {
    return isIdempotent(this.service, this.request.method)
  }

  get isSettled (): boolean {
    return this.settled
  }

  /** Resolves the request with `result`. Returns false if it is already settled; the caller then discards `result`. */
  settle (result: ServingResult): boolean {
    if (this.settled) return false
    this.settled = true
    this.resolve(this.mayHaveRun ? replaceNotRun(result) : result)
    return true
  }
}

/** Replaces the verdict `notRun`, which would be wrong after an attempt of unknown outcome. */
function replaceNotRun (result: ServingResult): ServingResult {
  if (result.kind === 'answer' || result.error.verdict !== 'notRun') return result
  const { message, retryAfterSeconds } = result.error
  return errorResult({ code: 'outcomeUnknown', verdict: 'mayHaveRun', message: `an earlier attempt may have run; ${message}`, retryAfterSeconds })
}

export function errorResult (error: ServingError): ServingResult {
  return { kind: 'error', error }
}
