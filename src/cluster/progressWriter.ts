import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { HedgedAppender } from './hedgedAppender.js'
import { TOPICS, type KeyedRecord, type RecordLog } from './recordLog.js'

/** Name under which the log fences the writers of progress. */
const WRITER_NAME = 'scheduler'
/** Pause before a failed append is repeated. */
const RETRY_PAUSE_MILLISECONDS = 60
/** Maximum size of one append; the log accepts up to 2 MB. */
const MAXIMUM_APPEND_BYTES = 1_000_000

/** `behind`: an earlier write that counted as stored is missing from the log; its records must be written again. */
export type WriteOutcome = 'stored' | 'fenced' | 'behind' | 'disposed'

/** Writes progress under a term. The log rejects its writes once a writer with a greater term has written. */
export class ProgressWriter extends DisposableObject {
  private sequence = 0
  private readonly abort = new AbortController()
  private readonly appender: HedgedAppender

  constructor (log: RecordLog, private readonly term: number, private readonly onFailure: (reason: string) => void, now: () => number) {
    super()
    this.appender = this.register(new HedgedAppender(log, now))
    this.register(toDisposable(() => this.abort.abort()))
  }

  /** Fences the writers of lower terms. */
  async fence (): Promise<WriteOutcome> {
    while (!this.isDisposed) {
      const outcome = await this.appender.append(TOPICS.progress, 0, [], { writer: { name: WRITER_NAME, term: this.term, sequence: this.sequence } })
      if (outcome.kind === 'stored') return 'stored'
      if (outcome.kind === 'fenced') return 'fenced'
      this.onFailure(outcome.kind === 'refused' || outcome.kind === 'unknown' ? outcome.reason : outcome.kind)
      // Another process has written under this term, so a repeated append would never be stored.
      if (outcome.kind === 'outOfSequence') return 'fenced'
      await delay(RETRY_PAUSE_MILLISECONDS, this.abort.signal)
    }
    return 'disposed'
  }

  /** Writes records in order, and repeats appends until they are stored or the writer is fenced. */
  async write (records: readonly KeyedRecord[]): Promise<WriteOutcome> {
    for (const batch of splitIntoBatches(records)) {
      const outcome = await this.writeBatch(batch)
      if (outcome !== 'stored') return outcome
    }
    return 'stored'
  }

  private async writeBatch (records: readonly KeyedRecord[]): Promise<WriteOutcome> {
    this.sequence += 1
    while (!this.isDisposed) {
      const outcome = await this.appender.append(TOPICS.progress, 0, records, { writer: { name: WRITER_NAME, term: this.term, sequence: this.sequence } })
      if (outcome.kind === 'stored') return 'stored'
      if (outcome.kind === 'fenced') return 'fenced'
      if (outcome.kind === 'outOfSequence') {
        this.onFailure(`sequence ${this.sequence} was sent, ${outcome.expected} is expected`)
        // The log expects the next number if an earlier copy was stored without a response.
        if (outcome.expected === this.sequence + 1) return 'stored'
        this.sequence = outcome.expected - 1
        return 'behind'
      }
      this.onFailure(outcome.kind === 'conflict' ? 'conflict' : outcome.reason)
      await delay(RETRY_PAUSE_MILLISECONDS, this.abort.signal)
    }
    return 'disposed'
  }
}

function splitIntoBatches (records: readonly KeyedRecord[]): KeyedRecord[][] {
  const batches: KeyedRecord[][] = []
  let batch: KeyedRecord[] = []
  let bytes = 0
  for (const record of records) {
    const size = record.key.length + (record.value?.length ?? 0)
    if (batch.length > 0 && bytes + size > MAXIMUM_APPEND_BYTES) {
      batches.push(batch)
      batch = []
      bytes = 0
    }
    batch.push(record)
    bytes += size
  }
  if (batch.length > 0) batches.push(batch)
  return batches
}
