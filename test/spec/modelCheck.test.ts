import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConfigurationSpecification, INITIAL_CONFIGURATION, serializeConfiguration, type ConfigurationBounds, type ConfigurationFault } from '../../spec/configurationSpecification.js'
import { explore, type Exploration } from '../../spec/explore.js'
import { initialOwnershipState, OwnershipSpecification, serializeOwnership, type OwnershipBounds, type OwnershipEvent, type OwnershipFault, type OwnershipState } from '../../spec/ownershipSpecification.js'
import { INITIAL_TASK, TaskSpecification, type TaskBounds, type TaskFault } from '../../spec/taskSpecification.js'

const TWO: OwnershipBounds = { instances: 2, electors: 0b10, unread: 1, unconfirmed: 1, inFlight: 1, terms: 2, passiveFrom: 1, crashes: 0, releases: 0, slowClock: 0, repeatedDrift: false, outageRule: 'promises' }
/** Elector 1 and newcomer 2, which becomes an elector by a renewal. */
const NEWCOMER: OwnershipBounds = { ...TWO, instances: 3, slowClock: -1, passiveFrom: 1 }
const TWO_ELECTORS: OwnershipBounds = { ...TWO, instances: 3, electors: 0b110, passiveFrom: 1 }
const EXCHANGEABLE = [1, 2] as const

const CONFIGURATIONS: ReadonlyArray<{ readonly name: string, readonly bounds: OwnershipBounds, readonly exchangeable?: readonly [number, number] }> = [
  { name: 'two instances, both renew', bounds: { ...TWO, unread: 2, passiveFrom: 2 } },
  { name: 'two instances, drift in every lease', bounds: { ...TWO, unread: 2, repeatedDrift: true } },
  { name: 'two instances, two renewals on their way', bounds: { ...TWO, unconfirmed: 2, inFlight: 2 } },
  { name: 'two instances, one crash and restart, drift', bounds: { ...TWO, crashes: 1 } },
  { name: 'two instances, one release', bounds: { ...TWO, releases: 1, unread: 2 } },
  { name: 'a newcomer, renewals', bounds: NEWCOMER },
  { name: 'a newcomer, three terms, drift', bounds: { ...NEWCOMER, terms: 3, unread: 2, unconfirmed: 0, slowClock: 0 } },
  { name: 'a newcomer, one crash and restart, drift', bounds: { ...NEWCOMER, unconfirmed: 0, crashes: 1, slowClock: 0 } },
  { name: 'two electors, renewals, drift', bounds: TWO_ELECTORS, exchangeable: EXCHANGEABLE },
  { name: 'two electors, three terms, drift', bounds: { ...TWO_ELECTORS, terms: 3, unread: 2, unconfirmed: 0 }, exchangeable: EXCHANGEABLE }
]

const OWNERSHIP_FAULTS: ReadonlyArray<{ readonly fault: OwnershipFault, readonly bounds: OwnershipBounds }> = [
  { fault: 'noDriftMargin', bounds: TWO },
  { fault: 'leaseFromAfterAppend', bounds: TWO },
  { fault: 'takeoverWithoutWaiting', bounds: { ...TWO, unread: 2 } },
  { fault: 'majorityOfPromises', bounds: { ...TWO_ELECTORS, unconfirmed: 0 } },
  { fault: 'confirmedElectorsOnly', bounds: NEWCOMER },
  { fault: 'claimUnderPromise', bounds: TWO },
  { fault: 'promiseAfterAbandonedClaim', bounds: { ...NEWCOMER, terms: 3, unread: 2, unconfirmed: 0 } },
  { fault: 'renewalRevivesReleased', bounds: { ...TWO, releases: 1, inFlight: 2, unread: 2 } },
  { fault: 'listDropsLivingInstances', bounds: { ...NEWCOMER, unconfirmed: 0 } }
]

function exploreOwnership (bounds: OwnershipBounds, exchangeable?: readonly [number, number]): Exploration<OwnershipState> {
  const specification = new OwnershipSpecification(bounds)
  return explore<OwnershipState, OwnershipEvent>({
    initial: initialOwnershipState(bounds),
    next: (state, event) => specification.next(state, event),
    events: state => specification.events(state),
    serialize: state => serializeOwnership(state, bounds, exchangeable),
    invariantHolds: state => specification.owners(state).length <= 1
  })
}

function exploreConfiguration (bounds: ConfigurationBounds): Exploration<unknown> {
  const specification = new ConfigurationSpecification(bounds)
  return explore({ initial: INITIAL_CONFIGURATION, next: (state, event) => specification.next(state, event as never), events: state => specification.events(state) as never, serialize: serializeConfiguration, invariantHolds: state => specification.invariantHolds(state) })
}

function exploreTask (bounds: TaskBounds): Exploration<unknown> {
  const specification = new TaskSpecification(bounds)
  return explore({ initial: INITIAL_TASK, next: (state, event) => specification.next(state, event as never), events: state => specification.events(state) as never, serialize: state => JSON.stringify(state), invariantHolds: state => specification.invariantHolds(state) })
}

function assertHolds (found: Exploration<unknown>, report: (line: string) => void): void {
  assert.equal(found.violation, undefined, JSON.stringify(found.violation))
  report(`${found.states} states`)
}

describe('model check of ownership: at most one effective owner', () => {
  for (const { name, bounds, exchangeable } of CONFIGURATIONS) {
    it(name, context => assertHolds(exploreOwnership(bounds, exchangeable), line => context.diagnostic(line)))
  }
  for (const { fault, bounds } of OWNERSHIP_FAULTS) {
    it(`finds the seeded fault ${fault}`, () => assert.notEqual(exploreOwnership({ ...bounds, fault }).violation, undefined))
  }
})

/** The exhaustive search would need more than 40,000 states for this fault, so its trace is given. */
describe('an old renewal that lands after a newer one', () => {
  const TRACE: readonly OwnershipEvent[] = [
    { type: 'renew', at: 0, electors: 0b10 }, { type: 'renew', at: 0, electors: 0 }, { type: 'land', at: 0, index: 1 }, { type: 'read', at: 0 }, { type: 'read', at: 1 },
    { type: 'land', at: 0, index: 0 }, { type: 'read', at: 1 }, { type: 'tick', slow: false }, { type: 'tick', slow: false }, { type: 'ask', at: 0 }, { type: 'tick', slow: false },
    { type: 'claim', at: 1 }, { type: 'land', at: 1, index: 0 }, { type: 'read', at: 1 }
  ]
  for (const fault of [undefined, 'renewalsWithoutNumber'] as const) {
    it(fault === undefined ? 'has no effect' : `finds the seeded fault ${fault}`, () => {
      const specification = new OwnershipSpecification({ ...TWO, electors: 0, unread: 2, unconfirmed: 2, inFlight: 2, fault })
      let state = initialOwnershipState(specification.bounds)
      const impossible = TRACE.findIndex(event => {
        if (!specification.events(state).some(possible => JSON.stringify(possible) === JSON.stringify(event))) return true
        state = specification.next(state, event)
        return false
      })
      assert.equal(impossible, fault === undefined ? 5 : -1)
      assert.equal(specification.owners(state).length, fault === undefined ? 1 : 2)
    })
  }
})

/** The decision in docs/decisions/ownership-during-log-outage.md rests on these cases. */
describe('ownership during an outage of the log', () => {
  const RULES = [
    { rule: 'promises', safe: true, ownerAfterTwoLeases: true },
    { rule: 'stopAtLeaseEnd', safe: true, ownerAfterTwoLeases: false },
    { rule: 'leaseFree', safe: false, ownerAfterTwoLeases: true }
  ] as const
  for (const { rule, safe, ownerAfterTwoLeases } of RULES) {
    it(`${rule}: ${safe ? 'safe' : 'two owners'}, ${ownerAfterTwoLeases ? 'keeps' : 'loses'} the owner`, () => {
      const bounds: OwnershipBounds = { ...TWO, outageRule: rule }
      assert.equal(exploreOwnership(bounds).violation === undefined, safe)
      const specification = new OwnershipSpecification(bounds)
      let state = initialOwnershipState(bounds)
      for (let tick = 0; tick < 4; tick += 1) {
        for (const type of ['ask', 'grant'] as const) {
          const event = specification.events(state).find(possible => possible.type === type)
          if (event !== undefined) state = specification.next(state, event)
        }
        state = specification.next(state, { type: 'tick', slow: false })
      }
      assert.equal(specification.isOwner(state, 0), ownerAfterTwoLeases)
    })
  }
})

describe('model check of configuration: never reverts', () => {
  const BOUNDS: ConfigurationBounds = { publishes: 3, restatements: 2, restarts: 0 }
  for (const bounds of [BOUNDS, { publishes: 3, restatements: 1, restarts: 1 }, { publishes: 2, restatements: 2, restarts: 1 }]) {
    const { publishes, restatements, restarts } = bounds
    it(`${publishes} publishes, ${restatements} restatements, ${restarts} restarts, truncation, relays`, context => assertHolds(exploreConfiguration(bounds), line => context.diagnostic(line)))
  }
  for (const fault of ['greatestOffset', 'noReplayAfterRestated', 'replayWithoutPosition'] satisfies ConfigurationFault[]) {
    it(`finds the seeded fault ${fault}`, () => assert.notEqual(exploreConfiguration({ ...BOUNDS, fault }).violation, undefined))
  }
})

describe('model check of tasks: never in two places', () => {
  const WORKERS: ReadonlyArray<TaskBounds['checksTerms']> = [[true, true], [true, false], [false, false]]
  for (const checksTerms of WORKERS) {
    it(`workers that check terms: ${checksTerms.join(', ')}`, context => assertHolds(exploreTask({ checksTerms }), line => context.diagnostic(line)))
  }
  for (const fault of ['noWaitForUnknownStart', 'trustsEarlyInventory', 'taskLeaseOutlivesWait'] satisfies TaskFault[]) {
    it(`finds the seeded fault ${fault}`, () => assert.notEqual(exploreTask({ checksTerms: [true, false], fault }).violation, undefined))
  }
})
