import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import { TOPICS, type KeyedRecord, type RecordLog } from './recordLog.js'
import { cancelKey } from './submissions.js'

/** Pause before a drop that was not stored is sent again, in milliseconds. */
const DROP_RETRY_MILLISECONDS = 1000

/**
 * Knows which partitions hold records of a job, and drops the records of finished jobs. A caller that hands a job in again at
 * another instance leaves a copy in another partition: each copy without progress would be a new job for the next scheduler.
 */
export class JobRetention extends DisposableObject {
  /** Partitions that hold a record of a key, one bit each. */
  private readonly partitionsOfKey = new Map<string, number>()
  private readonly dropping = new Set<string>()
  private readonly abort = new AbortController()

  constructor (private readonly log: RecordLog, private readonly logger: Logger) {
    super()
    this.register(toDisposable(() => this.abort.abort()))
  }

  /** Notes that a partition holds a record of a key. */
  onStored (key: string, partition: number): void {
    this.partitionsOfKey.set(key, (this.partitionsOfKey.get(key) ?? 0) | 1 << partition)
  }

  /** Notes that a partition holds no record of a key any more; returns whether none does. */
  onDropped (key: string, partition: number): boolean {
    const left = (this.partitionsOfKey.get(key) ?? 0) & ~(1 << partition)
    if (left !== 0) {
      this.partitionsOfKey.set(key, left)
      return false
    }
    this.partitionsOfKey.delete(key)
    this.dropping.delete(key)
    return true
  }

  /** Drops the submissions and cancels of jobs from the log. What has been dropped is read back as records without a value. */
  drop (jobs: readonly string[]): void {
    const dropped = new Map<number, KeyedRecord[]>()
    for (const key of jobs.flatMap(job => [job, cancelKey(job)])) {
      const partitions = this.partitionsOfKey.get(key)
      if (partitions === undefined || this.dropping.has(key)) continue
      this.dropping.add(key)
      for (let partition = 0; partitions >> partition > 0; partition += 1) {
        if ((partitions >> partition & 1) === 1) dropped.set(partition, [...dropped.get(partition) ?? [], { key }])
      }
    }
    for (const [partition, records] of dropped) this.dropFromPartition(partition, records)
  }

  private async dropFromPartition (partition: number, records: readonly KeyedRecord[]): Promise<void> {
    while (!this.isDisposed) {
      const outcome = await this.log.append(TOPICS.submissions, partition, records)
      if (outcome.kind === 'stored') return
      this.logger.warn('finished jobs could not be dropped from the log; the append is repeated', { count: records.length, reason: outcome.kind })
      await delay(DROP_RETRY_MILLISECONDS, this.abort.signal)
    }
  }
}
