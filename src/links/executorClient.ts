import type { Readable } from 'node:stream'
import { Pool } from 'undici'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { isConnectFailure } from './workerClient.js'

/** A request as it goes to an executor: hop-by-hop headers are removed. */
export interface OutgoingRequest {
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Buffer | undefined
}

/** Head of an executor's answer with its body to be read. */
export interface ExecutorAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Readable
}

/** Why a request got no answer. `notSent` means that no byte reached the executor. */
export type ExecutorFailure =
  | { readonly kind: 'notSent', readonly reason: string }
  | { readonly kind: 'mayHaveRun', readonly reason: string, readonly timedOut: boolean }

export type ExecutorResult = { readonly kind: 'answer', readonly answer: ExecutorAnswer } | ExecutorFailure

/** Header by which an executor states that it has not run the request that it refuses. */
export const NOT_RUN_HEADER = 'request-not-run'

/** Sends requests to executors of the own failure domain. */
export abstract class ExecutorClient extends DisposableObject {
  /** Does not reject. Resolves once the head of the answer is there; `timeoutMilliseconds` bounds the wait for it. */
  abstract send (address: string, request: OutgoingRequest, timeoutMilliseconds: number, connections: number, signal: AbortSignal): Promise<ExecutorResult>
}

const IDLE_MILLISECONDS = 4000
const CONNECT_TIMEOUT_MILLISECONDS = 500

/** HTTP/1.1 with one pool of connections an executor and no pipelining. */
export class HttpExecutorClient extends ExecutorClient {
  private readonly pools = new Map<string, { pool: Pool, connections: number }>()

  constructor () {
    super()
    this.register(toDisposable(() => {
      for (const { pool } of this.pools.values()) pool.destroy()
    }))
  }

  override async send (address: string, request: OutgoingRequest, timeoutMilliseconds: number, connections: number, signal: AbortSignal): Promise<ExecutorResult> {
    let bytesMayHaveBeenSent = false
    try {
      const answer = await this.poolFor(address, connections).request({
        method: request.method as 'GET',
        path: request.path,
        headers: request.headers as Record<string, string | string[]>,
        body: request.body,
        headersTimeout: timeoutMilliseconds,
        bodyTimeout: timeoutMilliseconds,
        signal,
        onInfo: () => { bytesMayHaveBeenSent = true }
      })
      return { kind: 'answer', answer: { status: answer.statusCode, headers: answer.headers as Record<string, string | string[]>, body: answer.body } }
    } catch (error) {
      if (!bytesMayHaveBeenSent && isConnectFailure(error)) return { kind: 'notSent', reason: String(error) }
      const timedOut = (error as { code?: string }).code === 'UND_ERR_HEADERS_TIMEOUT'
      return { kind: 'mayHaveRun', reason: String(error), timedOut }
    }
  }

  private poolFor (address: string, connections: number): Pool {
    const existing = this.pools.get(address)
    if (existing !== undefined && existing.connections === connections) return existing.pool
    existing?.pool.close()
    const pool = new Pool(address, { connections, pipelining: 1, keepAliveTimeout: IDLE_MILLISECONDS, connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS } })
    this.pools.set(address, { pool, connections })
    return pool
  }
}
