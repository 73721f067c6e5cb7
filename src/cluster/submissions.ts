/**
 * Number of partitions of the submissions topic. A partition executes one append at a time, in about 4 ms and sixty times that when the
 * log is slow; several partitions keep the appends of all instances from waiting for each other.
 */
export const SUBMISSION_PARTITIONS = 8

const CANCEL_SUFFIX = '/cancel'

/** Returns the key of the record that cancels a job. */
export function cancelKey (job: string): string {
  return job + CANCEL_SUFFIX
}

export function isCancelKey (key: string): boolean {
  return key.endsWith(CANCEL_SUFFIX)
}

export function jobOfCancelKey (key: string): string {
  return key.slice(0, -CANCEL_SUFFIX.length)
}
