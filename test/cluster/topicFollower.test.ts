import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import FakeTimers from '@sinonjs/fake-timers'
import { Random } from '../../src/base/random.js'
import { TopicFollower } from '../../src/cluster/topicFollower.js'
import { FakeRecordLog } from '../fakes/fakeRecordLog.js'

const PERIOD_MILLISECONDS = 2000

describe('TopicFollower', () => {
  const REFRESHES: ReadonlyArray<{ readonly name: string, readonly refreshAfterMilliseconds?: number, readonly isCurrent: boolean }> = [
    { name: 'is current at once after an outage if it refreshes', refreshAfterMilliseconds: 3000, isCurrent: true },
    { name: 'is current after a whole read otherwise', isCurrent: false }
  ]
  for (const { name, refreshAfterMilliseconds, isCurrent } of REFRESHES) {
    it(name, async () => {
      const clock = FakeTimers.install()
      const log = new FakeRecordLog()
      const follower = new TopicFollower(log, { topic: 'topic', partition: 0, waitMilliseconds: 1500, periodMilliseconds: () => 0, refreshAfterMilliseconds }, {
        onRecords: () => {},
        onDidChangeReachability: () => {}
      }, new Random(1), () => performance.now())
      try {
        follower.follow()
        await clock.tickAsync(2000)
        log.fault = 'refused'
        await clock.tickAsync(6000)
        log.fault = 'none'
        const endedAt = performance.now()
        await clock.tickAsync(1000)
        assert.equal(Number(follower.lastReadStartedAt) >= endedAt, isCurrent)
        await clock.tickAsync(1500)
        assert.ok(Number(follower.lastReadStartedAt) >= endedAt)
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
