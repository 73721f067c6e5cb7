import { WorkerPort, type EndKind, type EndReport, type PollRequest, type PollOutcome, type CommandOutcome, type StartCommand, type WorkerAddress, type WorkerEntry } from '../../src/cluster/workerPort.js'

/** What a fake worker does with the next orders: answers, carries out without an answer, drops, or refuses as unhealthy or for want of a valid ticket. */
export type CommandFault = 'none' | 'answerLost' | 'notDelivered' | 'late' | 'unhealthy' | 'ticket'

/** Longest lease that a worker grants, in milliseconds on its clock. */
const LONGEST_LEASE_MILLISECONDS = 6000

/** What a worker does, for checks. */
export interface FakeWorkerObserver {
  onDidStart (worker: FakeWorker, task: string, run: number): void
  onDidEnd (worker: FakeWorker, end: EndReport): void
  /** An end was acknowledged, and is listed no more. */
  onDidAcknowledgeEnd (worker: FakeWorker, end: EndReport): void
}

interface FakeRun {
  readonly task: string
  readonly run: number
  readonly endsAt: number
  readonly startedAt: number
}

/** Time after which a fake worker carries an order of fault `late` out, in milliseconds. */
const LATE_MILLISECONDS = 3000

/** One worker with leases, fencing and room for a number of runs. Records starts that break a promise. */
export class FakeWorker {
  readonly running = new Map<string, FakeRun>()
  readonly ended: EndReport[] = []
  readonly started: string[] = []
  /** Starts beyond the worker's room. */
  readonly overcommitted: string[] = []
  readonly stoppedRuns = new Map<string, number>()
  term = 0
  leaseEnd = 0
  acknowledgedEnd = 0
  pollCount = 0
  stopCount = 0
  /** How long a run goes on after its stop. */
  stopMilliseconds = 0
  isReachable = true
  fault: CommandFault = 'none'
  /** How runs end by themselves. */
  endKind: EndKind = 'done'
  state: WorkerEntry['state'] = 'ready'
  bornAt = 1
  /** Rate of the worker's clock against the true one. */
  clockRate = 1
  observer: FakeWorkerObserver | undefined
  /** When a lease last ended, on the true clock in milliseconds. */
  lapsedAt = -Infinity
  private clockStart = 0
  private endCount = 0
  private readonly waiters = new Set<() => void>()

  /** `durationMilliseconds`: how long a run goes on; one of `Infinity` ends only through `endIfRunning`. */
  constructor (readonly identity: string, readonly capacity: number, private readonly durationMilliseconds: (task: string) => number) {}

  /** The worker's own steady clock, in milliseconds. */
  get clock (): number {
    return (performance.now() - this.clockStart) * this.clockRate
  }

  get entry (): WorkerEntry {
    return { identity: this.identity, pool: 'pool', address: `${this.identity}:1`, failureDomain: 'a', state: this.state, processorsThousandths: this.capacity * 1000, memoryMegabytes: 1_000_000, accelerators: 0, labels: ['kind', 'rack'], bornAt: this.bornAt }
  }

  /** The process ends and starts again under the same identity. */
  restart (): void {
    this.running.clear()
    this.ended.length = 0
    this.stoppedRuns.clear()
    this.endCount = 0
    this.acknowledgedEnd = 0
    this.leaseEnd = 0
    this.clockStart = performance.now()
    this.term = 0
    this.bornAt += 1
  }

  async poll (order: PollRequest): Promise<PollOutcome> {
    this.pollCount += 1
    if (!this.isReachable) return await afterMilliseconds(order.waitMilliseconds + 600, { kind: 'failed', reason: 'timed out' })
    if (order.term < this.term) return { kind: 'fenced' }
    this.term = order.term
    this.expire()
    if (order.leaseUntil !== undefined) this.extendLease(order.leaseUntil)
    this.forget(order.acknowledgedEnd)
    if (order.waitMilliseconds > 0 && this.unacknowledged().length === 0) await this.untilEnd(order.waitMilliseconds)
    this.expire()
    return {
      kind: 'report',
      acknowledgedEnd: order.acknowledgedEnd,
      report: {
        clockMilliseconds: this.clock,
        bornAt: this.bornAt,
        running: [...this.running.values()].map(run => ({ task: run.task, run: run.run, checkpoint: '', percent: Math.round(100 * (performance.now() - run.startedAt) / (run.endsAt - run.startedAt)) })),
        ended: this.unacknowledged()
      }
    }
  }

  async start (order: StartCommand): Promise<CommandOutcome> {
    return await this.withFault(() => this.carryOutStart(order))
  }

  async stop (task: string, run: number, term: number): Promise<CommandOutcome> {
    return await this.withFault(() => this.carryOutStop(task, run, term))
  }

  private async withFault (carryOut: () => CommandOutcome): Promise<CommandOutcome> {
    if (!this.isReachable || this.fault === 'notDelivered') return await afterMilliseconds(400, { kind: 'unknown', reason: 'timed out' })
    if (this.fault === 'unhealthy' || this.fault === 'ticket') return { kind: 'refused', reason: this.fault }
    if (this.fault === 'late') {
      setTimeout(carryOut, LATE_MILLISECONDS)
      return await afterMilliseconds(400, { kind: 'unknown', reason: 'timed out' })
    }
    const outcome = carryOut()
    if (this.fault === 'answerLost') return await afterMilliseconds(400, { kind: 'unknown', reason: 'timed out' })
    return outcome
  }

  private carryOutStart (order: StartCommand): CommandOutcome {
    this.expire()
    if (order.term < this.term) return { kind: 'fenced' }
    this.term = order.term
    if (order.leaseUntil <= this.clock) return { kind: 'refused', reason: 'late' }
    this.extendLease(order.leaseUntil)
    if (order.run <= (this.stoppedRuns.get(order.task) ?? 0)) return { kind: 'refused', reason: 'old' }
    if (this.running.get(order.task)?.run === order.run) return { kind: 'done' }
    this.observer?.onDidStart(this, order.task, order.run)
    if (this.running.size >= this.capacity) this.overcommitted.push(`${order.task}/${order.run}`)
    this.started.push(`${order.task}/${order.run}`)
    const duration = this.durationMilliseconds(order.task)
    this.running.set(order.task, { task: order.task, run: order.run, startedAt: performance.now(), endsAt: performance.now() + duration })
    if (duration === Infinity) return { kind: 'done' }
    const bornAt = this.bornAt
    setTimeout(() => {
      this.expire()
      if (this.bornAt === bornAt) this.endIfRunning(order.task, order.run, this.endKind)
    }, duration)
    return { kind: 'done' }
  }

  private carryOutStop (task: string, run: number, term: number): CommandOutcome {
    if (term < this.term) return { kind: 'fenced' }
    this.term = term
    this.stopCount += 1
    this.stoppedRuns.set(task, Math.max(run, this.stoppedRuns.get(task) ?? 0))
    if (this.stopMilliseconds === 0) this.endIfRunning(task, run, 'stopped')
    else setTimeout(() => this.endIfRunning(task, run, 'stopped'), this.stopMilliseconds)
    return { kind: 'done' }
  }

  /** Ends a run, as if by itself. */
  endIfRunning (task: string, run: number, kind: EndKind): void {
    if (this.running.get(task)?.run !== run) return
    this.running.delete(task)
    this.stoppedRuns.set(task, Math.max(run, this.stoppedRuns.get(task) ?? 0))
    this.endCount += 1
    const end = { number: this.endCount, task, run, kind, checkpoint: '' }
    this.ended.push(end)
    this.observer?.onDidEnd(this, end)
    // The scheduler has already told this process to forget it.
    if (this.endCount <= this.acknowledgedEnd) this.observer?.onDidAcknowledgeEnd(this, end)
    for (const wake of [...this.waiters]) wake()
  }

  /** Ends everything if the lease is over. */
  expire (): void {
    if (this.clock < this.leaseEnd) return
    this.lapsedAt = this.clockStart + this.leaseEnd / this.clockRate
    for (const run of [...this.running.values()]) this.endIfRunning(run.task, run.run, 'lapsed')
  }

  private extendLease (until: number): void {
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(until, this.clock + LONGEST_LEASE_MILLISECONDS))
  }

  private forget (end: number): void {
    if (end <= this.acknowledgedEnd) return
    for (const report of this.ended) {
      if (report.number > this.acknowledgedEnd && report.number <= end) this.observer?.onDidAcknowledgeEnd(this, report)
    }
    this.acknowledgedEnd = end
  }

  private unacknowledged (): EndReport[] {
    return this.ended.filter(end => end.number > this.acknowledgedEnd)
  }

  private async untilEnd (milliseconds: number): Promise<void> {
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

/** Orders to fake workers. */
export class FakeWorkerPort extends WorkerPort {
  readonly workers = new Map<string, FakeWorker>()

  add (worker: FakeWorker): FakeWorker {
    this.workers.set(worker.identity, worker)
    return worker
  }

  override async poll (worker: WorkerAddress, order: PollRequest): Promise<PollOutcome> {
    return await this.of(worker).poll(order)
  }

  override async start (worker: WorkerAddress, order: StartCommand): Promise<CommandOutcome> {
    return await this.of(worker).start(order)
  }

  override async stop (worker: WorkerAddress, task: string, run: number, term: number): Promise<CommandOutcome> {
    return await this.of(worker).stop(task, run, term)
  }

  private of (worker: WorkerAddress): FakeWorker {
    const found = this.workers.get(worker.identity)
    if (found === undefined) throw new Error(`no fake worker ${worker.identity}`)
    return found
  }
}

async function afterMilliseconds<T> (milliseconds: number, value: T): Promise<T> {
  return await new Promise(resolve => setTimeout(() => resolve(value), milliseconds))
}
