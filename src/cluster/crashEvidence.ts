/**
 * Weight of one crash: under a run that a worker has confirmed, or that had the worker to itself; and under a run whose start was in flight,
 * which may never have begun, beside other runs.
 */
export const CERTAIN_CRASH = 5
export const POSSIBLE_CRASH = 3
/** Evidence from which runs of a task share their worker with no other run: two crashes. */
const ISOLATION_EVIDENCE = 2 * POSSIBLE_CRASH
/** Evidence at which a task is given up: three certain crashes, or five possible ones. */
const CONCLUSIVE_EVIDENCE = 3 * CERTAIN_CRASH

/** Evidence that a task crashes the workers that start it. */
export class CrashEvidence {
  /** Weight of the proven crashes; part of the recorded progress. */
  proven = 0
  /** Weight of the losses of runs of which it is not known yet whether their workers have crashed. */
  unexplained = 0

  /** True if a worker has crashed under the task. */
  get isSuspect (): boolean {
    return this.proven > 0
  }

  /** True if the next crash must show whether the task causes it, and harm nothing else. */
  get needsIsolation (): boolean {
    return this.proven >= ISOLATION_EVIDENCE
  }

  get isConclusive (): boolean {
    return this.proven >= CONCLUSIVE_EVIDENCE
  }

  /** True if the evidence is conclusive once the latest losses are explained by crashes; the task must not start again before that is known. */
  get mayBeConclusive (): boolean {
    return this.proven + this.unexplained >= CONCLUSIVE_EVIDENCE
  }
}
