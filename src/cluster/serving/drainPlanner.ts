import type { Task } from '../job.js'
import type { WorkerState } from '../workerState.js'

/** Time before the end of a drain at which the last runs are stopped, in milliseconds: a stop takes most of a second, and the remaining time is known with a lag. */
const LAST_STOP_MILLISECONDS = 1300
/** Time by which workers usually stay beyond the announced end of their drain, in milliseconds. A run whose work would be lost by a stop counts on it. */
const USUAL_EXTENSION_MILLISECONDS = 1000
/** Progress from which the duration of a run is extrapolated, in percent. */
const MINIMUM_PROGRESS_PERCENT = 10

/** How urgently a run must leave a draining worker. `whenPlaceable`: as soon as it can start elsewhere. */
export type Departure = 'stay' | 'whenPlaceable' | 'now'

/** Returns the time until a worker may exit at the end of its drain, in milliseconds; Infinity if it does not drain or states no end. */
export function remainingDrainMilliseconds (worker: WorkerState, now: number): number {
  return worker.entry.state === 'draining' ? worker.drainEndsAt - now : Infinity
}

/**
 * Decides whether a run leaves a draining worker before the worker exits. Without that, the run is lost with the worker, and its task
 * waits until the lease has certainly expired.
 */
export function planDeparture (task: Task, worker: WorkerState, now: number): Departure {
  if (worker.entry.state !== 'draining' || task.phase !== 'running') return 'stay'
  const left = remainingDrainMilliseconds(worker, now)
  const { longRunning, checkpointable, gang } = task.step.specification
  if (!longRunning) {
    const extension = checkpointable ? 0 : USUAL_EXTENSION_MILLISECONDS
    if (estimateRemainingRun(task, worker, now) <= left + extension) return 'stay'
  }
  if (left <= LAST_STOP_MILLISECONDS) return 'now'
  // A gang loses the work of all its members, so that it stays as long as it can.
  return gang ? 'stay' : 'whenPlaceable'
}

/** Estimates the time until a run ends, in milliseconds, from its progress or, before it has made any, from the estimate of its step. */
export function estimateRemainingRun (task: Task, worker: WorkerState, now: number): number {
  const sinceProgress = now - task.progressedAt
  if (task.percent >= MINIMUM_PROGRESS_PERCENT) {
    return (task.progressedAt - task.startedAt) * (100 - task.percent) / task.percent - sinceProgress
  }
  return task.step.specification.estimateMilliseconds / worker.speed - (now - task.startedAt)
}
