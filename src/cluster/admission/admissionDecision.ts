import type { QueuePolicy } from '../../contracts/clusterConfiguration.js'
import type { JobDemand, OrganisationBacklog, QueuedWork } from '../../contracts/clusterMessages.js'
import type { StepJob } from '../../contracts/stepJob.js'
import { estimateCriticalPath, estimateObjective, LATE_FACTOR } from '../objective.js'
import { burstMillisecondsOf } from '../organisations/submissionRates.js'

/**
 * `unservable`: the job cannot start in time, even at the whole cap of its organisation, and would be late without being served.
 * `beyondRate`: its organisation has spent its rate of submissions, and the job would not finish within its objective.
 */
export type RefusalCause = 'unservable' | 'beyondRate'

export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  /** `excessMilliseconds`: time in which the backlog shrinks, at the rate of service, to what the job can wait for. */
  | { readonly kind: 'refused', readonly cause: RefusalCause, readonly excessMilliseconds: number }

/** Work that goes before a job in addition to the queued work of its organisation. */
export interface AdditionalWork {
  readonly queued: readonly QueuedWork[]
  /** Number of jobs within the rate that the backlog does not contain yet. */
  readonly jobs: number
}

const ADMITTED: AdmissionDecision = { kind: 'admitted' }
const NO_ADDITIONAL_WORK: AdditionalWork = { queued: [], jobs: 0 }

/** Returns what a job asks of its organisation; undefined for long-running and recurring jobs, which are not refused for a backlog. */
export function estimateDemand (job: StepJob, queue: Pick<QueuePolicy, 'priority' | 'eligibility' | 'stretch' | 'targetMilliseconds'>): JobDemand | undefined {
  if (job.occurrences > 0 || job.steps.some(step => step.longRunning)) return undefined
  const work = job.steps.reduce((sum, step) => sum + step.count * step.estimateMilliseconds * step.processorsThousandths, 0)
  return { priority: queue.priority, work, criticalPathMilliseconds: estimateCriticalPath(job, queue), objectiveMilliseconds: estimateObjective(job, queue) }
}

/**
 * Decides on a job of an organisation that waits for room. A job that can start in time is admitted within the rate. One that cannot goes
 * after the late work and after all later work in time, so it is admitted only if the late work has been served before it was worth nothing.
 */
export function decideAdmission (demand: JobDemand, backlog: OrganisationBacklog, additional = NO_ADDITIONAL_WORK): AdmissionDecision {
  const rows = [...backlog.queued, ...additional.queued]
  const ahead = rows.filter(({ priority }) => priority <= demand.priority)
  const latestStartInTime = Math.max(0, demand.objectiveMilliseconds - demand.criticalPathMilliseconds)
  const inTime = sum(ahead, row => row.inTime)
  if (durationOf(inTime, backlog.limitThousandths) > latestStartInTime) {
    const latestStart = Math.max(0, LATE_FACTOR * demand.objectiveMilliseconds - demand.criticalPathMilliseconds)
    const isLateWorkServed = !rows.some(row => row.priority === demand.priority && row.overdue > 0) && durationOf(inTime + sum(ahead, row => row.late), backlog.limitThousandths) <= latestStart
    if (!isLateWorkServed) return { kind: 'refused', cause: 'unservable', excessMilliseconds: durationOf(inTime, backlog.servedThousandths) - latestStartInTime }
  }
  if (!isBeyondRate(backlog, additional.jobs)) return ADMITTED
  // Work beyond the rate goes after all work within it, also after that of less urgent queues.
  const wait = durationOf(sum(rows, row => row.inTime + row.late) + sum(ahead, row => row.beyondRate), backlog.servedThousandths)
  return wait > latestStartInTime ? { kind: 'refused', cause: 'beyondRate', excessMilliseconds: wait - latestStartInTime } : ADMITTED
}

/** Returns the work for which a newcomer leaves room: that of the callers that are due back, also if they come after it. */
export function reservedWork ({ returning }: Pick<OrganisationBacklog, 'returning'>, demand: JobDemand): QueuedWork[] {
  return returning.length === 0 ? [] : [...returning, toQueuedWork(demand, false)]
}

/** Returns the queued work of a job that is admitted now. */
export function toQueuedWork ({ priority, work }: Pick<JobDemand, 'priority' | 'work'>, isBeyondRate: boolean): QueuedWork {
  return { priority, inTime: isBeyondRate ? 0 : work, late: 0, overdue: 0, beyondRate: isBeyondRate ? work : 0 }
}

/** Returns whether a further job exceeds the rate of its organisation. `jobs`: number of jobs that the backlog does not contain yet. */
export function isBeyondRate ({ rate, spentMilliseconds }: Pick<OrganisationBacklog, 'rate' | 'spentMilliseconds'>, jobs = 0): boolean {
  return rate > 0 && spentMilliseconds + (jobs + 1) * 1000 / rate > burstMillisecondsOf(rate)
}

/** Returns the time that work takes, in milliseconds. `work`: in thousandths of a core times milliseconds. */
export function durationOf (work: number, thousandths: number): number {
  return work <= 0 ? 0 : work / Math.max(1, thousandths)
}

function sum (rows: readonly QueuedWork[], workOf: (row: QueuedWork) => number): number {
  return rows.reduce((total, row) => total + workOf(row), 0)
}
