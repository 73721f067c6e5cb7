import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher } from 'undici'
import type { OutgoingRequest } from './outgoingRequest.js'

/** Shorter than the keep-alive timeout of common HTTP servers (5 s), so that a connection is rarely reused while its peer closes it. */
const IDLE_TIMEOUT_MILLISECONDS = 4000
const CONNECT_TIMEOUT_MILLISECONDS = 500

/** Error of a request that is aborted right before it is sent, because it is no longer allowed to start. */
class NotStartedError extends Error {}

/** Callbacks right before the first byte of a request is sent. */
export interface StartHooks {
  /** Returns false to abort the request unsent. */
  mayStart (): boolean
  /** Called when the request starts; from then on bytes may have been sent. */
  onStart (): void
}

/** Wraps a handler so that the hooks run when undici is about to write; an abort at that point writes nothing. */
function withStartHooks (handler: Dispatcher.DispatchHandler, hooks: StartHooks): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      if (hooks.mayStart()) handler.onRequestStart?.(controller, context)
      else controller.abort(new NotStartedError('the request is no longer allowed to start'))
      if (!controller.aborted) hooks.onStart()
    },
    onRequestUpgrade: (...values) => handler.onRequestUpgrade?.(...values),
    onResponseStart: (...values) => handler.onResponseStart?.(...values),
    onResponseData: (...values) => handler.onResponseData?.(...values),
    onResponseEnd: (...values) => handler.onResponseEnd?.(...values),
    onResponseError: (...values) => handler.onResponseError?.(...values)
  }
}

/** Connection with at most one socket, used by one request at a time. */
export class Connection {
  private readonly client: Client
  private connectAttempts = 0
  private openSockets = 0
  private destroyed = false
  busy = false

  constructor (address: string, private readonly onIdle: (connection: Connection) => void, private readonly onClosed: (connection: Connection) => void) {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS })
    this.client = new Client(address, {
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
      connect: (options, callback) => {
        this.connectAttempts += 1
        if (this.connectAttempts > 1 || this.destroyed) {
          callback(new Error('a connection is opened only once'), null)
          return
        }
        this.openSockets += 1
        connect(options, (...result) => {
          this.onConnected(result[0], result[1] as Socket | null)
          callback(...result)
        })
      }
    })
    this.client.on('disconnect', () => this.destroy())
    this.client.on('connectionError', () => this.destroy())
  }

  /** Sends a request. Rejects if the connection breaks before the response headers arrive. */
  async request (request: OutgoingRequest, timeoutMilliseconds: number, signal: AbortSignal, hooks: StartHooks): Promise<Dispatcher.ResponseData> {
    const dispatcher = this.client.compose(dispatch => (options, handler) => dispatch(options, withStartHooks(handler, hooks)))
    try {
      const response = await dispatcher.request({
        method: request.method as 'GET',
        path: request.path,
        headers: request.headers as Record<string, string | string[]>,
        body: request.body,
        headersTimeout: 0,
        bodyTimeout: timeoutMilliseconds,
        signal
      })
      response.body.once('close', () => this.onRequestEnded(!response.body.readableEnded))
      return response
    } catch (error) {
      this.onRequestEnded(true)
      throw error
    }
  }

  /** Closes the socket immediately. */
  destroy (): void {
    if (this.destroyed) return
    this.destroyed = true
    this.client.destroy().catch(() => {})
    if (this.openSockets === 0) this.onClosed(this)
  }

  private onConnected (error: Error | null, socket: Socket | null): void {
    if (error !== null || socket === null) {
      this.onSocketClosed()
      return
    }
    socket.once('close', () => this.onSocketClosed())
  }

  private onSocketClosed (): void {
    this.openSockets -= 1
    if (this.destroyed) this.onClosed(this)
    else this.destroy()
  }

  /** Releases the connection. After an incomplete exchange it is destroyed, so that a late response is not matched to another request. */
  private onRequestEnded (broken: boolean): void {
    this.busy = false
    if (broken) this.destroy()
    else if (!this.destroyed) this.onIdle(this)
  }
}

/** Pool of connections to one address, with a limit. A connection counts from before it opens until its socket has closed. */
export class ConnectionPool {
  private readonly connections = new Set<Connection>()
  private idle: Connection[] = []
  private maximumOpen = 0

  constructor (private readonly address: string, private readonly onChange: (open: number) => void) {}

  /** Sets the maximum number of open connections and closes idle connections above it. */
  setLimit (connections: number): void {
    this.maximumOpen = connections
    this.closeExcess()
  }

  /** Returns the most recently used idle connection, or opens one within the limit; undefined if none is available. */
  acquire (): Connection | undefined {
    const connection = this.idle.pop() ?? this.open()
    if (connection !== undefined) connection.busy = true
    return connection
  }

  dispose (): void {
    for (const connection of this.connections) connection.destroy()
  }

  private open (): Connection | undefined {
    if (this.connections.size >= this.maximumOpen) return undefined
    const connection = new Connection(this.address, idle => this.onIdle(idle), closed => this.onClosed(closed))
    this.connections.add(connection)
    this.onChange(this.connections.size)
    return connection
  }

  private onIdle (connection: Connection): void {
    this.idle.push(connection)
    this.closeExcess()
  }

  private onClosed (connection: Connection): void {
    this.idle = this.idle.filter(other => other !== connection)
    if (this.connections.delete(connection)) this.onChange(this.connections.size)
  }

  private closeExcess (): void {
    let excess = this.connections.size - this.maximumOpen
    while (excess > 0) {
      const connection = this.idle.shift()
      if (connection === undefined) return
      connection.destroy()
      excess -= 1
    }
  }
}
