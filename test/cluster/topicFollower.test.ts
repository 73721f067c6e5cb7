import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import FakeTimers from '@sinonjs/fake-timers'
import { Random } from '../../src/base/random.js'
import { TopicFollower } from '../../src/cluster/topicFollower.js'
import { FakeRecordLog, type LogFault } from '../fakes/fakeRecordLog.js'

const PERIOD_MILLISECONDS = 2000
const WAIT_MILLISECONDS = 1500
const CALL_TIMEOUT_MILLISECONDS = 1000
/** Longest backoff after a failed read, and a response, in milliseconds. */
const RETRY_MILLISECONDS = 500

function createFollower (log: FakeRecordLog, periodMilliseconds: number, refreshAfterMilliseconds?: number): TopicFollower {
  return new TopicFollower(log, { topic: 'topic', partition: 0, waitMilliseconds: WAIT_MILLISECONDS, periodMilliseconds: () => periodMilliseconds, refreshAfterMilliseconds }, {
    onRecords: () => {},
    onDidChangeReachability: () => {}
  }, new Random(1), () => performance.now())
}

describe('TopicFollower', () => {
  const OUTAGES: ReadonlyArray<{ readonly fault: LogFault, readonly durationMilliseconds: number, readonly currentAfterMilliseconds: number }> = [
    { fault: 'refused', durationMilliseconds: 3100, currentAfterMilliseconds: RETRY_MILLISECONDS },
    { fault: 'refused', durationMilliseconds: 6000, currentAfterMilliseconds: RETRY_MILLISECONDS },
    { fault: 'silent', durationMilliseconds: 3100, currentAfterMilliseconds: CALL_TIMEOUT_MILLISECONDS + RETRY_MILLISECONDS },
    { fault: 'silent', durationMilliseconds: 6000, currentAfterMilliseconds: CALL_TIMEOUT_MILLISECONDS + RETRY_MILLISECONDS }
  ]
  for (const { fault, durationMilliseconds, currentAfterMilliseconds } of OUTAGES) {
    it(`is current ${currentAfterMilliseconds} ms after the log was ${fault} for ${durationMilliseconds} ms`, async () => {
      const clock = FakeTimers.install()
      const log = new FakeRecordLog(5, CALL_TIMEOUT_MILLISECONDS)
      const follower = createFollower(log, 0)
      try {
        follower.follow()
        await clock.tickAsync(2000)
        log.fault = fault
        await clock.tickAsync(durationMilliseconds)
        log.fault = 'none'
        const endedAt = performance.now()
        await clock.tickAsync(currentAfterMilliseconds)
        assert.ok(Number(follower.lastReadStartedAt) >= endedAt)
      } finally {
        follower.dispose()
        clock.uninstall()
      }
    })
  }

  const REFRESHES: ReadonlyArray<{ readonly name: string, readonly refreshAfterMilliseconds?: number, readonly isCurrent: boolean }> = [
    { name: 'does not wait for a record if its last read is older than the limit', refreshAfterMilliseconds: 3000, isCurrent: true },
    { name: 'waits for a record otherwise', isCurrent: false }
  ]
  for (const { name, refreshAfterMilliseconds, isCurrent } of REFRESHES) {
    it(name, async () => {
      const clock = FakeTimers.install()
      const follower = createFollower(new FakeRecordLog(), 0, refreshAfterMilliseconds)
      try {
        const loaded = follower.loadSnapshot()
        await clock.tickAsync(2 * PERIOD_MILLISECONDS)
        await loaded
        const followedAt = performance.now()
        follower.follow()
        await clock.tickAsync(100)
        assert.equal(Number(follower.lastReadStartedAt) >= followedAt, isCurrent)
        await clock.tickAsync(WAIT_MILLISECONDS)
        assert.ok(Number(follower.lastReadStartedAt) >= followedAt)
      } finally {
        follower.dispose()
        clock.uninstall()
      }
    })
  }

  const CASES: ReadonlyArray<{ readonly name: string, readonly callsReadNow: boolean, readonly expected: number }> = [
    { name: 'reads again after the period has passed', callsReadNow: false, expected: 0 },
    { name: 'reads before the period has passed on request', callsReadNow: true, expected: 1 }
  ]
  for (const { name, callsReadNow, expected } of CASES) {
    it(name, async () => {
      const clock = FakeTimers.install()
      const log = new FakeRecordLog()
      let records = 0
      const follower = new TopicFollower(log, { topic: 'topic', partition: 0, waitMilliseconds: 100, periodMilliseconds: () => PERIOD_MILLISECONDS }, {
        onRecords: found => { records += found.length },
        onDidChangeReachability: () => {}
      }, new Random(1), () => performance.now())
      try {
        follower.follow()
        await clock.tickAsync(500)
        log.write('topic', 'key', Buffer.from('value'))
        if (callsReadNow) follower.readNow()
        await clock.tickAsync(500)
        assert.equal(records, expected)
        await clock.tickAsync(PERIOD_MILLISECONDS)
        assert.equal(records, 1)
      } finally {
        follower.dispose()
        clock.uninstall()
      }
    })
  }
})
