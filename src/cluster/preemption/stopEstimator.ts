/** Assumed duration of a stop before any was observed, in milliseconds. */
const INITIAL_MILLISECONDS = 900
/** Bounds of the estimate, in milliseconds. */
const MINIMUM_MILLISECONDS = 50
const MAXIMUM_MILLISECONDS = 2000
/** Weights of an observation above and below the estimate: a stop that takes longer than expected makes the preempting task late. */
const RAISING_RATE = 0.2
const LOWERING_RATE = 0.05

/** Estimates how long a run continues after its worker has confirmed a stop. */
export class StopEstimator {
  private estimate = INITIAL_MILLISECONDS

  get milliseconds (): number {
    return this.estimate
  }

  observe (milliseconds: number): void {
    // The end may be reported before the confirmation of the stop arrives.
    if (!Number.isFinite(milliseconds) || milliseconds < 0) return
    const rate = milliseconds > this.estimate ? RAISING_RATE : LOWERING_RATE
    this.estimate += rate * (Math.min(MAXIMUM_MILLISECONDS, Math.max(MINIMUM_MILLISECONDS, milliseconds)) - this.estimate)
  }
}
