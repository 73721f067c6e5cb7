import { Agent, request as sendRequest, type IncomingMessage } from 'node:http'
import { delay } from '../../src/base/delay.js'

/** Pause of a caller that could not connect, in milliseconds. */
const RECONNECT_PAUSE_MILLISECONDS = 20

/** What callers have seen. */
export interface CallerCounts {
  /** Whole answers by status. */
  readonly answers: Record<string, number>
  /** Answers 503 that do not say when to come back. */
  refusalsWithoutRetryAfter: number
  /** Requests that went out on a connection that had carried another one, and got no whole answer. */
  brokenOnReusedConnection: number
  /** Requests that went out as the first one of their connection, and got no whole answer. */
  brokenOnNewConnection: number
  /** Attempts to connect that were refused, so that nothing was sent. */
  refusedConnections: number
  /** Error codes of broken requests, with their number. */
  readonly errors: Record<string, number>
}

/** Callers that send their next request as soon as the last one has ended, each on one connection that it keeps. */
export class PersistentCallers {
  readonly counts: CallerCounts = { answers: {}, refusalsWithoutRetryAfter: 0, brokenOnReusedConnection: 0, brokenOnNewConnection: 0, refusedConnections: 0, errors: {} }
  private isStopped = false
  private readonly running: Array<Promise<void>> = []

  /** With `keepsConnections` false, each request goes out on a connection of its own. */
  constructor (private readonly port: number, private readonly path: string, private readonly keepsConnections = true) {}

  start (count: number): void {
    for (let index = 0; index < count; index += 1) this.running.push(this.run())
  }

  /** Lets each caller end its request; resolves once all have. */
  async stop (): Promise<void> {
    this.isStopped = true
    await Promise.all(this.running)
  }

  private async run (): Promise<void> {
    const agent = new Agent({ keepAlive: this.keepsConnections, maxSockets: 1 })
    while (!this.isStopped) {
      if (!await this.exchange(agent)) await delay(RECONNECT_PAUSE_MILLISECONDS)
    }
    agent.destroy()
  }

  /** One request; resolves with whether a connection stood. */
  private async exchange (agent: Agent): Promise<boolean> {
    return await new Promise(resolve => {
      const body = 'linen, 3 swatches'
      const request = sendRequest({ host: '127.0.0.1', port: this.port, path: this.path, method: 'POST', agent, headers: { 'content-length': body.length } })
      let answer: IncomingMessage | undefined
      request.on('response', response => {
        answer = response
        response.on('error', () => {})
        response.resume()
      })
      request.on('error', (error: NodeJS.ErrnoException) => { this.noteError(error, request.reusedSocket) })
      request.on('close', () => {
        if (answer !== undefined) this.noteAnswer(answer, request.reusedSocket)
        resolve(this.isConnected(request.errored as NodeJS.ErrnoException | null))
      })
      request.end(body)
    })
  }

  private isConnected (error: NodeJS.ErrnoException | null): boolean {
    return error?.code !== 'ECONNREFUSED'
  }

  private noteAnswer (answer: IncomingMessage, reused: boolean): void {
    if (!answer.complete) {
      this.noteBroken('incomplete answer', reused)
      return
    }
    const status = String(answer.statusCode)
    this.counts.answers[status] = (this.counts.answers[status] ?? 0) + 1
    if (answer.statusCode === 503 && answer.headers['retry-after'] === undefined) this.counts.refusalsWithoutRetryAfter += 1
  }

  private noteError (error: NodeJS.ErrnoException, reused: boolean): void {
    if (error.code === 'ECONNREFUSED') this.counts.refusedConnections += 1
    else this.noteBroken(error.message, reused)
  }

  private noteBroken (reason: string, reused: boolean): void {
    if (reused) this.counts.brokenOnReusedConnection += 1
    else this.counts.brokenOnNewConnection += 1
    this.counts.errors[reason] = (this.counts.errors[reason] ?? 0) + 1
  }
}
