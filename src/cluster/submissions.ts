/** Partitions of the submissions topic; each takes one append at a time, about 4 ms each. */
export const SUBMISSION_PARTITIONS = 1

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
