import { Agent, request as sendRequest, type IncomingMessage } from 'node:http'
import { delay } from '../../src/base/delay.js'

/** Delay before a caller whose connection was refused tries again, in milliseconds. */
const RECONNECT_PAUSE_MILLISECONDS = 20

/** Outcomes of the requests of all callers. */
export interface CallerCounts {
  /** Number of complete responses, by status. */
  readonly answers: Record<string, number>
  /** Number of responses with status 503 and no `retry-after` header. */
  refusalsWithoutRetryAfter: number
  /** Number of requests without a complete response that were sent on a connection that had already carried another request. */
  brokenOnReusedConnection: number
  /** Number of requests without a complete response that were the first on their connection. */
  brokenOnNewConnection: number
  /** Number of refused connections, on which nothing was sent. */
  refusedConnections: number
  /** Number of connections that were reset before they were open to the caller, on which nothing was sent. */
  resetConnections: number
  /** Number of broken requests, by error message. */
  readonly errors: Record<string, number>
}

/** Callers that each send requests back to back on one persistent connection. */
export class PersistentCallers {
  readonly counts: CallerCounts = { answers: {}, refusalsWithoutRetryAfter: 0, brokenOnReusedConnection: 0, brokenOnNewConnection: 0, refusedConnections: 0, resetConnections: 0, errors: {} }
  private isStopped = false
  private readonly running: Array<Promise<void>> = []

  /** If `reusesConnections` is false, each request opens a new connection. */
  constructor (private readonly port: number, private readonly path: string, private readonly reusesConnections = true) {}

  start (count: number): void {
    for (let index = 0; index < count; index += 1) this.running.push(this.run())
  }

  /** Stops sending and resolves once all pending requests have ended. */
  async stop (): Promise<void> {
    this.isStopped = true
    await Promise.all(this.running)
  }

  private async run (): Promise<void> {
    const agent = new Agent({ keepAlive: this.reusesConnections, maxSockets: 1 })
    while (!this.isStopped) {
      if (!await this.exchange(agent)) await delay(RECONNECT_PAUSE_MILLISECONDS)
    }
    agent.destroy()
  }

  /** Sends one request. Resolves to whether a connection could be opened. */
  private async exchange (agent: Agent): Promise<boolean> {
    return await new Promise(resolve => {
      const body = 'linen, 3 swatches'
      const request = sendRequest({ host: '127.0.0.1', port: this.port, path: this.path, method: 'POST', agent, headers: { 'content-length': body.length } })
      let received: IncomingMessage | undefined
      request.on('response', response => {
        received = response
        response.on('error', () => {})
        response.resume()
      })
      request.on('error', (error: NodeJS.ErrnoException) => { this.recordError(error, request.reusedSocket) })
      request.on('close', () => {
        if (received !== undefined) this.recordResponse(received, request.reusedSocket)
        resolve(this.wasConnected(request.errored as NodeJS.ErrnoException | null))
      })
      request.end(body)
    })
  }

  private wasConnected (error: NodeJS.ErrnoException | null): boolean {
    return error?.code !== 'ECONNREFUSED'
  }

  private recordResponse (response: IncomingMessage, isReused: boolean): void {
    if (!response.complete) {
      this.recordBroken('incomplete response', isReused)
      return
    }
    const status = String(response.statusCode)
    this.counts.answers[status] = (this.counts.answers[status] ?? 0) + 1
    if (response.statusCode === 503 && response.headers['retry-after'] === undefined) this.counts.refusalsWithoutRetryAfter += 1
  }

  private recordError (error: NodeJS.ErrnoException, isReused: boolean): void {
    if (error.code === 'ECONNREFUSED') this.counts.refusedConnections += 1
    else if (error.code === 'ECONNRESET' && error.syscall === 'connect') this.counts.resetConnections += 1
    else this.recordBroken(error.message, isReused)
  }

  private recordBroken (reason: string, isReused: boolean): void {
    if (isReused) this.counts.brokenOnReusedConnection += 1
    else this.counts.brokenOnNewConnection += 1
    this.counts.errors[reason] = (this.counts.errors[reason] ?? 0) + 1
  }
}
