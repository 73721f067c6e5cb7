import type { Readable } from 'node:stream'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { Emitter, type Event } from '../base/emitter.js'
import { ConnectionPool } from './connectionPool.js'
import { isConnectFailure } from './connectFailure.js'
import type { OutgoingRequest } from './outgoingRequest.js'

/** Head of an executor's answer with its body to be read. */
export interface ExecutorResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Readable
}

/** Why a request got no answer. `notSent` means that no byte reached the executor; `unreachable` that no connection could be opened. */
export type ExecutorFailure =
  | { readonly kind: 'notSent', readonly reason: string, readonly unreachable?: boolean }
  | { readonly kind: 'mayHaveRun', readonly reason: string, readonly timedOut: boolean }

export type ExecutorResult = { readonly kind: 'answer', readonly response: ExecutorResponse } | ExecutorFailure

/** Connections to an address that are open, opening or closing. */
export interface ConnectionCount {
  readonly address: string
  readonly open: number
}

/** Header by which an executor states that it has not run the request that it refuses. */
export const NOT_RUN_HEADER = 'request-not-run'

/** Sends requests to executors of the own failure domain. */
export abstract class ExecutorClient extends DisposableObject {
  protected readonly didChangeConnections = this.register(new Emitter<ConnectionCount>())
  readonly onDidChangeConnections: Event<ConnectionCount> = this.didChangeConnections.event

  /**
   * Does not reject. Resolves once the head of the answer is there; `timeoutMilliseconds` bounds the wait for it.
   * `connections` is the most that may be open to the address. `mayStart` is asked right before the first byte goes out.
   */
  abstract send (address: string, request: OutgoingRequest, timeoutMilliseconds: number, connections: number, signal: AbortSignal, mayStart: () => boolean): Promise<ExecutorResult>

  /** Lowers the connections that may be open to an address; idle ones above the limit are closed at once. */
  limitConnections (_address: string, _connections: number): void {}
}

class TimedOutError extends Error {}

/** HTTP/1.1 without pipelining. */
export class HttpExecutorClient extends ExecutorClient {
  private readonly sets = new Map<string, ConnectionPool>()

  constructor () {
    super()
    this.register(toDisposable(() => {
      for (const set of this.sets.values()) set.dispose()
    }))
  }

  override async send (address: string, request: OutgoingRequest, timeoutMilliseconds: number, connections: number, signal: AbortSignal, mayStart: () => boolean): Promise<ExecutorResult> {
    const set = this.setFor(address)
    set.setLimit(connections)
    const connection = set.acquire()
    if (connection === undefined) return { kind: 'notSent', reason: 'no connection is free' }
    const timeout = new AbortController()
    const timer = setTimeout(() => timeout.abort(new TimedOutError('no answer in time')), timeoutMilliseconds)
    let started = false
    const gate = { mayStart, onStart: () => { started = true } }
    try {
      const answer = await connection.request(request, timeoutMilliseconds, AbortSignal.any([signal, timeout.signal]), gate)
      return { kind: 'answer', response: { status: answer.statusCode, headers: answer.headers as Record<string, string | string[]>, body: answer.body } }
    } catch (error) {
      if (!started) return { kind: 'notSent', reason: String(error), unreachable: isConnectFailure(error) }
      return { kind: 'mayHaveRun', reason: String(error), timedOut: timeout.signal.aborted }
    } finally {
      clearTimeout(timer)
    }
  }

  override limitConnections (address: string, connections: number): void {
    this.sets.get(address)?.setLimit(connections)
  }

  private setFor (address: string): ConnectionPool {
    const existing = this.sets.get(address)
    if (existing !== undefined) return existing
    const set = new ConnectionPool(address, open => {
      if (open === 0) this.sets.delete(address)
      this.didChangeConnections.fire({ address, open })
    })
    this.sets.set(address, set)
    return set
  }
}
