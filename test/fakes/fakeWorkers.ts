import { addResources, NO_RESOURCES, type Resources } from '../../src/contracts/resources.js'
import type { Attempt, RenewLeases, ReportedTask, StartTask, TaskAction, TaskActionName, TaskState, WorkerReport } from '../../src/contracts/workerProtocol.js'
import { WorkerClient, type CommandOutcome } from '../../src/links/workerClient.js'
import type { Network } from './network.js'
import type { SimulatedProcess } from './pausedClock.js'

const CALL_TIMEOUT_MILLISECONDS = 2000

/** The interval in which an attempt ran. `endedAt` is undefined while it runs. */
export interface AttemptInterval {
  readonly task: string
  readonly attempt: Attempt
  readonly resources: Resources
  readonly startedBy: SimulatedProcess
  readonly startedAt: number
  endedAt: number | undefined
  state: TaskState
}

interface FakeTask {
  readonly command: StartTask
  readonly interval: AttemptInterval
  checkpointMilliseconds: number
  leaseTimer: NodeJS.Timeout | undefined
  endTimer: NodeJS.Timeout | undefined
}

/** A worker that executes every start command, whether the task fits or not, and ends tasks whose lease lapses. */
export class FakeWorker {
  readonly intervals: AttemptInterval[] = []
  silent = false
  failsEverything = false
  /** Number of next commands that take effect, but whose response is lost. */
  responsesToLose = 0
  private readonly tasks = new Map<string, FakeTask>()
  private term = 0

  constructor (readonly name: string, readonly failureDomain: string, readonly capacity: Resources, private readonly checksTerms: boolean, private readonly network: Network) {}

  get running (): AttemptInterval[] {
    return this.intervals.filter(interval => interval.endedAt === undefined)
  }

  /** Resources of the running attempts. */
  get used (): Resources {
    return this.running.reduce((sum, interval) => addResources(sum, interval.resources), NO_RESOURCES)
  }

  start (from: SimulatedProcess, task: string, command: StartTask): CommandOutcome {
    if (!this.acceptsTerm(command.term)) return { kind: 'refused', reason: 'stale term' }
    const known = this.tasks.get(task)
    if (known !== undefined && compareAttempts(command.attempt, known.command.attempt) < 0) return { kind: 'refused', reason: 'stale attempt' }
    if (known !== undefined && compareAttempts(command.attempt, known.command.attempt) === 0) return { kind: 'done' }
    if (known !== undefined) this.end(known, 'stopped')
    const interval: AttemptInterval = { task, attempt: command.attempt, resources: command.resources, startedBy: from, startedAt: performance.now(), endedAt: undefined, state: 'running' }
    const started: FakeTask = { command, interval, checkpointMilliseconds: command.resumeFromMilliseconds, leaseTimer: undefined, endTimer: undefined }
    this.intervals.push(interval)
    this.tasks.set(task, started)
    this.startLease(started, command.leaseMilliseconds)
    if (this.failsEverything) this.end(started, 'failed')
    else if (command.runMilliseconds !== undefined) started.endTimer = this.network.clock.after(Math.max(1, command.runMilliseconds - command.resumeFromMilliseconds), () => this.end(started, 'finished'))
    return { kind: 'done' }
  }

  act (task: string, action: TaskActionName, body: TaskAction): CommandOutcome {
    const known = this.tasks.get(task)
    if (!this.acceptsTerm(body.term) || known === undefined || compareAttempts(known.command.attempt, body.attempt) !== 0) return { kind: 'refused', reason: 'unknown attempt' }
    if (action === 'stop') this.end(known, 'stopped')
    if (action === 'checkpoint' && known.command.checkpointable && known.interval.state === 'running') {
      known.checkpointMilliseconds = known.command.resumeFromMilliseconds + performance.now() - known.interval.startedAt
      this.end(known, 'checkpointed')
    }
    return { kind: 'done' }
  }

  renew (body: RenewLeases): WorkerReport {
    if (!this.acceptsTerm(body.term)) throw new Error('stale term')
    for (const { task, attempt } of body.tasks) {
      const known = this.tasks.get(task)
      if (known?.interval.state === 'running' && compareAttempts(known.command.attempt, attempt) === 0) this.startLease(known, body.leaseMilliseconds)
    }
    for (const { task, attempt } of body.acknowledged) {
      const known = this.tasks.get(task)
      if (known !== undefined && known.interval.state !== 'running' && compareAttempts(known.command.attempt, attempt) === 0) this.tasks.delete(task)
    }
    const tasks = [...this.tasks].map(([task, { command, interval, checkpointMilliseconds }]): ReportedTask => ({
      task, attempt: command.attempt, job: command.job, taskIndex: command.taskIndex, state: interval.state, resources: command.resources, usage: interval.state === 'running' ? command.resources : NO_RESOURCES, checkpointMilliseconds
    }))
    return { worker: this.name, incarnation: '1', term: this.term, tasks, logicalTime: 0 }
  }

  dispose (): void {
    for (const task of this.tasks.values()) this.end(task, 'stopped')
  }

  private acceptsTerm (term: number): boolean {
    if (this.checksTerms && term < this.term) return false
    this.term = Math.max(this.term, term)
    return true
  }

  private startLease (task: FakeTask, milliseconds: number): void {
    clearTimeout(task.leaseTimer)
    task.leaseTimer = this.network.clock.after(milliseconds, () => this.end(task, 'leaseLapsed'))
  }

  private end (task: FakeTask, state: TaskState): void {
    clearTimeout(task.leaseTimer)
    clearTimeout(task.endTimer)
    if (task.interval.state !== 'running') return
    task.interval.state = state
    task.interval.endedAt = performance.now()
  }
}

/** The connections of one process to the workers. The address of a worker is its name. */
export class FakeWorkerClient extends WorkerClient {
  constructor (private readonly workers: ReadonlyMap<string, FakeWorker>, private readonly network: Network, private readonly process: SimulatedProcess) {
    super()
  }

  override async start (address: string, task: string, body: StartTask): Promise<CommandOutcome> {
    return await this.command(address, worker => worker.start(this.process, task, body))
  }

  override async sendAction (address: string, task: string, action: TaskActionName, body: TaskAction): Promise<CommandOutcome> {
    return await this.command(address, worker => worker.act(task, action, body))
  }

  override async renewLeases (address: string, body: RenewLeases): Promise<WorkerReport> {
    return await this.call(address, worker => worker.renew(body))
  }

  private async command (address: string, work: (worker: FakeWorker) => CommandOutcome): Promise<CommandOutcome> {
    try {
      const worker = this.workers.get(address)
      const loseResponse = worker !== undefined && worker.responsesToLose > 0
      if (loseResponse) worker.responsesToLose -= 1
      return await this.call(address, work, loseResponse)
    } catch (error) {
      return { kind: 'unknown', reason: String(error) }
    }
  }

  private async call<T> (address: string, work: (worker: FakeWorker) => T, loseResponse = false): Promise<T> {
    const worker = this.workers.get(address) as FakeWorker
    return await this.network.call(this.process, worker.failureDomain, async () => {
      if (worker.silent) return await new Promise<T>(() => {})
      return work(worker)
    }, { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS, loseResponse })
  }
}

function compareAttempts (left: Attempt, right: Attempt): number {
  return left.term - right.term || left.sequence - right.sequence
}
