import { fitsWithin, NO_RESOURCES, addResources, subtractResources, type Resources } from '../contracts/resources.js'
import type { JobEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Room on a worker that is kept for a waiting job. */
export interface CapacityReservation {
  readonly entry: WorkerEntry
  readonly job: JobEntry
  readonly resources: Resources
  readonly expiresAt: number
  /** Whether deferrable tasks that can be checkpointed may use the room until the claim is closed. */
  openToBackfill: boolean
}

/** Room that is kept for waiting jobs while it becomes free. Other jobs get only what is beyond it. */
export class CapacityReservations {
  private readonly byWorker = new Map<WorkerEntry, CapacityReservation[]>()
  private readonly byJob = new Map<JobEntry, CapacityReservation[]>()

  /** @param onReleased Called when a worker has more room for other jobs again. */
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

  /** Whether the worker has room for one task of the job beside what is kept for others. */
  allows (entry: WorkerEntry, job: JobEntry): boolean {
    const reservations = this.byWorker.get(entry)
    if (reservations === undefined) return true
    const reserved = reservations.reduce((sum, reservation) => reservation.job === job || (reservation.openToBackfill && isBackfillJob(job)) ? sum : addResources(sum, reservation.resources), NO_RESOURCES)
    return fitsWithin(job.job.resources, subtractResources(entry.worker.free, reserved))
  }

  /** Drops all claims of a job. */
  releaseAll (job: JobEntry): void {
    for (const reservation of this.forJob(job)) {
      const rest = this.onWorker(reservation.entry).filter(other => other !== reservation)
      if (rest.length === 0) this.byWorker.delete(reservation.entry)
      else this.byWorker.set(reservation.entry, rest)
      this.onReleased(reservation.entry)
    }
    this.byJob.delete(job)
  }

  /** Drops one reservation of a job on a worker, whose room it has taken. */
  consume (job: JobEntry, entry: WorkerEntry): void {
    const used = this.forJob(job).find(reservation => reservation.entry === entry)
    if (used !== undefined) this.releaseWhere(job, reservation => reservation === used)
  }

  /** Drops what has not been used in time, and claims of jobs that no longer wait. */
  expire (now: number): void {
    for (const job of this.byJob.keys()) {
      if (!job.isWaiting) this.releaseAll(job)
      else this.releaseWhere(job, reservation => reservation.expiresAt <= now || !reservation.entry.schedulable)
    }
  }

  private releaseWhere (job: JobEntry, matches: (reservation: CapacityReservation) => boolean): void {
    const kept = this.forJob(job).filter(reservation => !matches(reservation))
    if (kept.length === this.forJob(job).length) return
    this.releaseAll(job)
    for (const reservation of kept) this.add(reservation)
  }
}

/** Whether tasks of a job may use room that is kept for a gang: they can give it back without lost work, whatever their run time. */
export function isBackfillJob (job: JobEntry): boolean {
  return job.job.urgency === 'deferrable' && job.job.checkpointable && job.job.kind === 'batch'
}

function append<Key> (map: Map<Key, CapacityReservation[]>, key: Key, reservation: CapacityReservation): void {
  const reservations = map.get(key)
  if (reservations === undefined) map.set(key, [reservation])
  else reservations.push(reservation)
}
