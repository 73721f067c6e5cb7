import { NO_RESOURCES, addResources, fitsWithin, multiplyResources, type Resources } from '../contracts/resources.js'
import { urgencyRank } from '../contracts/siteText.js'
import type { Job, JobOutcome, JobState } from '../contracts/jobs.js'
import type { Attempt, ReportedTask, WorkerReport } from '../contracts/workerProtocol.js'
import { Worker, type WorkerDescription } from '../machines/worker.js'
import type { PlacementPolicy } from './placementPolicy.js'

/** Length of a task's lease on its worker, in milliseconds. */
export const TASK_LEASE_MILLISECONDS = 30_000
/** Added when waiting for a task's lease to end: clock drift of the worker over one lease and scheduling delay. */
export const TASK_LEASE_MARGIN_MILLISECONDS = 1000
/** A worker that has not answered for this long gets no renewals, so that its leases lapse, in milliseconds. */
const SILENCE_BEFORE_LAPSE_MILLISECONDS = 10_000

/** What the scheduler asks the surrounding task to do. */
export type SchedulingDecision =
  | { readonly kind: 'start', readonly worker: WorkerDescription, readonly task: string, readonly attempt: Attempt, readonly job: Job, readonly taskIndex: number, readonly resumeFromMilliseconds: number }
  | { readonly kind: 'stop', readonly worker: WorkerDescription, readonly task: string, readonly attempt: Attempt }
  | { readonly kind: 'jobEnded', readonly job: string, readonly outcome: JobOutcome, readonly reason?: string }

/** Attempts to renew on one worker and those whose end has been taken note of. */
export interface RenewalPlan {
  readonly worker: WorkerDescription
  readonly tasks: ReadonlyArray<{ task: string, attempt: Attempt }>
  readonly acknowledged: ReadonlyArray<{ task: string, attempt: Attempt }>
}

type TaskPhase = 'waiting' | 'starting' | 'running' | 'stopping' | 'finished'

const UNRENEWED_PHASES: ReadonlySet<TaskPhase | undefined> = new Set<TaskPhase>(['starting', 'stopping'])

interface TaskEntry {
  readonly task: string
  readonly index: number
  phase: TaskPhase
  attempt: Attempt | undefined
  worker: string | undefined
  /** Latest time at which the attempt's lease may have been renewed, monotonic milliseconds. */
  renewedAt: number
  checkpointMilliseconds: number
}

interface JobEntry {
  readonly job: Job
  readonly tasks: TaskEntry[]
  readonly addedAt: number
  cancelled: boolean
  endDecided: boolean
  failures: number
}

interface WorkerEntry {
  readonly worker: Worker
  reportedAt: number | undefined
  /** Time of the last renewal that was sent with tasks. */
  readonly acknowledge: Map<string, Attempt>
}

/** Attempts of one task that may fail before its job fails. */
const MAXIMUM_TASK_FAILURES = 3

/**
 * Places the tasks of one failure domain on its workers. It decides only; commands are sent by its caller,
 * which reports their outcomes. Resources of an attempt stay held until it is known to have ended or its lease has certainly lapsed.
 * Times are monotonic milliseconds of the owner.
 */
export class Scheduler {
  private readonly workers = new Map<string, WorkerEntry>()
  private readonly jobs = new Map<string, JobEntry>()
  private sequence = 0

  /**
   * @param term Term of the ownership; part of every attempt.
   * @param silentWorkersLapseAt Time by which tasks started by an earlier owner on workers that do not answer have certainly ended.
   */
  constructor (private readonly term: number, private readonly silentWorkersLapseAt: number, private readonly policy: PlacementPolicy) {}

  /** Takes over the list of workers. One that disappears keeps its holds until their leases have lapsed. */
  setWorkers (workers: ReadonlyArray<WorkerDescription & { leaving: boolean }>): void {
    const listed = new Set(workers.map(worker => worker.name))
    for (const description of workers) {
      const entry = this.workers.get(description.name) ?? { worker: new Worker(description), reportedAt: undefined, acknowledge: new Map() }
      entry.worker.leaving = description.leaving
      this.workers.set(description.name, entry)
    }
    for (const [name, entry] of this.workers) {
      if (!listed.has(name)) entry.worker.leaving = true
      if (!listed.has(name) && entry.worker.held.length === 0) this.workers.delete(name)
    }
  }

  /** Adds an accepted job; adding it again has no effect. */
  addJob (job: Job, now: number): void {
    if (this.jobs.has(job.identity)) return
    const tasks = Array.from({ length: job.tasks }, (_, index): TaskEntry => ({
      task: taskName(job.identity, index), index, phase: 'waiting', attempt: undefined, worker: undefined, renewedAt: now, checkpointMilliseconds: 0
    }))
    this.jobs.set(job.identity, { job, tasks, addedAt: now, cancelled: false, endDecided: false, failures: 0 })
  }

  cancelJob (identity: string): void {
    const entry = this.jobs.get(identity)
    if (entry !== undefined) entry.cancelled = true
  }

  /** Forgets a job whose end is in the log; ended attempts are then acknowledged to their workers. */
  forgetJob (identity: string): void {
    const entry = this.jobs.get(identity)
    if (entry === undefined) return
    for (const task of entry.tasks) {
      if (task.worker !== undefined && task.attempt !== undefined) this.workers.get(task.worker)?.acknowledge.set(task.task, task.attempt)
    }
    this.jobs.delete(identity)
  }

  /** Takes note of the outcome of a start. An unknown outcome keeps its resources held. */
  onStartOutcome (task: string, attempt: Attempt, outcome: 'done' | 'refused' | 'notSent' | 'unknown', now: number): void {
    const entry = this.findTask(task)
    if (entry === undefined || !sameAttempt(entry.attempt, attempt)) return
    if (outcome === 'done' && entry.phase === 'starting') entry.phase = 'running'
    if (outcome === 'refused' || outcome === 'notSent') this.returnToWaiting(entry)
    entry.renewedAt = Math.max(entry.renewedAt, now)
  }

  /** Takes note of a worker's report made with this term. */
  onReport (name: string, report: WorkerReport, now: number): void {
    const entry = this.workers.get(name)
    if (entry === undefined || report.term > this.term) return
    const first = entry.reportedAt === undefined
    entry.reportedAt = now
    for (const reported of report.tasks) this.onReportedTask(entry, reported, now)
    if (!first) return
    const known = new Set(report.tasks.map(reported => reported.task))
    for (const task of entry.acknowledge.keys()) {
      if (!known.has(task)) entry.acknowledge.delete(task)
    }
  }

  /** Returns the renewals to send now; the caller sends them right away and passes the reports to `onReport`. */
  planRenewals (now: number): RenewalPlan[] {
    return [...this.workers.values()].map(entry => {
      const silent = now - (entry.reportedAt ?? now) > SILENCE_BEFORE_LAPSE_MILLISECONDS
      // A start or stop of unknown outcome is not renewed: if the worker never got the command, the lease must be able to lapse.
      const renewable = entry.worker.held.filter(({ task }) => !UNRENEWED_PHASES.has(this.findTask(task)?.phase))
      const tasks = silent ? [] : renewable.map(({ task, attempt }) => ({ task, attempt }))
      for (const { task } of tasks) this.noteRenewal(task, now)
      const acknowledged = [...entry.acknowledge].map(([task, attempt]) => ({ task, attempt }))
      return { worker: entry.worker.description, tasks, acknowledged }
    })
  }

  /** Returns whether every worker's inventory is known or its old tasks have certainly ended. */
  inventoryComplete (now: number): boolean {
    return now >= this.silentWorkersLapseAt || [...this.workers.values()].every(entry => entry.reportedAt !== undefined)
  }

  /** Decides what to start, stop and end now, at most `limit` starts. */
  decide (now: number, limit: number): SchedulingDecision[] {
    const decisions: SchedulingDecision[] = []
    this.releaseLapsed(now)
    for (const entry of this.jobs.values()) decisions.push(...this.settle(entry))
    if (!this.inventoryComplete(now)) return decisions
    const waiting = [...this.jobs.values()].filter(entry => !entry.cancelled && !entry.endDecided && entry.tasks.some(task => task.phase === 'waiting'))
    waiting.sort((left, right) => urgencyRank(left.job.urgency) - urgencyRank(right.job.urgency) || left.addedAt - right.addedAt)
    for (const entry of waiting) {
      if (decisions.length >= limit) break
      decisions.push(...this.place(entry, limit - decisions.length, now))
    }
    return decisions
  }

  /** State of a job, or undefined if it is not known here. */
  stateOf (identity: string): { state: JobState, running: number, waiting: number, finished: number } | undefined {
    const entry = this.jobs.get(identity)
    if (entry === undefined) return undefined
    const count = (phase: TaskPhase): number => entry.tasks.filter(task => task.phase === phase).length
    const running = count('running')
    const waiting = count('waiting')
    const state: JobState = running > 0 ? 'running' : count('starting') > 0 ? 'starting' : 'waiting'
    return { state, running, waiting, finished: count('finished') }
  }

  /** Says why a job waits, in plain text. */
  explain (identity: string, now: number): string {
    const entry = this.jobs.get(identity)
    if (entry === undefined) return 'the job is not open in this failure domain'
    if (!this.inventoryComplete(now)) return 'waiting for the inventory of every worker after a change of owner'
    const { resources } = entry.job
    const fitting = [...this.workers.values()].filter(({ worker }) => !worker.leaving && fitsWithin(resources, worker.free)).length
    if (entry.tasks.every(task => task.phase !== 'waiting')) return 'all tasks have been placed'
    if (entry.job.kind === 'gang') return `waiting until all ${entry.job.tasks} tasks fit at once; ${fitting} workers have room for at least one`
    return fitting > 0 ? 'about to be placed' : 'no worker has enough free resources; the job is placed when running tasks end'
  }

  /** Resources held and capacity of all workers that are not leaving. */
  utilization (): { used: Resources, capacity: Resources } {
    let used = NO_RESOURCES
    let capacity = NO_RESOURCES
    for (const { worker } of this.workers.values()) {
      used = addResources(used, worker.used)
      if (!worker.leaving) capacity = addResources(capacity, worker.description.capacity)
    }
    return { used, capacity }
  }

  private place (entry: JobEntry, limit: number, now: number): SchedulingDecision[] {
    const waiting = entry.tasks.filter(task => task.phase === 'waiting')
    const all = entry.job.kind === 'gang'
    if (all && waiting.length > limit) return []
    const placed: Array<{ task: TaskEntry, worker: Worker, attempt: Attempt }> = []
    for (const task of waiting.slice(0, limit)) {
      const worker = this.policy.choose(entry.job.resources, this.usableWorkers())
      const attempt = { term: this.term, sequence: ++this.sequence }
      if (worker?.hold(task.task, attempt, entry.job.resources) !== true) break
      placed.push({ task, worker, attempt })
    }
    if (all && placed.length < waiting.length) {
      for (const { task, worker } of placed) worker.release(task.task)
      return []
    }
    return placed.map(({ task, worker, attempt }): SchedulingDecision => {
      task.phase = 'starting'
      task.attempt = attempt
      task.worker = worker.name
      task.renewedAt = now
      return { kind: 'start', worker: worker.description, task: task.task, attempt, job: entry.job, taskIndex: task.index, resumeFromMilliseconds: task.checkpointMilliseconds }
    })
  }

  private * usableWorkers (): Generator<Worker> {
    for (const entry of this.workers.values()) {
      if (entry.reportedAt !== undefined && !entry.worker.leaving) yield entry.worker
    }
  }

  /** Ends a job whose tasks have all ended, and stops the tasks of a cancelled one. */
  private settle (entry: JobEntry): SchedulingDecision[] {
    if (entry.endDecided) return []
    if (entry.tasks.every(task => task.phase === 'finished')) return [this.endJob(entry, 'finished')]
    const failed = entry.failures >= MAXIMUM_TASK_FAILURES
    if (!entry.cancelled && !failed) return []
    const decisions: SchedulingDecision[] = []
    for (const task of entry.tasks) {
      if (task.phase !== 'starting' && task.phase !== 'running') continue
      const worker = task.worker === undefined ? undefined : this.workers.get(task.worker)
      if (worker === undefined || task.attempt === undefined) continue
      task.phase = 'stopping'
      decisions.push({ kind: 'stop', worker: worker.worker.description, task: task.task, attempt: task.attempt })
    }
    if (entry.tasks.some(task => task.phase === 'stopping')) return decisions
    return [failed ? this.endJob(entry, 'failed', `tasks failed ${entry.failures} times`) : this.endJob(entry, 'cancelled')]
  }

  private endJob (entry: JobEntry, outcome: JobOutcome, reason?: string): SchedulingDecision {
    entry.endDecided = true
    return { kind: 'jobEnded', job: entry.job.identity, outcome, reason }
  }

  private onReportedTask (entry: WorkerEntry, reported: ReportedTask, now: number): void {
    const task = this.findTask(reported.task)
    if (task === undefined) {
      if (reported.state === 'running') entry.worker.adopt(reported.task, reported.attempt, reported.resources, 'unknown')
      else entry.worker.release(reported.task)
      return
    }
    if (task.attempt !== undefined && !sameAttempt(task.attempt, reported.attempt)) return
    task.checkpointMilliseconds = Math.max(task.checkpointMilliseconds, reported.checkpointMilliseconds)
    if (reported.state === 'running') {
      this.adoptRunning(entry, task, reported, now)
      return
    }
    entry.worker.release(reported.task)
    task.worker = entry.worker.name
    task.attempt = reported.attempt
    if (reported.state === 'finished') {
      task.phase = 'finished'
      return
    }
    entry.acknowledge.set(reported.task, reported.attempt)
    if (reported.state === 'failed') this.countFailure(task)
    this.returnToWaiting(task)
  }

  private adoptRunning (entry: WorkerEntry, task: TaskEntry, reported: ReportedTask, now: number): void {
    if (task.phase === 'finished') return
    if (entry.worker.find(reported.task) === undefined) entry.worker.adopt(reported.task, reported.attempt, reported.resources, 'running')
    task.attempt = reported.attempt
    task.worker = entry.worker.name
    if (task.phase !== 'stopping') task.phase = 'running'
    task.renewedAt = Math.max(task.renewedAt, now)
  }

  private releaseLapsed (now: number): void {
    for (const entry of this.jobs.values()) {
      for (const task of entry.tasks) {
        if (task.phase !== 'starting' && task.phase !== 'running' && task.phase !== 'stopping') continue
        if (now < task.renewedAt + TASK_LEASE_MILLISECONDS + TASK_LEASE_MARGIN_MILLISECONDS) continue
        this.returnToWaiting(task)
      }
    }
  }

  private returnToWaiting (task: TaskEntry): void {
    if (task.worker !== undefined) this.workers.get(task.worker)?.worker.release(task.task)
    task.phase = 'waiting'
    task.worker = undefined
    task.attempt = undefined
  }

  private countFailure (task: TaskEntry): void {
    const entry = this.jobs.get(jobOfTask(task.task))
    if (entry !== undefined) entry.failures += 1
  }

  private noteRenewal (task: string, now: number): void {
    const entry = this.findTask(task)
    if (entry !== undefined) entry.renewedAt = now
  }

  private findTask (task: string): TaskEntry | undefined {
    const index = Number(task.slice(task.lastIndexOf('#') + 1))
    return this.jobs.get(jobOfTask(task))?.tasks[index]
  }
}

/** Name of a job's task. */
export function taskName (job: string, index: number): string {
  return `${job}#${index}`
}

function jobOfTask (task: string): string {
  return task.slice(0, task.lastIndexOf('#'))
}

function sameAttempt (left: Attempt | undefined, right: Attempt): boolean {
  return left !== undefined && left.term === right.term && left.sequence === right.sequence
}

/** Whether a job of this size could run on the given empty workers. */
export function couldEverFit (job: Pick<Job, 'kind' | 'tasks' | 'resources'>, capacities: readonly Resources[]): boolean {
  const perWorker = capacities.map(capacity => tasksThatFit(job.resources, capacity))
  const total = perWorker.reduce((sum, count) => sum + count, 0)
  return job.kind === 'gang' ? total >= job.tasks : total > 0
}

function tasksThatFit (demand: Resources, capacity: Resources): number {
  if (!fitsWithin(demand, capacity)) return 0
  const counts = [
    demand.processorsThousandths === 0 ? Infinity : Math.floor(capacity.processorsThousandths / demand.processorsThousandths),
    demand.memoryBytes === 0 ? Infinity : Math.floor(capacity.memoryBytes / demand.memoryBytes),
    demand.accelerators === 0 ? Infinity : Math.floor(capacity.accelerators / demand.accelerators)
  ]
  return Math.min(...counts, 1_000_000)
}

/** Demand of all tasks of a job together. */
export function totalDemand (job: Pick<Job, 'tasks' | 'resources'>): Resources {
  return multiplyResources(job.resources, job.tasks)
}
