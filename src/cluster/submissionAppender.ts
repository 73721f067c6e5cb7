import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { TOPICS, type AppendOutcome, type KeyedRecord, type RecordLog } from './recordLog.js'

/** Pause before an append of unknown outcome is repeated, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 80
/** An append that has no answer for this long shows that the log is away, in milliseconds; ten times the usual. */
const STALLED_MILLISECONDS = 250
/** Time for which a refusal of the log counts as current, in milliseconds. */
const REFUSAL_MEMORY_MILLISECONDS = 300
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
 * Appends submissions and cancels, one append at a time; records that arrive meanwhile share the next one.
 * A repeat of a record is harmless, so that an append without an answer is repeated until it is stored.
 */
export class SubmissionAppender extends DisposableObject {
  private readonly abort = new AbortController()
  private queue: PendingRecord[] = []
  private isAppending = false
  private appendingSince: number | undefined
  private refusedAt = -Infinity

  constructor (private readonly log: RecordLog, private readonly partition: number, private readonly onFailure: (reason: string, count: number) => void, private readonly now: () => number) {
    super()
    this.register(toDisposable(() => this.abort.abort()))
  }

  /** Whether a record appended now would have to wait for a log that is away. */
  get isStalled (): boolean {
    const now = this.now()
    return now - this.refusedAt < REFUSAL_MEMORY_MILLISECONDS || (this.appendingSince !== undefined && now - this.appendingSince > STALLED_MILLISECONDS)
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
    const timers = batch.map(pending => setTimeout(() => pending.resolve('unknown'), Math.max(0, pending.giveUpAt - this.now())))
    const outcome = await this.appendUntilKnown(batch.map(pending => pending.record), Math.max(...batch.map(pending => pending.giveUpAt)))
    for (const timer of timers) clearTimeout(timer)
    this.appendingSince = undefined
    for (const pending of batch) pending.resolve(outcome)
  }

  private async appendUntilKnown (records: readonly KeyedRecord[], giveUpAt: number): Promise<SubmissionOutcome> {
    let mayBeStored = false
    while (!this.isDisposed) {
      const outcome = await this.log.append(TOPICS.submissions, this.partition, records)
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
