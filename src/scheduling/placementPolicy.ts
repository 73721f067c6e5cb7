import type { Resources } from '../contracts/resources.js'
import { fitsWithin } from '../contracts/resources.js'
import type { Worker } from '../machines/worker.js'

/** Chooses a worker for a task. */
export abstract class PlacementPolicy {
  /** Returns a worker on which the demand fits now, or undefined. */
  abstract choose (demand: Resources, workers: Iterable<Worker>): Worker | undefined
}

/** Chooses the fitting worker that has the least left over, and keeps accelerators for those who need them. */
export class BestFitPolicy extends PlacementPolicy {
  override choose (demand: Resources, workers: Iterable<Worker>): Worker | undefined {
    let best: Worker | undefined
    let bestScore = Infinity
    for (const worker of workers) {
      const { free } = worker
      if (!fitsWithin(demand, free)) continue
      const score = leftOver(demand, free, worker.description.capacity)
      if (score >= bestScore) continue
      best = worker
      bestScore = score
    }
    return best
  }
}

function leftOver (demand: Resources, free: Resources, capacity: Resources): number {
  const processors = (free.processorsThousandths - demand.processorsThousandths) / Math.max(1, capacity.processorsThousandths)
  const memory = (free.memoryBytes - demand.memoryBytes) / Math.max(1, capacity.memoryBytes)
  const accelerators = demand.accelerators === 0 && capacity.accelerators > 0 ? 2 : 0
  return processors + memory + accelerators
}
