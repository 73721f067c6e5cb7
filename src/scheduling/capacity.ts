import { fitsWithin, type Resources } from '../contracts/resources.js'
import type { Job } from '../contracts/jobs.js'

/** More tasks than any job has, for demands of nothing. */
const MAXIMUM_TASK_COUNT = 1_000_000

/** Whether a job of this size could run on the given empty workers. */
export function couldEverFit (job: Pick<Job, 'kind' | 'tasks' | 'resources'>, capacities: readonly Resources[]): boolean {
  const perWorker = capacities.map(capacity => tasksThatFit(job.resources, capacity))
  const total = perWorker.reduce((sum, count) => sum + count, 0)
  return job.kind === 'gang' ? total >= job.tasks : total > 0
}

/** Number of tasks of one size that fit into what is available. */
export function tasksThatFit (demand: Resources, available: Resources): number {
  if (!fitsWithin(demand, available)) return 0
  const counts = [
    demand.processorsThousandths === 0 ? Infinity : Math.floor(available.processorsThousandths / demand.processorsThousandths),
    demand.memoryBytes === 0 ? Infinity : Math.floor(available.memoryBytes / demand.memoryBytes),
    demand.accelerators === 0 ? Infinity : Math.floor(available.accelerators / demand.accelerators)
  ]
  return Math.min(...counts, MAXIMUM_TASK_COUNT)
}
