import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConfigurationSpecification, INITIAL_CONFIGURATION, serializeConfiguration, type ConfigurationBounds, type ConfigurationFault } from '../../spec/configurationSpecification.js'
import { explore, type Exploration } from '../../spec/explore.js'
import { initialOwnershipState, OwnershipSpecification, serializeOwnership, type OwnershipBounds, type OwnershipEvent, type OwnershipFault, type OwnershipState } from '../../spec/ownershipSpecification.js'
import { INITIAL_TASK, TaskSpecification, type TaskBounds, type TaskFault } from '../../spec/taskSpecification.js'

const TWO_INSTANCES: OwnershipBounds = { instances: 2, electors: 0b10, unread: 1, unconfirmed: 1, inFlight: 1, terms: 2, passiveFrom: 1, crashes: 0, releases: 0, slowClock: 0, repeatedDrift: false, outageRule: 'promises' }
/** Elector 1 and a new instance 2, which becomes an elector by a renewal. */
const NEW_INSTANCE: OwnershipBounds = { ...TWO_INSTANCES, instances: 3, slowClock: -1, passiveFrom: 1 }
const TWO_ELECTORS: OwnershipBounds = { ...TWO_INSTANCES, instances: 3, electors: 0b110, passiveFrom: 1 }
const INTERCHANGEABLE = [1, 2] as const

const CONFIGURATIONS: ReadonlyArray<{ readonly name: string, readonly bounds: OwnershipBounds, readonly interchangeable?: readonly [number, number] }> = [
  { name: 'two instances, both renew', bounds: { ...TWO_INSTANCES, unread: 2, passiveFrom: 2 } },
  { name: 'two instances, drift in every lease', bounds: { ...TWO_INSTANCES, unread: 2, repeatedDrift: true } },
  { name: 'two instances, two renewals in flight', bounds: { ...TWO_INSTANCES, unconfirmed: 2, inFlight: 2 } },
  { name: 'two instances, one crash and restart, drift', bounds: { ...TWO_INSTANCES, crashes: 1 } },
  { name: 'two instances, one release', bounds: { ...TWO_INSTANCES, releases: 1, unread: 2 } },
  { name: 'a new instance, renewals', bounds: NEW_INSTANCE },
  { name: 'a new instance, three terms, drift', bounds: { ...NEW_INSTANCE, terms: 3, unread: 2, unconfirmed: 0, slowClock: 0 } },
  { name: 'a new instance, one crash and restart, drift', bounds: { ...NEW_INSTANCE, unconfirmed: 0, crashes: 1, slowClock: 0 } },
  { name: 'two electors, renewals, drift', bounds: TWO_ELECTORS, interchangeable: INTERCHANGEABLE },
  { name: 'two electors, three terms, drift', bounds: { ...TWO_ELECTORS, terms: 3, unread: 2, unconfirmed: 0 }, interchangeable: INTERCHANGEABLE }
]

const OWNERSHIP_FAULTS: ReadonlyArray<{ readonly fault: OwnershipFault, readonly bounds: OwnershipBounds }> = [
  { fault: 'noDriftMargin', bounds: TWO_INSTANCES },
  { fault: 'leaseFromAfterAppend', bounds: TWO_INSTANCES },
  { fault: 'takeoverWithoutWaiting', bounds: { ...TWO_INSTANCES, unread: 2 } },
  { fault: 'majorityOfPromises', bounds: { ...TWO_ELECTORS, unconfirmed: 0 } },
  { fault: 'confirmedElectorsOnly', bounds: NEW_INSTANCE },
  { fault: 'claimUnderPromise', bounds: TWO_INSTANCES },
  { fault: 'promiseAfterAbandonedClaim', bounds: { ...NEW_INSTANCE, terms: 3, unread: 2, unconfirmed: 0 } },
  { fault: 'renewalRevivesReleased', bounds: { ...TWO_INSTANCES, releases: 1, inFlight: 2, unread: 2 } },
  { fault: 'listDropsLivingInstances', bounds: { ...NEW_INSTANCE, unconfirmed: 0 } }
]

function exploreOwnership (bounds: OwnershipBounds, interchangeable?: readonly [number, number]): Exploration<OwnershipState> {
  const specification = new OwnershipSpecification(bounds)
  return explore<OwnershipState, OwnershipEvent>({
    initial: initialOwnershipState(bounds),
    next: (state, event) => specification.next(state, event),
    events: state => specification.events(state),
    serialize: state => serializeOwnership(state, bounds, interchangeable),
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

function assertInvariant (exploration: Exploration<unknown>, report: (line: string) => void): void {
  assert.equal(exploration.violation, undefined, JSON.stringify(exploration.violation))
  report(`${exploration.states} states`)
}

describe('model check of ownership: at most one effective owner', () => {
  for (const { name, bounds, interchangeable } of CONFIGURATIONS) {
    it(name, context => assertInvariant(exploreOwnership(bounds, interchangeable), line => context.diagnostic(line)))
  }
  for (const { fault, bounds } of OWNERSHIP_FAULTS) {
    it(`finds the injected fault ${fault}`, () => assert.notEqual(exploreOwnership({ ...bounds, fault }).violation, undefined))
  }
})

/** The exhaustive search would need more than 40,000 states to find this fault, so the test replays its trace. */
describe('an old renewal that is appended after a newer one', () => {
  const TRACE: readonly OwnershipEvent[] = [
    { type: 'renew', at: 0, electors: 0b10 }, { type: 'renew', at: 0, electors: 0 }, { type: 'append', at: 0, index: 1 }, { type: 'read', at: 0 }, { type: 'read', at: 1 },
    { type: 'append', at: 0, index: 0 }, { type: 'read', at: 1 }, { type: 'tick', slow: false }, { type: 'tick', slow: false }, { type: 'requestPromises', at: 0 }, { type: 'tick', slow: false },
    { type: 'claim', at: 1 }, { type: 'append', at: 1, index: 0 }, { type: 'read', at: 1 }
  ]
  for (const fault of [undefined, 'renewalsWithoutNumber'] as const) {
    it(fault === undefined ? 'has no effect' : `finds the injected fault ${fault}`, () => {
      const specification = new OwnershipSpecification({ ...TWO_INSTANCES, electors: 0, unread: 2, unconfirmed: 2, inFlight: 2, fault })
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

/** These cases are the basis of docs/decisions/ownership-during-log-outage.md. */
describe('ownership during an outage of the log', () => {
  const RULES = [
    { rule: 'promises', safe: true, ownerAfterTwoLeases: true },
    { rule: 'stopAtLeaseEnd', safe: true, ownerAfterTwoLeases: false },
    { rule: 'leaseFree', safe: false, ownerAfterTwoLeases: true }
  ] as const
  for (const { rule, safe, ownerAfterTwoLeases } of RULES) {
    it(`${rule}: ${safe ? 'safe' : 'two owners'}, ${ownerAfterTwoLeases ? 'keeps' : 'loses'} the owner`, () => {
      const bounds: OwnershipBounds = { ...TWO_INSTANCES, outageRule: rule }
      assert.equal(exploreOwnership(bounds).violation === undefined, safe)
      const specification = new OwnershipSpecification(bounds)
      let state = initialOwnershipState(bounds)
      for (let tick = 0; tick < 4; tick += 1) {
        for (const type of ['requestPromises', 'grant'] as const) {
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
    it(`${publishes} publishes, ${restatements} restatements, ${restarts} restarts, truncation, relays`, context => assertInvariant(exploreConfiguration(bounds), line => context.diagnostic(line)))
  }
  for (const fault of ['greatestOffset', 'noReplayAfterRestated', 'replayWithoutPosition'] satisfies ConfigurationFault[]) {
    it(`finds the injected fault ${fault}`, () => assert.notEqual(exploreConfiguration({ ...BOUNDS, fault }).violation, undefined))
  }
})

describe('model check of tasks: never in two places', () => {
  const WORKERS: ReadonlyArray<TaskBounds['checksTerms']> = [[true, true], [true, false], [false, false]]
  for (const checksTerms of WORKERS) {
    it(`workers that check terms: ${checksTerms.join(', ')}`, context => assertInvariant(exploreTask({ checksTerms }), line => context.diagnostic(line)))
  }
  for (const fault of ['noWaitForUnknownStart', 'trustsEarlyInventory', 'taskLeaseOutlivesWait'] satisfies TaskFault[]) {
    it(`finds the injected fault ${fault}`, () => assert.notEqual(exploreTask({ checksTerms: [true, false], fault }).violation, undefined))
  }
})
