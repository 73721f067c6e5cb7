import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { HttpExecutorClient, type ExecutorResult } from '../../src/links/executorClient.js'
import type { OutgoingRequest } from '../../src/links/outgoingRequest.js'

const REQUEST: OutgoingRequest = { method: 'POST', path: '/', headers: {}, body: Buffer.from('body') }
const NEVER_ABORTED = new AbortController().signal
/** Timeout of requests that get a response; long enough for slow machines. */
const RESPONSE_TIMEOUT_MILLISECONDS = 30_000

interface Peer {
  readonly address: string
  readonly sockets: Set<Socket>
  received: string
  maximumSockets: number
  close (): void
}

async function listen (onData: (socket: Socket, text: string, peer: Peer) => void): Promise<Peer> {
  const server: Server = createServer(socket => {
    peer.sockets.add(socket)
    peer.maximumSockets = Math.max(peer.maximumSockets, peer.sockets.size)
    socket.on('close', () => peer.sockets.delete(socket))
    socket.on('error', () => {})
    socket.on('data', data => {
      peer.received += data.toString()
      onData(socket, data.toString(), peer)
    })
  })
  const peer: Peer = { address: '', sockets: new Set(), received: '', maximumSockets: 0, close: () => {} }
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return Object.assign(peer, {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: () => {
      for (const socket of peer.sockets) socket.destroy()
      server.close()
    }
  })
}

function respond (socket: Socket): void {
  socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
}

async function read (result: ExecutorResult): Promise<string> {
  if (result.kind !== 'answer') return result.kind
  let text = ''
  for await (const chunk of result.response.body) text += String(chunk)
  return text
}

interface Case {
  readonly name: string
  readonly onData: (socket: Socket, text: string, peer: Peer) => void
  readonly run: (client: HttpExecutorClient, peer: Peer) => Promise<void>
}

/** Each case guards against reporting a sent request as not sent, or against exceeding the connection limit. */
const CASES: readonly Case[] = [
  {
    name: 'returns mayHaveRun if the peer closes a reused connection after the request',
    onData: (socket, _text, peer) => {
      if (peer.received.split('POST').length > 2) socket.destroy()
      else respond(socket)
    },
    run: async (client, peer) => {
      assert.equal(await read(await client.send(peer.address, REQUEST, RESPONSE_TIMEOUT_MILLISECONDS, 1, NEVER_ABORTED, () => true)), 'ok')
      const second = await client.send(peer.address, REQUEST, RESPONSE_TIMEOUT_MILLISECONDS, 1, NEVER_ABORTED, () => true)
      assert.equal(second.kind, 'mayHaveRun')
      assert.equal(peer.received.split('POST').length, 3)
    }
  },
  {
    name: 'does not send a request whose grant has expired while the connection was opened',
    onData: socket => respond(socket),
    run: async (client, peer) => {
      const result = await client.send(peer.address, REQUEST, 1000, 1, NEVER_ABORTED, () => false)
      assert.equal(result.kind, 'notSent')
      assert.equal(peer.received, '')
    }
  },
  {
    name: 'returns notSent for an address that cannot be parsed',
    onData: socket => respond(socket),
    run: async client => {
      for (const address of ['http://127.0.0.1:70000', 'nowhere', '']) {
        const result = await client.send(address, REQUEST, 1000, 1, NEVER_ABORTED, () => true)
        assert.equal(result.kind, 'notSent')
      }
    }
  },
  {
    name: 'returns notSent if aborted before the request is sent',
    onData: socket => respond(socket),
    run: async (client, peer) => {
      const result = await client.send(peer.address, REQUEST, 1000, 1, AbortSignal.abort(), () => true)
      assert.equal(result.kind, 'notSent')
      assert.equal(peer.received, '')
    }
  },
  {
    name: 'returns mayHaveRun if aborted after the request was sent',
    onData: () => {},
    run: async (client, peer) => {
      const caller = new AbortController()
      const pending = client.send(peer.address, REQUEST, 5000, 1, caller.signal, () => true)
      while (peer.received === '') await new Promise(resolve => setImmediate(resolve))
      caller.abort()
      const result = await pending
      assert.deepEqual([result.kind, result.kind === 'mayHaveRun' && result.timedOut], ['mayHaveRun', false])
    }
  },
  {
    name: 'returns mayHaveRun with timedOut if there is no response in time',
    onData: () => {},
    run: async (client, peer) => {
      const result = await client.send(peer.address, REQUEST, 50, 1, NEVER_ABORTED, () => true)
      assert.deepEqual([result.kind, result.kind === 'mayHaveRun' && result.timedOut], ['mayHaveRun', true])
    }
  },
  {
    name: 'returns notSent if the connection is refused',
    onData: () => {},
    run: async (client, peer) => {
      peer.close()
      assert.equal((await client.send(peer.address, REQUEST, 1000, 1, NEVER_ABORTED, () => true)).kind, 'notSent')
    }
  },
  {
    name: 'does not match a late response of a timed-out request to another request',
    onData: (socket, text) => {
      if (text.includes('POST /late')) setTimeout(() => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate'), 80)
      else respond(socket)
    },
    run: async (client, peer) => {
      await client.send(peer.address, { ...REQUEST, path: '/late' }, 30, 2, NEVER_ABORTED, () => true)
      for (let index = 0; index < 5; index += 1) assert.equal(await read(await client.send(peer.address, REQUEST, 1000, 2, NEVER_ABORTED, () => true)), 'ok')
    }
  },
  {
    name: 'keeps connections within the limit and closes idle ones above a lowered limit',
    onData: socket => setTimeout(() => respond(socket), 20),
    run: async (client, peer) => {
      const counts: number[] = []
      client.onDidChangeConnections(({ open }) => counts.push(open))
      const results = await Promise.all(Array.from({ length: 6 }, async () => await read(await client.send(peer.address, REQUEST, 1000, 4, NEVER_ABORTED, () => true))))
      assert.deepEqual(results.sort(), ['notSent', 'notSent', 'ok', 'ok', 'ok', 'ok'])
      assert.equal(peer.maximumSockets, 4)
      client.limitConnections(peer.address, 1)
      while (peer.sockets.size > 1) await new Promise(resolve => setImmediate(resolve))
      while (counts.at(-1) !== 1) await new Promise(resolve => setImmediate(resolve))
      assert.equal(Math.max(...counts), 4)
    }
  }
]

describe('HttpExecutorClient', () => {
  for (const { name, onData, run } of CASES) {
    it(name, { timeout: 10_000 }, async () => {
      const peer = await listen(onData)
      const client = new HttpExecutorClient()
      try {
        await run(client, peer)
      } finally {
        client.dispose()
        peer.close()
      }
    })
  }
})
