import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { SystemEvent } from '../../src/contracts/events.js'
import { checkCausalOrder, filterEvents, formatTimeline, mergeEvents, parseEvents, renderTimelinePage, type TimelineFilter } from '../../src/operator/timeline.js'

function event (process: string, logicalTime: number, kind: SystemEvent['kind'], fields: Partial<SystemEvent> = {}): SystemEvent {
  return { type: 'event', kind, process, incarnation: '1', logicalTime, time: '2026-05-04T13:00:00.000Z', ...fields }
}

/** Events of one request at the caller, the entry instance and the executor, in the order in which each wrote them. */
const REQUEST = [
  event('entry', 4, 'requestAccepted', { request: 'r', service: 'order' }),
  event('entry', 5, 'requestDispatched', { request: 'r', executor: 'e' }),
  event('entry', 12, 'requestAnswered', { request: 'r', detail: '200' }),
  event('executor', 7, 'executorStarted', { request: 'r', time: '2026-05-04T12:59:00.000Z' }),
  event('executor', 8, 'executorEnded', { request: 'r', time: '2026-05-04T12:59:01.000Z' }),
  event('load', 14, 'callerAnswered', { request: 'r' })
]

/** Each case guards against a violation of causality that is not reported, or a consistent order for which one is. */
const ORDERS: ReadonlyArray<{ readonly name: string, readonly events: readonly SystemEvent[], readonly expected: readonly RegExp[] }> = [
  { name: 'a causal order', events: REQUEST, expected: [] },
  { name: 'a process whose logical time does not increase', events: [event('a', 2, 'linkOpened'), event('a', 2, 'linkClosed')], expected: [/^a: linkClosed has logical time 2 after 2$/] },
  { name: 'a restarted process whose logical time starts again', events: [event('a', 9, 'instanceStopped'), event('a', 1, 'instanceStarted', { incarnation: '2' })], expected: [] },
  { name: 'a message to the executor without a logical time', events: [event('entry', 5, 'requestDispatched', { request: 'r' }), event('executor', 1, 'executorStarted', { request: 'r' })], expected: [/request r: executorStarted at executor has logical time 1, not after requestDispatched at entry with 5/] },
  { name: 'a response without a logical time', events: [event('executor', 7, 'executorEnded', { request: 'r' }), event('entry', 6, 'requestAnswered', { request: 'r' })], expected: [/requestAnswered at entry/] },
  { name: 'a log record without a logical time', events: [event('entry', 7, 'jobSubmitted', { job: 'j' }), event('owner', 3, 'taskStarting', { job: 'j', task: 't' })], expected: [/job j: taskStarting at owner/] },
  { name: 'a start command without a logical time', events: [event('owner', 7, 'taskStarting', { task: 't' }), event('worker', 2, 'taskStarted', { task: 't' })], expected: [/task t: taskStarted at worker/] }
]

/** Each case guards against a filter that selects too many or too few events. */
const FILTERS: ReadonlyArray<{ readonly name: string, readonly filter: TimelineFilter, readonly expected: readonly number[] }> = [
  { name: 'no field', filter: {}, expected: [4, 5, 7, 8, 12, 14] },
  { name: 'a request', filter: { request: 'other' }, expected: [] },
  { name: 'a process', filter: { instance: 'executor' }, expected: [7, 8] },
  { name: 'a kind', filter: { kind: 'requestAnswered' }, expected: [12] },
  { name: 'an earliest time', filter: { sinceMilliseconds: Date.parse('2026-05-04T12:59:01Z') }, expected: [4, 5, 8, 12, 14] },
  { name: 'a latest time', filter: { untilMilliseconds: Date.parse('2026-05-04T12:59:00Z') }, expected: [7] }
]

describe('timeline', () => {
  for (const { name, events, expected } of ORDERS) {
    it(`checks ${name}`, () => {
      const violations = checkCausalOrder(events)
      assert.equal(violations.length, expected.length, violations.join('\n'))
      for (const [index, pattern] of expected.entries()) assert.match(violations[index] as string, pattern)
    })
  }

  for (const { name, filter, expected } of FILTERS) {
    it(`filters by ${name}`, () => {
      assert.deepEqual(filterEvents(mergeEvents(REQUEST), filter).map(({ logicalTime }) => logicalTime), expected)
    })
  }

  it('orders events with the same logical time by process, regardless of wall-clock time', () => {
    const merged = mergeEvents([event('b', 3, 'linkOpened', { time: '2026-05-04T12:00:00.000Z' }), event('a', 3, 'linkOpened')])
    assert.deepEqual(merged.map(({ process }) => process), ['a', 'b'])
  })

  it('skips lines that are not events', () => {
    const lines = ['', 'noise', '{"broken', '{"type":"log"}', JSON.stringify(REQUEST[0])]
    assert.deepEqual(parseEvents(lines), [REQUEST[0]])
  })

  it('shows a request across three processes from acceptance to response, as text and as a page', () => {
    const kinds = ['requestAccepted', 'requestDispatched', 'executorStarted', 'executorEnded', 'requestAnswered', 'callerAnswered']
    const lines = formatTimeline(mergeEvents(REQUEST)).split('\n')
    assert.deepEqual(lines.map(line => kinds.find(kind => line.includes(kind))), kinds)
    const page = renderTimelinePage(mergeEvents(REQUEST))
    for (const name of ['entry', 'executor', 'load']) assert.ok(page.includes(`<th>${name}</th>`))
  })

  it('escapes event fields and loads no external resources', () => {
    const page = renderTimelinePage([event('<b>"x\'&', 1, 'linkOpened', { detail: '</td><script>alert(1)</script>' })])
    assert.ok(!page.includes('<script') && !page.includes('<b>"x'))
    assert.doesNotMatch(page, /(src|href)=|url\(|@import/)
  })
})
