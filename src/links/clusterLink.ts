import { Packr } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { Emitter, type Event } from '../base/emitter.js'
import { describeError, type Logger } from '../base/logger.js'
import type { SocketAddress } from '../contracts/clusterSettings.js'
import { clusterMessageSchema, type ClusterMessage, type ClusterRequest, type ClusterReply } from '../contracts/clusterMessages.js'

/** Period of pings in milliseconds, and silence after which a link counts as dead. */
const PING_PERIOD_MILLISECONDS = 500
const SILENCE_MILLISECONDS = 1500
/** Time within which a link must open, in milliseconds. */
const OPEN_TIMEOUT_MILLISECONDS = 600
/** Largest frame in bytes; the largest message names a hundred workers. */
const MAXIMUM_FRAME_BYTES = 256 * 1024

const packer = new Packr({ useRecords: false })

/** One link between two instances. Questions may be asked in both directions. */
export class ClusterLink extends DisposableObject {
  private readonly pending = new Map<number, (reply: ClusterReply | undefined) => void>()
  private nextIdentifier = 0
  private heardAt: number
  private readonly didReceive = new Emitter<ClusterMessage>()
  private readonly didClose = new Emitter<{ readonly byPeer: boolean }>()
  /** Messages that are no replies. */
  readonly onDidReceive: Event<ClusterMessage> = this.didReceive.event
  /** The link has closed; `byPeer` says that the peer's host closed the connection, in contrast to silence. */
  readonly onDidClose: Event<{ readonly byPeer: boolean }> = this.didClose.event

  constructor (private readonly socket: WebSocket, private readonly logger: Logger, private readonly now: () => number) {
    super()
    this.heardAt = now()
    this.register(toDisposable(() => socket.terminate()))
    this.registerInterval(() => this.checkSilence(), PING_PERIOD_MILLISECONDS)
    socket.on('message', data => this.onMessage(data as Buffer))
    socket.on('pong', () => this.onHeard())
    socket.on('ping', () => this.onHeard())
    socket.on('error', error => logger.debug('link error', { reason: describeError(error) }))
    socket.on('close', () => this.close(true))
  }

  send (message: ClusterMessage): void {
    if (this.socket.readyState === WebSocket.OPEN) this.socket.send(packer.pack(message))
  }

  /** Asks the peer; undefined if it does not answer in time or the link closes. */
  async sendRequest (question: ClusterRequest, timeoutMilliseconds: number): Promise<ClusterReply | undefined> {
    if (this.isDisposed) return undefined
    const id = this.nextIdentifier++
    return await new Promise(resolve => {
      const timer = setTimeout(() => finish(undefined), timeoutMilliseconds)
      const finish = (reply: ClusterReply | undefined): void => {
        clearTimeout(timer)
        this.pending.delete(id)
        resolve(reply)
      }
      this.pending.set(id, finish)
      this.send({ ...question, id } as ClusterMessage)
    })
  }

  private onHeard (): void {
    this.heardAt = this.now()
  }

  private onMessage (data: Buffer): void {
    this.onHeard()
    let message: ClusterMessage
    try {
      message = clusterMessageSchema.parse(packer.unpack(data))
    } catch (error) {
      this.logger.warn('malformed frame on a link; the link is closed', { reason: describeError(error) })
      this.close(false)
      return
    }
    if (message.type === 'stateReply' || message.type === 'waitingReply' || message.type === 'eligibilityReply') this.pending.get(message.id)?.(message)
    else this.didReceive.fire(message)
  }

  private checkSilence (): void {
    if (this.now() - this.heardAt > SILENCE_MILLISECONDS) {
      this.close(false)
      return
    }
    if (this.socket.readyState === WebSocket.OPEN) this.socket.ping()
  }

  private close (byPeer: boolean): void {
    if (this.isDisposed) return
    this.dispose()
    for (const finish of [...this.pending.values()]) finish(undefined)
    this.didClose.fire({ byPeer })
  }
}

/** Accepts links from other instances. */
export class ClusterLinkServer extends DisposableObject {
  private server: WebSocketServer | undefined
  private readonly links = new Set<ClusterLink>()
  private readonly didOpen = new Emitter<ClusterLink>()
  readonly onDidOpen: Event<ClusterLink> = this.didOpen.event

  constructor (private readonly logger: Logger, private readonly now: () => number) {
    super()
    this.register(toDisposable(() => {
      for (const link of this.links) link.dispose()
      this.server?.close()
    }))
  }

  /** Listens; rejects if the address is taken. */
  async listen (address: SocketAddress): Promise<number> {
    const server = new WebSocketServer({ host: address.host, port: address.port, maxPayload: MAXIMUM_FRAME_BYTES, perMessageDeflate: false })
    this.server = server
    server.on('connection', socket => this.onConnection(socket))
    await new Promise<void>((resolve, reject) => {
      server.once('listening', () => resolve())
      server.once('error', reject)
    })
    const bound = server.address()
    return typeof bound === 'object' && bound !== null ? bound.port : address.port
  }

  private onConnection (socket: WebSocket): void {
    const link = new ClusterLink(socket, this.logger, this.now)
    this.links.add(link)
    link.onDidClose(() => this.links.delete(link))
    this.didOpen.fire(link)
  }
}

/** Opens a link; undefined if it cannot be opened in time. */
export async function openClusterLink (address: string, logger: Logger, now: () => number): Promise<ClusterLink | 'refused' | 'silent'> {
  return await new Promise(resolve => {
    const socket = new WebSocket(`ws://${address}`, { handshakeTimeout: OPEN_TIMEOUT_MILLISECONDS, maxPayload: MAXIMUM_FRAME_BYTES, perMessageDeflate: false })
    const onError = (error: Error & { code?: string }): void => {
      socket.terminate()
      resolve(error.code === 'ECONNREFUSED' ? 'refused' : 'silent')
    }
    socket.once('error', onError)
    socket.once('open', () => {
      socket.off('error', onError)
      // The peer's first message may have come with the answer to the handshake; it waits until the opener listens.
      socket.pause()
      setImmediate(() => socket.resume())
      resolve(new ClusterLink(socket, logger, now))
    })
  })
}
