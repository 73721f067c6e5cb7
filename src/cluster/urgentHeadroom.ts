import { DemandForecaster, type Forecast } from './demand/demandForecaster.js'
import type { Step } from './job.js'
import { processorsOf, type WorkerState } from './workerState.js'

/** Ratio of the headroom to the average demand of urgent work, so that a burst fits; applies while no season is known. */
const BURST_FACTOR = 1.5
/** Bounds of the share of a fast worker that is reserved for urgent work. */
const MINIMUM_HEADROOM_SHARE = 0.05
const MAXIMUM_HEADROOM_SHARE = 0.4
/** Upper bound of the share while a season is known. */
const MAXIMUM_SEASONAL_SHARE = 0.6
/**
 * Ratio of the margin to the mean error of the forecast. Urgent work earns about three times what other work earns in the same processor time, so the
 * demand should exceed the headroom in one of four moments; for a normal distribution, that is 0.67 standard deviations or 0.85 mean errors.
 */
const MARGIN_ERRORS = 0.85
/** Minimum speed of a fast worker. */
export const FAST_WORKER_SPEED = 1.05

/** State of the headroom, for logs and metrics. Processors are in thousandths of a core. */
export interface HeadroomState {
  /** Processors that urgent work uses or waits for. */
  readonly demand: number
  /** Demand forecast for the near future, and the mean error of the latest forecasts like it. */
  readonly forecast: Forecast
  /** Processors reserved on the fast workers against a task placed now that lasts a second. */
  readonly reserved: number
  readonly periodMilliseconds: number | undefined
}

/**
 * Reserves a share of the fast workers for urgent work, so that it can start where it finishes in time.
 * Designed for a continuous stream of short urgent jobs with little slack, beside batch work that fills every worker.
 * A task must leave free what the forecast needs at most until the task ends: a short one may still start before a crest, a long one may not.
 */
export class UrgentHeadroom {
  private readonly forecaster = new DemandForecaster()
  private demand = 0
  private fastProcessors = 0

  /** Samples the demand of urgent work, in use and waiting; must be called every 100 ms. */
  observe (workers: Iterable<WorkerState>, readySteps: Iterable<Step>, now: number): void {
    this.fastProcessors = 0
    this.demand = 0
    for (const worker of workers) {
      this.demand += worker.urgentProcessors
      if (worker.speed >= FAST_WORKER_SPEED) this.fastProcessors += worker.entry.processorsThousandths
    }
    for (const { job, specification, waitingCount } of readySteps) {
      if (job.isUrgent && now <= job.lateUntil) this.demand += waitingCount * processorsOf(specification)
    }
    this.forecaster.observe(Math.min(this.demand, this.fastProcessors))
  }

  /** Returns the processors of a worker that a non-urgent task of the given duration must leave free, in thousandths of a core. */
  reservedOn (worker: WorkerState, durationMilliseconds = 0): number {
    // Urgent work on the worker already uses the reserved capacity.
    return Math.max(0, this.reservedOnEmpty(worker, durationMilliseconds) - worker.urgentProcessors)
  }

  /** Returns the same for the worker if it were empty. */
  reservedOnEmpty (worker: WorkerState, durationMilliseconds = 0): number {
    if (worker.speed < FAST_WORKER_SPEED) return 0
    return this.reservedShare(durationMilliseconds) * worker.entry.processorsThousandths
  }

  /** Returns the share of the fast workers that a non-urgent task of the given duration must leave free. */
  reservedShare (durationMilliseconds: number): number {
    const average = this.forecaster.averageDemand
    if (average === 0 || this.fastProcessors === 0) return 0
    const forecasts = this.forecaster.within(durationMilliseconds)
    const needed = Math.max(...forecasts.map(({ value, error }) => value + MARGIN_ERRORS * error))
    const isSeasonal = forecasts.at(-1)?.method === 'season'
    const processors = isSeasonal ? needed : Math.max(BURST_FACTOR * average, needed)
    return Math.min(isSeasonal ? MAXIMUM_SEASONAL_SHARE : MAXIMUM_HEADROOM_SHARE, Math.max(MINIMUM_HEADROOM_SHARE, processors / this.fastProcessors))
  }

  get state (): HeadroomState {
    return { demand: this.demand, forecast: this.forecaster.nearest, reserved: Math.round(this.reservedShare(1000) * this.fastProcessors), periodMilliseconds: this.forecaster.periodMilliseconds }
  }
}
