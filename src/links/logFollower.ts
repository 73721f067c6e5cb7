import { backoffMilliseconds, delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { Emitter, type Event } from '../base/emitter.js'
import type { LogicalClock } from '../base/logicalClock.js'
import { describeError, type Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import { RECORD_SCHEMA_VERSION, recordBodySchema, type RecordEnvelope, type StoredRecord } from '../contracts/records.js'
import type { PlatformLog } from './platformLog.js'

const MAXIMUM_RECORDS_PER_READ = 500
const LONG_POLL_MILLISECONDS = 10_000
const BACKOFF_BASE_MILLISECONDS = 100
const BACKOFF_MAXIMUM_MILLISECONDS = 2000
/** Number of recent record identities kept to ignore duplicates from retried appends. */
const MAXIMUM_SEEN_IDENTITIES = 50_000

/** Reads one stream in order and fires each record once; duplicates are recognised by identity. */
export class LogFollower extends DisposableObject {
  private nextOffset = 0
  private firstRetained = 0
  private failures = 0
  private caughtUp = false
  private readonly seenIdentities = new Set<string>()
  private readonly stopping = new AbortController()
  private readonly didRead = new Emitter<StoredRecord>()
  private readonly didCatchUp = new Emitter<void>()
  private readonly didTruncate = new Emitter<number>()
  private readonly didReadIdentity = new Emitter<string>()
  private newerRecordCount = 0
  /** Fires with the identity of every record read, including duplicates and records of newer schema versions. */
  readonly onDidReadIdentity: Event<string> = this.didReadIdentity.event
  /** Fires for each record in log order. */
  readonly onDidReadRecord: Event<StoredRecord> = this.didRead.event
  /** Fires when the end of the stream is reached for the first time. */
  readonly onDidCatchUp: Event<void> = this.didCatchUp.event
  /** Fires with the first retained offset when retention has removed records that were not read yet. */
  readonly onDidTruncate: Event<number> = this.didTruncate.event

  constructor (
    readonly stream: string,
    private readonly log: PlatformLog,
    private readonly clock: LogicalClock,
    private readonly logger: Logger,
    private readonly random: Random
  ) {
    super()
    this.register(this.didRead)
    this.register(this.didCatchUp)
    this.register(this.didReadIdentity)
    this.register(this.didTruncate)
    this.register(toDisposable(() => this.stopping.abort()))
  }

  /** Whether the follower has caught up and its last read succeeded. */
  get reachable (): boolean {
    return this.caughtUp && this.failures === 0
  }

  /** Number of records skipped because of a newer schema version. */
  get newerRecords (): number {
    return this.newerRecordCount
  }

  /** First retained offset as of the last read. */
  get retainedFrom (): number {
    return this.firstRetained
  }

  /** Offset of the next record to read. */
  get position (): number {
    return this.nextOffset
  }

  get hasCaughtUp (): boolean {
    return this.caughtUp
  }

  /** Follows the stream until disposal. */
  async run (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        await this.readOnce()
        this.failures = 0
      } catch (error) {
        if (this.stopping.signal.aborted) return
        if (this.failures === 0) this.logger.warn('reading a stream failed; retrying', { stream: this.stream, reason: describeError(error) })
        this.failures += 1
        await delay(backoffMilliseconds(this.failures, BACKOFF_BASE_MILLISECONDS, BACKOFF_MAXIMUM_MILLISECONDS, 0.5 + this.random.fraction() / 2), this.stopping.signal)
      }
    }
  }

  /** Reads from the log and resolves with true if it responds and holds no unread record. */
  async probe (): Promise<boolean> {
    const from = this.nextOffset
    try {
      const response = await this.log.read(this.stream, from, 1, 0, this.stopping.signal)
      return this.caughtUp && response.nextOffset === from && this.nextOffset === from
    } catch (error) {
      this.logger.debug('probing a stream failed', { stream: this.stream, reason: describeError(error) })
      return false
    }
  }

  private async readOnce (): Promise<void> {
    const waitMilliseconds = this.caughtUp && this.failures === 0 ? LONG_POLL_MILLISECONDS : 0
    const response = await this.log.read(this.stream, this.nextOffset, MAXIMUM_RECORDS_PER_READ, waitMilliseconds, this.stopping.signal)
    if (this.stopping.signal.aborted) return
    this.firstRetained = response.retainedFrom
    if (response.retainedFrom > this.nextOffset) this.didTruncate.fire(response.retainedFrom)
    for (const { offset, record } of response.records) this.process(offset, record)
    this.nextOffset = Math.max(this.nextOffset, response.retainedFrom, ...response.records.map(({ offset }) => offset + 1))
    if (this.caughtUp || this.nextOffset < response.nextOffset) return
    this.caughtUp = true
    this.didCatchUp.fire()
  }

  private process (offset: number, record: RecordEnvelope): void {
    this.didReadIdentity.fire(record.identity)
    if (this.seenIdentities.has(record.identity)) return
    this.seenIdentities.add(record.identity)
    if (this.seenIdentities.size > MAXIMUM_SEEN_IDENTITIES) {
      const [oldest] = this.seenIdentities
      this.seenIdentities.delete(oldest as string)
    }
    this.clock.observe(record.logicalTime)
    const body = recordBodySchema.safeParse(record.body)
    if (record.schemaVersion > RECORD_SCHEMA_VERSION || !body.success) {
      if (record.schemaVersion > RECORD_SCHEMA_VERSION) this.newerRecordCount += 1
      this.logger.warn('skipping a record that this version does not understand', { stream: this.stream, offset })
      return
    }
    this.didRead.fire({ offset, identity: record.identity, writer: record.writer, logicalTime: record.logicalTime, body: body.data })
  }
}
