import type { JobStep } from '../contracts/stepJob.js'
import type { Task } from './job.js'
import type { RunOrigin, UsageListener } from './organisations/organisationLedger.js'
import type { WorkerEntry } from './workerPort.js'

/** Weight of the latest run in the estimated speed; job estimates are off by up to a factor of two, so the speed averages about ten runs. */
const SPEED_LEARNING_RATE = 0.12
/** Bounds of a single observation of speed, as a factor; job estimates are often far off. */
const MINIMUM_OBSERVED_SPEED = 0.2
const MAXIMUM_OBSERVED_SPEED = 4
/** Number of consecutive failed runs of different jobs after which a worker is quarantined. */
const FAILURES_BEFORE_QUARANTINE = 2
/** Duration of a quarantine; about the duration of the worker faults observed. */
const QUARANTINE_MILLISECONDS = 4000
/** Time for which a worker gets no work after it has refused a start, in milliseconds. A worker that refuses all starts has the most room, so that it would be chosen again and again. */
const REFUSAL_PAUSE_MILLISECONDS = 1000

/** State of one worker as seen by the active scheduler: its capacity, the runs that may exist there, and its speed and failures. */
export class WorkerState {
  usedProcessors = 0
  usedMemory = 0
  usedAccelerators = 0
  /** Processors used by urgent work, in thousandths; included in `usedProcessors`. */
  urgentProcessors = 0
  /** Processors that filler work would use if enough were idle, in thousandths; not included in `usedProcessors`. */
  fillerProcessors = 0
  /** What tasks that last use; included in the use above. */
  lastingProcessors = 0
  lastingMemory = 0
  lastingAccelerators = 0
  /** Tasks that may be running on the worker, by name. */
  readonly runs = new Map<string, Task>()
  /** Tasks among `runs` under which a worker has crashed before. */
  readonly suspects = new Set<Task>()
  /** The worker has reported under the current term, so its runs are known. */
  hasReported = false
  /** The latest report may omit ends of runs. */
  hasOmittedEnds = false
  /** The latest poll failed. */
  isUnresponsive = false
  /** The latest report lists orphaned runs; they use capacity until they have stopped. */
  hasOrphanedRuns = false
  /** Origins of the orphaned runs in the latest report, as far as they are known. */
  private orphans: readonly RunOrigin[] = []
  /** Time of the last stop command for each orphaned run, by task and run, in milliseconds of the monotonic clock. */
  readonly orphanStopTimes = new Map<string, number>()
  /** The registry lists the worker. */
  isListed = true
  /** Earliest time at which the worker exits at the end of its drain, in milliseconds of the monotonic clock; Infinity if it is not known. */
  drainEndsAt = Infinity
  /** Speed relative to the estimates of the tasks. */
  speed = 1
  quarantinedUntil = 0
  /** Number of the latest end of a run that was processed; workers number their ends, see `EndReport`. */
  processedEnd = 0
  /** Number of the latest end whose effect is in the log. */
  recordedEnd = 0
  /** Number of the latest end acknowledged to the worker by a successful poll. */
  acknowledgedEnd = 0
  /** Start time of the worker's process as the worker reports it. */
  processStartedAt = 0
  /** Time at which the latest poll that reached this process was sent, in milliseconds of the monotonic clock. */
  processSeenAt = -Infinity
  private consecutiveFailures = 0
  private lastFailedJob = ''

  constructor (public entry: WorkerEntry, private readonly usageListener?: UsageListener) {}

  get identity (): string {
    return this.entry.identity
  }

  /** Applies a newer registry entry. */
  update (entry: WorkerEntry, now: number): void {
    this.entry = entry
    this.isListed = true
    if (entry.state !== 'draining') this.drainEndsAt = Infinity
    else if (entry.drainRemainingMilliseconds !== undefined) this.drainEndsAt = Math.min(this.drainEndsAt, now + entry.drainRemainingMilliseconds)
  }

  /** True if ends have been processed whose effect is not in the log yet. */
  get hasUnrecordedEnds (): boolean {
    return this.processedEnd > this.recordedEnd
  }

  /** Number of the latest end still to be acknowledged; 0 if there is none, because a new process would mistake a repeated number for one of its own ends. */
  get endToAcknowledge (): number {
    return this.acknowledgedEnd < this.recordedEnd ? this.recordedEnd : 0
  }

  get freeProcessors (): number {
    return this.entry.processorsThousandths - this.usedProcessors
  }

  get freeMemory (): number {
    return this.entry.memoryMegabytes - this.usedMemory
  }

  /** True if a run of the worker must not be joined by others. */
  get hasIsolatedRun (): boolean {
    for (const task of this.suspects) {
      if (task.crashEvidence.needsIsolation) return true
    }
    return false
  }

  /** Returns true if new runs may be placed on the worker. */
  isUsable (now: number): boolean {
    return this.hasReported && !this.isUnresponsive && !this.hasOrphanedRuns && this.isListed && this.entry.state === 'ready' && now >= this.quarantinedUntil
  }

  /** Returns true if a task of the step fits and leaves `headroom` thousandths of a processor free. */
  fits (step: JobStep, headroom = 0): boolean {
    return processorsOf(step) + headroom <= this.freeProcessors && step.memoryMegabytes <= this.freeMemory && step.accelerators <= this.entry.accelerators - this.usedAccelerators
  }

  /** Returns true if the worker's capacity no longer holds all its runs and a task of the step is one of them that uses what is exceeded. */
  isOvercommittedBy (step: JobStep): boolean {
    const { memoryMegabytes, accelerators } = step
    return (processorsOf(step) > 0 && this.freeProcessors < 0) || (memoryMegabytes > 0 && this.freeMemory < 0) || (accelerators > 0 && this.usedAccelerators > this.entry.accelerators)
  }

  /** Returns true if a task of the step would fit on the worker if it were empty. */
  fitsWhenEmpty (step: JobStep): boolean {
    return processorsOf(step) <= this.entry.processorsThousandths && step.memoryMegabytes <= this.entry.memoryMegabytes && step.accelerators <= this.entry.accelerators && this.hasLabel(step)
  }

  hasLabel (step: JobStep): boolean {
    return step.requiredLabel === '' || this.entry.labels.includes(step.requiredLabel)
  }

  allocate (task: Task): void {
    if (this.runs.has(task.name)) return
    this.runs.set(task.name, task)
    if (task.crashEvidence.isSuspect) this.suspects.add(task)
    this.addUsage(task, 1)
  }

  release (task: Task): void {
    if (!this.runs.delete(task.name)) return
    this.suspects.delete(task)
    this.addUsage(task, -1)
  }

  /** Sets the origins of the orphaned runs that the worker has. */
  setOrphans (orphans: readonly RunOrigin[]): void {
    for (const { job, step } of this.orphans) this.usageListener?.onDidChangeUsage(job, step, -1)
    this.orphans = orphans
    for (const { job, step } of orphans) this.usageListener?.onDidChangeUsage(job, step, 1)
  }

  /** True if no run may exist on the worker. */
  get isEmpty (): boolean {
    return this.runs.size === 0 && this.orphans.length === 0
  }

  /** Updates the speed and resets the consecutive failures after a successful run. */
  recordSuccess (estimateMilliseconds: number, durationMilliseconds: number): void {
    this.consecutiveFailures = 0
    if (estimateMilliseconds === 0 || durationMilliseconds <= 0) return
    const observed = Math.min(MAXIMUM_OBSERVED_SPEED, Math.max(MINIMUM_OBSERVED_SPEED, estimateMilliseconds / durationMilliseconds))
    // The errors of estimates are multiplicative, so the logarithms are averaged.
    this.speed *= (observed / this.speed) ** SPEED_LEARNING_RATE
  }

  /** Counts a failed run. Returns true if the worker is quarantined. */
  recordFailure (job: string, now: number): boolean {
    if (job === this.lastFailedJob) return false
    this.lastFailedJob = job
    this.consecutiveFailures += 1
    if (this.consecutiveFailures < FAILURES_BEFORE_QUARANTINE) return false
    this.quarantinedUntil = now + QUARANTINE_MILLISECONDS
    return true
  }

  /** Pauses placement on the worker, because it has refused a start that it should have had room for. */
  recordRefusal (now: number): void {
    this.quarantinedUntil = Math.max(this.quarantinedUntil, now + REFUSAL_PAUSE_MILLISECONDS)
  }

  private addUsage (task: Task, sign: 1 | -1): void {
    const step = task.step.specification
    if (task.step.job.isUrgent) this.urgentProcessors += sign * processorsOf(step)
    if (step.filler) this.fillerProcessors += sign * step.processorsThousandths
    this.usedProcessors += sign * processorsOf(step)
    this.usedMemory += sign * step.memoryMegabytes
    this.usedAccelerators += sign * step.accelerators
    if (step.longRunning) {
      this.lastingProcessors += sign * processorsOf(step)
      this.lastingMemory += sign * step.memoryMegabytes
      this.lastingAccelerators += sign * step.accelerators
    }
    this.usageListener?.onDidChangeUsage(task.step.job, step, sign)
  }
}

/** Returns the processors that a task uses of a worker's capacity, in thousandths; filler work uses none. */
export function processorsOf (step: JobStep): number {
  return step.filler ? 0 : step.processorsThousandths
}
