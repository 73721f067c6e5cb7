/** Weight of the latest observation in exponentially smoothed values. */
const SMOOTHING_FACTOR = 0.1
/** Number of consecutive failures after which an executor is considered an outlier. */
const OUTLIER_CONSECUTIVE_FAILURES = 5
/** Smoothed share of failed requests above which an executor is considered an outlier. */
const OUTLIER_FAILURE_SHARE = 0.5
const BASE_EJECTION_MILLISECONDS = 1000
/** Upper bound of an ejection, so that an executor that has recovered is used again. */
const MAXIMUM_EJECTION_MILLISECONDS = 30_000

/** Statistics of one executor as observed by an entry instance, with its ejection state. Times are monotonic milliseconds. */
export class Executor {
  private serviceTime: number | undefined
  private consecutiveFailures = 0
  private smoothedFailureShare = 0
  private successesSinceStart = 0
  private consecutiveEjections = 0
  private ejectedUntil = -Infinity
  leaving = false

  constructor (readonly name: string, readonly pool: string, readonly failureDomain: string, readonly address: string) {}

  /** Smoothed service time of a request; undefined until one has succeeded. */
  get learnedServiceMilliseconds (): number | undefined {
    return this.serviceTime
  }

  /** Smoothed share of requests that failed. */
  get failureShare (): number {
    return this.smoothedFailureShare
  }

  /** Maximum number of requests in flight during slow start: 1 for a new or returning executor, doubled after each success. */
  get rampLimit (): number {
    return 2 ** Math.min(this.successesSinceStart, 10)
  }

  /** Whether its failures make it a candidate for ejection. */
  get isOutlier (): boolean {
    return this.consecutiveFailures >= OUTLIER_CONSECUTIVE_FAILURES || (this.smoothedFailureShare > OUTLIER_FAILURE_SHARE && this.consecutiveFailures > 0)
  }

  isEjected (now: number): boolean {
    return now < this.ejectedUntil
  }

  recordSuccess (durationMilliseconds: number): void {
    this.consecutiveFailures = 0
    this.consecutiveEjections = 0
    this.successesSinceStart += 1
    this.smoothedFailureShare -= SMOOTHING_FACTOR * this.smoothedFailureShare
    this.serviceTime = this.serviceTime === undefined
      ? durationMilliseconds
      : this.serviceTime + SMOOTHING_FACTOR * (durationMilliseconds - this.serviceTime)
  }

  /** Leaves the learned service time unchanged, so that an executor that fails fast does not attract requests. */
  recordFailure (): void {
    this.consecutiveFailures += 1
    this.smoothedFailureShare += SMOOTHING_FACTOR * (1 - this.smoothedFailureShare)
  }

  /** Excludes the executor for a bounded time, doubled with each consecutive ejection. It returns with a slow start. */
  eject (now: number): void {
    this.ejectedUntil = now + Math.min(MAXIMUM_EJECTION_MILLISECONDS, BASE_EJECTION_MILLISECONDS * 2 ** this.consecutiveEjections)
    this.consecutiveEjections += 1
    this.consecutiveFailures = 0
    this.smoothedFailureShare = OUTLIER_FAILURE_SHARE
    this.successesSinceStart = 0
  }
}

/** Ejects an outlier unless more than half of its pool would then be ejected; `pool` includes it. Returns whether it was ejected. */
export function ejectOutlier (executor: Executor, pool: readonly Executor[], now: number): boolean {
  if (!executor.isOutlier || executor.isEjected(now)) return false
  const ejected = pool.filter(other => other.isEjected(now)).length
  if (ejected + 1 > Math.floor(pool.length / 2)) return false
  executor.eject(now)
  return true
}
