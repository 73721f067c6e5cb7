import { delay } from '../base/delay.js'
import { DisposableObject } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { Organisation, Queue, QueuePolicy } from '../contracts/clusterConfiguration.js'
import { encodeRecord } from '../contracts/clusterRecords.js'
import { isFinalState, type JobState, type StepJob } from '../contracts/stepJob.js'
import type { JobStatus } from './activeScheduler.js'
import type { RefusalCause } from './admission/admissionDecision.js'
import type { RefusalLog } from './admission/refusalLog.js'
import type { SubmissionAdmission } from './admission/submissionAdmission.js'
import { mayAccess, UNRESTRICTED_ACCESS, type AccessMode, type CallAccess, type CallerIdentity, type RefusalReason } from './organisations/accessControl.js'
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
/** Longest wait for the active scheduler to tell whether a job that is to be refused is stored already, in milliseconds. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 400
/** Maximum number of such questions that are open because of excess submissions. */
const MAXIMUM_EXCESS_CONFIRMATIONS = 32
/** Range from which the time of return of excess submissions is drawn, in seconds. */
const EXCESS_RETURN_SECONDS = { minimum: 1, maximum: 3 }
/** Number of accepted jobs, and of final states, that an instance caches. */
const MAXIMUM_CACHED_JOBS = 20_000
/** Time after which a refused caller should retry, in seconds: callers wait a few seconds in total, and the log may recover at any moment. */
export const RETRY_AFTER_SECONDS = 1

export type SubmitResult =
  | { readonly kind: 'accepted' }
  /** The job was not stored and will never run. */
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterSeconds: number }
  /** The job may be stored; a retry with the same identity submits the same job. */
  | { readonly kind: 'unknown', readonly retryAfterSeconds?: number }
  /** A job of another organisation has the identity; this one was not stored and will never run. */
  | { readonly kind: 'identityTaken' }
  | AccessDenial

/** The caller may not use the queue; nothing was stored or returned. */
export interface AccessDenial {
  readonly kind: 'denied'
  readonly reason: RefusalReason
}

export type CancelResult = 'cancelled' | 'unknownJob' | 'unavailable' | AccessDenial
export type StateResult = JobState | 'unknownJob' | 'unavailable' | AccessDenial

/** The organisation that submitted a job; undefined if there is none. */
interface JobOwner {
  readonly organisation?: string | undefined
}

/** Queries that only the active scheduler can answer; they return undefined if it cannot be reached. */
export interface SchedulerQueries {
  getJobStatus (job: string, timeoutMilliseconds: number): Promise<JobStatus | undefined>
  /** Like `getJobStatus`, but a job is `unknown` only if the log has been read after the call. */
  getCurrentJobStatus (job: string, timeoutMilliseconds: number): Promise<JobStatus | undefined>
  countWaitingJobs (queue: string, timeoutMilliseconds: number): Promise<number | undefined>
}

/** Admission of the jobs of organisations by what can be served. */
export interface AdmissionServices {
  readonly admission: Pick<SubmissionAdmission, 'decide'>
  readonly refusals: Pick<RefusalLog, 'report'>
}

/** Serves the job operations of callers: stores submissions and cancellations in the log, and obtains job states and counts from the active scheduler. */
export class JobService extends DisposableObject {
  private readonly appender: SubmissionAppender
  /** Organisations of the jobs that are known to be stored in the log. */
  private readonly accepted = new BoundedMap<JobOwner>(MAXIMUM_CACHED_JOBS)
  private readonly finalStates = new BoundedMap<JobOwner & { readonly state: JobState }>(MAXIMUM_CACHED_JOBS)

  private openExcessConfirmations = 0

  /** `findOrganisation` returns an organisation by name from the configuration in force. Without `admission`, only jobs that can never run are refused. */
  constructor (log: RecordLog, private readonly scheduler: SchedulerQueries, private readonly logger: Logger, private readonly random: Random, private readonly now: () => number, private readonly findOrganisation: (name: string) => Organisation | undefined = () => undefined, private readonly admission?: AdmissionServices) {
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

  /** Stores a job. A retry of a stored job is accepted again. */
  async submit (identity: string, queue: Queue, job: StepJob, timeLimitMilliseconds: number, access: CallAccess = UNRESTRICTED_ACCESS): Promise<SubmitResult> {
    const decision = access.check('write')
    if (decision.kind === 'refused') return deny(decision.reason)
    const { caller } = decision
    const known = this.accepted.get(identity)
    if (known !== undefined) return { kind: mayAccess(caller, known.organisation) ? 'accepted' : 'identityTaken' }
    const organisation = caller.organisation === undefined ? undefined : this.findOrganisation(caller.organisation)
    const excess = organisation === undefined ? undefined : exceedsCap(job, organisation)
    if (excess !== undefined) return await this.refuseUnlessStored(identity, access, () => this.refuse(identity, `the job can never run: ${excess}`))
    const startedAt = this.now()
    if (this.appender.isStalled) return this.refuse(identity, 'the log is away')
    if (organisation !== undefined) {
      const refusal = await this.findRefusal(identity, organisation.name, queue, job, timeLimitMilliseconds, access)
      if (refusal !== undefined) return refusal
    }
    const owner = caller.organisation === undefined ? {} : { organisation: caller.organisation }
    const value = encodeRecord({ queue: queue.name, pool: queue.pool, policy: recordedPolicy(queue), ...owner, job, acceptedAt: Date.now() })
    const timeLeft = timeLimitMilliseconds - (this.now() - startedAt)
    const outcome = await this.appender.append({ key: identity, value }, Math.max(0, timeLeft - RESPONSE_MARGIN_MILLISECONDS), () => isStillGranted(access, caller))
    if (outcome === 'refused') return findDenial(access, 'write') ?? this.refuse(identity, 'the log did not take the job')
    if (outcome === 'unknown') {
      this.logger.warn('job of unknown acceptance', { job: identity })
      return { kind: 'unknown' }
    }
    this.accepted.set(identity, owner)
    this.logger.info('job accepted', { job: identity, queue: queue.name, durationMilliseconds: Math.round(this.now() - startedAt) })
    return { kind: 'accepted' }
  }

  /** Refuses a job of an organisation that has too many submissions in process at this instance, without reading it. */
  async refuseExcess (identity: string, organisation: string, access: CallAccess): Promise<SubmitResult> {
    const { minimum, maximum } = EXCESS_RETURN_SECONDS
    const retryAfterSeconds = minimum + this.random.integerBelow(maximum - minimum + 1)
    if (this.accepted.get(identity) === undefined && this.openExcessConfirmations >= MAXIMUM_EXCESS_CONFIRMATIONS) return { kind: 'unknown', retryAfterSeconds }
    this.openExcessConfirmations += 1
    try {
      const result = await this.refuseUnlessStored(identity, access, () => {
        const reason = `${organisation} has too many submissions in process at this instance`
        this.admission?.refusals.report(identity, organisation, 'tooMany', reason, 1000 * retryAfterSeconds)
        return { kind: 'refused', reason, retryAfterSeconds }
      })
      return result.kind === 'unknown' ? { ...result, retryAfterSeconds } : result
    } finally {
      this.openExcessConfirmations -= 1
    }
  }

  /** Cancels a job; resolves once the cancellation is stored. */
  async cancel (identity: string, timeLimitMilliseconds: number, access: CallAccess = UNRESTRICTED_ACCESS): Promise<CancelResult> {
    const startedAt = this.now()
    const decision = access.check('write')
    if (decision.kind === 'refused') return deny(decision.reason)
    if (!this.isAcceptedFor(identity, decision.caller)) {
      const state = await this.getState(identity, timeLimitMilliseconds, access)
      if (state === 'unknownJob' || state === 'unavailable' || typeof state === 'object') return state
    }
    const left = timeLimitMilliseconds - (this.now() - startedAt) - RESPONSE_MARGIN_MILLISECONDS
    if (this.appender.isStalled || left <= 0) return 'unavailable'
    const outcome = await this.appender.append({ key: cancelKey(identity), value: CANCEL_VALUE }, left, () => isStillGranted(access, decision.caller))
    if (outcome === 'refused') return findDenial(access, 'write') ?? 'unavailable'
    return outcome === 'stored' ? 'cancelled' : 'unavailable'
  }

  /** Returns the state of a job. The job of another organisation is unknown to the caller. */
  async getState (identity: string, timeLimitMilliseconds: number, access: CallAccess = UNRESTRICTED_ACCESS): Promise<StateResult> {
    const before = access.check('read')
    if (before.kind === 'refused') return deny(before.reason)
    const final = this.finalStates.get(identity)
    if (final !== undefined) return mayAccess(before.caller, final.organisation) ? final.state : 'unknownJob'
    const status = await this.queryWithRetries(timeLimitMilliseconds, async timeout => {
      const reply = await this.scheduler.getJobStatus(identity, timeout)
      return reply?.state === 'unsure' || (reply?.state === 'unknown' && this.isAcceptedFor(identity, before.caller)) ? undefined : reply
    })
    // The key may have been withdrawn during the query.
    const after = access.check('read')
    if (after.kind === 'refused') return deny(after.reason)
    if (status === undefined) return this.isAcceptedFor(identity, after.caller) ? 'pending' : 'unavailable'
    if (status.state === 'unknown') return 'unknownJob'
    const state = status.state as JobState
    if (isFinalState(state)) this.finalStates.set(identity, { state, organisation: status.organisation })
    return mayAccess(after.caller, status.organisation) ? state : 'unknownJob'
  }

  /** Returns how many jobs of a queue have no started task; undefined if the active scheduler does not respond in time. */
  async countWaitingJobs (queue: string, timeLimitMilliseconds: number): Promise<number | undefined> {
    const startedAt = this.now()
    const count = await this.queryWithRetries(timeLimitMilliseconds, async timeout => await this.scheduler.countWaitingJobs(queue, timeout))
    this.logger.info('waiting jobs asked for', { queue, count, durationMilliseconds: Math.round(this.now() - startedAt) })
    return count
  }

  /** Returns whether this instance has accepted a job that the caller may access. */
  private isAcceptedFor (identity: string, caller: CallerIdentity): boolean {
    const owner = this.accepted.get(identity)
    return owner !== undefined && mayAccess(caller, owner.organisation)
  }

  /** Returns the refusal of a job that its organisation cannot have served; undefined if the job is admitted. */
  private async findRefusal (identity: string, organisation: string, queue: Queue, job: StepJob, timeLimitMilliseconds: number, access: CallAccess): Promise<SubmitResult | undefined> {
    const outcome = await this.admission?.admission.decide(identity, organisation, queue, job, timeLimitMilliseconds)
    if (outcome === undefined || outcome.kind === 'admitted') return undefined
    if (outcome.kind === 'stored') return this.confirmStored(identity, outcome, access)
    const reason = describeRefusal(organisation, outcome.cause)
    this.admission?.refusals.report(identity, organisation, outcome.cause, reason, outcome.returnMilliseconds)
    return { kind: 'refused', reason, retryAfterSeconds: Math.ceil(outcome.returnMilliseconds / 1000) }
  }

  /** Refuses a job unless it is stored, by another instance or before its cap was lowered. If that cannot be known, the result is `unknown`. */
  private async refuseUnlessStored (identity: string, access: CallAccess, refuse: () => SubmitResult): Promise<SubmitResult> {
    const known = this.accepted.get(identity)
    if (known !== undefined) return this.confirmStored(identity, known, access)
    const status = await this.scheduler.getCurrentJobStatus(identity, CONFIRMATION_TIMEOUT_MILLISECONDS)
    if (status === undefined || status.state === 'unsure') return { kind: 'unknown' }
    return status.state === 'unknown' ? refuse() : this.confirmStored(identity, status, access)
  }

  /** Accepts the retry of a stored job. The key of the caller may have been withdrawn during a wait. */
  private confirmStored (identity: string, { organisation }: JobOwner, access: CallAccess): SubmitResult {
    const decision = access.check('write')
    if (decision.kind === 'refused') return deny(decision.reason)
    if (!mayAccess(decision.caller, organisation)) return { kind: 'identityTaken' }
    this.accepted.set(identity, organisation === undefined ? {} : { organisation })
    return { kind: 'accepted' }
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

function describeRefusal (organisation: string, cause: RefusalCause): string {
  return cause === 'unservable'
    ? `the accepted work of ${organisation} takes longer, even at its whole cap, than the job is worth waiting for`
    : `${organisation} submits more than its rate, and its accepted work leaves no room for the job in time`
}

function deny (reason: RefusalReason): AccessDenial {
  return { kind: 'denied', reason }
}

function findDenial (access: CallAccess, mode: AccessMode): AccessDenial | undefined {
  const decision = access.check(mode)
  return decision.kind === 'refused' ? deny(decision.reason) : undefined
}

/** Returns whether a caller may still write, on behalf of the same organisation. */
function isStillGranted (access: CallAccess, caller: CallerIdentity): boolean {
  const decision = access.check('write')
  return decision.kind === 'granted' && decision.caller.organisation === caller.organisation
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
