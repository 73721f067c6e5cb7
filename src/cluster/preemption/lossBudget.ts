/** Unsaved work that may be thrown away, in core-milliseconds per second and core of capacity: 1% of the capacity. */
const LOSS_PER_SECOND_AND_CORE = 10
/** Time for which unused budget accumulates, in seconds. */
const MAXIMUM_ACCUMULATION_SECONDS = 5

/** Bounds the unsaved work that preemption throws away, relative to the capacity. */
export class LossBudget {
  private available = 0
  private updatedAt: number | undefined

  /** Adds the budget for the time since the last call; the first call grants a full accumulation. `cores`: the present capacity. */
  refill (cores: number, now: number): void {
    const seconds = this.updatedAt === undefined ? MAXIMUM_ACCUMULATION_SECONDS : (now - this.updatedAt) / 1000
    this.updatedAt = now
    const rate = LOSS_PER_SECOND_AND_CORE * cores
    this.available = Math.min(MAXIMUM_ACCUMULATION_SECONDS * rate, this.available + seconds * rate)
  }

  /** Returns the unsaved work that may be thrown away now, in core-milliseconds. */
  get remaining (): number {
    return this.available
  }

  spend (coreMilliseconds: number): void {
    this.available -= coreMilliseconds
  }
}
