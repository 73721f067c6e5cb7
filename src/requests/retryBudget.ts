/** Retries allowed for each first attempt. */
const RETRY_SHARE = 0.1
/** Maximum number of unused retries that are saved up. */
const MAXIMUM_SAVED_RETRIES = 20

/** Limits the retries for one service at one instance. The budget starts empty, so that attempts never exceed 1.1 times the requests. */
export class RetryBudget {
  private saved = 0

  /** Adds the share of a first attempt to the budget. */
  onFirstAttempt (): void {
    this.saved = Math.min(MAXIMUM_SAVED_RETRIES, this.saved + RETRY_SHARE)
  }

  /** Takes one retry from the budget; returns false if none is left. */
  take (): boolean {
    // Ten additions of 0.1 give slightly less than 1 in floating point.
    if (this.saved < 1 - 1e-9) return false
    this.saved -= 1
    return true
  }
}
