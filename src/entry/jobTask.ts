import { createHash, randomUUID } from 'node:crypto'
import { Emitter, type Event } from '../base/emitter.js'
import { DisposableObject } from '../base/disposable.js'
import type { Job, JobSubmission } from '../contracts/jobs.js'
import type { Resources } from '../contracts/resources.js'
import { domainStream, type RecordBody } from '../contracts/records.js'
import type { SiteText } from '../contracts/siteText.js'
import type { ServingError } from '../contracts/verdict.js'
import type { AppendOutcome, LogAppender } from '../links/logAppender.js'
import type { LogFollower } from '../links/logFollower.js'
import { JobRegistry, toIndexRanges, type RegisteredJob } from '../scheduling/jobRegistry.js'
import { couldEverFit } from '../scheduling/capacity.js'
import type { ConfigurationTask } from './configurationTask.js'
import type { EntryContext } from './entryContext.js'

/** Outcome of a submission or cancellation. */
export type JobAnswer =
  | { readonly kind: 'accepted', readonly job: string, readonly failureDomain: string }
  | { readonly kind: 'error', readonly error: ServingError }

const APPEND_TIMEOUT_MILLISECONDS = 3000
const KEPT_ENDED_JOBS = 10_000

/** Accepts jobs into the log and follows the jobs of the own failure domain. */
export class JobTask extends DisposableObject {
  readonly book = new JobRegistry(KEPT_ENDED_JOBS)
  private readonly appenders = new Map<string, LogAppender>()
  /** Jobs whose end has been sent and not yet read back. */
  private readonly ending = new Set<string>()
  private readonly didChange = new Emitter<RecordBody>()
  /** Fires after a record of the own failure domain's jobs has been applied. */
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
      this.book.apply(record)
      if (record.body.type === 'jobEnded') this.ending.delete(record.body.job)
      this.didChange.fire(record.body)
    }))
  }

  /** Accepts a job once it is in the log. The same idempotency key gives the same job. */
  async submit (submission: JobSubmission, idempotencyKey: string | undefined): Promise<JobAnswer> {
    const text = this.configuration.inForce?.text
    if (text === undefined) return failure({ code: 'notReady', verdict: 'notRun', message: 'no configuration is in force yet', retryAfterSeconds: 1 })
    const problem = checkSubmission(submission, text)
    if (problem !== undefined) return failure(problem)
    const seed = idempotencyKey === undefined ? randomUUID() : createHash('sha256').update(`${submission.team}\n${idempotencyKey}`).digest('hex').slice(0, 32)
    const failureDomain = chooseFailureDomain(submission, text, seed)
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
  async cancel (identity: string): Promise<JobAnswer> {
    const failureDomain = failureDomainOf(identity)
    if (failureDomain === undefined || this.configuration.inForce?.text.failureDomains[failureDomain] === undefined) {
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

  /** Appends finished tasks of an open job. */
  async recordProgress (body: Extract<RecordBody, { type: 'jobProgress' }>, identity: string): Promise<boolean> {
    return await this.append(this.context.settings.failureDomain, body, `progress:${identity}`) === 'appended'
  }

  /**
   * Repeats the record of an open job with its original identity, its cancellation if there is one, and its finished
   * tasks, which must not run again. Resolves with whether all are in the log. A job whose end has been sent is left alone, so that a late starter never reads the acceptance after the end.
   */
  async reappend (identity: string): Promise<boolean> {
    const booked = this.book.find(identity)
    if (booked === undefined || booked.outcome !== undefined || this.ending.has(identity)) return false
    const { failureDomain } = booked
    const accepted = this.append(failureDomain, { type: 'jobAccepted', job: booked.job, failureDomain }, `job:${identity}`)
    const cancelled = booked.cancelRequested ? this.append(failureDomain, { type: 'jobCancelRequested', job: identity }, `cancel:${identity}`) : 'appended'
    const progressed = booked.finished.size > 0 ? this.reappendProgress(booked) : 'appended'
    return (await Promise.all([accepted, cancelled, progressed])).every(outcome => outcome === 'appended')
  }

  /** Finished tasks only grow in number, so that their count identifies the record. */
  private async reappendProgress ({ job, failureDomain, finished }: RegisteredJob): Promise<AppendOutcome> {
    return await this.append(failureDomain, { type: 'jobProgress', job: job.identity, finished: toIndexRanges(finished) }, `progress:${job.identity}:${finished.size}`)
  }

  /** Appends the end of a job. */
  async end (identity: string, body: Extract<RecordBody, { type: 'jobEnded' }>): Promise<boolean> {
    this.ending.add(identity)
    return await this.append(this.context.settings.failureDomain, body, `end:${identity}`) === 'appended'
  }

  private async append (failureDomain: string, body: RecordBody, identity: string): Promise<AppendOutcome> {
    const stream = domainStream('jobs', failureDomain)
    let appender = this.appenders.get(stream)
    if (appender === undefined) {
      appender = this.register(this.createAppender(stream))
      this.appenders.set(stream, appender)
    }
    return await appender.appendWithOutcome(body, APPEND_TIMEOUT_MILLISECONDS, identity)
  }
}

/** Failure domain that a job's identity names. */
export function failureDomainOf (identity: string): string | undefined {
  const dot = identity.indexOf('.')
  return dot > 0 ? identity.slice(0, dot) : undefined
}

function checkSubmission (submission: JobSubmission, text: SiteText): ServingError | undefined {
  if (!(submission.team in text.teams)) {
    return { code: 'malformedRequest', verdict: 'notRun', message: `team: unknown team '${submission.team}'` }
  }
  if (submission.failureDomain !== undefined && !(submission.failureDomain in text.failureDomains)) {
    return { code: 'malformedRequest', verdict: 'notRun', message: `failureDomain: unknown failure domain '${submission.failureDomain}'` }
  }
  return undefined
}

/** Chooses, by the seed, one of the failure domains that could carry the job. */
function chooseFailureDomain (submission: JobSubmission, text: SiteText, seed: string): string | undefined {
  const candidates = Object.keys(text.failureDomains)
    .filter(domain => submission.failureDomain === undefined || domain === submission.failureDomain)
    .filter(domain => couldEverFit(submission, workerCapacities(text, domain)))
    .sort()
  if (candidates.length === 0) return undefined
  return candidates[Number.parseInt(seed.slice(0, 8), 16) % candidates.length]
}

/** Capacities of the workers that the site text gives a failure domain. */
export function workerCapacities (text: SiteText, failureDomain: string): Resources[] {
  const capacities: Resources[] = []
  for (const pool of Object.values(text.workerPools)) {
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

function failure (error: ServingError): JobAnswer {
  return { kind: 'error', error }
}
