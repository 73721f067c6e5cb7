import type { JobEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Chooses a worker in one of the racks with the fewest tasks of the job, if such a rack has capacity; otherwise any worker. */
export function chooseSpreadOverRacks (job: JobEntry, rackOf: (worker: string) => string | undefined, choose: (accepts: (entry: WorkerEntry) => boolean) => WorkerEntry | undefined): WorkerEntry | undefined {
  const racks = new Map<string, number>()
  for (const { worker } of job.tasks) {
    const rack = worker === undefined ? undefined : rackOf(worker)
    if (rack !== undefined) racks.set(rack, (racks.get(rack) ?? 0) + 1)
  }
  const most = Math.max(0, ...racks.values())
  for (let count = 0; count < most; count += 1) {
    const spread = choose(entry => (racks.get(entry.worker.description.rack) ?? 0) <= count)
    if (spread !== undefined) return spread
  }
  return choose(() => true)
}
