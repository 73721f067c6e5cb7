import { createHash, randomUUID } from 'node:crypto'
import { Emitter, type Event } from '../base/emitter.js'
import { DisposableObject } from '../base/disposable.js'
import type { Job, JobSubmission } from '../contracts/jobs.js'
import type { Resources } from '../contracts/resources.js'
import { domainStreamName, type RecordBody } from '../contracts/records.js'
import type { SiteConfiguration } from '../contracts/siteConfiguration.js'
import type { ServingError } from '../contracts/verdict.js'
import type { AppendOutcome, LogAppender } from '../links/logAppender.js'
import type { LogFollower } from '../links/logFollower.js'
import { JobRegistry, toIndexRanges, type RegisteredJob } from '../scheduling/jobRegistry.js'
import { couldEverFit } from '../scheduling/capacity.js'
import type { ConfigurationTask } from './configurationTask.js'
import type { EntryContext } from './entryContext.js'

/** Result of a request to submit or cancel a job. */
export type JobRequestResult =
  | { readonly kind: 'accepted', readonly job: string, readonly failureDomain: string }
  | { readonly kind: 'error', readonly error: ServingError }

const APPEND_TIMEOUT_MILLISECONDS = 3000
const MAXIMUM_ENDED_JOBS = 10_000

/** Accepts jobs by appending them to the log, and tracks the jobs of the own failure domain. */
export class JobTask extends DisposableObject {
  readonly registry = new JobRegistry(MAXIMUM_ENDED_JOBS)
  private readonly appenders = new Map<string, LogAppender>()
  /** Jobs whose end record has been sent and not yet read back. */
  private readonly ending = new Set<string>()
  private readonly didChange = new Emitter<RecordBody>()
  /** Fires after a record about jobs of the own failure domain has been applied. */
  readonly onDidChangeJobs: Event<RecordBody> = this.didChange.event

  constructor (
    private readonly context: EntryContext,
    private readonly configuration: ConfigurationTask,
    private readonly follower: LogFollower,
    private readonly createAppender: (stream: string) => LogAppender
  ) {
    super()
    this.register(this.didChange)
    this.register(follower.onDidReadIdentity(identity => this.appenders.get(follower.stream)?.confirm(identity)))
    this.register(follower.onDidReadRecord(record => {
      this.registry.apply(record)
      if (record.body.type === 'jobEnded') this.ending.delete(record.body.job)
      this.didChange.fire(record.body)
    }))
  }

  /** Accepts a job once it is in the log. Submissions of a team with the same idempotency key result in the same job. */
  async submit (submission: JobSubmission, idempotencyKey: string | undefined): Promise<JobRequestResult> {
    const siteConfiguration = this.configuration.inForce?.configuration
    if (siteConfiguration === undefined) return failure({ code: 'notReady', verdict: 'notRun', message: 'no configuration is in force yet', retryAfterSeconds: 1 })
    const problem = validateSubmission(submission, siteConfiguration)
    if (problem !== undefined) return failure(problem)
    const seed = idempotencyKey === undefined ? randomUUID() : createHash('sha256').update(`${submission.team}\n${idempotencyKey}`).digest('hex').slice(0, 32)
    const failureDomain = selectFailureDomain(submission, siteConfiguration, seed)
    if (failureDomain === undefined) return failure({ code: 'jobNeverFits', verdict: 'notRun', message: neverFitsMessage(submission) })
    const identity = `${failureDomain}.${seed}`
    const job: Job = { ...submission, identity, acceptedAtMilliseconds: Date.now() }
    this.context.events.record('jobSubmitted', { job: identity, failureDomain })
    const outcome = await this.append(failureDomain, { type: 'jobAccepted', job, failureDomain }, `job:${identity}`)
    if (outcome === 'unknown') {
      return failure({ code: 'outcomeUnknown', verdict: 'mayHaveRun', job: identity, message: `the job '${identity}' may have been recorded; submit it again with the same idempotency key, or read it`, retryAfterSeconds: 2 })
    }
    if (outcome === 'notAppended') return failure({ code: 'logUnavailable', verdict: 'notRun', message: 'the job could not be recorded; submit it again with the same idempotency key', retryAfterSeconds: 2 })
    this.context.events.record('jobAccepted', { job: identity, failureDomain })
    return { kind: 'accepted', job: identity, failureDomain }
  }

  /** Records a request to cancel a job of any failure domain. */
  async cancel (identity: string): Promise<JobRequestResult> {
    const failureDomain = failureDomainOf(identity)
    if (failureDomain === undefined || this.configuration.inForce?.configuration.failureDomains[failureDomain] === undefined) {
      return failure({ code: 'unknownJob', verdict: 'notRun', message: `there is no job '${identity}'` })
    }
    const outcome = await this.append(failureDomain, { type: 'jobCancelRequested', job: identity }, `cancel:${identity}`)
    if (outcome === 'unknown') return failure({ code: 'outcomeUnknown', verdict: 'mayHaveRun', job: identity, message: 'the cancellation may have been recorded; request it again', retryAfterSeconds: 2 })
    if (outcome === 'notAppended') return failure({ code: 'logUnavailable', verdict: 'notRun', message: 'the cancellation could not be recorded', retryAfterSeconds: 2 })
    this.context.events.record('jobCancelRequested', { job: identity })
    return { kind: 'accepted', job: identity, failureDomain }
  }

  /** Whether all records that were in the stream at the start have been read. */
  get hasCaughtUp (): boolean {
    return this.follower.hasCaughtUp
  }

  /** Appends a record of finished tasks of an open job. */
  async recordProgress (body: Extract<RecordBody, { type: 'jobProgress' }>, identity: string): Promise<boolean> {
    return await this.append(this.context.settings.failureDomain, body, `progress:${identity}`) === 'appended'
  }

  /**
   * Re-appends the acceptance of an open job with its original identity, its cancellation if there is one, and its
   * finished tasks, which must not run again. Resolves with whether all are in the log. A job whose end record has been
   * sent is skipped, so that an instance that starts later never reads the acceptance after the end.
   */
  async reappend (identity: string): Promise<boolean> {
    const registered = this.registry.find(identity)
    if (registered === undefined || registered.outcome !== undefined || this.ending.has(identity)) return false
    const { failureDomain } = registered
    const accepted = this.append(failureDomain, { type: 'jobAccepted', job: registered.job, failureDomain }, `job:${identity}`)
    const cancelled = registered.cancelRequested ? this.append(failureDomain, { type: 'jobCancelRequested', job: identity }, `cancel:${identity}`) : 'appended'
    const progressed = registered.finished.size > 0 ? this.reappendProgress(registered) : 'appended'
    return (await Promise.all([accepted, cancelled, progressed])).every(outcome => outcome === 'appended')
  }

  /** Re-appends the finished tasks of a job. Their number never decreases, so that it identifies the record. */
  private async reappendProgress ({ job, failureDomain, finished }: RegisteredJob): Promise<AppendOutcome> {
    return await this.append(failureDomain, { type: 'jobProgress', job: job.identity, finished: toIndexRanges(finished) }, `progress:${job.identity}:${finished.size}`)
  }

  /** Appends the end record of a job. */
  async recordEnd (identity: string, body: Extract<RecordBody, { type: 'jobEnded' }>): Promise<boolean> {
    this.ending.add(identity)
    return await this.append(this.context.settings.failureDomain, body, `end:${identity}`) === 'appended'
  }

  private async append (failureDomain: string, body: RecordBody, identity: string): Promise<AppendOutcome> {
    const stream = domainStreamName('jobs', failureDomain)
    let appender = this.appenders.get(stream)
    if (appender === undefined) {
      appender = this.register(this.createAppender(stream))
      this.appenders.set(stream, appender)
    }
    return await appender.appendWithOutcome(body, APPEND_TIMEOUT_MILLISECONDS, identity)
  }
}

/** Returns the failure domain that the identity of a job names. */
export function failureDomainOf (identity: string): string | undefined {
  const dot = identity.indexOf('.')
  return dot > 0 ? identity.slice(0, dot) : undefined
}

function validateSubmission (submission: JobSubmission, siteConfiguration: SiteConfiguration): ServingError | undefined {
  if (!(submission.team in siteConfiguration.teams)) {
    return { code: 'malformedRequest', verdict: 'notRun', message: `team: unknown team '${submission.team}'` }
  }
  if (submission.failureDomain !== undefined && !(submission.failureDomain in siteConfiguration.failureDomains)) {
    return { code: 'malformedRequest', verdict: 'notRun', message: `failureDomain: unknown failure domain '${submission.failureDomain}'` }
  }
  return undefined
}

/** Selects, by the seed, one of the failure domains whose workers could ever run the job. */
function selectFailureDomain (submission: JobSubmission, siteConfiguration: SiteConfiguration, seed: string): string | undefined {
  const candidates = Object.keys(siteConfiguration.failureDomains)
    .filter(domain => submission.failureDomain === undefined || domain === submission.failureDomain)
    .filter(domain => couldEverFit(submission, workerCapacities(siteConfiguration, domain)))
    .sort()
  if (candidates.length === 0) return undefined
  return candidates[Number.parseInt(seed.slice(0, 8), 16) % candidates.length]
}

/** Returns the capacities of the workers that the site configuration defines for a failure domain. */
export function workerCapacities (siteConfiguration: SiteConfiguration, failureDomain: string): Resources[] {
  const capacities: Resources[] = []
  for (const pool of Object.values(siteConfiguration.workerPools)) {
    const { processorsThousandths, memoryBytes, accelerators } = pool
    for (let count = pool.workers[failureDomain] ?? 0; count > 0; count -= 1) capacities.push({ processorsThousandths, memoryBytes, accelerators })
  }
  return capacities
}

function neverFitsMessage (submission: JobSubmission): string {
  const { resources, tasks, kind } = submission
  const size = `${resources.processorsThousandths} thousandths of a processor, ${resources.memoryBytes} bytes of memory and ${resources.accelerators} accelerators`
  return kind === 'gang'
    ? `no failure domain has workers that could carry all ${tasks} tasks of ${size} at once`
    : `no worker could ever carry a task of ${size}`
}

function failure (error: ServingError): JobRequestResult {
  return { kind: 'error', error }
}
