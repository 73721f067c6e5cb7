import type { AddressInfo } from 'node:net'
import { Packr, Unpackr } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { Emitter, type Event } from '../base/emitter.js'
import type { Logger } from '../base/logger.js'
import { handshakeSchema, linkMessageSchema, type HandshakeMessage, type LinkMessage } from '../contracts/linkMessages.js'
import { createNonce, createProof, isValidProof, type PeerIdentity } from './handshake.js'

/** A message that arrived from an authenticated peer. */
export interface ReceivedMessage {
  readonly from: PeerIdentity
  readonly message: LinkMessage
}

/** Exchanges messages with other entry instances. */
export abstract class LinkTransport extends DisposableObject {
  abstract readonly onDidReceive: Event<ReceivedMessage>
  abstract readonly onDidOpen: Event<PeerIdentity>
  abstract readonly onDidClose: Event<PeerIdentity>
  /** Starts listening. Resolves with the port; rejects if the address is in use. */
  abstract listen (host: string, port: number): Promise<number>
  /** Total number of bytes sent and received. */
  abstract readonly bytesExchanged: number
  /** Total number of malformed frames received. */
  abstract readonly malformedFrames: number
  abstract peers (): readonly PeerIdentity[]
  /** Sends to a peer by instance name. Returns false if there is no open link to it. */
  abstract send (instance: string, message: LinkMessage): boolean
  /** Opens a link to a peer unless one exists. */
  abstract connect (instance: string, address: string): void
}

const MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024
const HANDSHAKE_TIMEOUT_MILLISECONDS = 3000
const MAXIMUM_BUFFERED_BYTES = 8 * 1024 * 1024

interface OpenLink {
  readonly socket: WebSocket
  readonly peer: PeerIdentity
}

/** Links over WebSocket with MessagePack frames. */
export class WebSocketLinkHub extends LinkTransport {
  private readonly links = new Map<string, OpenLink>()
  private readonly dialing = new Set<string>()
  private readonly sockets = new Set<WebSocket>()
  private readonly packer = new Packr({ useRecords: false })
  private readonly unpacker = new Unpackr({ useRecords: false })
  private server: WebSocketServer | undefined
  private malformedFrameCount = 0
  private byteCount = 0
  private readonly didReceive = new Emitter<ReceivedMessage>()
  private readonly didOpen = new Emitter<PeerIdentity>()
  private readonly didClose = new Emitter<PeerIdentity>()
  override readonly onDidReceive: Event<ReceivedMessage> = this.didReceive.event
  override readonly onDidOpen: Event<PeerIdentity> = this.didOpen.event
  override readonly onDidClose: Event<PeerIdentity> = this.didClose.event

  constructor (private readonly self: PeerIdentity, private readonly keys: readonly string[], private readonly logger: Logger) {
    super()
    this.register(this.didReceive)
    this.register(this.didOpen)
    this.register(this.didClose)
    this.register(toDisposable(() => {
      for (const socket of this.sockets) socket.terminate()
      this.server?.close()
    }))
  }

  override get bytesExchanged (): number {
    return this.byteCount
  }

  override get malformedFrames (): number {
    return this.malformedFrameCount
  }

  override async listen (host: string, port: number): Promise<number> {
    const server = new WebSocketServer({ host, port, maxPayload: MAXIMUM_FRAME_BYTES, perMessageDeflate: false })
    this.server = server
    server.on('connection', socket => this.onConnection(socket))
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve)
      server.once('error', reject)
    })
    return (server.address() as AddressInfo).port
  }

  override peers (): readonly PeerIdentity[] {
    return [...this.links.values()].map(link => link.peer)
  }

  override send (instance: string, message: LinkMessage): boolean {
    const link = this.links.get(instance)
    if (link === undefined || link.socket.readyState !== WebSocket.OPEN) return false
    if (link.socket.bufferedAmount > MAXIMUM_BUFFERED_BYTES) {
      this.logger.warn('closing a link whose peer reads too slowly', { peer: instance })
      link.socket.terminate()
      return false
    }
    this.transmit(link.socket, message)
    return true
  }

  override connect (instance: string, address: string): void {
    if (this.isDisposed || this.links.has(instance) || this.dialing.has(instance) || instance === this.self.instance) return
    this.dialing.add(instance)
    const socket = new WebSocket(address, { maxPayload: MAXIMUM_FRAME_BYTES, perMessageDeflate: false, handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS })
    this.track(socket)
    const nonce = createNonce()
    socket.once('open', () => this.transmit(socket, { type: 'hello', ...this.self, nonce }))
    socket.once('close', () => this.dialing.delete(instance))
    this.awaitHandshake(socket, 'challenge', challenge => {
      const peer = toPeerIdentity(challenge)
      const candidates = this.keys.map(key => createProof(key, 'acceptor', nonce, challenge.nonce, this.self, peer))
      if (!isValidProof(challenge.proof, candidates) || peer.instance !== instance) {
        this.reject(socket, instance)
        return
      }
      const index = candidates.indexOf(challenge.proof)
      this.transmit(socket, { type: 'proof', proof: createProof(this.keys[index] as string, 'dialer', nonce, challenge.nonce, this.self, peer) })
      this.openLink(socket, peer)
    })
  }

  private onConnection (socket: WebSocket): void {
    this.track(socket)
    this.awaitHandshake(socket, 'hello', hello => {
      const peer = toPeerIdentity(hello)
      if (peer.instance === this.self.instance) {
        this.reject(socket, peer.instance)
        return
      }
      const nonce = createNonce()
      const proof = createProof(this.keys[0] as string, 'acceptor', hello.nonce, nonce, peer, this.self)
      this.transmit(socket, { type: 'challenge', ...this.self, nonce, proof })
      this.awaitHandshake(socket, 'proof', message => {
        const candidates = this.keys.map(key => createProof(key, 'dialer', hello.nonce, nonce, peer, this.self))
        if (isValidProof(message.proof, candidates)) this.openLink(socket, peer)
        else this.reject(socket, peer.instance)
      })
    })
  }

  private track (socket: WebSocket): void {
    this.sockets.add(socket)
    const timer = setTimeout(() => socket.terminate(), HANDSHAKE_TIMEOUT_MILLISECONDS)
    socket.once('handshakeDone', () => clearTimeout(timer))
    socket.once('close', () => {
      clearTimeout(timer)
      this.sockets.delete(socket)
    })
    socket.on('error', error => {
      if (String((error as { code?: unknown }).code).startsWith('WS_ERR_')) this.malformedFrameCount += 1
      this.logger.debug('link error', { reason: error.message })
    })
  }

  private awaitHandshake<Type extends HandshakeMessage['type']> (socket: WebSocket, type: Type, onMessage: (message: Extract<HandshakeMessage, { type: Type }>) => void): void {
    socket.once('message', data => {
      const parsed = handshakeSchema.safeParse(this.decode(data as Buffer))
      if (!parsed.success || parsed.data.type !== type) {
        this.malformedFrameCount += 1
        socket.terminate()
        return
      }
      onMessage(parsed.data as Extract<HandshakeMessage, { type: Type }>)
    })
  }

  private reject (socket: WebSocket, instance: string): void {
    this.logger.warn('rejected a link: the peer did not prove a valid key, or claims the name of this instance', { peer: instance })
    socket.terminate()
  }

  private openLink (socket: WebSocket, peer: PeerIdentity): void {
    const previous = this.links.get(peer.instance)
    socket.emit('handshakeDone')
    this.dialing.delete(peer.instance)
    this.links.set(peer.instance, { socket, peer })
    previous?.socket.terminate()
    socket.on('message', data => this.receive(socket, peer, data as Buffer))
    socket.once('close', () => {
      if (this.links.get(peer.instance)?.socket !== socket) return
      this.links.delete(peer.instance)
      if (!this.isDisposed) this.didClose.fire(peer)
    })
    this.didOpen.fire(peer)
  }

  private receive (socket: WebSocket, peer: PeerIdentity, data: Buffer): void {
    this.byteCount += data.length
    const parsed = linkMessageSchema.safeParse(this.decode(data))
    if (!parsed.success) {
      this.malformedFrameCount += 1
      this.logger.warn('closing a link after a malformed frame', { peer: peer.instance })
      socket.terminate()
      return
    }
    this.didReceive.fire({ from: peer, message: parsed.data })
  }

  private decode (data: Buffer): unknown {
    try {
      return this.unpacker.unpack(data)
    } catch {
      return undefined
    }
  }

  private transmit (socket: WebSocket, message: LinkMessage | HandshakeMessage): void {
    const frame = this.packer.pack(message)
    this.byteCount += frame.length
    socket.send(frame)
  }
}

function toPeerIdentity (message: PeerIdentity): PeerIdentity {
  return { instance: message.instance, incarnation: message.incarnation, failureDomain: message.failureDomain }
}
