import type { JobEntry, TaskEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Outcome of a start command. `stale` means that the worker knows a newer term or attempt, so that the outcome proves nothing about resources. */
export type StartOutcome = 'done' | 'refused' | 'notSent' | 'unknown' | 'stale'

/** Receives changes of the ledger. */
export interface LedgerObserver {
  /** The free resources of a worker, or whether it is schedulable, have changed. */
  onWorkerChanged (entry: WorkerEntry): void
  /** Tasks, failures or cancellation of a job have changed. */
  onJobChanged (entry: JobEntry): void
  /** An attempt has finished or failed; called once for each attempt. */
  onTaskEnded (entry: WorkerEntry, task: TaskEntry, state: 'finished' | 'failed', now: number): void
  /** An attempt is lost: its end was not reported. */
  onTaskLost (task: string, worker: string): void
}
