import { Pool } from 'undici'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { describeError } from '../base/logger.js'
import { isConnectFailure } from './connectFailure.js'

/** Covers several round trips within a region. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000
/** Longer than the interval of periodic requests, so that their connections stay open. */
const IDLE_TIMEOUT_MILLISECONDS = 15_000

export interface HttpRequestOptions {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Record<string, string>
  readonly body?: Uint8Array | string
  /** Time after which the request is aborted and its connection closed. */
  readonly timeoutMilliseconds: number
  /** Restarts the timeout on each chunk of the response body, for large responses over slow links. */
  readonly isExtendedByProgress?: boolean
  readonly signal?: AbortSignal
  /** Requests of a channel use a dedicated connection, one after another; requests without a channel share the connections of the address. */
  readonly channel?: string
  /** Sends only over the channel's current connection, so that the request reaches the same process as the previous one. If that connection is closed, nothing is sent. */
  readonly requiresOpenConnection?: boolean
}

/** `notSent`: no byte of the request was sent. `unknown`: the request may take effect, now or later. */
export type HttpOutcome =
  | { readonly kind: 'answer', readonly status: number, readonly body: Buffer }
  | { readonly kind: 'notSent', readonly reason: string }
  | { readonly kind: 'unknown', readonly reason: string }

/** The connections to one address, or the connection of one channel. */
interface ConnectionGroup {
  readonly pool: Pool
  /** Number of connections closed so far. */
  closedCount: number
  /** Value of `closedCount` at the last response; while the two are equal, the connection of that response is open. */
  closedCountAtResponse: number | undefined
}

/** HTTP client with keep-alive connections, at most a fixed number for each address. No method rejects. */
export class HttpClient extends DisposableObject {
  private readonly groups = new Map<string, ConnectionGroup>()

  constructor (private readonly connectionsPerAddress: number) {
    super()
    this.register(toDisposable(() => {
      for (const { pool } of this.groups.values()) destroyPool(pool)
      this.groups.clear()
    }))
  }

  /** Sends a request to `address` (host:port). An address that cannot be parsed results in `notSent`. */
  async request (address: string, request: HttpRequestOptions): Promise<HttpOutcome> {
    if (request.signal?.aborted === true) return { kind: 'notSent', reason: 'aborted' }
    try {
      return await this.requestOver(this.groupFor(address, request.channel), request)
    } catch (error) {
      return { kind: 'notSent', reason: describeError(error) }
    }
  }

  private async requestOver (group: ConnectionGroup, request: HttpRequestOptions): Promise<HttpOutcome> {
    const { pool, closedCount } = group
    if (request.requiresOpenConnection === true && group.closedCountAtResponse !== closedCount) return { kind: 'notSent', reason: 'the connection is closed' }
    const controller = new AbortController()
    const abort = (): void => controller.abort(new Error('aborted'))
    const onDisconnect = (): void => controller.abort(new Error('the connection was closed'))
    // Otherwise the pool would send a request that has not started yet over the next connection.
    if (request.requiresOpenConnection === true) pool.once('disconnect', onDisconnect)
    const timer = setTimeout(() => controller.abort(new Error('timed out')), request.timeoutMilliseconds)
    request.signal?.addEventListener('abort', abort, { once: true })
    try {
      const response = await pool.request({
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        signal: controller.signal
      })
      const chunks: Buffer[] = []
      for await (const chunk of response.body) {
        chunks.push(chunk)
        if (request.isExtendedByProgress === true) timer.refresh()
      }
      if (group.closedCount === closedCount) group.closedCountAtResponse = closedCount
      return { kind: 'answer', status: response.statusCode, body: Buffer.concat(chunks) }
    } catch (error) {
      return { kind: isConnectFailure(error) ? 'notSent' : 'unknown', reason: describeError(error) }
    } finally {
      clearTimeout(timer)
      request.signal?.removeEventListener('abort', abort)
      pool.off('disconnect', onDisconnect)
    }
  }

  private groupFor (address: string, channel: string | undefined): ConnectionGroup {
    const key = channel === undefined ? address : `${address} ${channel}`
    const existing = this.groups.get(key)
    if (existing !== undefined) return existing
    const pool = new Pool(`http://${address}`, {
      connections: channel === undefined ? this.connectionsPerAddress : 1,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS }
    })
    const group: ConnectionGroup = { pool, closedCount: 0, closedCountAtResponse: undefined }
    pool.on('disconnect', () => { group.closedCount += 1 })
    this.groups.set(key, group)
    return group
  }
}

function destroyPool (pool: Pool): void {
  pool.destroy().catch(() => {}) // Rejects if the pool is already being destroyed.
}
