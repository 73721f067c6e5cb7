import assert from 'node:assert/strict'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { describe, it } from 'node:test'
import { HttpServer } from '../../src/links/httpServer.js'
import { PausedClock } from '../fakes/pausedClock.js'
import { RawCaller, untilTrue } from '../fakes/rawCaller.js'

const GET = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
const STOP_BOUND_MILLISECONDS = 30_000
const KEEP_ALIVE_MILLISECONDS = 5000
const LARGE_BYTES = 4_000_000

/** A server with callers; the test answers requests by hand. */
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

  /** A connection that has carried one request. */
  async connectKept (): Promise<RawCaller> {
    const caller = this.connect()
    caller.write(GET)
    await this.received(1)
    this.answerAll()
    await untilTrue(() => caller.received.endsWith('ok'))
    caller.received = ''
    return caller
  }

  /** Waits until so many requests wait for their answer. */
  async received (count: number): Promise<void> {
    await untilTrue(() => this.exchanges.length >= count)
  }

  answerAll (): void {
    for (const { request, response } of this.exchanges.splice(0)) {
      request.resume()
      response.end('ok')
    }
  }

  drain (boundMilliseconds = STOP_BOUND_MILLISECONDS): Promise<number> {
    return this.server.drain(performance.now() + boundMilliseconds)
  }
}

interface Case {
  readonly name: string
  readonly run: (fixture: Fixture) => Promise<void>
}

async function endsAfter (caller: RawCaller, statuses: readonly number[]): Promise<void> {
  await untilTrue(() => caller.ended !== 'no')
  assert.deepEqual({ statuses: caller.statuses, closings: caller.closeHeaderCount, ended: caller.ended }, { statuses, closings: 1, ended: 'orderly' })
}

/** Each case guards against a planned stop that leaves a request without its whole answer, or resets its connection. */
const ANSWERED: readonly Case[] = [
  {
    name: 'a request that is being handled',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.received(1)
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      fixture.answerAll()
      await endsAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request whose head has arrived in part',
    run: async fixture => {
      const caller = await fixture.connectKept()
      caller.write(GET.slice(0, 12))
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      caller.write(GET.slice(12))
      await fixture.received(1)
      fixture.answerAll()
      await endsAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request whose body has arrived in part',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write('POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nab')
      await fixture.received(1)
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      caller.write('cd')
      let body = ''
      for await (const chunk of (fixture.exchanges[0] as { request: IncomingMessage }).request) body += String(chunk)
      assert.equal(body, 'abcd')
      fixture.answerAll()
      await endsAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'pipelined requests, of which the last answer announces the end',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET + GET + GET)
      await fixture.received(3)
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      fixture.answerAll()
      await endsAfter(caller, [200, 200, 200])
      assert.match(caller.received, /connection: close(?!.*HTTP)/is)
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a pipelined request that arrives after the stop began',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.received(1)
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      caller.write(GET)
      await fixture.received(2)
      fixture.answerAll()
      await endsAfter(caller, [200, 200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request that arrives on an idle connection as the stop begins',
    run: async fixture => {
      const caller = await fixture.connectKept()
      caller.write(GET)
      const drained = fixture.drain()
      await fixture.received(1)
      fixture.answerAll()
      await endsAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request on a connection that was idle when listening ended',
    run: async fixture => {
      const caller = await fixture.connectKept()
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      caller.write(GET)
      await fixture.received(1)
      fixture.answerAll()
      await endsAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'requests on connections that have not been accepted',
    run: async fixture => {
      fixture.onRequest = (_request, response) => { response.end('ok') }
      const callers = Array.from({ length: 50 }, () => fixture.connect())
      for (const caller of callers) caller.write(GET)
      const drained = fixture.drain()
      for (const caller of callers) await endsAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a caller that connects anew after an answer that was on its way when listening began to end',
    run: async fixture => {
      const clock = new PausedClock()
      try {
        const first = fixture.connect()
        first.write(GET.replace('host: h', 'host: h\r\nconnection: close'))
        await fixture.received(1)
        const drained = fixture.drain()
        await clock.settle()
        fixture.answerAll()
        await endsAfter(first, [200])
        const second = fixture.connect()
        second.write(GET)
        await untilTrue(() => second.socket.bytesWritten > 0)
        while (fixture.server.isListening) await clock.advance(10, 10)
        await fixture.received(1)
        fixture.answerAll()
        await endsAfter(second, [200])
        assert.equal(await drained, 0)
      } finally {
        clock.uninstall()
      }
    }
  },
  {
    name: 'a request whose answer had begun, and the one after it',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.received(1)
      const first = fixture.exchanges.shift()?.response as ServerResponse
      first.write('begun ')
      await untilTrue(() => caller.received.includes('begun'))
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      first.end('ended')
      await untilTrue(() => caller.received.includes('ended'))
      caller.write(GET)
      await fixture.received(1)
      fixture.answerAll()
      await endsAfter(caller, [200, 200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request that is answered before its large body has arrived',
    run: async fixture => {
      const caller = await fixture.connectKept()
      fixture.onRequest = (_request, response) => { response.writeHead(503).end('refused') }
      caller.socket.pause()
      const drained = fixture.drain()
      caller.write(`POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${LARGE_BYTES}\r\n\r\n`)
      await new Promise<void>(resolve => { caller.socket.write('x'.repeat(LARGE_BYTES), () => resolve()) })
      caller.socket.resume()
      await endsAfter(caller, [503])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request whose large answer is read slowly',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.received(1)
      caller.socket.pause()
      const drained = fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      fixture.exchanges[0]?.response.end('x'.repeat(LARGE_BYTES))
      for (let turns = 0; turns < 20; turns += 1) await new Promise(resolve => setImmediate(resolve))
      caller.socket.resume()
      await endsAfter(caller, [200])
      assert.ok(caller.received.endsWith('x'.repeat(LARGE_BYTES)))
      assert.equal(await drained, 0)
    }
  }
]

/** Each case guards against a stop that does not end, or that ends without saying what it cut off. */
const BOUNDED: readonly Case[] = [
  {
    name: 'without connections it ends at once, and new ones are refused',
    run: async fixture => {
      assert.equal(await fixture.drain(), 0)
      const caller = fixture.connect()
      await untilTrue(() => caller.ended !== 'no')
      assert.equal(caller.ended, 'reset')
    }
  },
  {
    name: 'a server that does not listen ends at once',
    run: async () => {
      assert.equal(await new HttpServer(() => {}).drain(performance.now() + STOP_BOUND_MILLISECONDS), 0)
    }
  },
  {
    name: 'a connection that stays idle is ended after the keep-alive time',
    run: async fixture => {
      const callers = [await fixture.connectKept(), fixture.connect()]
      await untilTrue(() => callers.every(caller => !caller.socket.connecting))
      await fixture.server.stopListening(performance.now() + STOP_BOUND_MILLISECONDS)
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
    name: 'a request that is not answered by the bound is cut off and counted',
    run: async fixture => {
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.received(1)
      assert.equal(await fixture.drain(50), 1)
      await untilTrue(() => caller.ended !== 'no')
      assert.deepEqual(caller.statuses, [])
    }
  },
  {
    name: 'a request whose head has not arrived whole by the bound is told to come back',
    run: async fixture => {
      const caller = await fixture.connectKept()
      caller.write(GET.slice(0, 12))
      const drained = fixture.drain(500)
      await endsAfter(caller, [503])
      assert.match(caller.received, /\r\nretry-after: 1\r\n/)
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request after an answer that announced the end is not handled',
    run: async fixture => {
      let handled = 0
      fixture.onRequest = () => { handled += 1 }
      const caller = fixture.connect()
      caller.write(GET)
      await fixture.received(1)
      fixture.drain()
      await untilTrue(() => !fixture.server.isListening)
      const { response } = fixture.exchanges[0] as { response: ServerResponse }
      response.write('begun ')
      await untilTrue(() => caller.received.includes('begun'))
      caller.write(GET)
      for (let turns = 0; turns < 20; turns += 1) await new Promise(resolve => setImmediate(resolve))
      response.end('ended')
      await endsAfter(caller, [200])
      assert.equal(handled, 1)
    }
  }
]

describe('HttpServer', () => {
  for (const [title, cases] of [['a drain answers', ANSWERED], ['a drain is bounded', BOUNDED]] as const) {
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
