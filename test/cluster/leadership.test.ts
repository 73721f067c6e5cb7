import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Leadership } from '../../src/cluster/leadership.js'
import type { LeadershipRecord } from '../../src/contracts/clusterRecords.js'

const HELD: LeadershipRecord = { term: 3, instance: 'other', incarnation: 'x', address: 'other:1', resigned: false }
const RANK = 2

describe('Leadership', () => {
  /** When an instance claims the role: `asOf` is when the latest successful read of the log was sent. */
  const CASES: ReadonlyArray<{ readonly name: string, readonly record?: LeadershipRecord, readonly endedAt?: number, readonly now: number, readonly asOf?: number, readonly latency?: number, readonly claims: boolean }> = [
    { name: 'not before the log has been read', record: HELD, now: 5000, claims: false },
    { name: 'not while the holder renews', record: HELD, now: 900, asOf: 800, claims: false },
    { name: 'when the holder is silent and the log is not', record: HELD, now: 1500, asOf: 1400, claims: true },
    { name: 'not yet when the log is slow, which delays renewals', record: HELD, now: 1500, asOf: 1400, latency: 800, claims: false },
    { name: 'when the holder is silent for much longer than a slow log explains', record: HELD, now: 4000, asOf: 3900, latency: 800, claims: true },
    { name: 'not when the log is silent too', record: HELD, now: 5000, asOf: -1, claims: false },
    { name: 'soon after the holder has resigned', record: { ...HELD, resigned: true }, now: 100, asOf: 10, claims: true },
    { name: 'at once as the named successor', record: { ...HELD, resigned: true, successor: 'instance' }, now: 1, asOf: 0, claims: true },
    { name: 'not before the named successor had its turn', record: { ...HELD, resigned: true, successor: 'another' }, now: 200, asOf: 10, claims: false },
    { name: 'when the named successor has not claimed', record: { ...HELD, resigned: true, successor: 'another' }, now: 500, asOf: 10, claims: true },
    { name: 'soon after the holder has ended', record: HELD, endedAt: 100, now: 250, asOf: 10, claims: true },
    { name: 'not when the holder seems to have ended and the log is silent too', record: HELD, endedAt: 100, now: 5000, asOf: -1, claims: false },
    { name: 'not when it holds the role itself', record: { ...HELD, incarnation: 'own' }, now: 5000, asOf: 4000, claims: false },
    { name: 'in a new system', now: 500, asOf: 400, claims: true }
  ]
  for (const { name, record, endedAt, now, asOf, latency, claims } of CASES) {
    it(`${claims ? 'claims' : 'does not claim'}: ${name}`, () => {
      const leadership = new Leadership('instance', 'own', RANK, 0)
      if (record === undefined) leadership.onNoRecord(0)
      else leadership.onRecord(record, 0)
      if (endedAt !== undefined) leadership.onHolderExited(HELD.incarnation, endedAt)
      assert.equal(leadership.shouldClaim(now, asOf, latency ?? 0), claims)
    })
  }

  it('ignores a record of a former term and does not hold a term that it was deposed from', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord({ ...HELD, incarnation: 'own', term: 5 }, 0)
    assert.equal(leadership.onRecord(HELD, 1), false)
    assert.ok(leadership.isHeldHere)
    leadership.onSuperseded()
    assert.equal(leadership.isHeldHere, false)
    assert.equal(leadership.termForClaim(2), 6)
  })

  /** A reader that starts late sees only the latest record, which may be a renewal of a former term. */
  it('claims a greater term than any claim before, also than one that it has not read', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord(HELD, 0)
    const offsetOfHiddenClaim = 40
    assert.ok(leadership.termForClaim(offsetOfHiddenClaim + 2) > leadership.termForClaim(offsetOfHiddenClaim))
    assert.ok(leadership.termForClaim(0) > HELD.term)
  })

  it('does not claim from a holder whose address refuses connections but which goes on renewing', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord(HELD, 0)
    leadership.onHolderExited(HELD.incarnation, 100)
    leadership.onRecord(HELD, 150)
    assert.equal(leadership.shouldClaim(400, 300, 0), false)
  })

  /** The offer holds until the holder renews after all, and while the log has been read lately. */
  it('claims a role that it was asked to claim', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord(HELD, 0)
    leadership.onRoleOffered('another incarnation')
    assert.equal(leadership.shouldClaim(10, 5, 0), false)
    leadership.onRoleOffered(HELD.incarnation)
    assert.equal(leadership.shouldClaim(10, 5, 0), true)
    assert.equal(leadership.shouldClaim(5000, -1, 0), false)
    leadership.onRecord(HELD, 20)
    assert.equal(leadership.shouldClaim(30, 25, 0), false)
  })

  it('waits after a claim that was not stored', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord(HELD, 0)
    leadership.onClaimFailed(1500)
    assert.equal(leadership.shouldClaim(1600, 1500, 0), false)
    assert.equal(leadership.shouldClaim(1800, 1500, 0), true)
  })

  it('forgets that a former holder has ended once another holds the role', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord(HELD, 0)
    leadership.onHolderExited(HELD.incarnation, 10)
    leadership.onRecord({ ...HELD, term: 4, incarnation: 'y' }, 20)
    assert.equal(leadership.shouldClaim(500, 400, 0), false)
  })
})
