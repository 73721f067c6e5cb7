import assert from 'node:assert/strict'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'
import FakeTimers from '@sinonjs/fake-timers'
import { Logger } from '../../src/base/logger.js'
import { ConfigurationWarnings } from '../../src/cluster/configurationWarnings.js'
import type { ReadOutcome, SnapshotOutcome } from '../../src/cluster/recordLog.js'
import { HttpClient } from '../../src/links/httpClient.js'
import { decodeJob } from '../../platform/jobFormat.js'
import { PlatformLogClient } from '../../platform/logClient.js'
import { decodeConfiguration, decodeWorker, findConfigurationFault } from '../../platform/registry.js'
import { parsePlatformSettings } from '../../platform/settings.js'
import { PlatformEligibilityClient, PlatformWorkerClient } from '../../platform/workerClient.js'

type Responder = (request: IncomingMessage, body: Buffer, response: ServerResponse) => void

let server: Server
let address: string
let respond: Responder = () => {}
const http = new HttpClient(4)

before(async () => {
  server = createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => respond(request, Buffer.concat(chunks), response))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`
})

after(() => {
  http.dispose()
  server.closeAllConnections()
  server.close()
})

function json (status: number, value: object): Responder {
  return (_request, _body, response) => response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
}

function bigEndian (length: number, value: number): Buffer {
  const bytes = Buffer.alloc(length)
  bytes.writeUIntBE(value, Math.max(0, length - 6), Math.min(6, length))
  return bytes
}

describe('PlatformLogClient', () => {
  /** Responses to an append and their outcomes. Only a refusal that certainly stored nothing counts as refused. */
  const APPENDS: ReadonlyArray<{ readonly name: string, readonly responder: Responder, readonly outcome: object }> = [
    { name: 'stored', responder: json(200, { offset: 3, end: 4 }), outcome: { kind: 'stored', end: 4 } },
    { name: 'sent for another offset', responder: json(412, { end: 9 }), outcome: { kind: 'conflict', end: 9 } },
    { name: 'fenced', responder: json(409, { reason: 'fenced' }), outcome: { kind: 'fenced' } },
    { name: 'out of sequence', responder: json(409, { reason: 'seq', sequence: 7 }), outcome: { kind: 'outOfSequence', expected: 7 } },
    { name: 'refused by a busy log', responder: json(503, {}), outcome: { kind: 'refused', reason: 'status 503' } },
    { name: 'over the rate limit', responder: json(429, {}), outcome: { kind: 'refused', reason: 'status 429' } },
    { name: 'refused by a full log', responder: json(507, {}), outcome: { kind: 'refused', reason: 'status 507' } },
    { name: 'timed out at a gateway', responder: json(504, {}), outcome: { kind: 'unknown', reason: 'status 504' } }
  ]
  for (const { name, responder, outcome } of APPENDS) {
    it(`decodes an append that is ${name}`, async () => {
      respond = responder
      assert.deepEqual(await new PlatformLogClient(address, http).append('keyed.t', 0, [{ key: 'k', value: Buffer.from('v') }]), outcome)
    })
  }

  it('returns an unknown outcome for an append whose connection was reset', async () => {
    respond = (_request, _body, response) => response.socket?.resetAndDestroy()
    assert.equal((await new PlatformLogClient(address, http).append('keyed.t', 0, [])).kind, 'unknown')
  })

  it('encodes keyed records and the fenced writer', async () => {
    let seen: { url: string, body: Buffer } | undefined
    respond = (request, body, response) => {
      seen = { url: String(request.url), body }
      response.end('{}')
    }
    await new PlatformLogClient(address, http).append('keyed.t', 2, [{ key: 'ab', value: Buffer.from('v') }, { key: 'c' }], { writer: { name: 'w', term: 7, sequence: 12 } })
    assert.equal(seen?.url, '/v1/log-append?topic=keyed.t&part=2&producer=w&epoch=7&sequence=12')
    assert.deepEqual(seen?.body, Buffer.concat([bigEndian(4, 4), Buffer.from('\x02abv'), bigEndian(4, 2), Buffer.from('\x01c')]))
  })

  it('decodes the records of a read with offsets and removed keys, and ignores a truncated last record', async () => {
    respond = (_request, _body, response) => response.end(Buffer.concat([bigEndian(8, 12), bigEndian(8, 0), bigEndian(4, 4), Buffer.from('\x02abv'), bigEndian(4, 2), Buffer.from('\x01c'), bigEndian(4, 9), Buffer.from('\x01')]))
    const outcome = await new PlatformLogClient(address, http).read('keyed.t', 0, 10, 0)
    assert.deepEqual(outcome, { kind: 'records', next: 12, records: [{ key: 'ab', value: Buffer.from('v'), offset: 10 }, { key: 'c', value: undefined, offset: 11 }] })
  })

  it('reports expired records', async () => {
    respond = json(410, { first: 40 })
    assert.deepEqual(await new PlatformLogClient(address, http).read('keyed.t', 0, 10, 0), { kind: 'expired', first: 40 })
  })

  it('reads a snapshot page by page and returns the end offset of the first page', async () => {
    respond = (request, _body, response) => {
      const second = String(request.url).includes('after=a')
      const item = (key: string, offset: number): object => ({ key, value: Buffer.from(key).toString('base64'), offset })
      response.end(JSON.stringify(second ? { items: [item('b', 5)], more: false, end: 9 } : { items: [item('a', 1)], more: true, end: 6 }))
    }
    const outcome = await new PlatformLogClient(address, http).snapshot('keyed.t', 0)
    assert.deepEqual(outcome, { kind: 'snapshot', end: 6, records: [{ key: 'a', value: Buffer.from('a'), offset: 1 }, { key: 'b', value: Buffer.from('b'), offset: 5 }] })
  })

  /** Records missing from a snapshot count as never written, so their tasks would run again. */
  const PAGES: ReadonlyArray<{ readonly name: string, readonly body: string }> = [
    { name: 'is truncated', body: '{"items":[{"key":"b","val' },
    { name: 'holds no items', body: '{}' },
    { name: 'is no object', body: 'null' },
    { name: 'holds an item that is no object', body: '{"items":[null],"more":false,"end":9}' },
    { name: 'holds an item without a key', body: '{"items":[{"value":"","offset":5}],"more":false,"end":9}' },
    { name: 'holds an item whose value is no text', body: '{"items":[{"key":"b","value":7,"offset":5}],"more":false,"end":9}' },
    { name: 'holds an item without an offset', body: '{"items":[{"key":"b","value":""}],"more":false,"end":9}' }
  ]
  for (const { name, body } of PAGES) {
    it(`does not take a page that ${name} for the last one of a snapshot`, async () => {
      respond = (request, _body, response) => response.end(String(request.url).includes('after=a') ? body : JSON.stringify({ items: [{ key: 'a', value: '', offset: 1 }], more: true, end: 6 }))
      assert.equal((await new PlatformLogClient(address, http).snapshot('keyed.t', 0)).kind, 'unavailable')
    })
  }
})

describe('PlatformLogClient on a slow link', () => {
  /** Turns of the event loop after which the client has read what the server wrote. */
  const TURNS_UNTIL_READ = 20
  /** Time between the parts of a response. Two of these intervals exceed the timeout of any call. */
  const PART_MILLISECONDS = 1500
  const WAIT_MILLISECONDS = 1000
  const PARTS = 3

  /** Runs a call on a fake clock, sends the first `sentParts` parts of its response at intervals, and returns the outcome. */
  async function receiveInParts<T> (call: (log: PlatformLogClient) => Promise<T>, body: Buffer, sentParts: number): Promise<T> {
    const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] })
    try {
      const responded = new Promise<ServerResponse>(resolve => { respond = (_request, _body, response) => resolve(response) })
      const outcome = call(new PlatformLogClient(address, http))
      const response = await responded
      const size = Math.ceil(body.length / PARTS)
      for (let part = 0; part < PARTS; part += 1) {
        if (part < sentParts) response.write(body.subarray(part * size, (part + 1) * size))
        for (let turn = 0; turn < TURNS_UNTIL_READ; turn += 1) await new Promise(resolve => setImmediate(resolve))
        clock.tick(PART_MILLISECONDS)
      }
      response.end()
      return await outcome
    } finally {
      clock.uninstall()
    }
  }

  const record = { key: 'a', value: Buffer.from('a'), offset: 1 }
  /** Guards against an instance on a slow link that can never take over the scheduler role because reading the state in the log exceeds the timeout. */
  const CALLS: ReadonlyArray<{ readonly name: string, readonly call: (log: PlatformLogClient) => Promise<SnapshotOutcome | ReadOutcome>, readonly body: Buffer, readonly outcome: object }> = [
    {
      name: 'a snapshot',
      call: async log => await log.snapshot('keyed.t', 0),
      body: Buffer.from(JSON.stringify({ items: [{ ...record, value: record.value.toString('base64') }], more: false, end: 6 })),
      outcome: { kind: 'snapshot', end: 6, records: [record] }
    },
    {
      name: 'a read',
      call: async log => await log.read('keyed.t', 0, 1, WAIT_MILLISECONDS),
      body: Buffer.concat([bigEndian(8, 2), bigEndian(8, 0), bigEndian(4, 3), Buffer.from('\x01aa')]),
      outcome: { kind: 'records', next: 2, records: [record] }
    }
  ]
  for (const { name, call, body, outcome } of CALLS) {
    it(`continues ${name} beyond its timeout as long as bytes arrive`, async () => assert.deepEqual(await receiveInParts(call, body, PARTS), outcome))
    it(`abandons ${name} when no bytes arrive for its timeout`, async () => assert.equal((await receiveInParts(call, body, 1)).kind, 'unavailable'))
  }
})

describe('PlatformWorkerClient', () => {
  const worker = (): { identity: string, address: string } => ({ identity: 'i-1', address })
  const command = { task: 'a.0.0.1', run: 2, specification: 'text', leaseUntil: 1000.5, term: 7, checkpoint: '', ticket: 't' }

  /** Responses to a start command and their outcomes. */
  const STARTS: ReadonlyArray<{ readonly name: string, readonly responder: Responder, readonly outcome: object }> = [
    { name: 'accepted', responder: json(200, { clockMs: 1 }), outcome: { kind: 'done' } },
    { name: 'fenced by a greater term', responder: json(409, { reason: 'fence' }), outcome: { kind: 'fenced' } },
    { name: 'refused for lack of capacity', responder: json(409, { reason: 'room' }), outcome: { kind: 'refused', reason: 'room' } },
    { name: 'refused for an invalid ticket', responder: json(409, { reason: 'ticket' }), outcome: { kind: 'refused', reason: 'ticket' } },
    { name: 'refused by an unhealthy worker', responder: json(503, {}), outcome: { kind: 'refused', reason: 'unhealthy' } },
    { name: 'misdirected to another process', responder: json(421, {}), outcome: { kind: 'replaced' } },
    { name: 'answered by an internal error', responder: json(500, {}), outcome: { kind: 'unknown', reason: 'status 500' } }
  ]
  for (const { name, responder, outcome } of STARTS) {
    it(`decodes a start that is ${name}`, async () => {
      respond = responder
      assert.deepEqual(await new PlatformWorkerClient(http).start(worker(), command), outcome)
    })
  }

  /** A worker known only from the progress records of a former scheduler has no address; a rejected promise would terminate the process. */
  it('returns a failure for a worker without an address', async () => {
    const unlisted = { identity: 'i-1', address: '' }
    const outcome = await new PlatformWorkerClient(http).poll(unlisted, { term: 7, acknowledgedEnd: 0, isInSequence: true, waitMilliseconds: 0 })
    assert.equal(outcome.kind, 'failed')
  })

  it('encodes a start command in whole milliseconds with the identity of the target process', async () => {
    let seen: unknown
    respond = (request, body, response) => {
      seen = [request.headers['vanillaturn-target-instance'], JSON.parse(body.toString())]
      response.end('{}')
    }
    await new PlatformWorkerClient(http).start(worker(), command)
    assert.deepEqual(seen, ['i-1', { task: 'a.0.0.1', run: 2, spec: 'text', expiresAtMs: 1000, fence: 7, ticket: 't' }])
  })

  it('decodes a report', async () => {
    respond = json(200, { clockMs: 50, born: 5, running: [['a.0.0.1', 2, 'saved', 41, 300], ['a.0.0.4', 1, '', 0]], ended: [[8, 'a.0.0.2', 1, 'done', ''], [9, 'a.0.0.3', 1, 'unexpected', '']] })
    assert.deepEqual(await new PlatformWorkerClient(http).poll(worker(), { term: 7, acknowledgedEnd: 0, isInSequence: false, waitMilliseconds: 0 }), {
      kind: 'report',
      acknowledgedEnd: 0,
      report: { clockMilliseconds: 50, processStartedAt: 5, running: [{ task: 'a.0.0.1', run: 2, checkpoint: 'saved', percent: 41, load: 300 }, { task: 'a.0.0.4', run: 1, checkpoint: '', percent: 0 }], ended: [{ number: 8, task: 'a.0.0.2', run: 1, kind: 'done', checkpoint: '' }], mayOmitEnds: false }
    })
  })

  /** Guards against a report that is cut off at the platform's limit and read as if it listed all ends. Rows of unknown kinds count, too. */
  const END_COUNTS: ReadonlyArray<{ readonly count: number, readonly kind: string, readonly mayOmitEnds: boolean }> = [
    { count: 0, kind: 'done', mayOmitEnds: false },
    { count: 499, kind: 'done', mayOmitEnds: false },
    { count: 500, kind: 'done', mayOmitEnds: true },
    { count: 500, kind: 'unexpected', mayOmitEnds: true }
  ]
  for (const { count, kind, mayOmitEnds } of END_COUNTS) {
    it(`decodes a report with ${count} ends of kind ${kind} as one that ${mayOmitEnds ? 'may omit ends' : 'lists all ends'}`, async () => {
      respond = json(200, { clockMs: 50, born: 5, running: [], ended: Array.from({ length: count }, (_, index) => [index + 1, `a.0.0.${index}`, 1, kind, '']) })
      const outcome = await new PlatformWorkerClient(http).poll(worker(), { term: 7, acknowledgedEnd: 0, isInSequence: false, waitMilliseconds: 0 })
      assert.equal(outcome.kind === 'report' && outcome.report.mayOmitEnds, mayOmitEnds)
    })
  }

  /** An exception while a report is decoded would end the process of the active scheduler. A run that is missing from a report would count as absent, so that no part of a malformed report is used. */
  const REPORT = { clockMs: 50, born: 5, running: [['a.0.0.1', 2, 'saved', 41]], ended: [[8, 'a.0.0.2', 1, 'done', '']] }
  const MALFORMED_REPORTS: ReadonlyArray<{ readonly name: string, readonly body: unknown }> = [
    { name: 'no object', body: null },
    { name: 'no clock', body: { ...REPORT, clockMs: undefined } },
    { name: 'a clock that is no number', body: { ...REPORT, clockMs: 'late' } },
    { name: 'a start time that is no number', body: { ...REPORT, born: [] } },
    { name: 'runs that are no list', body: { ...REPORT, running: {} } },
    { name: 'a run that is null', body: { ...REPORT, running: [...REPORT.running, null] } },
    { name: 'a run that is no row', body: { ...REPORT, running: [...REPORT.running, 7] } },
    { name: 'a run without a number', body: { ...REPORT, running: [['a.0.0.1']] } },
    { name: 'a run whose progress is no number', body: { ...REPORT, running: [['a.0.0.1', 2, '', 'half']] } },
    { name: 'ends that are no list', body: { ...REPORT, ended: null } },
    { name: 'an end that is null', body: { ...REPORT, ended: [null] } },
    { name: 'an end whose task is no string', body: { ...REPORT, ended: [[8, {}, 1, 'done', '']] } },
    { name: 'an end whose number is a string', body: { ...REPORT, ended: [['8', 'a.0.0.2', 1, 'done', '']] } }
  ]
  for (const { name, body } of MALFORMED_REPORTS) {
    it(`returns a failure for a report with ${name}`, async () => {
      respond = json(200, body as object)
      const outcome = await new PlatformWorkerClient(http).poll(worker(), { term: 7, acknowledgedEnd: 0, isInSequence: false, waitMilliseconds: 0 })
      assert.deepEqual(outcome, { kind: 'failed', reason: 'malformed report' })
    })
  }

  /** The same for the eligibility service. */
  const MALFORMED_ANSWERS: ReadonlyArray<{ readonly name: string, readonly body: unknown }> = [
    { name: 'no list', body: { good: 3, validMs: 100 } },
    { name: 'a row that is null', body: { good: [null], validMs: 100 } },
    { name: 'a ticket that is no string', body: { good: [['i-1', 5]], validMs: 100 } },
    { name: 'no validity', body: { good: [['i-1', 't']] } }
  ]
  for (const { name, body } of MALFORMED_ANSWERS) {
    it(`returns a failure for an answer of the eligibility service with ${name}`, async () => {
      respond = json(200, body as object)
      assert.deepEqual(await new PlatformEligibilityClient(address, http).query('a.0.0', ['i-1'], 1000), { kind: 'failed', reason: 'malformed response' })
    })
  }

  /** Another process under the same identity would apply the acknowledgement to an end of its own and never report that end. */
  it('acknowledges ends only over the connection that reported them', async () => {
    const seen: unknown[] = []
    respond = (request, body, response) => {
      seen.push(JSON.parse(body.toString()).seenUpto)
      json(200, { clockMs: 50, born: 5, running: [], ended: [] })(request, body, response)
    }
    const client = new PlatformWorkerClient(http)
    const poll = async (acknowledgedEnd: number, isInSequence = true): Promise<number | string> => {
      const outcome = await client.poll(worker(), { term: 7, acknowledgedEnd, isInSequence, waitMilliseconds: 0 })
      return outcome.kind === 'report' ? outcome.acknowledgedEnd : outcome.kind
    }
    assert.equal(await poll(0), 0)
    assert.equal(await poll(7), 7)
    server.closeAllConnections()
    // A poll outside the sequence opens another connection. It fails until the client notices that its pooled connections are closed.
    while (await poll(0, false) === 'failed') assert.ok(seen.length === 2)
    assert.equal(await poll(8), 0)
    assert.equal(await poll(8), 8)
    assert.deepEqual(seen, [0, 7, 0, 0, 8])
  })

  /** The replacement of a worker at its address is detected by the response to the next poll, which must not be delayed. */
  it('does not block a poll behind a long poll of another worker at the same address', async () => {
    const waiting: Array<() => void> = []
    respond = (request, body, response) => {
      if (request.headers['vanillaturn-target-instance'] === 'i-2') waiting.push(() => json(200, { clockMs: 50, born: 5, running: [], ended: [] })(request, body, response))
      else json(421, {})(request, body, response)
    }
    const client = new PlatformWorkerClient(http)
    const request = { term: 7, acknowledgedEnd: 0, isInSequence: true, waitMilliseconds: 0 }
    const longPoll = client.poll({ identity: 'i-2', address }, { ...request, waitMilliseconds: 20_000 })
    while (waiting.length === 0) await new Promise(resolve => setImmediate(resolve))
    assert.deepEqual(await client.poll({ identity: 'i-1', address }, request), { kind: 'replaced' })
    waiting[0]?.()
    assert.equal((await longPoll).kind, 'report')
  })

  it('sends nothing over a new connection when the request requires the open one and that is closed before the request is sent', async () => {
    let requests = 0
    respond = (_request, _body, response) => {
      requests += 1
      response.end('{}')
    }
    const options = { method: 'POST', path: '/', channel: 'test', timeoutMilliseconds: 1000 } as const
    assert.equal((await http.request(address, options)).kind, 'answer')
    server.closeAllConnections()
    // The connection is closed, but the client has not noticed it yet.
    assert.notEqual((await http.request(address, { ...options, requiresOpenConnection: true })).kind, 'answer')
    assert.equal(requests, 1)
    assert.equal((await http.request(address, { ...options, requiresOpenConnection: true })).kind, 'notSent')
  })

  it('decodes the eligible workers returned by the eligibility service', async () => {
    respond = json(200, { good: [['i-1', 'ticket']], validMs: 2500 })
    assert.deepEqual(await new PlatformEligibilityClient(address, http).query('a.0.0', ['i-1', 'i-2'], 1000), { kind: 'eligible', workers: [{ worker: 'i-1', ticket: 'ticket' }], validMilliseconds: 2500 })
  })
})

describe('decodeJob', () => {
  const step = { count: 2, millicpus: 500, memMb: 64, estMs: 900 }
  /** Invalid bodies; each is rejected with a reason, and none throws. */
  const INVALID: ReadonlyArray<{ readonly name: string, readonly body: unknown, readonly reason: RegExp }> = [
    { name: 'malformed JSON', body: '{', reason: /not valid JSON/ },
    { name: 'a list', body: [], reason: /steps/ },
    { name: 'no steps', body: { spec: '', steps: [] }, reason: /steps/ },
    { name: 'a step that is not an object', body: { spec: '', steps: [5] }, reason: /steps\.0/ },
    { name: 'a negative amount', body: { spec: '', steps: [{ ...step, memMb: -1 }] }, reason: /memoryMegabytes/ },
    { name: 'an amount of the wrong type', body: { spec: '', steps: [{ ...step, millicpus: '500' }] }, reason: /processorsThousandths/ },
    { name: 'too many tasks', body: { spec: '', steps: [{ ...step, count: 1e9 }] }, reason: /count/ },
    { name: 'a cycle', body: { spec: '', steps: [{ ...step, after: [1] }, { ...step, after: [0] }] }, reason: /after/ },
    { name: 'a step after itself', body: { spec: '', steps: [{ ...step, after: [0] }] }, reason: /after/ },
    { name: 'a specification that is too long', body: { spec: 'x'.repeat(4001), steps: [step] }, reason: /longer/ }
  ]
  for (const { name, body, reason } of INVALID) {
    it(`rejects ${name}`, () => {
      const decoded = decodeJob(typeof body === 'string' ? body : JSON.stringify(body))
      assert.equal(decoded.kind, 'invalid')
      if (decoded.kind === 'invalid') assert.match(decoded.reason, reason)
    })
  }

  it('decodes a job and applies defaults to missing fields', () => {
    const decoded = decodeJob(JSON.stringify({ spec: 's', times: 3, firstMs: 10, intervalMs: 20, steps: [step, { ...step, after: [0], gang: true, fills: true, maxPerServer: 1, mayMiss: 2, unexpected: 1 }] }))
    assert.equal(decoded.kind, 'job')
    if (decoded.kind !== 'job') return
    assert.deepEqual([decoded.job.occurrences, decoded.job.firstDueMilliseconds, decoded.job.intervalMilliseconds], [3, 10, 20])
    const [first, second] = decoded.job.steps
    assert.deepEqual([first?.count, first?.processorsThousandths, first?.gang, first?.after], [2, 500, false, []])
    assert.deepEqual([second?.gang, second?.filler, second?.maximumPerWorker, second?.maximumUnavailable, second?.after], [true, true, 1, 2, [0]])
  })
})

describe('registry', () => {
  const entry = { service: 'p', addr: 'h:1', zone: 'a', state: 'ready', room: { millicpus: 1, memMb: 2, gpus: 0 }, labels: ['k', 'r'], machine: 'm-1', born: 7, sequence: 4 }
  /** Entries that describe no usable worker. */
  const UNUSABLE: ReadonlyArray<{ readonly name: string, readonly value: unknown }> = [
    { name: 'an unknown state', value: { ...entry, state: 'resting' } },
    { name: 'capacity of the wrong type', value: { ...entry, room: 'much' } },
    { name: 'no address', value: { ...entry, addr: undefined } },
    { name: 'a value that is not an object', value: 5 },
    { name: 'an address with a port out of range', value: { ...entry, addr: '127.0.0.1:70000' } },
    { name: 'an address with the port 0', value: { ...entry, addr: '127.0.0.1:0' } },
    { name: 'an address without a port', value: { ...entry, addr: '127.0.0.1' } },
    { name: 'an address with a path', value: { ...entry, addr: '127.0.0.1:1/x' } },
    { name: 'an address with a user', value: { ...entry, addr: 'user@127.0.0.1:1' } },
    { name: 'processors beyond what can be added up', value: { ...entry, room: { ...entry.room, millicpus: 1e308 } } },
    { name: 'memory beyond what can be added up', value: { ...entry, room: { ...entry.room, memMb: 1e300 } } },
    { name: 'accelerators beyond what can be added up', value: { ...entry, room: { ...entry.room, gpus: 1e15 } } },
    { name: 'a start that is no time', value: { ...entry, born: 1e300 } },
    { name: 'a start before 1970', value: { ...entry, born: -1 } },
    { name: 'a start between two milliseconds', value: { ...entry, born: 1.5 } },
    { name: 'more labels than a worker has', value: { ...entry, labels: Array.from({ length: 10_000 }, (_, index) => `l${index}`) } }
  ]
  for (const { name, value } of UNUSABLE) it(`skips an entry with ${name}`, () => assert.equal(decodeWorker('i-1', Buffer.from(JSON.stringify(value))), undefined))
  for (const identity of ['', 'i 1', 'i-1\n', 'i-\u00e9', 'i-\0']) it(`skips an entry with the identity ${JSON.stringify(identity)}, which no header can hold`, () => assert.equal(decodeWorker(identity, Buffer.from(JSON.stringify(entry))), undefined))
  for (const { name, text } of [
    { name: 'a number beyond the range of numbers', text: JSON.stringify(entry).replace('"millicpus":1', '"millicpus":1e400') },
    { name: 'a deeply nested field', text: JSON.stringify(entry).replace('"h:1"', '['.repeat(50_000) + ']'.repeat(50_000)) },
    { name: 'a deeply nested value', text: '{"a":'.repeat(40_000) + '1' + '}'.repeat(40_000) },
    { name: 'a nested value that is cut off', text: '['.repeat(100_000) }
  ]) it(`skips an entry with ${name}`, () => assert.equal(decodeWorker('i-1', Buffer.from(text)), undefined))
  it('skips an entry that is not JSON', () => assert.equal(decodeWorker('i-1', Buffer.from([255, 0, 1])), undefined))
  const decoded = { identity: 'i-1', pool: 'p', address: 'h:1', failureDomain: 'a', state: 'ready', processorsThousandths: 1, memoryMegabytes: 2, accelerators: 0, labels: ['k', 'r'], machine: 'm-1', processStartedAt: 7 }
  const ENTRIES: ReadonlyArray<{ readonly name: string, readonly fields: object, readonly expected: object }> = [
    { name: 'a ready worker', fields: {}, expected: {} },
    { name: 'a worker with a deeply nested field that is not used', fields: { extra: JSON.parse('['.repeat(1000) + ']'.repeat(1000)) }, expected: {} },
    { name: 'a draining worker', fields: { state: 'draining', drainRemainingMs: 1500 }, expected: { state: 'draining', drainRemainingMilliseconds: 1500 } }
  ]
  for (const { name, fields, expected } of ENTRIES) it(`decodes the entry of ${name}`, () => assert.deepEqual(decodeWorker('i-1', Buffer.from(JSON.stringify({ ...entry, ...fields }))), { ...decoded, ...expected }))
  it('decodes a configuration', () => {
    const configuration = decodeConfiguration(Buffer.from(JSON.stringify({
      version: 7,
      routes: [{ name: 'q', host: 'h', pathPrefix: '/p/', service: 'p', priority: 1, attempts: 2, stretch: 2.2, targetDurationMs: 1000, timeoutMs: 3000, public: true, advice: { decideMs: 5.5, eachMs: 0.1, validMs: 2500 } }],
      services: [{ name: 'p', healthPath: '/healthz', enforcesCapacity: false, spare: false }],
      tenants: [{ name: 'o', apiKeys: ['k1', 'k2'], priority: 1, weight: 48, cap: { millicpus: 10, memMb: 20, gpus: 0 } }],
      limits: { maxBodyBytes: 100 }
    })))
    assert.deepEqual(configuration, {
      revision: 7,
      queues: [{ name: 'q', host: 'h', routePrefix: '/p/', pool: 'p', priority: 1, attempts: 2, stretch: 2.2, targetMilliseconds: 1000, isPublic: true, eligibility: { decisionMilliseconds: 5.5, perWorkerMilliseconds: 0.1, ticketMilliseconds: 2500 } }],
      organisations: [{ name: 'o', apiKeys: ['k1', 'k2'], weight: 48, cap: { processorsThousandths: 10, memoryMegabytes: 20, accelerators: 0 } }],
      pools: [{ name: 'p', healthPath: '/healthz' }],
      maximumBodyBytes: 100
    })
  })
})

describe('findConfigurationFault', () => {
  const VALID = { version: 3, routes: [], tenants: [], limits: { maxBodyBytes: 1 } }
  const CASES: ReadonlyArray<{ readonly name: string, readonly value: unknown, readonly fault: RegExp | undefined, readonly revision?: number }> = [
    { name: 'a valid configuration', value: VALID, fault: undefined },
    { name: 'one malformed organisation', value: { ...VALID, tenants: [{ name: 7 }] }, fault: undefined },
    { name: 'organisations that are no list', value: { ...VALID, tenants: { name: 'acme', apiKeys: ['key'] } }, fault: /^tenants: /, revision: 3 },
    { name: 'a version that is no number', value: { ...VALID, version: 'three' }, fault: /^version: / },
    { name: 'no object', value: 'text', fault: /^version: / }
  ]
  for (const { name, value, fault, revision } of CASES) {
    it(`${name}: ${fault === undefined ? 'no fault' : 'a fault'}`, () => {
      const found = findConfigurationFault(Buffer.from(JSON.stringify(value)))
      assert.equal(found?.revision, revision)
      if (fault === undefined) assert.equal(found, undefined)
      else assert.match(found?.reason ?? '', fault)
    })
  }

  it('is logged once per revision, also if the record is read again', () => {
    const lines: string[] = []
    const warnings = new ConfigurationWarnings(new Logger('test', 'info', line => lines.push(line)))
    for (const [offset, revision] of [[1, 3], [1, 3], [2, 4], [5, undefined], [5, undefined]] as const) warnings.onMalformed({ key: 'config', value: Buffer.from('{}'), offset }, { revision, reason: 'tenants' })
    assert.deepEqual(lines.map(line => JSON.parse(line).revision), [3, 4, undefined])
  })
})

describe('decodeConfiguration', () => {
  const valid = { name: 'acme', apiKeys: ['k1'] }
  const decoded = { name: 'acme', apiKeys: ['k1'], weight: 1, cap: { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 } }
  /** A malformed organisation must neither open the queues nor take the keys of the others away. */
  const ORGANISATIONS: ReadonlyArray<{ readonly name: string, readonly tenants: unknown, readonly expected: object | undefined }> = [
    { name: 'no organisations', tenants: undefined, expected: { organisations: [], malformed: undefined } },
    { name: 'organisations', tenants: [valid], expected: { organisations: [decoded], malformed: undefined } },
    { name: 'an organisation without a name', tenants: [valid, { apiKeys: ['k2'] }], expected: { organisations: [decoded], malformed: 1 } },
    { name: 'keys that are no strings', tenants: [valid, { name: 'bolt', apiKeys: [7] }], expected: { organisations: [decoded], malformed: 1 } },
    { name: 'malformed organisations alone', tenants: [null, 'acme'], expected: { organisations: [], malformed: 2 } },
    { name: 'organisations that are no list', tenants: { name: 'acme' }, expected: undefined }
  ]
  for (const { name, tenants, expected } of ORGANISATIONS) {
    it(`decodes ${name}`, () => {
      const configuration = decodeConfiguration(Buffer.from(JSON.stringify({ version: 1, routes: [], tenants, limits: { maxBodyBytes: 1 } })))
      assert.deepEqual(configuration && { organisations: configuration.organisations, malformed: configuration.malformedOrganisations }, expected)
    })
  }
})

describe('parsePlatformSettings', () => {
  const text = `
node = "n"
ip = "127.0.0.1"
zone = "a"
portRange = [7720, 7735]
advice = "10.0.0.1:1"
unexpected = true
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[limits]
cpuShare = 0.5
cores = 2
linkMbps = 525.0
[bounds]
holdMaxMs = 6000
stopMs = 900
gangMs = 3000
graceS = 6
status_s = 120
farX = 1.5
[platform]
addr = "10.0.0.1:2"
`
  it('returns the settings and ignores unknown keys', () => {
    const settings = parsePlatformSettings('file', text)
    assert.equal(settings.cluster.processorShare, 1)
    assert.equal(settings.cluster.linkMegabits, 525)
    assert.deepEqual(settings.cluster.link, { host: '127.0.0.1', port: 7720 })
    assert.equal(settings.cluster.bounds.graceMilliseconds, 6000)
  })
  const REVOCATIONS: ReadonlyArray<{ readonly name: string, readonly bounds: string, readonly expected: object }> = [
    { name: 'defaults', bounds: '', expected: { milliseconds: 5000, appliesToReads: false } },
    { name: 'bounds of the file', bounds: 'revokeMs = 2000\nstrictRevoke = true\n', expected: { milliseconds: 2000, appliesToReads: true } }
  ]
  for (const { name, bounds, expected } of REVOCATIONS) it(`reads the revocation of keys from ${name}`, () => assert.deepEqual(parsePlatformSettings('file', text.replace('[platform]', `${bounds}[platform]`)).cluster.keyRevocation, expected))
  it('names the file and the key of a missing setting', () => assert.throws(() => parsePlatformSettings('file.toml', text.replace('holdMaxMs = 6000', '')), /file\.toml: bounds\.holdMaxMs/))
})
