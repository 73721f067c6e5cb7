/** Weight of the latest call in the moving average. */
const SMOOTHING_FACTOR = 0.3

/** Latency of the log as this instance measures it. */
export class LogLatency {
  private average = 0
  private readonly pendingCalls = new Set<{ readonly sentAt: number }>()

  constructor (private readonly now: () => number) {}

  /** Exponential moving average of the latency, in milliseconds. */
  get averageMilliseconds (): number {
    return this.average
  }

  /** The average latency, or the age of the oldest pending call if that is longer, in milliseconds. */
  get currentMilliseconds (): number {
    let oldest = 0
    for (const { sentAt } of this.pendingCalls) oldest = Math.max(oldest, this.now() - sentAt)
    return Math.max(this.average, oldest)
  }

  /** Records that a call was sent; the returned function records its end. */
  startCall (): (hasResponse: boolean) => void {
    const call = { sentAt: this.now() }
    this.pendingCalls.add(call)
    return hasResponse => {
      this.pendingCalls.delete(call)
      if (hasResponse) this.average += SMOOTHING_FACTOR * (this.now() - call.sentAt - this.average)
    }
  }
}
