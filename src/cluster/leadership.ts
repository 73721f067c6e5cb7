import type { LeadershipRecord } from '../contracts/clusterRecords.js'

/** Time between the renewals of the acting scheduler, in milliseconds. */
export const RENEWAL_PERIOD_MILLISECONDS = 350
/** Silence of the acting scheduler after which another instance claims the role, in milliseconds; two renewals and the time of a slow append. */
const SILENCE_BEFORE_CLAIM_MILLISECONDS = 1000
/** A slow log delays renewals: the silence is longer by this many times the time of an append. */
const SILENCE_APPENDS = 3
/** Wait after the holder's process is known to have ended, in milliseconds; it keeps claims from colliding. */
const CLAIM_AFTER_END_MILLISECONDS = 50
/** Difference between the waits of two instances of neighbouring rank, in milliseconds; about one append. */
const RANK_STEP_MILLISECONDS = 30
/** Instances of one rank spread their claims over this many times the time of an append, because claims wait for each other. */
const SPREAD_APPENDS = 3
/** Time that the named successor of a stopping holder has before others claim, in milliseconds, beside the spread. */
const SUCCESSOR_MILLISECONDS = 300
/** Wait after a claim that was not stored, in milliseconds; longer than an append, so that the claim that won is read first. */
const CLAIM_PAUSE_MILLISECONDS = 200
/** Wait before the first claim of a new system, in milliseconds. */
const FIRST_CLAIM_MILLISECONDS = 200

/** What an instance knows about the role of acting scheduler. Pure: it receives records and the time in milliseconds of the monotonic clock. */
export class Leadership {
  private latest: LeadershipRecord | undefined
  /** When the latest record was read or, without one, when the log was first known to hold none. */
  private seenAt: number | undefined
  private holderEndedAt: number | undefined
  private deposedTerm = 0
  private claimNotBefore = -Infinity
  /** The holder cannot renew the role and has asked this instance to claim it. */
  private isOffered = false

  /** `rank`: 0 for the instance that should claim first; `spread`: a random number from 0 to 1. */
  constructor (private readonly instance: string, private readonly incarnation: string, private readonly rank: number, private readonly spread: number) {}

  /** The latest claim or renewal. */
  get current (): LeadershipRecord | undefined {
    return this.latest
  }

  get isHeldHere (): boolean {
    return this.latest !== undefined && this.latest.incarnation === this.incarnation && !this.latest.resigned && this.latest.term > this.deposedTerm
  }

  /**
   * Term of a claim that is stored at an offset of the log. No two claims are stored at the same offset, so that the term is greater
   * than that of any claim before, also of one that a late renewal of a former holder has replaced as the latest record.
   */
  termForClaim (offset: number): number {
    return Math.max(this.latest?.term ?? 0, offset) + 1
  }

  /** Takes a record into account; returns whether the holder has changed. */
  onRecord (record: LeadershipRecord, now: number): boolean {
    if (this.latest !== undefined && record.term < this.latest.term) return false
    const changed = this.latest?.incarnation !== record.incarnation || this.latest.resigned !== record.resigned
    this.latest = record
    this.seenAt = now
    // A renewal shows that the holder has not ended after all: a path that refuses connections may be cut.
    this.holderEndedAt = undefined
    this.isOffered = false
    return changed
  }

  /** Notes that a greater term than the one held here is in force, although its record has not been read yet. */
  onSuperseded (): void {
    this.deposedTerm = this.latest?.term ?? 0
  }

  /** Notes that the holder has asked this instance to claim the role. */
  onRoleOffered (incarnation: string): void {
    if (this.latest?.incarnation === incarnation) this.isOffered = true
  }

  /** Notes that a claim was not stored; the next one waits. */
  onClaimFailed (now: number): void {
    this.claimNotBefore = now + CLAIM_PAUSE_MILLISECONDS
  }

  /** Notes that the log holds no record of the role. */
  onNoRecord (now: number): void {
    this.seenAt ??= now
  }

  /** Notes that the holder seems to have ended: its address refuses connections, or another process answers there. */
  onHolderExited (incarnation: string, now: number): void {
    if (this.latest?.incarnation === incarnation) this.holderEndedAt ??= now
  }

  /**
   * Whether this instance should claim the role. `logCurrentAsOf` is when the latest successful read of the log was sent:
   * a silent log is no evidence of a silent holder. `logLatency` is the time that an append takes, in milliseconds.
   */
  shouldClaim (now: number, logCurrentAsOf: number | undefined, logLatency: number): boolean {
    if (this.isHeldHere || this.seenAt === undefined || logCurrentAsOf === undefined || now < this.claimNotBefore) return false
    const stagger = this.rank * RANK_STEP_MILLISECONDS + this.spread * SPREAD_APPENDS * logLatency
    if (this.latest === undefined) return now >= this.seenAt + FIRST_CLAIM_MILLISECONDS + stagger
    if (this.latest.resigned) {
      const named = this.latest.successor ?? ''
      const wait = named === this.instance ? 0 : stagger + (named === '' ? 0 : SUCCESSOR_MILLISECONDS + SPREAD_APPENDS * logLatency)
      return now >= this.seenAt + wait
    }
    const isSilent = now >= this.seenAt + SILENCE_BEFORE_CLAIM_MILLISECONDS + SILENCE_APPENDS * logLatency + stagger
    if (!isSilent && this.isOffered) return true
    if (!isSilent) return this.holderEndedAt !== undefined && now >= this.holderEndedAt + CLAIM_AFTER_END_MILLISECONDS + stagger
    return logCurrentAsOf >= this.seenAt
  }
}
