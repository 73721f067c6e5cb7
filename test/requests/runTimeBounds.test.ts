import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RunTimeBounds } from '../../src/requests/runTimeBounds.js'

/** Each step guards against granting slots again while a request sent under a longer maximum run time may be running. */
const STEPS: ReadonlyArray<readonly [now: number, inForce: number, greatest: number]> = [
  [0, 5000, 5000],
  [100, 1000, 5000],
  [200, 3000, 5000],
  [15_099, 3000, 5000],
  [15_100, 3000, 3000],
  [15_200, 9000, 9000]
]

describe('RunTimeBounds', () => {
  it('keeps the previous run time after it was lowered, until requests sent under it have ended', () => {
    const bounds = new RunTimeBounds(10_000)
    for (const [now, inForce, greatest] of STEPS) assert.equal(bounds.update('pool', inForce, now), greatest, `at ${now}`)
  })
})
