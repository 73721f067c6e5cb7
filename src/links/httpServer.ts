import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import { Server as SocketServer, type AddressInfo, type Socket } from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { HttpConnection, LINGER_TIMEOUT_MILLISECONDS } from './httpConnection.js'

/** Time without a new connection after which listening ends, in milliseconds; callers that connect anew after an answer do so sooner. */
const QUIET_MILLISECONDS = 20
/** Longest wait for such a time, in milliseconds. */
const SETTLE_MILLISECONDS = 200
/** Longest time in which connections that wait to be accepted are taken before listening ends, in milliseconds. */
const BACKLOG_MILLISECONDS = 2000

/** HTTP server whose planned stop cuts off no request. */
export class HttpServer extends DisposableObject {
  private readonly server: Server
  private readonly connections = new Map<Socket, HttpConnection>()
  /** Aborts once listening and all connections have ended. */
  private readonly ended = new AbortController()
  /** Requests that have arrived since the end of listening began, until the drain. */
  private readonly held: Array<() => void> = []
  private isHolding = false
  private isClosing = false
  private acceptedConnections = 0

  constructor (private readonly handler: RequestListener) {
    super()
    this.server = createServer((request, response) => { this.onRequest(request, response) })
    this.server.on('connection', socket => { this.onConnection(socket) })
    // With a listener, node:http leaves it to the listener to close a connection that was idle for too long.
    this.server.on('timeout', socket => { this.connections.get(socket)?.close() })
    this.register(toDisposable(() => {
      this.server.closeAllConnections()
      this.server.close()
      this.ended.abort()
    }))
  }

  /** Whether new connections are taken. */
  get isListening (): boolean {
    return this.server.listening
  }

  /** Listens; resolves with the port, rejects if the address is taken. */
  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ host, port, exclusive: true }, () => {
        this.server.off('error', reject)
        resolve()
      })
    })
    const address = this.server.address() as AddressInfo
    if (this.isDisposed) this.server.close()
    return address.port
  }

  /** From now on the last answer of each connection closes it. */
  closeAfterResponses (): void {
    this.isClosing = true
    for (const connection of this.connections.values()) connection.closeAfterLastResponse()
  }

  /**
   * Accepts the connections that the kernel has established, which would be reset, and stops listening. The last answer of
   * each connection closes it. Requests that arrive meanwhile are handled once `drain` is called, so that turns of the event
   * loop are short and each caller connects anew once at most. `deadline` is the one of the drain.
   */
  async stopListening (deadline: number): Promise<void> {
    if (!this.server.listening || this.isHolding) return
    this.isHolding = true
    this.closeAfterResponses()
    const startedAt = performance.now()
    const latest = Math.min(deadline - LINGER_TIMEOUT_MILLISECONDS, startedAt + BACKLOG_MILLISECONDS)
    await this.untilNoneAccepted(Math.min(latest, startedAt + SETTLE_MILLISECONDS), async () => { await delay(QUIET_MILLISECONDS) })
    // One connection is accepted in a turn of the event loop.
    await nextTurn()
    await this.untilNoneAccepted(latest, async () => { await nextTurn() })
    // The method of node:http would also destroy idle connections, with requests that have arrived on them.
    SocketServer.prototype.close.call(this.server)
  }

  /**
   * Stops listening, answers every request that has been read or is being read, and ends each connection after its last answer.
   * Idle connections stay open for the keep-alive time that callers have been told, so that a request on its way is answered.
   * Resolves once all connections have ended, at the latest at `deadline` (monotonic milliseconds), with the number of requests cut off.
   */
  async drain (deadline: number): Promise<number> {
    await this.stopListening(deadline)
    this.isHolding = false
    for (const handle of this.held.splice(0)) handle()
    const closeAt = deadline - LINGER_TIMEOUT_MILLISECONDS
    await this.untilEnded(Math.min(closeAt, performance.now() + this.server.keepAliveTimeout))
    for (const connection of this.connections.values()) connection.closeIfIdle()
    await this.untilEnded(closeAt)
    for (const connection of this.connections.values()) connection.closeUnlessResponding()
    await this.untilEnded(deadline)
    let cutOff = 0
    for (const connection of this.connections.values()) cutOff += connection.pendingRequests
    this.dispose()
    return cutOff
  }

  /** Resolves after a pause in which no connection was accepted, or at `latest`. */
  private async untilNoneAccepted (latest: number, pause: () => Promise<void>): Promise<void> {
    for (let accepted = -1; accepted !== this.acceptedConnections && performance.now() < latest;) {
      accepted = this.acceptedConnections
      await pause()
    }
  }

  private async untilEnded (time: number): Promise<void> {
    const remaining = time - performance.now()
    if (this.connections.size > 0 && remaining > 0) await delay(remaining, this.ended.signal)
  }

  private onConnection (socket: Socket): void {
    this.acceptedConnections += 1
    this.connections.set(socket, new HttpConnection(socket))
    socket.once('close', () => {
      this.connections.delete(socket)
      if (!this.server.listening && this.connections.size === 0) this.ended.abort()
    })
  }

  private onRequest (request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket)
    if (connection?.add(response) !== true) {
      request.resume()
      return
    }
    if (this.isClosing) connection.closeAfterLastResponse()
    if (this.isHolding) this.held.push(() => { this.handle(request, response) })
    else this.handler(request, response)
  }

  /** Handles a request that was held back, unless its caller has gone. */
  private handle (request: IncomingMessage, response: ServerResponse): void {
    if (!response.destroyed) this.handler(request, response)
  }
}
