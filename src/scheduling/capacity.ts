import { fitsWithin, type Resources } from '../contracts/resources.js'
import type { Job } from '../contracts/jobs.js'

/** Number of tasks of zero demand that fit; more than any job has. */
const MAXIMUM_TASK_COUNT = 1_000_000

/** Returns whether a job of this size could run on workers of these capacities if they were empty. */
export function couldEverFit (job: Pick<Job, 'kind' | 'tasks' | 'resources'>, capacities: readonly Resources[]): boolean {
  const perWorker = capacities.map(capacity => tasksThatFit(job.resources, capacity))
  const total = perWorker.reduce((sum, count) => sum + count, 0)
  return job.kind === 'gang' ? total >= job.tasks : total > 0
}

/** Returns the number of tasks of one size that fit into the available resources. */
export function tasksThatFit (demand: Resources, available: Resources): number {
  if (!fitsWithin(demand, available)) return 0
  const counts = [
    demand.processorsThousandths === 0 ? Infinity : Math.floor(available.processorsThousandths / demand.processorsThousandths),
    demand.memoryBytes === 0 ? Infinity : Math.floor(available.memoryBytes / demand.memoryBytes),
    demand.accelerators === 0 ? Infinity : Math.floor(available.accelerators / demand.accelerators)
  ]
  return Math.min(...counts, MAXIMUM_TASK_COUNT)
}
