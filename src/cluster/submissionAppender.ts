import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { HedgedAppender } from './hedgedAppender.js'
import { TOPICS, type AppendOutcome, type KeyedRecord, type RecordLog } from './recordLog.js'
import { SUBMISSION_PARTITIONS } from './submissions.js'

/** Pause before an append of unknown outcome is repeated, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 80
/** An append that has no answer after this many times the patience for one copy shows that the log is away. */
const STALLED_COPIES = 2
/** Time for which a refusal of the log counts as current, in milliseconds; a few of its usual answers, so that its return is noticed at once. */
const REFUSAL_MEMORY_MILLISECONDS = 60
/** Most records of one append. */
const MAXIMUM_BATCH_RECORDS = 500

/** `refused` means that nothing was stored and nothing will be; `unknown` that the record may be stored, now or later. */
export type SubmissionOutcome = 'stored' | 'refused' | 'unknown'

interface PendingRecord {
  readonly record: KeyedRecord
  readonly giveUpAt: number
  readonly resolve: (outcome: SubmissionOutcome) => void
}

/**
 * Appends submissions and cancels, one append at a time, to one partition after the other; records that arrive meanwhile share the next one.
 * A repeat of a record is harmless, so that an append without an answer is repeated until it is stored.
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

  /** How long the log takes to store a record, in milliseconds. */
  get latencyMilliseconds (): number {
    return this.appender.latency.currentMilliseconds
  }

  /** Whether a record appended now would have to wait for a log that is away. */
  get isStalled (): boolean {
    const now = this.now()
    return now - this.refusedAt < REFUSAL_MEMORY_MILLISECONDS || (this.appendingSince !== undefined && now - this.appendingSince > this.stallMilliseconds)
  }

  /** Resolves once the record is stored, the log has refused it, or the time is over. */
  async append (record: KeyedRecord, timeoutMilliseconds: number): Promise<SubmissionOutcome> {
    return await new Promise(resolve => {
      this.queue.push({ record, resolve, giveUpAt: this.now() + timeoutMilliseconds })
      if (!this.isAppending) this.appendQueued()
    })
  }

  private async appendQueued (): Promise<void> {
    this.isAppending = true
    while (this.queue.length > 0 && !this.isDisposed) {
      const batch = this.queue.splice(0, MAXIMUM_BATCH_RECORDS)
      await this.appendBatch(batch)
    }
    this.isAppending = false
    if (!this.isDisposed) return
    for (const pending of this.queue.splice(0)) pending.resolve('refused')
  }

  private async appendBatch (batch: PendingRecord[]): Promise<void> {
    this.appendingSince = this.now()
    const stall = setTimeout(() => this.refuseQueued(), this.stallMilliseconds)
    const timers = batch.map(pending => setTimeout(() => pending.resolve('unknown'), Math.max(0, pending.giveUpAt - this.now())))
    this.partition = (this.partition + 1) % SUBMISSION_PARTITIONS
    const outcome = await this.appendUntilKnown(batch.map(pending => pending.record), Math.max(...batch.map(pending => pending.giveUpAt)))
    for (const timer of [...timers, stall]) clearTimeout(timer)
    this.appendingSince = undefined
    for (const pending of batch) pending.resolve(outcome)
  }

  private get stallMilliseconds (): number {
    return STALLED_COPIES * this.appender.hedgeDelayMilliseconds
  }

  /** Records that wait behind an append without an answer have not been sent; their callers can try elsewhere. */
  private refuseQueued (): void {
    for (const pending of this.queue.splice(0)) pending.resolve('refused')
  }

  private async appendUntilKnown (records: readonly KeyedRecord[], giveUpAt: number): Promise<SubmissionOutcome> {
    let mayBeStored = false
    while (!this.isDisposed) {
      const outcome = await this.appender.append(TOPICS.submissions, this.partition, records)
      if (outcome.kind === 'stored') return 'stored'
      this.onFailure(describe(outcome), records.length)
      if (outcome.kind === 'unknown') mayBeStored = true
      else this.refusedAt = this.now()
      if (!mayBeStored) return 'refused'
      if (this.now() > giveUpAt) return 'unknown'
      await delay(RETRY_PAUSE_MILLISECONDS, this.abort.signal)
    }
    return mayBeStored ? 'unknown' : 'refused'
  }
}

function describe (outcome: AppendOutcome): string {
  return 'reason' in outcome ? `${outcome.kind}: ${outcome.reason}` : outcome.kind
}
