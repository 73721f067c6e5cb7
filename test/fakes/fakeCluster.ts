import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { ActiveScheduler } from '../../src/cluster/activeScheduler.js'
import { ClusterMetrics } from '../../src/cluster/clusterMetrics.js'
import { RecordLog, TOPICS, type AppendOptions, type AppendOutcome, type KeyedRecord, type ReadOutcome, type SnapshotOutcome } from '../../src/cluster/recordLog.js'
import { cancelKey, SUBMISSION_PARTITIONS } from '../../src/cluster/submissions.js'
import { WorkerPort, type EndKind, type EndReport, type PollRequest, type PollOutcome, type CommandOutcome, type StartCommand, type WorkerAddress } from '../../src/cluster/workerPort.js'
import type { ClusterConfiguration, Organisation } from '../../src/contracts/clusterConfiguration.js'
import { encodeRecord } from '../../src/contracts/clusterRecords.js'
import { stepJobSchema, type StepJob } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker, type FakeClusterWorkerObserver } from './fakeClusterWorkers.js'
import { DECISION_MILLISECONDS, FakeEligibilityService, PER_WORKER_MILLISECONDS, TICKET_MILLISECONDS } from './fakeEligibilityService.js'
import { FakeRecordLog } from './fakeRecordLog.js'
import { PausedClock, SimulatedProcess } from './pausedClock.js'
import { SharedLoad } from './sharedLoad.js'

const BOUNDS = { workerLeaseMilliseconds: 6000, graceMilliseconds: 6000, capacityGraceMilliseconds: 3000 }
/** Default retention of the state of a finished job, in milliseconds. */
const STATE_RETENTION_MILLISECONDS = 120_000

/** Number of failed runs of one task after which its job fails. */
export const MAXIMUM_ATTEMPTS = 3

/** Queues of the cluster; the eligibility service decides which workers may run the steps of `restricted`. */
export type QueueName = 'urgent' | 'batch' | 'restricted'

const CONFIGURATION: ClusterConfiguration = {
  revision: 1,
  queues: [
    { name: 'urgent', host: 'host', routePrefix: '/u/', pool: 'pool', priority: 0, attempts: MAXIMUM_ATTEMPTS, stretch: 2, targetMilliseconds: 500 },
    { name: 'batch', host: 'host', routePrefix: '/b/', pool: 'pool', priority: 1, attempts: MAXIMUM_ATTEMPTS, stretch: 2, targetMilliseconds: 500 },
    { name: 'restricted', host: 'host', routePrefix: '/r/', pool: 'pool', priority: 1, attempts: MAXIMUM_ATTEMPTS, stretch: 2, targetMilliseconds: 500, eligibility: { decisionMilliseconds: DECISION_MILLISECONDS, perWorkerMilliseconds: PER_WORKER_MILLISECONDS, ticketMilliseconds: TICKET_MILLISECONDS } }
  ],
  organisations: [],
  pools: [],
  maximumBodyBytes: 100_000
}

/** Period of the heartbeats of workers, and time after which the registry drops a silent one, in milliseconds. */
const HEARTBEAT_MILLISECONDS = 1500
const REGISTRY_EXPIRY_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS
/** Instances through which the eligibility service can be reached. */
export const INSTANCES = ['a', 'b', 'c', 'd']
/** Step by which the clock advances, in milliseconds. */
const STEP_MILLISECONDS = 10
/** Timeouts of calls in milliseconds, the same as those of the real clients. */
const COMMAND_TIMEOUT_MILLISECONDS = 400
const POLL_SLACK_MILLISECONDS = 600
const LOG_TIMEOUT_MILLISECONDS = 2000
/** Longest one-way delay between a scheduler and a worker or the log, in milliseconds. */
const MAXIMUM_DELAY_MILLISECONDS = 8
/** One-way delays on a path with the fault `slow` or `late`, in milliseconds. */
const SLOW_MILLISECONDS = 240
const LATE_MILLISECONDS = 3000
/** Time for which a former scheduler may continue to renew its role after a successor has claimed it, in milliseconds. */
const OVERLAP_MILLISECONDS = 3000
/** Run time of a gang, and the time after which a member stops waiting for the others, in milliseconds. */
const GANG_RUN_MILLISECONDS = 1000
const GANG_WAIT_MILLISECONDS = 3000
/** Run time of filler work at full pace, in milliseconds. */
const FILLER_RUN_MILLISECONDS = 15_000
/** Rate of a slow worker clock relative to the true clock. */
export const SLOW_CLOCK_RATE = 0.98

/** Fault of a path between a scheduler and a worker or the log: calls are dropped, executed without a response, executed late without a response, or delayed. */
export type PathFault = 'none' | 'cut' | 'answerLost' | 'late' | 'slow'

/** Delivers the calls of one process over a path with faults. */
class Path {
  fault: PathFault = 'none'

  constructor (private readonly clock: PausedClock, private readonly process: SimulatedProcess, private readonly random: Random) {}

  /** Returns the result of the call, or `timeoutResult` after the timeout. */
  async call<T> (execute: () => Promise<T>, timeoutMilliseconds: number, timeoutResult: T): Promise<T> {
    const fault = this.fault
    return await new Promise<T>(resolve => {
      this.clock.after(timeoutMilliseconds, () => this.process.deliver(() => resolve(timeoutResult)))
      if (fault === 'cut') return
      this.clock.after(this.delay(fault), () => {
        execute().then(result => {
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

/** The log as reached by one process over a path. */
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

/** The workers as reached by one process, over a path to each. */
export class WorkersOverPaths extends WorkerPort {
  /** Start time of the worker process to which the polling connection is open, by worker. */
  private readonly connectedTo = new Map<string, number>()

  constructor (private readonly workers: ReadonlyMap<string, FakeClusterWorker>, private readonly pathTo: (worker: string) => Path, private readonly isReplaced: (worker: string) => boolean = () => false) {
    super()
  }

  override async poll ({ identity }: WorkerAddress, request: PollRequest): Promise<PollOutcome> {
    const sent = this.isStillConnected(identity) ? request : { ...request, acknowledgedEnd: 0 }
    const outcome = await this.call<PollOutcome>(identity, async worker => await worker.poll(sent), POLL_SLACK_MILLISECONDS + request.waitMilliseconds, { kind: 'failed', reason: 'timed out' })
    if (request.isInSequence && outcome.kind === 'report') this.connectedTo.set(identity, outcome.report.processStartedAt)
    return outcome
  }

  /** A connection breaks when the worker process at its other end exits. */
  isStillConnected (identity: string): boolean {
    return this.connectedTo.get(identity) === this.workers.get(identity)?.processStartedAt
  }

  override async start ({ identity }: WorkerAddress, command: StartCommand): Promise<CommandOutcome> {
    return await this.call<CommandOutcome>(identity, async worker => await worker.start(command), COMMAND_TIMEOUT_MILLISECONDS, { kind: 'unknown', reason: 'timed out' })
  }

  override async stop ({ identity }: WorkerAddress, task: string, run: number, term: number): Promise<CommandOutcome> {
    return await this.call<CommandOutcome>(identity, async worker => await worker.stop(task, run, term), COMMAND_TIMEOUT_MILLISECONDS, { kind: 'unknown', reason: 'timed out' })
  }

  override async pace ({ identity }: WorkerAddress, task: string, run: number, percent: number, term: number): Promise<CommandOutcome> {
    return await this.call<CommandOutcome>(identity, async worker => await worker.pace(task, run, percent, term), COMMAND_TIMEOUT_MILLISECONDS, { kind: 'unknown', reason: 'timed out' })
  }

  private async call<T> (identity: string, execute: (worker: FakeClusterWorker) => Promise<T>, timeoutMilliseconds: number, timeoutResult: T): Promise<T> {
    const worker = this.workers.get(identity)
    const targetProcessStartedAt = worker?.processStartedAt
    return await this.pathTo(identity).call(async () => {
      const current = this.workers.get(identity)
      if (this.isReplaced(identity)) return { kind: 'replaced' } as T
      // A call is lost if the worker process to which it was sent exits before it arrives.
      if (current === undefined || current.processStartedAt !== targetProcessStartedAt) return timeoutResult
      return await execute(current)
    }, timeoutMilliseconds, timeoutResult)
  }
}

/** Timers outside every simulated process. */
export interface Timers {
  after (milliseconds: number, work: () => void): unknown
}

/** The workers and jobs of a cluster as observers read them. */
export interface ClusterView {
  readonly workers: ReadonlyMap<string, FakeClusterWorker>
  readonly jobs: readonly SubmittedStepJob[]
}

/**
 * Ends the members of gangs together: `done` after all have run together for the gang's run time, `broken` if one ends otherwise,
 * `alone` if one waits too long for the others. Forwards all events to another observer.
 */
export class GangSimulator implements FakeClusterWorkerObserver {
  constructor (private readonly timers: Timers, private readonly view: ClusterView, private readonly observer: FakeClusterWorkerObserver) {}

  /** Returns the names of all tasks in the gang of a task; empty if the task belongs to no gang. */
  membersOf (task: string): string[] {
    const [identity, occurrence, index] = task.split('.')
    const step = this.view.jobs.find(job => job.identity === identity)?.job.steps[Number(index)]
    if (step?.gang !== true) return []
    return Array.from({ length: step.count }, (_, member) => `${identity}.${occurrence}.${index}.${member}`)
  }

  onDidStart (worker: FakeClusterWorker, task: string, run: number): void {
    this.observer.onDidStart(worker, task, run)
    const members = this.membersOf(task)
    if (members.length === 0) return
    // The worker registers the run as running only after this event.
    this.timers.after(0, () => {
      if (this.areAllRunning(members, run)) this.timers.after(GANG_RUN_MILLISECONDS, () => { if (this.areAllRunning(members, run)) this.endAll(members, run, 'done') })
    })
    this.timers.after(GANG_WAIT_MILLISECONDS, () => { if (!this.areAllRunning(members, run)) this.endAll([task], run, 'alone') })
  }

  onDidEnd (worker: FakeClusterWorker, end: EndReport): void {
    this.observer.onDidEnd(worker, end)
    const members = this.membersOf(end.task)
    if (members.length > 0 && end.kind !== 'done') this.timers.after(0, () => this.endAll(members, end.run, 'broken'))
  }

  onDidAcknowledgeEnd (worker: FakeClusterWorker, end: EndReport): void {
    this.observer.onDidAcknowledgeEnd(worker, end)
  }

  onDidCrash (worker: FakeClusterWorker): void {
    const broken = [...worker.running.values()].flatMap(({ task, run }) => this.membersOf(task).map(member => ({ member, run })))
    this.observer.onDidCrash?.(worker)
    if (worker.outage === 'none') return
    this.timers.after(0, () => { for (const { member, run } of broken) this.endAll([member], run, 'broken') })
  }

  private areAllRunning (members: readonly string[], run: number): boolean {
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

/** One scheduler in its own simulated process. */
export interface StartedScheduler {
  readonly process: SimulatedProcess
  readonly term: number
  readonly log: Path
  readonly activeScheduler: ActiveScheduler
  pathTo (worker: string): Path
  renewedAt: number
  /** Monotonic time in milliseconds at which a successor was started; Infinity if there is none. */
  supersededAt: number
  /** Whether the scheduler has detected that it was superseded. */
  isSuperseded: boolean
  /** Revision of the configuration that the scheduler has received. */
  revision: number
}

/** How a worker crashes and comes back. */
export interface CrashOptions {
  /** Identity of the worker once it is back. */
  readonly identity: 'same' | 'new'
  /** Whether connections are refused meanwhile, or calls get no response. */
  readonly outage: 'refused' | 'silent'
  readonly downMilliseconds: number
}

/** Tasks of a job that crash each worker that starts them. */
export interface TaskCrashes extends CrashOptions {
  /** Indexes of the tasks, in every step. */
  readonly tasks: readonly number[]
  /** Time from the start of a run to the crash. */
  readonly afterMilliseconds: number
}

/** Crashes workers that start a task which is to crash them. Forwards all events to another observer. */
export class CrashSimulator implements FakeClusterWorkerObserver {
  constructor (private readonly cluster: FakeCluster, private readonly observer: FakeClusterWorkerObserver) {}

  onDidStart (worker: FakeClusterWorker, task: string, run: number): void {
    this.observer.onDidStart(worker, task, run)
    const crashes = crashesOf(this.cluster, task)
    if (crashes === undefined) return
    this.cluster.clock.after(crashes.afterMilliseconds, () => { if (worker.running.get(task)?.run === run) this.cluster.crashWorker(worker, crashes) })
  }

  onDidEnd (worker: FakeClusterWorker, end: EndReport): void {
    this.observer.onDidEnd(worker, end)
  }

  onDidAcknowledgeEnd (worker: FakeClusterWorker, end: EndReport): void {
    this.observer.onDidAcknowledgeEnd(worker, end)
  }

  onDidCrash (worker: FakeClusterWorker): void {
    this.observer.onDidCrash?.(worker)
  }
}

/** Returns the crashes that a task causes; undefined if it causes none. */
export function crashesOf (view: ClusterView, task: string): TaskCrashes | undefined {
  const [identity, , , index] = task.split('.')
  const crashes = view.jobs.find(job => job.identity === identity)?.crashes
  return crashes?.tasks.includes(Number(index)) === true ? crashes : undefined
}

/** A submitted job with its steps. */
export interface SubmittedStepJob {
  readonly identity: string
  readonly queue: string
  readonly job: StepJob
  isCancelled: boolean
  /** Crashes that the job's tasks cause; undefined if they cause none. */
  readonly crashes?: TaskCrashes
  readonly organisation?: string
}

/** Workers, a log and successive schedulers on a paused clock. */
export class FakeCluster implements ClusterView {
  readonly clock = new PausedClock()
  readonly log = new FakeRecordLog()
  readonly workers = new Map<string, FakeClusterWorker>()
  readonly schedulers: StartedScheduler[] = []
  readonly jobs: SubmittedStepJob[] = []
  readonly sharedLoad = new SharedLoad(this)
  readonly eligibility = new FakeEligibilityService(this.clock, INSTANCES, worker => this.workers.get(worker)?.processStartedAt)
  /** Time of the last fault or change other than of the load, in milliseconds of the monotonic clock. */
  disturbedAt = 0
  /** Newest configuration. */
  configuration = CONFIGURATION
  private maximumReportedEnds: number | undefined
  private readonly gangSimulator: GangSimulator
  private readonly crashSimulator: CrashSimulator
  private readonly random: Random
  private workerCount = 0
  /** Identities of workers whose machine runs a later worker. */
  private readonly replacedWorkers = new Set<string>()

  constructor (seed: number, private readonly observer: FakeClusterWorkerObserver & { onStep (cluster: FakeCluster): void }, private readonly stateRetentionMilliseconds = STATE_RETENTION_MILLISECONDS) {
    this.random = new Random(seed)
    this.gangSimulator = new GangSimulator(this.clock, this, observer)
    this.crashSimulator = new CrashSimulator(this, this.gangSimulator)
  }

  /** Schedulers whose process runs and that have not detected that they were superseded. */
  get runningSchedulers (): StartedScheduler[] {
    return this.schedulers.filter(scheduler => !scheduler.process.isCrashed && !scheduler.isSuperseded)
  }

  /** Adds a worker; on the machine of another one if that one has crashed. */
  addWorker (machine?: string): FakeClusterWorker {
    this.workerCount += 1
    const worker = new FakeClusterWorker(`w${this.workerCount}`, 2, task => this.durationOf(task))
    worker.describeRun = (_, run) => this.sharedLoad.describeRun(worker, run)
    worker.isTicketValid = (_, command) => !this.isRestricted(command.task) || this.eligibility.isTicketValid(worker.identity, command)
    worker.clockRate = this.workerCount % 2 === 0 ? SLOW_CLOCK_RATE : 1
    if (machine !== undefined) {
      worker.machine = machine
      worker.processStartedAt = Date.now()
    }
    if (this.maximumReportedEnds !== undefined) worker.maximumReportedEnds = this.maximumReportedEnds
    worker.observer = this.crashSimulator
    this.workers.set(worker.identity, worker)
    this.publishEntry(worker)
    return worker
  }

  /** Limits the number of ends in a report of present and later workers. */
  limitReportedEnds (maximum: number): void {
    this.maximumReportedEnds = maximum
    for (const worker of this.workers.values()) worker.maximumReportedEnds = maximum
  }

  /** Writes a worker's current registry entry, which the schedulers receive at once. */
  publishEntry (worker: FakeClusterWorker): void {
    for (const { process, activeScheduler } of this.runningSchedulers) process.deliver(() => activeScheduler.setWorker(worker.entry))
  }

  /** Publishes a configuration with these organisations, which the schedulers receive at once. */
  configureOrganisations (organisations: readonly Organisation[]): void {
    const configuration = { ...this.configuration, revision: this.configuration.revision + 1, organisations }
    this.configuration = configuration
    for (const scheduler of this.runningSchedulers) {
      scheduler.process.deliver(() => {
        scheduler.activeScheduler.setConfiguration(configuration)
        scheduler.revision = configuration.revision
      })
    }
  }

  /** Changes the capacity of a worker, which its registry entry shows from its next heartbeat on. */
  resizeWorker (worker: FakeClusterWorker, capacity: number): void {
    worker.resize(capacity)
    this.clock.after(HEARTBEAT_MILLISECONDS, () => { if (this.workers.has(worker.identity)) this.publishEntry(worker) })
  }

  /**
   * Crashes a worker. Its machine is back after a while: with the same identity, or with a new one at the address of the old one, whose
   * registry entry expires.
   */
  crashWorker (worker: FakeClusterWorker, { identity, outage, downMilliseconds }: CrashOptions): void {
    if (worker.outage !== 'none') return
    worker.crash(outage)
    if (identity === 'same') {
      this.clock.after(downMilliseconds, () => {
        worker.outage = 'none'
        if (this.workers.has(worker.identity)) this.publishEntry(worker)
      })
      return
    }
    this.clock.after(downMilliseconds, () => {
      this.replacedWorkers.add(worker.identity)
      this.addWorker(worker.machine)
    })
    this.clock.after(REGISTRY_EXPIRY_MILLISECONDS, () => this.removeWorker(worker))
  }

  /** Lets a worker drain; its process exits once the stated time has passed. */
  drainWorker (worker: FakeClusterWorker, milliseconds: number): void {
    if (worker.state === 'draining') return
    worker.state = 'draining'
    worker.drainRemainingMilliseconds = milliseconds
    this.publishEntry(worker)
    this.clock.after(milliseconds, () => this.removeWorker(worker))
  }

  /** Ends the worker's process permanently and removes its registry entry. */
  removeWorker (worker: FakeClusterWorker): void {
    worker.exit()
    this.workers.delete(worker.identity)
    for (const { process, activeScheduler } of this.runningSchedulers) process.deliver(() => activeScheduler.removeWorker(worker.identity))
  }

  /** Starts a scheduler with the next term. The former one continues until it detects that it was superseded. `logFault` is the fault of the successor's path to the log. */
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
    const scheduler: StartedScheduler = { process, term, log, pathTo, renewedAt: now, supersededAt: Infinity, isSuperseded: false, revision: this.configuration.revision, activeScheduler: undefined as never }
    process.run(() => {
      const activeScheduler = new ActiveScheduler(new LogOverPath(this.log, log), new WorkersOverPaths(this.workers, pathTo, worker => this.replacedWorkers.has(worker)), {
        term,
        bounds: { ...BOUNDS, stateRetentionMilliseconds: this.stateRetentionMilliseconds },
        renewedAt: () => scheduler.renewedAt,
        registryReadAt: () => performance.now(),
        eligibilityChannels: () => this.eligibility.channelsOf(process),
        onBacklog: () => {},
        onSuperseded: () => {
          scheduler.isSuperseded = true
          activeScheduler.dispose()
        }
      }, new ClusterMetrics(), new Logger(process.name, 'error', () => {}), new Random(term), () => performance.now())
      Object.assign(scheduler, { activeScheduler })
      activeScheduler.takeOver(this.configuration, [...this.workers.values()].map(worker => worker.entry))
    })
    this.schedulers.push(scheduler)
    return scheduler
  }

  /** Ends the scheduler's process at once, without a shutdown. */
  crashScheduler (scheduler: StartedScheduler): void {
    scheduler.process.crash()
    scheduler.activeScheduler.dispose()
  }

  /** Submits a job, which counts as accepted once the log has stored it. */
  submit (queue: QueueName, steps: readonly object[], crashes?: TaskCrashes, organisation?: string): SubmittedStepJob {
    const identity = `j${this.jobs.length}`
    const job = stepJobSchema.parse({ specification: 'text', steps })
    const record = { key: identity, value: encodeRecord({ queue, pool: 'pool', organisation, job, acceptedAt: Date.now() }) }
    const submitted: SubmittedStepJob = { identity, queue, job, isCancelled: false, crashes, organisation }
    this.jobs.push(submitted)
    this.clock.after(0, () => { this.log.append(TOPICS.submissions, this.random.integerBelow(SUBMISSION_PARTITIONS), [record]) })
    return submitted
  }

  cancel (job: SubmittedStepJob): void {
    job.isCancelled = true
    this.clock.after(0, () => { this.log.append(TOPICS.submissions, 0, [{ key: cancelKey(job.identity), value: Buffer.from([1]) }]) })
  }

  /** Advances the clock. Starts a scheduler first if none is running. */
  async advance (milliseconds: number): Promise<void> {
    if (this.runningSchedulers.length === 0) this.startScheduler()
    await this.clock.advance(milliseconds, STEP_MILLISECONDS, () => {
      this.renewRoles()
      this.observer.onStep(this)
    })
  }

  /** Returns true while a path or a worker is faulty, or no scheduler is running. */
  get hasFault (): boolean {
    const running = this.runningSchedulers
    if (running.length !== 1 || running.some(({ process, log }) => process.isPaused || log.fault !== 'none')) return true
    return [...this.workers.values()].some(worker => worker.fault !== 'none' || !worker.isReachable || running.some(scheduler => scheduler.pathTo(worker.identity).fault !== 'none'))
  }

  /** Removes all faults and resumes paused schedulers. */
  heal (): void {
    for (const scheduler of this.schedulers) {
      scheduler.log.fault = 'none'
      for (const worker of this.workers.keys()) scheduler.pathTo(worker).fault = 'none'
      scheduler.process.resume()
    }
    for (const worker of this.workers.values()) worker.endKind = 'done'
    this.eligibility.faults.clear()
  }

  dispose (): void {
    for (const scheduler of this.schedulers) {
      scheduler.process.resume()
      this.crashScheduler(scheduler)
    }
    this.clock.uninstall()
  }

  private isRestricted (task: string): boolean {
    return this.jobs.find(({ identity }) => identity === task.split('.', 1)[0])?.queue === 'restricted'
  }

  private durationOf (task: string): number {
    const step = this.sharedLoad.stepOf(task)
    if (this.gangSimulator.membersOf(task).length > 0 || step?.longRunning === true) return Infinity
    if (step?.filler === true) return FILLER_RUN_MILLISECONDS
    return 300 + 700 * (Number(task.at(-1)) % 5)
  }

  private renewRoles (): void {
    const now = performance.now()
    if (this.hasFault) this.disturbedAt = now
    for (const scheduler of this.runningSchedulers) {
      if (!scheduler.process.isPaused && scheduler.log.fault !== 'cut' && now < scheduler.supersededAt + OVERLAP_MILLISECONDS) scheduler.renewedAt = now
    }
  }
}
