import { build, type Histogram } from 'hdr-histogram-js'
import { request, type Agent } from 'undici'
import { Random } from '../base/random.js'
import type { EventLog } from '../contracts/eventLog.js'
import type { Urgency } from '../contracts/siteText.js'
import { servingErrorSchema, type ServingErrorCode } from '../contracts/verdict.js'
import { summarize, type ClassResult } from './loadResult.js'
import type { RequestStream } from './scenario.js'

/** What a caller was told about one request. */
export interface RequestOutcome {
  readonly service: string
  readonly urgency: Urgency
  readonly kind: 'answered' | 'notRun' | 'mayHaveRun' | 'ran' | 'broken'
  /** HTTP status; 0 without an answer. */
  readonly status: number
  readonly code: ServingErrorCode | undefined
  /** Identity that the entry instance gave the request; undefined if the caller did not learn it. */
  readonly request: string | undefined
  readonly key: string | undefined
  /** Whether the answer was to another request. */
  readonly isMismatched: boolean
  /** Time the request was due, after the start, and time from then to the outcome, in milliseconds. */
  readonly dueMilliseconds: number
  readonly elapsedMilliseconds: number
}

/** Source of requests: its random choices depend on the seed only. */
export interface RequestStreamState {
  readonly stream: RequestStream
  readonly random: Random
  sent: number
}

interface ClassRecord extends Record<RequestOutcome['kind'], number> {
  readonly histogram: Histogram
  sent: number
  resubmitted: number
}

const TIMEOUT_MILLISECONDS = 60_000
const MAXIMUM_MICROSECONDS = 600_000_000
const MAXIMUM_SUBMISSIONS = 4

/** Sends requests to entry instances and keeps what callers were told. Nothing that fails is thrown. */
export class RequestSender {
  readonly outcomes: RequestOutcome[] = []
  private readonly classes = new Map<Urgency, ClassRecord>()

  /** @param runIdentity Distinguishes the idempotency keys of this run from those of other runs. */
  constructor (
    private readonly addresses: readonly string[],
    private readonly urgencyOf: (service: string) => Urgency,
    private readonly agent: Agent,
    private readonly events: EventLog | undefined,
    private readonly runIdentity: string
  ) {}

  /** Sends a request that was due at `dueAt` (monotonic milliseconds) and submits it again as the stream asks. */
  async send (state: RequestStreamState, dueAt: number, startedAt: number): Promise<void> {
    const { stream, random } = state
    const urgency = stream.urgency ?? this.urgencyOf(stream.service)
    const record = this.classOf(urgency)
    const key = random.fraction() < stream.keyedShare ? `${this.runIdentity}-${stream.service}-${state.sent}` : undefined
    const resubmit = key !== undefined && random.fraction() < stream.resubmitShare
    const addresses = Array.from({ length: MAXIMUM_SUBMISSIONS }, () => random.pick(this.addresses))
    state.sent += 1
    record.sent += 1
    for (const [index, address] of addresses.entries()) {
      const told = await this.exchange(address, stream, key)
      const tookMilliseconds = performance.now() - dueAt
      this.outcomes.push({ service: stream.service, urgency, key, ...told, dueMilliseconds: dueAt - startedAt, elapsedMilliseconds: tookMilliseconds })
      const unknown = told.kind === 'broken' || told.kind === 'mayHaveRun'
      if (unknown && resubmit && index + 1 < MAXIMUM_SUBMISSIONS) {
        record.resubmitted += 1
        continue
      }
      record[told.kind] += 1
      if (told.kind === 'answered') record.histogram.recordValue(Math.min(MAXIMUM_MICROSECONDS, Math.max(1, Math.round(tookMilliseconds * 1000))))
      return
    }
  }

  /** Counts and answer times by urgency class. */
  results (): Record<string, ClassResult> {
    return Object.fromEntries([...this.classes].sort().map(([urgency, { histogram, ...counts }]) => [urgency, { ...counts, ...summarize(histogram) }]))
  }

  private async exchange (address: string, stream: RequestStream, key: string | undefined): Promise<Pick<RequestOutcome, 'kind' | 'status' | 'code' | 'request' | 'mixedUp'>> {
    const headers: Record<string, string> = { 'content-type': 'text/plain' }
    if (stream.urgency !== undefined) headers['vanillaturn-urgency'] = stream.urgency
    if (stream.deadlineMilliseconds !== undefined) headers['vanillaturn-deadline-milliseconds'] = String(stream.deadlineMilliseconds)
    if (key !== undefined) headers['idempotency-key'] = key
    try {
      const answer = await request(`${address}/services/${stream.service}${stream.path}`, {
        method: stream.method, headers, body: stream.method === 'GET' ? undefined : 'x'.repeat(stream.bodyBytes), dispatcher: this.agent, headersTimeout: TIMEOUT_MILLISECONDS, bodyTimeout: TIMEOUT_MILLISECONDS
      })
      const body = parseJson(await answer.body.text())
      const identity = answer.headers['vanillaturn-request']
      const told = { status: answer.statusCode, request: identity === undefined ? undefined : String(identity) }
      this.note(told.request, told.status, answer.headers['vanillaturn-logical-time'])
      const error = servingErrorSchema.safeParse(body?.error)
      if (error.success) return { ...told, kind: error.data.verdict, code: error.data.code, isMismatched: false }
      const answered = body?.request
      const mixedUp = key === undefined && told.request !== undefined && typeof answered === 'string' && answered !== told.request
      return { ...told, kind: 'answered', code: undefined, isMismatched: mixedUp }
    } catch {
      return { kind: 'broken', status: 0, code: undefined, request: undefined, isMismatched: false }
    }
  }

  private note (identity: string | undefined, status: number, logicalTime: string | string[] | undefined): void {
    if (this.events === undefined) return
    this.events.clock.observe(Number(logicalTime ?? 0))
    this.events.record('callerAnswered', { request: identity, detail: String(status) })
  }

  private classOf (urgency: Urgency): ClassRecord {
    const record = this.classes.get(urgency) ?? { histogram: build({ highestTrackableValue: MAXIMUM_MICROSECONDS }), sent: 0, resubmitted: 0, answered: 0, notRun: 0, mayHaveRun: 0, ran: 0, broken: 0 }
    this.classes.set(urgency, record)
    return record
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
