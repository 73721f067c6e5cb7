import { delay } from '../base/delay.js'
import { DisposableObject } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { Queue, QueuePolicy } from '../contracts/clusterConfiguration.js'
import { encodeRecord } from '../contracts/clusterRecords.js'
import { isFinalState, type JobState, type StepJob } from '../contracts/stepJob.js'
import type { StateAnswer } from './actingScheduler.js'
import type { RecordLog } from './recordLog.js'
import { SubmissionAppender } from './submissionAppender.js'
import { cancelKey, SUBMISSION_PARTITIONS } from './submissions.js'

/** Part of a caller's time limit that is left for the answer to reach it, in milliseconds. */
const ANSWER_MARGIN_MILLISECONDS = 250
/** Longest search for the acting scheduler on behalf of one question, in milliseconds; about a takeover. */
const QUESTION_LIMIT_MILLISECONDS = 1500
/** Pause before a question is asked again, in milliseconds. */
const QUESTION_PAUSE_MILLISECONDS = 80
/** Accepted jobs and final states that an instance remembers. */
const REMEMBERED_JOBS = 20_000
/** Time after which a refused caller should come back, in seconds: callers wait a few seconds in all, and the log may be back any moment. */
export const RETRY_AFTER_SECONDS = 1

export type SubmitResult =
  | { readonly kind: 'accepted' }
  /** The job was not stored and never runs. */
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterSeconds: number }
  /** The job may be stored; a repeat with the same identity is the same job. */
  | { readonly kind: 'unknown' }

export type CancelResult = 'cancelled' | 'unknownJob' | 'unavailable'
export type StateResult = JobState | 'unknownJob' | 'unavailable'

/** Questions that only the acting scheduler can answer; undefined if it cannot be reached. */
export interface SchedulerQueries {
  getJobState (job: string, timeoutMilliseconds: number): Promise<StateAnswer | undefined>
  countWaitingJobs (queue: string, timeoutMilliseconds: number): Promise<number | undefined>
}

/** Serves callers: accepts jobs into the log, and answers questions with what the acting scheduler knows. */
export class JobService extends DisposableObject {
  private readonly appender: SubmissionAppender
  /** Jobs that the log holds for certain. */
  private readonly accepted = new BoundedMap<true>(REMEMBERED_JOBS)
  private readonly finalStates = new BoundedMap<JobState>(REMEMBERED_JOBS)
  constructor (log: RecordLog, private readonly scheduler: SchedulerQueries, private readonly logger: Logger, random: Random, private readonly now: () => number) {
    super()
    this.appender = this.register(new SubmissionAppender(log, random.integerBelow(SUBMISSION_PARTITIONS), (reason, count) => logger.warn('submissions could not be stored', { reason, count }), now))
  }

  /** Whether a job handed in now would be refused because the log is away. */
  get isLogUnavailable (): boolean {
    return this.appender.isStalled
  }

  /** How long the log takes to store a record, in milliseconds. */
  get logLatencyMilliseconds (): number {
    return this.appender.latencyMilliseconds
  }

  /** Stores a job. A repeat of a stored one is accepted again. */
  async submit (identity: string, queue: Queue, job: StepJob, timeLimitMilliseconds: number): Promise<SubmitResult> {
    if (this.accepted.has(identity)) return { kind: 'accepted' }
    const startedAt = this.now()
    if (this.appender.isStalled) return this.refuse(identity, 'the log is away')
    const value = encodeRecord({ queue: queue.name, pool: queue.pool, policy: recordedPolicy(queue), job, acceptedAt: Date.now() })
    const outcome = await this.appender.append({ key: identity, value }, Math.max(0, timeLimitMilliseconds - ANSWER_MARGIN_MILLISECONDS))
    if (outcome === 'refused') return this.refuse(identity, 'the log did not take the job')
    if (outcome === 'unknown') {
      this.logger.warn('job of unknown acceptance', { job: identity })
      return { kind: 'unknown' }
    }
    this.accepted.set(identity, true)
    this.logger.info('job accepted', { job: identity, queue: queue.name, durationMilliseconds: Math.round(this.now() - startedAt) })
    return { kind: 'accepted' }
  }

  /** Cancels a job; resolves once the cancel is stored. */
  async cancel (identity: string, timeLimitMilliseconds: number): Promise<CancelResult> {
    const startedAt = this.now()
    if (!this.accepted.has(identity)) {
      const getState = await this.getState(identity, timeLimitMilliseconds)
      if (getState === 'unknownJob' || getState === 'unavailable') return getState
    }
    const left = timeLimitMilliseconds - (this.now() - startedAt) - ANSWER_MARGIN_MILLISECONDS
    if (this.appender.isStalled || left <= 0) return 'unavailable'
    const outcome = await this.appender.append({ key: cancelKey(identity), value: CANCEL_VALUE }, left)
    return outcome === 'stored' ? 'cancelled' : 'unavailable'
  }

  /** State of a job. */
  async getState (identity: string, timeLimitMilliseconds: number): Promise<StateResult> {
    const final = this.finalStates.get(identity)
    if (final !== undefined) return final
    const answer = await this.askUntil(timeLimitMilliseconds, async timeout => {
      const getState = await this.scheduler.getJobState(identity, timeout)
      return getState === 'unsure' || (getState === 'unknown' && this.accepted.has(identity)) ? undefined : getState
    })
    if (answer === undefined) return this.accepted.has(identity) ? 'pending' : 'unavailable'
    if (answer === 'unknown') return 'unknownJob'
    if (isFinalState(answer as JobState)) this.finalStates.set(identity, answer as JobState)
    return answer as JobState
  }

  /** Jobs of a queue of which no task has started; undefined if that cannot be found out in time. */
  async countWaitingJobs (queue: string, timeLimitMilliseconds: number): Promise<number | undefined> {
    const startedAt = this.now()
    const count = await this.askUntil(timeLimitMilliseconds, async timeout => await this.scheduler.countWaitingJobs(queue, timeout))
    this.logger.info('waiting jobs asked for', { queue, count, durationMilliseconds: Math.round(this.now() - startedAt) })
    return count
  }

  private refuse (identity: string, reason: string): SubmitResult {
    this.logger.info('job refused', { job: identity, reason })
    return { kind: 'refused', reason, retryAfterSeconds: RETRY_AFTER_SECONDS }
  }

  private async askUntil<T> (timeLimitMilliseconds: number, ask: (timeoutMilliseconds: number) => Promise<T | undefined>): Promise<T | undefined> {
    const endsAt = this.now() + Math.min(QUESTION_LIMIT_MILLISECONDS, timeLimitMilliseconds - ANSWER_MARGIN_MILLISECONDS)
    while (true) {
      const left = endsAt - this.now()
      const answer = await ask(Math.max(1, left))
      if (answer !== undefined) return answer
      if (this.now() + QUESTION_PAUSE_MILLISECONDS >= endsAt || this.isDisposed) return undefined
      await delay(QUESTION_PAUSE_MILLISECONDS)
    }
  }
}

function recordedPolicy ({ priority, attempts, stretch, targetMilliseconds, eligibility }: Queue): Omit<QueuePolicy, 'pool'> {
  const policy = { priority, attempts, stretch, targetMilliseconds }
  return eligibility === undefined ? policy : { ...policy, eligibility }
}

const CANCEL_VALUE = Buffer.from([1])

/** A map that forgets its oldest entries beyond a size. */
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
