import { delay } from '../../src/base/delay.js'
import { Random } from '../../src/base/random.js'
import { HttpClient, type HttpOutcome } from '../../src/links/httpClient.js'
import { decodeJob } from '../../platform/jobFormat.js'
import type { SentRequest } from './soakChecks.js'
import { KEYS, QUEUES, type SoakJob, type SoakSite } from './soakSite.js'

const CALL_TIMEOUT_MILLISECONDS = 3000
/** Mean pause of a caller between two actions, in milliseconds. */
const MEAN_PAUSE_MILLISECONDS = 400
const RETRY_DELAY_MILLISECONDS = 300
/** Time after which no instance may store anything for a withdrawn key, as stated by the platform. */
const REVOKE_MILLISECONDS = 5000
const UNKNOWN_KEY_JOB = 'ffffffffffffffff'
/** Longest delay before an accepted job is submitted again, in milliseconds. */
const MAXIMUM_RESUBMISSION_DELAY_MILLISECONDS = 4000
const FINAL_STATES: ReadonlySet<string> = new Set(['completed', 'canceled', 'failed'])

const task = { millicpus: 1000, memMb: 10, estMs: 800 }
/** Shapes of jobs: sequential steps, gangs, and more tasks than fit on one worker. */
const SHAPES: ReadonlyArray<readonly object[]> = [
  [{ ...task, count: 1 }],
  [{ ...task, count: 3 }],
  [{ ...task, count: 2 }, { ...task, count: 2, after: [0] }],
  [{ ...task, count: 1 }, { ...task, count: 1, after: [0] }, { ...task, count: 1, after: [1] }],
  [{ ...task, count: 3, gang: true }],
  [{ ...task, count: 2, gang: true }, { ...task, count: 1, after: [0] }],
  [{ ...task, count: 9 }]
]

/** One caller with persistent connections. It uses one instance until a call to that instance fails. */
export class Caller {
  private readonly http = new HttpClient(1)
  private instance: number

  constructor (private readonly site: SoakSite, private readonly random: Random, private key: string) {
    this.instance = random.integerBelow(site.instances.length)
  }

  /** Submits, queries and cancels jobs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await delay(this.random.exponential(MEAN_PAUSE_MILLISECONDS), signal)
      const draw = this.random.fraction()
      const job = this.site.jobs.length === 0 ? undefined : this.random.pick(this.site.jobs)
      if (job === undefined || draw < 0.4) await this.submitNew(signal)
      else if (draw < 0.75) await this.fetchState(job)
      else if (draw < 0.82) await this.cancel(job)
      else await this.fetchWaitingCount(this.random.pick(QUEUES))
    }
  }

  /** Repeats submissions of unknown outcome and polls states until they are final. Returns the last state received for each job. */
  async waitForFinalStates (jobs: readonly SoakJob[], signal: AbortSignal): Promise<Map<SoakJob, string>> {
    const states = new Map<SoakJob, string>()
    let unsettled = jobs.filter(job => job.mayRun)
    while (unsettled.length > 0 && !signal.aborted) {
      for (const job of unsettled) {
        if (job.acceptedAt === undefined) await this.submit(job)
        else states.set(job, await this.fetchState(job) ?? states.get(job) ?? 'unknown')
      }
      unsettled = unsettled.filter(job => !FINAL_STATES.has(states.get(job) ?? ''))
      this.changeInstance()
      await delay(RETRY_DELAY_MILLISECONDS, signal)
    }
    return states
  }

  dispose (): void {
    this.http.dispose()
  }

  private async submitNew (signal: AbortSignal): Promise<void> {
    await this.submitWithUnknownKey()
    const identity = [...Array(16)].map(() => this.random.integerBelow(16).toString(16)).join('')
    const body = JSON.stringify({ spec: 'text', steps: this.random.pick(SHAPES) })
    const decoded = decodeJob(body)
    if (decoded.kind === 'invalid') throw new Error(decoded.reason)
    const job: SoakJob = { identity, body, job: decoded.job, queue: this.random.pick(QUEUES), isCancelled: false, acceptedAt: undefined, mayRun: false, cancelledAt: undefined }
    this.site.jobs.push(job)
    do {
      await this.submit(job)
      if (job.acceptedAt === undefined) await delay(RETRY_DELAY_MILLISECONDS, signal)
    } while (job.acceptedAt === undefined && !signal.aborted && (job.mayRun || this.random.fraction() < 0.7))
    if (job.acceptedAt === undefined || this.random.fraction() > 0.1) return
    await delay(this.random.integerBelow(MAXIMUM_RESUBMISSION_DELAY_MILLISECONDS), signal)
    await this.submit(job)
  }

  private async submit (job: SoakJob): Promise<void> {
    const { outcome } = await this.call('POST', `/${job.queue}/${job.identity}`, job.body)
    if (outcome.kind === 'notSent') return
    if (outcome.kind === 'unknown' || outcome.status === 502 || outcome.status === 504) job.mayRun = true
    else if (outcome.status === 200) {
      job.mayRun = true
      job.acceptedAt ??= performance.now()
    } else if (outcome.status !== 401 && outcome.status !== 429 && outcome.status !== 503) this.site.checks.addProblem(`Unexpected: status ${outcome.status} for the submission of ${job.identity}`)
  }

  /** Submits a job with a key that no configuration has held. */
  private async submitWithUnknownKey (): Promise<void> {
    const { outcome, request } = await this.call('POST', `/${QUEUES[0]}/${UNKNOWN_KEY_JOB}`, JSON.stringify({ spec: 'text', steps: SHAPES[0] }), 'unknown-key')
    if (outcome.kind === 'answer' && outcome.status < 400) this.site.checks.addProblem(`Keys: ${request.instance.name} accepted a submission with a key that no configuration has held`)
  }

  private async fetchState (job: SoakJob): Promise<string | undefined> {
    const { outcome, request } = await this.call('GET', `/${job.queue}/${job.identity}`)
    if (outcome.kind !== 'answer') return undefined
    const state = outcome.status === 200 ? JSON.parse(outcome.body.toString()).state : undefined
    this.site.checks.onState(job, request, outcome.status, state)
    return state
  }

  private async cancel (job: SoakJob): Promise<void> {
    job.isCancelled = true
    const { outcome } = await this.call('DELETE', `/${job.queue}/${job.identity}`)
    if (outcome.kind === 'answer' && outcome.status === 200) job.cancelledAt ??= performance.now()
  }

  private async fetchWaitingCount (queue: string): Promise<void> {
    const { outcome, request } = await this.call('GET', `/${queue}/`)
    if (outcome.kind === 'answer' && outcome.status === 200) this.site.checks.onWaitingCount(queue, request, JSON.parse(outcome.body.toString()).waiting)
  }

  private async call (method: 'GET' | 'POST' | 'DELETE', path: string, body?: string, key = this.key): Promise<{ outcome: HttpOutcome, request: SentRequest }> {
    const instance = this.site.instances[this.instance] as SentRequest['instance']
    const request = { instance, process: instance.process, description: `${method} ${path}`, sentAt: performance.now() }
    const headers = { host: 'jobs.example', authorization: `Bearer ${key}`, 'vanillaturn-deadline-ms': String(CALL_TIMEOUT_MILLISECONDS) }
    const outcome = await this.http.request(instance.callersAddress, { method, path, body, headers, timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS })
    if (outcome.kind === 'answer' && request.process !== undefined && request.process === instance.process) request.process.hasResponded = true
    if (outcome.kind === 'answer') this.checkKey(key, method, request, outcome.status)
    if (outcome.kind === 'unknown' && outcome.reason !== 'timed out') this.site.checks.onConnectionBroken(request)
    if (outcome.kind !== 'answer' || outcome.status >= 500) this.changeInstance()
    return { outcome, request }
  }

  /** Checks that a withdrawn key stores nothing after the revocation time and that no other key is refused. Replaces a key that was refused. */
  private checkKey (key: string, method: string, { instance, sentAt }: SentRequest, status: number): void {
    if (key === KEYS.withdrawn && method !== 'GET' && status < 400 && sentAt > this.site.keyWithdrawnAt + REVOKE_MILLISECONDS) this.site.checks.addProblem(`Keys: ${instance.name} served ${method} ${Math.round(sentAt - this.site.keyWithdrawnAt)} ms after its key was withdrawn`)
    if (status !== 401) return
    if (key === KEYS.kept || (key === KEYS.withdrawn && this.site.keyWithdrawnAt === Infinity)) this.site.checks.addProblem(`Keys: ${instance.name} refused a key in force`)
    if (key === KEYS.withdrawn) this.key = KEYS.kept
  }

  private changeInstance (): void {
    this.instance = this.random.integerBelow(this.site.instances.length)
  }
}
