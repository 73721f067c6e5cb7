import type { QueuePolicy } from '../contracts/clusterConfiguration.js'
import type { StepJob } from '../contracts/stepJob.js'

/** Assumed number of workers in an eligibility request when the critical path is estimated. */
const WORKERS_PER_ELIGIBILITY_REQUEST = 30

/** A late job still earns a part of its benefit up to this multiple of its objective. */
export const LATE_FACTOR = 3

/** Estimates the critical path of a job's steps in milliseconds, with one eligibility request per step. */
export function estimateCriticalPath (job: StepJob, queue: Pick<QueuePolicy, 'eligibility'>): number {
  const eligibilityMilliseconds = queue.eligibility === undefined ? 0 : queue.eligibility.decisionMilliseconds + WORKERS_PER_ELIGIBILITY_REQUEST * queue.eligibility.perWorkerMilliseconds
  const ends: number[] = []
  for (const step of job.steps) {
    const start = step.after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), 0)
    ends.push(start + eligibilityMilliseconds + step.estimateMilliseconds)
  }
  return Math.max(...ends)
}

/** Estimates the time from acceptance within which a job earns its full benefit, in milliseconds. */
export function estimateObjective (job: StepJob, queue: Pick<QueuePolicy, 'eligibility' | 'stretch' | 'targetMilliseconds'>): number {
  return queue.stretch * estimateCriticalPath(job, queue) + queue.targetMilliseconds
}
