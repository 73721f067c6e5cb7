import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { isReappendDue, REAPPEND_SHARE, FALLBACK_REAPPEND_SHARE } from '../../src/zones/retention.js'

const HOUR = 3_600_000
const KEPT = { records: 1000, milliseconds: 24 * HOUR, retainedFrom: 0, position: 100 }

/** Each case guards against a record that leaves the retention period before it is re-appended, or against needless re-appends. */
const CASES = [
  { name: 'a fresh record stays', offset: 0, kept: KEPT, share: REAPPEND_SHARE, age: 0, due: false },
  { name: 'half of the records kept by the settings have followed', offset: 0, kept: { ...KEPT, position: 500 }, share: REAPPEND_SHARE, age: 0, due: true },
  { name: 'a substitute waits longer', offset: 0, kept: { ...KEPT, position: 500 }, share: FALLBACK_REAPPEND_SHARE, age: 0, due: false },
  { name: 'a substitute steps in', offset: 0, kept: { ...KEPT, position: 750 }, share: FALLBACK_REAPPEND_SHARE, age: 0, due: true },
  { name: 'a shorter retention is learned from the offsets', offset: 140, kept: { ...KEPT, retainedFrom: 100, position: 200 }, share: REAPPEND_SHARE, age: 0, due: true },
  { name: 'a record in the newer half stays', offset: 160, kept: { ...KEPT, retainedFrom: 100, position: 200 }, share: REAPPEND_SHARE, age: 0, due: false },
  { name: 'a quiet stream is restated by time', offset: 99, kept: KEPT, share: REAPPEND_SHARE, age: 6 * HOUR, due: true },
  { name: 'a substitute on a quiet stream waits longer', offset: 99, kept: KEPT, share: FALLBACK_REAPPEND_SHARE, age: 6 * HOUR, due: false }
]

describe('isReappendDue', () => {
  for (const { name, offset, kept, share, age, due } of CASES) {
    it(name, () => assert.equal(isReappendDue({ offset, seenAt: 0 }, kept, share, age), due))
  }
})
