import { build, type Histogram } from 'hdr-histogram-js'
import { request, type Agent } from 'undici'
import { Random } from '../base/random.js'
import type { EventLog } from '../contracts/eventLog.js'
import type { Urgency } from '../contracts/siteConfiguration.js'
import { servingErrorSchema, type ServingErrorCode } from '../contracts/verdict.js'
import { summarize, type ClassResult } from './loadResult.js'
import type { RequestStream } from './scenario.js'

/** Outcome of one submission of a request, as its caller received it. */
export interface RequestOutcome {
  readonly service: string
  readonly urgency: Urgency
  readonly kind: 'answered' | 'notRun' | 'mayHaveRun' | 'ran' | 'broken'
  /** HTTP status; 0 if there was no response. */
  readonly status: number
  readonly code: ServingErrorCode | undefined
  /** Identity that the entry instance assigned to the request; undefined if the caller did not receive it. */
  readonly request: string | undefined
  readonly key: string | undefined
  /** Whether the response belongs to another request. */
  readonly isMismatched: boolean
  /** Due time of the request after the start of the run. */
  readonly dueMilliseconds: number
  /** Time from the due time to the outcome. */
  readonly elapsedMilliseconds: number
}

/** State of one request stream. Its random choices depend only on the seed. */
export interface RequestStreamState {
  readonly stream: RequestStream
  readonly random: Random
  sent: number
}

interface ClassCounters extends Record<RequestOutcome['kind'], number> {
  readonly histogram: Histogram
  sent: number
  resubmitted: number
}

const REQUEST_TIMEOUT_MILLISECONDS = 60_000
const MAXIMUM_RECORDED_MICROSECONDS = 600_000_000
const MAXIMUM_SUBMISSIONS = 4

/** Sends requests to entry instances and records the outcomes that callers receive. Failures are recorded, never thrown. */
export class RequestSender {
  readonly outcomes: RequestOutcome[] = []
  private readonly countersByUrgency = new Map<Urgency, ClassCounters>()

  /** @param runIdentity Makes the idempotency keys of this run distinct from those of other runs. */
  constructor (
    private readonly addresses: readonly string[],
    private readonly urgencyOf: (service: string) => Urgency,
    private readonly agent: Agent,
    private readonly events: EventLog | undefined,
    private readonly runIdentity: string
  ) {}

  /** Sends a request that is due at `dueAt` (monotonic milliseconds) and resubmits it as the stream specifies. */
  async send (state: RequestStreamState, dueAt: number, startedAt: number): Promise<void> {
    const { stream, random } = state
    const urgency = stream.urgency ?? this.urgencyOf(stream.service)
    const counters = this.countersOf(urgency)
    const key = random.fraction() < stream.keyedShare ? `${this.runIdentity}-${stream.service}-${state.sent}` : undefined
    const resubmit = key !== undefined && random.fraction() < stream.resubmitShare
    const addresses = Array.from({ length: MAXIMUM_SUBMISSIONS }, () => random.pick(this.addresses))
    state.sent += 1
    counters.sent += 1
    for (const [index, address] of addresses.entries()) {
      const result = await this.exchange(address, stream, key)
      const elapsedMilliseconds = performance.now() - dueAt
      this.outcomes.push({ service: stream.service, urgency, key, ...result, dueMilliseconds: dueAt - startedAt, elapsedMilliseconds })
      const isUnknown = result.kind === 'broken' || result.kind === 'mayHaveRun'
      if (isUnknown && resubmit && index + 1 < MAXIMUM_SUBMISSIONS) {
        counters.resubmitted += 1
        continue
      }
      counters[result.kind] += 1
      if (result.kind === 'answered') counters.histogram.recordValue(Math.min(MAXIMUM_RECORDED_MICROSECONDS, Math.max(1, Math.round(elapsedMilliseconds * 1000))))
      return
    }
  }

  /** Returns outcome counts and response times by urgency class. */
  results (): Record<string, ClassResult> {
    return Object.fromEntries([...this.countersByUrgency].sort().map(([urgency, { histogram, ...counts }]) => [urgency, { ...counts, ...summarize(histogram) }]))
  }

  private async exchange (address: string, stream: RequestStream, key: string | undefined): Promise<Pick<RequestOutcome, 'kind' | 'status' | 'code' | 'request' | 'isMismatched'>> {
    const headers: Record<string, string> = { 'content-type': 'text/plain' }
    if (stream.urgency !== undefined) headers['vanillaturn-urgency'] = stream.urgency
    if (stream.deadlineMilliseconds !== undefined) headers['vanillaturn-deadline-milliseconds'] = String(stream.deadlineMilliseconds)
    if (key !== undefined) headers['idempotency-key'] = key
    try {
      const response = await request(`${address}/services/${stream.service}${stream.path}`, {
        method: stream.method, headers, body: stream.method === 'GET' ? undefined : 'x'.repeat(stream.bodyBytes), dispatcher: this.agent, headersTimeout: REQUEST_TIMEOUT_MILLISECONDS, bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS
      })
      const body = parseJson(await response.body.text())
      const requestHeader = response.headers['vanillaturn-request']
      const received = { status: response.statusCode, request: requestHeader === undefined ? undefined : String(requestHeader) }
      this.recordResponse(received.request, received.status, response.headers['vanillaturn-logical-time'])
      const error = servingErrorSchema.safeParse(body?.error)
      if (error.success) return { ...received, kind: error.data.verdict, code: error.data.code, isMismatched: false }
      const answeredRequest = body?.request
      const isMismatched = key === undefined && received.request !== undefined && typeof answeredRequest === 'string' && answeredRequest !== received.request
      return { ...received, kind: 'answered', code: undefined, isMismatched }
    } catch {
      return { kind: 'broken', status: 0, code: undefined, request: undefined, isMismatched: false }
    }
  }

  private recordResponse (identity: string | undefined, status: number, logicalTime: string | string[] | undefined): void {
    if (this.events === undefined) return
    this.events.clock.observe(Number(logicalTime ?? 0))
    this.events.record('callerAnswered', { request: identity, detail: String(status) })
  }

  private countersOf (urgency: Urgency): ClassCounters {
    const counters = this.countersByUrgency.get(urgency) ?? { histogram: build({ highestTrackableValue: MAXIMUM_RECORDED_MICROSECONDS }), sent: 0, resubmitted: 0, answered: 0, notRun: 0, mayHaveRun: 0, ran: 0, broken: 0 }
    this.countersByUrgency.set(urgency, counters)
    return counters
  }
}

function parseJson (text: string): { request?: unknown, error?: unknown } | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null ? value : undefined
  } catch {
    return undefined
  }
}
