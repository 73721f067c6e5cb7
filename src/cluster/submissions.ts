/**
 * Partitions of the submissions topic. Each takes one append at a time, about 4 ms each and sixty times that when the log is slow,
 * so that the appends of all instances must not wait for each other.
 */
export const SUBMISSION_PARTITIONS = 8

const CANCEL_SUFFIX = '/cancel'

/** Key of the record that cancels a job. */
export function cancelKey (job: string): string {
  return job + CANCEL_SUFFIX
}

export function isCancelKey (key: string): boolean {
  return key.endsWith(CANCEL_SUFFIX)
}

export function jobOfCancelKey (key: string): string {
  return key.slice(0, -CANCEL_SUFFIX.length)
}
