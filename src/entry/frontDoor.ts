import { backoffMilliseconds, delay } from '../base/delay.js'
import { DisposableObject } from '../base/disposable.js'
import { Emitter, type Event } from '../base/emitter.js'
import type { ServingError, ServingErrorCode } from '../contracts/verdict.js'
import type { Service } from '../contracts/siteText.js'
import type { ExecutorClient } from '../links/executorClient.js'
import { ejectOutlier, Executor } from '../machines/executor.js'
import type { Membership } from '../machines/membership.js'
import type { ExecutorChooser } from '../requests/executorChooser.js'
import { PoolDispatcher, type Refusal } from '../requests/poolDispatcher.js'
import { RetryBudget } from '../requests/retryBudget.js'
import { CALLER_HEADERS } from '../requests/headers.js'
import type { SlotHolder } from '../requests/slotHolder.js'
import { errorAnswer, PendingRequest, type CallerAnswer, type CallerRequest } from './callerRequest.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow, type EntryContext } from './entryContext.js'
import type { Forwarder } from './forwarder.js'
import type { KeyGate } from './keyGate.js'
import { RequestSender, type FailedAttempt } from './requestSender.js'

/** How the front door tells the slot task what it needs. */
export interface SlotRequests {
  /** Requests wait; asks the owner for slots. */
  requestSlots (): void
  /** Slots may have become free that the owner wants back. */
  reportFreedSlots (): void
}

const EXPIRY_PERIOD_MILLISECONDS = 50
const MAXIMUM_ATTEMPTS = 3
/** Attempts that end before a byte goes out cost an executor nothing, so that more of them are made. */
const MAXIMUM_UNSENT_ATTEMPTS = 6
const RETRY_BASE_MILLISECONDS = 10
const RETRY_MAXIMUM_MILLISECONDS = 200

/** Refusal of an instance that stops. */
export const STOPPING_ERROR: ServingError = { code: 'stopping', verdict: 'notRun', message: 'the instance is stopping', retryAfterSeconds: 1 }

const REFUSAL_MESSAGES: Readonly<Record<Refusal['code'], string>> = {
  queueFull: 'too many requests wait; send the request again later',
  deadlineUnreachable: 'the request could not be answered before its deadline; send it again later',
  noExecutor: 'no executor serves this failure domain at the moment'
}

/** Queues callers' requests and dispatches them to executors within the slots that this instance holds. */
export class FrontDoor extends DisposableObject {
  private readonly pools = new Map<string, PoolDispatcher<PendingRequest>>()
  private readonly executors = new Map<string, Executor>()
  private readonly budgets = new Map<string, RetryBudget>()
  private readonly sender: RequestSender
  private activeCount = 0
  private stopping = false
  private readonly willStop = this.register(new Emitter<void>())
  /** Fires before new requests are refused for good. */
  readonly onWillStop: Event<void> = this.willStop.event

  constructor (
    private readonly context: EntryContext,
    private readonly configuration: ConfigurationTask,
    private readonly membership: Membership,
    private readonly slots: SlotHolder,
    private readonly client: ExecutorClient,
    private readonly chooser: ExecutorChooser,
    private readonly slotRequests: SlotRequests,
    private readonly keys: KeyGate,
    private readonly forwarder: Forwarder
  ) {
    super()
    this.sender = this.register(new RequestSender(context, slots, client, () => this.onSlotReleased(), executor => this.onExecutorFailed(executor)))
    this.registerInterval(() => this.dispatchAll(), EXPIRY_PERIOD_MILLISECONDS)
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

  /** Requests accepted and not yet answered to their end. */
  get active (): number {
    return this.activeCount
  }

  /** Requests that wait for a slot. */
  get waiting (): number {
    let sum = 0
    for (const pool of this.pools.values()) sum += pool.length
    return sum
  }

  /** Whether an urgent request waits for a slot. */
  get urgentWaits (): boolean {
    return [...this.pools.values()].some(pool => pool.hasUrgentWaiting)
  }

  /** Whether new requests are refused because the instance stops. */
  get isStopping (): boolean {
    return this.stopping
  }

  /** Refuses new requests from now on; requests in flight go on. */
  stopAccepting (): void {
    if (this.stopping) return
    this.stopping = true
    this.willStop.fire()
  }

  /** Waiting requests, weighted by urgency, and running ones by executor pool, for the division of slots. */
  demand (): Record<string, number> {
    const demand: Record<string, number> = {}
    for (const [name, pool] of this.pools) demand[name] = pool.weightedQueueLength
    for (const executor of this.executors.values()) demand[executor.pool] = (demand[executor.pool] ?? 0) + this.slots.inFlight(executor.name)
    return demand
  }

  /** Serves a request. Resolves with the head of the answer or an error; does not reject. */
  async serve (request: CallerRequest): Promise<CallerAnswer> {
    const text = this.configuration.inForce?.text
    const service = text?.services[request.service]
    if (this.stopping) return refuse(request, STOPPING_ERROR)
    if (text === undefined) return refuse(request, { code: 'notReady', verdict: 'notRun', message: 'no configuration is in force yet', retryAfterSeconds: 1 })
    if (service === undefined) return refuse(request, { code: 'unknownService', verdict: 'notRun', message: `there is no service '${request.service}'` })
    if (monotonicNow() >= request.deadline) return refuse(request, { code: 'deadlineExpired', verdict: 'notRun', message: 'the deadline has passed' })
    this.activeCount += 1
    this.context.events.record('requestAccepted', { request: request.identity, service: request.service, urgency: request.urgency })
    const run = async (): Promise<CallerAnswer> => await new Promise(resolve => this.enqueue(new PendingRequest(request, service, resolve), text.limits.queuedRequests))
    const answer = await this.keys.serve(request, service, run)
    this.noteAnswer(request, answer)
    return answer
  }

  /** Dispatches what waits as far as slots are free. */
  dispatchAll (): void {
    const now = monotonicNow()
    for (const pool of this.pools.values()) {
      for (const expired of pool.takeExpired(now)) {
        const late = expired.deadline <= now
        settleWith(expired, late ? 'deadlineExpired' : 'noExecutor', late ? 'the deadline passed while the request waited for a slot' : REFUSAL_MESSAGES.noExecutor, 1)
      }
      this.dispatch(pool, now)
    }
    for (const executor of this.executors.values()) this.client.limitConnections(executor.address, this.slots.connections(executor.name, now))
  }

  private enqueue (pending: PendingRequest, capacity: number): void {
    const pool = this.poolOf(pending.service)
    pool.setCapacity(capacity)
    pending.request.signal.addEventListener('abort', () => this.onCallerGone(pending), { once: true })
    this.admit(pending)
    if (pending.request.signal.aborted) this.onCallerGone(pending)
  }

  private admit (pending: PendingRequest): void {
    const pool = this.poolOf(pending.service)
    const now = monotonicNow()
    const { refusal, evicted } = pool.admit(pending, now)
    if (refusal?.code === 'noExecutor' && this.forward(pending)) return
    if (refusal !== undefined) settleWith(pending, refusal.code, REFUSAL_MESSAGES[refusal.code], refusal.retryAfterSeconds)
    if (evicted !== undefined) settleWith(evicted, 'queueFull', REFUSAL_MESSAGES.queueFull, 1)
    this.dispatch(pool, now)
  }

  /** Forwards a request that no executor of the own failure domain can serve; returns false if there is nowhere to forward it. */
  private forward (pending: PendingRequest): boolean {
    const text = this.configuration.inForce?.text
    const target = text === undefined ? undefined : this.forwarder.target(pending, text)
    if (target === undefined || !pending.request.body.canBeSent) return false
    pending.tried.add(target.name)
    this.forwarder.forward(pending, target).then(answer => {
      if (!pending.settle(answer) && answer.kind === 'answer') answer.body.destroy()
    })
    return true
  }

  private onCallerGone (pending: PendingRequest): void {
    this.poolOf(pending.service).remove(pending)
    pending.request.body.discard()
    pending.settle(errorAnswer({ code: 'cancelled', verdict: pending.tried.size === 0 ? 'notRun' : 'mayHaveRun', message: 'the caller has gone' }))
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
    if (pool.length > 0) this.slotRequests.requestSlots()
  }

  private async attempt (pending: PendingRequest, executor: Executor): Promise<void> {
    if (pending.attempts === 0 && pending.unsentAttempts === 0) this.budgetOf(pending).onFirstAttempt()
    const failed = await this.sender.send(pending, executor)
    if (failed === undefined) return
    if (failed.error.verdict === 'mayHaveRun') pending.mayHaveRun = true
    if (this.mayRepeat(pending, failed)) await this.repeat(pending, failed)
    else pending.settle(errorAnswer(failed.error))
  }

  private mayRepeat (pending: PendingRequest, failed: FailedAttempt): boolean {
    if (!failed.repeatable || pending.isSettled || this.stopping) return false
    if (!failed.sent) return pending.unsentAttempts < MAXIMUM_UNSENT_ATTEMPTS
    return pending.attempts < MAXIMUM_ATTEMPTS && this.budgetOf(pending).take()
  }

  private async repeat (pending: PendingRequest, failed: FailedAttempt): Promise<void> {
    const wait = backoffMilliseconds(pending.attempts + pending.unsentAttempts, RETRY_BASE_MILLISECONDS, RETRY_MAXIMUM_MILLISECONDS, this.context.random.fraction())
    if (monotonicNow() + wait >= pending.deadline) {
      pending.settle(errorAnswer(failed.error))
      return
    }
    this.context.events.record('requestRetried', { request: pending.identity })
    await delay(wait)
    if (!pending.isSettled) this.admit(pending)
  }

  private budgetOf (pending: PendingRequest): RetryBudget {
    const budget = this.budgets.get(pending.request.service) ?? new RetryBudget()
    this.budgets.set(pending.request.service, budget)
    return budget
  }

  private onSlotReleased (): void {
    const now = monotonicNow()
    for (const pool of this.pools.values()) this.dispatch(pool, now)
    this.slotRequests.reportFreedSlots()
  }

  private onExecutorFailed (executor: Executor): void {
    executor.recordFailure()
    const pool = [...this.executors.values()].filter(other => other.pool === executor.pool)
    if (ejectOutlier(executor, pool, monotonicNow())) this.context.logger.warn('an executor fails and gets no requests for a while', { executor: executor.name })
  }

  private noteAnswer (request: CallerRequest, answer: CallerAnswer): void {
    if (answer.kind === 'error') {
      this.activeCount -= 1
      request.body.discard()
      this.context.events.record('requestFailed', { request: request.identity, detail: `${answer.error.code} ${answer.error.verdict}`, reason: answer.error.message })
      return
    }
    this.context.events.record('requestAnswered', { request: request.identity, detail: String(answer.status) })
    answer.headers[CALLER_HEADERS.logicalTime] = String(this.context.events.clock.tick())
    answer.body.once('close', () => { this.activeCount -= 1 })
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

/** Ends a request that is not sent, or not sent again. */
function settleWith (pending: PendingRequest, code: Extract<ServingErrorCode, 'queueFull' | 'deadlineUnreachable' | 'noExecutor' | 'deadlineExpired'>, message: string, retryAfterSeconds: number): void {
  pending.settle(errorAnswer({ code, verdict: 'notRun', message, retryAfterSeconds }))
}

function refuse (request: CallerRequest, error: ServingError): CallerAnswer {
  request.body.discard()
  return errorAnswer(error)
}
