import { H3, type H3Event } from 'h3'
import { delay } from '../base/delay.js'
import { toDisposable } from '../base/disposable.js'
import { Emitter } from '../base/emitter.js'
import { appendBodySchema, type ListedInstance, type ReadAnswer } from '../contracts/platformProtocol.js'
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

/** Faults of the platform, switched by HTTP. */
export interface PlatformFaults {
  /** Every call fails. */
  outage: boolean
  /** Share of appends whose answer is lost after they took effect. */
  lostAnswerShare: number
  /** Added to every call, in milliseconds. */
  slowMilliseconds: number
}

interface StoredStream {
  firstOffset: number
  readonly records: RecordEnvelope[]
}

const MAXIMUM_READ = 1000
const BUDGET_WINDOW_MILLISECONDS = 1000

/** Append-only log with offsets and limited retention, and a lagging instance list. */
export class PlatformStandin extends HttpStandin {
  readonly faults: PlatformFaults = { outage: false, lostAnswerShare: 0, slowMilliseconds: 0 }
  private readonly streams = new Map<string, StoredStream>()
  private readonly appended = new Emitter<string>()
  private instances: ReadonlyArray<{ readonly shownFrom: number, readonly list: readonly ListedInstance[] }> = []
  private appendTimes: number[] = []
  private appends = 0

  constructor (private readonly context: StandinContext, private readonly options: PlatformOptions, private readonly currentInstances: () => readonly ListedInstance[]) {
    super()
    this.register(this.appended)
    // Wakes reads that wait, whose timers would otherwise keep the process up to the end of their long polls.
    this.register(toDisposable(() => this.appended.fire('')))
    this.registerInterval(() => this.takeSnapshot(), 100)
  }

  /** Appends accepted so far. */
  get appendCount (): number {
    return this.appends
  }

  async listen (host: string, port: number, extend: (app: H3) => void): Promise<void> {
    const app = new H3()
    app.post('/streams/:stream/records', async event => await this.onAppend(event))
    app.get('/streams/:stream/records', async event => await this.onRead(event))
    app.get('/instances', async () => this.faults.outage ? unavailable() : Response.json({ instances: this.shownInstances() }))
    extend(app)
    this.takeSnapshot()
    await this.startServer(app, host, port)
  }

  private async onAppend (event: H3Event): Promise<Response> {
    const stream = this.streamOf(decodeURIComponent(event.context.params?.stream ?? ''))
    const body = appendBodySchema.safeParse(await event.req.json().catch(() => undefined))
    if (!body.success) return new Response('malformed append', { status: 400 })
    if (this.faults.outage) return unavailable()
    if (!this.takeFromBudget()) return new Response('over the append budget', { status: 429 })
    await delay(this.options.appendMilliseconds + this.faults.slowMilliseconds)
    if (this.faults.outage) return unavailable()
    const firstOffset = stream.firstOffset + stream.records.length
    stream.records.push(...body.data.records)
    this.appends += 1
    this.trim(stream)
    this.appended.fire('')
    if (this.context.random.fraction() < this.faults.lostAnswerShare) return createBrokenResponse()
    return Response.json({ firstOffset, nextOffset: firstOffset + body.data.records.length })
  }

  private async onRead (event: H3Event): Promise<Response> {
    const stream = this.streamOf(decodeURIComponent(event.context.params?.stream ?? ''))
    const query = event.url.searchParams
    const from = Number(query.get('from') ?? 0)
    const limit = Math.min(MAXIMUM_READ, Number(query.get('limit') ?? MAXIMUM_READ))
    if (this.faults.outage) return unavailable()
    await delay(this.faults.slowMilliseconds)
    await this.waitForRecord(stream, from, Number(query.get('waitMilliseconds') ?? 0))
    if (this.faults.outage) return unavailable()
    return Response.json(readFrom(stream, from, limit))
  }

  private async waitForRecord (stream: StoredStream, from: number, waitMilliseconds: number): Promise<void> {
    const until = performance.now() + waitMilliseconds
    while (stream.firstOffset + stream.records.length <= from && !this.faults.outage && !this.isDisposed) {
      const remaining = until - performance.now()
      if (remaining <= 0) return
      const arrived = new AbortController()
      const subscription = this.appended.event(() => arrived.abort())
      await delay(remaining, arrived.signal)
      subscription.dispose()
    }
  }

  /** Switches faults; a read that waits is woken, so that it notices an outage. */
  setFaults (faults: Partial<PlatformFaults>): void {
    Object.assign(this.faults, faults)
    this.appended.fire('')
  }

  private takeFromBudget (): boolean {
    const now = performance.now()
    this.appendTimes = this.appendTimes.filter(time => now - time < BUDGET_WINDOW_MILLISECONDS)
    if (this.appendTimes.length >= this.options.appendsPerSecond) return false
    this.appendTimes.push(now)
    return true
  }

  private trim (stream: StoredStream): void {
    const excess = stream.records.length - this.options.retainedRecords
    if (excess <= 0) return
    stream.records.splice(0, excess)
    stream.firstOffset += excess
  }

  private takeSnapshot (): void {
    const now = performance.now()
    const shown = this.instances.filter(snapshot => now - snapshot.shownFrom < this.options.listLagMilliseconds + 1000)
    this.instances = [...shown, { shownFrom: now + this.options.listLagMilliseconds, list: [...this.currentInstances()] }]
  }

  private shownInstances (): readonly ListedInstance[] {
    const now = performance.now()
    const due = this.instances.filter(snapshot => snapshot.shownFrom <= now)
    return due.at(-1)?.list ?? this.instances[0]?.list ?? []
  }

  private streamOf (name: string): StoredStream {
    const stream = this.streams.get(name) ?? { firstOffset: 0, records: [] }
    this.streams.set(name, stream)
    return stream
  }
}

function readFrom (stream: StoredStream, from: number, limit: number): ReadAnswer {
  const start = Math.max(0, from - stream.firstOffset)
  const records = stream.records.slice(start, start + limit).map((record, index) => ({ offset: stream.firstOffset + start + index, record }))
  return { retainedFrom: stream.firstOffset, nextOffset: stream.firstOffset + stream.records.length, records }
}

function unavailable (): Response {
  return new Response('the platform is unavailable', { status: 503 })
}
