import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { DisposableStore, toDisposable } from '../../src/base/disposable.js'
import { LogicalClock } from '../../src/base/logicalClock.js'
import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { EventLog } from '../../src/contracts/eventLog.js'
import { checkSiteConfiguration, type SiteConfiguration } from '../../src/contracts/siteConfiguration.js'
import { CallerServer } from '../../src/entry/callerServer.js'
import type { ConfigurationTask } from '../../src/entry/configurationTask.js'
import type { EntryContext } from '../../src/entry/entryContext.js'
import { Forwarder } from '../../src/entry/forwarder.js'
import { RequestDispatcher } from '../../src/entry/requestDispatcher.js'
import { IdempotencyGuard } from '../../src/entry/idempotencyGuard.js'
import type { JobApi } from '../../src/entry/jobApi.js'
import type { OperatorApi } from '../../src/entry/operatorApi.js'
import { executorLimits } from '../../src/entry/slotTask.js'
import { HttpExecutorClient } from '../../src/links/executorClient.js'
import { createPeerProof, PEER_PROOF_HEADER } from '../../src/links/peerProof.js'
import { Membership } from '../../src/machines/membership.js'
import { LeastExpectedTimeChooser } from '../../src/requests/executorChooser.js'
import { RunTimeBounds } from '../../src/requests/runTimeBounds.js'
import { CALLER_HEADERS } from '../../src/requests/headers.js'
import { SlotHolder } from '../../src/requests/slotHolder.js'

const LINK_KEY = '0123456789abcdef'
/** Time limit of a service whose requests take as long as the machine needs for them; only a failing test waits that long. */
const UPLOAD_MILLISECONDS = 15_000

function createSiteConfiguration (): SiteConfiguration {
  const service = { urgency: 'urgent', executorPool: 'pool', deadlineMilliseconds: 1500, maximumRunMilliseconds: 1000 }
  const checked = checkSiteConfiguration('test', JSON.stringify({
    site: 'test',
    failureDomains: { zone: { region: 'region' } },
    services: { booking: { ...service, idempotent: false }, lookup: { ...service, idempotent: true }, upload: { ...service, deadlineMilliseconds: UPLOAD_MILLISECONDS, maximumRunMilliseconds: UPLOAD_MILLISECONDS, idempotent: false } },
    executorPools: { pool: { slots: 8, connections: 60, executors: { zone: 2 } } },
    workerPools: {},
    teams: {},
    limits: { requestBodyBytes: 1024 * 1024 }
  }))
  if (checked.kind !== 'valid') throw new Error(JSON.stringify(checked.findings))
  return checked.configuration
}

/** Executor that records the raw text it receives and reacts with `onData`. */
class RawExecutor {
  received = ''
  readonly sockets = new Set<Socket>()
  address = ''
  pool = 'pool'

  constructor (private readonly onData: (socket: Socket, executor: RawExecutor) => void) {}

  get requests (): number {
    return this.received.split(' HTTP/1.1\r\n').length - 1
  }

  async listen (owned: DisposableStore): Promise<void> {
    const server = createServer(socket => {
      this.sockets.add(socket)
      socket.on('close', () => this.sockets.delete(socket))
      socket.on('error', () => {})
      socket.on('data', data => {
        this.received += data.toString('latin1')
        this.onData(socket, this)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    owned.add(toDisposable(() => {
      for (const socket of this.sockets) socket.destroy()
      server.close()
    }))
    this.address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  }
}

interface Site {
  readonly port: number
  readonly origin: string
  readonly executors: readonly RawExecutor[]
  readonly slots: SlotHolder
  readonly requestDispatcher: RequestDispatcher
}

/** Starts an instance with real sockets towards callers, two raw executors and all slots granted to it. */
async function startSite (owned: DisposableStore, onData: (socket: Socket, executor: RawExecutor) => void): Promise<Site> {
  const executors = [new RawExecutor(onData), new RawExecutor(onData)]
  for (const executor of executors) await executor.listen(owned)
  return await startInstance(owned, executors, 'zone', [])
}

/** Starts one instance of `failureDomain`. The executors belong to failure domain `zone`; `peers` are other instances. */
async function startInstance (owned: DisposableStore, executors: readonly RawExecutor[], failureDomain: string, peers: ReadonlyArray<{ readonly failureDomain: string, readonly origin: string }>): Promise<Site> {
  const sink = (): void => {}
  const context = {
    settings: { failureDomain, instance: `i-${failureDomain}`, linkKeys: [LINK_KEY] }, incarnation: '1', logger: new Logger('i', 'error', sink), events: new EventLog('i', '1', new LogicalClock(), sink), random: new Random(1)
  } as unknown as EntryContext
  const siteConfiguration = createSiteConfiguration()
  const configuration = { inForce: { revision: 1, configuration: siteConfiguration } } as unknown as ConfigurationTask
  const membership = new Membership()
  membership.update([
    ...executors.map((executor, index) => ({ kind: 'executor' as const, name: `e${index}`, failureDomain: 'zone', pool: executor.pool, address: executor.address, state: 'live' as const })),
    ...peers.map((peer, index) => ({ kind: 'entry' as const, name: `peer-${index}`, failureDomain: peer.failureDomain, address: '', callerAddress: peer.origin, state: 'live' as const }))
  ], performance.now())
  const slots = new SlotHolder()
  const { sequence } = slots.startReport(performance.now())
  slots.applyGrants({ sequence: 1, answersReport: sequence, validMilliseconds: 60_000, grants: [0, 1].map(index => ({ executor: `e${index}`, slots: 8, connections: 60 })) })
  const client = owned.add(new HttpExecutorClient())
  const forwarder = new Forwarder(context, membership, owned.add(new HttpExecutorClient()))
  const requestDispatcher = owned.add(new RequestDispatcher(context, configuration, membership, slots, client, new LeastExpectedTimeChooser(), { requestSlots: () => {}, reportFreedSlots: () => {} }, new IdempotencyGuard({ acquire: async () => ({ kind: 'run', unlogged: false }), recordOutcome: async () => {} }), forwarder))
  const server = owned.add(new CallerServer(configuration, requestDispatcher, {} as JobApi, { registerRoutes: () => {} } as unknown as OperatorApi, { handlePeerRequest: async () => undefined }, forwarder, () => true))
  const port = await server.listen('127.0.0.1', 0)
  return { port, origin: `http://127.0.0.1:${port}`, executors, slots, requestDispatcher }
}

function respond (body: string, extra = ''): (socket: Socket, executor: RawExecutor) => void {
  return socket => { socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n${extra}\r\n${body}`) }
}

function received (site: Site): string {
  return site.executors.map(executor => executor.received).join('')
}

function requestCount (site: Site): number {
  return site.executors.reduce((sum, executor) => sum + executor.requests, 0)
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

/** Sends raw bytes and returns everything received until the connection closes or `enough` returns true. */
async function exchangeRaw (port: number, bytes: string, enough: (text: string) => boolean): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  let text = ''
  socket.on('data', data => { text += data.toString('latin1') })
  socket.on('error', () => {})
  socket.write(bytes)
  let closed = false
  socket.on('close', () => { closed = true })
  await until(() => closed || enough(text))
  socket.destroy()
  return text
}

const LARGE_BODY = 'x'.repeat(300_000)

interface Case {
  readonly name: string
  readonly onData: (socket: Socket, executor: RawExecutor) => void
  readonly run: (site: Site) => Promise<void>
}

/** Each case guards against a truncated or foreign response, a second run of a request, or request smuggling. */
const CASES: readonly Case[] = [
  {
    name: 'a truncated response ends in a broken connection',
    onData: socket => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart')
      setTimeout(() => socket.destroy(), 20)
    },
    run: async site => {
      const response = await fetch(`${site.origin}/services/booking/x`, { method: 'POST', body: 'b' })
      await assert.rejects(response.text())
      assert.equal(requestCount(site), 1)
    }
  },
  {
    name: 'a truncated chunked response ends in a broken connection',
    onData: socket => {
      socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n')
      setTimeout(() => socket.destroy(), 20)
    },
    run: async site => {
      const response = await fetch(`${site.origin}/services/booking/x`, { method: 'POST', body: 'b' })
      await assert.rejects(response.text())
    }
  },
  {
    name: 'a non-idempotent request whose response is lost is not retried',
    onData: socket => socket.destroy(),
    run: async site => {
      const response = await fetch(`${site.origin}/services/booking/x`, { method: 'POST', body: 'b' })
      const { error } = await response.json() as { error: { verdict: string } }
      assert.equal(error.verdict, 'mayHaveRun')
      assert.equal(requestCount(site), 1)
    }
  },
  {
    name: 'when every executor refuses, retries add at most 10% to the requests sent',
    onData: socket => { socket.write('HTTP/1.1 503 Busy\r\nrequest-not-run: 1\r\ncontent-length: 0\r\n\r\n') },
    run: async site => {
      for (let index = 0; index < 40; index += 1) await (await fetch(`${site.origin}/services/lookup/x`)).text()
      assert.ok(requestCount(site) > 40 && requestCount(site) <= 44, `${requestCount(site)} attempts of 40 requests`)
    }
  },
  {
    name: 'when the caller disconnects, the request ends and its slot stays in use until the run has certainly ended',
    onData: () => {},
    run: async site => {
      const caller = new AbortController()
      const pending = fetch(`${site.origin}/services/booking/x`, { method: 'POST', body: 'b', signal: caller.signal })
      await until(() => requestCount(site) === 1)
      const sentAt = performance.now()
      caller.abort()
      await assert.rejects(pending)
      await until(() => site.requestDispatcher.activeRequests === 0)
      assert.equal(site.slots.inFlight('e0') + site.slots.inFlight('e1'), 1)
      await until(() => site.slots.inFlight('e0') + site.slots.inFlight('e1') === 0)
      assert.ok(performance.now() - sentAt >= 900)
    }
  },
  {
    name: 'a request with content-length and transfer-encoding is refused',
    onData: respond('ok'),
    run: async site => {
      const text = await exchangeRaw(site.port, 'POST /services/booking/x HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /services/booking/smuggled HTTP/1.1\r\nhost: h\r\n\r\n', () => false)
      assert.match(text, /^HTTP\/1\.1 400/)
      assert.equal(received(site), '')
    }
  },
  {
    name: 'two different content-lengths are refused',
    onData: respond('ok'),
    run: async site => {
      const text = await exchangeRaw(site.port, 'POST /services/booking/x HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nabcdef', () => false)
      assert.match(text, /^HTTP\/1\.1 400/)
      assert.equal(received(site), '')
    }
  },
  {
    name: 'hop-by-hop headers and those named by connection are dropped in both directions',
    onData: respond('ok', 'connection: x-answer-hop, keep-alive\r\nx-answer-hop: 1\r\nkeep-alive: timeout=9\r\nx-kept: 1\r\n'),
    run: async site => {
      const text = await exchangeRaw(site.port, 'GET /services/lookup/x HTTP/1.1\r\nhost: h\r\nconnection: x-hop\r\nx-hop: 1\r\nte: trailers\r\nx-end: 1\r\n\r\n', data => data.endsWith('ok'))
      assert.doesNotMatch(received(site), /x-hop|te: trailers/i)
      assert.match(received(site), /x-end: 1/i)
      assert.doesNotMatch(text, /x-answer-hop|timeout=9/i)
      assert.match(text, /x-kept: 1/i)
    }
  },
  {
    name: 'a large body is streamed completely',
    onData: (socket, executor) => {
      if (executor.received.includes('\r\n0\r\n\r\n') || executor.received.length > LARGE_BODY.length + 1000) respond('ok')(socket, executor)
    },
    run: async site => {
      const response = await fetch(`${site.origin}/services/upload/x`, { method: 'POST', body: LARGE_BODY })
      assert.equal(await response.text(), 'ok')
      assert.equal(received(site).split('x'.repeat(1)).length > LARGE_BODY.length, true)
    }
  },
  {
    name: 'a large body is not sent again once streaming has started, even for an idempotent request',
    onData: socket => socket.destroy(),
    run: async site => {
      const response = await fetch(`${site.origin}/services/lookup/x`, { method: 'PUT', body: LARGE_BODY })
      const { error } = await response.json() as { error: { verdict: string } }
      assert.equal(error.verdict, 'mayHaveRun')
      assert.equal(requestCount(site), 1)
    }
  },
  {
    name: 'a request body truncated by its caller never reaches an executor as complete',
    onData: () => {},
    run: async site => {
      const socket = connect(site.port, '127.0.0.1')
      socket.write(`POST /services/booking/x HTTP/1.1\r\nhost: h\r\ncontent-length: ${LARGE_BODY.length}\r\n\r\n${LARGE_BODY.slice(0, 100_000)}`)
      await until(() => received(site).length > 50_000)
      socket.destroy()
      await until(() => site.requestDispatcher.activeRequests === 0 && site.executors.every(executor => executor.sockets.size === 0))
      assert.doesNotMatch(received(site), /\r\n0\r\n\r\n$/)
    }
  },
  {
    name: 'a request whose body arrives slowly fails at its deadline',
    onData: respond('ok'),
    run: async site => {
      const text = await exchangeRaw(site.port, 'POST /services/booking/x HTTP/1.1\r\nhost: h\r\nvanillaturn-deadline-milliseconds: 100\r\ncontent-length: 10\r\n\r\nabc', data => data.includes('deadlineExpired'))
      assert.match(text, /"verdict":"notRun"/)
      assert.equal(received(site), '')
    }
  },
  {
    name: 'a caller that does not read its response holds slot and connection no longer than a run and its margin',
    onData: socket => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 100000000\r\n\r\n')
      const chunk = Buffer.alloc(1_000_000)
      const pump = (): void => {
        if (!socket.destroyed && socket.write(chunk)) setImmediate(pump)
        else socket.once('drain', pump)
      }
      pump()
    },
    run: async site => {
      const socket = connect(site.port, '127.0.0.1')
      socket.on('error', () => {})
      socket.write('GET /services/lookup/x HTTP/1.1\r\nhost: h\r\n\r\n')
      await until(() => site.requestDispatcher.activeRequests === 1)
      await until(() => site.requestDispatcher.activeRequests === 0)
      // The executor measures the run from the arrival of the request, so that the slot is released a margin later.
      await until(() => site.slots.inFlight('e0') + site.slots.inFlight('e1') === 0)
      socket.destroy()
    }
  }
]

describe('CallerServer and RequestDispatcher over sockets', () => {
  for (const { name, onData, run } of CASES) {
    it(name, { timeout: 20_000 }, async () => {
      const owned = new DisposableStore()
      try {
        await run(await startSite(owned, onData))
      } finally {
        owned.dispose()
      }
    })
  }
})

/** Each case guards against a forwarded request that runs twice, loops, or is accepted from a sender that is no peer. */
const FORWARD_CASES: ReadonlyArray<{ readonly name: string, readonly onData: Case['onData'], readonly run: (own: Site, other: Site) => Promise<void> }> = [
  {
    name: 'a request is forwarded once, with its identity, when its failure domain has no executor',
    onData: respond('ok'),
    run: async (own, other) => {
      const response = await fetch(`${own.origin}/services/booking/x?y=1`, { method: 'POST', body: 'b' })
      assert.equal(await response.text(), 'ok')
      assert.equal(requestCount(other), 1)
      assert.match(received(other), /^POST \/x\?y=1 /)
      assert.ok(received(other).includes(`vanillaturn-request: ${response.headers.get('vanillaturn-request')}`))
      assert.doesNotMatch(received(other), /peer-proof|forwarded-from/)
    }
  },
  {
    name: 'a lost response of the other failure domain does not get the verdict notRun',
    onData: socket => socket.destroy(),
    run: async (own, other) => {
      const response = await fetch(`${own.origin}/services/booking/x`, { method: 'POST', body: 'b' })
      assert.equal((await response.json() as { error: { verdict: string } }).error.verdict, 'mayHaveRun')
      assert.equal(requestCount(other), 1)
    }
  },
  {
    name: 'a refusal of the other failure domain keeps its verdict',
    onData: respond('ok'),
    run: async (own, other) => {
      other.requestDispatcher.stopAccepting()
      const response = await fetch(`${own.origin}/services/booking/x`, { method: 'POST', body: 'b' })
      assert.deepEqual((await response.json() as { error: { code: string, verdict: string } }).error.verdict, 'notRun')
    }
  },
  {
    name: 'a forwarded request is not forwarded again, and not accepted twice or without a valid proof',
    onData: respond('ok'),
    run: async own => {
      const request = { method: 'POST', path: '/services/booking/x', identity: 'r1', from: 'someone' }
      const headers = { 'vanillaturn-forwarded-from': 'someone', 'vanillaturn-request': 'r1', [PEER_PROOF_HEADER]: createPeerProof(LINK_KEY, request, Date.now()) }
      const codes: string[] = []
      for (const sent of [headers, headers, { ...headers, [PEER_PROOF_HEADER]: createPeerProof('another key of 16', request, Date.now()) }]) {
        const response = await fetch(`${own.origin}/services/booking/x`, { method: 'POST', body: 'b', headers: sent })
        codes.push((await response.json() as { error: { code: string } }).error.code)
      }
      assert.deepEqual(codes, ['noExecutor', 'unauthorized', 'unauthorized'])
    }
  }
]

/** Guards against names that other writers choose and that are looked up among the properties that every object inherits. */
describe('names that every object inherits', () => {
  const NAMES = ['constructor', 'toString', 'hasOwnProperty', '__proto__']
  for (const name of NAMES) {
    it(`refuses a request for a service named ${name}`, { timeout: 20_000 }, async () => {
      const owned = new DisposableStore()
      try {
        const site = await startSite(owned, respond('ok'))
        const response = await fetch(`${site.origin}/services/${name}/x`)
        assert.equal((await response.json() as { error: { code: string } }).error.code, 'unknownService')
      } finally {
        owned.dispose()
      }
    })

    it(`counts no demand for an executor whose pool is named ${name}`, async () => {
      const owned = new DisposableStore()
      try {
        const executor = new RawExecutor(respond('ok'))
        executor.pool = name
        const site = await startInstance(owned, [executor], 'zone', [])
        await (await fetch(`${site.origin}/services/lookup/x`, { headers: { [CALLER_HEADERS.deadlineMilliseconds]: '20' } })).text()
        const membership = new Membership()
        membership.update([{ kind: 'executor', name: 'e0', failureDomain: 'zone', pool: name, address: '', state: 'live' }], 0)
        const demand = Object.entries(site.requestDispatcher.demand())
        assert.deepEqual(demand.sort(), [[name, 0], ['pool', 0]].sort())
        assert.deepEqual(executorLimits(createSiteConfiguration(), membership, 'zone', new RunTimeBounds(0), 0), [])
      } finally {
        owned.dispose()
      }
    })
  }
})

describe('forwarding between failure domains', () => {
  for (const { name, onData, run } of FORWARD_CASES) {
    it(name, { timeout: 20_000 }, async () => {
      const owned = new DisposableStore()
      try {
        const other = await startSite(owned, onData)
        const executors = other.executors
        await run(await startInstance(owned, executors, 'other-zone', [{ failureDomain: 'zone', origin: other.origin }]), other)
      } finally {
        owned.dispose()
      }
    })
  }
})
