import type { JobStep } from '../contracts/stepJob.js'
import type { Task } from './job.js'
import type { WorkerEntry } from './workerPort.js'

/** Weight of the latest run in the learned speed; estimates are off by up to a factor of two, so that some ten runs must tell. */
const SPEED_LEARNING_RATE = 0.12
/** Bounds of one observation of speed, as a factor; estimates are often far off. */
const MINIMUM_OBSERVED_SPEED = 0.2
const MAXIMUM_OBSERVED_SPEED = 4
/** Failed runs of different jobs in a row after which a worker gets no more work for a while. */
const FAILURES_BEFORE_QUARANTINE = 2
/** Time without work after failures in a row, in milliseconds; about the duration of the troubles seen. */
const QUARANTINE_MILLISECONDS = 4000

/** What the acting scheduler knows of one worker: its room, what may run there, and how well it does. */
export class WorkerState {
  usedProcessors = 0
  usedMemory = 0
  usedAccelerators = 0
  /** Processors that urgent work uses, in thousandths; part of `usedProcessors`. */
  urgentProcessors = 0
  /** Tasks that may run here, by name. */
  readonly runs = new Map<string, Task>()
  /** The worker has answered under the current term, so that what runs there is known. */
  hasReported = false
  /** The latest look failed. */
  isUnresponsive = false
  /** The latest report lists runs that no job accounts for; they take room until they have stopped. */
  hasOrphanedRuns = false
  /** When the stop of each stray run was last ordered, by task and run, in milliseconds of the monotonic clock. */
  readonly orphanStopTimes = new Map<string, number>()
  /** The registry lists the worker. */
  isListed = true
  /** Speed relative to the tasks' estimates. */
  speed = 1
  quarantinedUntil = 0
  /** Latest end that has been taken into account, and latest that the log covers. */
  processedEnd = 0
  recordedEnd = 0
  /** Latest end that a successful look has told the worker to forget. */
  acknowledgedEnd = 0
  /** Start of the worker's process as it states it, and when the latest look that showed it was sent. */
  processStartedAt = 0
  processSeenAt = -Infinity
  private failuresInRow = 0
  private lastFailedJob = ''

  constructor (public entry: WorkerEntry) {}

  get identity (): string {
    return this.entry.identity
  }

  /** Ends have been taken into account that the log does not hold yet. */
  get hasUnrecordedEnds (): boolean {
    return this.processedEnd > this.recordedEnd
  }

  /** Latest end that the worker is still to be told to forget; 0 if there is none, because a new process would take it for one of its own. */
  get endToAcknowledge (): number {
    return this.acknowledgedEnd < this.recordedEnd ? this.recordedEnd : 0
  }

  get freeProcessors (): number {
    return this.entry.processorsThousandths - this.usedProcessors
  }

  get freeMemory (): number {
    return this.entry.memoryMegabytes - this.usedMemory
  }

  /** Whether new runs may be placed here. */
  isUsable (now: number): boolean {
    return this.hasReported && !this.isUnresponsive && !this.hasOrphanedRuns && this.isListed && this.entry.state === 'ready' && now >= this.quarantinedUntil
  }

  /** Whether a task fits and leaves `headroom` processors free, in thousandths. */
  fits (step: JobStep, headroom = 0): boolean {
    return processorsOf(step) + headroom <= this.freeProcessors && step.memoryMegabytes <= this.freeMemory && step.accelerators <= this.entry.accelerators - this.usedAccelerators
  }

  /** Whether the empty worker could carry a task of the step. */
  fitsWhenEmpty (step: JobStep): boolean {
    return processorsOf(step) <= this.entry.processorsThousandths && step.memoryMegabytes <= this.entry.memoryMegabytes && step.accelerators <= this.entry.accelerators && this.hasLabel(step)
  }

  hasLabel (step: JobStep): boolean {
    return step.requiredLabel === '' || this.entry.labels.includes(step.requiredLabel)
  }

  allocate (task: Task): void {
    if (this.runs.has(task.name)) return
    this.runs.set(task.name, task)
    this.count(task, 1)
  }

  release (task: Task): void {
    if (this.runs.delete(task.name)) this.count(task, -1)
  }

  /** Learns from a run that ended well. */
  recordSuccess (estimateMilliseconds: number, durationMilliseconds: number): void {
    this.failuresInRow = 0
    if (estimateMilliseconds === 0 || durationMilliseconds <= 0) return
    const observed = Math.min(MAXIMUM_OBSERVED_SPEED, Math.max(MINIMUM_OBSERVED_SPEED, estimateMilliseconds / durationMilliseconds))
    // Estimates are off by a factor, so that the mean is taken of logarithms.
    this.speed *= (observed / this.speed) ** SPEED_LEARNING_RATE
  }

  /** Learns from a failed run; returns whether the worker is put into quarantine. */
  recordFailure (job: string, now: number): boolean {
    if (job === this.lastFailedJob) return false
    this.lastFailedJob = job
    this.failuresInRow += 1
    if (this.failuresInRow < FAILURES_BEFORE_QUARANTINE) return false
    this.quarantinedUntil = now + QUARANTINE_MILLISECONDS
    return true
  }

  private count (task: Task, sign: 1 | -1): void {
    const step = task.step.specification
    if (task.step.job.isUrgent) this.urgentProcessors += sign * processorsOf(step)
    this.usedProcessors += sign * processorsOf(step)
    this.usedMemory += sign * step.memoryMegabytes
    this.usedAccelerators += sign * step.accelerators
  }
}

/** Processors that a task counts against a worker's capacity, in thousandths; filler work counts none. */
export function processorsOf (step: JobStep): number {
  return step.filler ? 0 : step.processorsThousandths
}
