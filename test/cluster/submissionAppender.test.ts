import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import FakeTimers from '@sinonjs/fake-timers'
import { TOPICS } from '../../src/cluster/recordLog.js'
import { SubmissionAppender, type SubmissionOutcome } from '../../src/cluster/submissionAppender.js'
import { FakeRecordLog, type LogFault } from '../fakes/fakeRecordLog.js'

/** Timeout of the appends, in milliseconds. */
const TIMEOUT_MILLISECONDS = 2500

describe('SubmissionAppender', () => {
  /** Outcomes of appends while the log has a fault for `faultMilliseconds`, starting before the append. They must agree with what the log stored. */
  const CASES: ReadonlyArray<{ readonly name: string, readonly fault: LogFault, readonly faultMilliseconds: number, readonly outcome: SubmissionOutcome, readonly withinMilliseconds: number, readonly stored: boolean }> = [
    { name: 'stores', fault: 'none', faultMilliseconds: 0, outcome: 'stored', withinMilliseconds: 20, stored: true },
    { name: 'refuses immediately what the log refuses', fault: 'refused', faultMilliseconds: 5000, outcome: 'refused', withinMilliseconds: 20, stored: false },
    { name: 'sends a copy when the response is lost', fault: 'answerLost', faultMilliseconds: 100, outcome: 'stored', withinMilliseconds: 300, stored: true },
    { name: 'retries while the log does not respond', fault: 'silent', faultMilliseconds: 1200, outcome: 'stored', withinMilliseconds: TIMEOUT_MILLISECONDS, stored: true },
    { name: 'does not return refused when the record may be stored', fault: 'silent', faultMilliseconds: 10_000, outcome: 'unknown', withinMilliseconds: TIMEOUT_MILLISECONDS + 10, stored: false },
    { name: 'does not return refused when all responses are lost', fault: 'answerLost', faultMilliseconds: 10_000, outcome: 'unknown', withinMilliseconds: TIMEOUT_MILLISECONDS + 10, stored: true }
  ]
  for (const { name, fault, faultMilliseconds, outcome, withinMilliseconds, stored } of CASES) {
    it(name, async () => await withAppender(async (clock, log, appender) => {
      log.fault = fault
      setTimeout(() => { log.fault = 'none' }, faultMilliseconds)
      let result: SubmissionOutcome | undefined
      appender.append({ key: 'a', value: Buffer.from('a') }, TIMEOUT_MILLISECONDS).then(outcome => { result = outcome })
      await clock.tickAsync(withinMilliseconds)
      assert.equal(result, outcome)
      assert.equal(log.latestValue(TOPICS.submissions, 'a') !== undefined, stored)
    }))
  }

  /** A record queued behind an append without a response has not been sent: it is refused early, so that its caller can retry at another instance. */
  it('refuses records queued behind an append without a response', async () => await withAppender(async (clock, log, appender) => {
    log.fault = 'silent'
    const results = new Map<string, SubmissionOutcome>()
    for (const key of ['a', 'b']) appender.append({ key, value: Buffer.from(key) }, TIMEOUT_MILLISECONDS).then(outcome => results.set(key, outcome))
    await clock.tickAsync(500)
    assert.deepEqual([...results], [['b', 'refused']])
    assert.ok(appender.isStalled)
    log.fault = 'none'
    await clock.tickAsync(1500)
    assert.deepEqual([...results], [['b', 'refused'], ['a', 'stored']])
    assert.equal(log.latestValue(TOPICS.submissions, 'b'), undefined)
  }))

  /** The permission of a record may end while it waits for the append before it. */
  const PERMISSIONS: ReadonlyArray<{ readonly name: string, readonly mayAppend: boolean, readonly outcome: SubmissionOutcome }> = [
    { name: 'sends a queued record that may still be sent', mayAppend: true, outcome: 'stored' },
    { name: 'refuses a queued record that may no longer be sent', mayAppend: false, outcome: 'refused' }
  ]
  for (const { name, mayAppend, outcome } of PERMISSIONS) {
    it(name, async () => await withAppender(async (clock, log, appender) => {
      const results = new Map<string, SubmissionOutcome>()
      for (const key of ['a', 'b', 'c']) appender.append({ key, value: Buffer.from(key) }, TIMEOUT_MILLISECONDS, () => key !== 'b' || mayAppend).then(result => results.set(key, result))
      await clock.tickAsync(100)
      assert.deepEqual(Object.fromEntries(results), { a: 'stored', b: outcome, c: 'stored' })
      assert.equal(log.latestValue(TOPICS.submissions, 'b') !== undefined, mayAppend)
    }))
  }
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
