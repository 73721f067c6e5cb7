import { backoffMilliseconds, delay } from '../base/delay.js'
import { DisposableObject } from '../base/disposable.js'
import { Emitter, type Event } from '../base/emitter.js'
import type { ServingError, ServingErrorCode } from '../contracts/verdict.js'
import type { Service } from '../contracts/siteConfiguration.js'
import type { ExecutorClient } from '../links/executorClient.js'
import { ejectOutlier, Executor } from '../machines/executor.js'
import type { Membership } from '../machines/membership.js'
import type { ExecutorChooser } from '../requests/executorChooser.js'
import { PoolDispatcher, type Refusal } from '../requests/poolDispatcher.js'
import { RetryBudget } from '../requests/retryBudget.js'
import { CALLER_HEADERS } from '../requests/headers.js'
import type { SlotHolder } from '../requests/slotHolder.js'
import { errorResult, PendingRequest, type ServingResult, type CallerRequest } from './callerRequest.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow, type EntryContext } from './entryContext.js'
import type { Forwarder } from './forwarder.js'
import type { IdempotencyGuard } from './idempotencyGuard.js'
import { RequestSender, type FailedAttempt } from './requestSender.js'

/** Requests slots for the dispatcher and reports freed ones. */
export interface SlotRequester {
  /** Requests slots from the owner for waiting requests. */
  requestSlots (): void
  /** Reports slots that may have become free, so that the owner can reclaim them. */
  reportFreedSlots (): void
}

const EXPIRY_CHECK_INTERVAL_MILLISECONDS = 50
const MAXIMUM_ATTEMPTS = 3
/** Higher than `MAXIMUM_ATTEMPTS`, because an attempt that fails before a byte is sent costs the executor nothing. */
const MAXIMUM_UNSENT_ATTEMPTS = 6
const RETRY_BASE_MILLISECONDS = 10
const RETRY_MAXIMUM_MILLISECONDS = 200

/** Response to new requests while the instance stops. */
export const STOPPING_ERROR: ServingError = { code: 'stopping', verdict: 'notRun', message: 'the instance is stopping', retryAfterSeconds: 1 }

const REFUSAL_MESSAGES: Readonly<Record<Refusal['code'], string>> = {
  queueFull: 'too many requests wait; send the request again later',
  deadlineUnreachable: 'the request could not be answered before its deadline; send it again later',
  noExecutor: 'no executor serves this failure domain at the moment'
}

/** Queues callers' requests and dispatches them to executors, limited by the slots that this instance holds. */
export class RequestDispatcher extends DisposableObject {
  private readonly pools = new Map<string, PoolDispatcher<PendingRequest>>()
  private readonly executors = new Map<string, Executor>()
  private readonly retryBudgets = new Map<string, RetryBudget>()
  private readonly sender: RequestSender
  private activeCount = 0
  private stopping = false
  private readonly willStop = this.register(new Emitter<void>())
  /** Fires once, when the dispatcher stops accepting requests. */
  readonly onWillStop: Event<void> = this.willStop.event

  constructor (
    private readonly context: EntryContext,
    private readonly configuration: ConfigurationTask,
    private readonly membership: Membership,
    private readonly slots: SlotHolder,
    private readonly client: ExecutorClient,
    private readonly chooser: ExecutorChooser,
    private readonly slotRequester: SlotRequester,
    private readonly idempotencyGuard: IdempotencyGuard,
    private readonly forwarder: Forwarder
  ) {
    super()
    this.sender = this.register(new RequestSender(context, slots, client, () => this.onSlotReleased(), executor => this.onExecutorFailed(executor)))
    this.registerInterval(() => this.dispatchAll(), EXPIRY_CHECK_INTERVAL_MILLISECONDS)
    this.register(membership.onDidChange(() => {
      this.refreshExecutors()
      this.dispatchAll()
    }))
    this.register(client.onDidChangeConnections(({ address, open }) => {
      for (const executor of this.executors.values()) {
        if (executor.address === address) this.slots.setOpenConnections(executor.name, open)
      }
    }))
  }

  /** Number of accepted requests whose response is not complete. */
  get activeRequests (): number {
    return this.activeCount
  }

  /** Number of requests that wait for a slot. */
  get waitingRequests (): number {
    let sum = 0
    for (const pool of this.pools.values()) sum += pool.length
    return sum
  }

  /** Whether an urgent request waits for a slot. */
  get hasUrgentWaiting (): boolean {
    return [...this.pools.values()].some(pool => pool.hasUrgentWaiting)
  }

  /** Whether the instance is stopping, so that new requests are refused. */
  get isStopping (): boolean {
    return this.stopping
  }

  /** Refuses new requests from now on; accepted requests are still served. */
  stopAccepting (): void {
    if (this.stopping) return
    this.stopping = true
    this.willStop.fire()
  }

  /** Demand by executor pool for the division of slots: waiting requests, weighted by urgency, plus requests in flight. */
  demand (): Record<string, number> {
    const demand = new Map([...this.pools].map(([name, pool]) => [name, pool.weightedQueueLength]))
    for (const executor of this.executors.values()) demand.set(executor.pool, (demand.get(executor.pool) ?? 0) + this.slots.inFlight(executor.name))
    return Object.fromEntries(demand)
  }

  /** Serves a request. Resolves with a response, whose body may still be streaming, or with an error; never rejects. */
  async serve (request: CallerRequest): Promise<ServingResult> {
    const siteConfiguration = this.configuration.inForce?.configuration
    const service = siteConfiguration?.services[request.service]
    if (this.stopping) return refuse(request, STOPPING_ERROR)
    if (siteConfiguration === undefined) return refuse(request, { code: 'notReady', verdict: 'notRun', message: 'no configuration is in force yet', retryAfterSeconds: 1 })
    if (service === undefined) return refuse(request, { code: 'unknownService', verdict: 'notRun', message: `there is no service '${request.service}'` })
    if (monotonicNow() >= request.deadline) return refuse(request, { code: 'deadlineExpired', verdict: 'notRun', message: 'the deadline has passed' })
    this.activeCount += 1
    this.context.events.record('requestAccepted', { request: request.identity, service: request.service, urgency: request.urgency })
    const enqueueRequest = async (): Promise<ServingResult> => await new Promise(resolve => this.enqueue(new PendingRequest(request, service, resolve), siteConfiguration.limits.queuedRequests))
    const result = await this.idempotencyGuard.serve(request, service, enqueueRequest)
    this.recordResult(request, result)
    return result
  }

  /** Settles expired requests, dispatches waiting ones to free slots and updates the connection limits of the executors. */
  dispatchAll (): void {
    const now = monotonicNow()
    for (const pool of this.pools.values()) {
      for (const expired of pool.takeExpired(now)) {
        const deadlinePassed = expired.deadline <= now
        settleWithError(expired, deadlinePassed ? 'deadlineExpired' : 'noExecutor', deadlinePassed ? 'the deadline passed while the request waited for a slot' : REFUSAL_MESSAGES.noExecutor, 1)
      }
      this.dispatch(pool, now)
    }
    for (const executor of this.executors.values()) this.client.limitConnections(executor.address, this.slots.connections(executor.name, now))
  }

  private enqueue (pending: PendingRequest, capacity: number): void {
    const pool = this.poolOf(pending.service)
    pool.setCapacity(capacity)
    pending.request.signal.addEventListener('abort', () => this.onCallerDisconnected(pending), { once: true })
    this.admit(pending)
    if (pending.request.signal.aborted) this.onCallerDisconnected(pending)
  }

  private admit (pending: PendingRequest): void {
    const pool = this.poolOf(pending.service)
    const now = monotonicNow()
    const { refusal, evicted } = pool.admit(pending, now)
    if (refusal?.code === 'noExecutor' && this.forward(pending)) return
    if (refusal !== undefined) settleWithError(pending, refusal.code, REFUSAL_MESSAGES[refusal.code], refusal.retryAfterSeconds)
    if (evicted !== undefined) settleWithError(evicted, 'queueFull', REFUSAL_MESSAGES.queueFull, 1)
    this.dispatch(pool, now)
  }

  /** Forwards a request that no executor of this failure domain can serve. Returns false if no peer is available or the body cannot be sent. */
  private forward (pending: PendingRequest): boolean {
    const siteConfiguration = this.configuration.inForce?.configuration
    const peer = siteConfiguration === undefined ? undefined : this.forwarder.selectTarget(pending, siteConfiguration)
    if (peer === undefined || !pending.request.body.canBeSent) return false
    pending.tried.add(peer.name)
    this.forwarder.forward(pending, peer).then(result => {
      if (!pending.settle(result) && result.kind === 'answer') result.body.destroy()
    })
    return true
  }

  private onCallerDisconnected (pending: PendingRequest): void {
    this.poolOf(pending.service).remove(pending)
    pending.request.body.discard()
    pending.settle(errorResult({ code: 'cancelled', verdict: pending.tried.size === 0 ? 'notRun' : 'mayHaveRun', message: 'the caller has gone' }))
  }

  private poolOf (service: Service): PoolDispatcher<PendingRequest> {
    const existing = this.pools.get(service.executorPool)
    if (existing !== undefined) return existing
    const pool = new PoolDispatcher<PendingRequest>(this.slots, this.chooser, 0)
    this.pools.set(service.executorPool, pool)
    this.refreshExecutors()
    return pool
  }

  private dispatch (pool: PoolDispatcher<PendingRequest>, now: number): void {
    for (let next = pool.next(now); next !== undefined; next = pool.next(now)) this.attempt(next.request, next.executor)
    if (pool.length > 0) this.slotRequester.requestSlots()
  }

  private async attempt (pending: PendingRequest, executor: Executor): Promise<void> {
    if (pending.attempts === 0 && pending.unsentAttempts === 0) this.retryBudgetOf(pending).onFirstAttempt()
    const failure = await this.sender.send(pending, executor)
    if (failure === undefined) return
    if (failure.error.verdict === 'mayHaveRun') pending.mayHaveRun = true
    if (this.mayRetry(pending, failure)) await this.retry(pending, failure)
    else pending.settle(errorResult(failure.error))
  }

  private mayRetry (pending: PendingRequest, failure: FailedAttempt): boolean {
    if (!failure.retryable || pending.isSettled || this.stopping) return false
    if (!failure.sent) return pending.unsentAttempts < MAXIMUM_UNSENT_ATTEMPTS
    return pending.attempts < MAXIMUM_ATTEMPTS && this.retryBudgetOf(pending).take()
  }

  private async retry (pending: PendingRequest, failure: FailedAttempt): Promise<void> {
    const backoff = backoffMilliseconds(pending.attempts + pending.unsentAttempts, RETRY_BASE_MILLISECONDS, RETRY_MAXIMUM_MILLISECONDS, this.context.random.fraction())
    if (monotonicNow() + backoff >= pending.deadline) {
      pending.settle(errorResult(failure.error))
      return
    }
    this.context.events.record('requestRetried', { request: pending.identity })
    await delay(backoff)
    if (!pending.isSettled) this.admit(pending)
  }

  private retryBudgetOf (pending: PendingRequest): RetryBudget {
    const budget = this.retryBudgets.get(pending.request.service) ?? new RetryBudget()
    this.retryBudgets.set(pending.request.service, budget)
    return budget
  }

  private onSlotReleased (): void {
    const now = monotonicNow()
    for (const pool of this.pools.values()) this.dispatch(pool, now)
    this.slotRequester.reportFreedSlots()
  }

  private onExecutorFailed (executor: Executor): void {
    executor.recordFailure()
    const pool = [...this.executors.values()].filter(other => other.pool === executor.pool)
    if (ejectOutlier(executor, pool, monotonicNow())) this.context.logger.warn('executor ejected because of its failure rate; it receives no requests for a while', { executor: executor.name })
  }

  private recordResult (request: CallerRequest, result: ServingResult): void {
    if (result.kind === 'error') {
      this.activeCount -= 1
      request.body.discard()
      this.context.events.record('requestFailed', { request: request.identity, detail: `${result.error.code} ${result.error.verdict}`, reason: result.error.message })
      return
    }
    this.context.events.record('requestAnswered', { request: request.identity, detail: String(result.status) })
    result.headers[CALLER_HEADERS.logicalTime] = String(this.context.events.clock.tick())
    result.body.once('close', () => { this.activeCount -= 1 })
  }

  private refreshExecutors (): void {
    const listed = this.membership.executors(this.context.settings.failureDomain)
    const names = new Set(listed.map(executor => executor.name))
    for (const entry of listed) {
      let executor = this.executors.get(entry.name)
      if (executor === undefined || executor.address !== entry.address) {
        executor = new Executor(entry.name, entry.pool, entry.failureDomain, entry.address)
        this.executors.set(entry.name, executor)
      }
      executor.leaving = entry.state === 'leaving'
    }
    for (const [name, executor] of this.executors) {
      if (names.has(name)) continue
      this.client.limitConnections(executor.address, 0)
      this.executors.delete(name)
    }
    for (const [name, pool] of this.pools) pool.setExecutors([...this.executors.values()].filter(executor => executor.pool === name))
  }
}

/** Settles a request that is not sent, or not retried. */
function settleWithError (pending: PendingRequest, code: Extract<ServingErrorCode, 'queueFull' | 'deadlineUnreachable' | 'noExecutor' | 'deadlineExpired'>, message: string, retryAfterSeconds: number): void {
  pending.settle(errorResult({ code, verdict: 'notRun', message, retryAfterSeconds }))
}

function refuse (request: CallerRequest, error: ServingError): ServingResult {
  request.body.discard()
  return errorResult(error)
}
