/** A run that is repeated. */
export interface SoakCase {
  readonly seed: number
  readonly seconds: number
  /** What the run once showed. */
  readonly cause?: string
}

/** Runs of the tests: some seeds, and seeds that ever failed. */
export const CASES: readonly SoakCase[] = [
  { seed: 1, seconds: 10 },
  { seed: 2, seconds: 10 },
  { seed: 101, seconds: 20, cause: 'a renewal that was stored after a later claim hid it from a snapshot: two processes held one term, and no progress could be recorded' },
  { seed: 112, seconds: 20, cause: 'requests that were still being worked on at the end of the grace period were cut off' }
]
