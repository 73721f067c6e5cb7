import { fitsWithin, type Resources } from '../contracts/resources.js'
import { leftoverScore, WorkerIndex } from './workerIndex.js'
import type { WorkerEntry } from './workerEntry.js'

/** Chooses a worker for a task. */
export abstract class PlacementPolicy {
  /** Takes note of changed free resources of a worker. One that is not `present` is not chosen until it is again. */
  abstract onWorkerChanged (entry: WorkerEntry, schedulable: boolean): void

  /** Returns an accepted worker on which the demand fits now, or undefined if there is none. */
  abstract choose (demand: Resources, accept: (entry: WorkerEntry) => boolean): WorkerEntry | undefined
}

/** Chooses among fitting workers by what is left over, and keeps accelerators for those who need them; reads an index. */
export class BestFitPolicy extends PlacementPolicy {
  private readonly index = new WorkerIndex()

  override onWorkerChanged (entry: WorkerEntry, schedulable: boolean): void {
    this.index.update(entry, schedulable)
  }

  override choose (demand: Resources, accept: (entry: WorkerEntry) => boolean): WorkerEntry | undefined {
    return this.index.choose(demand, accept)
  }
}

/** Baseline: reads every worker and takes the one with the least left over. */
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

/** The accepted worker with room for the demand that has the least left over, or undefined if there is none. */
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
