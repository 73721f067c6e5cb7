import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { initialOwnershipState, LEASE_TICKS, MARGIN_TICKS, OwnershipSpecification, type InstanceState, type OwnershipBounds, type OwnershipEvent, type OwnershipLogRecord, type OwnershipState } from '../../spec/ownershipSpecification.js'
import { Random } from '../../src/base/random.js'
import type { RecordBody, StoredRecord } from '../../src/contracts/records.js'
import { Ownership, type InstanceIdentity } from '../../src/zones/ownership.js'

const TICK_MILLISECONDS = 1000
const TIMINGS = { lease: LEASE_TICKS * TICK_MILLISECONDS, margin: MARGIN_TICKS * TICK_MILLISECONDS }
const DOMAIN = 'zone-a'
const WALKS = 400
const STEPS = 60

function identityOf (identity: number): InstanceIdentity {
  return { instance: `entry-${identity}`, incarnation: `incarnation-${identity}` }
}

function identitiesOf (set: number): InstanceIdentity[] {
  return Array.from({ length: 16 }, (_, identity) => identity).filter(identity => (set & (1 << identity)) !== 0).map(identityOf)
}

/** Drives one `Ownership` per instance of the specification, with the same events and clocks. */
class Implementation {
  private readonly records: StoredRecord[] = []
  private readonly bodies = new Map<OwnershipLogRecord, RecordBody>()
  private readonly clocks: number[]
  private readonly recordsRead: number[]
  private ownerships: Ownership[]

  constructor (private readonly specification: OwnershipSpecification) {
    const { instances, electors } = specification.bounds
    this.clocks = Array.from({ length: instances }, () => 0)
    this.recordsRead = Array.from({ length: instances }, () => 0)
    this.ownerships = this.clocks.map((_, identity) => this.create(identity))
    const owner = this.ownerships[0] as Ownership
    this.store(owner.startClaim(0, identitiesOf(electors), { isGone: () => false }))
    this.readAll(0)
    this.store(owner.startRenewal(0, identitiesOf(electors)) as RecordBody)
    this.ownerships.forEach((_, at) => this.readAll(at))
  }

  apply (before: OwnershipState, event: OwnershipEvent, after: OwnershipState): void {
    if (event.type === 'tick') {
      this.clocks.forEach((now, at) => { if (!event.slow || at !== this.specification.bounds.slowClock) this.clocks[at] = now + TICK_MILLISECONDS })
      return
    }
    const { at } = event
    const ownership = this.ownerships[at] as Ownership
    const now = this.clocks[at] as number
    const sentRecord = after.instances[at]?.inFlight.at(-1) as OwnershipLogRecord
    switch (event.type) {
      case 'read':
        this.readAll(at)
        return
      case 'append':
        this.store(this.bodies.get((before.instances[at] as InstanceState).inFlight[event.index] as OwnershipLogRecord) as RecordBody)
        return
      case 'renew':
        this.bodies.set(sentRecord, ownership.startRenewal(now, identitiesOf(event.electors)) as RecordBody)
        return
      case 'claim':
        this.bodies.set(sentRecord, ownership.startClaim(now, identitiesOf((sentRecord as { electors: number }).electors), this.view(before)))
        return
      case 'release':
        this.bodies.set(sentRecord, ownership.release() as RecordBody)
        return
      case 'requestPromises':
        ownership.startPromiseRound(now)
        return
      case 'grant': {
        const granted = (this.ownerships[event.by] as Ownership).onPromiseRequest(ownership.term, TIMINGS.lease, this.clocks[event.by] as number)
        assert.equal(granted, true, 'the specification grants the promise')
        ownership.onPromise((this.ownerships[event.by] as Ownership).self, this.promiseRequests[at] as number, granted)
        return
      }
      case 'crash':
        return
      case 'restart':
        this.ownerships[at] = this.create((after.instances[at] as InstanceState).identity)
        this.recordsRead[at] = 0
        this.readAll(at, this.records.length - after.log.length)
    }
  }

  /** Asserts that term, owner, lease, right to act and right to claim agree with the specification. */
  compare (state: OwnershipState): void {
    const events = this.specification.events(state)
    state.instances.forEach((self, at) => {
      if (!self.up) return
      const ownership = this.ownerships[at] as Ownership
      const view = this.specification.view(state, at)
      const now = this.clocks[at] as number
      assert.equal(ownership.term, view.term)
      assert.deepEqual(ownership.currentOwner, view.released ? undefined : identityOf(view.owner))
      assert.equal(ownership.isOwner(now), this.specification.isOwner(state, at), `right of ${at} to act`)
      assert.equal(ownership.leaseEnd > now, this.specification.holdsTerm(state, at) && self.leaseTicks > 0, `lease of ${at}`)
      const claimedBefore = self.lastClaimedTerm === view.term
      if (!claimedBefore) assert.equal(ownership.mayClaim(now, this.view(state)), events.some(event => event.type === 'claim' && event.at === at), `right of ${at} to claim`)
    })
  }

  private readonly promiseRequests: number[] = []

  private create (identity: number): Ownership {
    const ownership = new Ownership(DOMAIN, identityOf(identity), { leaseDuration: TIMINGS.lease, renewalInterval: TICK_MILLISECONDS, driftMargin: TIMINGS.margin })
    const at = identity % this.specification.bounds.instances
    const startPromiseRound = ownership.startPromiseRound.bind(ownership)
    ownership.startPromiseRound = now => {
      const round = startPromiseRound(now)
      this.promiseRequests[at] = round.request
      return round
    }
    return ownership
  }

  private view (state: OwnershipState): { isGone: (instance: InstanceIdentity) => boolean } {
    return { isGone: instance => !state.instances.some(self => self.up && identityOf(self.identity).incarnation === instance.incarnation) }
  }

  private store (body: RecordBody): void {
    this.records.push({ offset: this.records.length, identity: `record-${this.records.length}`, writer: '', logicalTime: 0, body })
  }

  private readAll (at: number, end = this.records.length): void {
    for (const record of this.records.slice(this.recordsRead[at], end)) (this.ownerships[at] as Ownership).onRecord(record, this.clocks[at] as number)
    this.recordsRead[at] = end
  }
}

const BOUNDS: OwnershipBounds = { instances: 3, electors: 0b010, unread: 4, unconfirmed: 4, inFlight: 2, terms: 50, passiveFrom: 3, crashes: 2, releases: 2, slowClock: 0, repeatedDrift: true, outageRule: 'promises' }

/** Guards against divergence of code and specification, which would make the model check meaningless for the code. */
describe('Ownership conforms to its specification', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly seed: number, readonly bounds: OwnershipBounds }> = [
    { name: 'one elector and a new instance', seed: 11, bounds: BOUNDS },
    { name: 'two electors, no release', seed: 12, bounds: { ...BOUNDS, electors: 0b110, releases: 0 } },
    { name: 'two instances', seed: 13, bounds: { ...BOUNDS, instances: 2, passiveFrom: 2 } }
  ]
  for (const { name, seed, bounds } of CASES) {
    it(`${name}: ${WALKS} walks of ${STEPS} steps, seed ${seed}`, context => {
      const random = new Random(seed)
      const specification = new OwnershipSpecification(bounds)
      const eventCounts = new Map<string, number>()
      for (let walk = 0; walk < WALKS; walk += 1) {
        let state = initialOwnershipState(bounds)
        const implementation = new Implementation(specification)
        const trace: OwnershipEvent[] = []
        for (let step = 0; step < STEPS; step += 1) {
          const events = specification.events(state)
          const type = random.pick([...new Set(events.map(event => event.type))])
          const event = random.pick(events.filter(possible => possible.type === type))
          const next = specification.next(state, event)
          trace.push(event)
          eventCounts.set(type, (eventCounts.get(type) ?? 0) + 1)
          try {
            implementation.apply(state, event, next)
            implementation.compare(next)
          } catch (error) {
            throw new Error(`walk ${walk}, step ${step}: ${JSON.stringify(trace)}`, { cause: error })
          }
          state = next
        }
      }
      context.diagnostic([...eventCounts].map(([type, count]) => `${type} ${count}`).join(', '))
    })
  }
})
