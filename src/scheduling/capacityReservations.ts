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

  add (claim: CapacityReservation): void {
    append(this.byWorker, claim.entry, claim)
    append(this.byJob, claim.job, claim)
  }

  /** Whether the worker has room for one task of the job beside what is kept for others. */
  allows (entry: WorkerEntry, job: JobEntry): boolean {
    const claims = this.byWorker.get(entry)
    if (claims === undefined) return true
    const kept = claims.reduce((sum, claim) => claim.job === job || (claim.openToBackfill && isBackfillJob(job)) ? sum : addResources(sum, claim.resources), NO_RESOURCES)
    return fitsWithin(job.job.resources, subtractResources(entry.worker.free, kept))
  }

  /** Drops all claims of a job. */
  releaseAll (job: JobEntry): void {
    for (const claim of this.forJob(job)) {
      const rest = this.onWorker(claim.entry).filter(other => other !== claim)
      if (rest.length === 0) this.byWorker.delete(claim.entry)
      else this.byWorker.set(claim.entry, rest)
      this.onReleased(claim.entry)
    }
    this.byJob.delete(job)
  }

  /** Drops one claim of a job on a worker, whose room it has taken. */
  consume (job: JobEntry, entry: WorkerEntry): void {
    const used = this.forJob(job).find(claim => claim.entry === entry)
    if (used !== undefined) this.dropWhere(job, claim => claim === used)
  }

  /** Drops what has not been used in time, and claims of jobs that no longer wait. */
  expire (now: number): void {
    for (const job of this.byJob.keys()) {
      if (!job.isWaiting) this.releaseAll(job)
      else this.dropWhere(job, claim => claim.expiresAt <= now || !claim.entry.schedulable)
    }
  }

  private dropWhere (job: JobEntry, matches: (claim: CapacityReservation) => boolean): void {
    const kept = this.forJob(job).filter(claim => !matches(claim))
    if (kept.length === this.forJob(job).length) return
    this.releaseAll(job)
    for (const claim of kept) this.add(claim)
  }
}

/** Whether tasks of a job may use room that is kept for a gang: they can give it back without lost work, whatever their run time. */
export function isBackfillJob (job: JobEntry): boolean {
  return job.job.urgency === 'deferrable' && job.job.checkpointable && job.job.kind === 'batch'
}

function append<Key> (map: Map<Key, CapacityReservation[]>, key: Key, claim: CapacityReservation): void {
  const claims = map.get(key)
  if (claims === undefined) map.set(key, [claim])
  else claims.push(claim)
}
