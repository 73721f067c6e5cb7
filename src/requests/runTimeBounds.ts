interface Bound {
  readonly milliseconds: number
  /** Infinity for the value in force. */
  readonly until: number
}

/** Longest run times that may still apply to requests in flight, after the site text has lowered them. Times are monotonic milliseconds. */
export class RunTimeBounds {
  private readonly bounds = new Map<string, Bound[]>()

  /** @param grantEndMilliseconds Time in which a request may still be sent under the values that its instance knew before. */
  constructor (private readonly grantEndMilliseconds: number) {}

  /** Notes the value in force for a pool and returns the greatest that may still apply. */
  update (pool: string, inForce: number, now: number): number {
    const kept = (this.bounds.get(pool) ?? []).filter(bound => bound.until > now)
    const ended = kept.map(bound => bound.until === Infinity && bound.milliseconds !== inForce
      ? { milliseconds: bound.milliseconds, until: now + this.grantEndMilliseconds + bound.milliseconds }
      : bound)
    if (!ended.some(bound => bound.until === Infinity)) ended.push({ milliseconds: inForce, until: Infinity })
    this.bounds.set(pool, ended)
    return Math.max(...ended.map(bound => bound.milliseconds))
  }
}
