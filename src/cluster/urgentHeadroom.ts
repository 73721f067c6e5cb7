import { DemandForecast, type ForecastState } from './demand/demandForecast.js'
import type { WorkerState } from './workerState.js'

/** Ratio of the headroom to the average use by urgent work, so that a burst fits; applies while its demand has no season. */
const BURST_FACTOR = 1.5
/** Bounds of the share of a fast worker that is reserved for urgent work. */
const MINIMUM_HEADROOM_SHARE = 0.05
const MAXIMUM_HEADROOM_SHARE = 0.4
/** Weight of the latest sample in the moving average; with a sample every 100 ms, the average covers the last few seconds. */
const LEARNING_RATE = 0.03
/** Minimum speed of a fast worker. */
export const FAST_WORKER_SPEED = 1.05

/** State of the headroom, for logs and metrics. Processors are in thousandths of a core. */
export interface HeadroomState extends ForecastState {
  /** Processors that urgent work uses. */
  readonly used: number
  /** Processors reserved on the fast workers against a task that is placed now and lasts a second. */
  readonly reserved: number
}

/**
 * Reserves a share of the fast workers for urgent work, so that it can start where it finishes in time.
 * Designed for a continuous stream of short urgent jobs with little slack, beside batch work that fills every worker.
 * Where the demand has a season, a task must leave free what the forecast needs at most until the task ends: a short one may still start before a crest,
 * a long one may not.
 */
export class UrgentHeadroom {
  readonly forecast = new DemandForecast()
  /** Moving average of the use by urgent work, as a share of the capacity of the fast workers. */
  private urgentShare = 0
  private fastProcessors = 0
  private urgentProcessors = 0

  /** Samples the current use by urgent work; must be called every 100 ms. `now` is the monotonic clock in milliseconds. */
  observe (workers: Iterable<WorkerState>, now: number): void {
    let capacity = 0
    let urgent = 0
    for (const worker of workers) {
      urgent += worker.urgentProcessors
      if (worker.speed >= FAST_WORKER_SPEED) capacity += worker.entry.processorsThousandths
    }
    const used = capacity === 0 ? 0 : Math.min(1, urgent / capacity)
    this.urgentShare += LEARNING_RATE * (used - this.urgentShare)
    this.fastProcessors = capacity
    this.urgentProcessors = urgent
    this.forecast.observe(urgent, now)
  }

  /** Returns the processors of a worker that a non-urgent task of the given duration must leave free, in thousandths of a core. */
  reservedOn (worker: WorkerState, durationMilliseconds: number): number {
    // Urgent work on the worker already uses the reserved capacity.
    return Math.max(0, this.reservedOnEmpty(worker, durationMilliseconds) - worker.urgentProcessors)
  }

  /** Returns the same for the worker if it were empty. */
  reservedOnEmpty (worker: WorkerState, durationMilliseconds: number): number {
    if (worker.speed < FAST_WORKER_SPEED) return 0
    return this.reservedShare(durationMilliseconds) * worker.entry.processorsThousandths
  }

  /** Returns the share of the fast workers that a non-urgent task of the given duration must leave free. */
  reservedShare (durationMilliseconds: number): number {
    const peak = this.fastProcessors === 0 ? undefined : this.forecast.peakWithin(durationMilliseconds)
    const share = peak === undefined ? BURST_FACTOR * this.urgentShare : peak / this.fastProcessors
    return share === 0 ? 0 : Math.min(MAXIMUM_HEADROOM_SHARE, Math.max(MINIMUM_HEADROOM_SHARE, share))
  }

  get state (): HeadroomState {
    return { ...this.forecast.state, used: this.urgentProcessors, reserved: Math.round(this.reservedShare(1000) * this.fastProcessors) }
  }
}
