interface Bound {
  readonly milliseconds: number
  /** Infinity for the value in force. */
  readonly until: number
}

/** Maximum run times by pool that may still apply to requests in flight after the site configuration has lowered them. Times are monotonic milliseconds. */
export class RunTimeBounds {
  private readonly bounds = new Map<string, Bound[]>()

  /** @param grantEndMilliseconds Time after which an instance can no longer send requests under the previous values. */
  constructor (private readonly grantEndMilliseconds: number) {}

  /** Stores the value in force for a pool and returns the greatest value that may still apply. */
  update (pool: string, inForce: number, now: number): number {
    const kept = (this.bounds.get(pool) ?? []).filter(bound => bound.until > now)
    const updated = kept.map(bound => bound.until === Infinity && bound.milliseconds !== inForce
      ? { milliseconds: bound.milliseconds, until: now + this.grantEndMilliseconds + bound.milliseconds }
      : bound)
    if (!updated.some(bound => bound.until === Infinity)) updated.push({ milliseconds: inForce, until: Infinity })
    this.bounds.set(pool, updated)
    return Math.max(...updated.map(bound => bound.milliseconds))
  }
}
