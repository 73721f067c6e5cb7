import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { ActiveScheduler } from '../../src/cluster/activeScheduler.js'
import { ClusterMetrics } from '../../src/cluster/clusterMetrics.js'
import { RecordLog, TOPICS, type AppendOptions, type AppendOutcome, type KeyedRecord, type ReadOutcome, type SnapshotOutcome } from '../../src/cluster/recordLog.js'
import { cancelKey, SUBMISSION_PARTITIONS } from '../../src/cluster/submissions.js'
import { WorkerPort, type EndKind, type EndReport, type PollRequest, type PollOutcome, type CommandOutcome, type StartCommand, type WorkerAddress } from '../../src/cluster/workerPort.js'
import type { ClusterConfiguration } from '../../src/contracts/clusterConfiguration.js'
import { encodeRecord } from '../../src/contracts/clusterRecords.js'
import { stepJobSchema, type StepJob } from '../../src/contracts/stepJob.js'
import { FakeWorker, type FakeWorkerObserver } from './fakeClusterWorkers.js'
import { FakeRecordLog } from './fakeRecordLog.js'
import { PausedClock, SimulatedProcess } from './pausedClock.js'

const BOUNDS = { workerLeaseMilliseconds: 6000, graceMilliseconds: 6000, stateRetentionMilliseconds: 120_000 }

/** Runs of one task that may fail before its job fails. */
export const MAXIMUM_ATTEMPTS = 3

const CONFIGURATION: ClusterConfiguration = {
  revision: 1,
  queues: [
    { name: 'urgent', host: 'host', routePrefix: '/u/', pool: 'pool', priority: 0, attempts: MAXIMUM_ATTEMPTS, stretch: 2, targetMilliseconds: 500 },
    { name: 'batch', host: 'host', routePrefix: '/b/', pool: 'pool', priority: 1, attempts: MAXIMUM_ATTEMPTS, stretch: 2, targetMilliseconds: 500 }
  ],
  maximumBodyBytes: 100_000
}

/** Step of the clock, in milliseconds. */
const STEP_MILLISECONDS = 10
/** Time limits of calls, in milliseconds; those of the real clients. */
const ORDER_TIMEOUT_MILLISECONDS = 400
const LOOK_SLACK_MILLISECONDS = 600
const LOG_TIMEOUT_MILLISECONDS = 2000
/** One way from a scheduler to a worker or the log, at most, in milliseconds. */
const MAXIMUM_DELAY_MILLISECONDS = 8
/** Delays of a slow path and of calls that are carried out late, in milliseconds. */
const SLOW_MILLISECONDS = 240
const LATE_MILLISECONDS = 3000
/** How long a former scheduler may go on renewing its role after a successor has claimed it, in milliseconds. */
const OVERLAP_MILLISECONDS = 3000
/** Time that a gang takes, and that a member waits for the others, in milliseconds. */
const GANG_RUN_MILLISECONDS = 1000
const GANG_WAIT_MILLISECONDS = 3000
/** Rate of a worker's clock that runs slow. */
export const SLOW_CLOCK_RATE = 0.98

/** A path between a scheduler and a worker or the log: calls do not arrive, are carried out without an answer, or both late. */
export type PathFault = 'none' | 'cut' | 'answerLost' | 'late' | 'slow'

/** Carries calls of one process over a path. */
class Path {
  fault: PathFault = 'none'

  constructor (private readonly clock: PausedClock, private readonly process: SimulatedProcess, private readonly random: Random) {}

  /** The result of the call, or `onTimeout` if it does not come in time. */
  async call<T> (carryOut: () => Promise<T>, timeoutMilliseconds: number, onTimeout: T): Promise<T> {
    const fault = this.fault
    return await new Promise<T>(resolve => {
      this.clock.after(timeoutMilliseconds, () => this.process.deliver(() => resolve(onTimeout)))
      if (fault === 'cut') return
      this.clock.after(this.delay(fault), () => {
        carryOut().then(result => {
          if (fault === 'answerLost' || fault === 'late' || this.fault === 'cut') return
          this.clock.after(this.delay(fault), () => this.process.deliver(() => resolve(result)))
        })
      })
    })
  }

  private delay (fault: PathFault): number {
    const usual = this.random.integerBelow(MAXIMUM_DELAY_MILLISECONDS)
    if (fault === 'late') return LATE_MILLISECONDS + usual
    return fault === 'slow' ? SLOW_MILLISECONDS + usual : usual
  }
}

/** The log as one process reaches it. */
class LogOverPath extends RecordLog {
  constructor (private readonly log: FakeRecordLog, private readonly path: Path) {
    super()
  }

  override async append (topic: string, partition: number, records: readonly KeyedRecord[], options?: AppendOptions): Promise<AppendOutcome> {
    return await this.path.call(async () => await this.log.append(topic, partition, records, options), LOG_TIMEOUT_MILLISECONDS, { kind: 'unknown', reason: 'timed out' })
  }

  override async read (topic: string, partition: number, from: number, waitMilliseconds: number): Promise<ReadOutcome> {
    return await this.path.call(async () => await this.log.read(topic, partition, from, waitMilliseconds), LOG_TIMEOUT_MILLISECONDS + waitMilliseconds, { kind: 'unavailable', reason: 'timed out' })
  }

  override async snapshot (topic: string, partition: number): Promise<SnapshotOutcome> {
    return await this.path.call(async () => await this.log.snapshot(topic, partition), LOG_TIMEOUT_MILLISECONDS, { kind: 'unavailable', reason: 'timed out' })
  }
}

/** The workers as one process reaches them. */
export class WorkersOverPaths extends WorkerPort {
  /** Process of each worker that the connection for looks leads to. */
  private readonly connectedTo = new Map<string, number>()

  constructor (private readonly workers: ReadonlyMap<string, FakeWorker>, private readonly pathTo: (worker: string) => Path) {
    super()
  }

  override async poll ({ identity }: WorkerAddress, order: PollRequest): Promise<PollOutcome> {
    const sent = this.isStillConnected(identity) ? order : { ...order, acknowledgedEnd: 0 }
    const outcome = await this.call<PollOutcome>(identity, async worker => await worker.poll(sent), LOOK_SLACK_MILLISECONDS + order.waitMilliseconds, { kind: 'failed', reason: 'timed out' })
    if (order.isInSequence && outcome.kind === 'report') this.connectedTo.set(identity, outcome.report.bornAt)
    return outcome
  }

  /** A connection ends with the process that it leads to. */
  isStillConnected (identity: string): boolean {
    return this.connectedTo.get(identity) === this.workers.get(identity)?.bornAt
  }

  override async start ({ identity }: WorkerAddress, order: StartCommand): Promise<CommandOutcome> {
    return await this.call<CommandOutcome>(identity, async worker => await worker.start(order), ORDER_TIMEOUT_MILLISECONDS, { kind: 'unknown', reason: 'timed out' })
  }

  override async stop ({ identity }: WorkerAddress, task: string, run: number, term: number): Promise<CommandOutcome> {
    return await this.call<CommandOutcome>(identity, async worker => await worker.stop(task, run, term), ORDER_TIMEOUT_MILLISECONDS, { kind: 'unknown', reason: 'timed out' })
  }

  private async call<T> (identity: string, carryOut: (worker: FakeWorker) => Promise<T>, timeoutMilliseconds: number, onTimeout: T): Promise<T> {
    const worker = this.workers.get(identity)
    const born = worker?.bornAt
    return await this.pathTo(identity).call(async () => {
      const present = this.workers.get(identity)
      // A call that was sent to a process that has ended since is lost with it.
      if (present === undefined || present.bornAt !== born) return onTimeout
      return await carryOut(present)
    }, timeoutMilliseconds, onTimeout)
  }
}

/** Timers of the surroundings. */
export interface Timers {
  after (milliseconds: number, work: () => void): unknown
}

/** What an observer of workers needs to know of the cluster. */
export interface ClusterView {
  readonly workers: ReadonlyMap<string, FakeWorker>
  readonly jobs: readonly SubmittedStepJob[]
}

/** Ends the members of gangs together: done once all have been present for a while, broken if one ends otherwise, alone if one waits too long. Passes on what it observes. */
export class GangSimulator implements FakeWorkerObserver {
  constructor (private readonly timers: Timers, private readonly view: ClusterView, private readonly observer: FakeWorkerObserver) {}

  /** Names of the tasks of the gang that a task belongs to; empty if it belongs to none. */
  membersOf (task: string): string[] {
    const [identity, occurrence, index] = task.split('.')
    const step = this.view.jobs.find(job => job.identity === identity)?.job.steps[Number(index)]
    if (step?.gang !== true) return []
    return Array.from({ length: step.count }, (_, member) => `${identity}.${occurrence}.${index}.${member}`)
  }

  onDidStart (worker: FakeWorker, task: string, run: number): void {
    this.observer.onDidStart(worker, task, run)
    const members = this.membersOf(task)
    if (members.length === 0) return
    // The start is noted by its worker after this.
    this.timers.after(0, () => {
      if (this.areAllPresent(members, run)) this.timers.after(GANG_RUN_MILLISECONDS, () => { if (this.areAllPresent(members, run)) this.endAll(members, run, 'done') })
    })
    this.timers.after(GANG_WAIT_MILLISECONDS, () => { if (!this.areAllPresent(members, run)) this.endAll([task], run, 'alone') })
  }

  onDidEnd (worker: FakeWorker, end: EndReport): void {
    this.observer.onDidEnd(worker, end)
    const members = this.membersOf(end.task)
    if (members.length > 0 && end.kind !== 'done') this.timers.after(0, () => this.endAll(members, end.run, 'broken'))
  }

  onDidAcknowledgeEnd (worker: FakeWorker, end: EndReport): void {
    this.observer.onDidAcknowledgeEnd(worker, end)
  }

  private areAllPresent (members: readonly string[], run: number): boolean {
    for (const worker of this.view.workers.values()) worker.expire()
    return members.every(member => [...this.view.workers.values()].some(worker => worker.running.get(member)?.run === run))
  }

  private endAll (members: readonly string[], run: number, kind: EndKind): void {
    for (const worker of this.view.workers.values()) {
      worker.expire()
      for (const member of members) worker.endIfRunning(member, run, kind)
    }
  }
}

/** One scheduler in a process of its own. */
export interface StartedScheduler {
  readonly process: SimulatedProcess
  readonly term: number
  readonly log: Path
  readonly activeScheduler: ActiveScheduler
  pathTo (worker: string): Path
  renewedAt: number
  supersededAt: number
  isSuperseded: boolean
}

/** A job that was handed in, with the shape of its steps. */
export interface SubmittedStepJob {
  readonly identity: string
  readonly job: StepJob
  isCancelled: boolean
}

/** Workers, a log and schedulers that follow each other, on a paused clock. */
export class FakeCluster implements ClusterView {
  readonly clock = new PausedClock()
  readonly log = new FakeRecordLog()
  readonly workers = new Map<string, FakeWorker>()
  readonly schedulers: StartedScheduler[] = []
  readonly jobs: SubmittedStepJob[] = []
  private readonly gangs: GangSimulator
  private readonly random: Random
  private workerCount = 0

  constructor (seed: number, private readonly observer: FakeWorkerObserver & { onStep (cluster: FakeCluster): void }) {
    this.random = new Random(seed)
    this.gangs = new GangSimulator(this.clock, this, observer)
  }

  /** Schedulers that run and have not been shut out. */
  get runningSchedulers (): StartedScheduler[] {
    return this.schedulers.filter(scheduler => !scheduler.process.isCrashed && !scheduler.isSuperseded)
  }

  addWorker (): FakeWorker {
    this.workerCount += 1
    const worker = new FakeWorker(`w${this.workerCount}`, 2, task => this.gangs.membersOf(task).length > 0 ? Infinity : 300 + 700 * (Number(task.at(-1)) % 5))
    worker.clockRate = this.workerCount % 2 === 0 ? SLOW_CLOCK_RATE : 1
    worker.observer = this.gangs
    this.workers.set(worker.identity, worker)
    for (const { process, activeScheduler: acting } of this.runningSchedulers) process.deliver(() => acting.setWorker(worker.entry))
    return worker
  }

  /** The worker's process ends for good; its entry goes. */
  removeWorker (worker: FakeWorker): void {
    worker.restart()
    this.workers.delete(worker.identity)
    for (const { process, activeScheduler: acting } of this.runningSchedulers) process.deliver(() => acting.removeWorker(worker.identity))
  }

  /** Another instance takes the role over; the former scheduler goes on until it is shut out. `logFault`: how the successor reaches the log. */
  startScheduler (logFault: PathFault = 'none'): StartedScheduler {
    const term = this.schedulers.length + 1
    const now = performance.now()
    for (const former of this.schedulers) former.supersededAt = Math.min(former.supersededAt, now)
    const process = new SimulatedProcess(`scheduler-${term}`, 'a')
    const paths = new Map<string, Path>()
    const newPath = (): Path => new Path(this.clock, process, new Random(this.random.integerBelow(1_000_000)))
    const pathTo = (worker: string): Path => {
      const path = paths.get(worker) ?? newPath()
      paths.set(worker, path)
      return path
    }
    const log = newPath()
    log.fault = logFault
    const scheduler: StartedScheduler = { process, term, log, pathTo, renewedAt: now, supersededAt: Infinity, isSuperseded: false, activeScheduler: undefined as never }
    process.run(() => {
      const acting = new ActiveScheduler(new LogOverPath(this.log, log), new WorkersOverPaths(this.workers, pathTo), {
        term,
        bounds: BOUNDS,
        renewedAt: () => scheduler.renewedAt,
        eligibilityChannels: () => [],
        onSuperseded: () => {
          scheduler.isSuperseded = true
          acting.dispose()
        }
      }, new ClusterMetrics(), new Logger(process.name, 'error', () => {}), new Random(term), () => performance.now())
      Object.assign(scheduler, { activeScheduler: acting })
      acting.takeOver(CONFIGURATION, [...this.workers.values()].map(worker => worker.entry))
    })
    this.schedulers.push(scheduler)
    return scheduler
  }

  /** The scheduler's process ends at once. */
  crashScheduler (scheduler: StartedScheduler): void {
    scheduler.process.crash()
    scheduler.activeScheduler.dispose()
  }

  /** Hands a job in; it is accepted once the log holds it. */
  submit (queue: 'urgent' | 'batch', steps: readonly object[]): void {
    const identity = `j${this.jobs.length}`
    const job = stepJobSchema.parse({ specification: 'text', steps })
    const record = { key: identity, value: encodeRecord({ queue, pool: 'pool', job, acceptedAt: Date.now() }) }
    this.jobs.push({ identity, job, isCancelled: false })
    this.clock.after(0, () => { this.log.append(TOPICS.submissions, this.random.integerBelow(SUBMISSION_PARTITIONS), [record]) })
  }

  cancel (job: SubmittedStepJob): void {
    job.isCancelled = true
    this.clock.after(0, () => { this.log.append(TOPICS.submissions, 0, [{ key: cancelKey(job.identity), value: Buffer.from([1]) }]) })
  }

  /** Advances the clock; a scheduler is started if none is left. */
  async advance (milliseconds: number): Promise<void> {
    if (this.runningSchedulers.length === 0) this.startScheduler()
    await this.clock.advance(milliseconds, STEP_MILLISECONDS, () => {
      this.renewRoles()
      this.observer.onStep(this)
    })
  }

  /** Ends all faults. Schedulers that were frozen wake. */
  heal (): void {
    for (const scheduler of this.schedulers) {
      scheduler.log.fault = 'none'
      for (const worker of this.workers.keys()) scheduler.pathTo(worker).fault = 'none'
      scheduler.process.resume()
    }
    for (const worker of this.workers.values()) worker.endKind = 'done'
  }

  dispose (): void {
    for (const scheduler of this.schedulers) {
      scheduler.process.resume()
      this.crashScheduler(scheduler)
    }
    this.clock.uninstall()
  }

  private renewRoles (): void {
    const now = performance.now()
    for (const scheduler of this.runningSchedulers) {
      if (!scheduler.process.isPaused && scheduler.log.fault !== 'cut' && now < scheduler.supersededAt + OVERLAP_MILLISECONDS) scheduler.renewedAt = now
    }
  }
}
