import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import { delay } from '../base/delay.js'
import { Random } from '../base/random.js'
import { servingErrorSchema } from '../contracts/verdict.js'
import type { Urgency } from '../contracts/siteText.js'
import type { RequestStream, Scenario } from './scenario.js'
import { summarize, type ClassResult, type LoadResult } from './loadResult.js'

/** Entry instances that the load goes to. */
export interface LoadTarget {
  readonly callerAddresses: readonly string[]
  readonly operatorToken: string
  /** Urgency class of a service, for the report. */
  readonly urgencyOf: (service: string) => Urgency
}

/** What became of one request. `request` is the identity that the front door gave it. */
export interface RequestOutcome {
  readonly kind: 'answered' | 'notRun' | 'mayHaveRun' | 'broken'
  readonly request: string | undefined
}

interface ClassRecord {
  readonly histogram: Histogram
  sent: number
  answered: number
  notRun: number
  mayHaveRun: number
  broken: number
}

interface JobRecord {
  readonly name: string
  readonly submittedAt: number
  identity: string
  state: string
  startedAt: number | undefined
}

const POLL_MILLISECONDS = 100
const TIMEOUT_MILLISECONDS = 30_000
const MAXIMUM_MICROSECONDS = 600_000_000

/** Runs a scenario against entry instances with open-loop arrivals. */
export class LoadRunner {
  readonly outcomes: RequestOutcome[] = []
  private readonly random: Random
  private readonly classes = new Map<string, ClassRecord>()
  private readonly jobs: JobRecord[] = []
  private readonly packing: number[] = []
  private readonly inFlight = new Set<Promise<void>>()

  constructor (private readonly scenario: Scenario, private readonly target: LoadTarget, private readonly agent: Agent, private readonly onProgress: (fraction: number) => void) {
    this.random = new Random(scenario.seed)
  }

  /** Runs to the end of the arrivals, and until jobs have ended or the settle time has passed. */
  async run (): Promise<LoadResult> {
    const startedAt = performance.now()
    const before = await this.readControl()
    const arrivals = this.scenario.requests.map(async stream => await this.runStream(stream, startedAt))
    const submissions = this.scenario.jobs.map(async entry => await this.submit(entry, startedAt))
    const sampling = this.sample(startedAt)
    await Promise.all([...arrivals, ...submissions])
    await Promise.all(this.inFlight)
    await sampling
    const after = await this.readControl()
    return this.result(before, after, performance.now() - startedAt)
  }

  private async runStream (stream: RequestStream, startedAt: number): Promise<void> {
    const gaps = new Random(this.scenario.seed + this.scenario.requests.indexOf(stream) + 1)
    let due = startedAt + gaps.exponential(1000 / stream.perSecond)
    while (due < startedAt + this.scenario.durationMilliseconds) {
      const wait = due - performance.now()
      if (wait > 0) await delay(wait)
      this.track(this.sendRequest(stream, due))
      due += gaps.exponential(1000 / stream.perSecond)
    }
  }

  private track (work: Promise<void>): void {
    this.inFlight.add(work)
    work.finally(() => this.inFlight.delete(work))
  }

  private async sendRequest (stream: RequestStream, dueAt: number): Promise<void> {
    const urgency = stream.urgency ?? this.target.urgencyOf(stream.service)
    const record = this.classOf(urgency)
    record.sent += 1
    const headers: Record<string, string> = { 'content-type': 'text/plain' }
    if (stream.urgency !== undefined) headers['vanillaturn-urgency'] = stream.urgency
    if (stream.deadlineMilliseconds !== undefined) headers['vanillaturn-deadline-milliseconds'] = String(stream.deadlineMilliseconds)
    const outcome = await this.exchange(stream, headers)
    record[outcome.kind] += 1
    this.outcomes.push(outcome)
    if (outcome.kind === 'answered') record.histogram.recordValue(Math.max(1, Math.round((performance.now() - dueAt) * 1000)))
  }

  private async exchange (stream: RequestStream, headers: Record<string, string>): Promise<RequestOutcome> {
    const body = stream.method === 'GET' ? undefined : 'x'.repeat(stream.bodyBytes)
    try {
      const answer = await request(`${this.random.pick(this.target.callerAddresses)}/services/${stream.service}${stream.path}`, {
        method: stream.method, headers, body, dispatcher: this.agent, headersTimeout: TIMEOUT_MILLISECONDS, bodyTimeout: TIMEOUT_MILLISECONDS
      })
      const text = await answer.body.text()
      const identity = answer.headers['vanillaturn-request']
      if (answer.statusCode < 400) return { kind: 'answered', request: String(identity) }
      const error = servingErrorSchema.safeParse((JSON.parse(text) as { error?: unknown }).error)
      if (!error.success) return { kind: 'answered', request: String(identity) }
      return { kind: error.data.verdict === 'notRun' ? 'notRun' : 'mayHaveRun', request: undefined }
    } catch {
      return { kind: 'broken', request: undefined }
    }
  }

  private async submit (entry: Scenario['jobs'][number], startedAt: number): Promise<void> {
    await delay(Math.max(0, startedAt + entry.atMilliseconds - performance.now()))
    const job: JobRecord = { name: entry.submission.name, submittedAt: performance.now(), identity: '', state: 'refused', startedAt: undefined }
    this.jobs.push(job)
    const answer = await request(`${this.random.pick(this.target.callerAddresses)}/jobs`, {
      method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(entry.submission), dispatcher: this.agent
    })
    const body = await answer.body.json() as { job?: string }
    if (answer.statusCode !== 202 || body.job === undefined) return
    job.identity = body.job
    job.state = 'waiting'
  }

  private async sample (startedAt: number): Promise<void> {
    const arrivalsEnd = startedAt + this.scenario.durationMilliseconds
    const end = arrivalsEnd + this.scenario.settleMilliseconds
    for (let now = performance.now(); now < end; now = performance.now()) {
      await delay(POLL_MILLISECONDS)
      for (const job of this.jobs) await this.pollJob(job)
      const open = this.jobs.some(job => isOpen(job.state))
      if (open) await this.samplePacking()
      this.onProgress(Math.min(1, (now - startedAt) / this.scenario.durationMilliseconds))
      const allSubmitted = this.jobs.length === this.scenario.jobs.length
      if (now >= arrivalsEnd && allSubmitted && !open) return
    }
  }

  private async pollJob (job: JobRecord): Promise<void> {
    if (!isOpen(job.state) || job.identity === '') return
    const answer = await request(`${this.target.callerAddresses[0]}/jobs/${encodeURIComponent(job.identity)}`, { dispatcher: this.agent })
    const body = await answer.body.json() as { state?: string }
    if (body.state !== undefined) job.state = body.state
    if (job.startedAt === undefined && job.state !== 'waiting') job.startedAt = performance.now()
  }

  private async samplePacking (): Promise<void> {
    let used = 0
    let capacity = 0
    for (const address of this.target.callerAddresses) {
      const status = await this.readStatus(address)
      used += status.used?.processorsThousandths ?? 0
      capacity += status.capacity?.processorsThousandths ?? 0
    }
    if (capacity > 0) this.packing.push(used / capacity)
  }

  private async readStatus (address: string): Promise<{ instance: string, used?: { processorsThousandths: number }, capacity?: { processorsThousandths: number } }> {
    const answer = await request(`${address}/operator/status`, { headers: { authorization: `Bearer ${this.target.operatorToken}` }, dispatcher: this.agent })
    return await answer.body.json() as { instance: string }
  }

  private async readControl (): Promise<Array<{ instance: string, processorSeconds: number, residentBytes: number, linkBytes: number }>> {
    return await Promise.all(this.target.callerAddresses.map(async address => {
      const { instance } = await this.readStatus(address)
      const answer = await request(`${address}/metrics`, { dispatcher: this.agent })
      const text = await answer.body.text()
      const value = (name: string): number => Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0)
      return { instance, processorSeconds: value('vanillaturn_processor_seconds'), residentBytes: value('vanillaturn_resident_bytes'), linkBytes: value('vanillaturn_link_bytes') }
    }))
  }

  private result (before: Awaited<ReturnType<LoadRunner['readControl']>>, after: typeof before, durationMilliseconds: number): LoadResult {
    const classes: Record<string, ClassResult> = {}
    for (const [urgency, { histogram, ...counts }] of this.classes) classes[urgency] = { ...counts, ...summarize(histogram) }
    const control = after.map((row, index) => ({
      instance: row.instance,
      processorSeconds: row.processorSeconds - (before[index]?.processorSeconds ?? 0),
      residentBytes: row.residentBytes,
      linkBytesPerSecond: (row.linkBytes - (before[index]?.linkBytes ?? 0)) * 1000 / durationMilliseconds
    }))
    const mean = this.packing.reduce((sum, value) => sum + value, 0) / Math.max(1, this.packing.length)
    const jobs = this.jobs.map(job => ({ job: job.identity, name: job.name, state: job.state, waitedMilliseconds: job.startedAt === undefined ? undefined : job.startedAt - job.submittedAt }))
    return { seed: this.scenario.seed, durationMilliseconds, classes, jobs, packing: { mean, maximum: Math.max(0, ...this.packing) }, control }
  }

  private classOf (urgency: Urgency): ClassRecord {
    const record = this.classes.get(urgency) ?? { histogram: build({ highestTrackableValue: MAXIMUM_MICROSECONDS }), sent: 0, answered: 0, notRun: 0, mayHaveRun: 0, broken: 0 }
    this.classes.set(urgency, record)
    return record
  }
}

function isOpen (state: string): boolean {
  return state === 'waiting' || state === 'starting' || state === 'running'
}
