import { fitsWithin, type Resources } from '../contracts/resources.js'
import { leftoverScore, WorkerIndex } from './workerIndex.js'
import type { WorkerEntry } from './workerEntry.js'

/** Chooses a worker for a task. */
export abstract class PlacementPolicy {
  /** Updates the free resources of a worker. A worker that is not `schedulable` is not chosen until it is again. */
  abstract onWorkerChanged (entry: WorkerEntry, schedulable: boolean): void

  /** Returns an accepted worker on which the demand fits now, or undefined if there is none. */
  abstract choose (demand: Resources, accept: (entry: WorkerEntry) => boolean): WorkerEntry | undefined
}

/** Chooses a fitting worker with little capacity left over from an index, and keeps accelerators for the tasks that need them. */
export class BestFitPolicy extends PlacementPolicy {
  private readonly index = new WorkerIndex()

  override onWorkerChanged (entry: WorkerEntry, schedulable: boolean): void {
    this.index.update(entry, schedulable)
  }

  override choose (demand: Resources, accept: (entry: WorkerEntry) => boolean): WorkerEntry | undefined {
    return this.index.choose(demand, accept)
  }
}

/** Baseline: examines every worker and chooses the one with the least capacity left over. */
export class FullScanBestFitPolicy extends PlacementPolicy {
  private readonly workers = new Set<WorkerEntry>()

  override onWorkerChanged (entry: WorkerEntry, schedulable: boolean): void {
    if (schedulable) this.workers.add(entry)
    else this.workers.delete(entry)
  }

  override choose (demand: Resources, accept: (entry: WorkerEntry) => boolean): WorkerEntry | undefined {
    return bestFit(demand, this.workers, accept)
  }
}

/** Returns the accepted worker that fits the demand with the least left over, or undefined if there is none. */
export function bestFit (demand: Resources, workers: Iterable<WorkerEntry>, accept: (entry: WorkerEntry) => boolean): WorkerEntry | undefined {
  let best: WorkerEntry | undefined
  let bestScore = Infinity
  for (const entry of workers) {
    if (!fitsWithin(demand, entry.worker.free) || !entry.schedulable || !accept(entry)) continue
    const score = leftoverScore(demand, entry)
    if (score >= bestScore) continue
    best = entry
    bestScore = score
  }
  return best
}
