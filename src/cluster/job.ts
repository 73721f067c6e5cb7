import type { QueuePolicy } from '../contracts/clusterConfiguration.js'
import type { OccurrenceRow, ProgressRecord, StepRow, SubmissionRecord, TaskRow } from '../contracts/clusterRecords.js'
import { isFinalState, type JobState, type JobStep } from '../contracts/stepJob.js'

/**
 * Phase of a task.
 * - `placed`: has room on a worker; the placement is not recorded yet and no order has been sent.
 * - `starting`: a start order may be carried out.
 * - `uncertain`: the start's outcome is unknown, or a former scheduler placed it; it may run.
 * - `stopping`: is to be stopped; it may still run.
 */
export type TaskPhase = 'waiting' | 'placed' | 'starting' | 'uncertain' | 'running' | 'stopping' | 'done'

export class Task {
  phase: TaskPhase = 'waiting'
  /** Number of the last run; 0 before the first. */
  run = 0
  /** Worker of the current run; empty if there is none. */
  worker = ''
  failures = 0
  checkpoint = ''
  percent = 0
  /** When `percent` last changed, on the scheduler's monotonic clock in milliseconds. */
  progressedAt = 0
  startedAt = 0
  /** When a stop was confirmed by the worker; reports sent later show whether the run is gone. */
  stopConfirmedAt = Infinity

  constructor (readonly step: Step, readonly index: number) {}

  get name (): string {
    return `${this.step.name}.${this.index}`
  }

  /** A run may exist on `worker`. */
  get hasRun (): boolean {
    return this.phase !== 'waiting' && this.phase !== 'done'
  }
}

/** Tickets that prove which workers may run a step. */
export interface StepEligibility {
  /** Workers that the service has named, with the latest ticket. The set does not change. */
  readonly tickets: Map<string, { ticket: string, validUntil: number }>
  /** Workers that the service has been asked about. */
  readonly requestedWorkers: Set<string>
  isRequestPending: boolean
  /** No question before this time after a failed one, in milliseconds of the monotonic clock. */
  retryNotBefore: number
}

/** Drops a ticket that a worker has refused. The worker may be asked about again: what it may run does not change. */
export function discardTicket (step: Step, worker: string): void {
  step.eligibility.tickets.delete(worker)
  step.eligibility.requestedWorkers.delete(worker)
}

export class Step {
  readonly tasks: Task[]
  readonly eligibility: StepEligibility = { tickets: new Map(), requestedWorkers: new Set(), isRequestPending: false, retryNotBefore: 0 }
  /** Workers whose room is kept for this gang, or undefined. */
  reservation: ReadonlySet<string> | undefined
  doneCount = 0
  /** Last run of a gang that was counted as failed; several members of one run may fail. */
  lastFailedRun = 0
  waitingCount: number
  /** When all earlier steps were done, in milliseconds of the monotonic clock; undefined while the step must wait. */
  readyAt: number | undefined

  constructor (readonly occurrence: Occurrence, readonly index: number, readonly specification: JobStep) {
    this.tasks = Array.from({ length: specification.count }, (_, task) => new Task(this, task))
    this.waitingCount = specification.count
  }

  get job (): Job {
    return this.occurrence.job
  }

  get name (): string {
    return `${this.job.identity}.${this.occurrence.index}.${this.index}`
  }

  get isDone (): boolean {
    return this.doneCount === this.tasks.length
  }
}

/** One time that the steps of a job run. */
export class Occurrence {
  readonly steps: Step[]

  constructor (readonly job: Job, readonly index: number) {
    this.steps = job.submission.job.steps.map((step, stepIndex) => new Step(this, stepIndex, step))
  }

  get isDone (): boolean {
    return this.steps.every(step => step.isDone)
  }
}

/** Policy of jobs whose record holds none. */
const FORMER_POLICY: Omit<QueuePolicy, 'pool'> = { priority: 1, attempts: 1, stretch: 1, targetMilliseconds: 0 }

export class Job {
  /** Policy of the job's queue when the job was accepted. */
  readonly acceptedPolicy: QueuePolicy
  readonly occurrences = new Map<number, Occurrence>()
  finishedOccurrences = 0
  state: JobState = 'pending'
  reason: string | undefined
  /** State that the log holds; callers are shown no final state before. */
  recordedState: JobState = 'pending'
  /** Time by which the job should be completed to earn its full benefit, in milliseconds of the monotonic clock. */
  objectiveAt = 0
  /** Time until which a late completion still earns a part of the benefit, in milliseconds of the monotonic clock. */
  lateUntil = 0
  /** The job's queue had the most urgent priority when the job arrived. */
  isUrgent = false
  /** When the job reached a final state, in milliseconds of the monotonic clock. */
  finishedAt = 0

  constructor (readonly identity: string, readonly submission: SubmissionRecord, readonly acceptedAt: number) {
    this.acceptedPolicy = { ...submission.policy ?? FORMER_POLICY, pool: submission.pool }
  }

  get isFinal (): boolean {
    return isFinalState(this.state)
  }

  get occurrenceCount (): number {
    return Math.max(1, this.submission.job.occurrences)
  }

  /** State for callers: a final state only once the log holds it, since an end that is not recorded can be lost with its worker. */
  get visibleState (): JobState {
    if (!this.isFinal) return this.state
    return isFinalState(this.recordedState) ? this.recordedState : 'running'
  }

  * tasks (): Generator<Task> {
    for (const occurrence of this.occurrences.values()) {
      for (const step of occurrence.steps) yield * step.tasks
    }
  }
}

/** Progress of a job as it is recorded. */
export function toProgressRecord (job: Job): ProgressRecord {
  if (job.isFinal) return job.reason === undefined ? { state: job.state, occurrences: [] } : { state: job.state, reason: job.reason, occurrences: [] }
  const occurrences = [...job.occurrences.values()].map((occurrence): OccurrenceRow => [occurrence.index, occurrence.steps.map(rowOfStep)])
  return { state: job.state, occurrences }
}

function rowOfStep (step: Step): StepRow {
  const done: number[] = []
  const tasks: TaskRow[] = []
  for (const task of step.tasks) {
    if (task.phase === 'done') done.push(task.index)
    else if (task.run > 0) tasks.push([task.index, task.run, task.hasRun ? task.worker : '', task.failures, task.checkpoint])
  }
  return step.lastFailedRun === 0 ? [done, tasks] : [done, tasks, step.lastFailedRun]
}

/** Restores the occurrences of a job from its record. Runs that may exist become `uncertain`. */
export function restoreProgress (job: Job, record: ProgressRecord): void {
  job.state = record.state
  job.recordedState = record.state
  job.reason = record.reason
  for (const [index, stepRows] of record.occurrences) {
    const occurrence = new Occurrence(job, index)
    job.occurrences.set(index, occurrence)
    occurrence.steps.forEach((step, stepIndex) => restoreStep(step, stepRows[stepIndex] ?? [[], []]))
    if (occurrence.isDone) job.finishedOccurrences += 1
  }
}

function restoreStep (step: Step, [done, rows, lastFailedRun]: StepRow): void {
  step.lastFailedRun = lastFailedRun ?? 0
  for (const index of done) {
    const task = step.tasks[index]
    if (task === undefined) continue
    task.phase = 'done'
    step.doneCount += 1
    step.waitingCount -= 1
  }
  for (const [index, run, worker, failures, checkpoint] of rows) {
    const task = step.tasks[index]
    if (task === undefined) continue
    task.run = run
    task.failures = failures
    task.checkpoint = checkpoint
    if (worker === '') continue
    task.worker = worker
    task.phase = 'uncertain'
    step.waitingCount -= 1
  }
}
