import type { Task } from '../job.js'
import type { WorkerState } from '../workerState.js'

/** Assumed cost of a restart before any was observed, in milliseconds. */
const INITIAL_MILLISECONDS = 600
/** Bounds of an observation, in milliseconds. */
const MINIMUM_MILLISECONDS = 0
const MAXIMUM_MILLISECONDS = 5000
/** Weights of an observation above and below the estimate: a restart that costs more than expected makes a preemption a loss. */
const RAISING_RATE = 0.2
const LOWERING_RATE = 0.05
/** Progress from which the remaining work of a stopped run is extrapolated, in percent. */
const MINIMUM_PROGRESS_PERCENT = 10

/** A run that was stopped before its end. */
interface StoppedRun {
  readonly run: number
  readonly worker: WorkerState
  /** Time that the work it left would have taken on its worker, in milliseconds. */
  readonly remaining: number
}

/** Estimates what a start from a checkpoint costs: the time to restore it and to repeat the work since it was saved. */
export class RestoreEstimator {
  private estimate = INITIAL_MILLISECONDS
  private readonly stoppedRuns = new WeakMap<Task, StoppedRun>()

  get milliseconds (): number {
    return this.estimate
  }

  /** Handles the end of a stopped run at `now`, in milliseconds of the monotonic clock. */
  onStopped (task: Task, worker: WorkerState, now: number): void {
    const { checkpointable, gang, longRunning, dataRack } = task.step.specification
    this.stoppedRuns.delete(task)
    // The members of a gang wait for each other, and tasks with data in a rack run at another speed elsewhere.
    if (!checkpointable || gang || longRunning || dataRack !== '') return
    // A run that itself started from a checkpoint or under a former scheduler, or was slowed down, does not show the speed of the work.
    if (task.run !== 1 || task.startedAt <= 0 || task.hasBeenPaced || task.percent < MINIMUM_PROGRESS_PERCENT) return
    const duration = (task.progressedAt - task.startedAt) * 100 / task.percent
    const worked = Math.min(now, task.stopConfirmedAt) - task.startedAt
    this.stoppedRuns.set(task, { run: task.run, worker, remaining: Math.max(0, duration - worked) })
  }

  /** Handles the end `done` of a run. A restart counts only if it directly follows the stopped run. */
  onDone (task: Task, worker: WorkerState, now: number): void {
    const stopped = this.stoppedRuns.get(task)
    if (stopped === undefined || task.run !== stopped.run + 1 || task.startedAt <= 0 || task.hasBeenPaced) return
    // Both speeds are read now, as they are still being learned.
    this.observe(now - task.startedAt - stopped.remaining * stopped.worker.speed / worker.speed)
  }

  private observe (milliseconds: number): void {
    if (!Number.isFinite(milliseconds)) return
    const rate = milliseconds > this.estimate ? RAISING_RATE : LOWERING_RATE
    this.estimate += rate * (Math.min(MAXIMUM_MILLISECONDS, Math.max(MINIMUM_MILLISECONDS, milliseconds)) - this.estimate)
  }
}
