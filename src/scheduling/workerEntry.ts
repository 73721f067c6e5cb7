import { NO_RESOURCES } from '../contracts/resources.js'
import type { Attempt, ReportedTask } from '../contracts/workerProtocol.js'
import { sameDescription, Worker, type WorkerDescription } from '../machines/worker.js'

/** What the owner knows about one worker besides its resources. Times are monotonic milliseconds of the owner. */
export class WorkerEntry {
  readonly worker: Worker
  /** Arrival of the latest report; undefined before the first. */
  reportedAt: number | undefined
  /** Time at which the request for the latest report was sent. */
  reportRequestedAt = -Infinity
  /** The worker is not used for starts before this time. */
  avoidUntil = -Infinity
  avoidQueuedUntil = -Infinity
  listed = true
  /** Class of its free resources in the index of workers, and its position there; -1 outside the index. */
  indexCell = -1
  indexPosition = -1
  /** Free resources when they were last looked at, to tell growth. */
  lastFree = NO_RESOURCES
  /** Ended attempts that the worker may forget. */
  readonly pendingAcknowledgements = new Map<string, Attempt>()
  /** Ended attempts of jobs that are not known here, or not yet. */
  readonly endedOrphans = new Map<string, ReportedTask>()

  constructor (description: WorkerDescription) {
    this.worker = new Worker(description)
  }

  /** Takes over what the list of workers says. Returns whether anything has changed. */
  applyListing (description: WorkerDescription, leaving: boolean): boolean {
    const { worker } = this
    if (this.listed && worker.leaving === leaving && sameDescription(worker.description, description)) return false
    this.listed = true
    worker.leaving = leaving
    worker.describe(description)
    return true
  }

  /** Whether it takes part in placing at all. */
  get schedulable (): boolean {
    return this.reportedAt !== undefined && this.listed && !this.worker.leaving
  }

  /** Whether tasks may be started on it at `now`. */
  acceptsStarts (now: number): boolean {
    return this.schedulable && now >= this.avoidUntil
  }
}
