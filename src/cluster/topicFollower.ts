import { backoffMilliseconds, delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Random } from '../base/random.js'
import type { RecordLog, StoredRecord } from './recordLog.js'

/** Bounds of the pause after a failed read, in milliseconds; the first retry comes within the time of one append. */
const RETRY_BASE_MILLISECONDS = 50
const RETRY_MAXIMUM_MILLISECONDS = 400

export interface TopicFollowerOptions {
  readonly topic: string
  readonly partition: number
  /** How long a read may wait for a record, in milliseconds. */
  readonly waitMilliseconds: number
  /** Least time from one read to the next, in milliseconds; records that come close together share a read. Asked for after each read. */
  readonly periodMilliseconds: () => number
}

export interface TopicFollowerObserver {
  /**
   * Records in order. Of a snapshot only the latest of each key are given; `isSnapshot` says that keys that are not given have no record.
   * `storedAfter`: when the read that ended before these records was sent, in milliseconds of the monotonic clock; undefined for a snapshot.
   */
  onRecords (records: readonly StoredRecord[], isSnapshot: boolean, storedAfter: number | undefined): void
  /** The log could not be read, or could be read again. */
  onDidChangeReachability (reachable: boolean, reason: string): void
}

/** Follows one partition of a keyed topic from its snapshot on. */
export class TopicFollower extends DisposableObject {
  private next: number | undefined
  private failures = 0
  private endPause: (() => void) | undefined
  /** When a read last succeeded, in milliseconds of the monotonic clock; undefined before the first. */
  lastReadCompletedAt: number | undefined
  /** Start of the last read that succeeded. What was stored before it has been seen. */
  lastReadStartedAt: number | undefined

  constructor (
    private readonly log: RecordLog,
    private readonly options: TopicFollowerOptions,
    private readonly observer: TopicFollowerObserver,
    private readonly random: Random,
    private readonly now: () => number
  ) {
    super()
    this.register(toDisposable(() => this.endPause?.()))
  }

  /** Offset after the last record seen; undefined before the first read. */
  get position (): number | undefined {
    return this.next
  }

  /** Takes the snapshot; resolves with whether it could be read. Without it, `follow` begins with the snapshot. */
  async loadSnapshot (): Promise<boolean> {
    const sentAt = this.now()
    const outcome = await this.log.snapshot(this.options.topic, this.options.partition)
    if (this.isDisposed) return false
    if (outcome.kind === 'unavailable') {
      this.onFailure(outcome.reason)
      return false
    }
    this.next = outcome.end
    this.onSuccess(sentAt)
    this.observer.onRecords(outcome.records, true, undefined)
    return true
  }

  /** Follows until disposed. */
  async follow (): Promise<void> {
    while (!this.isDisposed) {
      const startedAt = this.now()
      const succeeded = this.next === undefined ? await this.loadSnapshot() : await this.readOnce(this.next)
      if (this.isDisposed) return
      const pause = succeeded ? this.options.periodMilliseconds() - (this.now() - startedAt) : backoffMilliseconds(this.failures, RETRY_BASE_MILLISECONDS, RETRY_MAXIMUM_MILLISECONDS, 0.5 + this.random.fraction() / 2)
      if (pause > 0) await this.pause(pause)
    }
  }

  /** Reads now if the next read is being waited for. */
  readNow (): void {
    this.endPause?.()
  }

  private async pause (milliseconds: number): Promise<void> {
    const pause = new AbortController()
    this.endPause = () => pause.abort()
    await delay(milliseconds, pause.signal)
    this.endPause = undefined
  }

  private async readOnce (from: number): Promise<boolean> {
    const sentAt = this.now()
    const outcome = await this.log.read(this.options.topic, this.options.partition, from, this.options.waitMilliseconds)
    if (this.isDisposed) return false
    switch (outcome.kind) {
      case 'unavailable':
        this.onFailure(outcome.reason)
        return false
      case 'expired':
        this.next = undefined
        return true
      case 'records': {
        const storedAfter = this.lastReadStartedAt
        this.next = outcome.next
        this.onSuccess(sentAt)
        if (outcome.records.length > 0) this.observer.onRecords(outcome.records, false, storedAfter)
        return true
      }
    }
  }

  private onSuccess (sentAt: number): void {
    this.lastReadCompletedAt = this.now()
    this.lastReadStartedAt = sentAt
    if (this.failures > 0) this.observer.onDidChangeReachability(true, '')
    this.failures = 0
  }

  private onFailure (reason: string): void {
    this.failures += 1
    if (this.failures === 1) this.observer.onDidChangeReachability(false, reason)
  }
}
