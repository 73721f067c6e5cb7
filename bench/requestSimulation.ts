import FlatQueue from 'flatqueue'
import { build, type Histogram } from 'hdr-histogram-js'
import { Packr } from 'msgpackr'
import { Random } from '../src/base/random.js'
import { encodeGrants, encodeUses, type LinkMessage } from '../src/contracts/linkMessages.js'
import type { Urgency } from '../src/contracts/siteText.js'
import { ejectOutlier, Executor } from '../src/machines/executor.js'
import type { ExecutorChooser } from '../src/requests/executorChooser.js'
import { PoolDispatcher, type DispatchableRequest, type SlotSource } from '../src/requests/poolDispatcher.js'
import { GRANT_VALID_MILLISECONDS, SlotAllocator, type HolderGrants } from '../src/requests/slotAllocator.js'
import { SlotHolder } from '../src/requests/slotHolder.js'

/** How the slots are shared among instances. */
export type SlotSharing = 'grants' | 'owner' | 'static'

/** A simulated failure domain on a simulated clock. Times are milliseconds. */
export interface SimulationOptions {
  readonly seed: number
  readonly sharing: SlotSharing
  readonly instances: number
  /** Mean service time of each executor. */
  readonly serviceMilliseconds: readonly number[]
  /** Offered work as a share of capacity. */
  readonly load: number
  readonly mix: Readonly<Record<Urgency, number>>
  readonly deadlineMilliseconds: Readonly<Record<Urgency, number>>
  /** Arrivals of instance i are proportional to 1 / (i + 1) to this power. */
  readonly arrivalSkew: number
  readonly durationMilliseconds: number
  readonly createChooser: (random: Random) => ExecutorChooser
  /** Executors with these indexes answer an error after 1 ms. */
  readonly failingExecutors?: ReadonlySet<number>
  readonly queueCapacity?: number
}

/** What was measured after the first fifth of the time. */
export interface SimulationResult {
  /** Time from arrival to dispatch, in microseconds, by class. */
  readonly waitingTimes: Readonly<Record<Urgency, Histogram>>
  /** Time from arrival to answer, in microseconds, by class. */
  readonly responseTimes: Readonly<Record<Urgency, Histogram>>
  readonly offered: Readonly<Record<Urgency, number>>
  readonly answeredInTime: Readonly<Record<Urgency, number>>
  readonly refused: Readonly<Record<Urgency, number>>
  readonly failed: number
  readonly controlBytesPerSecond: number
  /** Most requests at one executor at once. */
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
const ONE_WAY_MILLISECONDS = 0.25
const REPORT_PERIOD_MILLISECONDS = 250
const MAXIMUM_RUN_MILLISECONDS = 20_000
const LOAD_FACTOR = 0.03
const POOL = 'pool'
const TICK_MILLISECONDS = 50
const packer = new Packr({ useRecords: false })

/** Runs the decision code of the request path against simulated executors. */
export class RequestSimulation {
  private readonly events = new FlatQueue<() => void>()
  private readonly random: Random
  private readonly instances: SimulatedInstance[]
  private readonly allocator = new SlotAllocator(-Infinity)
  private readonly running: number[]
  private now = 0
  private bytes = 0
  private mostInFlight = 0
  private failed = 0
  private readonly waiting = histograms()
  private readonly answer = histograms()
  private readonly offered = counts()
  private readonly answeredInTime = counts()
  private readonly refused = counts()

  constructor (private readonly options: SimulationOptions) {
    this.random = new Random(options.seed)
    this.running = options.serviceMilliseconds.map(() => 0)
    const count = options.sharing === 'owner' ? 1 : options.instances
    this.instances = Array.from({ length: count }, (_, index) => this.createInstance(index, count))
    this.allocator.setExecutors(options.serviceMilliseconds.map((_, index) => ({ name: `executor-${index}`, pool: POOL, slots: SLOTS, connections: CONNECTIONS, maximumRunMilliseconds: MAXIMUM_RUN_MILLISECONDS })))
  }

  run (): SimulationResult {
    for (const [index, instance] of this.instances.entries()) {
      if (this.options.sharing === 'grants') this.at(index * REPORT_PERIOD_MILLISECONDS / this.instances.length, () => this.reportRegularly(instance))
      this.at(0, () => this.tick(instance))
    }
    const capacity = this.options.serviceMilliseconds.reduce((sum, service) => sum + SLOTS / (service * (1 + LOAD_FACTOR * (SLOTS - 1))), 0)
    const weights = Array.from({ length: this.options.instances }, (_, index) => 1 / (index + 1) ** this.options.arrivalSkew)
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    for (const [index, weight] of weights.entries()) this.scheduleArrival(index, total / (weight * capacity * this.options.load))
    while (this.events.length > 0) {
      const time = this.events.peekValue() as number
      if (time > this.options.durationMilliseconds) break
      this.now = time
      const event = this.events.pop() as () => void
      event()
    }
    const { waiting, answer, offered, answeredInTime, refused, failed, mostInFlight } = this
    return { waitingTimes: waiting, responseTimes: answer, offered, answeredInTime, refused, failed, peakInFlight: mostInFlight, controlBytesPerSecond: this.bytes / this.options.durationMilliseconds * 1000 }
  }

  private createInstance (index: number, count: number): SimulatedInstance {
    const executors = this.options.serviceMilliseconds.map((_, number) => new Executor(`executor-${number}`, POOL, 'domain', ''))
    const holder = new SlotHolder()
    const slots = this.options.sharing === 'grants' ? holder : new FixedSlots(executors.map((_, number) => this.options.sharing === 'owner' ? SLOTS : staticShare(number, index, count)))
    const dispatcher = new PoolDispatcher<SimulatedRequest>(slots, this.options.createChooser(new Random(this.options.seed + index + 1)), this.options.queueCapacity ?? 2000)
    dispatcher.setExecutors(executors)
    return { name: `instance-${index}`, executors, dispatcher, holder, slots }
  }

  private scheduleArrival (index: number, meanMilliseconds: number): void {
    this.at(this.now + this.random.exponential(meanMilliseconds), () => {
      this.arrive(index)
      this.scheduleArrival(index, meanMilliseconds)
    })
  }

  private arrive (index: number): void {
    const urgency = this.drawUrgency()
    const request: SimulatedRequest = { identity: '', urgency, deadline: this.now + this.options.deadlineMilliseconds[urgency], tried: new Set(), arrivedAt: this.now }
    if (this.isMeasured()) this.offered[urgency] += 1
    if (this.options.sharing !== 'owner') {
      this.admit(this.instances[index] as SimulatedInstance, request)
      return
    }
    // Asking the owner, its answer and the release each take a message; the release is not waited for.
    this.bytes += OWNER_MESSAGE_BYTES
    this.at(this.now + ONE_WAY_MILLISECONDS, () => this.admit(this.instances[0] as SimulatedInstance, request))
  }

  private admit (instance: SimulatedInstance, request: SimulatedRequest): void {
    const { refusal, evicted } = instance.dispatcher.admit(request, this.now)
    if (refusal !== undefined) this.noteRefused(request)
    if (evicted !== undefined) this.noteRefused(evicted)
    this.dispatch(instance)
  }

  private dispatch (instance: SimulatedInstance): void {
    for (let next = instance.dispatcher.next(this.now); next !== undefined; next = instance.dispatcher.next(this.now)) this.start(instance, next.request, next.executor)
    if (this.options.sharing !== 'grants') return
    const mayAsk = instance.dispatcher.length > 0 && instance.holder.isDemandReportDue(instance.dispatcher.hasUrgentWaiting, this.now)
    if (mayAsk || instance.holder.hasSlotsToRelease) this.report(instance)
  }

  private start (instance: SimulatedInstance, request: SimulatedRequest, executor: Executor): void {
    const index = Number(executor.name.slice('executor-'.length))
    const hop = this.options.sharing === 'owner' ? ONE_WAY_MILLISECONDS : 0
    const startedAt = this.now
    if (this.isMeasured()) this.waiting[request.urgency].recordValue(microseconds(this.now + hop - request.arrivedAt))
    this.running[index] = (this.running[index] ?? 0) + 1
    this.mostInFlight = Math.max(this.mostInFlight, this.running[index] ?? 0)
    const fails = this.options.failingExecutors?.has(index) ?? false
    const mean = (this.options.serviceMilliseconds[index] as number) * (1 + LOAD_FACTOR * ((this.running[index] ?? 1) - 1))
    const duration = fails ? 1 : this.random.exponential(mean)
    this.at(this.now + hop + duration, () => {
      this.running[index] = (this.running[index] ?? 0) - 1
      this.noteEnd(request, fails)
      this.at(this.now + hop, () => this.release(instance, executor, fails, this.now - startedAt))
    })
  }

  private noteEnd (request: SimulatedRequest, fails: boolean): void {
    if (!this.isMeasured()) return
    if (fails) {
      this.failed += 1
      return
    }
    this.answer[request.urgency].recordValue(microseconds(this.now - request.arrivedAt))
    if (this.now <= request.deadline) this.answeredInTime[request.urgency] += 1
  }

  private release (instance: SimulatedInstance, executor: Executor, fails: boolean, duration: number): void {
    if (fails) {
      executor.recordFailure()
      ejectOutlier(executor, instance.executors, this.now)
    } else {
      executor.recordSuccess(duration)
    }
    instance.slots.release(executor.name)
    this.dispatch(instance)
  }

  private tick (instance: SimulatedInstance): void {
    for (const request of instance.dispatcher.takeExpired(this.now)) this.noteRefused(request)
    this.dispatch(instance)
    this.at(this.now + TICK_MILLISECONDS, () => this.tick(instance))
  }

  private reportRegularly (instance: SimulatedInstance): void {
    this.report(instance)
    this.at(this.now + REPORT_PERIOD_MILLISECONDS, () => this.reportRegularly(instance))
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
    this.bytes += packer.pack(message).length
    this.at(this.now + ONE_WAY_MILLISECONDS, deliver)
  }

  private noteRefused (request: SimulatedRequest): void {
    if (this.isMeasured()) this.refused[request.urgency] += 1
  }

  private drawUrgency (): Urgency {
    const fraction = this.random.fraction()
    if (fraction < this.options.mix.urgent) return 'urgent'
    return fraction < this.options.mix.urgent + this.options.mix.normal ? 'normal' : 'deferrable'
  }

  private isMeasured (): boolean {
    return this.now >= this.options.durationMilliseconds / 5
  }

  private at (time: number, event: () => void): void {
    this.events.push(event, time)
  }
}

/** Slots that do not move. */
class FixedSlots implements SlotSource {
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

/** Three messages of a request that asks the owner: ask, assignment, release. */
const OWNER_MESSAGE_BYTES = [
  { type: 'slotAsk', logicalTime: 1_000_000, request: '01234567-0123-0123-0123-0123456789ab', pool: POOL, urgency: 'urgent', deadlineMilliseconds: 3000, tried: [] },
  { type: 'slotAssignment', logicalTime: 1_000_000, term: 1, request: '01234567-0123-0123-0123-0123456789ab', executor: 'executor-10', validMilliseconds: 3000 },
  { type: 'slotRelease', logicalTime: 1_000_000, term: 1, request: '01234567-0123-0123-0123-0123456789ab', executor: 'executor-10', durationMilliseconds: 100 }
].reduce((sum, message) => sum + packer.pack(message).length, 0)

function staticShare (executor: number, instance: number, count: number): number {
  const position = (instance + executor) % count
  return Math.floor(SLOTS / count) + (position < SLOTS % count ? 1 : 0)
}

function counts (): Record<Urgency, number> {
  return { urgent: 0, normal: 0, deferrable: 0 }
}

function histograms (): Record<Urgency, Histogram> {
  return { urgent: build(), normal: build(), deferrable: build() }
}

function microseconds (milliseconds: number): number {
  return Math.max(1, Math.round(milliseconds * 1000))
}
