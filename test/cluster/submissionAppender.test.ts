import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import FakeTimers from '@sinonjs/fake-timers'
import { TOPICS } from '../../src/cluster/recordLog.js'
import { SubmissionAppender, type SubmissionOutcome } from '../../src/cluster/submissionAppender.js'
import { FakeRecordLog, type LogFault } from '../fakes/fakeRecordLog.js'

/** Time limit of the callers of these cases, in milliseconds. */
const TIME_LIMIT = 2500

describe('SubmissionAppender', () => {
  /** What callers are told when the log misbehaves from before their record until `lasts`; what they are told must be true. */
  const CASES: ReadonlyArray<{ readonly name: string, readonly fault: LogFault, readonly lasts: number, readonly outcome: SubmissionOutcome, readonly within: number, readonly stored: boolean }> = [
    { name: 'stores', fault: 'none', lasts: 0, outcome: 'stored', within: 20, stored: true },
    { name: 'refuses at once what the log refuses', fault: 'refused', lasts: 5000, outcome: 'refused', within: 20, stored: false },
    { name: 'sends a copy when the answer is lost', fault: 'answerLost', lasts: 100, outcome: 'stored', within: 300, stored: true },
    { name: 'repeats while the log is silent', fault: 'silent', lasts: 1200, outcome: 'stored', within: TIME_LIMIT, stored: true },
    { name: 'does not say refused when the record may be stored', fault: 'silent', lasts: 10_000, outcome: 'unknown', within: TIME_LIMIT + 10, stored: false },
    { name: 'does not say refused when all answers are lost', fault: 'answerLost', lasts: 10_000, outcome: 'unknown', within: TIME_LIMIT + 10, stored: true }
  ]
  for (const { name, fault, lasts, outcome, within, stored } of CASES) {
    it(name, async () => await withAppender(async (clock, log, appender) => {
      log.fault = fault
      setTimeout(() => { log.fault = 'none' }, lasts)
      let told: SubmissionOutcome | undefined
      appender.append({ key: 'a', value: Buffer.from('a') }, TIME_LIMIT).then(answer => { told = answer })
      await clock.tickAsync(within)
      assert.equal(told, outcome)
      assert.equal(log.latestValue(TOPICS.submissions, 'a') !== undefined, stored)
    }))
  }

  /** A record that waits behind an unanswered append has not been sent: its caller is told so at once and can try elsewhere. */
  it('refuses what waits behind an append without an answer', async () => await withAppender(async (clock, log, appender) => {
    log.fault = 'silent'
    const told = new Map<string, SubmissionOutcome>()
    for (const key of ['a', 'b']) appender.append({ key, value: Buffer.from(key) }, TIME_LIMIT).then(answer => told.set(key, answer))
    await clock.tickAsync(500)
    assert.deepEqual([...told], [['b', 'refused']])
    assert.ok(appender.isStalled)
    log.fault = 'none'
    await clock.tickAsync(1500)
    assert.deepEqual([...told], [['b', 'refused'], ['a', 'stored']])
    assert.equal(log.latestValue(TOPICS.submissions, 'b'), undefined)
  }))
})

async function withAppender (body: (clock: ReturnType<typeof FakeTimers.install>, log: FakeRecordLog, appender: SubmissionAppender) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install()
  const log = new FakeRecordLog()
  const appender = new SubmissionAppender(log, 0, () => {}, () => performance.now())
  try {
    await body(clock, log, appender)
  } finally {
    appender.dispose()
    clock.uninstall()
  }
}
