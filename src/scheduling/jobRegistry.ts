import type { StoredRecord } from '../contracts/records.js'
import type { Job, JobOutcome } from '../contracts/jobs.js'

/** A job as the log records it. */
export interface RegisteredJob {
  readonly job: Job
  readonly failureDomain: string
  cancelRequested: boolean
  /** Indexes of tasks that have finished. */
  readonly finished: Set<number>
  outcome: JobOutcome | undefined
  reason: string | undefined
}

/** Jobs of a failure domain, built from the records of its stream. The most recently ended jobs are kept so that callers can read them. */
export class JobRegistry {
  private readonly jobs = new Map<string, RegisteredJob>()
  private readonly endedJobs: string[] = []

  constructor (private readonly maximumEndedJobs: number) {}

  /** Applies a record in log order. A repeated record of a known job has no further effect. */
  apply (record: StoredRecord): void {
    const { body } = record
    switch (body.type) {
      case 'jobAccepted':
        if (this.jobs.has(body.job.identity)) return
        this.jobs.set(body.job.identity, { job: body.job, failureDomain: body.failureDomain, cancelRequested: false, finished: new Set(), outcome: undefined, reason: undefined })
        return
      case 'jobCancelRequested': {
        const registered = this.jobs.get(body.job)
        if (registered !== undefined && registered.outcome === undefined) registered.cancelRequested = true
        return
      }
      case 'jobProgress': {
        const registered = this.jobs.get(body.job)
        for (const index of registered === undefined ? [] : expandIndexRanges(body.finished, registered.job.tasks)) registered?.finished.add(index)
        return
      }
      case 'jobEnded':
        this.end(body.job, body.outcome, body.reason)
    }
  }

  find (identity: string): RegisteredJob | undefined {
    return this.jobs.get(identity)
  }

  /** Returns the jobs that have not ended, in order of acceptance. */
  openJobs (): RegisteredJob[] {
    return [...this.jobs.values()].filter(registered => registered.outcome === undefined)
  }

  allJobs (): RegisteredJob[] {
    return [...this.jobs.values()]
  }

  private end (identity: string, outcome: JobOutcome, reason: string | undefined): void {
    const registered = this.jobs.get(identity)
    if (registered === undefined || registered.outcome !== undefined) return
    registered.outcome = outcome
    registered.reason = reason
    this.endedJobs.push(identity)
    if (this.endedJobs.length <= this.maximumEndedJobs) return
    this.jobs.delete(this.endedJobs.shift() as string)
  }
}

/** Returns the task indexes of inclusive ranges, below `tasks`. */
export function expandIndexRanges (ranges: ReadonlyArray<readonly [number, number]>, tasks: number): number[] {
  const indexes: number[] = []
  for (const [first, last] of ranges) {
    for (let index = first; index <= Math.min(last, tasks - 1); index += 1) indexes.push(index)
  }
  return indexes
}

/** Returns the inclusive ranges of task indexes. */
export function toIndexRanges (indexes: Iterable<number>): Array<[number, number]> {
  const ranges: Array<[number, number]> = []
  for (const index of [...indexes].sort((left, right) => left - right)) {
    const last = ranges.at(-1)
    if (last !== undefined && index <= last[1] + 1) last[1] = Math.max(last[1], index)
    else ranges.push([index, index])
  }
  return ranges
}
