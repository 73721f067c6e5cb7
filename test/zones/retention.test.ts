import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { isReappendDue, REAPPEND_SHARE, FALLBACK_REAPPEND_SHARE } from '../../src/zones/retention.js'

const HOUR = 3_600_000
const RETENTION = { records: 1000, milliseconds: 24 * HOUR, retainedFrom: 0, position: 100 }

/** Each case guards against a record that is lost to retention before it is re-appended, or against unnecessary re-appends. */
const CASES = [
  { name: 'a fresh record is not re-appended', offset: 0, retention: RETENTION, share: REAPPEND_SHARE, age: 0, due: false },
  { name: 'a record is re-appended after half of the records that the settings keep', offset: 0, retention: { ...RETENTION, position: 500 }, share: REAPPEND_SHARE, age: 0, due: true },
  { name: 'the fallback share is reached later', offset: 0, retention: { ...RETENTION, position: 500 }, share: FALLBACK_REAPPEND_SHARE, age: 0, due: false },
  { name: 'a record is re-appended by another owner once the fallback share is reached', offset: 0, retention: { ...RETENTION, position: 750 }, share: FALLBACK_REAPPEND_SHARE, age: 0, due: true },
  { name: 'a shorter actual retention is derived from the offsets', offset: 140, retention: { ...RETENTION, retainedFrom: 100, position: 200 }, share: REAPPEND_SHARE, age: 0, due: true },
  { name: 'a record in the newer half is not re-appended', offset: 160, retention: { ...RETENTION, retainedFrom: 100, position: 200 }, share: REAPPEND_SHARE, age: 0, due: false },
  { name: 'a record in an idle stream is re-appended after a time', offset: 99, retention: RETENTION, share: REAPPEND_SHARE, age: 6 * HOUR, due: true },
  { name: 'the fallback share is reached later in an idle stream', offset: 99, retention: RETENTION, share: FALLBACK_REAPPEND_SHARE, age: 6 * HOUR, due: false }
]

describe('isReappendDue', () => {
  for (const { name, offset, retention, share, age, due } of CASES) {
    it(name, () => assert.equal(isReappendDue({ offset, seenAt: 0 }, retention, share, age), due))
  }
})
