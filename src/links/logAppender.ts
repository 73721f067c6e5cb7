import { randomUUID } from 'node:crypto'
import { backoffMilliseconds, delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { LogicalClock } from '../base/logicalClock.js'
import { describeError, type Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import { RECORD_SCHEMA_VERSION, type RecordBody, type RecordEnvelope } from '../contracts/records.js'
import { AppendRefusedError, type PlatformLog } from './platformLog.js'

const BACKOFF_BASE_MILLISECONDS = 50
const BACKOFF_MAXIMUM_MILLISECONDS = 1000
const MAXIMUM_BATCH_RECORDS = 200

/** Outcome of an append: the record is in the log, is not in the log, or may be in the log. */
export type AppendOutcome = 'appended' | 'notAppended' | 'unknown'

interface PendingRecord {
  readonly envelope: RecordEnvelope
  readonly settle: (outcome: AppendOutcome) => void
  /** Whether an append is in flight or has ended with an unknown outcome. */
  mayBeInLog: boolean
}

/**
 * Appends records to one stream, one batch at a time, and retries each batch until it is confirmed.
 * A record keeps its identity across retries, so that readers can deduplicate it.
 */
export class LogAppender extends DisposableObject {
  private pending: PendingRecord[] = []
  private sending = false
  private appendCount = 0
  private readonly stopping = new AbortController()

  constructor (
    readonly stream: string,
    private readonly writer: string,
    private readonly log: PlatformLog,
    private readonly clock: LogicalClock,
    private readonly logger: Logger,
    private readonly random: Random
  ) {
    super()
    this.register(toDisposable(() => this.stopping.abort()))
  }

  /** Number of append requests sent, counted against the append budget. */
  get appendsSent (): number {
    return this.appendCount
  }

  /** Appends a record. Resolves with true if the log has confirmed it; after false the append may still take effect. */
  async append (body: RecordBody, timeoutMilliseconds: number, identity: string = randomUUID()): Promise<boolean> {
    return await this.appendWithOutcome(body, timeoutMilliseconds, identity) === 'appended'
  }

  /** Appends a record and resolves with the outcome, after `timeoutMilliseconds` at the latest. After 'notAppended' the record is not sent again. */
  async appendWithOutcome (body: RecordBody, timeoutMilliseconds: number, identity: string = randomUUID()): Promise<AppendOutcome> {
    if (this.stopping.signal.aborted) return 'notAppended'
    const envelope: RecordEnvelope = { identity, schemaVersion: RECORD_SCHEMA_VERSION, writer: this.writer, logicalTime: this.clock.tick(), body }
    return await new Promise<AppendOutcome>(resolve => {
      const timer = setTimeout(() => this.abandon(record), timeoutMilliseconds)
      const settle = (outcome: AppendOutcome): void => {
        clearTimeout(timer)
        resolve(outcome)
      }
      const record: PendingRecord = { envelope, settle, mayBeInLog: false }
      this.pending.push(record)
      if (!this.sending) this.drain()
    })
  }

  /** Confirms a pending record that was read back from the stream; the response to its append may have been lost. */
  confirm (identity: string): void {
    const confirmed = this.pending.filter(record => record.envelope.identity === identity)
    if (confirmed.length > 0) this.settleAll(confirmed)
  }

  /**
   * Sends a record once, bypassing the queue, for records that are useless when late. Resolves with true if the log confirms
   * it within `timeoutMilliseconds`; after false the append may still take effect.
   */
  async appendWithoutRetry (body: RecordBody, timeoutMilliseconds: number, identity: string = randomUUID()): Promise<boolean> {
    if (this.stopping.signal.aborted) return false
    const envelope: RecordEnvelope = { identity, schemaVersion: RECORD_SCHEMA_VERSION, writer: this.writer, logicalTime: this.clock.tick(), body }
    const abortController = new AbortController()
    const timer = setTimeout(() => abortController.abort(), timeoutMilliseconds)
    const stop = (): void => abortController.abort()
    this.stopping.signal.addEventListener('abort', stop)
    try {
      this.appendCount += 1
      await this.log.append(this.stream, [envelope], abortController.signal)
      return true
    } catch (error) {
      this.logger.debug('an append without retry failed', { stream: this.stream, reason: describeError(error) })
      return false
    } finally {
      clearTimeout(timer)
      this.stopping.signal.removeEventListener('abort', stop)
    }
  }

  private async drain (): Promise<void> {
    this.sending = true
    let failures = 0
    while (this.pending.length > 0 && !this.stopping.signal.aborted) {
      const batch = this.pending.slice(0, MAXIMUM_BATCH_RECORDS)
      const uncertainBefore = new Set(batch.filter(record => record.mayBeInLog))
      for (const record of batch) record.mayBeInLog = true
      try {
        this.appendCount += 1
        await this.log.append(this.stream, batch.map(record => record.envelope), this.stopping.signal)
        this.settleAll(batch)
        failures = 0
      } catch (error) {
        if (error instanceof AppendRefusedError) for (const record of batch) record.mayBeInLog = uncertainBefore.has(record)
        if (failures === 0) this.logger.warn('appending to a stream failed; retrying', { stream: this.stream, reason: describeError(error) })
        failures += 1
        await delay(backoffMilliseconds(failures, BACKOFF_BASE_MILLISECONDS, BACKOFF_MAXIMUM_MILLISECONDS, 0.5 + this.random.fraction() / 2), this.stopping.signal)
      }
    }
    this.sending = false
    for (const record of this.pending) this.abandon(record)
  }

  private settleAll (batch: readonly PendingRecord[]): void {
    const done = new Set(batch)
    this.pending = this.pending.filter(record => !done.has(record))
    for (const record of batch) record.settle('appended')
  }

  private abandon (record: PendingRecord): void {
    this.pending = this.pending.filter(candidate => candidate !== record)
    record.settle(record.mayBeInLog ? 'unknown' : 'notAppended')
  }
}
