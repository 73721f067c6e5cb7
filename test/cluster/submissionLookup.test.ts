import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { SubmissionLookup } from '../../src/cluster/submissionLookup.js'
import { TOPICS } from '../../src/cluster/recordLog.js'
import { FakeRecordLog, type LogFault } from '../fakes/fakeRecordLog.js'
import { PausedClock } from '../fakes/pausedClock.js'

let clock: PausedClock
beforeEach(() => { clock = new PausedClock() })
afterEach(() => clock.uninstall())

interface Case {
  readonly name: string
  /** Jobs that the log holds, the first of which has been received. */
  readonly stored: readonly string[]
  readonly positions?: ReadonlyArray<number | undefined>
  readonly fault?: LogFault
  readonly isAbsent: boolean
}

const CASES: readonly Case[] = [
  { name: 'no job is stored', stored: ['received'], isAbsent: true },
  { name: 'other jobs are stored', stored: ['received', 'other', 'another'], isAbsent: true },
  { name: 'the job is stored and has not been received', stored: ['received', 'other', 'job'], isAbsent: false },
  { name: 'the log refuses reads', stored: ['received'], fault: 'refused', isAbsent: false },
  { name: 'the log is silent', stored: ['received'], fault: 'silent', isAbsent: false },
  { name: 'a partition has not been read', stored: ['received'], positions: [1, undefined], isAbsent: false },
  { name: 'records after the position have expired', stored: ['received', 'other'], positions: [0, 0], isAbsent: false }
]

describe('SubmissionLookup', () => {
  for (const { name, stored, positions = [1, 0], fault = 'none', isAbsent } of CASES) {
    it(`${isAbsent ? 'confirms' : 'does not confirm'} that a job is absent if ${name}`, async () => {
      const log = new FakeRecordLog(1)
      for (const job of stored) log.write(TOPICS.submissions, job, Buffer.from('value'))
      if (positions[0] === 0) log.compactTopic(TOPICS.submissions)
      log.fault = fault
      const found = new SubmissionLookup(log, () => positions).isAbsent('job')
      await clock.advance(400, 10)
      assert.equal(await found, isAbsent)
    })
  }

  it('confirms nothing while many lookups are pending, and again after them', async () => {
    const log = new FakeRecordLog(1)
    const lookup = new SubmissionLookup(log, () => [0])
    const found = Array.from({ length: 6 }, async () => await lookup.isAbsent('job'))
    await clock.advance(50, 10)
    assert.deepEqual(await Promise.all(found), [true, true, true, true, false, false])
    const later = lookup.isAbsent('job')
    await clock.advance(50, 10)
    assert.equal(await later, true)
  })
})
