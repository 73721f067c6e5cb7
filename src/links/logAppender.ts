import { randomUUID } from 'node:crypto'
import { backoffMilliseconds, delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { LogicalClock } from '../base/logicalClock.js'
import { describeError, type Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import { RECORD_SCHEMA_VERSION, type RecordBody, type RecordEnvelope } from '../contracts/records.js'
import type { PlatformLog } from './platformLog.js'

const BACKOFF_BASE_MILLISECONDS = 50
const BACKOFF_MAXIMUM_MILLISECONDS = 1000
const MAXIMUM_BATCH = 200

interface PendingRecord {
  readonly envelope: RecordEnvelope
  readonly giveUpAt: number
  readonly settle: (confirmed: boolean) => void
}

/**
 * Appends records to one stream, one batch at a time, and repeats a batch until it is confirmed.
 * Each record keeps its identity over all repetitions, so that readers count it once.
 */
export class LogAppender extends DisposableObject {
  private readonly pending: PendingRecord[] = []
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

  /** Number of appends sent so far, for the append budget. */
  get appendsSent (): number {
    return this.appendCount
  }

  /**
   * Appends a record. Resolves with true once it is in the log, and with false when that is not known
   * after `timeoutMilliseconds`; it may take effect nevertheless.
   */
  async append (body: RecordBody, timeoutMilliseconds: number, identity: string = randomUUID()): Promise<boolean> {
    if (this.stopping.signal.aborted) return false
    const envelope: RecordEnvelope = { identity, schemaVersion: RECORD_SCHEMA_VERSION, writer: this.writer, logicalTime: this.clock.tick(), body }
    return await new Promise<boolean>(resolve => {
      this.pending.push({ envelope, giveUpAt: performance.now() + timeoutMilliseconds, settle: resolve })
      if (!this.sending) this.drain()
    })
  }

  /**
   * Sends a record once, past the queue, for records that lose their use by waiting. Resolves with whether the log has
   * confirmed it within `timeoutMilliseconds`; it may take effect nevertheless.
   */
  async appendOnce (body: RecordBody, timeoutMilliseconds: number, identity: string = randomUUID()): Promise<boolean> {
    if (this.stopping.signal.aborted) return false
    const envelope: RecordEnvelope = { identity, schemaVersion: RECORD_SCHEMA_VERSION, writer: this.writer, logicalTime: this.clock.tick(), body }
    const ending = new AbortController()
    const timer = setTimeout(() => ending.abort(), timeoutMilliseconds)
    const stop = (): void => ending.abort()
    this.stopping.signal.addEventListener('abort', stop)
    try {
      this.appendCount += 1
      await this.log.append(this.stream, [envelope], ending.signal)
      return true
    } catch (error) {
      this.logger.debug('an append that is not repeated failed', { stream: this.stream, reason: describeError(error) })
      return false
    } finally {
      clearTimeout(timer)
      this.stopping.signal.removeEventListener('abort', stop)
    }
  }

  private async drain (): Promise<void> {
    this.sending = true
    let failures = 0
    while (this.pending.length > 0) {
      this.dropExpired()
      const batch = this.pending.slice(0, MAXIMUM_BATCH)
      if (batch.length === 0) break
      try {
        this.appendCount += 1
        await this.log.append(this.stream, batch.map(record => record.envelope), this.stopping.signal)
        this.pending.splice(0, batch.length)
        for (const record of batch) record.settle(true)
        failures = 0
      } catch (error) {
        if (failures === 0) this.logger.warn('appending to a stream failed; retrying', { stream: this.stream, reason: describeError(error) })
        failures += 1
        await delay(backoffMilliseconds(failures, BACKOFF_BASE_MILLISECONDS, BACKOFF_MAXIMUM_MILLISECONDS, 0.5 + this.random.fraction() / 2), this.stopping.signal)
      }
    }
    this.sending = false
  }

  private dropExpired (): void {
    const now = performance.now()
    for (let index = this.pending.length - 1; index >= 0; index -= 1) {
      const record = this.pending[index] as PendingRecord
      if (now < record.giveUpAt && !this.stopping.signal.aborted) continue
      this.pending.splice(index, 1)
      record.settle(false)
    }
  }
}
