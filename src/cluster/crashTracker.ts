import { CERTAIN_CRASH, POSSIBLE_CRASH } from './crashEvidence.js'
import type { Task } from './job.js'
import type { WorkerEntry } from './workerPort.js'
import type { WorkerLossCause } from './workerSession.js'
import type { WorkerState } from './workerState.js'

/** Time in service after which a crash no longer speaks against a task that lasts, in milliseconds. */
const PROVEN_SERVICE_MILLISECONDS = 5000
/** The same for the run time of other tasks: a task that works for long loses many workers over its life. */
const PROVEN_RUN_MILLISECONDS = 60_000
/** Time for which a loss waits for its explanation, in milliseconds; longer than a worker takes to start again. */
const UNEXPLAINED_LOSS_RETENTION_MILLISECONDS = 15_000

/**
 * Why a run no longer exists although its worker has reported no end of it: the worker does not list it, the worker reports a new
 * process, or nothing can run on the worker any more.
 */
export type RunLossCause = 'notListed' | 'processRestarted' | WorkerLossCause

/** A run whose worker was silent until its leases expired, which does not show whether the worker has crashed. */
interface UnexplainedLoss {
  readonly task: Task
  readonly worker: string
  readonly host: string
  readonly processStartedAt: number
  readonly evidence: number
  readonly lostAt: number
}

/**
 * Collects evidence that a task crashes the workers that start it. Only proof of a crash counts: another process of the worker, or a later worker on its
 * machine, while the worker was not draining. A worker that is merely silent may still be running its tasks.
 */
export class CrashTracker {
  private unexplained: UnexplainedLoss[] = []

  /** `onCrash` is called with a task under which a worker has crashed, after the task's evidence was increased. */
  constructor (private readonly workers: ReadonlyMap<string, WorkerState>, private readonly onCrash: (task: Task, worker: string, now: number) => void) {}

  /**
   * Handles the loss of a run. Must be called while the task still has the state of the lost run. `isAlone`: the worker had no other run.
   * Returns a function that counts the crash, to be called once the run is abandoned.
   */
  onRunLost (task: Task, worker: WorkerState, cause: RunLossCause, isAlone: boolean, now: number): () => void {
    if (cause === 'notListed' || task.isAwaitingEnd || !mayHaveBegun(task) || worker.entry.state === 'draining') return () => {}
    if (hasProvenItself(task, worker)) {
      task.crashEvidence.proven = 0
      return () => {}
    }
    const loss = { task, worker: worker.identity, host: hostOf(worker.entry), processStartedAt: task.processStartedAt, evidence: task.isConfirmed || isAlone ? CERTAIN_CRASH : POSSIBLE_CRASH, lostAt: now }
    if (cause !== 'leasesExpired' || this.hasLaterProcess(loss)) return () => this.count(loss, now)
    this.unexplained.push(loss)
    task.crashEvidence.unexplained += loss.evidence
    return () => {}
  }

  /** Handles a registry entry: a process that started later on the same machine proves that the former worker there has exited. */
  onWorkerListed (entry: WorkerEntry, now: number): void {
    if (this.unexplained.length === 0) return
    const host = hostOf(entry)
    this.resolve(loss => loss.host === host && isLater(entry, loss), now)
  }

  /** Handles a report: the process that ran the lost runs was only silent, or another one has replaced it. */
  onWorkerReported (worker: WorkerState, now: number): void {
    if (this.unexplained.length === 0) return
    this.take(loss => loss.worker === worker.identity && loss.processStartedAt === worker.processStartedAt)
    this.resolve(loss => loss.worker === worker.identity, now)
  }

  /** Discards losses that have not been explained for long, so that their tasks may start again. */
  discardOldLosses (now: number): void {
    if (this.unexplained.length > 0) this.take(({ lostAt }) => now - lostAt >= UNEXPLAINED_LOSS_RETENTION_MILLISECONDS)
  }

  /** Returns true if the registry already lists a process that started on the machine after that of the lost run. */
  private hasLaterProcess (loss: UnexplainedLoss): boolean {
    for (const { entry } of this.workers.values()) {
      if (isLater(entry, loss) && hostOf(entry) === loss.host) return true
    }
    return false
  }

  private resolve (isExplained: (loss: UnexplainedLoss) => boolean, now: number): void {
    for (const loss of this.take(isExplained)) this.count(loss, now)
  }

  /** Removes and returns the selected losses. */
  private take (isSelected: (loss: UnexplainedLoss) => boolean): UnexplainedLoss[] {
    const selected = this.unexplained.filter(isSelected)
    if (selected.length === 0) return selected
    this.unexplained = this.unexplained.filter(loss => !selected.includes(loss))
    for (const { task, evidence } of selected) task.crashEvidence.unexplained -= evidence
    return selected
  }

  private count ({ task, worker, evidence }: UnexplainedLoss, now: number): void {
    if (task.phase === 'done' || task.step.job.isFinal) return
    task.crashEvidence.proven += evidence
    this.onCrash(task, worker, now)
  }
}

/** Returns true if the process of a registry entry started after that of a lost run. */
function isLater ({ processStartedAt }: WorkerEntry, loss: UnexplainedLoss): boolean {
  return loss.processStartedAt !== 0 && processStartedAt > loss.processStartedAt
}

/** Returns the machine of a worker; its address if the entry states none. */
function hostOf ({ machine, address }: WorkerEntry): string {
  return machine === '' ? address : machine
}

/** A run whose start command has no outcome yet is not counted: the outcome tells whether it may have begun. */
function mayHaveBegun (task: Task): boolean {
  return task.phase === 'running' || task.phase === 'uncertain' || task.phase === 'stopping'
}

/** Returns true if the run is known to have worked for long before the last report of its worker. */
function hasProvenItself (task: Task, worker: WorkerState): boolean {
  if (task.step.specification.longRunning) return task.percent >= 100 && worker.processSeenAt - task.progressedAt >= PROVEN_SERVICE_MILLISECONDS
  return task.startedAt > 0 && worker.processSeenAt - task.startedAt >= PROVEN_RUN_MILLISECONDS
}
