import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher } from 'undici'
import type { OutgoingRequest } from './outgoingRequest.js'

/** Shorter than the idle time of common HTTP servers (5 s), so that a connection is rarely reused while its peer closes it. */
const IDLE_MILLISECONDS = 4000
const CONNECT_TIMEOUT_MILLISECONDS = 500

/** Raised instead of sending when the request may not start any more. */
class NotStartedError extends Error {}

/** What is asked and told when the first byte of a request is about to go out. */
export interface StartHooks {
  mayStart (): boolean
  /** Bytes may have gone out from now on. */
  onStart (): void
}

/** Wraps a handler so that the gate is asked at the point where undici is about to write; an abort there writes nothing. */
function gateStart (handler: Dispatcher.DispatchHandler, gate: StartHooks): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      if (gate.mayStart()) handler.onRequestStart?.(controller, context)
      else controller.abort(new NotStartedError('the request may not start any more'))
      if (!controller.aborted) gate.onStart()
    },
    onRequestUpgrade: (...values) => handler.onRequestUpgrade?.(...values),
    onResponseStart: (...values) => handler.onResponseStart?.(...values),
    onResponseData: (...values) => handler.onResponseData?.(...values),
    onResponseEnd: (...values) => handler.onResponseEnd?.(...values),
    onResponseError: (...values) => handler.onResponseError?.(...values)
  }
}

/** At most one socket, used by one request at a time. */
export class Connection {
  private readonly client: Client
  private connectAttempts = 0
  private sockets = 0
  private destroyed = false
  busy = false

  constructor (address: string, private readonly onIdle: (connection: Connection) => void, private readonly onClosed: (connection: Connection) => void) {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS })
    this.client = new Client(address, {
      pipelining: 1,
      keepAliveTimeout: IDLE_MILLISECONDS,
      connect: (options, callback) => {
        this.connectAttempts += 1
        if (this.connectAttempts > 1 || this.destroyed) {
          callback(new Error('the connection has been used up'), null)
          return
        }
        this.sockets += 1
        connect(options, (...result) => {
          this.onConnected(result[0], result[1] as Socket | null)
          callback(...result)
        })
      }
    })
    this.client.on('disconnect', () => this.destroy())
    this.client.on('connectionError', () => this.destroy())
  }

  /** Rejects if the connection breaks before the head of the answer. */
  async request (request: OutgoingRequest, timeoutMilliseconds: number, signal: AbortSignal, gate: StartHooks): Promise<Dispatcher.ResponseData> {
    const dispatcher = this.client.compose(dispatch => (options, handler) => dispatch(options, gateStart(handler, gate)))
    try {
      const answer = await dispatcher.request({
        method: request.method as 'GET',
        path: request.path,
        headers: request.headers as Record<string, string | string[]>,
        body: request.body,
        headersTimeout: 0,
        bodyTimeout: timeoutMilliseconds,
        signal
      })
      answer.body.once('close', () => this.onRequestEnded(!answer.body.readableEnded))
      return answer
    } catch (error) {
      this.onRequestEnded(true)
      throw error
    }
  }

  /** Closes the socket at once. */
  destroy (): void {
    if (this.destroyed) return
    this.destroyed = true
    this.client.destroy().catch(() => {})
    if (this.sockets === 0) this.onClosed(this)
  }

  private onConnected (error: Error | null, socket: Socket | null): void {
    if (error !== null || socket === null) {
      this.onSocketClosed()
      return
    }
    socket.once('close', () => this.onSocketClosed())
  }

  private onSocketClosed (): void {
    this.sockets -= 1
    if (this.destroyed) this.onClosed(this)
    else this.destroy()
  }

  /** A connection whose exchange did not end properly is not used again, so that a late answer reaches no other request. */
  private onRequestEnded (broken: boolean): void {
    this.busy = false
    if (broken) this.destroy()
    else if (!this.destroyed) this.onIdle(this)
  }
}

/** Connections to one address within a limit. A connection counts from before it opens until its socket has closed. */
export class ConnectionPool {
  private readonly connections = new Set<Connection>()
  private idle: Connection[] = []
  private limitOfOpen = 0

  constructor (private readonly address: string, private readonly onChange: (open: number) => void) {}

  /** Sets the most connections that may be open; closes idle ones above it. */
  setLimit (connections: number): void {
    this.limitOfOpen = connections
    this.closeExcess()
  }

  /** Takes the connection that was used last, or a new one within the limit. */
  acquire (): Connection | undefined {
    const connection = this.idle.pop() ?? this.open()
    if (connection !== undefined) connection.busy = true
    return connection
  }

  dispose (): void {
    for (const connection of this.connections) connection.destroy()
  }

  private open (): Connection | undefined {
    if (this.connections.size >= this.limitOfOpen) return undefined
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
    let excess = this.connections.size - this.limitOfOpen
    while (excess > 0) {
      const connection = this.idle.shift()
      if (connection === undefined) return
      connection.destroy()
      excess -= 1
    }
  }
}
