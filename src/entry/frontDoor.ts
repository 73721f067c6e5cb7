import type { Readable } from 'node:stream'
import { backoffMilliseconds, delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { ServingError } from '../contracts/verdict.js'
import type { Service, Urgency } from '../contracts/siteText.js'
import { NOT_RUN_HEADER, type ExecutorAnswer, type ExecutorClient, type OutgoingRequest } from '../links/executorClient.js'
import { Executor } from '../machines/executor.js'
import type { Membership } from '../machines/membership.js'
import { CALLER_HEADERS, endToEndHeaders } from '../requests/headers.js'
import type { ExecutorCandidate, ExecutorChooser } from '../requests/executorChooser.js'
import { WaitingQueue } from '../requests/waitingQueue.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow, type EntryContext } from './entryContext.js'
import type { SlotHolder } from '../requests/slotHolder.js'

/** A caller's request after its head has been checked. Times are monotonic milliseconds. */
export interface CallerRequest {
  readonly identity: string
  readonly service: string
  readonly method: string
  readonly path: string
  readonly headers: ReadonlyArray<[string, string]>
  readonly body: Buffer | undefined
  readonly urgency: Urgency
  readonly deadline: number
  readonly signal: AbortSignal
}

/** What the caller gets. */
export type CallerAnswer =
  | { readonly kind: 'answer', readonly status: number, readonly headers: Record<string, string | string[]>, readonly body: Readable }
  | { readonly kind: 'error', readonly error: ServingError }

interface QueuedRequest {
  readonly identity: string
  readonly urgency: Urgency
  readonly deadline: number
  readonly request: CallerRequest
  readonly service: Service
  readonly tried: Set<string>
  attempts: number
  /** Whether an attempt has ended without its outcome being known. */
  mayHaveRun: boolean
  readonly settle: (answer: CallerAnswer) => void
}

const EXPIRY_PERIOD_MILLISECONDS = 50
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])
const MAXIMUM_ATTEMPTS = 3
const RETRY_BASE_MILLISECONDS = 10
const RETRY_MAXIMUM_MILLISECONDS = 200

/** Queues callers' requests and dispatches them to executors within the slots that this instance holds. */
export class FrontDoor extends DisposableObject {
  private readonly queues = new Map<string, WaitingQueue<QueuedRequest>>()
  private readonly executors = new Map<string, Executor>()
  private readonly heldTimers = new Set<NodeJS.Timeout>()
  private activeCount = 0
  private stopping = false

  constructor (
    private readonly context: EntryContext,
    private readonly configuration: ConfigurationTask,
    private readonly membership: Membership,
    private readonly slots: SlotHolder,
    private readonly client: ExecutorClient,
    private readonly chooser: ExecutorChooser,
    /** Asks the owner for slots because requests wait. */
    private readonly requestSlots: () => void
  ) {
    super()
    this.registerInterval(() => this.dispatchAll(), EXPIRY_PERIOD_MILLISECONDS)
    this.register(membership.onDidChange(() => this.dispatchAll()))
    this.register(client.onDidChangeConnections(({ address, open }) => {
      for (const executor of this.executors.values()) {
        if (executor.address === address) this.slots.noteConnections(executor.name, open)
      }
    }))
    this.register(toDisposable(() => {
      for (const timer of this.heldTimers) clearTimeout(timer)
    }))
  }

  /** Requests accepted and not yet answered to their end. */
  get active (): number {
    return this.activeCount
  }

  /** Refuses new requests from now on; requests in flight go on. */
  stopAccepting (): void {
    this.stopping = true
  }

  /** Requests that wait for a slot. */
  get waiting (): number {
    let sum = 0
    for (const queue of this.queues.values()) sum += queue.length
    return sum
  }

  /** Waiting and running requests by executor pool, for the division of slots. */
  demand (): Record<string, number> {
    const demand: Record<string, number> = {}
    for (const [pool, queue] of this.queues) demand[pool] = queue.length
    for (const executor of this.executors.values()) demand[executor.pool] = (demand[executor.pool] ?? 0) + this.slots.inFlight(executor.name)
    return demand
  }

  /** Serves a request. Resolves with the head of the answer or an error; does not reject. */
  async serve (request: CallerRequest): Promise<CallerAnswer> {
    const text = this.configuration.inForce?.text
    const service = text?.services[request.service]
    if (this.stopping) return refusal('stopping', 'the instance is stopping; send the request again', 1)
    if (text === undefined) return refusal('notReady', 'no configuration is in force yet', 1)
    if (service === undefined) return refusal('unknownService', `there is no service '${request.service}'`)
    if (monotonicNow() >= request.deadline) return refusal('deadlineExpired', 'the deadline has passed')
    this.activeCount += 1
    this.context.events.record('requestAccepted', { request: request.identity, service: request.service, urgency: request.urgency })
    const answer = await new Promise<CallerAnswer>(resolve => {
      const queued: QueuedRequest = { identity: request.identity, urgency: request.urgency, deadline: request.deadline, request, service, tried: new Set(), attempts: 0, mayHaveRun: false, settle: given => resolve(withVerdict(given, queued.mayHaveRun)) }
      this.enqueue(queued, text.limits.queuedRequests)
    })
    this.noteAnswer(request, answer)
    return answer
  }

  /** Dispatches what waits as far as slots are free. */
  dispatchAll (): void {
    const now = monotonicNow()
    this.refreshExecutors()
    for (const [pool, queue] of this.queues) {
      for (const expired of queue.takeExpired(now)) expired.settle(refusal('deadlineExpired', 'the deadline passed while the request waited for a slot'))
      this.dispatch(pool, queue, now)
    }
    for (const executor of this.executors.values()) this.client.limitConnections(executor.address, this.slots.connections(executor.name, now))
  }

  private enqueue (queued: QueuedRequest, capacity: number): void {
    const pool = queued.service.executorPool
    const queue = this.queues.get(pool) ?? new WaitingQueue<QueuedRequest>(capacity)
    queue.setCapacity(capacity)
    this.queues.set(pool, queue)
    const refused = queue.push(queued)
    refused?.settle(refusal('queueFull', 'too many requests wait; send the request again later', 1))
    queued.request.signal.addEventListener('abort', () => {
      queue.remove(queued)
      queued.settle({ kind: 'error', error: { code: 'cancelled', verdict: queued.attempts === 0 ? 'notRun' : 'mayHaveRun', message: 'the caller has gone' } })
    }, { once: true })
    this.dispatch(pool, queue, monotonicNow())
  }

  private dispatch (pool: string, queue: WaitingQueue<QueuedRequest>, now: number): void {
    while (queue.length > 0) {
      const candidates = this.candidates(pool, now)
      if (candidates.length === 0) {
        this.requestSlots()
        return
      }
      const queued = queue.take()
      if (queued === undefined) return
      const untried = candidates.filter(candidate => !queued.tried.has(candidate.executor.name))
      const chosen = this.chooser.choose(untried.length > 0 ? untried : candidates)
      if (chosen === undefined || !this.slots.acquire(chosen.executor.name, now)) {
        queue.push(queued)
        return
      }
      this.send(queued, chosen.executor)
    }
  }

  private candidates (pool: string, now: number): ExecutorCandidate[] {
    const candidates: ExecutorCandidate[] = []
    for (const executor of this.executors.values()) {
      if (executor.pool !== pool || executor.leaving) continue
      const free = this.slots.free(executor.name, now)
      if (free > 0) candidates.push({ executor, free, inFlight: this.slots.inFlight(executor.name) })
    }
    return candidates
  }

  private async send (queued: QueuedRequest, executor: Executor): Promise<void> {
    const { request, service } = queued
    const sentAt = monotonicNow()
    queued.attempts += 1
    queued.tried.add(executor.name)
    this.context.events.record('requestDispatched', { request: request.identity, executor: executor.name })
    const timeout = Math.max(1, Math.min(service.maximumRunMilliseconds, request.deadline - sentAt))
    let startedAt = sentAt
    const mayStart = (): boolean => {
      startedAt = monotonicNow()
      return this.slots.mayStart(startedAt)
    }
    const result = await this.client.send(executor.address, this.outgoing(request), timeout, this.slots.connections(executor.name, sentAt), request.signal, mayStart)
    if (result.kind === 'answer') {
      this.onAnswer(queued, executor, result.answer, startedAt)
      return
    }
    executor.recordFailure()
    if (result.kind === 'notSent') {
      this.releaseSlot(executor)
      this.retryOr(queued, { code: 'noExecutor', verdict: 'notRun', message: 'no executor could be reached', retryAfterSeconds: 1 }, true)
      return
    }
    queued.mayHaveRun = true
    this.releaseSlotLater(executor, startedAt + service.maximumRunMilliseconds)
    const error: ServingError = result.timedOut
      ? { code: 'executorTimeout', verdict: 'mayHaveRun', message: 'the executor did not answer in time' }
      : { code: 'executorFailed', verdict: 'mayHaveRun', message: 'the connection to the executor broke' }
    this.retryOr(queued, error, isIdempotent(service, request.method))
  }

  private onAnswer (queued: QueuedRequest, executor: Executor, answer: ExecutorAnswer, sentAt: number): void {
    if (answer.status === 503 && answer.headers[NOT_RUN_HEADER] !== undefined) {
      answer.body.resume()
      answer.body.once('close', () => this.releaseSlot(executor))
      executor.recordFailure()
      this.retryOr(queued, { code: 'executorRefused', verdict: 'notRun', message: 'the executors refuse requests', retryAfterSeconds: 1 }, true)
      return
    }
    if (answer.status >= 500) executor.recordFailure()
    answer.body.once('close', () => {
      if (!answer.body.readableEnded) {
        this.releaseSlotLater(executor, sentAt + queued.service.maximumRunMilliseconds)
        return
      }
      if (answer.status < 500) executor.recordSuccess(monotonicNow() - sentAt)
      this.releaseSlot(executor)
    })
    answer.body.on('error', error => this.context.logger.debug('the answer of an executor was cut short', { executor: executor.name, reason: error.message }))
    const headers = endToEndHeaders(Object.entries(answer.headers))
    headers[CALLER_HEADERS.request] = queued.identity
    this.context.events.clock.observe(Number(answer.headers[CALLER_HEADERS.logicalTime] ?? 0))
    queued.settle({ kind: 'answer', status: answer.status, headers, body: answer.body })
  }

  private async retryOr (queued: QueuedRequest, error: ServingError, allowed: boolean): Promise<void> {
    const now = monotonicNow()
    const wait = backoffMilliseconds(queued.attempts, RETRY_BASE_MILLISECONDS, RETRY_MAXIMUM_MILLISECONDS, this.context.random.fraction())
    const mayRetry = allowed && !this.stopping && queued.attempts < MAXIMUM_ATTEMPTS && now + wait < queued.deadline && !queued.request.signal.aborted
    if (!mayRetry) {
      queued.settle({ kind: 'error', error })
      return
    }
    this.context.events.record('requestRetried', { request: queued.identity })
    await delay(wait)
    const queue = this.queues.get(queued.service.executorPool)
    if (queue?.push(queued) === queued) queued.settle({ kind: 'error', error })
    this.dispatchAll()
  }

  private outgoing (request: CallerRequest): OutgoingRequest {
    const headers = endToEndHeaders(request.headers, ['host', 'content-length', 'expect'])
    headers[CALLER_HEADERS.request] = request.identity
    headers[CALLER_HEADERS.urgency] = request.urgency
    headers[CALLER_HEADERS.logicalTime] = String(this.context.events.clock.tick())
    return { method: request.method, path: request.path, headers, body: request.body }
  }

  private releaseSlot (executor: Executor): void {
    this.slots.release(executor.name)
    this.dispatchAll()
  }

  /** A request of unknown outcome counts until it cannot be running any more. */
  private releaseSlotLater (executor: Executor, at: number): void {
    const timer = setTimeout(() => {
      this.heldTimers.delete(timer)
      this.releaseSlot(executor)
    }, Math.max(0, at - monotonicNow()))
    this.heldTimers.add(timer)
  }

  private noteAnswer (request: CallerRequest, answer: CallerAnswer): void {
    if (answer.kind === 'error') {
      this.activeCount -= 1
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
    for (const name of this.executors.keys()) {
      if (!names.has(name)) this.executors.delete(name)
    }
  }
}

/** An error after an attempt of unknown outcome must not say that the request has not run. */
function withVerdict (answer: CallerAnswer, mayHaveRun: boolean): CallerAnswer {
  if (answer.kind === 'answer' || !mayHaveRun || answer.error.verdict !== 'notRun') return answer
  const { message, retryAfterSeconds } = answer.error
  return { kind: 'error', error: { code: 'outcomeUnknown', verdict: 'mayHaveRun', message: `an earlier attempt may have run; ${message}`, retryAfterSeconds } }
}

function isIdempotent (service: Service, method: string): boolean {
  return service.idempotent || IDEMPOTENT_METHODS.has(method)
}

function refusal (code: 'stopping' | 'notReady' | 'unknownService' | 'deadlineExpired' | 'queueFull', message: string, retryAfterSeconds?: number): CallerAnswer {
  return { kind: 'error', error: { code, verdict: 'notRun', message, retryAfterSeconds } }
}
