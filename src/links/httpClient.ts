import { Pool } from 'undici'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { describeError } from '../base/logger.js'
import { isConnectFailure } from './connectFailure.js'

/** Time after which an attempt to connect is given up, in milliseconds; several round trips inside a region. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000
/** Idle time after which a connection is closed, in milliseconds; longer than the period of the calls that repeat. */
const IDLE_MILLISECONDS = 15_000

export interface HttpRequestOptions {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Record<string, string>
  readonly body?: Uint8Array | string
  /** Time after which the call is given up and its connection closed, in milliseconds. */
  readonly timeoutMilliseconds: number
  /** Counts the time limit anew from each part of the answer's body, for answers that take a slow link longer to carry. */
  readonly isExtendedByProgress?: boolean
  readonly signal?: AbortSignal
  /** Calls of a channel take turns on one connection of their own; without a channel they share the address's connections. */
  readonly channel?: string
  /** Only over the channel's present connection, so that no other process than the last one is called; if it is closed, nothing is sent. */
  readonly requiresOpenConnection?: boolean
}

/** `notSent`: no byte of the call has gone out. `unknown`: the call may be carried out, now or later. */
export type HttpOutcome =
  | { readonly kind: 'answer', readonly status: number, readonly body: Buffer }
  | { readonly kind: 'notSent', readonly reason: string }
  | { readonly kind: 'unknown', readonly reason: string }

/** Connections to one address, or the one of a channel. */
interface Connections {
  readonly pool: Pool
  /** Connections that have been closed so far. */
  closedCount: number
  /** `closedCount` when the last call was answered; while the two are equal, that call's connection is open. */
  closedCountAtAnswer: number | undefined
}

/** HTTP calls over kept connections, a bounded number for each address. No method rejects. */
export class HttpClient extends DisposableObject {
  private readonly connections = new Map<string, Connections>()

  constructor (private readonly connectionsPerAddress: number) {
    super()
    this.register(toDisposable(() => {
      for (const { pool } of this.connections.values()) destroy(pool)
      this.connections.clear()
    }))
  }

  /** Calls `address` (host:port). An address that cannot be parsed is an outcome, too. */
  async request (address: string, request: HttpRequestOptions): Promise<HttpOutcome> {
    if (request.signal?.aborted === true) return { kind: 'notSent', reason: 'aborted' }
    try {
      return await this.callOver(this.connectionsTo(address, request.channel), request)
    } catch (error) {
      return { kind: 'notSent', reason: describeError(error) }
    }
  }

  private async callOver (connections: Connections, request: HttpRequestOptions): Promise<HttpOutcome> {
    const { pool, closedCount } = connections
    if (request.requiresOpenConnection === true && connections.closedCountAtAnswer !== closedCount) return { kind: 'notSent', reason: 'the connection is closed' }
    const controller = new AbortController()
    const abort = (): void => controller.abort(new Error('aborted'))
    const onDisconnect = (): void => controller.abort(new Error('the connection was closed'))
    // The pool would send a call that has not gone out yet over the next connection.
    if (request.requiresOpenConnection === true) pool.once('disconnect', onDisconnect)
    const timer = setTimeout(() => controller.abort(new Error('timed out')), request.timeoutMilliseconds)
    request.signal?.addEventListener('abort', abort, { once: true })
    try {
      const answer = await pool.request({
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        signal: controller.signal
      })
      const parts: Buffer[] = []
      for await (const part of answer.body) {
        parts.push(part)
        if (request.isExtendedByProgress === true) timer.refresh()
      }
      if (connections.closedCount === closedCount) connections.closedCountAtAnswer = closedCount
      return { kind: 'answer', status: answer.statusCode, body: Buffer.concat(parts) }
    } catch (error) {
      return { kind: isConnectFailure(error) ? 'notSent' : 'unknown', reason: describeError(error) }
    } finally {
      clearTimeout(timer)
      request.signal?.removeEventListener('abort', abort)
      pool.off('disconnect', onDisconnect)
    }
  }

  private connectionsTo (address: string, channel: string | undefined): Connections {
    const key = channel === undefined ? address : `${address} ${channel}`
    const known = this.connections.get(key)
    if (known !== undefined) return known
    const pool = new Pool(`http://${address}`, {
      connections: channel === undefined ? this.connectionsPerAddress : 1,
      pipelining: 1,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS }
    })
    const connections: Connections = { pool, closedCount: 0, closedCountAtAnswer: undefined }
    pool.on('disconnect', () => { connections.closedCount += 1 })
    this.connections.set(key, connections)
    return connections
  }
}

function destroy (pool: Pool): void {
  pool.destroy().catch(() => {}) // Destroying a pool that is being destroyed rejects; there is nothing left to do.
}
