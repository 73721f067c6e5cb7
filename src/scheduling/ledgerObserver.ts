import type { JobEntry, TaskEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Outcome of a start command. `stale` means that the worker knows a newer term or attempt, so that it proves nothing about resources. */
export type StartOutcome = 'done' | 'refused' | 'notSent' | 'unknown' | 'stale'

/** What observers of the ledger are told. */
export interface LedgerObserver {
  /** The free resources of a worker, or whether it may be used, have changed. */
  onWorkerChanged (entry: WorkerEntry): void
  /** Tasks, failures or cancellation of a job have changed. */
  onJobChanged (entry: JobEntry): void
  /** An attempt has ended by itself; told once for each attempt. */
  onTaskEnded (entry: WorkerEntry, task: TaskEntry, state: 'finished' | 'failed', now: number): void
  /** An attempt is gone without a report of its end. */
  onTaskLost (task: string, worker: string): void
}
