import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import FakeTimers from '@sinonjs/fake-timers'
import { Random } from '../../src/base/random.js'
import { TopicFollower } from '../../src/cluster/topicFollower.js'
import { FakeRecordLog } from '../fakes/fakeRecordLog.js'

const PERIOD_MILLISECONDS = 2000

describe('TopicFollower', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly readsNow: boolean, readonly seen: number }> = [
    { name: 'reads again after its period', readsNow: false, seen: 0 },
    { name: 'reads before its period is over when it is told to', readsNow: true, seen: 1 }
  ]
  for (const { name, readsNow, seen } of CASES) {
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
        if (readsNow) follower.readNow()
        await clock.tickAsync(500)
        assert.equal(records, seen)
        await clock.tickAsync(PERIOD_MILLISECONDS)
        assert.equal(records, 1)
      } finally {
        follower.dispose()
        clock.uninstall()
      }
    })
  }
})
