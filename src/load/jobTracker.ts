import { build, type Histogram } from 'hdr-histogram-js'
import { request, type Agent } from 'undici'
import { delay } from '../base/delay.js'
import type { Random } from '../base/random.js'
import type { JobSubmission } from '../contracts/jobs.js'
import { servingErrorSchema } from '../contracts/verdict.js'
import { summarize, type JobClassResult, type JobResult } from './loadResult.js'
import type { Scenario } from './scenario.js'

interface TrackedJob {
  readonly submission: JobSubmission
  readonly submittedAt: number
  identity: string
  failureDomain: string
  state: string
  startedAt: number | undefined
}

const REQUEST_TIMEOUT_MILLISECONDS = 5000
const MAXIMUM_SUBMISSIONS = 5
const RESUBMIT_DELAY_MILLISECONDS = 1000
/** Limits the load that polling itself causes. */
const MAXIMUM_READS_PER_POLL = 32

/** Submits the jobs of a scenario and tracks their state. Failures are recorded, never thrown. */
export class JobTracker {
  private readonly jobs: TrackedJob[] = []
  private nextReadIndex = 0

  constructor (private readonly addresses: readonly string[], private readonly agent: Agent, private readonly random: Random, private readonly runIdentity: string) {}

  get submittedCount (): number {
    return this.jobs.length
  }

  /** Whether any job has been accepted, or may have been, and has not ended. A running service does not count, as it does not end by itself. */
  get hasOpenJobs (): boolean {
    return this.jobs.some(job => isOpen(job))
  }

  /** Failure domains in which a job waits for its tasks to start. */
  get waitingFailureDomains (): ReadonlySet<string> {
    return new Set(this.jobs.filter(job => job.state === 'waiting' || job.state === 'starting').map(job => job.failureDomain))
  }

  /** Submits a job at its due time, and resubmits it with the same idempotency key if the outcome is unknown. */
  async submit (entry: Scenario['jobs'][number], startedAt: number): Promise<void> {
    await delay(Math.max(0, startedAt + entry.atMilliseconds - performance.now()))
    const job: TrackedJob = { submission: entry.submission, submittedAt: performance.now(), identity: '', failureDomain: '', state: 'submitting', startedAt: undefined }
    const key = `${this.runIdentity}-job-${this.jobs.length}`
    this.jobs.push(job)
    for (let attempt = 1; attempt <= MAXIMUM_SUBMISSIONS; attempt += 1) {
      if (attempt > 1) await delay(RESUBMIT_DELAY_MILLISECONDS)
      const outcome = await this.submitOnce(job, key)
      if (outcome === 'settled') return
      job.state = outcome
    }
  }

  /** Reads the state of open jobs, each from the owner of its failure domain, as only the owner knows which tasks have started. */
  async poll (owners: ReadonlyMap<string, string>): Promise<void> {
    const open = this.jobs.filter(job => job.identity !== '' && isOpen(job))
    const chosen = open.length <= MAXIMUM_READS_PER_POLL ? open : Array.from({ length: MAXIMUM_READS_PER_POLL }, (_, index) => open[(this.nextReadIndex + index) % open.length] as TrackedJob)
    this.nextReadIndex += MAXIMUM_READS_PER_POLL
    await Promise.all(chosen.map(async job => await this.readState(job, owners.get(job.failureDomain) ?? this.addresses[0] ?? '')))
  }

  results (): { jobs: JobResult[], jobClasses: Record<string, JobClassResult> } {
    const histograms = new Map<string, { jobs: number, histogram: Histogram }>()
    const jobs = this.jobs.map(({ identity, submission, state, startedAt, submittedAt }): JobResult => {
      const waitedMilliseconds = startedAt === undefined ? undefined : startedAt - submittedAt
      const name = `${submission.kind} ${submission.urgency}`
      const group = histograms.get(name) ?? { jobs: 0, histogram: build() }
      histograms.set(name, group)
      group.jobs += 1
      if (waitedMilliseconds !== undefined) group.histogram.recordValue(Math.max(1, Math.round(waitedMilliseconds * 1000)))
      return { job: identity, name: submission.name, kind: submission.kind, urgency: submission.urgency, tasks: submission.tasks, state, waitedMilliseconds }
    })
    const jobClasses = Object.fromEntries([...histograms].sort().map(([name, { jobs, histogram }]) => [name, { jobs, started: histogram.totalCount, ...summarize(histogram) }]))
    return { jobs, jobClasses }
  }

  private async submitOnce (job: TrackedJob, key: string): Promise<'settled' | 'refused' | 'unknown'> {
    try {
      const response = await request(`${this.random.pick(this.addresses)}/jobs`, {
        method: 'POST', headers: { 'content-type': 'application/json', 'idempotency-key': key }, body: JSON.stringify(job.submission), dispatcher: this.agent, headersTimeout: REQUEST_TIMEOUT_MILLISECONDS, bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS
      })
      const body = await response.body.json() as { job?: string, failureDomain?: string, error?: unknown }
      if (response.statusCode === 202 && body.job !== undefined) {
        job.identity = body.job
        job.failureDomain = body.failureDomain ?? ''
        job.state = 'waiting'
        return 'settled'
      }
      const error = servingErrorSchema.safeParse(body.error)
      if (error.success && error.data.retryAfterSeconds !== undefined) return 'unknown'
      job.state = 'refused'
      return 'settled'
    } catch {
      return 'unknown'
    }
  }

  private async readState (job: TrackedJob, address: string): Promise<void> {
    try {
      const response = await request(`${address}/jobs/${encodeURIComponent(job.identity)}`, { dispatcher: this.agent, headersTimeout: REQUEST_TIMEOUT_MILLISECONDS, bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS })
      const body = await response.body.json() as { state?: string }
      if (typeof body.state === 'string') job.state = body.state
    } catch {
      return
    }
    if (job.startedAt === undefined && ['running', 'finished'].includes(job.state)) job.startedAt = performance.now()
  }
}

function isOpen ({ state, submission }: TrackedJob): boolean {
  if (submission.kind === 'service' && state === 'running') return false
  return state === 'submitting' || state === 'waiting' || state === 'starting' || state === 'running'
}
