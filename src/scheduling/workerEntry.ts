import { NO_RESOURCES } from '../contracts/resources.js'
import type { Attempt, ReportedTask } from '../contracts/workerProtocol.js'
import { equalDescriptions, Worker, type WorkerDescription } from '../machines/worker.js'

/** State of one worker as the owner knows it, besides its resources. Times are monotonic milliseconds of the owner. */
export class WorkerEntry {
  readonly worker: Worker
  /** Arrival of the latest report; undefined before the first. */
  reportedAt: number | undefined
  /** Time at which the request for the latest report was sent. */
  reportRequestedAt = -Infinity
  /** The worker receives no starts before this time. */
  avoidUntil = -Infinity
  /** Value of `avoidUntil` with which the worker was last queued for reuse. */
  avoidQueuedUntil = -Infinity
  listed = true
  /** Cell of its free resources in the index of workers, and its position there; -1 outside the index. */
  indexCell = -1
  indexPosition = -1
  /** Free resources at the last change, to detect an increase. */
  lastFree = NO_RESOURCES
  /** Ended attempts to acknowledge, so that the worker may forget them. */
  readonly pendingAcknowledgements = new Map<string, Attempt>()
  /** Ended attempts of jobs that are unknown, or not yet known. */
  readonly endedOrphans = new Map<string, ReportedTask>()

  constructor (description: WorkerDescription) {
    this.worker = new Worker(description)
  }

  /** Applies the entry of the worker in the list of workers. Returns whether anything has changed. */
  applyListing (description: WorkerDescription, leaving: boolean): boolean {
    const { worker } = this
    if (this.listed && worker.leaving === leaving && equalDescriptions(worker.description, description)) return false
    this.listed = true
    worker.leaving = leaving
    worker.updateDescription(description)
    return true
  }

  /** Whether tasks may be placed on it at all: it has reported, is listed and is not leaving. */
  get schedulable (): boolean {
    return this.reportedAt !== undefined && this.listed && !this.worker.leaving
  }

  /** Whether tasks may be started on it at `now`. */
  acceptsStarts (now: number): boolean {
    return this.schedulable && now >= this.avoidUntil
  }
}
