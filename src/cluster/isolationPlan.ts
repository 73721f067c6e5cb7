import type { Step, Task } from './job.js'
import { processorsOf, type WorkerState } from './workerState.js'

/** Longest wait for a worker without other runs, in milliseconds; afterwards the worker with the fewest runs is taken. */
const MAXIMUM_ISOLATION_WAIT_MILLISECONDS = 2000
/** Maximum number of workers that are kept free at one time for isolated runs. */
const MAXIMUM_KEPT_WORKERS = 2

/**
 * Chooses workers without other runs for tasks whose runs must be isolated, because workers have crashed under them. Where every worker
 * is in use, keeps a few from taking further runs until they are empty. Designed for busy sites with a few such tasks.
 */
export class IsolationPlan {
  /** Workers that are kept free, and the tasks for which they are. */
  private readonly keptWorkers = new Map<string, Task>()

  /** `usableWorkers` returns the workers that may run a step, whatever their free capacity. */
  constructor (isolatedTasks: Iterable<Task>, private readonly usableWorkers: (step: Step) => WorkerState[], private readonly now: number) {
    for (const task of isolatedTasks) {
      if (task.phase !== 'waiting' || task.crashEvidence.mayBeConclusive || task.step.readyAt === undefined || task.step.specification.gang) continue
      this.keepWorkerFor(task)
    }
  }

  /** Returns true if a worker is kept free for a task of another step. */
  isKeptFromOthers (step: Step, worker: WorkerState): boolean {
    const task = this.keptWorkers.get(worker.identity)
    return task !== undefined && task.step !== step
  }

  /** Returns the candidates on which a task may be placed now. */
  selectFor (task: Task, candidates: readonly WorkerState[]): readonly WorkerState[] {
    if (!task.crashEvidence.needsIsolation) return this.keptWorkers.size === 0 ? candidates : candidates.filter(worker => !this.keptWorkers.has(worker.identity) && !worker.hasIsolatedRun)
    const own = candidates.filter(worker => !worker.hasIsolatedRun && (this.keptWorkers.get(worker.identity) ?? task) === task)
    const empty = own.filter(worker => worker.runs.size === 0)
    if (empty.length > 0 || task.waitsForIsolationSince === undefined || this.now - task.waitsForIsolationSince < MAXIMUM_ISOLATION_WAIT_MILLISECONDS) return empty
    return withFewestRuns(own)
  }

  /** Returns the candidates on which a gang may be placed now. */
  selectForGang (step: Step, candidates: WorkerState[]): WorkerState[] {
    if (!step.tasks.some(task => task.crashEvidence.needsIsolation)) return candidates
    const hasWaited = step.waitingSince !== undefined && this.now - step.waitingSince >= MAXIMUM_ISOLATION_WAIT_MILLISECONDS
    return hasWaited ? candidates : candidates.filter(worker => worker.runs.size === 0)
  }

  private keepWorkerFor (task: Task): void {
    const specification = task.step.specification
    const workers = this.usableWorkers(task.step).filter(worker => worker.fitsWhenEmpty(specification) && !worker.hasIsolatedRun && !this.keptWorkers.has(worker.identity))
    const empty = workers.find(worker => worker.runs.size === 0)
    if (empty === undefined) task.waitsForIsolationSince ??= this.now
    if (this.keptWorkers.size >= MAXIMUM_KEPT_WORKERS) return
    const kept = empty ?? workers.find(worker => worker.identity === task.isolationWorker) ?? leastBusy(workers)
    if (kept === undefined) return
    task.isolationWorker = kept.identity
    this.keptWorkers.set(kept.identity, task)
  }
}

function withFewestRuns (workers: readonly WorkerState[]): readonly WorkerState[] {
  const fewest = Math.min(...workers.map(worker => worker.runs.size))
  return workers.filter(worker => worker.runs.size === fewest)
}

/** Returns the worker with the least remaining work; a run that lasts counts as endless. */
function leastBusy (workers: readonly WorkerState[]): WorkerState | undefined {
  let best: WorkerState | undefined
  let bestWork = Infinity
  for (const worker of workers) {
    let work = 0
    for (const { step: { specification }, percent } of worker.runs.values()) work += specification.longRunning ? Number.MAX_SAFE_INTEGER : processorsOf(specification) * specification.estimateMilliseconds * (1 - percent / 100)
    if (work >= bestWork) continue
    best = worker
    bestWork = work
  }
  return best
}
