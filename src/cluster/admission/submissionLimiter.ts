/** Submissions of all organisations that one instance handles at the same time. */
const MAXIMUM_SUBMISSIONS = 256
/** Share of the free part of the limit up to which one organisation may use it. */
const FREE_SHARE = 0.5

/**
 * Bounds the submissions that an instance handles at the same time, with the dynamic threshold of Choudhury and Hahne (1998): an
 * organisation may use as much of the limit as a share of what is free, so that room is left for the others at any load.
 */
export class SubmissionLimiter {
  private readonly counts = new Map<string, number>()
  private total = 0

  /** Returns a function that ends the submission; undefined if the organisation has too many already. */
  tryEnter (organisation: string): (() => void) | undefined {
    const count = this.counts.get(organisation) ?? 0
    if (count >= 1 && count >= FREE_SHARE * (MAXIMUM_SUBMISSIONS - this.total)) return undefined
    this.counts.set(organisation, count + 1)
    this.total += 1
    return () => this.leave(organisation)
  }

  private leave (organisation: string): void {
    const count = (this.counts.get(organisation) ?? 0) - 1
    if (count > 0) this.counts.set(organisation, count)
    else this.counts.delete(organisation)
    this.total -= 1
  }
}
