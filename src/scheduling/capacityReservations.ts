import { fitsWithin, NO_RESOURCES, addResources, subtractResources, type Resources } from '../contracts/resources.js'
import type { JobEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Capacity on a worker that is reserved for a waiting job. */
export interface CapacityReservation {
  readonly entry: WorkerEntry
  readonly job: JobEntry
  readonly resources: Resources
  readonly expiresAt: number
  /** Whether deferrable tasks that can be checkpointed may use the capacity until the reservation is closed to them. */
  openToBackfill: boolean
}

/** Capacity that is reserved for waiting jobs while it becomes free. Other jobs get only the capacity beyond it. */
export class CapacityReservations {
  private readonly byWorker = new Map<WorkerEntry, CapacityReservation[]>()
  private readonly byJob = new Map<JobEntry, CapacityReservation[]>()

  /** @param onReleased Called when a worker has more capacity for other jobs again. */
  constructor (private readonly onReleased: (entry: WorkerEntry) => void) {}

  get size (): number {
    return this.byJob.size
  }

  forJob (job: JobEntry): readonly CapacityReservation[] {
    return this.byJob.get(job) ?? []
  }

  onWorker (entry: WorkerEntry): readonly CapacityReservation[] {
    return this.byWorker.get(entry) ?? []
  }

  add (reservation: CapacityReservation): void {
    append(this.byWorker, reservation.entry, reservation)
    append(this.byJob, reservation.job, reservation)
  }

  /** Returns whether the worker has capacity for one task of the job beyond what is reserved for others. */
  allows (entry: WorkerEntry, job: JobEntry): boolean {
    const reservations = this.byWorker.get(entry)
    if (reservations === undefined) return true
    const reserved = reservations.reduce((sum, reservation) => reservation.job === job || (reservation.openToBackfill && isBackfillJob(job)) ? sum : addResources(sum, reservation.resources), NO_RESOURCES)
    return fitsWithin(job.job.resources, subtractResources(entry.worker.free, reserved))
  }

  /** Releases all reservations of a job. */
  releaseAll (job: JobEntry): void {
    for (const reservation of this.forJob(job)) {
      const rest = this.onWorker(reservation.entry).filter(other => other !== reservation)
      if (rest.length === 0) this.byWorker.delete(reservation.entry)
      else this.byWorker.set(reservation.entry, rest)
      this.onReleased(reservation.entry)
    }
    this.byJob.delete(job)
  }

  /** Releases one reservation of a job on a worker, after a task of the job has been placed there. */
  consume (job: JobEntry, entry: WorkerEntry): void {
    const used = this.forJob(job).find(reservation => reservation.entry === entry)
    if (used !== undefined) this.releaseWhere(job, reservation => reservation === used)
  }

  /** Releases reservations that were not used in time or whose worker is not schedulable, and those of jobs that no longer wait. */
  expire (now: number): void {
    for (const job of this.byJob.keys()) {
      if (!job.isWaiting) this.releaseAll(job)
      else this.releaseWhere(job, reservation => reservation.expiresAt <= now || !reservation.entry.schedulable)
    }
  }

  private releaseWhere (job: JobEntry, matches: (reservation: CapacityReservation) => boolean): void {
    const remaining = this.forJob(job).filter(reservation => !matches(reservation))
    if (remaining.length === this.forJob(job).length) return
    this.releaseAll(job)
    for (const reservation of remaining) this.add(reservation)
  }
}

/** Returns whether tasks of a job may use capacity that is reserved for a gang: they can release it without lost work, whatever their run time. */
export function isBackfillJob (job: JobEntry): boolean {
  return job.job.urgency === 'deferrable' && job.job.checkpointable && job.job.kind === 'batch'
}

function append<Key> (map: Map<Key, CapacityReservation[]>, key: Key, reservation: CapacityReservation): void {
  const reservations = map.get(key)
  if (reservations === undefined) map.set(key, [reservation])
  else reservations.push(reservation)
}
