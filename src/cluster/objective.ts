import type { QueuePolicy } from '../contracts/clusterConfiguration.js'
import type { StepJob } from '../contracts/stepJob.js'

/** Workers that one question about eligibility is taken to name when the chain of work is estimated. */
const WORKERS_PER_QUESTION = 30

/** A job that is late still earns a part of its benefit up to this many times its objective. */
export const LATE_FACTOR = 3

/** Longest chain of estimated work of a job's steps, in milliseconds, with one question about eligibility for each step. */
export function estimateChain (job: StepJob, queue: Pick<QueuePolicy, 'eligibility'>): number {
  const question = queue.eligibility === undefined ? 0 : queue.eligibility.decisionMilliseconds + WORKERS_PER_QUESTION * queue.eligibility.perWorkerMilliseconds
  const ends: number[] = []
  for (const step of job.steps) {
    const start = step.after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), 0)
    ends.push(start + question + step.estimateMilliseconds)
  }
  return Math.max(...ends)
}

/** Time from acceptance within which a job earns its full benefit, in milliseconds. */
export function estimateObjective (job: StepJob, queue: Pick<QueuePolicy, 'eligibility' | 'stretch' | 'targetMilliseconds'>): number {
  return queue.stretch * estimateChain(job, queue) + queue.targetMilliseconds
}
