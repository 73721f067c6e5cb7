import type { WorkerState } from './workerState.js'

/** Room is kept for this many times the usual amount of urgent work, so that a burst finds room. */
const BURST_FACTOR = 1.5
/** Bounds of the part of a fast worker that is kept for urgent work. */
const MINIMUM_SHARE = 0.05
const MAXIMUM_SHARE = 0.4
/** Weight of the latest observation; at one each 100 ms it covers the last few seconds. */
const LEARNING_RATE = 0.03
/** Speed that divides slow workers from fast ones. */
export const FAST_WORKER_SPEED = 1.05

/**
 * Keeps part of the fast workers free of other work, so that urgent work finds room where it is done in time.
 * Pattern: short urgent jobs with little slack arrive all the time, beside batch work that fills every worker.
 */
export class UrgentHeadroom {
  private share = 0

  /** Takes the present use of the fast workers into account; to be called every 100 ms. */
  observe (workers: Iterable<WorkerState>): void {
    let capacity = 0
    let urgent = 0
    for (const worker of workers) {
      urgent += worker.urgentProcessors
      if (worker.speed >= FAST_WORKER_SPEED) capacity += worker.entry.processorsThousandths
    }
    const used = capacity === 0 ? 0 : Math.min(1, urgent / capacity)
    this.share += LEARNING_RATE * (used - this.share)
  }

  /** Processors of a worker that other than urgent work must leave free, in thousandths of a core. */
  reservedOn (worker: WorkerState): number {
    // Urgent work that is here already uses the room that is kept.
    return Math.max(0, this.reservedOnEmpty(worker) - worker.urgentProcessors)
  }

  /** The same for the worker if it were empty. */
  reservedOnEmpty (worker: WorkerState): number {
    if (worker.speed < FAST_WORKER_SPEED || this.share === 0) return 0
    return Math.min(MAXIMUM_SHARE, Math.max(MINIMUM_SHARE, BURST_FACTOR * this.share)) * worker.entry.processorsThousandths
  }
}
