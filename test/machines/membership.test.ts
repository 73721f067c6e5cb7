import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ListedInstance } from '../../src/contracts/platformProtocol.js'
import { Membership, SUSPICION_TIMEOUT_MILLISECONDS } from '../../src/machines/membership.js'

const LISTED: ListedInstance = { kind: 'entry', name: 'a', failureDomain: 'zone-a', address: 'ws://a', callerAddress: 'http://a', state: 'live' }

interface Heard {
  readonly incarnation: string
  readonly leaving: boolean
  readonly at: number
}

/** Each case guards against work for an instance that is leaving although the lagging list shows it as live, or against giving up a live one. */
const CASES: ReadonlyArray<{ readonly name: string, readonly heard: readonly Heard[], readonly now: number, readonly state: string, readonly suspected: boolean }> = [
  { name: 'the list alone', heard: [], now: 10_000, state: 'live', suspected: false },
  { name: 'leaving by heartbeat', heard: [{ incarnation: '1', leaving: true, at: 0 }], now: 100, state: 'leaving', suspected: false },
  { name: 'leaving is final for an incarnation', heard: [{ incarnation: '1', leaving: true, at: 0 }, { incarnation: '1', leaving: false, at: 1 }], now: 100, state: 'leaving', suspected: false },
  { name: 'the next incarnation is live', heard: [{ incarnation: '1', leaving: true, at: 0 }, { incarnation: '2', leaving: false, at: 1 }], now: 100, state: 'live', suspected: false },
  { name: 'silence gives suspicion', heard: [{ incarnation: '1', leaving: false, at: 0 }], now: SUSPICION_TIMEOUT_MILLISECONDS + 1, state: 'live', suspected: true }
]

describe('Membership', () => {
  for (const { name, heard, now, state, suspected } of CASES) {
    it(name, () => {
      const membership = new Membership()
      membership.update([LISTED], 0)
      for (const { incarnation, leaving, at } of heard) membership.recordHeartbeat('a', incarnation, leaving, at)
      membership.update([LISTED], now)
      assert.deepEqual([membership.find('a')?.state, membership.entries()[0]?.state, membership.isSuspected('a', now)], [state, state, suspected])
    })
  }
})
