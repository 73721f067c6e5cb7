import { delay } from '../base/delay.js'
import { DisposableObject } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { Organisation, Queue, QueuePolicy } from '../contracts/clusterConfiguration.js'
import { encodeRecord } from '../contracts/clusterRecords.js'
import { isFinalState, type JobState, type StepJob } from '../contracts/stepJob.js'
import type { JobStateResult } from './activeScheduler.js'
import { exceedsCap } from './organisations/organisationCaps.js'
import type { RecordLog } from './recordLog.js'
import { SubmissionAppender } from './submissionAppender.js'
import { cancelKey, SUBMISSION_PARTITIONS } from './submissions.js'

/** Part of a caller's time limit that is reserved for the response to reach it, in milliseconds. */
const RESPONSE_MARGIN_MILLISECONDS = 250
/** Longest time that one query waits for an active scheduler, in milliseconds; about the duration of a takeover. */
const QUERY_TIMEOUT_MILLISECONDS = 1500
/** Delay before a query is retried, in milliseconds. */
const QUERY_RETRY_DELAY_MILLISECONDS = 80
/** Number of accepted jobs, and of final states, that an instance caches. */
const MAXIMUM_CACHED_JOBS = 20_000
/** Time after which a refused caller should retry, in seconds: callers wait a few seconds in total, and the log may recover at any moment. */
export const RETRY_AFTER_SECONDS = 1

export type SubmitResult =
  | { readonly kind: 'accepted' }
  /** The job was not stored and will never run. */
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterSeconds: number }
  /** The job may be stored; a retry with the same identity submits the same job. */
  | { readonly kind: 'unknown' }

export type CancelResult = 'cancelled' | 'unknownJob' | 'unavailable'
export type StateResult = JobState | 'unknownJob' | 'unavailable'

/** Queries that only the active scheduler can answer; they return undefined if it cannot be reached. */
export interface SchedulerQueries {
  getJobState (job: string, timeoutMilliseconds: number): Promise<JobStateResult | undefined>
  countWaitingJobs (queue: string, timeoutMilliseconds: number): Promise<number | undefined>
}

/** Serves the job operations of callers: stores submissions and cancellations in the log, and obtains job states and counts from the active scheduler. */
export class JobService extends DisposableObject {
  private readonly appender: SubmissionAppender
  /** Jobs that are known to be stored in the log. */
  private readonly accepted = new BoundedMap<true>(MAXIMUM_CACHED_JOBS)
  private readonly finalStates = new BoundedMap<JobState>(MAXIMUM_CACHED_JOBS)
  constructor (log: RecordLog, private readonly scheduler: SchedulerQueries, private readonly logger: Logger, random: Random, private readonly now: () => number) {
    super()
    this.appender = this.register(new SubmissionAppender(log, random.integerBelow(SUBMISSION_PARTITIONS), (reason, count) => logger.warn('submissions could not be stored', { reason, count }), now))
  }

  /** Whether a job submitted now would be refused because the log is unavailable. */
  get isLogUnavailable (): boolean {
    return this.appender.isStalled
  }

  /** Current latency of an append to the log, in milliseconds. */
  get logLatencyMilliseconds (): number {
    return this.appender.latencyMilliseconds
  }

  /** Stores a job. A retry of a stored job is accepted again. `organisation` is the one that submits it. */
  async submit (identity: string, queue: Queue, job: StepJob, timeLimitMilliseconds: number, organisation?: Organisation): Promise<SubmitResult> {
    if (this.accepted.has(identity)) return { kind: 'accepted' }
    const excess = organisation === undefined ? undefined : exceedsCap(job, organisation)
    if (excess !== undefined) return this.refuse(identity, `the job can never run: ${excess}`)
    const startedAt = this.now()
    if (this.appender.isStalled) return this.refuse(identity, 'the log is away')
    const value = encodeRecord({ queue: queue.name, pool: queue.pool, policy: recordedPolicy(queue), job, acceptedAt: Date.now() })
    const outcome = await this.appender.append({ key: identity, value }, Math.max(0, timeLimitMilliseconds - RESPONSE_MARGIN_MILLISECONDS))
    if (outcome === 'refused') return this.refuse(identity, 'the log did not take the job')
    if (outcome === 'unknown') {
      this.logger.warn('job of unknown acceptance', { job: identity })
      return { kind: 'unknown' }
    }
    this.accepted.set(identity, true)
    this.logger.info('job accepted', { job: identity, queue: queue.name, durationMilliseconds: Math.round(this.now() - startedAt) })
    return { kind: 'accepted' }
  }

  /** Cancels a job; resolves once the cancellation is stored. */
  async cancel (identity: string, timeLimitMilliseconds: number): Promise<CancelResult> {
    const startedAt = this.now()
    if (!this.accepted.has(identity)) {
      const state = await this.getState(identity, timeLimitMilliseconds)
      if (state === 'unknownJob' || state === 'unavailable') return state
    }
    const left = timeLimitMilliseconds - (this.now() - startedAt) - RESPONSE_MARGIN_MILLISECONDS
    if (this.appender.isStalled || left <= 0) return 'unavailable'
    const outcome = await this.appender.append({ key: cancelKey(identity), value: CANCEL_VALUE }, left)
    return outcome === 'stored' ? 'cancelled' : 'unavailable'
  }

  /** Returns the state of a job. */
  async getState (identity: string, timeLimitMilliseconds: number): Promise<StateResult> {
    const final = this.finalStates.get(identity)
    if (final !== undefined) return final
    const result = await this.queryWithRetries(timeLimitMilliseconds, async timeout => {
      const state = await this.scheduler.getJobState(identity, timeout)
      return state === 'unsure' || (state === 'unknown' && this.accepted.has(identity)) ? undefined : state
    })
    if (result === undefined) return this.accepted.has(identity) ? 'pending' : 'unavailable'
    if (result === 'unknown') return 'unknownJob'
    if (isFinalState(result as JobState)) this.finalStates.set(identity, result as JobState)
    return result as JobState
  }

  /** Returns how many jobs of a queue have no started task; undefined if the active scheduler does not respond in time. */
  async countWaitingJobs (queue: string, timeLimitMilliseconds: number): Promise<number | undefined> {
    const startedAt = this.now()
    const count = await this.queryWithRetries(timeLimitMilliseconds, async timeout => await this.scheduler.countWaitingJobs(queue, timeout))
    this.logger.info('waiting jobs asked for', { queue, count, durationMilliseconds: Math.round(this.now() - startedAt) })
    return count
  }

  private refuse (identity: string, reason: string): SubmitResult {
    this.logger.info('job refused', { job: identity, reason })
    return { kind: 'refused', reason, retryAfterSeconds: RETRY_AFTER_SECONDS }
  }

  /** Repeats a query until it returns a result, for at most `QUERY_TIMEOUT_MILLISECONDS`. */
  private async queryWithRetries<T> (timeLimitMilliseconds: number, query: (timeoutMilliseconds: number) => Promise<T | undefined>): Promise<T | undefined> {
    const endsAt = this.now() + Math.min(QUERY_TIMEOUT_MILLISECONDS, timeLimitMilliseconds - RESPONSE_MARGIN_MILLISECONDS)
    while (true) {
      const left = endsAt - this.now()
      const result = await query(Math.max(1, left))
      if (result !== undefined) return result
      if (this.now() + QUERY_RETRY_DELAY_MILLISECONDS >= endsAt || this.isDisposed) return undefined
      await delay(QUERY_RETRY_DELAY_MILLISECONDS)
    }
  }
}

function recordedPolicy ({ priority, attempts, stretch, targetMilliseconds, eligibility }: Queue): Omit<QueuePolicy, 'pool'> {
  const policy = { priority, attempts, stretch, targetMilliseconds }
  return eligibility === undefined ? policy : { ...policy, eligibility }
}

const CANCEL_VALUE = Buffer.from([1])

/** A map that evicts its oldest entry when it exceeds its size limit. */
class BoundedMap<Value> {
  private readonly entries = new Map<string, Value>()

  constructor (private readonly limit: number) {}

  has (key: string): boolean {
    return this.entries.has(key)
  }

  get (key: string): Value | undefined {
    return this.entries.get(key)
  }

  set (key: string, value: Value): void {
    this.entries.set(key, value)
    if (this.entries.size <= this.limit) return
    const oldest = this.entries.keys().next()
    if (!oldest.done) this.entries.delete(oldest.value)
  }
}
