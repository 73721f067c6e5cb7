import { urgencyRank, URGENCY_CLASSES, type Urgency } from '../contracts/siteConfiguration.js'
import type { Executor } from '../machines/executor.js'
import type { ExecutorCandidate, ExecutorChooser } from './executorChooser.js'
import { DISPATCHES_PER_LESS_URGENT_TURN, WaitingQueue, type WaitingRequest } from './waitingQueue.js'

/** A waiting request with the names of the executors that it has been sent to. */
export interface DispatchableRequest extends WaitingRequest {
  readonly tried: ReadonlySet<string>
}

/** Provides the slots that this instance may use. */
export interface SlotSource {
  free (executor: string, now: number): number
  inFlight (executor: string): number
  acquire (executor: string, now: number): boolean
}

/** Reason why a request is rejected, and when its caller should retry. */
export interface Refusal {
  readonly code: 'queueFull' | 'deadlineUnreachable' | 'noExecutor'
  readonly retryAfterSeconds: number
}

export interface Admission<T> {
  readonly refusal: Refusal | undefined
  /** A less urgent request that was evicted from the full queue; its caller must receive a response at once. */
  readonly evicted: T | undefined
}

/** One of this many slots is reserved for requests that are not deferrable, so that an arriving urgent request need not wait. */
const SLOTS_PER_RESERVED_SLOT = 16
const DEMAND_WEIGHT: Readonly<Record<Urgency, number>> = { urgent: 4, normal: 1, deferrable: 0.25 }
const MAXIMUM_RETRY_AFTER_SECONDS = 60
/** Weight of the newest dispatch in the smoothed shares of the urgency classes. */
const SHARE_SMOOTHING_FACTOR = 0.02
/** Maximum time that requests wait while this instance holds no slot at all, such as during a change of owner. */
const MAXIMUM_WAIT_WITHOUT_SLOTS_MILLISECONDS = 3000

/** Admission control, queueing and dispatch of the requests of one executor pool. Times are monotonic milliseconds. */
export class PoolDispatcher<T extends DispatchableRequest> {
  private readonly queue: WaitingQueue<T>
  private executors: readonly Executor[] = []
  private readonly classShares = URGENCY_CLASSES.map(() => 0)
  private slotsLastHeldAt: number | undefined

  constructor (private readonly slots: SlotSource, private readonly chooser: ExecutorChooser, capacity: number) {
    this.queue = new WaitingQueue<T>(capacity)
  }

  get length (): number {
    return this.queue.length
  }

  /** Whether an urgent request is queued. */
  get hasUrgentWaiting (): boolean {
    return this.queue.count('urgent') > 0
  }

  /** Length of the queue, weighted by urgency, so that slots move first to instances where urgent requests wait. */
  get weightedQueueLength (): number {
    return Math.ceil(URGENCY_CLASSES.reduce((sum, urgency) => sum + this.queue.count(urgency) * DEMAND_WEIGHT[urgency], 0))
  }

  setCapacity (capacity: number): void {
    this.queue.setCapacity(capacity)
  }

  setExecutors (executors: readonly Executor[]): void {
    this.executors = executors
  }

  /** Queues a request, or rejects it if the queue is full or its deadline cannot be met. */
  admit (request: T, now: number): Admission<T> {
    if (!this.executors.some(executor => !executor.leaving)) return { refusal: { code: 'noExecutor', retryAfterSeconds: 1 }, evicted: undefined }
    const excessMilliseconds = now + this.expectedResponseMilliseconds(request.urgency, now) - request.deadline
    if (excessMilliseconds > 0) return { refusal: { code: 'deadlineUnreachable', retryAfterSeconds: toRetryAfterSeconds(excessMilliseconds) }, evicted: undefined }
    const evicted = this.queue.push(request)
    if (evicted !== request) return { refusal: undefined, evicted }
    return { refusal: { code: 'queueFull', retryAfterSeconds: toRetryAfterSeconds(this.expectedResponseMilliseconds(request.urgency, now)) }, evicted: undefined }
  }

  remove (request: T): void {
    this.queue.remove(request)
  }

  /** Takes the next request that can be sent from the queue and acquires a slot on its executor. */
  next (now: number): { request: T, executor: Executor } | undefined {
    if (this.queue.length === 0) return undefined
    const candidates = this.candidates(now)
    if (candidates.length === 0) return undefined
    const request = this.queue.take(this.onlyReservedSlotsAreFree(candidates) ? 'normal' : 'deferrable')
    if (request === undefined) return undefined
    const untried = candidates.filter(candidate => !request.tried.has(candidate.executor.name))
    const chosen = this.chooser.choose(untried.length > 0 ? untried : candidates, request.urgency)
    if (chosen === undefined || !this.slots.acquire(chosen.executor.name, now)) {
      this.queue.push(request)
      return undefined
    }
    this.updateClassShares(request.urgency)
    return { request, executor: chosen.executor }
  }

  /** Removes and returns the requests whose deadline has passed, or all requests if no slot has been held for too long. */
  takeExpired (now: number): T[] {
    if (this.holdsSlots(now)) this.slotsLastHeldAt = now
    else if (this.queue.length === 0) this.slotsLastHeldAt = undefined
    else this.slotsLastHeldAt ??= now
    if (this.slotsLastHeldAt !== undefined && now - this.slotsLastHeldAt >= MAXIMUM_WAIT_WITHOUT_SLOTS_MILLISECONDS) return this.queue.takeAll()
    return this.queue.takeExpired(now)
  }

  /** Returns the expected response time of a request that arrives now; 0 while no service rate is known. */
  expectedResponseMilliseconds (urgency: Urgency, now: number): number {
    let rate = 0
    let fastest = Infinity
    let idle = false
    for (const executor of this.executors) {
      const service = executor.learnedServiceMilliseconds
      if (service === undefined || executor.leaving || executor.isEjected(now)) continue
      const free = this.slots.free(executor.name, now)
      idle ||= free > 0
      rate += (free + this.slots.inFlight(executor.name)) / service
      fastest = Math.min(fastest, service)
    }
    if (rate === 0) return 0
    if (idle && this.queue.length === 0) return fastest
    const moreUrgent = this.classShares.slice(0, urgencyRank(urgency)).reduce((sum, share) => sum + share, 0)
    const share = Math.max(1 - moreUrgent, 1 / DISPATCHES_PER_LESS_URGENT_TURN)
    return (this.queue.countAhead(urgency) + 1) / (rate * share) + fastest
  }

  private candidates (now: number): ExecutorCandidate[] {
    const candidates: ExecutorCandidate[] = []
    for (const executor of this.executors) {
      if (executor.leaving || executor.isEjected(now)) continue
      const free = this.slots.free(executor.name, now)
      const inFlight = this.slots.inFlight(executor.name)
      if (free > 0 && inFlight < executor.rampLimit) candidates.push({ executor, free, inFlight })
    }
    return candidates
  }

  /** Returns whether the free slots are no more than those reserved for urgent and normal requests. */
  private onlyReservedSlotsAreFree (candidates: readonly ExecutorCandidate[]): boolean {
    let held = 0
    for (const executor of this.executors) held += this.slots.inFlight(executor.name)
    const free = candidates.reduce((sum, candidate) => sum + candidate.free, 0)
    return free <= Math.floor((held + free) / SLOTS_PER_RESERVED_SLOT)
  }

  private holdsSlots (now: number): boolean {
    return this.executors.some(executor => !executor.leaving && (this.slots.free(executor.name, now) > 0 || this.slots.inFlight(executor.name) > 0))
  }

  private updateClassShares (urgency: Urgency): void {
    const rank = urgencyRank(urgency)
    for (const [index, share] of this.classShares.entries()) {
      this.classShares[index] = share + SHARE_SMOOTHING_FACTOR * ((index === rank ? 1 : 0) - share)
    }
  }
}

function toRetryAfterSeconds (milliseconds: number): number {
  return Math.min(MAXIMUM_RETRY_AFTER_SECONDS, Math.max(1, Math.ceil(milliseconds / 1000)))
}
