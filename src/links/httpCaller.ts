import { Pool } from 'undici'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { describeError } from '../base/logger.js'
import { isConnectFailure } from './connectFailure.js'

/** Time after which an attempt to connect is given up, in milliseconds; several round trips inside a region. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000
/** Idle time after which a connection is closed, in milliseconds; longer than the period of the calls that repeat. */
const IDLE_MILLISECONDS = 15_000

export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Record<string, string>
  readonly body?: Uint8Array | string
  /** Time after which the call is given up and its connection closed, in milliseconds. */
  readonly timeoutMilliseconds: number
  /** Counts the time limit anew from each part of the answer's body, for answers that take a slow link longer to carry. */
  readonly isExtendedByProgress?: boolean
  readonly signal?: AbortSignal
}

/** `notSent`: no byte of the call has gone out. `unknown`: the call may be carried out, now or later. */
export type HttpOutcome =
  | { readonly kind: 'answer', readonly status: number, readonly body: Buffer }
  | { readonly kind: 'notSent', readonly reason: string }
  | { readonly kind: 'unknown', readonly reason: string }

/** HTTP calls over kept connections, a bounded number for each address. No method rejects. */
export class HttpCaller extends DisposableObject {
  private readonly pools = new Map<string, Pool>()

  constructor (private readonly connectionsPerAddress: number) {
    super()
    this.register(toDisposable(() => {
      for (const address of [...this.pools.keys()]) this.forget(address)
    }))
  }

  /** Calls `address` (host:port). */
  async call (address: string, call: HttpCall): Promise<HttpOutcome> {
    if (call.signal?.aborted === true) return { kind: 'notSent', reason: 'aborted' }
    const controller = new AbortController()
    const abort = (): void => controller.abort(new Error('aborted'))
    const timer = setTimeout(() => controller.abort(new Error('timed out')), call.timeoutMilliseconds)
    call.signal?.addEventListener('abort', abort, { once: true })
    try {
      const answer = await this.poolOf(address).request({
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        signal: controller.signal
      })
      const parts: Buffer[] = []
      for await (const part of answer.body) {
        parts.push(part)
        if (call.isExtendedByProgress === true) timer.refresh()
      }
      return { kind: 'answer', status: answer.statusCode, body: Buffer.concat(parts) }
    } catch (error) {
      return { kind: isConnectFailure(error) ? 'notSent' : 'unknown', reason: describeError(error) }
    } finally {
      clearTimeout(timer)
      call.signal?.removeEventListener('abort', abort)
    }
  }

  /** Closes all connections to an address, breaking off what is in flight. */
  forget (address: string): void {
    const pool = this.pools.get(address)
    this.pools.delete(address)
    pool?.destroy().catch(() => {}) // Destroying a pool that is being destroyed rejects; there is nothing left to do.
  }

  private poolOf (address: string): Pool {
    let pool = this.pools.get(address)
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: this.connectionsPerAddress,
        pipelining: 1,
        keepAliveTimeout: IDLE_MILLISECONDS,
        keepAliveMaxTimeout: IDLE_MILLISECONDS,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS }
      })
      this.pools.set(address, pool)
    }
    return pool
  }
}
