import { WorkerPort, type EndKind, type EndReport, type PollRequest, type PollOutcome, type CommandOutcome, type StartCommand, type WorkerAddress, type WorkerEntry } from '../../src/cluster/workerPort.js'

/**
 * How a fake worker handles commands: executes them, executes them without a response, drops them, executes them late without a
 * response, or refuses them as unhealthy or because of an invalid ticket.
 */
export type CommandFault = 'none' | 'answerLost' | 'notDelivered' | 'late' | 'unhealthy' | 'ticket'

/** Time from a reduction of a worker's capacity until starts beyond it are violations, in milliseconds. */
export const RESIZE_GRACE_MILLISECONDS = 4500

/** Default of the maximum number of ends in a report. */
const REPORTED_ENDS = 500

/** Longest lease that a worker accepts, in milliseconds on its clock. */
const LONGEST_LEASE_MILLISECONDS = 6000

/** Receives the events of fake workers. */
export interface FakeClusterWorkerObserver {
  onDidStart (worker: FakeClusterWorker, task: string, run: number): void
  onDidEnd (worker: FakeClusterWorker, end: EndReport): void
  /** The scheduler has acknowledged an end, so that the worker no longer reports it. */
  onDidAcknowledgeEnd (worker: FakeClusterWorker, end: EndReport): void
  /** The worker's process is about to crash; its runs have no ends. */
  onDidCrash? (worker: FakeClusterWorker): void
}

export interface FakeRun {
  readonly task: string
  readonly run: number
  readonly startedAt: number
  /** Time that the whole work takes at full pace, in milliseconds. */
  readonly durationMilliseconds: number
  pacePercent: number
  /** Work done until `workedUntil`, in milliseconds at full pace. */
  workedMilliseconds: number
  workedUntil: number
}

/** What a worker reports of a run, and how the run uses the worker. */
export interface FakeRunBehaviour {
  /** Whether the run uses one unit of the worker's capacity. */
  readonly usesCapacity: boolean
  /** Reported progress in percent; undefined for the share of the work that is done. */
  readonly percent?: number
  readonly load?: number
}

/** Delay before a command is executed under the fault `late`, in milliseconds. */
const LATE_MILLISECONDS = 3000
/** Time from a pace command until it takes effect, in milliseconds. */
const PACE_MILLISECONDS = 100

/** One worker with leases, fencing and capacity for a number of runs. Records starts that exceed its capacity. */
export class FakeClusterWorker {
  readonly running = new Map<string, FakeRun>()
  readonly ended: EndReport[] = []
  readonly started: string[] = []
  /** Starts beyond the worker's capacity, as `task/run`. */
  readonly overcommitted: string[] = []
  readonly stoppedRuns = new Map<string, number>()
  term = 0
  leaseEnd = 0
  acknowledgedEnd = 0
  pollCount = 0
  stopCount = 0
  /** Time for which a run continues after a stop command. */
  stopMilliseconds = 0
  isReachable = true
  /** Whether the worker's process has crashed and not started again: connections are refused, or calls get no response. */
  outage: 'none' | 'refused' | 'silent' = 'none'
  /** Machine that the worker is one life of. */
  machine: string
  private capacityInForce: number
  private formerCapacities: Array<{ readonly capacity: number, readonly until: number }> = []
  fault: CommandFault = 'none'
  /** Kind of the end of a run that was not stopped. */
  endKind: EndKind = 'done'
  state: WorkerEntry['state'] = 'ready'
  /** Maximum number of ends in a report; the others are listed once these are acknowledged. */
  maximumReportedEnds = REPORTED_ENDS
  processStartedAt = 1
  /** Rate of the worker's clock relative to the true clock. */
  clockRate = 1
  observer: FakeClusterWorkerObserver | undefined
  /** Describes a run; by default, a run uses capacity and reports no load. */
  describeRun: (worker: FakeClusterWorker, run: FakeRun) => FakeRunBehaviour = () => ({ usesCapacity: true })
  /** Returns whether the ticket of a start command is valid; the command is refused otherwise. */
  isTicketValid: (worker: FakeClusterWorker, command: StartCommand) => boolean = () => true
  /** Time until the worker exits, as its registry entry states it while it drains, in milliseconds. */
  drainRemainingMilliseconds: number | undefined
  /** Time on the true clock at which a lease last lapsed, in milliseconds. */
  lapsedAt = -Infinity
  private clockStart = 0
  private endCount = 0
  private readonly waiters = new Set<() => void>()

  /** `durationMilliseconds` returns the run time of a task; a run of `Infinity` ends only through `endIfRunning`. */
  constructor (readonly identity: string, capacity: number, private readonly durationMilliseconds: (task: string) => number) {
    this.machine = `machine-${identity}`
    this.capacityInForce = capacity
  }

  get capacity (): number {
    return this.capacityInForce
  }

  /** Largest number of runs that a start may lead to: a reduced capacity binds only after a grace period. */
  get bindingCapacity (): number {
    const now = performance.now()
    const former = this.formerCapacities.filter(({ until }) => now < until + RESIZE_GRACE_MILLISECONDS)
    return Math.max(this.capacityInForce, ...former.map(({ capacity }) => capacity))
  }

  /** Changes the capacity while the worker runs. */
  resize (capacity: number): void {
    this.formerCapacities.push({ capacity: this.capacityInForce, until: performance.now() })
    this.capacityInForce = capacity
  }

  /** The worker's own monotonic clock, in milliseconds. */
  get clock (): number {
    return (performance.now() - this.clockStart) * this.clockRate
  }

  get entry (): WorkerEntry {
    return { identity: this.identity, pool: 'pool', address: `${this.identity}:1`, failureDomain: 'a', state: this.state, processorsThousandths: this.capacity * 1000, memoryMegabytes: 1_000_000, accelerators: 0, labels: ['kind', 'rack'], machine: this.machine, drainRemainingMilliseconds: this.drainRemainingMilliseconds, processStartedAt: this.processStartedAt }
  }

  /** Simulates a crash and an immediate restart of the worker's process under the same identity. */
  restart (): void {
    this.observer?.onDidCrash?.(this)
    this.exit()
  }

  /** Ends the worker's process, after which it runs nothing and knows nothing of before. */
  exit (): void {
    this.running.clear()
    this.ended.length = 0
    this.stoppedRuns.clear()
    this.endCount = 0
    this.acknowledgedEnd = 0
    this.leaseEnd = 0
    this.clockStart = performance.now()
    this.term = 0
    this.processStartedAt += 1
  }

  /** Ends the process of the worker without ends of its runs. */
  crash (outage: 'refused' | 'silent'): void {
    this.outage = outage
    this.restart()
    for (const wake of [...this.waiters]) wake()
  }

  async poll (request: PollRequest): Promise<PollOutcome> {
    this.pollCount += 1
    if (this.outage !== 'none') return await this.afterOutage({ kind: 'failed', reason: 'connection refused' })
    if (!this.isReachable) return await afterMilliseconds(request.waitMilliseconds + 600, { kind: 'failed', reason: 'timed out' })
    if (request.term < this.term) return { kind: 'fenced' }
    this.term = request.term
    this.expire()
    if (request.leaseUntil !== undefined) this.extendLease(request.leaseUntil)
    this.acknowledge(request.acknowledgedEnd)
    if (request.waitMilliseconds > 0 && this.unacknowledged().length === 0) await this.waitForEnd(request.waitMilliseconds)
    if (this.outage !== 'none') return await this.afterOutage({ kind: 'failed', reason: 'connection closed' })
    this.expire()
    const ended = this.unacknowledged().slice(0, this.maximumReportedEnds)
    return {
      kind: 'report',
      acknowledgedEnd: request.acknowledgedEnd,
      report: {
        clockMilliseconds: this.clock,
        processStartedAt: this.processStartedAt,
        running: [...this.running.values()].map(run => {
          const { percent = Math.round(100 * this.workedMilliseconds(run) / run.durationMilliseconds), load } = this.describeRun(this, run)
          return { task: run.task, run: run.run, checkpoint: '', percent, load }
        }),
        ended,
        mayOmitEnds: ended.length === this.maximumReportedEnds
      }
    }
  }

  async start (command: StartCommand): Promise<CommandOutcome> {
    return await this.executeWithFault(() => this.executeStart(command))
  }

  async stop (task: string, run: number, term: number): Promise<CommandOutcome> {
    return await this.executeWithFault(() => this.executeStop(task, run, term))
  }

  async pace (task: string, run: number, percent: number, term: number): Promise<CommandOutcome> {
    return await this.executeWithFault(() => this.executePace(task, run, percent, term))
  }

  private async afterOutage<T> (outcome: T): Promise<T> {
    return this.outage === 'silent' ? await new Promise<T>(() => {}) : outcome
  }

  private async executeWithFault (execute: () => CommandOutcome): Promise<CommandOutcome> {
    if (this.outage !== 'none') return await this.afterOutage({ kind: 'notSent', reason: 'connection refused' })
    if (!this.isReachable || this.fault === 'notDelivered') return await afterMilliseconds(400, { kind: 'unknown', reason: 'timed out' })
    if (this.fault === 'unhealthy' || this.fault === 'ticket') return { kind: 'refused', reason: this.fault }
    if (this.fault === 'late') {
      setTimeout(execute, LATE_MILLISECONDS)
      return await afterMilliseconds(400, { kind: 'unknown', reason: 'timed out' })
    }
    const outcome = execute()
    if (this.fault === 'answerLost') return await afterMilliseconds(400, { kind: 'unknown', reason: 'timed out' })
    return outcome
  }

  private executeStart (command: StartCommand): CommandOutcome {
    this.expire()
    if (command.term < this.term) return { kind: 'fenced' }
    this.term = command.term
    if (command.leaseUntil <= this.clock) return { kind: 'refused', reason: 'late' }
    this.extendLease(command.leaseUntil)
    if (command.run <= (this.stoppedRuns.get(command.task) ?? 0)) return { kind: 'refused', reason: 'old' }
    if (this.running.get(command.task)?.run === command.run) return { kind: 'done' }
    if (!this.isTicketValid(this, command)) return { kind: 'refused', reason: 'ticket' }
    this.observer?.onDidStart(this, command.task, command.run)
    if (this.usedCapacity >= this.bindingCapacity) this.overcommitted.push(`${command.task}/${command.run}`)
    this.started.push(`${command.task}/${command.run}`)
    const now = performance.now()
    const run = { task: command.task, run: command.run, startedAt: now, durationMilliseconds: this.durationMilliseconds(command.task), pacePercent: 100, workedMilliseconds: 0, workedUntil: now }
    this.running.set(command.task, run)
    this.scheduleEnd(run)
    return { kind: 'done' }
  }

  private executePace (task: string, run: number, percent: number, term: number): CommandOutcome {
    this.expire()
    if (term < this.term) return { kind: 'fenced' }
    this.term = term
    const current = this.running.get(task)
    if (current?.run !== run) return { kind: 'refused', reason: 'old' }
    setTimeout(() => {
      current.workedMilliseconds = this.workedMilliseconds(current)
      current.workedUntil = performance.now()
      current.pacePercent = percent
      this.scheduleEnd(current)
    }, PACE_MILLISECONDS)
    return { kind: 'done' }
  }

  /** Number of runs that use capacity. */
  get usedCapacity (): number {
    return [...this.running.values()].filter(run => this.describeRun(this, run).usesCapacity).length
  }

  private workedMilliseconds (run: FakeRun): number {
    return run.workedMilliseconds + (performance.now() - run.workedUntil) * run.pacePercent / 100
  }

  /** Ends a run once its work is done, unless its pace changes before that. */
  private scheduleEnd (run: FakeRun): void {
    const { pacePercent, workedUntil } = run
    if (run.durationMilliseconds === Infinity || pacePercent === 0) return
    const processStartedAt = this.processStartedAt
    setTimeout(() => {
      this.expire()
      const isCurrent = this.running.get(run.task) === run && run.workedUntil === workedUntil
      if (this.processStartedAt === processStartedAt && isCurrent) this.endIfRunning(run.task, run.run, this.endKind)
    }, (run.durationMilliseconds - run.workedMilliseconds) * 100 / pacePercent)
  }

  private executeStop (task: string, run: number, term: number): CommandOutcome {
    if (term < this.term) return { kind: 'fenced' }
    this.term = term
    this.stopCount += 1
    this.stoppedRuns.set(task, Math.max(run, this.stoppedRuns.get(task) ?? 0))
    if (this.stopMilliseconds === 0) this.endIfRunning(task, run, 'stopped')
    else setTimeout(() => this.endIfRunning(task, run, 'stopped'), this.stopMilliseconds)
    return { kind: 'done' }
  }

  /** Ends a run with the given kind, unless it is no longer running. */
  endIfRunning (task: string, run: number, kind: EndKind): void {
    if (this.running.get(task)?.run !== run) return
    this.running.delete(task)
    this.stoppedRuns.set(task, Math.max(run, this.stoppedRuns.get(task) ?? 0))
    this.endCount += 1
    const end = { number: this.endCount, task, run, kind, checkpoint: '' }
    this.ended.push(end)
    this.observer?.onDidEnd(this, end)
    // The scheduler had already acknowledged an end with this number, so this end is never reported.
    if (this.endCount <= this.acknowledgedEnd) this.observer?.onDidAcknowledgeEnd(this, end)
    for (const wake of [...this.waiters]) wake()
  }

  /** Ends all runs if the lease has lapsed. */
  expire (): void {
    if (this.clock < this.leaseEnd) return
    this.lapsedAt = this.clockStart + this.leaseEnd / this.clockRate
    for (const run of [...this.running.values()]) this.endIfRunning(run.task, run.run, 'lapsed')
  }

  private extendLease (until: number): void {
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(until, this.clock + LONGEST_LEASE_MILLISECONDS))
  }

  private acknowledge (end: number): void {
    if (end <= this.acknowledgedEnd) return
    for (const report of this.ended) {
      if (report.number > this.acknowledgedEnd && report.number <= end) this.observer?.onDidAcknowledgeEnd(this, report)
    }
    this.acknowledgedEnd = end
  }

  private unacknowledged (): EndReport[] {
    return this.ended.filter(end => end.number > this.acknowledgedEnd)
  }

  private async waitForEnd (milliseconds: number): Promise<void> {
    await new Promise<void>(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        this.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, milliseconds)
      this.waiters.add(wake)
    })
  }
}

/** Sends polls and commands to fake workers in memory. */
export class FakeWorkerPort extends WorkerPort {
  readonly workers = new Map<string, FakeClusterWorker>()

  add (worker: FakeClusterWorker): FakeClusterWorker {
    this.workers.set(worker.identity, worker)
    return worker
  }

  override async poll (worker: WorkerAddress, request: PollRequest): Promise<PollOutcome> {
    return await this.find(worker).poll(request)
  }

  override async start (worker: WorkerAddress, command: StartCommand): Promise<CommandOutcome> {
    return await this.find(worker).start(command)
  }

  override async stop (worker: WorkerAddress, task: string, run: number, term: number): Promise<CommandOutcome> {
    return await this.find(worker).stop(task, run, term)
  }

  override async pace (worker: WorkerAddress, task: string, run: number, percent: number, term: number): Promise<CommandOutcome> {
    return await this.find(worker).pace(task, run, percent, term)
  }

  private find (worker: WorkerAddress): FakeClusterWorker {
    const found = this.workers.get(worker.identity)
    if (found === undefined) throw new Error(`no fake worker ${worker.identity}`)
    return found
  }
}

async function afterMilliseconds<T> (milliseconds: number, value: T): Promise<T> {
  return await new Promise(resolve => setTimeout(() => resolve(value), milliseconds))
}
