import { Packr } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { Emitter, type Event } from '../base/emitter.js'
import { describeError, type Logger } from '../base/logger.js'
import type { SocketAddress } from '../contracts/clusterSettings.js'
import { clusterMessageSchema, type ClusterMessage, type ClusterRequest, type ClusterReply } from '../contracts/clusterMessages.js'

const PING_INTERVAL_MILLISECONDS = 500
/** Time without any frame from the peer after which the link is closed. */
const HEARTBEAT_TIMEOUT_MILLISECONDS = 1500
const OPEN_TIMEOUT_MILLISECONDS = 600
/** Largest frame; the largest message lists a hundred workers. */
const MAXIMUM_FRAME_BYTES = 256 * 1024

const packer = new Packr({ useRecords: false })

/** WebSocket link between two cluster instances. Both sides may send requests. */
export class ClusterLink extends DisposableObject {
  private readonly pending = new Map<number, (reply: ClusterReply | undefined) => void>()
  private nextRequestId = 0
  private lastReceivedAt: number
  private readonly didReceive = new Emitter<ClusterMessage>()
  private readonly didClose = new Emitter<{ readonly byPeer: boolean }>()
  /** Fires for each message that is not a reply. */
  readonly onDidReceive: Event<ClusterMessage> = this.didReceive.event
  /** Fires when the link has closed. `byPeer` is true if the peer's host closed the connection, false after a heartbeat timeout or a malformed frame. */
  readonly onDidClose: Event<{ readonly byPeer: boolean }> = this.didClose.event

  constructor (private readonly socket: WebSocket, private readonly logger: Logger, private readonly now: () => number) {
    super()
    this.lastReceivedAt = now()
    this.register(toDisposable(() => socket.terminate()))
    this.registerInterval(() => this.checkHeartbeat(), PING_INTERVAL_MILLISECONDS)
    socket.on('message', data => this.onMessage(data as Buffer))
    socket.on('pong', () => this.onActivity())
    socket.on('ping', () => this.onActivity())
    socket.on('error', error => logger.debug('link error', { reason: describeError(error) }))
    socket.on('close', () => this.close(true))
  }

  send (message: ClusterMessage): void {
    if (this.socket.readyState === WebSocket.OPEN) this.socket.send(packer.pack(message))
  }

  /** Sends a request and resolves with the reply, or with undefined if there is no reply in time or the link closes. */
  async sendRequest (request: ClusterRequest, timeoutMilliseconds: number): Promise<ClusterReply | undefined> {
    if (this.isDisposed) return undefined
    const id = this.nextRequestId++
    return await new Promise(resolve => {
      const timer = setTimeout(() => finish(undefined), timeoutMilliseconds)
      const finish = (reply: ClusterReply | undefined): void => {
        clearTimeout(timer)
        this.pending.delete(id)
        resolve(reply)
      }
      this.pending.set(id, finish)
      this.send({ ...request, id } as ClusterMessage)
    })
  }

  private onActivity (): void {
    this.lastReceivedAt = this.now()
  }

  private onMessage (data: Buffer): void {
    this.onActivity()
    let message: ClusterMessage
    try {
      message = clusterMessageSchema.parse(packer.unpack(data))
    } catch (error) {
      this.logger.warn('closing a link after a malformed frame', { reason: describeError(error) })
      this.close(false)
      return
    }
    if (message.type === 'stateReply' || message.type === 'waitingReply' || message.type === 'eligibilityReply' || message.type === 'admissionReply') this.pending.get(message.id)?.(message)
    else this.didReceive.fire(message)
  }

  private checkHeartbeat (): void {
    if (this.now() - this.lastReceivedAt > HEARTBEAT_TIMEOUT_MILLISECONDS) {
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

  /** Starts listening. Resolves with the port; rejects if the address is in use. */
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

/** Opens a link. Resolves with 'refused' if the peer's host refuses the connection, and with 'silent' on any other failure, such as a timeout. */
export async function openClusterLink (address: string, logger: Logger, now: () => number): Promise<ClusterLink | 'refused' | 'silent'> {
  let socket: WebSocket
  try {
    socket = new WebSocket(`ws://${address}`, { handshakeTimeout: OPEN_TIMEOUT_MILLISECONDS, maxPayload: MAXIMUM_FRAME_BYTES, perMessageDeflate: false })
  } catch (error) {
    logger.warn('the address of a link is malformed', { address, reason: describeError(error) })
    return 'silent'
  }
  return await new Promise(resolve => {
    const onError = (error: Error & { code?: string }): void => {
      socket.terminate()
      resolve(error.code === 'ECONNREFUSED' ? 'refused' : 'silent')
    }
    socket.once('error', onError)
    socket.once('open', () => {
      socket.off('error', onError)
      // The peer's first message may arrive together with the handshake response; pausing delays it until the caller has subscribed.
      socket.pause()
      setImmediate(() => socket.resume())
      resolve(new ClusterLink(socket, logger, now))
    })
  })
}
