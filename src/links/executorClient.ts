import type { Readable } from 'node:stream'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { Emitter, type Event } from '../base/emitter.js'
import { describeError } from '../base/logger.js'
import { Connection, ConnectionPool } from './connectionPool.js'
import { isConnectFailure } from './connectFailure.js'
import type { OutgoingRequest } from './outgoingRequest.js'

/** Status and headers of an executor's response, with its unread body. */
export interface ExecutorResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Readable
}

/** A request without a response. `notSent`: no byte reached the executor; `unreachable`: no connection could be opened. */
export type ExecutorFailure =
  | { readonly kind: 'notSent', readonly reason: string, readonly unreachable?: boolean }
  | { readonly kind: 'mayHaveRun', readonly reason: string, readonly timedOut: boolean }

export type ExecutorResult = { readonly kind: 'answer', readonly response: ExecutorResponse } | ExecutorFailure

/** Number of connections to an address that are open, opening or closing. */
export interface ConnectionCount {
  readonly address: string
  readonly open: number
}

/** Header that an executor sets on a rejection to state that the request has not run. */
export const NOT_RUN_HEADER = 'request-not-run'

/** Sends requests to executors in this instance's failure domain. */
export abstract class ExecutorClient extends DisposableObject {
  protected readonly didChangeConnections = this.register(new Emitter<ConnectionCount>())
  readonly onDidChangeConnections: Event<ConnectionCount> = this.didChangeConnections.event

  /**
   * Sends a request. Does not reject; resolves when the response headers have arrived, within `timeoutMilliseconds`.
   * `connections` is the maximum number of open connections to the address. `mayStart` is called right before the first
   * byte is sent; if it returns false, nothing is sent.
   */
  abstract send (address: string, request: OutgoingRequest, timeoutMilliseconds: number, connections: number, signal: AbortSignal, mayStart: () => boolean): Promise<ExecutorResult>

  /** Sets the maximum number of open connections to an address; idle connections above it are closed immediately. */
  limitConnections (_address: string, _connections: number): void {}
}

class TimedOutError extends Error {}

/** Executor client over HTTP/1.1 without pipelining. */
export class HttpExecutorClient extends ExecutorClient {
  private readonly pools = new Map<string, ConnectionPool>()

  constructor () {
    super()
    this.register(toDisposable(() => {
      for (const pool of this.pools.values()) pool.dispose()
    }))
  }

  override async send (address: string, request: OutgoingRequest, timeoutMilliseconds: number, connections: number, signal: AbortSignal, mayStart: () => boolean): Promise<ExecutorResult> {
    const connection = this.acquire(address, connections)
    if (!(connection instanceof Connection)) return connection
    const timeout = new AbortController()
    const timer = setTimeout(() => timeout.abort(new TimedOutError('no response in time')), timeoutMilliseconds)
    let started = false
    const hooks = { mayStart, onStart: () => { started = true } }
    try {
      const response = await connection.request(request, timeoutMilliseconds, AbortSignal.any([signal, timeout.signal]), hooks)
      return { kind: 'answer', response: { status: response.statusCode, headers: response.headers as Record<string, string | string[]>, body: response.body } }
    } catch (error) {
      if (!started) return { kind: 'notSent', reason: String(error), unreachable: isConnectFailure(error) }
      return { kind: 'mayHaveRun', reason: String(error), timedOut: timeout.signal.aborted }
    } finally {
      clearTimeout(timer)
    }
  }

  override limitConnections (address: string, connections: number): void {
    this.pools.get(address)?.setLimit(connections)
  }

  /** Returns a connection to the address, or why there is none. */
  private acquire (address: string, connections: number): Connection | ExecutorFailure {
    const pool = this.poolFor(address)
    pool.setLimit(connections)
    try {
      return pool.acquire() ?? { kind: 'notSent', reason: 'no connection is available' }
    } catch (error) {
      // The address cannot be parsed.
      this.pools.delete(address)
      return { kind: 'notSent', reason: describeError(error), unreachable: true }
    }
  }

  private poolFor (address: string): ConnectionPool {
    const existing = this.pools.get(address)
    if (existing !== undefined) return existing
    const pool = new ConnectionPool(address, open => {
      if (open === 0) this.pools.delete(address)
      this.didChangeConnections.fire({ address, open })
    })
    this.pools.set(address, pool)
    return pool
  }
}
