import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import { TOPICS, type KeyedRecord, type RecordLog } from './recordLog.js'
import { cancelKey } from './submissions.js'

/** Pause before a failed append of deletions is repeated. */
const DELETION_RETRY_MILLISECONDS = 1000

/**
 * Tracks which partitions hold records of a job, and deletes the records of finished jobs. A caller that submits a job again
 * through another instance leaves a copy in another partition: the next scheduler would treat a copy without progress as a new job.
 */
export class JobRetention extends DisposableObject {
  /** Bit mask of the partitions that hold a record of a key. */
  private readonly partitionsOfKey = new Map<string, number>()
  private readonly pendingDeletions = new Set<string>()
  private readonly abort = new AbortController()

  constructor (private readonly log: RecordLog, private readonly logger: Logger) {
    super()
    this.register(toDisposable(() => this.abort.abort()))
  }

  /** Handles a record of a key that was read from a partition. */
  onStored (key: string, partition: number): void {
    this.partitionsOfKey.set(key, (this.partitionsOfKey.get(key) ?? 0) | 1 << partition)
  }

  /** Handles the deletion of a key from a partition. Returns true if no partition holds a record of the key any more. */
  onDeleted (key: string, partition: number): boolean {
    const remaining = (this.partitionsOfKey.get(key) ?? 0) & ~(1 << partition)
    if (remaining !== 0) {
      this.partitionsOfKey.set(key, remaining)
      return false
    }
    this.partitionsOfKey.delete(key)
    this.pendingDeletions.delete(key)
    return true
  }

  /** Deletes the submissions and cancellations of jobs from the log by appending tombstones, which are read back as records without a value. */
  deleteRecords (jobs: readonly string[]): void {
    const deletions = new Map<number, KeyedRecord[]>()
    for (const key of jobs.flatMap(job => [job, cancelKey(job)])) {
      const partitions = this.partitionsOfKey.get(key)
      if (partitions === undefined || this.pendingDeletions.has(key)) continue
      this.pendingDeletions.add(key)
      for (let partition = 0; partitions >> partition > 0; partition += 1) {
        if ((partitions >> partition & 1) === 1) deletions.set(partition, [...deletions.get(partition) ?? [], { key }])
      }
    }
    for (const [partition, records] of deletions) this.deleteFromPartition(partition, records)
  }

  private async deleteFromPartition (partition: number, records: readonly KeyedRecord[]): Promise<void> {
    while (!this.isDisposed) {
      const outcome = await this.log.append(TOPICS.submissions, partition, records)
      if (outcome.kind === 'stored') return
      this.logger.warn('finished jobs could not be deleted from the log; the append is repeated', { count: records.length, reason: outcome.kind })
      await delay(DELETION_RETRY_MILLISECONDS, this.abort.signal)
    }
  }
}
