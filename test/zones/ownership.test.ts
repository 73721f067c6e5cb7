import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RecordBody, StoredRecord } from '../../src/contracts/records.js'
import { Ownership, OWNERSHIP_TIMINGS, type InstanceIdentity, type OwnershipAction, type OwnershipView } from '../../src/zones/ownership.js'

const TICK_MILLISECONDS = 100
const A: InstanceIdentity = { instance: 'a', incarnation: 'a1' }
const B: InstanceIdentity = { instance: 'b', incarnation: 'b1' }
const C: InstanceIdentity = { instance: 'c', incarnation: 'c1' }

/** Simulates a log and instances that read it without delay, with one common clock. */
class Site {
  now = 0
  readonly records: StoredRecord[] = []
  logUnavailable = false
  readonly gone = new Set<string>()
  readonly instances = new Map<string, Ownership>()
  readonly stopped = new Set<string>()

  start (identity: InstanceIdentity): Ownership {
    const ownership = new Ownership('zone-a', identity)
    for (const record of this.records) ownership.onRecord(record, this.now)
    this.instances.set(identity.incarnation, ownership)
    return ownership
  }

  append (body: RecordBody, readers: Iterable<Ownership> = this.instances.values()): void {
    const record = { offset: this.records.length, identity: `${this.records.length}`, writer: '', logicalTime: 0, body }
    this.records.push(record)
    for (const ownership of readers) ownership.onRecord(record, this.now)
  }

  join (identity: InstanceIdentity): void {
    this.append({ type: 'instanceJoined', failureDomain: 'zone-a', ...identity })
  }

  /** Runs until `until`. Returns the time at which `awaited` became owner, or Infinity if it did not. */
  run (until: number, awaited?: Ownership): number {
    let since = Infinity
    for (; this.now < until; this.now += TICK_MILLISECONDS) {
      for (const [incarnation, ownership] of this.instances) {
        if (this.stopped.has(incarnation)) continue
        for (const action of ownership.tick(this.now, this.view())) this.perform(ownership, action)
      }
      assert.ok([...this.instances].filter(([name, ownership]) => !this.stopped.has(name) && ownership.isOwner(this.now)).length <= 1, 'one owner')
      if (awaited?.isOwner(this.now) === true) since = Math.min(since, this.now)
    }
    return since
  }

  view (): OwnershipView {
    return { isGone: identity => this.gone.has(identity.incarnation), logCurrentAt: this.logUnavailable ? -Infinity : this.now }
  }

  private perform (ownership: Ownership, action: OwnershipAction): void {
    if (action.kind === 'requestPromises') {
      for (const elector of action.electors) {
        const other = this.instances.get(elector.incarnation)
        if (other === undefined || this.stopped.has(elector.incarnation)) continue
        ownership.onPromise(elector, action.request, other.onPromiseRequest(ownership.term, action.durationMilliseconds, this.now))
      }
      return
    }
    if (action.kind === 'probeLog') return
    if (action.kind === 'renew') ownership.renewalSettled()
    if (!this.logUnavailable) this.append(action.body)
  }
}

function createSite (...identities: InstanceIdentity[]): Site {
  const site = new Site()
  for (const identity of identities) site.start(identity)
  for (const identity of identities) site.join(identity)
  return site
}

function ownerOf (site: Site): string | undefined {
  return [...site.instances].find(([incarnation, ownership]) => !site.stopped.has(incarnation) && ownership.isOwner(site.now))?.[0]
}

describe('Ownership', () => {
  it('an elector takes over within lease, margin and two ticks after the owner stopped', () => {
    const site = createSite(A, B)
    site.run(3000)
    assert.equal(ownerOf(site), 'a1')
    site.stopped.add('a1')
    const since = site.run(20_000, site.instances.get('b1'))
    assert.ok(since - 3000 <= OWNERSHIP_TIMINGS.leaseDuration + OWNERSHIP_TIMINGS.driftMargin + 2 * TICK_MILLISECONDS, `took over at ${since}`)
  })

  it('the owner remains during a log outage of one minute, and renewals continue afterwards', () => {
    const site = createSite(A, B, C)
    site.run(3000)
    site.logUnavailable = true
    site.run(63_000)
    assert.equal(ownerOf(site), 'a1')
    site.logUnavailable = false
    site.run(80_000)
    assert.equal(ownerOf(site), 'a1')
    assert.equal(site.instances.get('b1')?.term, 1)
  })

  it('an owner that was paused past its lease during an outage does not act until all electors promise', () => {
    const site = createSite(A, B)
    site.run(3000)
    site.logUnavailable = true
    site.now += 10_000
    assert.equal(site.instances.get('a1')?.isOwner(site.now), false)
    site.run(14_000)
    assert.equal(ownerOf(site), 'a1')
  })

  it('a renewal or promise that arrives after the release does not extend the lease', () => {
    const site = createSite(A, B)
    site.run(3000)
    const owner = site.instances.get('a1') as Ownership
    const renewal = owner.startRenewal(site.now, [B]) as RecordBody
    const { request } = owner.startPromiseRound(site.now)
    assert.equal(owner.release()?.type, 'ownershipReleased')
    owner.onPromise(B, request, true)
    site.append(renewal)
    assert.equal(owner.isOwner(site.now), false)
    assert.deepEqual(owner.tick(site.now, site.view()), [])
  })

  it('an elector that has sent a claim grants no promise in that term, even while the claim is unconfirmed', () => {
    const site = createSite(A, B)
    site.run(3000)
    const elector = site.instances.get('b1') as Ownership
    site.now += 10_000
    assert.equal(elector.mayClaim(site.now, site.view()), true)
    elector.startClaim(site.now, [A], site.view())
    assert.equal(elector.onPromiseRequest(1, 4000, site.now + 60_000), false)
  })

  it('an elector repeats an unconfirmed claim with the same identity, so that it is applied once', () => {
    const site = createSite(A, B)
    site.run(3000)
    const elector = site.instances.get('b1') as Ownership
    const identities = [10_000, 11_000].flatMap(later => elector.tick(site.now + later, { ...site.view(), logCurrentAt: site.now + later }).map(action => action.kind === 'claim' ? action.identity : action.kind))
    assert.deepEqual(identities, ['claim:b1:1', 'claim:b1:1'])
  })

  it('an elector reads the log to its end before it claims', () => {
    const site = createSite(A, B)
    site.run(3000)
    const elector = site.instances.get('b1') as Ownership
    assert.deepEqual(elector.tick(site.now + 10_000, { ...site.view(), logCurrentAt: 0 }), [{ kind: 'probeLog' }])
  })

  it('lost renewals neither stop the owner nor change the lease of a later confirmed renewal', () => {
    const site = createSite(A, B)
    site.run(3000)
    const owner = site.instances.get('a1') as Ownership
    for (let lost = 0; lost < 20; lost += 1) owner.startRenewal(site.now + lost * 1000, [B])
    const last = owner.startRenewal(site.now + 20_000, [B]) as RecordBody
    site.append(last)
    assert.equal(owner.leaseEnd, site.now + 20_000 + OWNERSHIP_TIMINGS.leaseDuration)
  })

  it('a replaced member is no longer an elector', () => {
    const site = createSite(A, B, C)
    site.run(15_000)
    site.stopped.add('c1')
    site.gone.add('c1')
    site.start({ instance: 'b', incarnation: 'b2' })
    site.join({ instance: 'b', incarnation: 'b2' })
    site.run(30_000)
    assert.deepEqual(site.instances.get('a1')?.members, [A, { instance: 'b', incarnation: 'b2' }])
  })

  it('after a restart of all instances under the same names one of the new incarnations takes over', () => {
    const site = createSite(A, B)
    site.run(3000)
    site.instances.clear()
    const next = [{ instance: 'a', incarnation: 'a2' }, { instance: 'b', incarnation: 'b2' }]
    for (const identity of next) site.start(identity)
    for (const identity of next) site.join(identity)
    site.run(10_000)
    assert.match(ownerOf(site) ?? '', /2$/)
  })

  const TRUNCATED: ReadonlyArray<{ readonly name: string, readonly body: RecordBody | undefined, readonly term: number, readonly owner: string | undefined, readonly mayClaim: boolean }> = [
    { name: 'a renewal restates the owner', body: { type: 'ownershipRenewed', failureDomain: 'zone-a', ...A, term: 7, number: 9, electors: [B] }, term: 7, owner: 'a', mayClaim: false },
    { name: 'a release allows a claim', body: { type: 'ownershipReleased', failureDomain: 'zone-a', ...A, term: 7 }, term: 7, owner: undefined, mayClaim: true },
    { name: 'a claim alone does not determine the owner', body: { type: 'ownershipClaimed', failureDomain: 'zone-a', ...A, afterTerm: 0, electors: [B], ownerAndElectorsGone: false }, term: 0, owner: undefined, mayClaim: false },
    { name: 'an empty stream continues with terms above all earlier ones', body: undefined, term: 500, owner: undefined, mayClaim: true }
  ]
  for (const { name, body, term, owner, mayClaim } of TRUNCATED) {
    it(`an instance that starts after the oldest records were truncated: ${name}`, () => {
      const ownership = new Ownership('zone-a', B)
      ownership.markTruncated(500)
      if (body !== undefined) ownership.onRecord({ offset: 500, identity: 'one', writer: 'a', logicalTime: 0, body }, 0)
      ownership.markCaughtUp(body !== undefined)
      assert.deepEqual([ownership.term, ownership.currentOwner?.instance, ownership.mayClaim(100, { isGone: () => false })], [term, owner, mayClaim])
    })
  }
})
