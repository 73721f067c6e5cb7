import type { JobEntry, TaskEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Consecutive failed attempts after which a worker is quarantined. */
const FAILURES_BEFORE_QUARANTINE = 3
/** Number of different jobs that must be among them, so that one bad job does not quarantine workers. */
const JOBS_BEFORE_QUARANTINE = 2
/** A job that has failed on this many workers is itself considered faulty; its failures do not count against workers. */
const WORKERS_BEFORE_JOB_SUSPECTED = 3
/** First quarantine; each further one within the history period lasts twice as long, up to the longest. In milliseconds. */
const FIRST_QUARANTINE_MILLISECONDS = 60_000
const LONGEST_QUARANTINE_MILLISECONDS = 960_000
const QUARANTINE_HISTORY_MILLISECONDS = 3_600_000

interface Health {
  /** Attempts that have failed since the last one that finished. */
  failed: TaskEntry[]
  quarantinedUntil: number | undefined
  /** Number of quarantines, which sets the length of the next, and the end of the last one. */
  quarantines: number
  releasedAt: number
}

/** Change of a worker's health. */
export interface HealthChange {
  readonly kind: 'workerQuarantined' | 'workerReleased'
  readonly worker: string
  readonly detail: string
}

/**
 * Distinguishes workers on which everything fails from jobs that fail everywhere, by counting distinct jobs and workers.
 * A quarantined worker receives no tasks until its quarantine ends, then one deferrable task as a probe; only a finished task releases it.
 */
export class WorkerHealth {
  private readonly health = new Map<WorkerEntry, Health>()
  private readonly workersByFailedJob = new Map<JobEntry, Set<WorkerEntry>>()

  /** Returns whether a task of the job may be started on the worker. */
  accepts (entry: WorkerEntry, job: JobEntry, now: number): boolean {
    const until = this.health.get(entry)?.quarantinedUntil
    if (until === undefined) return true
    return now >= until && job.job.urgency === 'deferrable' && job.job.kind === 'batch' && entry.worker.holdCount === 0
  }

  /** Returns the end of the worker's quarantine, or undefined if it is not quarantined. A probe may run after it. */
  quarantinedUntil (entry: WorkerEntry): number | undefined {
    return this.health.get(entry)?.quarantinedUntil
  }

  onFinished (entry: WorkerEntry, now: number): HealthChange | undefined {
    const health = this.health.get(entry)
    if (health === undefined) return undefined
    health.failed = []
    if (health.quarantinedUntil === undefined) return undefined
    health.quarantinedUntil = undefined
    health.releasedAt = now
    return { kind: 'workerReleased', worker: entry.worker.name, detail: 'a probe finished' }
  }

  onFailed (entry: WorkerEntry, task: TaskEntry, now: number): HealthChange | undefined {
    const failedOn = this.workersByFailedJob.get(task.job) ?? new Set()
    this.workersByFailedJob.set(task.job, failedOn.add(entry))
    const health = this.health.get(entry) ?? { failed: [], quarantinedUntil: undefined, quarantines: 0, releasedAt: -Infinity }
    this.health.set(entry, health)
    if (health.quarantinedUntil !== undefined) {
      this.removeFailures(task, entry)
      if (now >= health.quarantinedUntil) health.quarantinedUntil = now + this.nextQuarantineMilliseconds(health)
      return undefined
    }
    health.failed.push(task)
    const countedFailures = health.failed.filter(({ job }) => (this.workersByFailedJob.get(job)?.size ?? 0) < WORKERS_BEFORE_JOB_SUSPECTED)
    const jobs = new Set(countedFailures.map(({ job }) => job))
    if (countedFailures.length < FAILURES_BEFORE_QUARANTINE || jobs.size < JOBS_BEFORE_QUARANTINE) return undefined
    if (now - health.releasedAt > QUARANTINE_HISTORY_MILLISECONDS) health.quarantines = 0
    for (const failed of health.failed) this.removeFailures(failed, entry)
    health.failed = []
    health.quarantinedUntil = now + this.nextQuarantineMilliseconds(health)
    return { kind: 'workerQuarantined', worker: entry.worker.name, detail: `${countedFailures.length} attempts of ${jobs.size} jobs failed in a row` }
  }

  forgetJob (job: JobEntry): void {
    this.workersByFailedJob.delete(job)
  }

  forgetWorker (entry: WorkerEntry): void {
    this.health.delete(entry)
  }

  /** Removes the failures of a task on a worker that fails everything, so that they do not count against the task. */
  private removeFailures (task: TaskEntry, entry: WorkerEntry): void {
    const count = task.failedOn.get(entry.worker.name) ?? 0
    task.failures -= count
    task.failedOn.delete(entry.worker.name)
  }

  private nextQuarantineMilliseconds (health: Health): number {
    health.quarantines += 1
    return Math.min(LONGEST_QUARANTINE_MILLISECONDS, FIRST_QUARANTINE_MILLISECONDS * 2 ** (health.quarantines - 1))
  }
}
