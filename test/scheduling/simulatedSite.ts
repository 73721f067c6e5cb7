import type { Job } from '../../src/contracts/jobs.js'
import type { Resources } from '../../src/contracts/resources.js'
import type { Attempt, ReportedTask, TaskState } from '../../src/contracts/workerProtocol.js'
import { BestFitPolicy } from '../../src/scheduling/placementPolicy.js'
import { Scheduler } from '../../src/scheduling/scheduler.js'

const STEP_MILLISECONDS = 100

/** Returns the resources of a number of processors, with memory in proportion. */
export function size (processors: number, accelerators = 0): Resources {
  return { processorsThousandths: processors * 1000, memoryBytes: 100 * processors, accelerators }
}

/** Simulated site whose workers carry out every command within one step. `lines` records the events in short form, without times. */
export class SimulatedSite {
  readonly scheduler = new Scheduler(1, 0, new BestFitPolicy())
  readonly lines: string[] = []
  readonly startedAt = new Map<string, number>()
  /** Whether a task of the job fails immediately on the worker. */
  failing: (worker: string, job: string) => boolean = () => false
  now = 0
  private readonly tasks = new Map<string, Map<string, ReportedTask>>()
  private readonly jobs = new Map<string, Job>()

  constructor (workers: ReadonlyArray<readonly [name: string, rack: string, capacity: Resources]>) {
    this.scheduler.setWorkers(workers.map(([name, rack, capacity]) => ({ name, failureDomain: 'zone', rack, pool: 'pool', address: '', capacity, leaving: false })))
    for (const [name] of workers) this.tasks.set(name, new Map())
    this.report()
  }

  add (identity: string, change: Partial<Job>): void {
    const job: Job = { identity, name: identity, team: 'one', kind: 'batch', urgency: 'normal', tasks: 1, resources: size(1), checkpointable: false, acceptedAtMilliseconds: 0, ...change }
    this.jobs.set(identity, job)
    this.scheduler.addJob(job, this.now)
  }

  run (milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end;) {
      this.now += STEP_MILLISECONDS
      this.scheduler.planRenewals(this.now)
      this.report()
      for (const decision of this.scheduler.decide(this.now, 100)) {
        if (decision.kind === 'jobEnded') this.scheduler.forgetJob(decision.job)
        if (decision.kind === 'preempted') this.lines.push(`preempt ${decision.task} for ${decision.by}`)
        if (decision.kind === 'stop' || decision.kind === 'checkpoint') this.end(decision.task, decision.kind === 'stop' ? 'stopped' : 'checkpointed')
        if (decision.kind === 'throttle') this.lines.push(`throttle ${decision.task} ${decision.percent}`)
        if (decision.kind === 'workerQuarantined' || decision.kind === 'workerReleased') this.lines.push(`${decision.kind} ${decision.worker}`)
        if (decision.kind === 'jobEnded') this.lines.push(`end ${decision.job} ${decision.outcome}`)
        if (decision.kind !== 'start') continue
        const { task, attempt, worker, job } = decision
        this.lines.push(`start ${task}`)
        if (!this.startedAt.has(task)) this.startedAt.set(task, this.now)
        this.setReported(worker.name, task, attempt, job, this.failing(worker.name, job.identity) ? 'failed' : 'running')
        this.scheduler.onStartOutcome(task, attempt, 'done', this.now)
      }
    }
  }

  end (task: string, state: TaskState = 'finished'): void {
    const worker = this.workerOf(task)
    const known = this.tasks.get(worker)?.get(task)
    if (known !== undefined) this.tasks.get(worker)?.set(task, { ...known, state })
  }

  workerOf (task: string): string {
    for (const [name, tasks] of this.tasks) {
      if (tasks.get(task)?.state === 'running') return name
    }
    return ''
  }

  running (job: string): number {
    return this.scheduler.stateOf(job)?.running ?? 0
  }

  private report (): void {
    for (const [name, tasks] of this.tasks) {
      this.scheduler.onReport(name, { worker: name, incarnation: '1', term: 1, tasks: [...tasks.values()], logicalTime: 0 }, this.now)
      for (const [task, { state }] of tasks) {
        if (state !== 'running') tasks.delete(task)
      }
    }
  }

  private setReported (worker: string, task: string, attempt: Attempt, job: Job, state: TaskState): void {
    this.tasks.get(worker)?.set(task, { task, attempt, job: job.identity, taskIndex: 0, state, resources: job.resources, usage: job.resources, checkpointMilliseconds: 0 })
  }
}

/** Two racks of two workers with four processors each. */
export const FOUR_WORKERS = ['w1', 'w2', 'w3', 'w4'].map((name, index) => [name, `rack-${index >> 1}`, size(4)] as const)
