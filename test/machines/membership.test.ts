import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ListedInstance } from '../../src/contracts/platformProtocol.js'
import { Membership, SUSPICION_TIMEOUT_MILLISECONDS } from '../../src/machines/membership.js'

const LISTED: ListedInstance = { kind: 'entry', name: 'a', failureDomain: 'zone-a', address: 'ws://a', callerAddress: 'http://a', state: 'live' }

interface ReceivedHeartbeat {
  readonly incarnation: string
  readonly leaving: boolean
  readonly at: number
}

/** Each case guards against work for a leaving instance that the lagging list shows as live, or against treating a live instance as failed. */
const CASES: ReadonlyArray<{ readonly name: string, readonly heartbeats: readonly ReceivedHeartbeat[], readonly now: number, readonly state: string, readonly suspected: boolean }> = [
  { name: 'the list alone', heartbeats: [], now: 10_000, state: 'live', suspected: false },
  { name: 'a heartbeat announces leaving', heartbeats: [{ incarnation: '1', leaving: true, at: 0 }], now: 100, state: 'leaving', suspected: false },
  { name: 'leaving is final for an incarnation', heartbeats: [{ incarnation: '1', leaving: true, at: 0 }, { incarnation: '1', leaving: false, at: 1 }], now: 100, state: 'leaving', suspected: false },
  { name: 'the next incarnation is live', heartbeats: [{ incarnation: '1', leaving: true, at: 0 }, { incarnation: '2', leaving: false, at: 1 }], now: 100, state: 'live', suspected: false },
  { name: 'a silent peer is suspected', heartbeats: [{ incarnation: '1', leaving: false, at: 0 }], now: SUSPICION_TIMEOUT_MILLISECONDS + 1, state: 'live', suspected: true }
]

describe('Membership', () => {
  for (const { name, heartbeats, now, state, suspected } of CASES) {
    it(name, () => {
      const membership = new Membership()
      membership.update([LISTED], 0)
      for (const { incarnation, leaving, at } of heartbeats) membership.recordHeartbeat('a', incarnation, leaving, at)
      membership.update([LISTED], now)
      assert.deepEqual([membership.find('a')?.state, membership.entries()[0]?.state, membership.isSuspected('a', now)], [state, state, suspected])
    })
  }
})
