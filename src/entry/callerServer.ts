import { randomUUID } from 'node:crypto'
import { Readable } from 'node:stream'
import { H3, toNodeHandler, type H3Event } from 'h3'
import { DisposableObject } from '../base/disposable.js'
import { jobSubmissionSchema } from '../contracts/jobs.js'
import type { ServingError } from '../contracts/verdict.js'
import { urgencyRank, urgencySchema, type Urgency } from '../contracts/siteConfiguration.js'
import { CALLER_HEADERS } from '../requests/headers.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow } from './entryContext.js'
import type { ServingResult } from './callerRequest.js'
import { STOPPING_ERROR, type RequestDispatcher } from './requestDispatcher.js'
import { REPLAYABLE_BODY_BYTES, RequestBody } from './requestBody.js'
import { errorResponse } from './errorResponse.js'
import type { Forwarder } from './forwarder.js'
import { HttpServer } from '../links/httpServer.js'
import { PEER_PROOF_HEADER } from '../links/peerProof.js'
import type { IdempotencyKeyTask } from './idempotencyKeyTask.js'
import type { JobApi } from './jobApi.js'
import type { OperatorApi } from './operatorApi.js'

/** Body limit before a configuration is in force, in bytes. */
const DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024
/** Timeout for reading the body of a submission; same as the default request timeout of node:http. */
const SUBMISSION_BODY_TIMEOUT_MILLISECONDS = 300_000

/** HTTP server for callers and operators. */
export class CallerServer extends DisposableObject {
  private readonly server: HttpServer

  constructor (
    private readonly configuration: ConfigurationTask,
    private readonly requestDispatcher: RequestDispatcher,
    private readonly jobs: JobApi,
    private readonly operators: OperatorApi,
    private readonly keys: Pick<IdempotencyKeyTask, 'handlePeerRequest'>,
    private readonly forwarder: Forwarder,
    private readonly isReady: () => boolean
  ) {
    super()
    this.server = this.register(new HttpServer(toNodeHandler(this.routes())))
  }

  /** Starts listening. Resolves with the port; rejects if the address is in use. */
  async listen (host: string, port: number): Promise<number> {
    return await this.server.listen(host, port)
  }

  /** Accepts the connections in the listen backlog, then stops listening. `deadline` is in monotonic milliseconds. */
  async stopListening (deadline: number): Promise<void> {
    await this.server.stopListening(deadline)
  }

  /** Closes each connection after its last response, until `deadline` in monotonic milliseconds. Resolves with the number of requests cut off. */
  async drain (deadline: number): Promise<number> {
    return await this.server.drain(deadline)
  }

  private routes (): H3 {
    const app = new H3()
    app.get('/health', () => new Response('ok\n'))
    app.get('/ready', () => new Response(this.isReady() ? 'ready\n' : 'not ready\n', { status: this.isReady() ? 200 : 503 }))
    app.all('/services/:service', async event => await this.onServiceRequest(event))
    app.all('/services/:service/**', async event => await this.onServiceRequest(event))
    app.post('/jobs', async event => await this.onSubmission(event))
    app.get('/jobs', () => this.jobs.list())
    app.get('/jobs/:job', async event => await this.jobs.read(event.context.params?.job ?? '', event.req.headers.has(CALLER_HEADERS.forwardedFrom)))
    app.delete('/jobs/:job', async event => await this.jobs.cancel(event.context.params?.job ?? ''))
    app.post('/peer/keys', async event => await this.onPeerKeyRequest(event))
    this.operators.registerRoutes(app)
    return app
  }

  private async onSubmission (event: H3Event): Promise<Response> {
    if (this.requestDispatcher.isStopping) return errorResponse(STOPPING_ERROR)
    const body = await this.readRequestBody(event.req, SUBMISSION_BODY_TIMEOUT_MILLISECONDS, this.bodyLimit())
    if (!(body instanceof RequestBody)) return errorResponse(body)
    const parsed = parseSubmission(body.bytes)
    if ('error' in parsed) return errorResponse(parsed.error)
    return await this.jobs.submit(parsed.submission, event.req.headers.get(CALLER_HEADERS.idempotencyKey) ?? undefined)
  }

  private async onPeerKeyRequest (event: H3Event): Promise<Response> {
    const decision = await this.keys.handlePeerRequest(event.req)
    if (decision !== undefined) return Response.json(decision)
    return errorResponse({ code: 'unauthorized', verdict: 'notRun', message: 'the request carries no valid proof of a peer' })
  }

  private async onServiceRequest (event: H3Event): Promise<Response> {
    const forwardedFrom = event.req.headers.get(CALLER_HEADERS.forwardedFrom)
    const identity = forwardedFrom === null ? randomUUID() : event.req.headers.get(CALLER_HEADERS.request) ?? ''
    const response = await this.serveIdentified(event, identity, forwardedFrom)
    response.headers.set(CALLER_HEADERS.request, identity)
    return response
  }

  private async serveIdentified (event: H3Event, identity: string, forwardedFrom: string | null): Promise<Response> {
    if (this.requestDispatcher.isStopping) return errorResponse(STOPPING_ERROR)
    const serviceName = event.context.params?.service ?? ''
    const service = this.configuration.inForce?.configuration.services[serviceName]
    if (this.configuration.inForce !== undefined && service === undefined) {
      return errorResponse({ code: 'unknownService', verdict: 'notRun', message: `there is no service '${serviceName}'` })
    }
    const path = event.url.pathname + event.url.search
    if (forwardedFrom !== null && !this.forwarder.acceptOnce({ method: event.req.method, path, identity, from: forwardedFrom, proof: event.req.headers.get(PEER_PROOF_HEADER) ?? '' })) {
      return errorResponse({ code: 'unauthorized', verdict: 'notRun', message: 'the forwarded request carries no valid proof of a peer, or has arrived before' })
    }
    const deadlineMilliseconds = parseDeadline(event.req.headers.get(CALLER_HEADERS.deadlineMilliseconds), service?.deadlineMilliseconds ?? 0)
    if (deadlineMilliseconds === undefined) {
      return errorResponse({ code: 'malformedRequest', verdict: 'notRun', message: `${CALLER_HEADERS.deadlineMilliseconds}: expected a whole number of milliseconds` })
    }
    const deadline = monotonicNow() + deadlineMilliseconds
    const body = await this.readRequestBody(event.req, deadlineMilliseconds)
    if (!(body instanceof RequestBody)) return errorResponse(body)
    const result = await this.requestDispatcher.serve({
      identity,
      isForwarded: forwardedFrom !== null,
      service: serviceName,
      method: event.req.method,
      path: (event.url.pathname.slice(`/services/${serviceName}`.length) || '/') + event.url.search,
      headers: [...event.req.headers],
      body,
      urgency: effectiveUrgency(service?.urgency ?? 'normal', event.req.headers.get(CALLER_HEADERS.urgency)),
      deadline,
      signal: event.req.signal
    })
    return toResponse(result)
  }

  /** Buffers up to `bufferLimitBytes` of a body. Aborts the read at the deadline, or when the instance stops. */
  private async readRequestBody (request: Request, deadlineMilliseconds: number, bufferLimitBytes = REPLAYABLE_BODY_BYTES): Promise<RequestBody | ServingError> {
    if (request.body === null) return RequestBody.EMPTY
    const limit = this.bodyLimit()
    const tooLarge: ServingError = { code: 'bodyTooLarge', verdict: 'notRun', message: `the body is larger than ${limit} bytes` }
    if (Number(request.headers.get('content-length') ?? 0) > limit) return tooLarge
    const timeout = AbortSignal.timeout(Math.max(1, deadlineMilliseconds))
    const stop = new AbortController()
    const subscription = this.requestDispatcher.onWillStop(() => { stop.abort() })
    try {
      const body = await RequestBody.read(request.body, limit, AbortSignal.any([request.signal, timeout, stop.signal]), bufferLimitBytes)
      return body === 'tooLarge' ? tooLarge : body
    } catch {
      if (this.requestDispatcher.isStopping) return STOPPING_ERROR
      if (timeout.aborted) return { code: 'deadlineExpired', verdict: 'notRun', message: 'the body did not arrive before the deadline' }
      return { code: 'cancelled', verdict: 'notRun', message: 'the caller has gone' }
    } finally {
      subscription.dispose()
    }
  }

  private bodyLimit (): number {
    return this.configuration.inForce?.configuration.limits.requestBodyBytes ?? DEFAULT_BODY_LIMIT_BYTES
  }
}

function toResponse (result: ServingResult): Response {
  if (result.kind === 'error') return errorResponse(result.error)
  const headers = new Headers()
  for (const [name, value] of Object.entries(result.headers)) {
    for (const item of Array.isArray(value) ? value : [value]) headers.append(name, item)
  }
  const bodyless = result.status === 204 || result.status === 304
  if (bodyless) result.body.resume()
  return new Response(bodyless ? null : Readable.toWeb(result.body) as ReadableStream, { status: result.status, headers })
}

function parseSubmission (body: Buffer): { submission: ReturnType<typeof jobSubmissionSchema.parse> } | { error: ServingError } {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch {
    return { error: { code: 'malformedRequest', verdict: 'notRun', message: 'the body is not valid JSON' } }
  }
  const checked = jobSubmissionSchema.safeParse(value)
  if (checked.success) return { submission: checked.data }
  const message = checked.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')
  return { error: { code: 'malformedRequest', verdict: 'notRun', message } }
}

function parseDeadline (header: string | null, defaultMilliseconds: number): number | undefined {
  if (header === null) return defaultMilliseconds
  return /^\d{1,9}$/.test(header) ? Number(header) : undefined
}

/** Returns the more urgent of the service's urgency class and the class named in the request header. */
function effectiveUrgency (service: Urgency, header: string | null): Urgency {
  const stated = urgencySchema.safeParse(header)
  if (!stated.success) return service
  return urgencyRank(stated.data) < urgencyRank(service) ? stated.data : service
}
