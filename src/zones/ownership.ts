import type { RecordBody, StoredRecord } from '../contracts/records.js'

/** An entry instance in one of its incarnations. */
export interface Holder {
  readonly instance: string
  readonly incarnation: string
}

/** Lengths of time of ownership, in milliseconds. */
export interface OwnershipTimings {
  readonly lease: number
  readonly renewal: number
  /** Added by whoever waits for another's lease to end: clock drift over one lease and scheduling delay. */
  readonly driftMargin: number
}

export const OWNERSHIP_TIMINGS: OwnershipTimings = { lease: 4000, renewal: 1000, driftMargin: 500 }

/** What the ownership rules ask the surrounding task to do. */
export type OwnershipAction =
  | { readonly kind: 'append', readonly body: RecordBody, readonly identity?: string, readonly sentAtMilliseconds: number }
  | { readonly kind: 'requestPromises', readonly electors: readonly Holder[], readonly request: number, readonly durationMilliseconds: number }

/** Observations that a tick is handed. */
export interface OwnershipView {
  /** Whether the platform's instance list, fetched recently enough, no longer shows the holder. */
  readonly isGone: (holder: Holder) => boolean
}

/** Unconfirmed renewals that are told apart; older ones are merged during a long outage. */
const MAXIMUM_UNCONFIRMED_RENEWALS = 8

interface PromiseRound {
  readonly request: number
  readonly askedAt: number
  readonly missing: Set<string>
}

/** Returns a key that differs between incarnations of an instance. */
export function holderKey (holder: Holder): string {
  return `${holder.instance}/${holder.incarnation}`
}

/**
 * Ownership of one failure domain as one of its entry instances sees it.
 * Claims are decided by the order of the log; the lease is measured on the own monotonic clock.
 * All times passed in are monotonic milliseconds of this instance.
 */
export class Ownership {
  private currentTerm = 0
  private owner: Holder | undefined
  private released = true
  private electors: readonly Holder[] = []
  private readonly joined = new Map<string, Holder>()
  private ownerSeenAt = 0
  private leaseUntil = -Infinity
  private actingFrom = Infinity
  private promisedUntil = -Infinity
  private claimPending = false
  private claimRetryAt = 0
  private lastRenewalSentAt = -Infinity
  private readonly sentRenewals: Array<{ identity: string, sentAt: number, electors: readonly Holder[] }> = []
  private renewalsSent = 0
  private round: PromiseRound | undefined
  private nextRequest = 1

  constructor (readonly failureDomain: string, readonly self: Holder, private readonly timings: OwnershipTimings = OWNERSHIP_TIMINGS) {}

  get term (): number {
    return this.currentTerm
  }

  get currentOwner (): Holder | undefined {
    return this.released ? undefined : this.owner
  }

  /** Whether this instance may act as owner now. To be asked right before each act. */
  isOwner (now: number): boolean {
    return this.holdsTerm() && now >= this.actingFrom && now < this.leaseUntil
  }

  /** End of the own lease in monotonic milliseconds; -Infinity if there is none. */
  get leaseEnd (): number {
    return this.holdsTerm() ? this.leaseUntil : -Infinity
  }

  /** Entry instances of the failure domain that have joined, by the log. */
  get members (): readonly Holder[] {
    return [...this.joined.values()]
  }

  /** Takes note of a record in log order. */
  onRecord (record: StoredRecord, now: number): void {
    const { body } = record
    switch (body.type) {
      case 'instanceJoined':
        this.joined.set(body.instance, { instance: body.instance, incarnation: body.incarnation })
        return
      case 'ownershipClaimed':
        this.onClaim(body, now)
        return
      case 'ownershipRenewed':
        if (body.term === this.currentTerm && this.isHeldBy(body)) this.onRenewal(record.identity, body.electors, now)
        return
      case 'ownershipReleased':
        if (body.term === this.currentTerm && this.isHeldBy(body)) this.released = true
    }
  }

  /** Answers an owner's request for a promise not to claim for `durationMilliseconds`. */
  onPromiseRequest (term: number, durationMilliseconds: number, now: number): boolean {
    if (term !== this.currentTerm || this.claimPending || this.released) return false
    this.promisedUntil = Math.max(this.promisedUntil, now + durationMilliseconds + this.timings.driftMargin)
    return true
  }

  /** Takes note of an elector's answer. The lease is extended once all electors have promised. */
  onPromise (elector: Holder, request: number, granted: boolean): void {
    const round = this.round
    if (round === undefined || round.request !== request || !granted || !this.holdsTerm()) return
    round.missing.delete(holderKey(elector))
    if (round.missing.size > 0) return
    this.round = undefined
    this.leaseUntil = Math.max(this.leaseUntil, round.askedAt + this.timings.lease)
  }

  /** Returns what is to be done now. To be called several times a renewal period. */
  tick (now: number, view: OwnershipView): OwnershipAction[] {
    if (this.holdsTerm()) return this.tickAsOwner(now)
    return this.tickAsElector(now, view)
  }

  /** Returns the record that gives ownership up on a planned stop, or undefined if not owner. */
  release (): RecordBody | undefined {
    if (!this.holdsTerm()) return undefined
    this.leaseUntil = -Infinity
    return { type: 'ownershipReleased', failureDomain: this.failureDomain, ...this.self, term: this.currentTerm }
  }

  /** Notes that an append of a claim has failed for good, so that another may be made. */
  claimAbandoned (): void {
    this.claimPending = false
  }

  private onClaim (body: Extract<RecordBody, { type: 'ownershipClaimed' }>, now: number): void {
    const own = body.instance === this.self.instance && body.incarnation === this.self.incarnation
    if (own) this.claimPending = false
    const entitled = this.released || body.ownerAndElectorsGone || this.electors.some(elector => elector.instance === body.instance && elector.incarnation === body.incarnation)
    if (body.afterTerm !== this.currentTerm || !entitled) return
    const waitUntil = this.released ? now : Math.max(this.ownerSeenAt + this.timings.lease + this.timings.driftMargin, this.promisedUntil)
    this.currentTerm += 1
    this.owner = { instance: body.instance, incarnation: body.incarnation }
    this.released = false
    this.electors = body.electors
    this.ownerSeenAt = now
    this.round = undefined
    this.sentRenewals.length = 0
    if (!own) return
    this.actingFrom = waitUntil
    this.leaseUntil = -Infinity
    this.lastRenewalSentAt = -Infinity
  }

  private onRenewal (identity: string, electors: readonly Holder[], now: number): void {
    this.electors = electors
    this.ownerSeenAt = now
    if (!this.holdsTerm()) return
    const index = this.sentRenewals.findIndex(renewal => renewal.identity === identity)
    const confirmed = this.sentRenewals.splice(0, index + 1).pop()
    if (confirmed !== undefined) this.leaseUntil = Math.max(this.leaseUntil, confirmed.sentAt + this.timings.lease)
  }

  private tickAsOwner (now: number): OwnershipAction[] {
    const actions: OwnershipAction[] = []
    if (now - this.lastRenewalSentAt >= this.timings.renewal) {
      this.lastRenewalSentAt = now
      const electors = this.knownElectors()
      const identity = `renewal:${this.self.incarnation}:${++this.renewalsSent}`
      this.sentRenewals.push({ identity, sentAt: now, electors })
      this.mergeOldRenewals()
      const body: RecordBody = { type: 'ownershipRenewed', failureDomain: this.failureDomain, ...this.self, term: this.currentTerm, electors: [...electors] }
      actions.push({ kind: 'append', body, identity, sentAtMilliseconds: now })
    }
    const remaining = this.leaseUntil - now
    const roundIsOld = this.round === undefined || now - this.round.askedAt >= this.timings.renewal
    if (remaining < this.timings.lease / 2 && remaining > 0 && roundIsOld) actions.push(...this.askForPromises(now))
    return actions
  }

  /** A renewal that was given up may still take effect, so its electors are kept although its own time is not. */
  private mergeOldRenewals (): void {
    if (this.sentRenewals.length <= MAXIMUM_UNCONFIRMED_RENEWALS) return
    const [oldest, next] = this.sentRenewals.splice(0, 2) as [{ electors: readonly Holder[] }, { identity: string, sentAt: number, electors: readonly Holder[] }]
    const electors = new Map([...oldest.electors, ...next.electors].map(elector => [holderKey(elector), elector]))
    this.sentRenewals.unshift({ ...next, electors: [...electors.values()] })
  }

  /** Every instance that may claim by a renewal that was confirmed or sent must promise. */
  private askForPromises (now: number): OwnershipAction[] {
    const all = new Map<string, Holder>()
    for (const electors of [this.electors, ...this.sentRenewals.map(renewal => renewal.electors)]) {
      for (const elector of electors) all.set(holderKey(elector), elector)
    }
    const request = this.nextRequest++
    this.round = { request, askedAt: now, missing: new Set(all.keys()) }
    if (all.size === 0) {
      this.round = undefined
      this.leaseUntil = now + this.timings.lease
      return []
    }
    return [{ kind: 'requestPromises', electors: [...all.values()], request, durationMilliseconds: this.timings.lease }]
  }

  private tickAsElector (now: number, view: OwnershipView): OwnershipAction[] {
    if (this.claimPending || now < this.claimRetryAt || now < this.promisedUntil) return []
    const silentFor = now - this.ownerSeenAt
    const takeoverAfter = this.timings.lease + this.timings.driftMargin
    const isElector = this.electors.some(elector => holderKey(elector) === holderKey(this.self))
    let ownerAndElectorsGone = false
    if (!this.released) {
      if (silentFor < takeoverAfter) return []
      if (!isElector) {
        ownerAndElectorsGone = [this.owner as Holder, ...this.electors].every(holder => view.isGone(holder))
        if (!ownerAndElectorsGone) return []
      }
    }
    this.claimPending = true
    this.claimRetryAt = now + this.timings.renewal
    const body: RecordBody = {
      type: 'ownershipClaimed',
      failureDomain: this.failureDomain,
      ...this.self,
      afterTerm: this.currentTerm,
      electors: [...this.knownElectors()],
      ownerAndElectorsGone
    }
    return [{ kind: 'append', body, sentAtMilliseconds: now }]
  }

  private knownElectors (): readonly Holder[] {
    return this.members.filter(member => member.instance !== this.self.instance)
  }

  private holdsTerm (): boolean {
    return !this.released && this.owner !== undefined && holderKey(this.owner) === holderKey(this.self)
  }

  private isHeldBy (holder: Holder): boolean {
    return !this.released && this.owner !== undefined && holderKey(this.owner) === holderKey(holder)
  }
}
