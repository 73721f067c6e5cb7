import type { WorkerState } from './workerState.js'

/** Ratio of the headroom to the average use by urgent work, so that a burst fits. */
const BURST_FACTOR = 1.5
/** Bounds of the share of a fast worker that is reserved for urgent work. */
const MINIMUM_HEADROOM_SHARE = 0.05
const MAXIMUM_HEADROOM_SHARE = 0.4
/** Weight of the latest sample in the moving average; with a sample every 100 ms, the average covers the last few seconds. */
const LEARNING_RATE = 0.03
/** Minimum speed of a fast worker. */
export const FAST_WORKER_SPEED = 1.05

/**
 * Reserves a share of the fast workers for urgent work, so that it can start where it finishes in time.
 * Designed for a continuous stream of short urgent jobs with little slack, beside batch work that fills every worker.
 */
export class UrgentHeadroom {
  /** Moving average of the use by urgent work, as a share of the capacity of the fast workers. */
  private urgentShare = 0

  /** Samples the current use by urgent work; must be called every 100 ms. */
  observe (workers: Iterable<WorkerState>): void {
    let capacity = 0
    let urgent = 0
    for (const worker of workers) {
      urgent += worker.urgentProcessors
      if (worker.speed >= FAST_WORKER_SPEED) capacity += worker.entry.processorsThousandths
    }
    const used = capacity === 0 ? 0 : Math.min(1, urgent / capacity)
    this.urgentShare += LEARNING_RATE * (used - this.urgentShare)
  }

  /** Returns the processors of a worker that non-urgent work must leave free, in thousandths of a core. */
  reservedOn (worker: WorkerState): number {
    // Urgent work on the worker already uses the reserved capacity.
    return Math.max(0, this.reservedOnEmpty(worker) - worker.urgentProcessors)
  }

  /** Returns the same for the worker if it were empty. */
  reservedOnEmpty (worker: WorkerState): number {
    if (worker.speed < FAST_WORKER_SPEED || this.urgentShare === 0) return 0
    return Math.min(MAXIMUM_HEADROOM_SHARE, Math.max(MINIMUM_HEADROOM_SHARE, BURST_FACTOR * this.urgentShare)) * worker.entry.processorsThousandths
  }
}
