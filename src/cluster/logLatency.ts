/** Weight of the latest answer in the usual time. */
const LEARNING_RATE = 0.3

/** How long the log takes to answer, as this instance sees it. */
export class LogLatency {
  private usual = 0
  private readonly openSince = new Set<{ readonly sentAt: number }>()

  constructor (private readonly now: () => number) {}

  /** Usual time of an answer, in milliseconds. */
  get averageMilliseconds (): number {
    return this.usual
  }

  /** The usual time, or the age of the oldest call without an answer if that is longer, in milliseconds. */
  get currentMilliseconds (): number {
    let oldest = 0
    for (const { sentAt } of this.openSince) oldest = Math.max(oldest, this.now() - sentAt)
    return Math.max(this.usual, oldest)
  }

  /** Notes that a call was sent; the returned function notes its end. */
  startCall (): (answered: boolean) => void {
    const call = { sentAt: this.now() }
    this.openSince.add(call)
    return answered => {
      this.openSince.delete(call)
      if (answered) this.usual += LEARNING_RATE * (this.now() - call.sentAt - this.usual)
    }
  }
}
