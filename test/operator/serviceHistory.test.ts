import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { explainHistory } from '../../src/operator/jobHistory.js'
import { parseLog } from '../../src/operator/logLine.js'

const START = Date.parse('2026-05-04T13:00:00.000Z')

function line (milliseconds: number, message: string, fields: object = {}): string {
  return JSON.stringify({ type: 'log', time: new Date(START + milliseconds).toISOString(), level: 'info', process: 'entry-1', message, ...fields })
}

const TASK = 'aa.0.0.0'
const FIRST = { task: TASK, worker: 'w1', count: 1 }
const SECOND = { task: TASK, worker: 'w2', count: 2 }
const BEGIN = [line(0, 'job accepted', { job: 'aa', durationMilliseconds: 12 }), line(100, 'run ordered', FIRST), line(500, 'task is in service', FIRST)]
const END = line(10_100, 'job finished', { job: 'aa', code: 'cancelled', durationMilliseconds: 10_100 })

describe('explainService', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly lines: readonly string[], readonly sentences: readonly string[] }> = [
    { name: 'is in service to the end', lines: [], sentences: [`${TASK} was in service for 9.600 of 10.000 s`] },
    {
      name: 'fails and is in service again',
      lines: [line(2500, 'run ended', { ...FIRST, code: 'failed' }), line(3000, 'run ordered', SECOND), line(3500, 'task is in service', SECOND)],
      sentences: [`${TASK} was in service for 8.600 of 10.000 s`, `${TASK} was out of service for 1.000 s after run 1 ended failed on w1`]
    },
    {
      name: 'is moved away from a draining worker',
      lines: [line(2500, 'run is stopped to be moved to another worker', { ...FIRST, reason: 'its worker drains' }), line(2600, 'run ended', { ...FIRST, code: 'stopped' }), line(2700, 'run ordered', SECOND), line(3300, 'task is in service', SECOND)],
      sentences: [`${TASK} was in service for 8.900 of 10.000 s`, `${TASK} was out of service for 0.700 s after run 1 was moved away from w1: its worker drains`]
    },
    {
      name: 'is over its target beside filler work',
      lines: [line(2000, 'task is over its latency target', FIRST), line(2100, 'pace of a run changed', { task: 'bb.0.0.3', code: '0 percent', reason: `the tail latency of ${TASK} is 300 ms, its target 200 ms` }), line(3200, 'task is within its latency target again', FIRST)],
      sentences: [`${TASK} was in service for 9.600 of 10.000 s`, `${TASK} was over its target for 1.200 s on w1; slowed down beside it: bb.0.0.3 to 0 percent`]
    },
    {
      name: 'stays over its target by its own load',
      lines: [line(8100, 'task is over its latency target', FIRST)],
      sentences: [`${TASK} was in service for 9.600 of 10.000 s`, `${TASK} was over its target for 2.000 s on w1; no filler work beside it was slowed down, so that its own load was the cause`]
    }
  ]
  for (const { name, lines, sentences } of CASES) {
    it(`explains a task that ${name}`, () => {
      const explained = explainHistory(parseLog([...BEGIN, ...lines, END]), 'aa') ?? []
      assert.deepEqual(explained.filter(sentence => sentence.startsWith(TASK)), sentences)
    })
  }
})
