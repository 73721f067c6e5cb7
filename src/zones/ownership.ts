import type { RecordBody, StoredRecord } from '../contracts/records.js'

/** Identifies one incarnation of an entry instance. */
export interface InstanceIdentity {
  readonly instance: string
  readonly incarnation: string
}

/** Durations of the ownership protocol, in milliseconds. */
export interface OwnershipTimings {
  readonly leaseDuration: number
  readonly renewalInterval: number
  /** Margin added when waiting for the lease of another instance to expire: clock drift over one lease and scheduling delay. */
  readonly driftMargin: number
}

export const OWNERSHIP_TIMINGS: OwnershipTimings = { leaseDuration: 4000, renewalInterval: 1000, driftMargin: 500 }

/** Action that the ownership rules require of the surrounding task. */
export type OwnershipAction =
  | { readonly kind: 'renew', readonly body: RecordBody }
  /** A repeated claim has the same identity, so that it is applied once. */
  | { readonly kind: 'claim', readonly body: RecordBody, readonly identity: string }
  /** The log must be read to its end before a claim, so that a lagging instance does not supersede a live owner. */
  | { readonly kind: 'probeLog' }
  | { readonly kind: 'requestPromises', readonly electors: readonly InstanceIdentity[], readonly request: number, readonly durationMilliseconds: number }

/** Observations that are passed to a tick. */
export interface OwnershipView {
  /** Returns whether a sufficiently recent instance list of the platform no longer contains the instance. */
  readonly isGone: (instance: InstanceIdentity) => boolean
  /** Time at which the log was last known to contain no unread record, in monotonic milliseconds. */
  readonly logCurrentAt: number
}

interface PromiseRound {
  readonly request: number
  readonly startedAt: number
  readonly missing: Set<string>
}

interface SentRenewal {
  readonly number: number
  readonly sentAt: number
  readonly electors: readonly InstanceIdentity[]
}

interface Member {
  readonly identity: InstanceIdentity
  readonly joinedAt: number
}

/** Bound on the lag of the instance list: for this time after joining, a member that is not in the list may be live. */
const JOIN_GRACE_MILLISECONDS = 10_000
/** Unconfirmed renewals that are tracked individually. */
const MAXIMUM_SENT_RENEWALS = 8
/** Maximum age of the last complete read of the log at a claim. */
const MAXIMUM_PROBE_AGE_MILLISECONDS = 500

/** Returns a key that differs between incarnations of an instance. */
export function instanceKey (identity: InstanceIdentity): string {
  return `${identity.instance}/${identity.incarnation}`
}

/**
 * Ownership of one failure domain, as observed by one of its entry instances. Claims are decided by their order in the log;
 * the lease is measured on the monotonic clock of this instance, and all times passed in are its monotonic milliseconds.
 * The `start` methods enforce what the specification in spec/ownershipSpecification.ts requires; `tick` decides when to call them.
 */
export class Ownership {
  private currentTerm = 0
  private owner: InstanceIdentity | undefined
  private released = true
  private electors: readonly InstanceIdentity[] = []
  /** First retained offset if older records were truncated before they were read and no later record has restated the ownership; otherwise undefined. */
  private stateUnknownFrom: number | undefined
  private readonly joined = new Map<string, Member>()
  private ownerLastSeenAt = -Infinity
  private leaseUntil = -Infinity
  private ownerFrom = Infinity
  private promisedUntil = -Infinity
  /** Term in which this instance has sent a claim. It grants no more promises in that term, because the claim may be in the log. */
  private lastClaimedTerm = -1
  private claimRetryAt = -Infinity
  private resigned = false
  private lastRenewalNumber = 0
  private nextRenewalNumber = 1
  private lastRenewalSentAt = -Infinity
  private renewalInFlight = false
  private sentRenewals: SentRenewal[] = []
  private round: PromiseRound | undefined
  private nextRequestNumber = 1

  constructor (readonly failureDomain: string, readonly self: InstanceIdentity, private readonly timings: OwnershipTimings = OWNERSHIP_TIMINGS) {}

  get term (): number {
    return this.currentTerm
  }

  get currentOwner (): InstanceIdentity | undefined {
    return this.released || this.stateUnknownFrom !== undefined ? undefined : this.owner
  }

  /** Returns whether this instance may act as owner now. Must be checked right before each such action. */
  isOwner (now: number): boolean {
    return this.holdsTerm() && !this.resigned && now >= this.ownerFrom && now < this.leaseUntil
  }

  /** End of the lease of this instance in monotonic milliseconds; -Infinity if it has none. */
  get leaseEnd (): number {
    return this.holdsTerm() && !this.resigned ? this.leaseUntil : -Infinity
  }

  /** Entry instances of the failure domain that have joined, according to the log. */
  get members (): readonly InstanceIdentity[] {
    return [...this.joined.values()].map(member => member.identity)
  }

  /** Registers a gap in the stream: records before `retainedFrom` were truncated before they were read. Until a renewal or release restates the ownership, this instance neither acts as owner nor claims. */
  markTruncated (retainedFrom: number): void {
    this.stateUnknownFrom = retainedFrom
  }

  /**
   * Marks the stream as read to its end. If it contains no record of ownership, no lease was renewed within the retention
   * period; terms then continue from the first retained offset, which no earlier term exceeds.
   */
  markCaughtUp (hasOwnershipRecord: boolean): void {
    if (this.stateUnknownFrom === undefined || hasOwnershipRecord) return
    this.currentTerm = this.stateUnknownFrom
    this.released = true
    this.stateUnknownFrom = undefined
  }

  /** Applies a record. Must be called in log order. */
  onRecord (record: StoredRecord, now: number): void {
    const { body } = record
    if (this.stateUnknownFrom !== undefined && (body.type === 'ownershipRenewed' || body.type === 'ownershipReleased')) this.restoreFrom(body)
    else if (this.stateUnknownFrom !== undefined && body.type === 'ownershipClaimed') return
    switch (body.type) {
      case 'instanceJoined':
        this.joined.set(body.instance, { identity: { instance: body.instance, incarnation: body.incarnation }, joinedAt: now })
        return
      case 'ownershipClaimed':
        this.onClaim(body, now)
        return
      case 'ownershipRenewed':
        if (body.term === this.currentTerm && body.number > this.lastRenewalNumber && this.isHeldBy(body)) this.onRenewal(body.number, body.electors, now)
        return
      case 'ownershipReleased':
        if (body.term === this.currentTerm && this.isHeldBy(body)) this.released = true
    }
  }

  /** Handles the request of an owner for a promise not to claim for `durationMilliseconds`. Returns whether the promise is granted. */
  onPromiseRequest (term: number, durationMilliseconds: number, now: number): boolean {
    if (this.stateUnknownFrom !== undefined || term !== this.currentTerm || this.lastClaimedTerm === term || this.released) return false
    this.promisedUntil = Math.max(this.promisedUntil, now + durationMilliseconds + this.timings.driftMargin)
    return true
  }

  /** Handles the response of an elector. The lease is extended once all electors have promised. */
  onPromise (elector: InstanceIdentity, request: number, granted: boolean): void {
    const round = this.round
    if (round === undefined || round.request !== request || !granted || !this.holdsTerm() || this.resigned) return
    round.missing.delete(instanceKey(elector))
    if (round.missing.size > 0) return
    this.round = undefined
    this.leaseUntil = Math.max(this.leaseUntil, round.startedAt + this.timings.leaseDuration)
  }

  /** Returns the actions that are due. Must be called several times per renewal interval. */
  tick (now: number, view: OwnershipView): OwnershipAction[] {
    this.removeGoneMembers(now, view)
    if (this.holdsTerm()) return this.resigned ? [] : this.tickAsOwner(now)
    return this.tickAsElector(now, view)
  }

  /** Resigns on a graceful shutdown and returns the record that releases ownership, or undefined if not owner. Outstanding renewals and promises no longer extend the lease. */
  release (): RecordBody | undefined {
    if (!this.holdsTerm() || this.resigned) return undefined
    this.resigned = true
    this.leaseUntil = -Infinity
    this.round = undefined
    return { type: 'ownershipReleased', failureDomain: this.failureDomain, ...this.self, term: this.currentTerm }
  }

  /** Returns the next renewal, whose lease counts from `now`, or undefined if not owner. */
  startRenewal (now: number, electors: readonly InstanceIdentity[]): RecordBody | undefined {
    if (!this.holdsTerm() || this.resigned) return undefined
    const number = this.nextRenewalNumber++
    this.lastRenewalSentAt = now
    this.mergeExpiredRenewals(now)
    this.sentRenewals.push({ number, sentAt: now, electors })
    return { type: 'ownershipRenewed', failureDomain: this.failureDomain, ...this.self, term: this.currentTerm, number, electors: [...electors] }
  }

  /** Must be called when the append of the last renewal has ended, whatever the outcome. */
  renewalSettled (): void {
    this.renewalInFlight = false
  }

  /** Starts a round of promises and returns the electors to send requests to. Without electors the lease is extended at once. */
  startPromiseRound (now: number): { readonly request: number, readonly electors: readonly InstanceIdentity[] } {
    const all = new Map<string, InstanceIdentity>()
    for (const electors of [this.electors, ...this.sentRenewals.map(renewal => renewal.electors)]) {
      for (const elector of electors) all.set(instanceKey(elector), elector)
    }
    all.delete(instanceKey(this.self))
    const request = this.nextRequestNumber++
    this.round = all.size === 0 ? undefined : { request, startedAt: now, missing: new Set(all.keys()) }
    if (all.size === 0) this.leaseUntil = Math.max(this.leaseUntil, now + this.timings.leaseDuration)
    return { request, electors: [...all.values()] }
  }

  /** Returns whether a claim is allowed now. */
  mayClaim (now: number, view: Pick<OwnershipView, 'isGone'>): boolean {
    if (this.holdsTerm() || this.stateUnknownFrom !== undefined) return false
    if (this.released) return true
    if (now < this.promisedUntil || now - this.ownerLastSeenAt < this.timings.leaseDuration + this.timings.driftMargin) return false
    return this.isElector() || this.ownerAndElectorsGone(now, view)
  }

  /** Returns a claim. From then on this instance refuses promises in the current term. Must be called only if `mayClaim` returns true. */
  startClaim (now: number, electors: readonly InstanceIdentity[], view: Pick<OwnershipView, 'isGone'>): RecordBody {
    this.lastClaimedTerm = this.currentTerm
    return {
      type: 'ownershipClaimed',
      failureDomain: this.failureDomain,
      ...this.self,
      afterTerm: this.currentTerm,
      electors: [...electors],
      ownerAndElectorsGone: !this.released && !this.isElector() && this.ownerAndElectorsGone(now, view)
    }
  }

  /** Restores the state from a record of the owner; each renewal restates all of it. */
  private restoreFrom (body: Extract<RecordBody, { type: 'ownershipRenewed' | 'ownershipReleased' }>): void {
    if (body.term < this.currentTerm) return
    this.stateUnknownFrom = undefined
    if (body.term === this.currentTerm && this.owner !== undefined) return
    this.currentTerm = body.term
    this.owner = { instance: body.instance, incarnation: body.incarnation }
    this.released = false
    this.lastRenewalNumber = 0
    this.leaseUntil = -Infinity
  }

  private onClaim (body: Extract<RecordBody, { type: 'ownershipClaimed' }>, now: number): void {
    const isOwnClaim = body.instance === this.self.instance && body.incarnation === this.self.incarnation
    const isEntitled = this.released || body.ownerAndElectorsGone || this.electors.some(elector => instanceKey(elector) === instanceKey(body))
    if (body.afterTerm !== this.currentTerm || !isEntitled) return
    const waitUntil = this.released ? now : Math.max(this.ownerLastSeenAt + this.timings.leaseDuration + this.timings.driftMargin, this.promisedUntil)
    this.currentTerm += 1
    this.owner = { instance: body.instance, incarnation: body.incarnation }
    this.released = false
    this.resigned = false
    this.electors = body.electors
    this.ownerLastSeenAt = now
    this.round = undefined
    this.sentRenewals = []
    this.lastRenewalNumber = 0
    this.nextRenewalNumber = 1
    this.leaseUntil = -Infinity
    this.lastRenewalSentAt = -Infinity
    if (isOwnClaim) this.ownerFrom = waitUntil
  }

  private onRenewal (number: number, electors: readonly InstanceIdentity[], now: number): void {
    this.electors = electors
    this.lastRenewalNumber = number
    this.ownerLastSeenAt = now
    if (!this.holdsTerm()) return
    const confirmed = this.sentRenewals.find(renewal => renewal.number === number)
    this.sentRenewals = this.sentRenewals.filter(renewal => renewal.number > number)
    if (confirmed !== undefined && !this.resigned) this.leaseUntil = Math.max(this.leaseUntil, confirmed.sentAt + this.timings.leaseDuration)
  }

  private tickAsOwner (now: number): OwnershipAction[] {
    const actions: OwnershipAction[] = []
    if (now - this.lastRenewalSentAt >= this.timings.renewalInterval && !this.renewalInFlight) {
      const body = this.startRenewal(now, this.knownElectors()) as RecordBody
      this.renewalInFlight = true
      actions.push({ kind: 'renew', body })
    }
    const remaining = this.leaseUntil - now
    const roundIsOld = this.round === undefined || now - this.round.startedAt >= this.timings.renewalInterval
    if (remaining >= this.timings.leaseDuration / 2 || now < this.ownerFrom || !roundIsOld) return actions
    const { request, electors } = this.startPromiseRound(now)
    if (electors.length > 0) actions.push({ kind: 'requestPromises', electors, request, durationMilliseconds: this.timings.leaseDuration })
    return actions
  }

  private tickAsElector (now: number, view: OwnershipView): OwnershipAction[] {
    if (now < this.claimRetryAt || !this.mayClaim(now, view)) return []
    if (now - view.logCurrentAt > MAXIMUM_PROBE_AGE_MILLISECONDS) return [{ kind: 'probeLog' }]
    this.claimRetryAt = now + this.timings.renewalInterval
    const body = this.startClaim(now, this.knownElectors(), view)
    return [{ kind: 'claim', body, identity: `claim:${this.self.incarnation}:${this.currentTerm}` }]
  }

  /** Bounds the list of sent renewals during an outage: merges the electors of the oldest expired renewal into the next one. */
  private mergeExpiredRenewals (now: number): void {
    while (this.sentRenewals.length > MAXIMUM_SENT_RENEWALS) {
      const [first, second, ...rest] = this.sentRenewals as [SentRenewal, SentRenewal, ...SentRenewal[]]
      if (now < first.sentAt + this.timings.leaseDuration) return
      const electors = new Map([...first.electors, ...second.electors].map(elector => [instanceKey(elector), elector]))
      this.sentRenewals = [{ ...second, electors: [...electors.values()] }, ...rest]
    }
  }

  private removeGoneMembers (now: number, view: OwnershipView): void {
    for (const [name, { identity, joinedAt }] of this.joined) {
      if (name !== this.self.instance && now - joinedAt >= JOIN_GRACE_MILLISECONDS && view.isGone(identity)) this.joined.delete(name)
    }
  }

  /** An incarnation is also gone if another incarnation of the instance has joined, because a name is used by one process at a time. */
  private ownerAndElectorsGone (now: number, view: Pick<OwnershipView, 'isGone'>): boolean {
    return [this.owner as InstanceIdentity, ...this.electors].every(identity => {
      const member = this.joined.get(identity.instance)
      if (member === undefined) return view.isGone(identity)
      return instanceKey(member.identity) !== instanceKey(identity) || (now - member.joinedAt >= JOIN_GRACE_MILLISECONDS && view.isGone(identity))
    })
  }

  private isElector (): boolean {
    return this.electors.some(elector => instanceKey(elector) === instanceKey(this.self))
  }

  private knownElectors (): readonly InstanceIdentity[] {
    return this.members.filter(member => member.instance !== this.self.instance)
  }

  private holdsTerm (): boolean {
    return this.isHeldBy(this.self)
  }

  private isHeldBy (identity: InstanceIdentity): boolean {
    return this.stateUnknownFrom === undefined && !this.released && this.owner !== undefined && instanceKey(this.owner) === instanceKey(identity)
  }
}
