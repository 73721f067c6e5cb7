import FlatQueue from 'flatqueue'
import { build, type Histogram } from 'hdr-histogram-js'
import { Packr } from 'msgpackr'
import { Random } from '../src/base/random.js'
import { encodeGrants, encodeUses, type LinkMessage } from '../src/contracts/linkMessages.js'
import type { Urgency } from '../src/contracts/siteConfiguration.js'
import { ejectOutlier, Executor } from '../src/machines/executor.js'
import type { ExecutorChooser } from '../src/requests/executorChooser.js'
import { PoolDispatcher, type DispatchableRequest, type SlotSource } from '../src/requests/poolDispatcher.js'
import { GRANT_VALID_MILLISECONDS, SlotAllocator, type HolderGrants } from '../src/requests/slotAllocator.js'
import { SlotHolder } from '../src/requests/slotHolder.js'

/** Strategy by which instances share the slots of executors. */
export type SlotSharing = 'grants' | 'owner' | 'static'

/** Options of a simulated failure domain. */
export interface SimulationOptions {
  readonly seed: number
  readonly sharing: SlotSharing
  readonly instances: number
  /** Mean service time of each executor. */
  readonly serviceMilliseconds: readonly number[]
  /** Offered load as a share of the capacity. */
  readonly load: number
  readonly mix: Readonly<Record<Urgency, number>>
  readonly deadlineMilliseconds: Readonly<Record<Urgency, number>>
  /** Exponent of the uneven arrivals: the arrival rate of instance i is proportional to 1 / (i + 1) to this power. */
  readonly arrivalSkew: number
  readonly durationMilliseconds: number
  readonly createChooser: (random: Random) => ExecutorChooser
  /** Indexes of executors that respond with an error after 1 ms. */
  readonly failingExecutors?: ReadonlySet<number>
  readonly queueCapacity?: number
}

/** Measurements of a simulation, without its warm-up, the first fifth of the duration. */
export interface SimulationResult {
  /** Time from arrival to dispatch, in microseconds, by urgency class. */
  readonly waitingTimes: Readonly<Record<Urgency, Histogram>>
  /** Time from arrival to response, in microseconds, by urgency class. */
  readonly responseTimes: Readonly<Record<Urgency, Histogram>>
  readonly offered: Readonly<Record<Urgency, number>>
  readonly answeredInTime: Readonly<Record<Urgency, number>>
  readonly refused: Readonly<Record<Urgency, number>>
  readonly failed: number
  readonly controlBytesPerSecond: number
  /** Peak number of concurrent requests at one executor. */
  readonly peakInFlight: number
}

interface SimulatedRequest extends DispatchableRequest {
  readonly arrivedAt: number
}

interface SimulatedInstance {
  readonly name: string
  readonly executors: Executor[]
  readonly dispatcher: PoolDispatcher<SimulatedRequest>
  readonly holder: SlotHolder
  readonly slots: SlotSource & { release (executor: string): void }
}

const SLOTS = 8
const CONNECTIONS = 60
const ONE_WAY_LATENCY_MILLISECONDS = 0.25
const REPORT_INTERVAL_MILLISECONDS = 250
const MAXIMUM_RUN_MILLISECONDS = 20_000
/** Relative increase of the service time for each further concurrent request. */
const SLOWDOWN_PER_CONCURRENT_REQUEST = 0.03
const POOL = 'pool'
const TICK_MILLISECONDS = 50
const packer = new Packr({ useRecords: false })

/** Runs the decision code of the request path against simulated executors on a simulated clock. */
export class RequestSimulation {
  private readonly eventQueue = new FlatQueue<() => void>()
  private readonly random: Random
  private readonly instances: SimulatedInstance[]
  private readonly allocator = new SlotAllocator(-Infinity)
  private readonly runningByExecutor: number[]
  private now = 0
  private controlBytes = 0
  private peakInFlight = 0
  private failed = 0
  private readonly waitingTimes = createHistograms()
  private readonly responseTimes = createHistograms()
  private readonly offered = createCounters()
  private readonly answeredInTime = createCounters()
  private readonly refused = createCounters()

  constructor (private readonly options: SimulationOptions) {
    this.random = new Random(options.seed)
    this.runningByExecutor = options.serviceMilliseconds.map(() => 0)
    const count = options.sharing === 'owner' ? 1 : options.instances
    this.instances = Array.from({ length: count }, (_, index) => this.createInstance(index, count))
    this.allocator.setExecutors(options.serviceMilliseconds.map((_, index) => ({ name: `executor-${index}`, pool: POOL, slots: SLOTS, connections: CONNECTIONS, maximumRunMilliseconds: MAXIMUM_RUN_MILLISECONDS })))
  }

  run (): SimulationResult {
    for (const [index, instance] of this.instances.entries()) {
      if (this.options.sharing === 'grants') this.schedule(index * REPORT_INTERVAL_MILLISECONDS / this.instances.length, () => this.reportPeriodically(instance))
      this.schedule(0, () => this.tick(instance))
    }
    const capacity = this.options.serviceMilliseconds.reduce((sum, service) => sum + SLOTS / (service * (1 + SLOWDOWN_PER_CONCURRENT_REQUEST * (SLOTS - 1))), 0)
    const weights = Array.from({ length: this.options.instances }, (_, index) => 1 / (index + 1) ** this.options.arrivalSkew)
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    for (const [index, weight] of weights.entries()) this.scheduleArrival(index, total / (weight * capacity * this.options.load))
    while (this.eventQueue.length > 0) {
      const time = this.eventQueue.peekValue() as number
      if (time > this.options.durationMilliseconds) break
      this.now = time
      const event = this.eventQueue.pop() as () => void
      event()
    }
    const { waitingTimes, responseTimes, offered, answeredInTime, refused, failed, peakInFlight } = this
    return { waitingTimes, responseTimes, offered, answeredInTime, refused, failed, peakInFlight, controlBytesPerSecond: this.controlBytes / this.options.durationMilliseconds * 1000 }
  }

  private createInstance (index: number, count: number): SimulatedInstance {
    const executors = this.options.serviceMilliseconds.map((_, executor) => new Executor(`executor-${executor}`, POOL, 'domain', ''))
    const holder = new SlotHolder()
    const slots = this.options.sharing === 'grants' ? holder : new StaticSlots(executors.map((_, executor) => this.options.sharing === 'owner' ? SLOTS : staticSlotCount(executor, index, count)))
    const dispatcher = new PoolDispatcher<SimulatedRequest>(slots, this.options.createChooser(new Random(this.options.seed + index + 1)), this.options.queueCapacity ?? 2000)
    dispatcher.setExecutors(executors)
    return { name: `instance-${index}`, executors, dispatcher, holder, slots }
  }

  private scheduleArrival (index: number, meanMilliseconds: number): void {
    this.schedule(this.now + this.random.exponential(meanMilliseconds), () => {
      this.arrive(index)
      this.scheduleArrival(index, meanMilliseconds)
    })
  }

  private arrive (index: number): void {
    const urgency = this.pickUrgency()
    const request: SimulatedRequest = { identity: '', urgency, deadline: this.now + this.options.deadlineMilliseconds[urgency], tried: new Set(), arrivedAt: this.now }
    if (this.isMeasured()) this.offered[urgency] += 1
    if (this.options.sharing !== 'owner') {
      this.admit(this.instances[index] as SimulatedInstance, request)
      return
    }
    // The slot request, its response and the release are one message each; nothing waits for the release.
    this.controlBytes += OWNER_MESSAGE_BYTES
    this.schedule(this.now + ONE_WAY_LATENCY_MILLISECONDS, () => this.admit(this.instances[0] as SimulatedInstance, request))
  }

  private admit (instance: SimulatedInstance, request: SimulatedRequest): void {
    const { refusal, evicted } = instance.dispatcher.admit(request, this.now)
    if (refusal !== undefined) this.recordRefusal(request)
    if (evicted !== undefined) this.recordRefusal(evicted)
    this.dispatch(instance)
  }

  private dispatch (instance: SimulatedInstance): void {
    for (let next = instance.dispatcher.next(this.now); next !== undefined; next = instance.dispatcher.next(this.now)) this.start(instance, next.request, next.executor)
    if (this.options.sharing !== 'grants') return
    const shouldReportDemand = instance.dispatcher.length > 0 && instance.holder.isDemandReportDue(instance.dispatcher.hasUrgentWaiting, this.now)
    if (shouldReportDemand || instance.holder.hasSlotsToRelease) this.report(instance)
  }

  private start (instance: SimulatedInstance, request: SimulatedRequest, executor: Executor): void {
    const index = Number(executor.name.slice('executor-'.length))
    const hopMilliseconds = this.options.sharing === 'owner' ? ONE_WAY_LATENCY_MILLISECONDS : 0
    const startedAt = this.now
    if (this.isMeasured()) this.waitingTimes[request.urgency].recordValue(toMicroseconds(this.now + hopMilliseconds - request.arrivedAt))
    this.runningByExecutor[index] = (this.runningByExecutor[index] ?? 0) + 1
    this.peakInFlight = Math.max(this.peakInFlight, this.runningByExecutor[index] ?? 0)
    const isFailing = this.options.failingExecutors?.has(index) ?? false
    const mean = (this.options.serviceMilliseconds[index] as number) * (1 + SLOWDOWN_PER_CONCURRENT_REQUEST * ((this.runningByExecutor[index] ?? 1) - 1))
    const durationMilliseconds = isFailing ? 1 : this.random.exponential(mean)
    this.schedule(this.now + hopMilliseconds + durationMilliseconds, () => {
      this.runningByExecutor[index] = (this.runningByExecutor[index] ?? 0) - 1
      this.recordCompletion(request, isFailing)
      this.schedule(this.now + hopMilliseconds, () => this.release(instance, executor, isFailing, this.now - startedAt))
    })
  }

  private recordCompletion (request: SimulatedRequest, isFailing: boolean): void {
    if (!this.isMeasured()) return
    if (isFailing) {
      this.failed += 1
      return
    }
    this.responseTimes[request.urgency].recordValue(toMicroseconds(this.now - request.arrivedAt))
    if (this.now <= request.deadline) this.answeredInTime[request.urgency] += 1
  }

  private release (instance: SimulatedInstance, executor: Executor, isFailing: boolean, duration: number): void {
    if (isFailing) {
      executor.recordFailure()
      ejectOutlier(executor, instance.executors, this.now)
    } else {
      executor.recordSuccess(duration)
    }
    instance.slots.release(executor.name)
    this.dispatch(instance)
  }

  private tick (instance: SimulatedInstance): void {
    for (const request of instance.dispatcher.takeExpired(this.now)) this.recordRefusal(request)
    this.dispatch(instance)
    this.schedule(this.now + TICK_MILLISECONDS, () => this.tick(instance))
  }

  private reportPeriodically (instance: SimulatedInstance): void {
    this.report(instance)
    this.schedule(this.now + REPORT_INTERVAL_MILLISECONDS, () => this.reportPeriodically(instance))
  }

  private report (instance: SimulatedInstance): void {
    const { sequence, uses } = instance.holder.startReport(this.now)
    const inFlight = uses.reduce((sum, use) => sum + use.inFlight, 0)
    const report = { type: 'slotReport' as const, logicalTime: 1, term: 1, sequence, appliedGrant: instance.holder.appliedSequence, demand: { [POOL]: instance.dispatcher.weightedQueueLength + inFlight }, uses, leaving: false }
    this.transmit({ ...report, uses: encodeUses(uses) }, () => {
      for (const decision of this.allocator.onReport(instance.name, report, this.now)) this.sendGrants(decision)
    })
  }

  private sendGrants (decision: HolderGrants): void {
    const target = this.instances.find(instance => instance.name === decision.holder) as SimulatedInstance
    const { sequence, answersReport, grants } = decision
    const message = { type: 'slotGrants' as const, logicalTime: 1, term: 1, sequence, answersReport, validMilliseconds: GRANT_VALID_MILLISECONDS, grants }
    this.transmit({ ...message, grants: encodeGrants(grants) }, () => {
      if (target.holder.applyGrants(message)) this.dispatch(target)
    })
  }

  private transmit (message: LinkMessage, deliver: () => void): void {
    this.controlBytes += packer.pack(message).length
    this.schedule(this.now + ONE_WAY_LATENCY_MILLISECONDS, deliver)
  }

  private recordRefusal (request: SimulatedRequest): void {
    if (this.isMeasured()) this.refused[request.urgency] += 1
  }

  private pickUrgency (): Urgency {
    const fraction = this.random.fraction()
    if (fraction < this.options.mix.urgent) return 'urgent'
    return fraction < this.options.mix.urgent + this.options.mix.normal ? 'normal' : 'deferrable'
  }

  private isMeasured (): boolean {
    return this.now >= this.options.durationMilliseconds / 5
  }

  private schedule (time: number, event: () => void): void {
    this.eventQueue.push(event, time)
  }
}

/** Fixed number of slots at each executor, never reassigned to another instance. */
class StaticSlots implements SlotSource {
  private readonly used = new Map<string, number>()

  constructor (private readonly slots: readonly number[]) {}

  free (executor: string): number {
    return (this.slots[Number(executor.slice('executor-'.length))] ?? 0) - this.inFlight(executor)
  }

  inFlight (executor: string): number {
    return this.used.get(executor) ?? 0
  }

  acquire (executor: string): boolean {
    if (this.free(executor) <= 0) return false
    this.used.set(executor, this.inFlight(executor) + 1)
    return true
  }

  release (executor: string): void {
    this.used.set(executor, this.inFlight(executor) - 1)
  }
}

/** Size of the three messages that assign a slot of the owner: slot request, assignment and release. */
const OWNER_MESSAGE_BYTES = [
  { type: 'slotAsk', logicalTime: 1_000_000, request: '01234567-0123-0123-0123-0123456789ab', pool: POOL, urgency: 'urgent', deadlineMilliseconds: 3000, tried: [] },
  { type: 'slotAssignment', logicalTime: 1_000_000, term: 1, request: '01234567-0123-0123-0123-0123456789ab', executor: 'executor-10', validMilliseconds: 3000 },
  { type: 'slotRelease', logicalTime: 1_000_000, term: 1, request: '01234567-0123-0123-0123-0123456789ab', executor: 'executor-10', durationMilliseconds: 100 }
].reduce((sum, message) => sum + packer.pack(message).length, 0)

function staticSlotCount (executor: number, instance: number, count: number): number {
  const position = (instance + executor) % count
  return Math.floor(SLOTS / count) + (position < SLOTS % count ? 1 : 0)
}

function createCounters (): Record<Urgency, number> {
  return { urgent: 0, normal: 0, deferrable: 0 }
}

function createHistograms (): Record<Urgency, Histogram> {
  return { urgent: build(), normal: build(), deferrable: build() }
}

function toMicroseconds (milliseconds: number): number {
  return Math.max(1, Math.round(milliseconds * 1000))
}
