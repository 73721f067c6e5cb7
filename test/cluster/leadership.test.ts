import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Leadership } from '../../src/cluster/leadership.js'
import type { LeadershipRecord } from '../../src/contracts/clusterRecords.js'

const HELD: LeadershipRecord = { term: 3, instance: 'other', incarnation: 'x', address: 'other:1', resigned: false }
const RANK = 2

describe('Leadership', () => {
  /** When an instance claims the role. `logReadStartedAt` is when the latest successful read of the log was sent. */
  const CASES: ReadonlyArray<{ readonly name: string, readonly record?: LeadershipRecord, readonly holderExitedAt?: number, readonly now: number, readonly logReadStartedAt?: number, readonly logLatencyMilliseconds?: number, readonly claims: boolean }> = [
    { name: 'not before the log has been read', record: HELD, now: 5000, claims: false },
    { name: 'not while the holder renews', record: HELD, now: 900, logReadStartedAt: 800, claims: false },
    { name: 'when the holder does not renew and the log can be read', record: HELD, now: 1500, logReadStartedAt: 1400, claims: true },
    { name: 'not yet when the log is slow, which delays renewals', record: HELD, now: 1500, logReadStartedAt: 1400, logLatencyMilliseconds: 800, claims: false },
    { name: 'when the holder has not renewed for much longer than a slow log explains', record: HELD, now: 4000, logReadStartedAt: 3900, logLatencyMilliseconds: 800, claims: true },
    { name: 'not when the log cannot be read either', record: HELD, now: 5000, logReadStartedAt: -1, claims: false },
    { name: 'soon after the holder has resigned', record: { ...HELD, resigned: true }, now: 100, logReadStartedAt: 10, claims: true },
    { name: 'immediately as the named successor', record: { ...HELD, resigned: true, successor: 'instance' }, now: 1, logReadStartedAt: 0, claims: true },
    { name: 'not before the head start of the named successor has passed', record: { ...HELD, resigned: true, successor: 'another' }, now: 200, logReadStartedAt: 10, claims: false },
    { name: 'when the named successor has not claimed', record: { ...HELD, resigned: true, successor: 'another' }, now: 500, logReadStartedAt: 10, claims: true },
    { name: 'soon after the holder has exited', record: HELD, holderExitedAt: 100, now: 250, logReadStartedAt: 10, claims: true },
    { name: 'not when the holder seems to have exited and the log cannot be read either', record: HELD, holderExitedAt: 100, now: 5000, logReadStartedAt: -1, claims: false },
    { name: 'not when it holds the role itself', record: { ...HELD, incarnation: 'own' }, now: 5000, logReadStartedAt: 4000, claims: false },
    { name: 'in a new system', now: 500, logReadStartedAt: 400, claims: true }
  ]
  for (const { name, record, holderExitedAt, now, logReadStartedAt, logLatencyMilliseconds, claims } of CASES) {
    it(`${claims ? 'claims' : 'does not claim'}: ${name}`, () => {
      const leadership = new Leadership('instance', 'own', RANK, 0)
      if (record === undefined) leadership.onNoRecord(0)
      else leadership.onRecord(record, 0)
      if (holderExitedAt !== undefined) leadership.onHolderExited(HELD.incarnation, holderExitedAt)
      assert.equal(leadership.shouldClaim(now, logReadStartedAt, logLatencyMilliseconds ?? 0), claims)
    })
  }

  it('ignores a record of a former term and does not hold a term in which it was superseded', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord({ ...HELD, incarnation: 'own', term: 5 }, 0)
    assert.equal(leadership.onRecord(HELD, 1), false)
    assert.ok(leadership.isHeldHere)
    leadership.onSuperseded()
    assert.equal(leadership.isHeldHere, false)
    assert.equal(leadership.termForClaim(2), 6)
  })

  /** An instance that starts late reads only the latest record, which may be a renewal of a former term. */
  it('claims a greater term than every earlier claim, including one that it has not read', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord(HELD, 0)
    const offsetOfHiddenClaim = 40
    assert.ok(leadership.termForClaim(offsetOfHiddenClaim + 2) > leadership.termForClaim(offsetOfHiddenClaim))
    assert.ok(leadership.termForClaim(0) > HELD.term)
  })

  it('does not claim the role of a holder that refuses connections but keeps renewing', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord(HELD, 0)
    leadership.onHolderExited(HELD.incarnation, 100)
    leadership.onRecord(HELD, 150)
    assert.equal(leadership.shouldClaim(400, 300, 0), false)
  })

  /** The offer is valid until the holder renews, and only while the log can be read. */
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

  /** The holder goes silent. The long-poll reads of all instances are sent at its last renewal and end 1.5 s later; more of them follow. */
  const SILENT_HOLDER: ReadonlyArray<{ readonly name: string, readonly rank: number, readonly claimsAt: number }> = [
    { name: 'a large instance', rank: 6, claimsAt: 1700 },
    { name: 'an instance of half its capacity, after the claim of the large one can be read', rank: 12, claimsAt: 1900 },
    { name: 'a small instance', rank: 16, claimsAt: 2000 }
  ]
  for (const { name, rank, claimsAt } of SILENT_HOLDER) {
    it(`claims in the order of capacity after a long-poll read: ${name}`, () => {
      const leadership = new Leadership('instance', 'own', rank, 0)
      leadership.onRecord(HELD, 0)
      const claims: number[] = []
      for (let now = 0; now <= 2000; now += 50) {
        const completedReads = Math.floor(now / 1500)
        if (completedReads > 0 && leadership.shouldClaim(now, (completedReads - 1) * 1500, 0, completedReads * 1500)) claims.push(now)
      }
      assert.equal(claims[0], claimsAt)
    })
  }

  it('waits after a claim that was not stored', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord(HELD, 0)
    leadership.onClaimFailed(1500)
    assert.equal(leadership.shouldClaim(1600, 1500, 0), false)
    assert.equal(leadership.shouldClaim(1800, 1500, 0), true)
  })

  it('ignores the exit of a former holder once another instance holds the role', () => {
    const leadership = new Leadership('instance', 'own', RANK, 0)
    leadership.onRecord(HELD, 0)
    leadership.onHolderExited(HELD.incarnation, 10)
    leadership.onRecord({ ...HELD, term: 4, incarnation: 'y' }, 20)
    assert.equal(leadership.shouldClaim(500, 400, 0), false)
  })
})
