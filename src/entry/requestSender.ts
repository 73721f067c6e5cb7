import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { ServingError } from '../contracts/verdict.js'
import { NOT_RUN_HEADER, type ExecutorResponse, type ExecutorClient, type ExecutorResult } from '../links/executorClient.js'
import type { OutgoingRequest } from '../links/outgoingRequest.js'
import { PEER_PROOF_HEADER } from '../links/peerProof.js'
import type { Executor } from '../machines/executor.js'
import { CALLER_HEADERS, endToEndHeaders } from '../requests/headers.js'
import type { SlotHolder } from '../requests/slotHolder.js'
import type { PendingRequest } from './callerRequest.js'
import { monotonicNow, type EntryContext } from './entryContext.js'

/** Covers network latency and clock drift: an executor measures the run time from the arrival of the request, on its own clock. */
const RUN_END_MARGIN_MILLISECONDS = 500

/** An attempt that produced no response for the caller. */
export interface FailedAttempt {
  readonly error: ServingError
  /** Whether a retry is safe: the body can be sent again, and the request has not run or is idempotent. */
  readonly retryable: boolean
  /** Whether bytes may have reached the executor, so that a retry counts against the retry budget. */
  readonly sent: boolean
}

/** Sends requests to executors, and holds the slot of each request until it can no longer be running. */
export class RequestSender extends DisposableObject {
  private readonly timers = new Set<NodeJS.Timeout>()

  constructor (
    private readonly context: EntryContext,
    private readonly slots: SlotHolder,
    private readonly client: ExecutorClient,
    /** Called after a slot is released. */
    private readonly onSlotReleased: () => void,
    private readonly onExecutorFailed: (executor: Executor) => void
  ) {
    super()
    this.register(toDisposable(() => {
      for (const timer of this.timers) clearTimeout(timer)
    }))
  }

  /** Makes one attempt on an executor whose slot is already acquired. Settles the request, or returns the failed attempt. */
  async send (pending: PendingRequest, executor: Executor): Promise<FailedAttempt | undefined> {
    const { request, service } = pending
    const acquiredAt = monotonicNow()
    let startedAt = acquiredAt
    const mayStart = (): boolean => {
      startedAt = monotonicNow()
      return this.slots.mayStart(startedAt) && startedAt < request.deadline
    }
    pending.tried.add(executor.name)
    this.context.events.record('requestDispatched', { request: request.identity, executor: executor.name })
    const timeout = Math.max(1, Math.min(service.maximumRunMilliseconds, request.deadline - acquiredAt))
    const result = await this.client.send(executor.address, this.createOutgoingRequest(pending), timeout, this.slots.connections(executor.name, acquiredAt), request.signal, mayStart)
    if (result.kind === 'answer') return this.onResponse(pending, executor, result.response, startedAt)
    return this.onFailure(pending, executor, result, startedAt)
  }

  private onFailure (pending: PendingRequest, executor: Executor, failure: Exclude<ExecutorResult, { kind: 'answer' }>, startedAt: number): FailedAttempt {
    const canBeSent = pending.request.body.canBeSent
    if (failure.kind === 'notSent') {
      if (failure.unreachable === true) this.onExecutorFailed(executor)
      pending.unsentAttempts += 1
      this.release(executor)
      return { error: { code: 'noExecutor', verdict: 'notRun', message: 'no executor could be reached', retryAfterSeconds: 1 }, retryable: canBeSent, sent: false }
    }
    pending.attempts += 1
    if (!pending.request.signal.aborted) this.onExecutorFailed(executor)
    this.releaseAfterRun(pending, executor, startedAt)
    const error: ServingError = failure.timedOut
      ? { code: 'executorTimeout', verdict: 'mayHaveRun', message: 'the executor did not answer in time' }
      : { code: 'executorFailed', verdict: 'mayHaveRun', message: 'the connection to the executor broke' }
    return { error, retryable: pending.isIdempotent && canBeSent, sent: true }
  }

  private onResponse (pending: PendingRequest, executor: Executor, response: ExecutorResponse, startedAt: number): FailedAttempt | undefined {
    pending.attempts += 1
    response.body.on('error', error => this.context.logger.debug('the response of an executor was cut short', { executor: executor.name, reason: error.message }))
    const refused = response.status === 503 && response.headers[NOT_RUN_HEADER] !== undefined
    this.limitResponseTime(response, startedAt + pending.service.maximumRunMilliseconds)
    response.body.once('close', () => {
      if (!response.body.readableEnded) {
        if (refused) this.release(executor)
        else this.releaseAfterRun(pending, executor, startedAt)
        return
      }
      if (response.status < 500) executor.recordSuccess(monotonicNow() - startedAt)
      this.release(executor)
    })
    if (response.status >= 500) this.onExecutorFailed(executor)
    if (refused) {
      response.body.resume()
      return { error: { code: 'executorRefused', verdict: 'notRun', message: 'the executors refuse requests', retryAfterSeconds: 1 }, retryable: pending.request.body.canBeSent, sent: true }
    }
    const headers = endToEndHeaders(Object.entries(response.headers), [CALLER_HEADERS.verdict])
    headers[CALLER_HEADERS.request] = pending.identity
    this.context.events.clock.observe(Number(response.headers[CALLER_HEADERS.logicalTime] ?? 0))
    if (!pending.settle({ kind: 'answer', status: response.status, headers, body: response.body })) response.body.destroy()
    return undefined
  }

  /** Aborts the response at `deadline`, so that a slow reader holds a slot and a connection no longer than the request may run. */
  private limitResponseTime (response: ExecutorResponse, deadline: number): void {
    const timer = this.startTimer(() => response.body.destroy(new Error('the caller did not read the response in time')), deadline)
    response.body.once('close', () => this.stopTimer(timer))
  }

  private release (executor: Executor): void {
    this.slots.release(executor.name)
    this.onSlotReleased()
  }

  /** Holds the slot of a request of unknown outcome until the request can no longer be running. */
  private releaseAfterRun ({ service }: PendingRequest, executor: Executor, startedAt: number): void {
    const at = startedAt + service.maximumRunMilliseconds + RUN_END_MARGIN_MILLISECONDS
    if (at <= monotonicNow()) this.release(executor)
    else this.startTimer(() => this.release(executor), at)
  }

  private startTimer (callback: () => void, at: number): NodeJS.Timeout {
    const timer = setTimeout(() => {
      this.timers.delete(timer)
      callback()
    }, Math.max(0, at - monotonicNow()))
    this.timers.add(timer)
    return timer
  }

  private stopTimer (timer: NodeJS.Timeout): void {
    clearTimeout(timer)
    this.timers.delete(timer)
  }

  private createOutgoingRequest ({ request }: PendingRequest): OutgoingRequest {
    const headers = endToEndHeaders(request.headers, ['host', 'content-length', 'expect', PEER_PROOF_HEADER, CALLER_HEADERS.forwardedFrom])
    headers[CALLER_HEADERS.request] = request.identity
    headers[CALLER_HEADERS.urgency] = request.urgency
    headers[CALLER_HEADERS.logicalTime] = String(this.context.events.clock.tick())
    return { method: request.method, path: request.path, headers, body: request.body.open() }
  }
}
