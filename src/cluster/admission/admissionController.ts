import type { AdmissionReply, JobDemand, OrganisationBacklog, QueuedWork } from '../../contracts/clusterMessages.js'
import { decideAdmission, isBeyondRate, reservedWork, toQueuedWork, type AdmissionDecision } from './admissionDecision.js'
import { BacklogMeter, totalWorkOf, type BacklogSource } from './backlogMeter.js'
import { ReturnSchedule } from './returnSchedule.js'
import type { AdmissionQuestion } from './submissionAdmission.js'

/** Number of organisations that metrics name. */
const MAXIMUM_REPORTED_ORGANISATIONS = 10
/** Period at which the backlog is measured, in milliseconds. */
export const MEASURE_PERIOD_MILLISECONDS = 250
/** Number of periods after which a summary is published. */
const PERIODS_PER_SUMMARY = 2
/** Age beyond which the backlog is measured again for an answer, in milliseconds. */
const MAXIMUM_BACKLOG_AGE_MILLISECONDS = 50
/** Time in which an admitted job is stored and read, in milliseconds; later it counts only once it has been read. */
const STORING_MILLISECONDS = 1000
/** Maximum number of admitted jobs that are counted before they are read. */
const MAXIMUM_UNREAD_JOBS = 2000

/** A job that was admitted after a question and has not been read from the log yet. */
interface UnreadJob {
  readonly organisation: string
  readonly work: QueuedWork
  readonly isBeyondRate: boolean
  readonly admittedAt: number
}

/**
 * Decides, at the active scheduler, on the jobs that other instances would refuse. Performs no I/O; times are milliseconds of the monotonic clock.
 */
export class AdmissionController {
  private readonly meter: BacklogMeter
  private readonly returns = new ReturnSchedule()
  private backlogs: ReadonlyMap<string, OrganisationBacklog> = new Map()
  private readonly unreadJobs = new Map<string, UnreadJob>()
  private measuredAt = -Infinity
  private periods = 0
  private isClearPublished = true

  /** `publish` sends a summary to the other instances. */
  constructor (private readonly source: BacklogSource, private readonly publish: (backlogs: OrganisationBacklog[]) => void) {
    this.meter = new BacklogMeter(source)
  }

  /** Queued work of the organisations that wait for room, in core-seconds; only the largest are named. */
  get queuedCoreSeconds (): Array<readonly [organisation: string, coreSeconds: number]> {
    return [...this.backlogs.values()].slice(0, MAXIMUM_REPORTED_ORGANISATIONS).map(backlog => [backlog.organisation, totalWorkOf(backlog) / 1_000_000] as const)
  }

  /** Measures the backlog, and publishes it while an organisation waits for room and once after that; must be called every `MEASURE_PERIOD_MILLISECONDS`. */
  onTick (now: number): void {
    this.meter.sampleUse()
    this.measure(now)
    for (const [job, { admittedAt }] of this.unreadJobs) {
      if (this.source.jobs.has(job) || now - admittedAt > STORING_MILLISECONDS) this.unreadJobs.delete(job)
    }
    this.periods += 1
    if (this.periods % PERIODS_PER_SUMMARY !== 0 || (this.backlogs.size === 0 && this.isClearPublished)) return
    this.isClearPublished = this.backlogs.size === 0
    // An instance uses a summary until the next one arrives.
    const until = now + PERIODS_PER_SUMMARY * MEASURE_PERIOD_MILLISECONDS
    this.publish([...this.backlogs.values()].map(backlog => ({ ...backlog, returning: this.returns.dueWork(backlog.organisation, now, until) })))
  }

  /** Answers a question. `status`: state of the job, `unknown` if it is certainly not stored. Assigns the time of return to a refused job. */
  answer ({ job, organisation, demand }: AdmissionQuestion, status: Pick<AdmissionReply, 'state' | 'organisation'>, now: number): AdmissionReply {
    if (status.state !== 'unknown') {
      if (status.state !== 'unsure') this.returns.forget(job, organisation)
      return { ...status, refusal: 'none', returnMilliseconds: 0 }
    }
    if (now - this.measuredAt > MAXIMUM_BACKLOG_AGE_MILLISECONDS) this.measure(now)
    const backlog = this.backlogs.get(organisation)
    const decision = backlog === undefined ? undefined : this.decide(job, backlog, demand, now)
    if (backlog === undefined || decision?.kind !== 'refused') {
      this.onAdmitted(job, organisation, demand, now, backlog !== undefined && isBeyondRate(backlog, this.unreadJobsOf(organisation)))
      return { ...status, refusal: 'none', returnMilliseconds: 0 }
    }
    const returnMilliseconds = this.returns.assign(job, organisation, demand, decision.excessMilliseconds, backlog.servedThousandths, now)
    return { ...status, refusal: decision.cause, returnMilliseconds }
  }

  private measure (now: number): void {
    this.backlogs = new Map(this.meter.measure(now).map(backlog => [backlog.organisation, backlog]))
    this.measuredAt = now
  }

  private decide (job: string, backlog: OrganisationBacklog, demand: JobDemand, now: number): AdmissionDecision {
    const { organisation } = backlog
    const unread = [...this.unreadJobs.values()].filter(other => other.organisation === organisation).map(({ work }) => work)
    const isReturning = this.returns.isReturning(job, organisation)
    const reserved = isReturning ? [] : reservedWork({ returning: this.returns.dueWork(organisation, now, now) }, demand)
    const queued = this.meter.workBefore(organisation, now + demand.objectiveMilliseconds, now)
    return decideAdmission(demand, { ...backlog, queued }, { queued: [...unread, ...reserved], jobs: this.unreadJobsOf(organisation) })
  }

  private onAdmitted (job: string, organisation: string, demand: JobDemand, now: number, isBeyond: boolean): void {
    this.returns.forget(job, organisation)
    if (this.unreadJobs.size >= MAXIMUM_UNREAD_JOBS) return
    this.unreadJobs.set(job, { organisation, admittedAt: now, isBeyondRate: isBeyond, work: toQueuedWork(demand, isBeyond) })
  }

  /** Returns the number of admitted jobs of an organisation that use its rate and have not been read. */
  private unreadJobsOf (organisation: string): number {
    let count = 0
    for (const unread of this.unreadJobs.values()) {
      if (unread.organisation === organisation && !unread.isBeyondRate) count += 1
    }
    return count
  }
}
