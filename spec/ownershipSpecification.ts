/**
 * Specification of the ownership of one failure domain as a pure transition function, small enough to be explored exhaustively.
 * All clocks advance together in ticks, except that one clock may miss one tick per lease (drift).
 * Pauses, lag and a partition from the log need no events of their own: an instance that does nothing, reads nothing
 * or whose appends are never stored is paused, lagging or partitioned.
 */

/** Ways to weaken the protocol. The model check must find each of them. */
export type OwnershipFault =
  | 'noDriftMargin' | 'leaseFromAfterAppend' | 'takeoverWithoutWaiting' | 'majorityOfPromises'
  | 'confirmedElectorsOnly' | 'claimUnderPromise' | 'promiseAfterAbandonedClaim' | 'renewalsWithoutNumber'
  | 'renewalRevivesReleased' | 'listDropsLivingInstances'

/** Behaviour of the owner when it cannot renew its lease in the log. */
export type OutageRule = 'promises' | 'stopAtLeaseEnd' | 'leaseFree'

/** Bounds of one exploration. Instance 0 is the owner of term 1 in the initial state. */
export interface OwnershipBounds {
  readonly instances: number
  /** Electors of term 1, as a bit set of identities. */
  readonly electors: number
  /** Maximum number of records that some live instance has not read yet. */
  readonly unread: number
  /** Maximum number of unconfirmed renewals of one owner. */
  readonly unconfirmed: number
  /** Maximum number of records of one instance whose append is in flight. */
  readonly inFlight: number
  /** Last term that is explored. */
  readonly terms: number
  /** Instances from this index on neither renew nor request promises; in the last term they count as owner as soon as they may act. */
  readonly passiveFrom: number
  readonly crashes: number
  readonly releases: number
  /** Index of the instance whose clock may miss ticks, or -1. */
  readonly slowClock: number
  /** Whether the slow clock may miss one tick in each lease; otherwise it misses at most one in total. */
  readonly repeatedDrift: boolean
  readonly outageRule: OutageRule
  readonly fault?: OwnershipFault
}

export const LEASE_TICKS = 2
export const MARGIN_TICKS = 1

/** `by` is the identity of the writer, `after` the term that a claim succeeds, and `electors` a bit set of identities. */
export type OwnershipLogRecord =
  | { readonly kind: 'claim', readonly by: number, readonly after: number, readonly electors: number, readonly ownerAndElectorsGone: boolean }
  | { readonly kind: 'renewal', readonly by: number, readonly term: number, readonly number: number, readonly electors: number }
  | { readonly kind: 'release', readonly by: number, readonly term: number }

interface SentRenewal {
  readonly number: number
  readonly electors: number
  /** Remaining lease ticks if the renewal is confirmed now. */
  readonly leaseTicks: number
}

/** State of one process. A restart changes its identity. */
export interface InstanceState {
  readonly identity: number
  readonly up: boolean
  /** Number of records of `log` that this instance has read. */
  readonly recordsRead: number
  readonly leaseTicks: number
  /** Ticks until the lease of the owner has certainly expired: lease and margin after its last record. */
  readonly ownerExpiryWait: number
  /** Ticks until this instance may act in the term it has claimed. */
  readonly takeoverWait: number
  /** Ticks until the promise of this instance not to claim expires. */
  readonly promiseTicks: number
  /** Term in which this instance has sent a claim; 0 if none. */
  readonly lastClaimedTerm: number
  readonly resigned: boolean
  readonly sentRenewals: readonly SentRenewal[]
  readonly inFlight: readonly OwnershipLogRecord[]
  readonly promiseRound: { readonly ticksLeft: number, readonly missing: number } | undefined
}

export interface OwnershipState {
  /** State decided by the records that every live instance has read. */
  readonly base: LogView
  /** Records after `base`. */
  readonly log: readonly OwnershipLogRecord[]
  readonly instances: readonly InstanceState[]
  readonly crashes: number
  readonly releases: number
  /** Ticks until the slow clock may miss another tick. */
  readonly ticksToNextDrift: number
}

/** `at` and `by` are indexes of instances, `index` is a position among the records in flight. */
export type OwnershipEvent =
  | { readonly type: 'tick', readonly slow: boolean }
  | { readonly type: 'read' | 'requestPromises' | 'crash' | 'restart' | 'claim' | 'release', readonly at: number }
  | { readonly type: 'append', readonly at: number, readonly index: number }
  | { readonly type: 'renew', readonly at: number, readonly electors: number }
  | { readonly type: 'grant', readonly at: number, readonly by: number }

/** State decided by a prefix of the log. */
export interface LogView {
  readonly term: number
  readonly owner: number
  readonly released: boolean
  readonly electors: number
  readonly lastRenewal: number
}

const has = (set: number, identity: number): boolean => (set & (1 << identity)) !== 0
const setOf = (identity: number): number => 1 << identity

/** Applies a record. Returns the same view if the record has no effect. */
export function decideRecord (view: LogView, record: OwnershipLogRecord, fault?: OwnershipFault): LogView {
  switch (record.kind) {
    case 'claim':
      if (record.after !== view.term || !(view.released || record.ownerAndElectorsGone || has(view.electors, record.by))) return view
      return { term: view.term + 1, owner: record.by, released: false, electors: record.electors, lastRenewal: 0 }
    case 'renewal':
      if (record.term !== view.term || record.by !== view.owner) return view
      if (view.released && fault !== 'renewalRevivesReleased') return view
      if (record.number <= view.lastRenewal && fault !== 'renewalsWithoutNumber') return view
      return { ...view, released: false, electors: record.electors, lastRenewal: record.number }
    case 'release':
      return record.term === view.term && record.by === view.owner ? { ...view, released: true } : view
  }
}

export function initialOwnershipState (bounds: OwnershipBounds): OwnershipState {
  const instances = Array.from({ length: bounds.instances }, (_, identity): InstanceState => ({
    identity,
    up: true,
    recordsRead: 0,
    leaseTicks: identity === 0 ? LEASE_TICKS : 0,
    ownerExpiryWait: identity === 0 ? 0 : LEASE_TICKS + MARGIN_TICKS,
    takeoverWait: 0,
    promiseTicks: 0,
    lastClaimedTerm: 0,
    resigned: false,
    sentRenewals: [],
    inFlight: [],
    promiseRound: undefined
  }))
  const base: LogView = { term: 1, owner: 0, released: false, electors: bounds.electors, lastRenewal: 0 }
  return { base, log: [], instances, crashes: 0, releases: 0, ticksToNextDrift: 0 }
}

/** Transition function and possible events under given bounds. */
export class OwnershipSpecification {
  private readonly margin: number

  constructor (readonly bounds: OwnershipBounds) {
    this.margin = bounds.fault === 'noDriftMargin' ? 0 : MARGIN_TICKS
  }

  view (state: OwnershipState, at: number): LogView {
    return this.viewOf(state, state.instances[at]?.recordsRead ?? 0)
  }

  holdsTerm (state: OwnershipState, at: number): boolean {
    const view = this.view(state, at)
    return !view.released && view.owner === state.instances[at]?.identity
  }

  /** Returns whether the instance may act as owner now. */
  isOwner (state: OwnershipState, at: number): boolean {
    const self = state.instances[at] as InstanceState
    if (!self.up || self.resigned || self.takeoverWait > 0 || !this.holdsTerm(state, at)) return false
    return self.leaseTicks > 0 || (at >= this.bounds.passiveFrom && this.view(state, at).term === this.bounds.terms) || this.bounds.outageRule === 'leaseFree'
  }

  owners (state: OwnershipState): number[] {
    return state.instances.flatMap((_, at) => this.isOwner(state, at) ? [at] : [])
  }

  /** Returns the events that are possible in a state. */
  events (state: OwnershipState): OwnershipEvent[] {
    const events: OwnershipEvent[] = [{ type: 'tick', slow: false }]
    if (this.bounds.slowClock >= 0 && state.ticksToNextDrift === 0) events.push({ type: 'tick', slow: true })
    state.instances.forEach((self, at) => {
      self.inFlight.forEach((_, index) => {
        if (state.log.length < this.bounds.unread) events.push({ type: 'append', at, index })
      })
      if (!self.up) {
        events.push({ type: 'restart', at })
        return
      }
      if (self.recordsRead < state.log.length) events.push({ type: 'read', at })
      if (state.crashes < this.bounds.crashes) events.push({ type: 'crash', at })
      if (this.mayClaim(state, at)) events.push({ type: 'claim', at })
      if (at < this.bounds.passiveFrom && this.holdsTerm(state, at) && !self.resigned) events.push(...this.ownerEvents(state, at))
    })
    return events
  }

  /** The transition function. */
  next (state: OwnershipState, event: OwnershipEvent): OwnershipState {
    return this.compact(this.apply(state, event))
  }

  private apply (state: OwnershipState, event: OwnershipEvent): OwnershipState {
    switch (event.type) {
      case 'tick':
        return this.tick(state, event.slow)
      case 'read':
        return this.replace(state, event.at, this.readAll(state, event.at))
      case 'renew': {
        const self = state.instances[event.at] as InstanceState
        const number = this.lastRenewalNumber(state, event.at) + 1
        const record = { kind: 'renewal' as const, by: self.identity, term: this.view(state, event.at).term, number, electors: event.electors }
        const sentRenewals = [...self.sentRenewals, { number, electors: event.electors, leaseTicks: LEASE_TICKS }]
        return this.replace(state, event.at, { ...self, sentRenewals, inFlight: this.addInFlight(self, record) })
      }
      case 'append': {
        const self = state.instances[event.at] as InstanceState
        const record = self.inFlight[event.index] as OwnershipLogRecord
        const rest = this.replace(state, event.at, { ...self, inFlight: self.inFlight.filter((_, index) => index !== event.index) })
        return { ...rest, log: [...state.log, record] }
      }
      case 'requestPromises':
        return this.startPromiseRound(state, event.at)
      case 'grant':
        return this.grantPromise(state, event.at, event.by)
      case 'claim': {
        const self = state.instances[event.at] as InstanceState
        const { term } = this.view(state, event.at)
        const others = state.instances.reduce((set, other, index) => index === event.at || !other.up ? set : set | setOf(other.identity), 0)
        const record = { kind: 'claim' as const, by: self.identity, after: term, electors: others, ownerAndElectorsGone: this.ownerAndElectorsGone(state, event.at) }
        return this.replace(state, event.at, { ...self, lastClaimedTerm: term, inFlight: this.addInFlight(self, record) })
      }
      case 'release': {
        const self = state.instances[event.at] as InstanceState
        const record = { kind: 'release' as const, by: self.identity, term: this.view(state, event.at).term }
        return { ...this.replace(state, event.at, { ...self, resigned: true, leaseTicks: 0, promiseRound: undefined, inFlight: this.addInFlight(self, record) }), releases: state.releases + 1 }
      }
      case 'crash': {
        const self = state.instances[event.at] as InstanceState
        const crashed: InstanceState = { ...self, up: false, recordsRead: 0, leaseTicks: 0, ownerExpiryWait: 0, takeoverWait: 0, promiseTicks: 0, lastClaimedTerm: 0, resigned: false, sentRenewals: [], promiseRound: undefined }
        return { ...this.replace(state, event.at, crashed), crashes: state.crashes + 1 }
      }
      case 'restart': {
        const self = state.instances[event.at] as InstanceState
        return this.replace(state, event.at, { ...self, up: true, identity: self.identity + this.bounds.instances, ownerExpiryWait: LEASE_TICKS + this.margin })
      }
    }
  }

  /** Adds a record to those in flight. Above the bound, the oldest record is lost. */
  private addInFlight (self: InstanceState, record: OwnershipLogRecord): OwnershipLogRecord[] {
    return [...self.inFlight, record].slice(-this.bounds.inFlight)
  }

  private lastRenewalNumber (state: OwnershipState, at: number): number {
    const self = state.instances[at] as InstanceState
    return Math.max(this.view(state, at).lastRenewal, ...self.sentRenewals.map(renewal => renewal.number))
  }

  private ownerEvents (state: OwnershipState, at: number): OwnershipEvent[] {
    const self = state.instances[at] as InstanceState
    const events: OwnershipEvent[] = []
    if (self.sentRenewals.length < this.bounds.unconfirmed) {
      const others = state.instances.filter((_, index) => index !== at).reduce((set, other) => set | setOf(other.identity), 0)
      events.push({ type: 'renew', at, electors: others })
      const current = this.view(state, at).electors
      if (current !== others) events.push({ type: 'renew', at, electors: current })
    }
    if (state.releases < this.bounds.releases) events.push({ type: 'release', at })
    if (this.bounds.outageRule === 'promises' && (self.promiseRound === undefined || self.promiseRound.ticksLeft < LEASE_TICKS)) events.push({ type: 'requestPromises', at })
    const { promiseRound } = self
    if (promiseRound === undefined) return events
    state.instances.forEach((other, by) => {
      if (other.up && has(promiseRound.missing, other.identity) && this.mayPromise(state, at, by)) events.push({ type: 'grant', at, by })
    })
    return events
  }

  private mayPromise (state: OwnershipState, at: number, by: number): boolean {
    const other = state.instances[by] as InstanceState
    const view = this.view(state, by)
    if (view.term !== this.view(state, at).term || view.released) return false
    if (other.lastClaimedTerm !== view.term) return true
    return this.bounds.fault === 'promiseAfterAbandonedClaim'
  }

  private mayClaim (state: OwnershipState, at: number): boolean {
    const self = state.instances[at] as InstanceState
    const view = this.view(state, at)
    if (view.term >= this.bounds.terms || self.lastClaimedTerm === view.term || this.holdsTerm(state, at)) return false
    if (view.released) return true
    if (self.ownerExpiryWait > 0) return false
    if (self.promiseTicks > 0 && this.bounds.fault !== 'claimUnderPromise') return false
    return has(view.electors, self.identity) || this.ownerAndElectorsGone(state, at)
  }

  /** Returns whether the platform's instance list contains neither the owner nor any elector. The list removes only processes that have ended. */
  private ownerAndElectorsGone (state: OwnershipState, at: number): boolean {
    const view = this.view(state, at)
    if (view.released || has(view.electors, (state.instances[at] as InstanceState).identity)) return false
    const ownerAndElectors = view.electors | setOf(view.owner)
    if (this.bounds.fault === 'listDropsLivingInstances') return true
    return !state.instances.some(other => other.up && has(ownerAndElectors, other.identity))
  }

  private startPromiseRound (state: OwnershipState, at: number): OwnershipState {
    const self = state.instances[at] as InstanceState
    const confirmed = this.view(state, at).electors
    const all = this.bounds.fault === 'confirmedElectorsOnly' ? confirmed : self.sentRenewals.reduce((set, renewal) => set | renewal.electors, confirmed)
    const missing = all & ~setOf(self.identity)
    if (missing === 0) return this.replace(state, at, { ...self, leaseTicks: LEASE_TICKS, promiseRound: undefined })
    return this.replace(state, at, { ...self, promiseRound: { ticksLeft: LEASE_TICKS, missing } })
  }

  private grantPromise (state: OwnershipState, at: number, by: number): OwnershipState {
    const self = state.instances[at] as InstanceState
    const other = state.instances[by] as InstanceState
    const round = self.promiseRound as NonNullable<InstanceState['promiseRound']>
    const missing = round.missing & ~setOf(other.identity)
    const promised = this.replace(state, by, { ...other, promiseTicks: LEASE_TICKS + this.margin })
    const enough = missing === 0 || this.bounds.fault === 'majorityOfPromises'
    const owner: InstanceState = enough ? { ...self, leaseTicks: Math.max(self.leaseTicks, round.ticksLeft), promiseRound: undefined } : { ...self, promiseRound: { ...round, missing } }
    return this.replace(promised, at, owner)
  }

  private readAll (state: OwnershipState, at: number): InstanceState {
    let self = state.instances[at] as InstanceState
    for (let index = self.recordsRead; index < state.log.length; index += 1) self = this.applyRecord(state, self, index)
    return self
  }

  private applyRecord (state: OwnershipState, self: InstanceState, index: number): InstanceState {
    const before = this.viewOf(state, index)
    const after = decideRecord(before, state.log[index] as OwnershipLogRecord, this.bounds.fault)
    const recordsRead = index + 1
    if (after === before) return { ...self, recordsRead }
    const expiryWait = LEASE_TICKS + this.margin
    if (after.term !== before.term) {
      const own = after.owner === self.identity
      const wait = before.released || this.bounds.fault === 'takeoverWithoutWaiting' ? 0 : Math.max(self.ownerExpiryWait, this.bounds.fault === 'claimUnderPromise' ? 0 : self.promiseTicks)
      return { ...self, recordsRead, ownerExpiryWait: own ? 0 : expiryWait, leaseTicks: 0, takeoverWait: own ? wait : 0, sentRenewals: [], promiseRound: undefined, resigned: false, lastClaimedTerm: 0 }
    }
    if (after.released) return { ...self, recordsRead }
    if (after.owner !== self.identity) return { ...self, recordsRead, ownerExpiryWait: expiryWait }
    const confirmed = self.sentRenewals.find(renewal => renewal.number === after.lastRenewal)
    const gained = this.bounds.fault === 'leaseFromAfterAppend' ? LEASE_TICKS : confirmed?.leaseTicks ?? 0
    const sentRenewals = self.sentRenewals.filter(renewal => renewal.number > after.lastRenewal)
    return { ...self, recordsRead, sentRenewals, leaseTicks: self.resigned && this.bounds.fault !== 'renewalRevivesReleased' ? 0 : Math.max(self.leaseTicks, gained), resigned: self.resigned && this.bounds.fault !== 'renewalRevivesReleased' }
  }

  private tick (state: OwnershipState, slow: boolean): OwnershipState {
    const instances = state.instances.map((self, at) => slow && at === this.bounds.slowClock ? self : advanceTick(self))
    return { ...state, instances, ticksToNextDrift: slow ? (this.bounds.repeatedDrift ? LEASE_TICKS : Infinity) : Math.max(0, state.ticksToNextDrift - 1) }
  }

  private viewOf (state: OwnershipState, read: number): LogView {
    let view = state.base
    for (let index = 0; index < read; index += 1) view = decideRecord(view, state.log[index] as OwnershipLogRecord, this.bounds.fault)
    return view
  }

  /** Folds the records that every live instance has read into the base, and drops records in flight that can no longer have an effect. */
  private compact (state: OwnershipState): OwnershipState {
    const readByAll = state.instances.reduce((least, self) => self.up ? Math.min(least, self.recordsRead) : least, state.log.length)
    const base = this.viewOf(state, readByAll)
    const instances = state.instances.map(self => ({
      ...self,
      recordsRead: Math.max(0, self.recordsRead - readByAll),
      inFlight: self.inFlight.filter(record => this.mayHaveEffect(base, record))
    }))
    return { ...state, base, log: state.log.slice(readByAll), instances }
  }

  private mayHaveEffect (base: LogView, record: OwnershipLogRecord): boolean {
    if (record.kind === 'claim') return record.after >= base.term
    if (record.term < base.term) return false
    return record.kind === 'release' || record.number > base.lastRenewal || this.bounds.fault === 'renewalsWithoutNumber'
  }

  private replace (state: OwnershipState, at: number, self: InstanceState): OwnershipState {
    return { ...state, instances: state.instances.map((other, index) => index === at ? self : other) }
  }
}

/**
 * Returns the key of a state. Equivalent states share one key: terms and renewal numbers are relative to the base, and only the
 * longer of `ownerExpiryWait` and `promiseTicks` counts, because a claim waits for both. Interchangeable instances are put into a fixed order.
 */
export function serializeOwnership (state: OwnershipState, bounds: OwnershipBounds, interchangeable?: readonly [number, number]): string {
  const promisesMatter = bounds.fault === 'claimUnderPromise'
  const key = keyOf(state, promisesMatter)
  if (interchangeable === undefined) return key
  const other = keyOf(swapInstances(state, ...interchangeable), promisesMatter)
  return other < key ? other : key
}

function keyOf (state: OwnershipState, promisesMatter: boolean): string {
  const numbers = [state.base.lastRenewal, ...state.instances.flatMap(self => self.sentRenewals.map(renewal => renewal.number))]
  for (const record of [...state.log, ...state.instances.flatMap(self => self.inFlight)]) if (record.kind === 'renewal') numbers.push(record.number)
  const ranks = [...new Set(numbers)].sort((left, right) => left - right)
  const { base } = state
  const recordKey = (record: OwnershipLogRecord): string => record.kind === 'renewal'
    ? `n${record.by},${record.term - base.term},${ranks.indexOf(record.number)},${record.electors}`
    : record.kind === 'claim' ? `c${record.by},${record.after - base.term},${record.electors},${record.ownerAndElectorsGone}` : `e${record.by},${record.term - base.term}`
  const instances = state.instances.map(self => [
    self.identity, self.up, self.recordsRead, self.leaseTicks, promisesMatter ? `${self.ownerExpiryWait},${self.promiseTicks}` : Math.max(self.ownerExpiryWait, self.promiseTicks), self.takeoverWait, self.lastClaimedTerm === 0 ? '' : Math.max(-1, self.lastClaimedTerm - base.term), self.resigned,
    self.sentRenewals.map(renewal => `${ranks.indexOf(renewal.number)},${renewal.electors},${renewal.leaseTicks}`).join(';'), self.inFlight.map(recordKey).join(';'), self.promiseRound === undefined ? '' : `${self.promiseRound.ticksLeft},${self.promiseRound.missing}`
  ].join(' '))
  return [base.owner, base.released, base.electors, ranks.indexOf(base.lastRenewal), state.crashes, state.releases, state.ticksToNextDrift, ...state.log.map(recordKey), '', ...instances].join('|')
}

/** Returns the same state with two instances swapped. */
function swapInstances (state: OwnershipState, first: number, second: number): OwnershipState {
  const count = state.instances.length
  const identity = (old: number): number => {
    const at = old % count
    return at === first ? old - first + second : at === second ? old - second + first : old
  }
  const set = (old: number): number => {
    let changed = 0
    for (let bit = 0; bit < 2 * count; bit += 1) if (has(old, bit)) changed |= setOf(identity(bit))
    return changed
  }
  const record = (old: OwnershipLogRecord): OwnershipLogRecord => old.kind === 'release' ? { ...old, by: identity(old.by) } : { ...old, by: identity(old.by), electors: set(old.electors) }
  const instances = state.instances.map(self => ({
    ...self,
    identity: identity(self.identity),
    sentRenewals: self.sentRenewals.map(renewal => ({ ...renewal, electors: set(renewal.electors) })),
    inFlight: self.inFlight.map(record),
    promiseRound: self.promiseRound === undefined ? undefined : { ...self.promiseRound, missing: set(self.promiseRound.missing) }
  }))
  const ordered = instances.map((_, at) => instances[at === first ? second : at === second ? first : at] as InstanceState)
  return { ...state, base: { ...state.base, owner: identity(state.base.owner), electors: set(state.base.electors) }, log: state.log.map(record), instances: ordered }
}

function advanceTick (self: InstanceState): InstanceState {
  const decrement = (ticks: number): number => Math.max(0, ticks - 1)
  return {
    ...self,
    leaseTicks: decrement(self.leaseTicks),
    ownerExpiryWait: decrement(self.ownerExpiryWait),
    takeoverWait: decrement(self.takeoverWait),
    promiseTicks: decrement(self.promiseTicks),
    sentRenewals: self.sentRenewals.map(renewal => ({ ...renewal, leaseTicks: decrement(renewal.leaseTicks) })),
    promiseRound: self.promiseRound === undefined || self.promiseRound.ticksLeft <= 1 ? undefined : { ...self.promiseRound, ticksLeft: self.promiseRound.ticksLeft - 1 }
  }
}
