import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RunTimeBounds } from '../../src/requests/runTimeBounds.js'

/** Each step guards against slots granted again while a request of a longer run time may be running. */
const STEPS: ReadonlyArray<readonly [now: number, inForce: number, longest: number]> = [
  [0, 5000, 5000],
  [100, 1000, 5000],
  [200, 3000, 5000],
  [15_099, 3000, 5000],
  [15_100, 3000, 3000],
  [15_200, 9000, 9000]
]

describe('RunBounds', () => {
  it('keeps a lowered run time until requests sent under it have ended', () => {
    const bounds = new RunTimeBounds(10_000)
    for (const [now, inForce, longest] of STEPS) assert.equal(bounds.update('pool', inForce, now), longest, `at ${now}`)
  })
})
