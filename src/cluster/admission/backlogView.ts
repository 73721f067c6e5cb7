import type { BacklogSummary, JobDemand, OrganisationBacklog, QueuedWork } from '../../contracts/clusterMessages.js'
import { decideAdmission, isBeyondRate, reservedWork, toQueuedWork, type AdmissionDecision } from './admissionDecision.js'

/** Age beyond which a summary is not used, in milliseconds; three times the period at which summaries are sent. */
const MAXIMUM_AGE_MILLISECONDS = 1500
/** Time before the arrival of a summary within which accepted jobs are not contained in it, in milliseconds. */
const READ_LAG_MILLISECONDS = 100
/** Maximum number of accepted jobs that are added to a summary. */
const MAXIMUM_ACCEPTED_JOBS = 1000

interface AcceptedJob {
  readonly organisation: string
  readonly work: QueuedWork
  readonly isBeyondRate: boolean
  readonly at: number
}

/** The backlog of the organisations as an instance knows it: the last summary of the active scheduler, and what the instance has accepted since. */
export class BacklogView {
  private term = -1
  private receivedAt = -Infinity
  private backlogs: ReadonlyMap<string, OrganisationBacklog> = new Map()
  private accepted: AcceptedJob[] = []

  /** Applies a summary, unless it comes from an earlier term. */
  onSummary ({ term, organisations }: Pick<BacklogSummary, 'term' | 'organisations'>, now: number): void {
    if (term < this.term) return
    this.term = term
    this.receivedAt = now
    this.backlogs = new Map(organisations.map(backlog => [backlog.organisation, backlog]))
    this.accepted = this.accepted.filter(({ at }) => at > now - READ_LAG_MILLISECONDS)
  }

  /** Notes a job that this instance has accepted. */
  onAccepted (organisation: string, demand: JobDemand, now: number): void {
    const backlog = this.findBacklog(organisation, now)
    if (backlog === undefined || this.accepted.length >= MAXIMUM_ACCEPTED_JOBS) return
    const isBeyond = isBeyondRate(backlog, this.acceptedOf(organisation).filter(job => !job.isBeyondRate).length)
    this.accepted.push({ organisation, isBeyondRate: isBeyond, at: now, work: toQueuedWork(demand, isBeyond) })
  }

  /** Decides on a job, which is taken for that of a newcomer; admits it if the backlog of its organisation is not known. */
  decide (organisation: string, demand: JobDemand, now: number): AdmissionDecision {
    const backlog = this.findBacklog(organisation, now)
    if (backlog === undefined) return { kind: 'admitted' }
    const accepted = this.acceptedOf(organisation)
    return decideAdmission(demand, backlog, { queued: [...accepted.map(({ work }) => work), ...reservedWork(backlog, demand)], jobs: accepted.filter(job => !job.isBeyondRate).length })
  }

  /** Returns the backlog of an organisation that waits for room; undefined if it has room, or if the summary is too old. */
  private findBacklog (organisation: string, now: number): OrganisationBacklog | undefined {
    const age = now - this.receivedAt
    const backlog = age > MAXIMUM_AGE_MILLISECONDS ? undefined : this.backlogs.get(organisation)
    return backlog === undefined ? undefined : { ...backlog, spentMilliseconds: Math.max(0, backlog.spentMilliseconds - age) }
  }

  private acceptedOf (organisation: string): AcceptedJob[] {
    return this.accepted.filter(job => job.organisation === organisation)
  }
}
