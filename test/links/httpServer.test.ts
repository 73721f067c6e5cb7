import assert from 'node:assert/strict'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { describe, it } from 'node:test'
import { HttpServer } from '../../src/links/httpServer.js'
import { PausedClock } from '../fakes/pausedClock.js'
import { RawCaller, untilTrue } from '../fakes/rawCaller.js'

const GET = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
const SHUTDOWN_TIMEOUT_MILLISECONDS = 30_000
const KEEP_ALIVE_MILLISECONDS = 5000
/** Less than the time in which connections are usually closed, as after a pause of the process. */
const LATE_SHUTDOWN_MILLISECONDS = 1000
const LARGE_BYTES = 4_000_000

/** A server with connected clients. The test completes the responses explicitly. */
class Fixture {
  readonly exchanges: Array<{ readonly request: IncomingMessage, readonly response: ServerResponse }> = []
  readonly callers: RawCaller[] = []
  readonly server = new HttpServer((request, response) => {
    this.exchanges.push({ request, response })
    this.onRequest(request, response)
  })

  port = 0
  onRequest: (request: IncomingMessage, response: ServerResponse) => void = () => {}

  connect (): RawCaller {
    const caller = new RawCaller(this.port)
    this.callers.push(caller)
    return caller
  }

  /** Returns an idle keep-alive connection that has already carried one request. */
  async connectIdle (): Promise<RawCaller> {
    const caller = this.connect()
    caller.write(GET)
    await this.waitForRequests(1)
    this.respondToAll()
    await untilTrue(() => caller.received.endsWith('ok'))
    caller.received = ''
    return caller
  }

  /** Waits until `count` requests are pending. */
  async waitForRequests (count: number): Promise<void> {
    await untilTrue(() => this.exchanges.length >= count)
  }

  respondToAll (): void {
    for (const { request, response } of this.exchanges.splice(0)) {
      request.resume()
      response.end('ok')
    }
  }

  drain (timeoutMilliseconds = SHUTDOWN_TIMEOUT_MILLISECONDS): Promise<number> {
    return this.server.drain(performance.now() + timeoutMilliseconds)
  }
}

interface Case {
  readonly name: string
  readonly run: (fixture: Fixture) => Promise<void>
}

async function assertClosedAfter (caller: RawCaller, statuses: readonly number[]): Promise<void> {
  await untilTrue(() => caller.ended !== 'no')
  assert.deepEqual({ statuses: caller.statuses, closings: caller.closeHeaderCount, ended: caller.ended }, { statuses, closings: 1, ended: 'orderly' })
}

/** Each case guards against a graceful shutdown that leaves a request without a complete response, or resets its connection. */
const COMPLETED_REQUESTS: readonly Case[] = [
  {
    name: 'a request that is being processed',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.waitForRequests(1)
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      fixture.respondToAll()
      await assertClosedAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request whose head has arrived partially',
    run: async fixture => {
      const caller = await fixture.connectIdle()
      caller.write(GET.slice(0, 12))
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      caller.write(GET.slice(12))
      await fixture.waitForRequests(1)
      fixture.respondToAll()
      await assertClosedAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request whose body has arrived partially',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write('POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nab')
      await fixture.waitForRequests(1)
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      caller.write('cd')
      let body = ''
      for await (const chunk of (fixture.exchanges[0] as { request: IncomingMessage }).request) body += String(chunk)
      assert.equal(body, 'abcd')
      fixture.respondToAll()
      await assertClosedAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'pipelined requests, announcing the close only in the last response',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET + GET + GET)
      await fixture.waitForRequests(3)
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      fixture.respondToAll()
      await assertClosedAfter(caller, [200, 200, 200])
      assert.match(caller.received, /connection: close(?!.*HTTP)/is)
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a pipelined request that arrives after the shutdown has started',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.waitForRequests(1)
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      caller.write(GET)
      await fixture.waitForRequests(2)
      fixture.respondToAll()
      await assertClosedAfter(caller, [200, 200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request that arrives on an idle connection as the shutdown starts',
    run: async fixture => {
      const caller = await fixture.connectIdle()
      caller.write(GET)
      const drained = fixture.drain()
      await fixture.waitForRequests(1)
      fixture.respondToAll()
      await assertClosedAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request on a connection that was idle when the server stopped listening',
    run: async fixture => {
      const caller = await fixture.connectIdle()
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      caller.write(GET)
      await fixture.waitForRequests(1)
      fixture.respondToAll()
      await assertClosedAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'requests on connections that are not accepted yet',
    run: async fixture => {
      fixture.onRequest = (_request, response) => { response.end('ok') }
      const callers = Array.from({ length: 50 }, () => fixture.connect())
      for (const caller of callers) caller.write(GET)
      const drained = fixture.drain()
      for (const caller of callers) await assertClosedAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'requests on connections that are not accepted yet, late after a pause of the process',
    run: async fixture => {
      fixture.onRequest = (_request, response) => { response.end('ok') }
      const callers = Array.from({ length: 50 }, () => fixture.connect())
      for (const caller of callers) caller.write(GET)
      const drained = fixture.drain(LATE_SHUTDOWN_MILLISECONDS)
      for (const caller of callers) await assertClosedAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'the first request of a connection that was accepted late after a pause of the process',
    run: async fixture => {
      const clock = new PausedClock()
      try {
        const caller = fixture.connect()
        const drained = fixture.drain(LATE_SHUTDOWN_MILLISECONDS)
        await untilTrue(() => !caller.socket.connecting && !fixture.server.isListening)
        await clock.settle()
        caller.write(GET)
        await fixture.waitForRequests(1)
        fixture.respondToAll()
        await assertClosedAfter(caller, [200])
        assert.equal(await drained, 0)
      } finally {
        clock.uninstall()
      }
    }
  },
  {
    name: 'a request that arrived during a pause of the process that outlasted the keep-alive timeout',
    run: async fixture => {
      const caller = await fixture.connectIdle()
      await fixture.server.stopListening(performance.now() + SHUTDOWN_TIMEOUT_MILLISECONDS)
      const clock = new PausedClock()
      try {
        const drained = fixture.drain()
        await clock.settle()
        caller.write(GET)
        await clock.advance(KEEP_ALIVE_MILLISECONDS, KEEP_ALIVE_MILLISECONDS)
        await fixture.waitForRequests(1)
        fixture.respondToAll()
        await assertClosedAfter(caller, [200])
        assert.equal(await drained, 0)
      } finally {
        clock.uninstall()
      }
    }
  },
  {
    name: 'the request of a client that reconnects after a response that was pending when the shutdown started',
    run: async fixture => {
      const clock = new PausedClock()
      try {
        const first = fixture.connect()
        first.write(GET.replace('host: h', 'host: h\r\nconnection: close'))
        await fixture.waitForRequests(1)
        const drained = fixture.drain()
        await clock.settle()
        fixture.respondToAll()
        await assertClosedAfter(first, [200])
        const second = fixture.connect()
        second.write(GET)
        await untilTrue(() => second.socket.bytesWritten > 0)
        while (fixture.server.isListening) await clock.advance(10, 10)
        await fixture.waitForRequests(1)
        fixture.respondToAll()
        await assertClosedAfter(second, [200])
        assert.equal(await drained, 0)
      } finally {
        clock.uninstall()
      }
    }
  },
  {
    name: 'the request of a client that reconnects after a response in the interval before the server stops listening',
    run: async fixture => {
      const clock = new PausedClock()
      try {
        const first = fixture.connect()
        first.write(GET)
        await fixture.waitForRequests(1)
        const drained = fixture.drain()
        await clock.advance(19, 19)
        fixture.respondToAll()
        await assertClosedAfter(first, [200])
        await clock.advance(10, 10)
        const second = fixture.connect()
        second.write(GET)
        await untilTrue(() => second.ended !== 'no' || second.socket.bytesWritten > 0)
        while (fixture.server.isListening) await clock.advance(10, 10)
        await fixture.waitForRequests(1)
        fixture.respondToAll()
        await assertClosedAfter(second, [200])
        assert.equal(await drained, 0)
      } finally {
        clock.uninstall()
      }
    }
  },
  {
    name: 'the request of a client that was held up after it had connected',
    run: async fixture => {
      const clock = new PausedClock()
      try {
        const caller = fixture.connect()
        const drained = fixture.drain(LATE_SHUTDOWN_MILLISECONDS)
        while (caller.socket.connecting || fixture.server.isListening) await clock.advance(10, 10)
        await clock.advance(500, 100)
        caller.write(GET)
        await untilTrue(() => fixture.exchanges.length > 0 || caller.ended !== 'no')
        fixture.respondToAll()
        await assertClosedAfter(caller, [200])
        assert.equal(await drained, 0)
      } finally {
        clock.uninstall()
      }
    }
  },
  {
    name: 'a request whose response has started, and the next one on its connection',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.waitForRequests(1)
      const first = fixture.exchanges.shift()?.response as ServerResponse
      first.write('begun ')
      await untilTrue(() => caller.received.includes('begun'))
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      first.end('ended')
      await untilTrue(() => caller.received.includes('ended'))
      caller.write(GET)
      await fixture.waitForRequests(1)
      fixture.respondToAll()
      await assertClosedAfter(caller, [200, 200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request that gets its response before its large body has arrived',
    run: async fixture => {
      const caller = await fixture.connectIdle()
      fixture.onRequest = (_request, response) => { response.writeHead(503).end('refused') }
      caller.socket.pause()
      const drained = fixture.drain()
      caller.write(`POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${LARGE_BYTES}\r\n\r\n`)
      await new Promise<void>(resolve => { caller.socket.write('x'.repeat(LARGE_BYTES), () => resolve()) })
      caller.socket.resume()
      await assertClosedAfter(caller, [503])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request whose large response is read slowly',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.waitForRequests(1)
      caller.socket.pause()
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      fixture.exchanges[0]?.response.end('x'.repeat(LARGE_BYTES))
      for (let iterations = 0; iterations < 20; iterations += 1) await new Promise(resolve => setImmediate(resolve))
      caller.socket.resume()
      await assertClosedAfter(caller, [200])
      assert.ok(caller.received.endsWith('x'.repeat(LARGE_BYTES)))
      assert.equal(await drained, 0)
    }
  }
]

/** Each case guards against a shutdown that does not finish, or that does not report the requests it aborts. */
const TERMINATION: readonly Case[] = [
  {
    name: 'finishes immediately without connections, and new connections are refused',
    run: async fixture => {
      assert.equal(await fixture.drain(), 0)
      const caller = fixture.connect()
      await untilTrue(() => caller.ended !== 'no')
      assert.equal(caller.ended, 'reset')
    }
  },
  {
    name: 'finishes immediately on a server that does not listen',
    run: async () => {
      assert.equal(await new HttpServer(() => {}).drain(performance.now() + SHUTDOWN_TIMEOUT_MILLISECONDS), 0)
    }
  },
  {
    name: 'closes idle connections after the keep-alive timeout',
    run: async fixture => {
      const callers = [await fixture.connectIdle(), fixture.connect()]
      await untilTrue(() => callers.every(caller => !caller.socket.connecting))
      await fixture.server.stopListening(performance.now() + SHUTDOWN_TIMEOUT_MILLISECONDS)
      const clock = new PausedClock()
      try {
        const drained = fixture.drain()
        await clock.settle()
        await clock.advance(KEEP_ALIVE_MILLISECONDS - 1, KEEP_ALIVE_MILLISECONDS)
        assert.deepEqual(callers.map(caller => caller.ended), ['no', 'no'])
        await clock.advance(1, 1)
        await untilTrue(() => callers.every(caller => caller.ended !== 'no'))
        assert.deepEqual(callers.map(caller => [caller.received, caller.ended]), [['', 'orderly'], ['', 'orderly']])
        assert.equal(await drained, 0)
      } finally {
        clock.uninstall()
      }
    }
  },
  {
    name: 'aborts and counts a request without a response at the deadline',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.waitForRequests(1)
      assert.equal(await fixture.drain(50), 1)
      await untilTrue(() => caller.ended !== 'no')
      assert.deepEqual(caller.statuses, [])
    }
  },
  {
    name: 'responds with retry-after to a request whose head is incomplete at the deadline',
    run: async fixture => {
      const caller = await fixture.connectIdle()
      caller.write(GET.slice(0, 12))
      const drained = fixture.drain(500)
      await assertClosedAfter(caller, [503])
      assert.match(caller.received, /\r\nretry-after: 1\r\n/)
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'ignores a request after a response that announced the close',
    run: async fixture => {
      let handled = 0
      fixture.onRequest = () => { handled += 1 }
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.waitForRequests(1)
      fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      const { response } = fixture.exchanges[0] as { response: ServerResponse }
      response.write('begun ')
      await untilTrue(() => caller.received.includes('begun'))
      caller.write(GET)
      for (let iterations = 0; iterations < 20; iterations += 1) await new Promise(resolve => setImmediate(resolve))
      response.end('ended')
      await assertClosedAfter(caller, [200])
      assert.equal(handled, 1)
    }
  }
]

describe('HttpServer', () => {
  /** Guards against discarding a request that arrived while the process was paused: after the pause, the timer runs before the socket is read. */
  it('responds to a request that arrived before the keep-alive timeout was noticed, and closes an idle connection', { timeout: 20_000 }, async () => {
    const fixture = new Fixture()
    const sockets: Socket[] = []
    fixture.onRequest = request => { sockets.push(request.socket) }
    fixture.port = await fixture.server.listen('127.0.0.1', 0)
    const caller = await fixture.connectIdle()
    try {
      caller.write(GET)
      sockets[0]?.emit('timeout')
      await fixture.waitForRequests(1)
      fixture.respondToAll()
      await untilTrue(() => caller.received.endsWith('ok'))
      assert.equal(caller.ended, 'no')
      sockets[0]?.emit('timeout')
      await untilTrue(() => caller.ended !== 'no')
      assert.deepEqual([caller.statuses, caller.ended], [[200], 'orderly'])
    } finally {
      caller.socket.destroy()
      fixture.server.dispose()
    }
  })

  for (const [title, cases] of [['drain completes', COMPLETED_REQUESTS], ['drain', TERMINATION]] as const) {
    for (const { name, run } of cases) {
      it(`${title}: ${name}`, { timeout: 20_000 }, async () => {
        const fixture = new Fixture()
        fixture.port = await fixture.server.listen('127.0.0.1', 0)
        try {
          await run(fixture)
        } finally {
          for (const caller of fixture.callers) caller.socket.destroy()
          fixture.server.dispose()
        }
      })
    }
  }
})
