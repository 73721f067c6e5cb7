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

function holderOf (identity: number): InstanceIdentity {
  return { instance: `entry-${identity}`, incarnation: `incarnation-${identity}` }
}

function holdersOf (set: number): InstanceIdentity[] {
  return Array.from({ length: 16 }, (_, identity) => identity).filter(identity => (set & (1 << identity)) !== 0).map(holderOf)
}

/** Runs `Ownership` in the place of every instance of the specification, with the same events and clocks. */
class CodeUnderTest {
  private readonly records: StoredRecord[] = []
  private readonly bodies = new Map<OwnershipLogRecord, RecordBody>()
  private readonly clocks: number[]
  private readonly read: number[]
  private rules: Ownership[]

  constructor (private readonly specification: OwnershipSpecification) {
    const { instances, electors } = specification.bounds
    this.clocks = Array.from({ length: instances }, () => 0)
    this.read = Array.from({ length: instances }, () => 0)
    this.rules = this.clocks.map((_, identity) => this.create(identity))
    const owner = this.rules[0] as Ownership
    this.store(owner.startClaim(0, holdersOf(electors), { isGone: () => false }))
    this.readAll(0)
    this.store(owner.startRenewal(0, holdersOf(electors)) as RecordBody)
    this.rules.forEach((_, at) => this.readAll(at))
  }

  apply (before: OwnershipState, event: OwnershipEvent, after: OwnershipState): void {
    if (event.type === 'tick') {
      this.clocks.forEach((now, at) => { if (!event.slow || at !== this.specification.bounds.slowClock) this.clocks[at] = now + TICK_MILLISECONDS })
      return
    }
    const { at } = event
    const rules = this.rules[at] as Ownership
    const now = this.clocks[at] as number
    const launched = after.instances[at]?.inFlight.at(-1) as OwnershipLogRecord
    switch (event.type) {
      case 'read':
        this.readAll(at)
        return
      case 'land':
        this.store(this.bodies.get((before.instances[at] as InstanceState).inFlight[event.index] as OwnershipLogRecord) as RecordBody)
        return
      case 'renew':
        this.bodies.set(launched, rules.startRenewal(now, holdersOf(event.electors)) as RecordBody)
        return
      case 'claim':
        this.bodies.set(launched, rules.startClaim(now, holdersOf((launched as { electors: number }).electors), this.view(before)))
        return
      case 'release':
        this.bodies.set(launched, rules.release() as RecordBody)
        return
      case 'ask':
        rules.startPromiseRound(now)
        return
      case 'grant': {
        const granted = (this.rules[event.by] as Ownership).onPromiseRequest(rules.term, TIMINGS.lease, this.clocks[event.by] as number)
        assert.equal(granted, true, 'the specification grants the promise')
        rules.onPromise((this.rules[event.by] as Ownership).self, this.rounds[at] as number, granted)
        return
      }
      case 'crash':
        return
      case 'restart':
        this.rules[at] = this.create((after.instances[at] as InstanceState).identity)
        this.read[at] = 0
        this.readAll(at, this.records.length - after.log.length)
    }
  }

  /** Compares term, owner, right to act and right to claim. */
  compare (state: OwnershipState): void {
    const events = this.specification.events(state)
    state.instances.forEach((self, at) => {
      if (!self.up) return
      const rules = this.rules[at] as Ownership
      const view = this.specification.view(state, at)
      const now = this.clocks[at] as number
      assert.equal(rules.term, view.term)
      assert.deepEqual(rules.currentOwner, view.released ? undefined : holderOf(view.owner))
      assert.equal(rules.isOwner(now), this.specification.isOwner(state, at), `right of ${at} to act`)
      assert.equal(rules.leaseEnd > now, this.specification.holdsTerm(state, at) && self.leaseTicks > 0, `lease of ${at}`)
      const claimedBefore = self.lastClaimedTerm === view.term
      if (!claimedBefore) assert.equal(rules.mayClaim(now, this.view(state)), events.some(event => event.type === 'claim' && event.at === at), `right of ${at} to claim`)
    })
  }

  private readonly rounds: number[] = []

  private create (identity: number): Ownership {
    const rules = new Ownership(DOMAIN, holderOf(identity), { leaseDuration: TIMINGS.lease, renewalInterval: TICK_MILLISECONDS, driftMargin: TIMINGS.margin })
    const at = identity % this.specification.bounds.instances
    const start = rules.startPromiseRound.bind(rules)
    rules.startPromiseRound = now => {
      const round = start(now)
      this.rounds[at] = round.request
      return round
    }
    return rules
  }

  private view (state: OwnershipState): { isGone: (holder: InstanceIdentity) => boolean } {
    return { isGone: holder => !state.instances.some(self => self.up && holderOf(self.identity).incarnation === holder.incarnation) }
  }

  private store (body: RecordBody): void {
    this.records.push({ offset: this.records.length, identity: `record-${this.records.length}`, writer: '', logicalTime: 0, body })
  }

  private readAll (at: number, end = this.records.length): void {
    for (const record of this.records.slice(this.read[at], end)) (this.rules[at] as Ownership).onRecord(record, this.clocks[at] as number)
    this.read[at] = end
  }
}

const BOUNDS: OwnershipBounds = { instances: 3, electors: 0b010, unread: 4, unconfirmed: 4, inFlight: 2, terms: 50, passiveFrom: 3, crashes: 2, releases: 2, slowClock: 0, repeatedDrift: true, outageRule: 'promises' }

/** Guards against code and specification drifting apart, which would make the model check prove nothing about the code. */
describe('Ownership does what the specification does', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly seed: number, readonly bounds: OwnershipBounds }> = [
    { name: 'one elector and a newcomer', seed: 11, bounds: BOUNDS },
    { name: 'two electors, no release', seed: 12, bounds: { ...BOUNDS, electors: 0b110, releases: 0 } },
    { name: 'two instances', seed: 13, bounds: { ...BOUNDS, instances: 2, passiveFrom: 2 } }
  ]
  for (const { name, seed, bounds } of CASES) {
    it(`${name}: ${WALKS} walks of ${STEPS} steps, seed ${seed}`, context => {
      const random = new Random(seed)
      const specification = new OwnershipSpecification(bounds)
      const taken = new Map<string, number>()
      for (let walk = 0; walk < WALKS; walk += 1) {
        let state = initialOwnershipState(bounds)
        const code = new CodeUnderTest(specification)
        const trace: OwnershipEvent[] = []
        for (let step = 0; step < STEPS; step += 1) {
          const events = specification.events(state)
          const type = random.pick([...new Set(events.map(event => event.type))])
          const event = random.pick(events.filter(possible => possible.type === type))
          const next = specification.next(state, event)
          trace.push(event)
          taken.set(type, (taken.get(type) ?? 0) + 1)
          try {
            code.apply(state, event, next)
            code.compare(next)
          } catch (error) {
            throw new Error(`walk ${walk}, step ${step}: ${JSON.stringify(trace)}`, { cause: error })
          }
          state = next
        }
      }
      context.diagnostic([...taken].map(([type, count]) => `${type} ${count}`).join(', '))
    })
  }
})
