/** Extra attempts allowed for each first attempt. */
const RETRY_SHARE = 0.1
/** Retries that can be saved up while nothing fails. */
const MAXIMUM_SAVED_RETRIES = 20

/**
 * Retries of one service at one instance. It starts empty, so that attempts never exceed 1.1 times the requests.
 */
export class RetryBudget {
  private saved = 0

  /** Notes the first attempt of a request. */
  onFirstAttempt (): void {
    this.saved = Math.min(MAXIMUM_SAVED_RETRIES, this.saved + RETRY_SHARE)
  }

  /** Takes one retry; returns false if there is none. */
  take (): boolean {
    // Ten additions of 0.1 give slightly less than 1.
    if (this.saved < 1 - 1e-9) return false
    this.saved -= 1
    return true
  }
}
