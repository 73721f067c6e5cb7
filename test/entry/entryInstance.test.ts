import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { after, before, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { checkSiteConfiguration } from '../../src/contracts/siteConfiguration.js'
import type { EntryInstance } from '../../src/entry/entryInstance.js'
import { OperatorClient } from '../../src/operator/operatorClient.js'
import { createEntryInstance, createSiteStandin } from '../../src/programs/wiring.js'
import type { SiteStandin } from '../../src/standins/siteStandin.js'
import { RawCaller, untilTrue } from '../fakes/rawCaller.js'

const SITE = fileURLToPath(new URL('../../../examples/small/site.jsonc', import.meta.url))
const OPERATOR_TOKEN = 'graceful-shutdown-operator-token'
/** Long enough that a request is still running when the shutdown starts. */
const SERVICE_MILLISECONDS = 400
const BACKLOG = 20

const GET = 'GET /services/swatch-lookup/x HTTP/1.1\r\nhost: h\r\n\r\n'
const POST = 'POST /services/order-confirmation/x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody'
const SUBMISSION_HEAD = 'POST /jobs HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\r\n{'
const INCOMPLETE_BODY = POST.slice(0, -2)
const INCOMPLETE_HEAD = GET.slice(0, 20)

interface Case {
  readonly name: string
  /** Written and received before the shutdown. */
  readonly before: string
  /** Written in the event loop turn in which the shutdown starts. */
  readonly atStop: string
  /** Written after the server has stopped listening. */
  readonly after: string
  /** Statuses of the responses after the shutdown started, in order. */
  readonly expected: readonly number[]
}

/** Each case guards against a graceful shutdown that resets a connection with a request on it, or refuses a request without a retry-after header. */
const CASES: readonly Case[] = [
  { name: 'a running request gets its response', before: POST, atStop: '', after: '', expected: [200] },
  { name: 'running pipelined requests get their responses', before: GET + GET, atStop: '', after: '', expected: [200, 200] },
  { name: 'a request on an idle connection is refused', before: '', atStop: '', after: POST, expected: [503] },
  { name: 'a request that arrives as the shutdown starts is refused', before: '', atStop: POST, after: '', expected: [503] },
  { name: 'pipelined requests that arrive as the shutdown starts are refused', before: '', atStop: POST + GET, after: '', expected: [503, 503] },
  { name: 'a request whose head arrives in parts is refused', before: INCOMPLETE_HEAD, atStop: '', after: GET.slice(20), expected: [503] },
  { name: 'a request whose body never arrives completely is refused at once', before: INCOMPLETE_BODY, atStop: '', after: '', expected: [503] },
  { name: 'a submission whose body is being read is refused at once', before: SUBMISSION_HEAD, atStop: '', after: '', expected: [503] },
  { name: 'a submission whose body never arrives completely is refused at once', before: '', atStop: SUBMISSION_HEAD, after: '', expected: [503] }
]

describe('graceful shutdown of an entry instance', () => {
  let standin: SiteStandin
  let instance: EntryInstance
  const callers = new Map<Case, RawCaller>()
  let unaccepted: RawCaller[] = []
  let stopped: Promise<number>

  before(async () => {
    const source = readFileSync(SITE, 'utf8')
    const checked = checkSiteConfiguration('site.jsonc', source)
    assert.ok(checked.kind === 'valid')
    standin = createSiteStandin(checked.configuration, {
      host: '127.0.0.1', port: 0, listLagMilliseconds: 100, retainedRecords: 100_000, appendsPerSecond: 400, appendMilliseconds: 4, serviceMilliseconds: SERVICE_MILLISECONDS, seed: 1, logLevel: 'warn'
    }, () => {})
    await standin.start()
    instance = createEntryInstance({
      instance: 'gent-a-1', failureDomain: 'gent-a', region: 'be-vl', callers: { host: '127.0.0.1', port: 0 }, links: { host: '127.0.0.1', port: 0 }, platformAddress: standin.platform.address, linkKeys: ['graceful-shutdown-link-key'], operatorTokens: [OPERATOR_TOKEN], logLevel: 'error', stopBoundMilliseconds: 20_000
    }, () => {})
    const { callers: port } = await instance.start()
    standin.addInstance({ kind: 'entry', name: 'gent-a-1', failureDomain: 'gent-a', address: 'ws://127.0.0.1:1', callerAddress: `http://127.0.0.1:${port}`, state: 'live' })
    const operator = new OperatorClient(standin.platform.address, [`http://127.0.0.1:${port}`], OPERATOR_TOKEN)
    assert.equal((await operator.publish(source, 0, 'test')).kind, 'accepted')
    await operator.close()
    await untilTrue(() => instance.canServe)

    for (const testCase of CASES) callers.set(testCase, await connectKeptAlive(port))
    for (const [{ before }, caller] of callers) caller.write(before)
    const running = CASES.flatMap(({ before, expected }) => expected[0] === 200 ? [before] : []).join('').split(' HTTP/1.1').length - 1
    await untilTrue(() => instance.components.requestDispatcher.activeRequests === running)
    for (const [{ atStop }, caller] of callers) caller.write(atStop)
    unaccepted = Array.from({ length: BACKLOG }, () => new RawCaller(port))
    for (const caller of unaccepted) caller.write(POST)
    stopped = instance.stop()
    await untilTrue(() => unaccepted.every(caller => caller.ended !== 'no'))
    for (const [{ after: rest }, caller] of callers) caller.write(rest)
  })

  after(() => {
    for (const caller of [...callers.values(), ...unaccepted]) caller.socket.destroy()
    instance.dispose()
    standin.dispose()
  })

  for (const testCase of CASES) {
    it(testCase.name, { timeout: 20_000 }, async () => {
      await assertAnsweredAndClosed(callers.get(testCase) as RawCaller, testCase.expected)
    })
  }

  it('requests on connections that have not been accepted are refused', { timeout: 20_000 }, async () => {
    for (const caller of unaccepted) await assertAnsweredAndClosed(caller, [503])
  })

  it('nothing is cut off', { timeout: 20_000 }, async () => {
    assert.equal(await stopped, 0)
  })
})

/** Opens a connection that is kept alive after one request. */
async function connectKeptAlive (port: number): Promise<RawCaller> {
  const caller = new RawCaller(port)
  caller.write('GET /health HTTP/1.1\r\nhost: h\r\n\r\n')
  await untilTrue(() => caller.received.includes('ok\n'))
  caller.received = ''
  return caller
}

async function assertAnsweredAndClosed (caller: RawCaller, statuses: readonly number[]): Promise<void> {
  await untilTrue(() => caller.ended !== 'no')
  assert.deepEqual({ statuses: caller.statuses, closings: caller.closeHeaderCount, ended: caller.ended }, { statuses, closings: 1, ended: 'orderly' })
  const refusals = statuses.filter(status => status === 503).length
  assert.equal(caller.received.split(/\r\nretry-after: 1\r\n/i).length - 1, refusals)
  assert.equal(caller.received.split('"verdict":"notRun"').length - 1, refusals)
}
