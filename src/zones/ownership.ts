import type { RecordBody, StoredRecord } from '../contracts/records.js'

/** An entry instance in one of its incarnations. */
export interface InstanceIdentity {
  readonly instance: string
  readonly incarnation: string
}

/** Lengths of time of ownership, in milliseconds. */
export interface OwnershipTimings {
  readonly leaseDuration: number
  readonly renewalInterval: number
  /** Added by whoever waits for another's lease to end: clock drift over one lease and scheduling delay. */
  readonly driftMargin: number
}

export const OWNERSHIP_TIMINGS: OwnershipTimings = { leaseDuration: 4000, renewalInterval: 1000, driftMargin: 500 }

/** What the ownership rules ask the surrounding task to do. */
export type OwnershipAction =
  | { readonly kind: 'renew', readonly body: RecordBody }
  /** A repeated claim has the same identity, so that it counts once. */
  | { readonly kind: 'claim', readonly body: RecordBody, readonly identity: string }
  /** The log has to be read before a claim, so that an instance that lags does not depose a live owner. */
  | { readonly kind: 'probeLog' }
  | { readonly kind: 'requestPromises', readonly electors: readonly InstanceIdentity[], readonly request: number, readonly durationMilliseconds: number }

/** Observations that a tick is handed. */
export interface OwnershipView {
  /** Whether the platform's instance list, fetched recently enough, no longer shows the holder. */
  readonly isGone: (holder: InstanceIdentity) => boolean
  /** When the log was last known to hold no unread record, in monotonic milliseconds. */
  readonly logCurrentAt: number
}

interface PromiseRound {
  readonly request: number
  readonly askedAt: number
  readonly missing: Set<string>
}

interface SentRenewal {
  readonly number: number
  readonly sentAt: number
  readonly electors: readonly InstanceIdentity[]
}

interface Member {
  readonly holder: InstanceIdentity
  readonly joinedAt: number
}

/** Bound on the lag of the instance list: for this time after joining, a member that the list does not show may be live. */
const JOIN_GRACE_MILLISECONDS = 10_000
/** Unconfirmed renewals that are kept apart. */
const MAXIMUM_SENT_RENEWALS = 8
/** Greatest age of the last complete read of the log at a claim. */
const PROBE_FRESHNESS_MILLISECONDS = 500

/** Returns a key that differs between incarnations of an instance. */
export function instanceKey (holder: InstanceIdentity): string {
  return `${holder.instance}/${holder.incarnation}`
}

/**
 * Ownership of one failure domain as one of its entry instances sees it.
 * Claims are decided by the order of the log; the lease is measured on the own monotonic clock.
 * All times passed in are monotonic milliseconds of this instance. The methods that start something enforce what the
 * specification in spec/ownershipSpecification.ts requires; `tick` decides when to use them.
 */
export class Ownership {
  private currentTerm = 0
  private owner: InstanceIdentity | undefined
  private released = true
  private electors: readonly InstanceIdentity[] = []
  /** First retained offset while older records are gone and no record has yet told the state of ownership. */
  private unknownSince: number | undefined
  private readonly joined = new Map<string, Member>()
  private ownerSeenAt = -Infinity
  private leaseUntil = -Infinity
  private actingFrom = Infinity
  private promisedUntil = -Infinity
  /** Term after which this instance has sent a claim. No promise is given in that term any more, because the claim may be in the log. */
  private claimedAfter = -1
  private claimRetryAt = -Infinity
  private gaveUp = false
  private lastNumber = 0
  private nextNumber = 1
  private lastRenewalSentAt = -Infinity
  private renewalInFlight = false
  private sentRenewals: SentRenewal[] = []
  private round: PromiseRound | undefined
  private nextRequest = 1

  constructor (readonly failureDomain: string, readonly self: InstanceIdentity, private readonly timings: OwnershipTimings = OWNERSHIP_TIMINGS) {}

  get term (): number {
    return this.currentTerm
  }

  get currentOwner (): InstanceIdentity | undefined {
    return this.released || this.unknownSince !== undefined ? undefined : this.owner
  }

  /** Whether this instance may act as owner now. To be asked right before each act. */
  isOwner (now: number): boolean {
    return this.holdsTerm() && !this.gaveUp && now >= this.actingFrom && now < this.leaseUntil
  }

  /** End of the own lease in monotonic milliseconds; -Infinity if there is none. */
  get leaseEnd (): number {
    return this.holdsTerm() && !this.gaveUp ? this.leaseUntil : -Infinity
  }

  /** Entry instances of the failure domain that have joined, by the log. */
  get members (): readonly InstanceIdentity[] {
    return [...this.joined.values()].map(member => member.holder)
  }

  /** Notes that records before `retainedFrom` are gone unread. Until a renewal or release tells the state, this instance neither acts nor claims. */
  markTruncated (retainedFrom: number): void {
    this.unknownSince = retainedFrom
  }

  /**
   * Notes that the stream has been read to its end. If it tells nothing, nobody has renewed a lease within the retention
   * period; terms then go on from the offset, which no earlier term exceeds.
   */
  markCaughtUp (tellsOwnership: boolean): void {
    if (this.unknownSince === undefined || tellsOwnership) return
    this.currentTerm = this.unknownSince
    this.released = true
    this.unknownSince = undefined
  }

  /** Takes note of a record in log order. */
  onRecord (record: StoredRecord, now: number): void {
    const { body } = record
    if (this.unknownSince !== undefined && (body.type === 'ownershipRenewed' || body.type === 'ownershipReleased')) this.adopt(body)
    else if (this.unknownSince !== undefined && body.type === 'ownershipClaimed') return
    switch (body.type) {
      case 'instanceJoined':
        this.joined.set(body.instance, { holder: { instance: body.instance, incarnation: body.incarnation }, joinedAt: now })
        return
      case 'ownershipClaimed':
        this.onClaim(body, now)
        return
      case 'ownershipRenewed':
        if (body.term === this.currentTerm && body.number > this.lastNumber && this.isHeldBy(body)) this.onRenewal(body.number, body.electors, now)
        return
      case 'ownershipReleased':
        if (body.term === this.currentTerm && this.isHeldBy(body)) this.released = true
    }
  }

  /** Answers an owner's request for a promise not to claim for `durationMilliseconds`. */
  onPromiseRequest (term: number, durationMilliseconds: number, now: number): boolean {
    if (this.unknownSince !== undefined || term !== this.currentTerm || this.claimedAfter === term || this.released) return false
    this.promisedUntil = Math.max(this.promisedUntil, now + durationMilliseconds + this.timings.driftMargin)
    return true
  }

  /** Takes note of an elector's answer. The lease is extended once all electors have promised. */
  onPromise (elector: InstanceIdentity, request: number, granted: boolean): void {
    const round = this.round
    if (round === undefined || round.request !== request || !granted || !this.holdsTerm() || this.gaveUp) return
    round.missing.delete(instanceKey(elector))
    if (round.missing.size > 0) return
    this.round = undefined
    this.leaseUntil = Math.max(this.leaseUntil, round.askedAt + this.timings.leaseDuration)
  }

  /** Returns what is to be done now. To be called several times a renewal period. */
  tick (now: number, view: OwnershipView): OwnershipAction[] {
    this.forgetGoneMembers(now, view)
    if (this.holdsTerm()) return this.gaveUp ? [] : this.tickAsOwner(now)
    return this.tickAsElector(now, view)
  }

  /** Returns the record that gives ownership up on a planned stop, or undefined if not owner. Renewals and promises under way have no effect from then on. */
  release (): RecordBody | undefined {
    if (!this.holdsTerm() || this.gaveUp) return undefined
    this.gaveUp = true
    this.leaseUntil = -Infinity
    this.round = undefined
    return { type: 'ownershipReleased', failureDomain: this.failureDomain, ...this.self, term: this.currentTerm }
  }

  /** Returns the next renewal, whose lease counts from `now`, or undefined if not owner. */
  startRenewal (now: number, electors: readonly InstanceIdentity[]): RecordBody | undefined {
    if (!this.holdsTerm() || this.gaveUp) return undefined
    const number = this.nextNumber++
    this.lastRenewalSentAt = now
    this.foldLapsedRenewals(now)
    this.sentRenewals.push({ number, sentAt: now, electors })
    return { type: 'ownershipRenewed', failureDomain: this.failureDomain, ...this.self, term: this.currentTerm, number, electors: [...electors] }
  }

  /** Notes that the append of the last renewal has ended, with whatever outcome. */
  renewalSettled (): void {
    this.renewalInFlight = false
  }

  /** Starts a round of promises and returns whom to ask; an owner without electors extends its lease at once. */
  startPromiseRound (now: number): { readonly request: number, readonly electors: readonly InstanceIdentity[] } {
    const all = new Map<string, InstanceIdentity>()
    for (const electors of [this.electors, ...this.sentRenewals.map(renewal => renewal.electors)]) {
      for (const elector of electors) all.set(instanceKey(elector), elector)
    }
    all.delete(instanceKey(this.self))
    const request = this.nextRequest++
    this.round = all.size === 0 ? undefined : { request, askedAt: now, missing: new Set(all.keys()) }
    if (all.size === 0) this.leaseUntil = Math.max(this.leaseUntil, now + this.timings.leaseDuration)
    return { request, electors: [...all.values()] }
  }

  /** Whether the rules allow a claim now. */
  mayClaim (now: number, view: Pick<OwnershipView, 'isGone'>): boolean {
    if (this.holdsTerm() || this.unknownSince !== undefined) return false
    if (this.released) return true
    if (now < this.promisedUntil || now - this.ownerSeenAt < this.timings.leaseDuration + this.timings.driftMargin) return false
    return this.isElector() || this.ownerAndElectorsGone(now, view)
  }

  /** Returns a claim and refuses promises in this term from then on. To be called only if `mayClaim`. */
  startClaim (now: number, electors: readonly InstanceIdentity[], view: Pick<OwnershipView, 'isGone'>): RecordBody {
    this.claimedAfter = this.currentTerm
    return {
      type: 'ownershipClaimed',
      failureDomain: this.failureDomain,
      ...this.self,
      afterTerm: this.currentTerm,
      electors: [...electors],
      ownerAndElectorsGone: !this.released && !this.isElector() && this.ownerAndElectorsGone(now, view)
    }
  }

  /** Takes the state from a record of the owner; each renewal restates all of it. */
  private adopt (body: Extract<RecordBody, { type: 'ownershipRenewed' | 'ownershipReleased' }>): void {
    if (body.term < this.currentTerm) return
    this.unknownSince = undefined
    if (body.term === this.currentTerm && this.owner !== undefined) return
    this.currentTerm = body.term
    this.owner = { instance: body.instance, incarnation: body.incarnation }
    this.released = false
    this.lastNumber = 0
    this.leaseUntil = -Infinity
  }

  private onClaim (body: Extract<RecordBody, { type: 'ownershipClaimed' }>, now: number): void {
    const own = body.instance === this.self.instance && body.incarnation === this.self.incarnation
    const entitled = this.released || body.ownerAndElectorsGone || this.electors.some(elector => instanceKey(elector) === instanceKey(body))
    if (body.afterTerm !== this.currentTerm || !entitled) return
    const waitUntil = this.released ? now : Math.max(this.ownerSeenAt + this.timings.leaseDuration + this.timings.driftMargin, this.promisedUntil)
    this.currentTerm += 1
    this.owner = { instance: body.instance, incarnation: body.incarnation }
    this.released = false
    this.gaveUp = false
    this.electors = body.electors
    this.ownerSeenAt = now
    this.round = undefined
    this.sentRenewals = []
    this.lastNumber = 0
    this.nextNumber = 1
    this.leaseUntil = -Infinity
    this.lastRenewalSentAt = -Infinity
    if (own) this.actingFrom = waitUntil
  }

  private onRenewal (number: number, electors: readonly InstanceIdentity[], now: number): void {
    this.electors = electors
    this.lastNumber = number
    this.ownerSeenAt = now
    if (!this.holdsTerm()) return
    const confirmed = this.sentRenewals.find(renewal => renewal.number === number)
    this.sentRenewals = this.sentRenewals.filter(renewal => renewal.number > number)
    if (confirmed !== undefined && !this.gaveUp) this.leaseUntil = Math.max(this.leaseUntil, confirmed.sentAt + this.timings.leaseDuration)
  }

  private tickAsOwner (now: number): OwnershipAction[] {
    const actions: OwnershipAction[] = []
    if (now - this.lastRenewalSentAt >= this.timings.renewalInterval && !this.renewalInFlight) {
      const body = this.startRenewal(now, this.knownElectors()) as RecordBody
      this.renewalInFlight = true
      actions.push({ kind: 'renew', body })
    }
    const remaining = this.leaseUntil - now
    const roundIsOld = this.round === undefined || now - this.round.askedAt >= this.timings.renewalInterval
    if (remaining >= this.timings.leaseDuration / 2 || now < this.actingFrom || !roundIsOld) return actions
    const { request, electors } = this.startPromiseRound(now)
    if (electors.length > 0) actions.push({ kind: 'requestPromises', electors, request, durationMilliseconds: this.timings.leaseDuration })
    return actions
  }

  private tickAsElector (now: number, view: OwnershipView): OwnershipAction[] {
    if (now < this.claimRetryAt || !this.mayClaim(now, view)) return []
    if (now - view.logCurrentAt > PROBE_FRESHNESS_MILLISECONDS) return [{ kind: 'probeLog' }]
    this.claimRetryAt = now + this.timings.renewalInterval
    const body = this.startClaim(now, this.knownElectors(), view)
    return [{ kind: 'claim', body, identity: `claim:${this.self.incarnation}:${this.currentTerm}` }]
  }

  /** Keeps the list of sent renewals short in an outage: the electors of the oldest then count with those of the next. */
  private foldLapsedRenewals (now: number): void {
    while (this.sentRenewals.length > MAXIMUM_SENT_RENEWALS) {
      const [first, second, ...rest] = this.sentRenewals as [SentRenewal, SentRenewal, ...SentRenewal[]]
      if (now < first.sentAt + this.timings.leaseDuration) return
      const electors = new Map([...first.electors, ...second.electors].map(elector => [instanceKey(elector), elector]))
      this.sentRenewals = [{ ...second, electors: [...electors.values()] }, ...rest]
    }
  }

  private forgetGoneMembers (now: number, view: OwnershipView): void {
    for (const [name, { holder, joinedAt }] of this.joined) {
      if (name !== this.self.instance && now - joinedAt >= JOIN_GRACE_MILLISECONDS && view.isGone(holder)) this.joined.delete(name)
    }
  }

  /** A holder is also gone when another incarnation of the same instance has joined: a name is used by one process at a time. */
  private ownerAndElectorsGone (now: number, view: Pick<OwnershipView, 'isGone'>): boolean {
    return [this.owner as InstanceIdentity, ...this.electors].every(holder => {
      const member = this.joined.get(holder.instance)
      if (member === undefined) return view.isGone(holder)
      return instanceKey(member.holder) !== instanceKey(holder) || (now - member.joinedAt >= JOIN_GRACE_MILLISECONDS && view.isGone(holder))
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

  private isHeldBy (holder: InstanceIdentity): boolean {
    return this.unknownSince === undefined && !this.released && this.owner !== undefined && instanceKey(this.owner) === instanceKey(holder)
  }
}
