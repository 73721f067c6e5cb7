import { H3, type H3Event } from 'h3'
import { delay } from '../base/delay.js'
import { createBrokenResponse, HttpStandin } from './httpStandin.js'
import type { StandinContext } from './standinContext.js'

/** Faults of an executor, set over HTTP. */
export interface ExecutorFaults {
  /** Responds with status 500 at once, without running the request. */
  failEverything: boolean
  /** Rejects the request with the header that states that it was not run. */
  refuse: boolean
  /** Runs the request, then breaks the connection before it responds. */
  loseAnswers: boolean
  /** Sends a part of the body, then breaks the connection. */
  cutBodies: boolean
  /** Multiplies the service time. */
  slowFactor: number
}

/** One request that an executor ran. */
export interface ExecutorRun {
  readonly request: string
  /** Idempotency key of the request. */
  readonly key: string | undefined
  readonly method: string
  readonly path: string
}

const ECHO_CHARACTERS = 200

/** Executor with a nominal number of slots. It does not enforce the limit, but records the peak concurrency, so that a check can detect violations. */
export class ExecutorStandin extends HttpStandin {
  readonly faults: ExecutorFaults = { failEverything: false, refuse: false, loseAnswers: false, cutBodies: false, slowFactor: 1 }
  readonly runs: ExecutorRun[] = []
  private concurrentRuns = 0
  private peakConcurrentRuns = 0

  constructor (private readonly context: StandinContext, readonly name: string, readonly slots: number, readonly connections: number, private readonly serviceMilliseconds: number) {
    super()
  }

  /** Greatest number of requests that ran at once. */
  get maximumConcurrent (): number {
    return this.peakConcurrentRuns
  }

  async listen (host: string, port: number): Promise<void> {
    const app = new H3()
    app.all('/**', async event => await this.onRequest(event))
    await this.startServer(app, host, port)
  }

  private async onRequest (event: H3Event): Promise<Response> {
    const request = event.req.headers.get('vanillaturn-request') ?? ''
    const key = event.req.headers.get('idempotency-key') ?? undefined
    this.context.events.clock.observe(Number(event.req.headers.get('vanillaturn-logical-time') ?? 0))
    if (this.faults.failEverything) return new Response('failing on purpose', { status: 500 })
    if (this.faults.refuse) return new Response('refusing on purpose', { status: 503, headers: { 'request-not-run': '1' } })
    const body = await event.req.text()
    this.concurrentRuns += 1
    this.peakConcurrentRuns = Math.max(this.peakConcurrentRuns, this.concurrentRuns)
    this.runs.push({ request, key, method: event.req.method, path: event.url.pathname })
    this.context.events.record('executorStarted', { request, executor: this.name })
    await delay(this.context.random.exponential(this.serviceMilliseconds * this.faults.slowFactor))
    this.concurrentRuns -= 1
    this.context.events.record('executorEnded', { request, executor: this.name })
    if (this.faults.loseAnswers) return createBrokenResponse()
    if (this.faults.cutBodies) return createBrokenResponse('{"request":')
    return Response.json({ request, executor: this.name, path: event.url.pathname, echo: body.slice(0, ECHO_CHARACTERS) }, { headers: { 'vanillaturn-logical-time': String(this.context.events.clock.tick()) } })
  }
}
