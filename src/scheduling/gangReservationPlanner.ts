import { fitsWithin, multiplyResources, NO_RESOURCES, addResources, subtractResources, type Resources } from '../contracts/resources.js'
import { tasksThatFit } from './capacity.js'
import { isBackfillJob, type CapacityReservations } from './capacityReservations.js'
import type { JobEntry, TaskEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Waiting time after which a gang gets a reservation, in milliseconds. */
const RESERVE_AFTER_MILLISECONDS = 10_000
/** Lifetime of a reservation; after it, other workers may have become the better choice. In milliseconds. */
const RESERVATION_MILLISECONDS = 300_000

/**
 * Reserves capacity for the first of the waiting gangs. Only one gang has a reservation at a time, so that two gangs never each
 * hold half of what they need. Run times are not assumed to be known: meanwhile, tasks that can be checkpointed use the capacity.
 */
export class GangReservationPlanner {
  private readonly waiting = new Set<JobEntry>()
  private reserved: JobEntry | undefined

  constructor (private readonly reservations: CapacityReservations, private readonly findTask: (task: string) => TaskEntry | undefined) {}

  /** Records that a gang did not fit. */
  add (job: JobEntry): void {
    this.waiting.add(job)
  }

  /** Gang with the reservation, or undefined. */
  get current (): JobEntry | undefined {
    return this.reserved
  }

  /** Releases a reservation that has been used or has expired, and makes the next one. */
  update (workers: Iterable<WorkerEntry>, now: number): void {
    if (this.reserved !== undefined && (!this.reserved.isWaiting || this.reservations.forJob(this.reserved).length === 0)) {
      this.reservations.releaseAll(this.reserved)
      this.reserved = undefined
    }
    const first = this.firstWaiting(now)
    if (first === undefined || first === this.reserved || (this.reserved !== undefined && this.reserved.rank <= first.rank)) return
    if (this.reserved !== undefined) this.reservations.releaseAll(this.reserved)
    this.reserved = this.reserve(first, workers, now) ? first : undefined
  }

  /** Once all reserved capacity would be free without backfill tasks, closes the reservations to backfill and returns the tasks to preempt. */
  takeBackfill (): TaskEntry[] {
    const reservations = this.reserved === undefined ? [] : this.reservations.forJob(this.reserved)
    const tasks: TaskEntry[] = []
    for (const { entry, resources } of reservations) {
      let { free } = entry.worker
      for (const hold of entry.worker.holds) {
        if (fitsWithin(resources, free)) break
        const task = this.findTask(hold.task)
        if (task === undefined || task.phase !== 'running' || !isBackfillJob(task.job)) continue
        free = addResources(free, hold.resources)
        tasks.push(task)
      }
      if (!fitsWithin(resources, free)) return []
    }
    for (const reservation of reservations) reservation.openToBackfill = false
    return tasks
  }

  private firstWaiting (now: number): JobEntry | undefined {
    let first: JobEntry | undefined
    for (const job of this.waiting) {
      if (!job.isWaiting) {
        this.waiting.delete(job)
        continue
      }
      if (now - job.addedAt < RESERVE_AFTER_MILLISECONDS) continue
      if (first === undefined || job.rank < first.rank || (job.rank === first.rank && job.order < first.order)) first = job
    }
    return first
  }

  /** Reserves capacity on the workers that come closest to having it free. Services never end, so what they hold does not count as capacity. */
  private reserve (job: JobEntry, workers: Iterable<WorkerEntry>, now: number): boolean {
    const demand = job.job.resources
    const choices: Array<{ entry: WorkerEntry, tasks: number, freeTasks: number }> = []
    for (const entry of workers) {
      if (!entry.schedulable) continue
      const unavailable = this.reservations.onWorker(entry).reduce((sum, reservation) => addResources(sum, reservation.resources), this.heldByServices(entry))
      const tasks = tasksThatFit(demand, subtractResources(entry.worker.description.capacity, unavailable))
      if (tasks > 0) choices.push({ entry, tasks, freeTasks: tasksThatFit(demand, entry.worker.free) })
    }
    choices.sort((left, right) => right.freeTasks / right.tasks - left.freeTasks / left.tasks || right.tasks - left.tasks)
    let missing = job.placeable.size
    const chosen: Array<{ entry: WorkerEntry, tasks: number }> = []
    for (const { entry, tasks } of choices) {
      if (missing === 0) break
      const taken = Math.min(tasks, missing)
      chosen.push({ entry, tasks: taken })
      missing -= taken
    }
    if (missing > 0) return false
    for (const { entry, tasks } of chosen) this.reservations.add({ entry, job, resources: multiplyResources(demand, tasks), expiresAt: now + RESERVATION_MILLISECONDS, openToBackfill: true })
    return true
  }

  private heldByServices (entry: WorkerEntry): Resources {
    let sum = NO_RESOURCES
    for (const hold of entry.worker.holds) {
      if (this.findTask(hold.task)?.job.job.kind === 'service') sum = addResources(sum, hold.resources)
    }
    return sum
  }
}
