import { randomUUID } from 'node:crypto'
import { Readable } from 'node:stream'
import { H3, serve, type H3Event } from 'h3'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import { jobSubmissionSchema } from '../contracts/jobs.js'
import type { ServingError } from '../contracts/verdict.js'
import { urgencyRank, urgencySchema, type Urgency } from '../contracts/siteText.js'
import { CALLER_HEADERS } from '../requests/headers.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow } from './entryContext.js'
import type { CallerAnswer } from './callerRequest.js'
import type { FrontDoor } from './frontDoor.js'
import { RequestBody } from './requestBody.js'
import { errorResponse } from './errorResponse.js'
import type { Forwarder } from './forwarder.js'
import { PEER_PROOF_HEADER } from '../links/peerProof.js'
import type { KeyTask } from './keyTask.js'
import type { JobApi } from './jobApi.js'
import type { OperatorApi } from './operatorApi.js'

/** Body limit before a configuration is in force, in bytes. */
const DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024

/** HTTP towards callers and operators. */
export class CallerServer extends DisposableObject {
  constructor (
    private readonly configuration: ConfigurationTask,
    private readonly frontDoor: FrontDoor,
    private readonly jobs: JobApi,
    private readonly operators: OperatorApi,
    private readonly keys: Pick<KeyTask, 'onPeer'>,
    private readonly forwarder: Forwarder,
    private readonly isReady: () => boolean
  ) {
    super()
  }

  /** Listens; resolves with the port, rejects if the address is taken. */
  async listen (host: string, port: number): Promise<number> {
    const app = new H3()
    app.get('/health', () => new Response('ok\n'))
    app.get('/ready', () => new Response(this.isReady() ? 'ready\n' : 'not ready\n', { status: this.isReady() ? 200 : 503 }))
    app.all('/services/:service', async event => await this.onRequest(event))
    app.all('/services/:service/**', async event => await this.onRequest(event))
    app.post('/jobs', async event => await this.onSubmit(event))
    app.get('/jobs', () => this.jobs.list())
    app.get('/jobs/:job', async event => await this.jobs.read(event.context.params?.job ?? '', event.req.headers.has(CALLER_HEADERS.forwardedFrom)))
    app.delete('/jobs/:job', async event => await this.jobs.cancel(event.context.params?.job ?? ''))
    app.post('/peer/keys', async event => await this.onKeyQuestion(event))
    this.operators.route(app)
    const server = serve(app, { port, hostname: host, silent: true, gracefulShutdown: false })
    await server.ready()
    this.register(toDisposable(() => { server.close(true) }))
    return Number(new URL(server.url as string).port)
  }

  private async onSubmit (event: H3Event): Promise<Response> {
    const body = await readBody(event.req, this.bodyLimit())
    if (body === 'tooLarge') return errorResponse({ code: 'bodyTooLarge', verdict: 'notRun', message: `the body is larger than ${this.bodyLimit()} bytes` })
    const parsed = parseSubmission(body)
    if ('error' in parsed) return errorResponse(parsed.error)
    return await this.jobs.submit(parsed.submission, event.req.headers.get(CALLER_HEADERS.idempotencyKey) ?? undefined)
  }

  private async onKeyQuestion (event: H3Event): Promise<Response> {
    const decision = await this.keys.onPeer(event.req)
    if (decision !== undefined) return Response.json(decision)
    return errorResponse({ code: 'unauthorized', verdict: 'notRun', message: 'the request carries no valid proof of a peer' })
  }

  private async onRequest (event: H3Event): Promise<Response> {
    const forwardedFrom = event.req.headers.get(CALLER_HEADERS.forwardedFrom)
    const identity = forwardedFrom === null ? randomUUID() : event.req.headers.get(CALLER_HEADERS.request) ?? ''
    const response = await this.onIdentifiedRequest(event, identity, forwardedFrom)
    response.headers.set(CALLER_HEADERS.request, identity)
    return response
  }

  private async onIdentifiedRequest (event: H3Event, identity: string, forwardedFrom: string | null): Promise<Response> {
    const serviceName = event.context.params?.service ?? ''
    const service = this.configuration.inForce?.text.services[serviceName]
    if (this.configuration.inForce !== undefined && service === undefined) {
      return errorResponse({ code: 'unknownService', verdict: 'notRun', message: `there is no service '${serviceName}'` })
    }
    const path = event.url.pathname + event.url.search
    if (forwardedFrom !== null && !this.forwarder.accepts({ method: event.req.method, path, identity, from: forwardedFrom, proof: event.req.headers.get(PEER_PROOF_HEADER) ?? '' })) {
      return errorResponse({ code: 'unauthorized', verdict: 'notRun', message: 'the forwarded request carries no valid proof of a peer, or has arrived before' })
    }
    const deadlineMilliseconds = parseDeadline(event.req.headers.get(CALLER_HEADERS.deadlineMilliseconds), service?.deadlineMilliseconds ?? 0)
    if (deadlineMilliseconds === undefined) {
      return errorResponse({ code: 'malformedRequest', verdict: 'notRun', message: `${CALLER_HEADERS.deadlineMilliseconds}: expected a whole number of milliseconds` })
    }
    const deadline = monotonicNow() + deadlineMilliseconds
    const body = await this.readRequestBody(event.req, deadlineMilliseconds)
    if (!(body instanceof RequestBody)) return errorResponse(body)
    const answer = await this.frontDoor.serve({
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
    return toResponse(answer)
  }

  /** Reads the part of a body that is kept in memory; a caller that sends it slowly is given up at the deadline. */
  private async readRequestBody (request: Request, deadlineMilliseconds: number): Promise<RequestBody | ServingError> {
    if (request.body === null) return RequestBody.EMPTY
    const limit = this.bodyLimit()
    const tooLarge: ServingError = { code: 'bodyTooLarge', verdict: 'notRun', message: `the body is larger than ${limit} bytes` }
    if (Number(request.headers.get('content-length') ?? 0) > limit) return tooLarge
    const timeout = AbortSignal.timeout(Math.max(1, deadlineMilliseconds))
    try {
      const body = await RequestBody.read(request.body, limit, AbortSignal.any([request.signal, timeout]))
      return body === 'tooLarge' ? tooLarge : body
    } catch {
      if (timeout.aborted) return { code: 'deadlineExpired', verdict: 'notRun', message: 'the body did not arrive before the deadline' }
      return { code: 'cancelled', verdict: 'notRun', message: 'the caller has gone' }
    }
  }

  private bodyLimit (): number {
    return this.configuration.inForce?.text.limits.requestBodyBytes ?? DEFAULT_BODY_LIMIT_BYTES
  }
}

function toResponse (answer: CallerAnswer): Response {
  if (answer.kind === 'error') return errorResponse(answer.error)
  const headers = new Headers()
  for (const [name, value] of Object.entries(answer.headers)) {
    for (const item of Array.isArray(value) ? value : [value]) headers.append(name, item)
  }
  const bodyless = answer.status === 204 || answer.status === 304
  if (bodyless) answer.body.resume()
  return new Response(bodyless ? null : Readable.toWeb(answer.body) as ReadableStream, { status: answer.status, headers })
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

/** The more urgent of the service's class and the class a request is made on behalf of. */
function effectiveUrgency (service: Urgency, header: string | null): Urgency {
  const stated = urgencySchema.safeParse(header)
  if (!stated.success) return service
  return urgencyRank(stated.data) < urgencyRank(service) ? stated.data : service
}

async function readBody (request: Request, limitBytes: number): Promise<Buffer | 'tooLarge'> {
  if (request.body === null) return Buffer.alloc(0)
  const chunks: Uint8Array[] = []
  let size = 0
  for await (const chunk of request.body as unknown as AsyncIterable<Uint8Array>) {
    size += chunk.length
    if (size > limitBytes) return 'tooLarge'
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
