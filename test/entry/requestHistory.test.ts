import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LogicalClock } from '../../src/base/logicalClock.js'
import { EventLog } from '../../src/contracts/eventLog.js'
import type { EventFields, EventKind } from '../../src/contracts/events.js'
import { RequestHistory } from '../../src/entry/requestHistory.js'

type Step = readonly [kind: EventKind, fields?: EventFields]

/** Each case guards against an explanation without the state of a request or the reason for its end. */
const CASES: ReadonlyArray<{ readonly name: string, readonly steps: readonly Step[], readonly expected: RegExp }> = [
  { name: 'waits', steps: [], expected: /^request to order \(urgent\), accepted .*: it waits for a slot of an executor$/ },
  { name: 'runs', steps: [['requestDispatched', { executor: 'e1' }]], expected: /sent to e1 after waiting \d+ ms: it runs and has not been answered$/ },
  { name: 'was answered', steps: [['requestDispatched', { executor: 'e1' }], ['requestAnswered', { detail: '200' }]], expected: /answered with status 200 after \d+ ms$/ },
  { name: 'waits for a retry', steps: [['requestDispatched', { executor: 'e1' }], ['requestRetried']], expected: /it waits to be sent again$/ },
  { name: 'was retried', steps: [['requestDispatched', { executor: 'e1' }], ['requestRetried'], ['requestDispatched', { executor: 'e2' }]], expected: /sent to e1, then e2 after waiting/ },
  { name: 'was refused', steps: [['requestFailed', { detail: 'queueFull notRun', reason: 'too many requests wait' }]], expected: /ended as queueFull notRun after \d+ ms: too many requests wait$/ }
]

function record (events: EventLog, request: string, steps: readonly Step[]): void {
  events.record('requestAccepted', { request, service: 'order', urgency: 'urgent' })
  for (const [kind, fields] of steps) events.record(kind, { request, ...fields })
}

describe('RequestHistory', () => {
  for (const { name, steps, expected } of CASES) {
    it(`explains a request that ${name}`, () => {
      const events = new EventLog('entry', '1', new LogicalClock(), () => {})
      const history = new RequestHistory(events)
      record(events, 'r', steps)
      assert.match(history.explain('r') ?? '', expected)
      history.dispose()
    })
  }

  it('forgets the oldest request when it is full, and observes nothing after disposal', () => {
    const events = new EventLog('entry', '1', new LogicalClock(), () => {})
    const history = new RequestHistory(events, 2)
    for (const request of ['a', 'b', 'c']) record(events, request, [])
    assert.deepEqual([history.size, history.explain('a')], [2, undefined])
    history.dispose()
    record(events, 'd', [])
    assert.equal(history.find('d'), undefined)
  })
})
