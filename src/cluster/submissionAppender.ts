import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { HedgedAppender } from './hedgedAppender.js'
import { TOPICS, type AppendOutcome, type KeyedRecord, type RecordLog } from './recordLog.js'
import { SUBMISSION_PARTITIONS } from './submissions.js'

/** Delay before an append of unknown outcome is retried, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 80
/** The log counts as unavailable when an append has no response after this many hedge delays. */
const STALL_HEDGE_DELAYS = 2
/** Time for which the log counts as unavailable after it refused an append, in milliseconds; a few usual response times, so that its recovery is noticed immediately. */
const REFUSAL_VALIDITY_MILLISECONDS = 60
/** Maximum number of records in one append. */
const MAXIMUM_BATCH_RECORDS = 500

/** `refused` means that nothing was stored and nothing will be; `unknown` that the record may be stored, now or later. */
export type SubmissionOutcome = 'stored' | 'refused' | 'unknown'

interface PendingRecord {
  readonly record: KeyedRecord
  readonly deadline: number
  /** Returns whether the record may still be sent. */
  readonly mayAppend: () => boolean
  readonly resolve: (outcome: SubmissionOutcome) => void
}

/**
 * Appends submissions and cancellations, one batch at a time, to the partitions in turn; records that arrive during an append form the next batch.
 * Repeating a record is harmless, so an append without a response is retried until it is stored.
 */
export class SubmissionAppender extends DisposableObject {
  private readonly abort = new AbortController()
  private queue: PendingRecord[] = []
  private isAppending = false
  private appendingSince: number | undefined
  private refusedAt = -Infinity
  private readonly appender: HedgedAppender

  constructor (log: RecordLog, private partition: number, private readonly onFailure: (reason: string, count: number) => void, private readonly now: () => number) {
    super()
    this.appender = this.register(new HedgedAppender(log, now))
    this.register(toDisposable(() => this.abort.abort()))
  }

  /** Current latency of an append, in milliseconds. */
  get latencyMilliseconds (): number {
    return this.appender.latency.currentMilliseconds
  }

  /** Whether the log is unavailable, so that a record appended now would have to wait. */
  get isStalled (): boolean {
    const now = this.now()
    return now - this.refusedAt < REFUSAL_VALIDITY_MILLISECONDS || (this.appendingSince !== undefined && now - this.appendingSince > this.stallMilliseconds)
  }

  /**
   * Resolves once the record is stored, the log has refused it, or the timeout has passed. `mayAppend` is called when the record is
   * about to be sent; the record is refused if it returns false.
   */
  async append (record: KeyedRecord, timeoutMilliseconds: number, mayAppend: () => boolean = () => true): Promise<SubmissionOutcome> {
    return await new Promise(resolve => {
      this.queue.push({ record, resolve, mayAppend, deadline: this.now() + timeoutMilliseconds })
      if (!this.isAppending) this.appendQueued()
    })
  }

  private async appendQueued (): Promise<void> {
    this.isAppending = true
    while (this.queue.length > 0 && !this.isDisposed) {
      const batch = this.queue.splice(0, MAXIMUM_BATCH_RECORDS).filter(pending => {
        const mayAppend = pending.mayAppend()
        if (!mayAppend) pending.resolve('refused')
        return mayAppend
      })
      if (batch.length > 0) await this.appendBatch(batch)
    }
    this.isAppending = false
    if (!this.isDisposed) return
    for (const pending of this.queue.splice(0)) pending.resolve('refused')
  }

  private async appendBatch (batch: PendingRecord[]): Promise<void> {
    this.appendingSince = this.now()
    const stall = setTimeout(() => this.refuseQueued(), this.stallMilliseconds)
    const timers = batch.map(pending => setTimeout(() => pending.resolve('unknown'), Math.max(0, pending.deadline - this.now())))
    this.partition = (this.partition + 1) % SUBMISSION_PARTITIONS
    const outcome = await this.appendUntilKnown(batch.map(pending => pending.record), Math.max(...batch.map(pending => pending.deadline)))
    for (const timer of [...timers, stall]) clearTimeout(timer)
    this.appendingSince = undefined
    for (const pending of batch) pending.resolve(outcome)
  }

  private get stallMilliseconds (): number {
    return STALL_HEDGE_DELAYS * this.appender.hedgeDelayMilliseconds
  }

  /** Refuses the records queued behind an append without a response: they have not been sent, so their callers can retry at another instance. */
  private refuseQueued (): void {
    for (const pending of this.queue.splice(0)) pending.resolve('refused')
  }

  private async appendUntilKnown (records: readonly KeyedRecord[], deadline: number): Promise<SubmissionOutcome> {
    let mayBeStored = false
    while (!this.isDisposed) {
      const outcome = await this.appender.append(TOPICS.submissions, this.partition, records)
      if (outcome.kind === 'stored') return 'stored'
      this.onFailure(describeOutcome(outcome), records.length)
      if (outcome.kind === 'unknown') mayBeStored = true
      else this.refusedAt = this.now()
      if (!mayBeStored) return 'refused'
      if (this.now() > deadline) return 'unknown'
      await delay(RETRY_DELAY_MILLISECONDS, this.abort.signal)
    }
    return mayBeStored ? 'unknown' : 'refused'
  }
}

function describeOutcome (outcome: AppendOutcome): string {
  return 'reason' in outcome ? `${outcome.kind}: ${outcome.reason}` : outcome.kind
}
