import { backoffMilliseconds, delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Random } from '../base/random.js'
import type { RecordLog, StoredRecord } from './recordLog.js'

/** Bounds of the backoff after a failed read, in milliseconds; the first retry comes within the time of one append. */
const RETRY_BASE_MILLISECONDS = 50
const RETRY_MAXIMUM_MILLISECONDS = 400

export interface TopicFollowerOptions {
  readonly topic: string
  readonly partition: number
  /** Longest time that a read waits for a record, in milliseconds. */
  readonly waitMilliseconds: number
  /** Returns the minimum time from one read to the next, in milliseconds; records that arrive close together share a read. Called after each read. */
  readonly periodMilliseconds: () => number
  /**
   * If the last successful read was sent longer ago than this, the next one does not wait for a record, so that its response shows at
   * once that all records have been received. In milliseconds; never if absent.
   */
  readonly refreshAfterMilliseconds?: number
}

export interface TopicFollowerObserver {
  /**
   * Called with records in log order. A snapshot holds only the latest record of each key; if `isSnapshot` is set, absent keys have no record.
   * `storedAfter` is when the previous successful read was sent, in milliseconds of the monotonic clock; undefined for a snapshot.
   */
  onRecords (records: readonly StoredRecord[], isSnapshot: boolean, storedAfter: number | undefined): void
  /** Called when reads start to fail and when they succeed again. */
  onDidChangeReachability (reachable: boolean, reason: string): void
}

/** Reads one partition of a keyed topic continuously, starting from its snapshot. After a failure, reads do not wait for records until one succeeds. */
export class TopicFollower extends DisposableObject {
  private next: number | undefined
  private failures = 0
  private cancelPause: (() => void) | undefined
  /** When the last successful read completed, in milliseconds of the monotonic clock; undefined before the first. */
  lastReadCompletedAt: number | undefined
  /** When the last successful read was sent. Every record that was stored before then has been received. */
  lastReadStartedAt: number | undefined

  constructor (
    private readonly log: RecordLog,
    private readonly options: TopicFollowerOptions,
    private readonly observer: TopicFollowerObserver,
    private readonly random: Random,
    private readonly now: () => number
  ) {
    super()
    this.register(toDisposable(() => this.cancelPause?.()))
  }

  /** Offset after the last record received; undefined before the first read. */
  get position (): number | undefined {
    return this.next
  }

  /** Reads the snapshot and resolves with whether that succeeded. `follow` starts with the snapshot unless it has been loaded. */
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

  /** Reads until disposed. */
  async follow (): Promise<void> {
    while (!this.isDisposed) {
      const startedAt = this.now()
      const succeeded = this.next === undefined ? await this.loadSnapshot() : await this.readOnce(this.next)
      if (this.isDisposed) return
      const pause = succeeded ? this.options.periodMilliseconds() - (this.now() - startedAt) : backoffMilliseconds(this.failures, RETRY_BASE_MILLISECONDS, RETRY_MAXIMUM_MILLISECONDS, 0.5 + this.random.fraction() / 2)
      if (pause > 0) await this.pause(pause)
    }
  }

  /** Starts the next read immediately if the follower is pausing between two reads. */
  readNow (): void {
    this.cancelPause?.()
  }

  private async pause (milliseconds: number): Promise<void> {
    const pause = new AbortController()
    this.cancelPause = () => pause.abort()
    await delay(milliseconds, pause.signal)
    this.cancelPause = undefined
  }

  private async readOnce (from: number): Promise<boolean> {
    const sentAt = this.now()
    const { topic, partition, waitMilliseconds, refreshAfterMilliseconds = Infinity } = this.options
    // While reads fail, a read that waits would take longer to time out, and its response would come later than necessary.
    const isBehind = this.failures > 0 || sentAt - (this.lastReadStartedAt ?? sentAt) > refreshAfterMilliseconds
    const outcome = await this.log.read(topic, partition, from, isBehind ? 0 : waitMilliseconds)
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
