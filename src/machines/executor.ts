/** Weight of the newest observation in the learned service time. */
const LEARNING_RATE = 0.1

/** What an entry instance has learned of one executor. Times are in milliseconds. */
export class Executor {
  private serviceTime: number | undefined
  private recentFailures = 0
  leaving = false

  constructor (readonly name: string, readonly pool: string, readonly failureDomain: string, readonly address: string) {}

  /** Smoothed time to answer a request; undefined until one has been answered. */
  get learnedServiceMilliseconds (): number | undefined {
    return this.serviceTime
  }

  /** Failures since the last success. */
  get consecutiveFailures (): number {
    return this.recentFailures
  }

  recordSuccess (durationMilliseconds: number): void {
    this.recentFailures = 0
    this.serviceTime = this.serviceTime === undefined
      ? durationMilliseconds
      : this.serviceTime + LEARNING_RATE * (durationMilliseconds - this.serviceTime)
  }

  /** A failure does not lower the learned service time, so that fast errors attract no work. */
  recordFailure (): void {
    this.recentFailures += 1
  }
}
