import { addResources, fitsWithin, NO_RESOURCES, subtractResources, type Resources } from '../contracts/resources.js'
import type { CapacityReservations } from './capacityReservations.js'
import type { JobEntry, TaskEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Maximum number of workers that one search examines. */
const WORKERS_PER_SEARCH = 500
/** Time after a preemption within which a task is preempted again only if there is no alternative, in milliseconds. */
const PROTECTED_AFTER_PREEMPTION_MILLISECONDS = 300_000
/** Run time that a task that can be checkpointed loses, in milliseconds. */
const LOST_AT_CHECKPOINT_MILLISECONDS = 1000
/** Added to the cost of a task that was preempted recently; greater than any run time. */
const PROTECTION_COST_MILLISECONDS = 1e10

/** Deferrable tasks to stop on a worker so that one task of a job fits there. */
export interface PreemptionPlan {
  readonly entry: WorkerEntry
  readonly victims: readonly TaskEntry[]
}

/** Finds deferrable tasks to preempt for urgent ones, with the least lost work. Each search examines a bounded number of workers and continues after those of the previous one. */
export class PreemptionPlanner {
  private nextWorkerIndex = 0

  constructor (private readonly reservations: CapacityReservations, private readonly findTask: (task: string) => TaskEntry | undefined) {}

  /** @param preempted Tasks that are already to be preempted; the resources that they hold count as free. */
  plan (job: JobEntry, workers: readonly WorkerEntry[], preempted: ReadonlySet<string>, now: number): PreemptionPlan | undefined {
    let best: PreemptionPlan | undefined
    let bestCost = Infinity
    const count = Math.min(workers.length, WORKERS_PER_SEARCH)
    for (let index = 0; index < count; index += 1) {
      const entry = workers[(this.nextWorkerIndex + index) % workers.length] as WorkerEntry
      if (!entry.acceptsStarts(now) || !fitsWithin(job.job.resources, entry.worker.description.capacity)) continue
      const found = this.findVictims(entry, job, preempted, now)
      if (found === undefined || found.cost >= bestCost) continue
      best = { entry, victims: found.victims }
      bestCost = found.cost
    }
    this.nextWorkerIndex = workers.length === 0 ? 0 : (this.nextWorkerIndex + count) % workers.length
    return best
  }

  private findVictims (entry: WorkerEntry, job: JobEntry, preempted: ReadonlySet<string>, now: number): { victims: TaskEntry[], cost: number } | undefined {
    const reserved = this.reservations.onWorker(entry).reduce((sum, reservation) => addResources(sum, reservation.resources), NO_RESOURCES)
    let free = subtractResources(entry.worker.free, reserved)
    const candidates: Array<{ task: TaskEntry, cost: number, resources: Resources }> = []
    for (const hold of entry.worker.holds) {
      const task = this.findTask(hold.task)
      const beingFreed = hold.state === 'stopping' || preempted.has(hold.task)
      if (beingFreed) free = addResources(free, hold.resources)
      if (beingFreed || hold.state !== 'running' || task === undefined || task.phase !== 'running' || !isPreemptible(task.job)) continue
      candidates.push({ task, cost: lostWorkMilliseconds(task, now), resources: hold.resources })
    }
    candidates.sort((left, right) => left.cost - right.cost)
    const victims: TaskEntry[] = []
    let cost = 0
    for (const candidate of candidates) {
      if (fitsWithin(job.job.resources, free)) break
      free = addResources(free, candidate.resources)
      victims.push(candidate.task)
      cost += candidate.cost
    }
    return fitsWithin(job.job.resources, free) ? { victims, cost } : undefined
  }
}

/** Returns whether tasks of a job may be stopped in favour of urgent work. */
export function isPreemptible (job: JobEntry): boolean {
  return job.job.urgency === 'deferrable'
}

/** Returns the run time that preempting a task would lose, in milliseconds; greater for a task that was preempted recently. */
function lostWorkMilliseconds (task: TaskEntry, now: number): number {
  const lost = task.job.job.checkpointable ? LOST_AT_CHECKPOINT_MILLISECONDS : now - task.startedAt
  const recentlyPreempted = now - task.preemptedAt < PROTECTED_AFTER_PREEMPTION_MILLISECONDS
  return lost + (recentlyPreempted ? PROTECTION_COST_MILLISECONDS : 0)
}
