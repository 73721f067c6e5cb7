import type { Task } from '../job.js'
import type { WorkerState } from '../workerState.js'

/** Returns true if a long-running task does its work now. */
export function isInService (task: Task): boolean {
  return task.phase === 'running' && task.percent >= 100 && !task.isAwaitingEnd
}

/**
 * Returns true if the system may take a long-running task out of service: fewer other tasks of its step than the step may miss are
 * out of service, for whatever reason. A task on a worker that does not respond counts as out of service. A step that states no number
 * may miss one task.
 */
export function mayTakeOutOfService (task: Task, workers: ReadonlyMap<string, WorkerState>): boolean {
  let outOfService = 0
  for (const other of task.step.tasks) {
    if (other !== task && (!isInService(other) || workers.get(other.worker)?.isUnresponsive !== false)) outOfService += 1
  }
  return outOfService < Math.max(1, task.step.specification.maximumUnavailable)
}
