import { delay } from '../base/delay.js'
import { TOPICS, type RecordLog } from './recordLog.js'

/** Maximum number of concurrent lookups; each reads all partitions. */
const MAXIMUM_LOOKUPS = 4
/** Maximum number of reads of one partition until its end is reached. */
const MAXIMUM_READS = 3
/** Longest duration of a lookup, in milliseconds; several responses of a healthy log. */
const LOOKUP_TIMEOUT_MILLISECONDS = 300

/** Looks for submissions that the log holds and the followers of its partitions have not received yet. */
export class SubmissionLookup {
  private pending = 0

  /** `positions` returns the offsets after the last records received, by partition; undefined before the first read. */
  constructor (private readonly log: RecordLog, private readonly positions: () => ReadonlyArray<number | undefined>) {}

  /**
   * Resolves with whether the log holds no submission of a job after the positions at the call. False if that cannot be determined,
   * because the log does not respond in time or too many lookups are pending.
   */
  async isAbsent (job: string): Promise<boolean> {
    if (this.pending >= MAXIMUM_LOOKUPS) return false
    this.pending += 1
    const timeout = new AbortController()
    try {
      return await Promise.race([this.isAbsentFromAll(job), delay(LOOKUP_TIMEOUT_MILLISECONDS, timeout.signal).then(() => false)])
    } finally {
      timeout.abort()
      this.pending -= 1
    }
  }

  private async isAbsentFromAll (job: string): Promise<boolean> {
    const absent = await Promise.all(this.positions().map(async (position, partition) => await this.isAbsentFrom(job, partition, position)))
    return absent.every(Boolean)
  }

  private async isAbsentFrom (job: string, partition: number, position: number | undefined): Promise<boolean> {
    for (let reads = 0; position !== undefined && reads < MAXIMUM_READS; reads += 1) {
      const outcome = await this.log.read(TOPICS.submissions, partition, position, 0)
      if (outcome.kind !== 'records' || outcome.records.some(({ key }) => key === job)) return false
      if (outcome.records.length === 0) return true
      position = outcome.next
    }
    return false
  }
}
