/** Weight of the newest observation in learned values. */
const LEARNING_RATE = 0.1
/** Failures in a row after which an executor is considered an outlier. */
const FAILURES_IN_A_ROW = 5
/** Smoothed share of failures above which an executor is considered an outlier. */
const OUTLIER_FAILURE_SHARE = 0.5
const FIRST_EJECTION_MILLISECONDS = 1000
/** An ejected executor is tried again after this time at the latest, so that one that recovers is not lost. */
const LONGEST_EJECTION_MILLISECONDS = 30_000

/** What an entry instance has learned of one executor. Times are monotonic milliseconds. */
export class Executor {
  private serviceTime: number | undefined
  private failures = 0
  private smoothedFailureShare = 0
  private successesSinceStart = 0
  private ejections = 0
  private ejectedUntil = -Infinity
  leaving = false

  constructor (readonly name: string, readonly pool: string, readonly failureDomain: string, readonly address: string) {}

  /** Smoothed time to answer a request; undefined until one has been answered. */
  get learnedServiceMilliseconds (): number | undefined {
    return this.serviceTime
  }

  /** Smoothed share of requests that failed. */
  get failureShare (): number {
    return this.smoothedFailureShare
  }

  /** Requests that may be in flight: a new or returning executor gets one, then twice as many after each success. */
  get rampLimit (): number {
    return 2 ** Math.min(this.successesSinceStart, 10)
  }

  /** Whether its failures make it a candidate for ejection. */
  get isOutlier (): boolean {
    return this.failures >= FAILURES_IN_A_ROW || (this.smoothedFailureShare > OUTLIER_FAILURE_SHARE && this.failures > 0)
  }

  isEjected (now: number): boolean {
    return now < this.ejectedUntil
  }

  recordSuccess (durationMilliseconds: number): void {
    this.failures = 0
    this.ejections = 0
    this.successesSinceStart += 1
    this.smoothedFailureShare -= LEARNING_RATE * this.smoothedFailureShare
    this.serviceTime = this.serviceTime === undefined
      ? durationMilliseconds
      : this.serviceTime + LEARNING_RATE * (durationMilliseconds - this.serviceTime)
  }

  /** A failure does not lower the learned service time, so that fast errors attract no work. */
  recordFailure (): void {
    this.failures += 1
    this.smoothedFailureShare += LEARNING_RATE * (1 - this.smoothedFailureShare)
  }

  /** Keeps the executor without work for a bounded time, longer with each ejection in a row. It returns with a slow start. */
  eject (now: number): void {
    this.ejectedUntil = now + Math.min(LONGEST_EJECTION_MILLISECONDS, FIRST_EJECTION_MILLISECONDS * 2 ** this.ejections)
    this.ejections += 1
    this.failures = 0
    this.smoothedFailureShare = OUTLIER_FAILURE_SHARE
    this.successesSinceStart = 0
  }
}

/** Ejects an outlier unless half of its pool would then be without work; `pool` includes it. Returns whether it was ejected. */
export function ejectOutlier (executor: Executor, pool: readonly Executor[], now: number): boolean {
  if (!executor.isOutlier || executor.isEjected(now)) return false
  const ejected = pool.filter(other => other.isEjected(now)).length
  if (ejected + 1 > Math.floor(pool.length / 2)) return false
  executor.eject(now)
  return true
}
