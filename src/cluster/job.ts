import type { QueuePolicy } from '../contracts/clusterConfiguration.js'
import type { OccurrenceRow, ProgressRecord, StepRow, SubmissionRecord, TaskRow } from '../contracts/clusterRecords.js'
import { isFinalState, type JobState, type JobStep } from '../contracts/stepJob.js'
import { CrashEvidence } from './crashEvidence.js'

/**
 * Phase of a task.
 * - `placed`: has capacity on a worker; the placement is not recorded yet and no start command has been sent.
 * - `starting`: a start command has been sent and may be executed.
 * - `uncertain`: the outcome of the start is unknown, or a former scheduler placed the task; it may be running.
 * - `stopping`: must be stopped; it may still be running.
 */
export type TaskPhase = 'waiting' | 'placed' | 'starting' | 'uncertain' | 'running' | 'stopping' | 'done'

export class Task {
  phase: TaskPhase = 'waiting'
  /** Number of the last run; 0 before the first. */
  run = 0
  /** Worker of the current run; empty if there is none. */
  worker = ''
  failures = 0
  /** Evidence that the task crashes the workers that start it. */
  readonly crashEvidence = new CrashEvidence()
  /** Whether a worker has confirmed or listed the current run. */
  isConfirmed = false
  /** Start of the worker process that was to run the current run, as Unix time in milliseconds; 0 if it is not known. */
  processStartedAt = 0
  /** Time since which the task has waited for a worker of its own, in milliseconds of the monotonic clock; undefined if it does not. */
  waitsForIsolationSince: number | undefined
  /** Worker that is kept free of other runs for the task; empty if there is none. */
  isolationWorker = ''
  /** Whether the worker rejects the start command of the run, because it has been polled with a greater term. */
  isStartFenced = false
  /** Whether the run is no longer running, and its end may be among those that its worker is still to report. */
  isAwaitingEnd = false
  checkpoint = ''
  percent = 0
  /** Time of the last change of `percent`, in milliseconds of the monotonic clock. */
  progressedAt = 0
  startedAt = 0
  /** Time at which the worker confirmed a stop; the response to a poll sent later shows whether the run still exists. */
  stopConfirmedAt = Infinity
  /** Load of the run in the latest report of its worker, see `RunningReport.load`; undefined before that. */
  reportedLoad: number | undefined
  /** Share of its speed at which the run is to work, in percent. */
  pacePercent = 100
  /** Pace that the worker has confirmed; undefined if it is not known. */
  confirmedPacePercent: number | undefined = 100
  /** Worker that the task was last moved away from; empty if there is none. */
  movedFrom = ''
  /** Whether a pace command may have been sent for the run. */
  hasBeenPaced = false

  constructor (readonly step: Step, readonly index: number) {}

  get name (): string {
    return `${this.step.name}.${this.index}`
  }

  /** True if a run may exist on `worker`. */
  get hasRun (): boolean {
    return this.phase !== 'waiting' && this.phase !== 'done'
  }

  /** Starts a new run with the state `placed`. `processStartedAt` is the start of the worker's process. */
  beginRun (run: number, worker: string, processStartedAt: number): void {
    this.run = run
    this.worker = worker
    this.processStartedAt = processStartedAt
    this.waitsForIsolationSince = undefined
    this.isolationWorker = ''
    this.phase = 'placed'
    this.isConfirmed = false
    this.isStartFenced = false
    this.isAwaitingEnd = false
    this.percent = 0
    this.reportedLoad = undefined
    this.pacePercent = 100
    this.confirmedPacePercent = 100
    this.hasBeenPaced = false
  }
}

/** Tickets that prove which workers may run a step, and the state of the requests for them. */
export interface StepEligibility {
  /** Workers that the service has named, with their latest tickets. Whether a worker may run the step does not change. */
  readonly tickets: Map<string, { ticket: string, validUntil: number }>
  /** Workers named in earlier requests. */
  readonly requestedWorkers: Set<string>
  isRequestPending: boolean
  /** Earliest time of the next request after a failed one, in milliseconds of the monotonic clock. */
  retryNotBefore: number
}

/** Discards a ticket that a worker has refused, so that a new one is requested: whether the worker may run the step does not change. */
export function discardTicket (step: Step, worker: string): void {
  step.eligibility.tickets.delete(worker)
  step.eligibility.requestedWorkers.delete(worker)
}

export class Step {
  readonly tasks: Task[]
  readonly eligibility: StepEligibility = { tickets: new Map(), requestedWorkers: new Set(), isRequestPending: false, retryNotBefore: 0 }
  /** Workers whose capacity is reserved for this gang, or undefined. */
  reservation: ReadonlySet<string> | undefined
  doneCount = 0
  /** Whether a suspect task has ended without a crash since the last crash under a task of the step. */
  hasClearedSuspect = false
  /** Last run of a gang that was counted as failed. Several members of one run may fail, which counts once. */
  lastFailedRun = 0
  waitingCount: number
  /** Time since which waiting tasks have found no worker, in milliseconds of the monotonic clock; undefined while all find one. */
  waitingSince: number | undefined
  /** Time at which all dependencies were done, in milliseconds of the monotonic clock; undefined before that. */
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

/** One execution of the steps of a job; a recurring job has several. */
export class Occurrence {
  readonly steps: Step[]

  constructor (readonly job: Job, readonly index: number) {
    this.steps = job.submission.job.steps.map((step, stepIndex) => new Step(this, stepIndex, step))
  }

  get isDone (): boolean {
    return this.steps.every(step => step.isDone)
  }
}

/** Policy of jobs whose submission record contains none. */
const DEFAULT_POLICY: Omit<QueuePolicy, 'pool'> = { priority: 1, attempts: 1, stretch: 1, targetMilliseconds: 0 }

export class Job {
  /** Policy of the job's queue when the job was accepted. */
  readonly acceptedPolicy: QueuePolicy
  readonly occurrences = new Map<number, Occurrence>()
  finishedOccurrences = 0
  state: JobState = 'pending'
  reason: string | undefined
  /** State that is stored in the log. Callers see no final state before it is stored. */
  recordedState: JobState = 'pending'
  /** Latest completion time that earns the full benefit, in milliseconds of the monotonic clock. */
  objectiveAt = 0
  /** Latest completion time that earns a part of the benefit, in milliseconds of the monotonic clock. */
  lateUntil = 0
  /** True if the job's queue had the most urgent priority when the job was added. */
  isUrgent = false
  /** Time at which the job reached a final state, in milliseconds of the monotonic clock. */
  finishedAt = 0

  constructor (readonly identity: string, readonly submission: SubmissionRecord, readonly acceptedAt: number) {
    this.acceptedPolicy = { ...submission.policy ?? DEFAULT_POLICY, pool: submission.pool }
  }

  get isFinal (): boolean {
    return isFinalState(this.state)
  }

  get occurrenceCount (): number {
    return Math.max(1, this.submission.job.occurrences)
  }

  /** State shown to callers: a final state only once it is stored in the log, because an unrecorded end can be lost with its worker. */
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

/** Converts the progress of a job to its record. */
export function toProgressRecord (job: Job): ProgressRecord {
  if (job.isFinal) return job.reason === undefined ? { state: job.state, occurrences: [] } : { state: job.state, reason: job.reason, occurrences: [] }
  const occurrences = [...job.occurrences.values()].map((occurrence): OccurrenceRow => [occurrence.index, occurrence.steps.map(toStepRow)])
  return { state: job.state, occurrences }
}

function toStepRow (step: Step): StepRow {
  const done: number[] = []
  const tasks: TaskRow[] = []
  for (const task of step.tasks) {
    if (task.phase === 'done') done.push(task.index)
    else if (task.run > 0) tasks.push(toTaskRow(task))
  }
  return step.lastFailedRun === 0 ? [done, tasks] : [done, tasks, step.lastFailedRun]
}

function toTaskRow ({ index, run, hasRun, worker, failures, checkpoint, crashEvidence, processStartedAt }: Task): TaskRow {
  if (!hasRun && !crashEvidence.isSuspect) return [index, run, '', failures, checkpoint]
  return [index, run, hasRun ? worker : '', failures, checkpoint, crashEvidence.proven, hasRun ? processStartedAt : 0]
}

/** Restores the progress of a job from its record. Tasks with a run that may exist become `uncertain`. */
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
  for (const [index, run, worker, failures, checkpoint, crashEvidence, processStartedAt] of rows) {
    const task = step.tasks[index]
    if (task === undefined) continue
    task.run = run
    task.failures = failures
    task.checkpoint = checkpoint
    task.crashEvidence.proven = crashEvidence ?? 0
    if (worker === '') continue
    task.worker = worker
    task.processStartedAt = processStartedAt ?? 0
    task.phase = 'uncertain'
    // The former scheduler may have slowed the run down.
    task.confirmedPacePercent = undefined
    task.hasBeenPaced = true
    step.waitingCount -= 1
  }
}
