import type { LeadershipRecord } from '../contracts/clusterRecords.js'

/** Time between the renewals of the active scheduler, in milliseconds. */
export const RENEWAL_PERIOD_MILLISECONDS = 350
/** Time without a renewal after which another instance claims the role, in milliseconds: two renewal periods and a slow append. */
const RENEWAL_TIMEOUT_MILLISECONDS = 1000
/** A slow log delays renewals: the timeout is extended by this multiple of the append latency. */
const RENEWAL_TIMEOUT_LATENCY_FACTOR = 3
/** Delay of a claim after the holder's process is known to have exited, in milliseconds; it keeps claims from colliding. */
const CLAIM_DELAY_AFTER_EXIT_MILLISECONDS = 50
/** Difference between the claim delays of two instances of adjacent rank, in milliseconds; about one append. */
const RANK_STEP_MILLISECONDS = 30
/** Instances of one rank spread their claims over this multiple of the append latency, because concurrent appends wait for each other. */
const JITTER_LATENCY_FACTOR = 3
/** Time for which the named successor of a holder that resigned may claim before the others, in milliseconds, in addition to the jitter. */
const SUCCESSOR_HEAD_START_MILLISECONDS = 300
/** Delay after a claim that was not stored, in milliseconds; longer than an append, so that the winning claim is read first. */
const CLAIM_RETRY_DELAY_MILLISECONDS = 200
/** Delay before the first claim in a new system, in milliseconds. */
const FIRST_CLAIM_DELAY_MILLISECONDS = 200

/**
 * State of the active scheduler role as one instance sees it, and the decision when to claim it. Performs no I/O: callers pass in
 * the records and the time, in milliseconds of the monotonic clock.
 */
export class Leadership {
  private latest: LeadershipRecord | undefined
  /** When the latest record was read or, without one, when the log was first found to hold none. */
  private latestReadAt: number | undefined
  /** When it was first known that the log holds no renewal after the latest record, in milliseconds of the monotonic clock. */
  private silenceKnownAt: number | undefined
  private holderExitedAt: number | undefined
  private supersededTerm = 0
  private nextClaimAt = -Infinity
  /** Set when the holder cannot renew the role and has asked this instance to claim it. */
  private isOffered = false

  /** Creates the state. `rank` is 0 for the instance that should claim first; `jitter` is a random number from 0 to 1. */
  constructor (private readonly instance: string, private readonly incarnation: string, private readonly rank: number, private readonly jitter: number) {}

  /** The latest claim or renewal. */
  get current (): LeadershipRecord | undefined {
    return this.latest
  }

  get isHeldHere (): boolean {
    return this.latest !== undefined && this.latest.incarnation === this.incarnation && !this.latest.resigned && this.latest.term > this.supersededTerm
  }

  /**
   * Returns the term for a claim that is to be stored at an offset of the log. No two claims are stored at the same offset, so the term
   * is greater than that of every earlier claim, including one that a late renewal by a former holder has replaced as the latest record.
   */
  termForClaim (offset: number): number {
    return Math.max(this.latest?.term ?? 0, offset) + 1
  }

  /** Applies a record and returns whether the holder has changed. */
  onRecord (record: LeadershipRecord, now: number): boolean {
    if (this.latest !== undefined && record.term < this.latest.term) return false
    const changed = this.latest?.incarnation !== record.incarnation || this.latest.resigned !== record.resigned
    this.latest = record
    this.latestReadAt = now
    this.silenceKnownAt = undefined
    // A renewal shows that the holder is still running: connections may be refused because of a network failure.
    this.holderExitedAt = undefined
    this.isOffered = false
    return changed
  }

  /** Records that a greater term than the one held here is in force, although its record has not been read yet. */
  onSuperseded (): void {
    this.supersededTerm = this.latest?.term ?? 0
  }

  /** Records that the holder has asked this instance to claim the role. */
  onRoleOffered (incarnation: string): void {
    if (this.latest?.incarnation === incarnation) this.isOffered = true
  }

  /** Records that a claim was not stored and delays the next one. */
  onClaimFailed (now: number): void {
    this.nextClaimAt = now + CLAIM_RETRY_DELAY_MILLISECONDS
  }

  /** Records that the log holds no record of the role. */
  onNoRecord (now: number): void {
    this.latestReadAt ??= now
  }

  /** Records that the holder seems to have exited: its address refuses connections, or another process responds there. */
  onHolderExited (incarnation: string, now: number): void {
    if (this.latest?.incarnation === incarnation) this.holderExitedAt ??= now
  }

  /**
   * Returns whether this instance should claim the role. `logReadStartedAt` is when the latest successful read of the log was sent:
   * missing renewals prove nothing about the holder while the log cannot be read. `logLatencyMilliseconds` is the latency of an append.
   * All instances learn of the silence of a holder when their long-poll reads end, at about the same time, so the delays that keep
   * their claims apart begin there.
   */
  shouldClaim (now: number, logReadStartedAt: number | undefined, logLatencyMilliseconds: number, logReadCompletedAt = logReadStartedAt): boolean {
    if (this.isHeldHere || this.latestReadAt === undefined || logReadStartedAt === undefined || now < this.nextClaimAt) return false
    if (logReadStartedAt >= this.latestReadAt) this.silenceKnownAt ??= logReadCompletedAt
    const claimDelay = this.rank * RANK_STEP_MILLISECONDS + this.jitter * JITTER_LATENCY_FACTOR * logLatencyMilliseconds
    if (this.latest === undefined) return now >= this.latestReadAt + FIRST_CLAIM_DELAY_MILLISECONDS + claimDelay
    if (this.latest.resigned) {
      const successor = this.latest.successor ?? ''
      const delay = successor === this.instance ? 0 : claimDelay + (successor === '' ? 0 : SUCCESSOR_HEAD_START_MILLISECONDS + JITTER_LATENCY_FACTOR * logLatencyMilliseconds)
      return now >= this.latestReadAt + delay
    }
    const timesOutAt = Math.max(this.latestReadAt + RENEWAL_TIMEOUT_MILLISECONDS + RENEWAL_TIMEOUT_LATENCY_FACTOR * logLatencyMilliseconds, this.silenceKnownAt ?? -Infinity)
    const hasTimedOut = now >= timesOutAt + claimDelay
    if (!hasTimedOut && this.isOffered) return true
    if (!hasTimedOut) return this.holderExitedAt !== undefined && now >= this.holderExitedAt + CLAIM_DELAY_AFTER_EXIT_MILLISECONDS + claimDelay
    return logReadStartedAt >= this.latestReadAt
  }
}
