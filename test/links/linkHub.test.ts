import assert from 'node:assert/strict'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { Packr, Unpackr } from 'msgpackr'
import { WebSocket } from 'ws'
import { Logger } from '../../src/base/logger.js'
import { createNonce, createProof, type PeerIdentity } from '../../src/links/handshake.js'
import { WebSocketLinkHub } from '../../src/links/linkHub.js'

const HOST = '127.0.0.1'
const [OLD_KEY, NEW_KEY, OTHER_KEY] = ['old-link-key-of-the-site', 'new-link-key-of-the-site', 'key-of-somebody-else-here']
const SELF: PeerIdentity = { instance: 'a-1', incarnation: 'one', failureDomain: 'zone-a' }
const PEER: PeerIdentity = { instance: 'a-2', incarnation: 'two', failureDomain: 'zone-a' }
const packer = new Packr({ useRecords: false })
const unpacker = new Unpackr({ useRecords: false })

/** Client side of a handshake that the test completes explicitly. */
interface DialedSocket {
  readonly socket: WebSocket
  readonly challenge: PeerIdentity & { readonly nonce: string, readonly proof: string }
  readonly nonce: string
}

async function dial (port: number, identity: PeerIdentity): Promise<DialedSocket | undefined> {
  const socket = new WebSocket(`ws://${HOST}:${port}`)
  await once(socket, 'open')
  const nonce = createNonce()
  socket.send(packer.pack({ type: 'hello', ...identity, nonce }))
  const message = await Promise.race([once(socket, 'message'), once(socket, 'close').then(() => undefined)])
  return message === undefined ? undefined : { socket, nonce, challenge: unpacker.unpack(message[0] as Buffer) }
}

function createDialerProof (dialed: DialedSocket, key: string, identity: PeerIdentity): string {
  return createProof(key, 'dialer', dialed.nonce, dialed.challenge.nonce, identity, SELF)
}

async function withHub (run: (hub: WebSocketLinkHub, port: number) => Promise<void>): Promise<void> {
  const hub = new WebSocketLinkHub(SELF, [NEW_KEY, OLD_KEY], new Logger('a-1', 'error', () => {}))
  try {
    await run(hub, await hub.listen(HOST, 0))
  } finally {
    hub.dispose()
  }
}

/** Resolves when the link has opened or the socket has closed. */
async function waitUntilSettled (hub: WebSocketLinkHub, socket: WebSocket): Promise<'open' | 'closed'> {
  const opened = new Promise<'open'>(resolve => hub.onDidOpen(() => resolve('open')))
  const closed = new Promise<'closed'>(resolve => socket.readyState === WebSocket.CLOSED ? resolve('closed') : socket.once('close', () => resolve('closed')))
  return await Promise.race([opened, closed])
}

/** Each case guards against a link to a peer that has not proved possession of a key for this handshake and identity. */
const PROOFS: ReadonlyArray<{ readonly name: string, readonly proof: (dialed: DialedSocket, earlier: string) => string, readonly expected: 'open' | 'closed' }> = [
  { name: 'the first key', proof: dialed => createDialerProof(dialed, NEW_KEY, PEER), expected: 'open' },
  { name: 'the second key, during rotation', proof: dialed => createDialerProof(dialed, OLD_KEY, PEER), expected: 'open' },
  { name: 'a wrong key', proof: dialed => createDialerProof(dialed, OTHER_KEY, PEER), expected: 'closed' },
  { name: 'a proof replayed from an earlier handshake', proof: (_dialed, earlier) => earlier, expected: 'closed' },
  { name: 'the acceptor\'s own proof reflected', proof: dialed => dialed.challenge.proof, expected: 'closed' },
  { name: 'a proof for another incarnation', proof: dialed => createDialerProof(dialed, NEW_KEY, { ...PEER, incarnation: 'three' }), expected: 'closed' }
]

describe('WebSocketLinkHub', () => {
  for (const { name, proof, expected } of PROOFS) {
    it(`${name}: ${expected}`, async () => {
      await withHub(async (hub, port) => {
        const first = await dial(port, PEER) as DialedSocket
        const earlier = createDialerProof(first, NEW_KEY, PEER)
        first.socket.terminate()
        const dialed = await dial(port, PEER) as DialedSocket
        const outcome = waitUntilSettled(hub, dialed.socket)
        dialed.socket.send(packer.pack({ type: 'proof', proof: proof(dialed, earlier) }))
        assert.equal(await outcome, expected)
        assert.equal(hub.peers().length, expected === 'open' ? 1 : 0)
        dialed.socket.terminate()
      })
    })
  }

  it('sends no challenge to a peer that claims the name of this instance', async () => {
    await withHub(async (_hub, port) => assert.equal(await dial(port, { ...SELF, incarnation: 'other' }), undefined))
  })

  const FRAMES = [
    { name: 'malformed MessagePack', frame: Buffer.from([0xc1, 0xff]), counted: 1 },
    { name: 'an unknown message', frame: packer.pack({ type: 'unknown' }), counted: 1 },
    { name: 'an oversized frame', frame: Buffer.alloc(5 * 1024 * 1024), counted: 1 }
  ]
  for (const { name, frame, counted } of FRAMES) {
    it(`${name} closes the link and is counted`, async () => {
      await withHub(async (hub, port) => {
        const dialed = await dial(port, PEER) as DialedSocket
        const outcome = waitUntilSettled(hub, dialed.socket)
        dialed.socket.send(packer.pack({ type: 'proof', proof: createDialerProof(dialed, NEW_KEY, PEER) }))
        assert.equal(await outcome, 'open')
        dialed.socket.on('error', () => {})
        const closed = once(dialed.socket, 'close')
        dialed.socket.send(frame)
        await closed
        assert.equal(hub.malformedFrames, counted)
      })
    })
  }

  it('replaces the link to a peer when a new incarnation of it connects', async () => {
    await withHub(async (hub, port) => {
      const next = { ...PEER, incarnation: 'three' }
      const sockets: WebSocket[] = []
      for (const identity of [PEER, next]) {
        const dialed = await dial(port, identity) as DialedSocket
        const outcome = waitUntilSettled(hub, dialed.socket)
        dialed.socket.send(packer.pack({ type: 'proof', proof: createDialerProof(dialed, NEW_KEY, identity) }))
        assert.equal(await outcome, 'open')
        sockets.push(dialed.socket)
      }
      assert.deepEqual(hub.peers(), [next])
      for (const socket of sockets) socket.terminate()
    })
  })
})
