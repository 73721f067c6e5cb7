import { H3, type H3Event } from 'h3'
import { delay } from '../base/delay.js'
import { toDisposable } from '../base/disposable.js'
import { Emitter } from '../base/emitter.js'
import { appendRequestSchema, type ListedInstance, type ReadResponse } from '../contracts/platformProtocol.js'
import type { RecordEnvelope } from '../contracts/records.js'
import { createBrokenResponse, HttpStandin } from './httpStandin.js'
import type { StandinContext } from './standinContext.js'

/** Behaviour of the platform stand-in. */
export interface PlatformOptions {
  readonly listLagMilliseconds: number
  readonly retainedRecords: number
  readonly appendsPerSecond: number
  readonly appendMilliseconds: number
}

/** Faults of the platform, set over HTTP. */
export interface PlatformFaults {
  /** Every call fails. */
  outage: boolean
  /** Share of appends whose response is lost after they have taken effect. */
  lostAnswerShare: number
  /** Delay added to every call. */
  slowMilliseconds: number
}

interface StoredStream {
  firstOffset: number
  readonly records: RecordEnvelope[]
}

const MAXIMUM_READ_RECORDS = 1000
const APPEND_BUDGET_WINDOW_MILLISECONDS = 1000

/** Append-only log with offsets and limited retention, and a lagging instance list. */
export class PlatformStandin extends HttpStandin {
  readonly faults: PlatformFaults = { outage: false, lostAnswerShare: 0, slowMilliseconds: 0 }
  private readonly streams = new Map<string, StoredStream>()
  private readonly didAppend = new Emitter<string>()
  private listSnapshots: ReadonlyArray<{ readonly visibleFrom: number, readonly instances: readonly ListedInstance[] }> = []
  private appendTimes: number[] = []
  private appends = 0

  constructor (private readonly context: StandinContext, private readonly options: PlatformOptions, private readonly currentInstances: () => readonly ListedInstance[]) {
    super()
    this.register(this.didAppend)
    // Wakes waiting reads, whose timers would otherwise keep the process alive until their long polls end.
    this.register(toDisposable(() => this.didAppend.fire('')))
    this.registerInterval(() => this.takeListSnapshot(), 100)
  }

  /** Number of appends accepted so far. */
  get appendCount (): number {
    return this.appends
  }

  async listen (host: string, port: number, addRoutes: (app: H3) => void): Promise<void> {
    const app = new H3()
    app.post('/streams/:stream/records', async event => await this.onAppend(event))
    app.get('/streams/:stream/records', async event => await this.onRead(event))
    app.get('/instances', async () => this.faults.outage ? createUnavailableResponse() : Response.json({ instances: this.visibleInstances() }))
    addRoutes(app)
    this.takeListSnapshot()
    await this.startServer(app, host, port)
  }

  private async onAppend (event: H3Event): Promise<Response> {
    const stream = this.getStream(decodeURIComponent(event.context.params?.stream ?? ''))
    const body = appendRequestSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!body.success) return new Response('malformed append', { status: 400 })
    if (this.faults.outage) return createUnavailableResponse()
    if (!this.consumeAppendBudget()) return new Response('over the append budget', { status: 429 })
    await delay(this.options.appendMilliseconds + this.faults.slowMilliseconds)
    if (this.faults.outage) return createUnavailableResponse()
    const firstOffset = stream.firstOffset + stream.records.length
    stream.records.push(...body.data.records)
    this.appends += 1
    this.trimToRetention(stream)
    this.didAppend.fire('')
    if (this.context.random.fraction() < this.faults.lostAnswerShare) return createBrokenResponse()
    return Response.json({ firstOffset, nextOffset: firstOffset + body.data.records.length })
  }

  private async onRead (event: H3Event): Promise<Response> {
    const stream = this.getStream(decodeURIComponent(event.context.params?.stream ?? ''))
    const query = event.url.searchParams
    const from = Number(query.get('from') ?? 0)
    const limit = Math.min(MAXIMUM_READ_RECORDS, Number(query.get('limit') ?? MAXIMUM_READ_RECORDS))
    if (this.faults.outage) return createUnavailableResponse()
    await delay(this.faults.slowMilliseconds)
    await this.waitForRecord(stream, from, Number(query.get('waitMilliseconds') ?? 0))
    if (this.faults.outage) return createUnavailableResponse()
    return Response.json(readRecords(stream, from, limit))
  }

  private async waitForRecord (stream: StoredStream, from: number, waitMilliseconds: number): Promise<void> {
    const until = performance.now() + waitMilliseconds
    while (stream.firstOffset + stream.records.length <= from && !this.faults.outage && !this.isDisposed) {
      const remaining = until - performance.now()
      if (remaining <= 0) return
      const wakeUp = new AbortController()
      const subscription = this.didAppend.event(() => wakeUp.abort())
      await delay(remaining, wakeUp.signal)
      subscription.dispose()
    }
  }

  /** Sets faults and wakes waiting reads, so that they notice an outage. */
  setFaults (faults: Partial<PlatformFaults>): void {
    Object.assign(this.faults, faults)
    this.didAppend.fire('')
  }

  private consumeAppendBudget (): boolean {
    const now = performance.now()
    this.appendTimes = this.appendTimes.filter(time => now - time < APPEND_BUDGET_WINDOW_MILLISECONDS)
    if (this.appendTimes.length >= this.options.appendsPerSecond) return false
    this.appendTimes.push(now)
    return true
  }

  private trimToRetention (stream: StoredStream): void {
    const excess = stream.records.length - this.options.retainedRecords
    if (excess <= 0) return
    stream.records.splice(0, excess)
    stream.firstOffset += excess
  }

  private takeListSnapshot (): void {
    const now = performance.now()
    const recent = this.listSnapshots.filter(snapshot => now - snapshot.visibleFrom < this.options.listLagMilliseconds + 1000)
    this.listSnapshots = [...recent, { visibleFrom: now + this.options.listLagMilliseconds, instances: [...this.currentInstances()] }]
  }

  private visibleInstances (): readonly ListedInstance[] {
    const now = performance.now()
    const visible = this.listSnapshots.filter(snapshot => snapshot.visibleFrom <= now)
    return visible.at(-1)?.instances ?? this.listSnapshots[0]?.instances ?? []
  }

  private getStream (name: string): StoredStream {
    const stream = this.streams.get(name) ?? { firstOffset: 0, records: [] }
    this.streams.set(name, stream)
    return stream
  }
}

function readRecords (stream: StoredStream, from: number, limit: number): ReadResponse {
  const start = Math.max(0, from - stream.firstOffset)
  const records = stream.records.slice(start, start + limit).map((record, index) => ({ offset: stream.firstOffset + start + index, record }))
  return { retainedFrom: stream.firstOffset, nextOffset: stream.firstOffset + stream.records.length, records }
}

function createUnavailableResponse (): Response {
  return new Response('the platform is unavailable', { status: 503 })
}
