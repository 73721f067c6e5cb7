import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import { Server as SocketServer, type AddressInfo, type Socket } from 'node:net'
import { setImmediate as nextIteration } from 'node:timers/promises'
import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { HttpConnection, LINGER_TIMEOUT_MILLISECONDS } from './httpConnection.js'

/** Interval without a new connection or a complete response after which the server stops listening; a client that reconnects after a response does so sooner. */
const ACCEPT_QUIET_MILLISECONDS = 20
/** Longest wait for such an interval. */
const ACCEPT_QUIET_TIMEOUT_MILLISECONDS = 200
/** Longest time spent on accepting the backlog of connections before the server stops listening. */
const BACKLOG_TIMEOUT_MILLISECONDS = 2000
/** Largest number of connections that wait to be accepted. */
const BACKLOG_CONNECTIONS = 511
/** Shortest time that an idle connection stays open after the server stops listening. */
const MINIMUM_IDLE_MILLISECONDS = 200
/** Time before the deadline until which a connection stays open whose client, which may be held up, has sent nothing yet. */
const FRESH_CLOSE_MILLISECONDS = 200

/** HTTP server with a graceful shutdown that aborts no request in flight. */
export class HttpServer extends DisposableObject {
  private readonly server: Server
  private readonly connections = new Map<Socket, HttpConnection>()
  /** Aborted once the server has stopped listening and all connections are closed. */
  private readonly allClosed = new AbortController()
  /** Handlers of the requests that have arrived since `stopListening` was called; `drain` runs them. */
  private readonly deferredRequests: Array<() => void> = []
  private isDeferring = false
  private isClosing = false
  private acceptedConnections = 0
  private completedResponses = 0

  constructor (private readonly handler: RequestListener) {
    super()
    this.server = createServer((request, response) => { this.onRequest(request, response) })
    this.server.on('connection', socket => { this.onConnection(socket) })
    // If 'timeout' has a listener, node:http doesn't close idle connections itself.
    this.server.on('timeout', async socket => { await this.closeAfterKeepAlive(socket) })
    this.register(toDisposable(() => {
      this.server.closeAllConnections()
      this.server.close()
      this.allClosed.abort()
    }))
  }

  /** Whether the server accepts new connections. */
  get isListening (): boolean {
    return this.server.listening
  }

  /** Starts listening. Resolves with the port; rejects if the address is in use. */
  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ host, port, exclusive: true, backlog: BACKLOG_CONNECTIONS }, () => {
        this.server.off('error', reject)
        resolve()
      })
    })
    const address = this.server.address() as AddressInfo
    if (this.isDisposed) this.server.close()
    return address.port
  }

  /** Makes each connection close after its last pending response. */
  closeAfterResponses (): void {
    this.isClosing = true
    for (const connection of this.connections.values()) connection.closeAfterLastResponse()
  }

  /**
   * Accepts the connections in the kernel's backlog, which would otherwise be reset, and stops listening. Each connection
   * closes after its last response. Requests that arrive meanwhile are handled once `drain` is called: this keeps iterations
   * of the event loop short, and each client reconnects at most once. `deadline` is the deadline of `drain`.
   */
  async stopListening (deadline: number): Promise<void> {
    if (!this.server.listening || this.isDeferring) return
    this.isDeferring = true
    this.closeAfterResponses()
    const startedAt = performance.now()
    const latest = Math.min(deadline - LINGER_TIMEOUT_MILLISECONDS, startedAt + BACKLOG_TIMEOUT_MILLISECONDS)
    await this.waitForQuiet(Math.min(latest, startedAt + ACCEPT_QUIET_TIMEOUT_MILLISECONDS))
    await this.acceptBacklog(latest)
    // `close` of node:http also destroys idle connections, and requests that have already arrived on them.
    SocketServer.prototype.close.call(this.server)
  }

  /**
   * Stops listening, responds to every request that has been read or is being read, and closes each connection after its last
   * response. Idle connections stay open for the advertised keep-alive time, so that a request in transit still gets a response;
   * if the deadline is earlier, those that have carried a request until the time for lingering, the others almost until the deadline.
   * Resolves once all connections are closed, at the latest at `deadline` (monotonic milliseconds), with the number of aborted requests.
   */
  async drain (deadline: number): Promise<number> {
    await this.stopListening(deadline)
    this.isDeferring = false
    for (const handle of this.deferredRequests.splice(0)) handle()
    const idleUntil = performance.now() + this.server.keepAliveTimeout
    const earliest = Math.min(deadline, performance.now() + MINIMUM_IDLE_MILLISECONDS)
    const closeAt = Math.max(deadline - LINGER_TIMEOUT_MILLISECONDS, earliest)
    await this.closeAt(Math.min(closeAt, idleUntil), connection => {
      if (!connection.isFresh || idleUntil <= closeAt) connection.closeIfIdle()
    })
    await this.closeAt(closeAt, connection => {
      if (!connection.isFresh) connection.closeUnlessResponding()
    })
    await this.closeAt(Math.max(deadline - FRESH_CLOSE_MILLISECONDS, earliest), connection => connection.closeUnlessResponding())
    await this.waitUntilClosed(deadline)
    let abortedRequests = 0
    for (const connection of this.connections.values()) abortedRequests += connection.pendingRequests
    this.dispose()
    return abortedRequests
  }

  /** Number of events so far that other connections are likely to follow: connections often come in bursts, and a client may reconnect after its response. */
  private get connectTriggers (): number {
    return this.acceptedConnections + this.completedResponses
  }

  /** Resolves after an interval without a new connection or a complete response, or at `latest`. */
  private async waitForQuiet (latest: number): Promise<void> {
    for (let triggers = -1; triggers !== this.connectTriggers && performance.now() < latest;) {
      triggers = this.connectTriggers
      await delay(ACCEPT_QUIET_MILLISECONDS)
    }
  }

  /**
   * Accepts connections until none is left and no client has just got a response, at the latest at `latest`. After a pause of
   * the process `latest` may have passed already; the connections that were waiting then are accepted nevertheless.
   */
  private async acceptBacklog (latest: number): Promise<void> {
    // The event loop accepts one connection per iteration, and timers run before it does.
    await nextIteration()
    let triggers = -1
    for (let iterations = 0; triggers !== this.connectTriggers && (iterations < BACKLOG_CONNECTIONS || performance.now() < latest); iterations += 1) {
      triggers = this.connectTriggers
      await nextIteration()
    }
  }

  /** Calls `close` with each connection at a time (monotonic milliseconds), after what has arrived until then has been read. */
  private async closeAt (time: number, close: (connection: HttpConnection) => void): Promise<void> {
    await this.waitUntilClosed(time)
    await readArrivedRequests()
    for (const connection of this.connections.values()) close(connection)
  }

  private async waitUntilClosed (time: number): Promise<void> {
    const remaining = time - performance.now()
    if (this.connections.size > 0 && remaining > 0) await delay(remaining, this.allClosed.signal)
  }

  /** Closes a connection after the keep-alive timeout, unless a request arrived during a pause of the process. */
  private async closeAfterKeepAlive (socket: Socket): Promise<void> {
    await readArrivedRequests()
    this.connections.get(socket)?.closeIfIdle()
  }

  private onConnection (socket: Socket): void {
    this.acceptedConnections += 1
    this.connections.set(socket, new HttpConnection(socket))
    socket.once('close', () => {
      this.connections.delete(socket)
      if (!this.server.listening && this.connections.size === 0) this.allClosed.abort()
    })
  }

  private onRequest (request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket)
    if (connection?.add(response) !== true) {
      request.resume()
      return
    }
    response.once('close', () => { this.completedResponses += 1 })
    if (this.isClosing) connection.closeAfterLastResponse()
    if (this.isDeferring) this.deferredRequests.push(() => { this.handleDeferred(request, response) })
    else this.handler(request, response)
  }

  /** Handles a deferred request unless its client has disconnected. */
  private handleDeferred (request: IncomingMessage, response: ServerResponse): void {
    if (!response.destroyed) this.handler(request, response)
  }
}

/** Lets the event loop read what has arrived. After a pause of the process, timers run before it does. */
async function readArrivedRequests (): Promise<void> {
  // A connection that was accepted in this iteration is read in the next one.
  for (let iterations = 0; iterations < 2; iterations += 1) await nextIteration()
}
