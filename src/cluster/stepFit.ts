import type { Step } from './job.js'
import type { UrgentHeadroom } from './urgentHeadroom.js'
import { processorsOf, type WorkerState } from './workerState.js'

/** Returns how many tasks of a step have a run, by worker; empty if the step does not limit them. */
export function countPerWorker (step: Step): Map<string, number> {
  const counts = new Map<string, number>()
  if (step.specification.maximumPerWorker === 0) return counts
  for (const task of step.tasks) {
    if (task.hasRun) counts.set(task.worker, (counts.get(task.worker) ?? 0) + 1)
  }
  return counts
}

/** Returns how many further tasks of a step a worker may take by the limit of the step, whatever its capacity; Infinity without a limit. */
export function remainingPerWorker (step: Step): (worker: WorkerState) => number {
  const limit = step.specification.maximumPerWorker
  if (limit === 0) return () => Infinity
  const counts = countPerWorker(step)
  return worker => Math.max(0, limit - (counts.get(worker.identity) ?? 0))
}

/** Returns the number of tasks of the step that fit into the free capacity of a worker. */
export function countFittingTasks (worker: WorkerState, step: Step, headroom: number): number {
  return countTasksWithin(step, worker.freeProcessors - headroom, worker.freeMemory, worker.entry.accelerators - worker.usedAccelerators)
}

/** Returns the number of tasks of the step that would fit on the worker beside the headroom if it were empty. */
function countFittingTasksWhenEmpty (worker: WorkerState, step: Step, headroom: number): number {
  return Math.max(0, countTasksWithin(step, worker.entry.processorsThousandths - headroom, worker.entry.memoryMegabytes, worker.entry.accelerators))
}

/** Returns the number of tasks of the step that fit on the worker once all its runs have ended but those of tasks that last. */
export function countFittingTasksOnceEnded ({ entry, lastingProcessors, lastingMemory, lastingAccelerators }: WorkerState, step: Step, headroom: number): number {
  return Math.max(0, countTasksWithin(step, entry.processorsThousandths - lastingProcessors - headroom, entry.memoryMegabytes - lastingMemory, entry.accelerators - lastingAccelerators))
}

/** Returns true if this many tasks of the step fit on the workers once all runs have ended but those of tasks that last. */
export function tasksFitOnceEnded (workers: readonly WorkerState[], step: Step, count: number): boolean {
  const remaining = remainingPerWorker(step)
  let left = count
  for (const worker of workers) {
    left -= Math.min(remaining(worker), countFittingTasksOnceEnded(worker, step, 0))
    if (left <= 0) return true
  }
  return left <= 0
}

/** Returns true if this many tasks of the step would fit on the workers, beside the headroom for urgent work if there is one, if they were empty. */
export function tasksFitWhenEmpty (workers: readonly WorkerState[], step: Step, count: number, headroom?: UrgentHeadroom): boolean {
  const remaining = remainingPerWorker(step)
  let left = count
  for (const worker of workers) {
    left -= Math.min(remaining(worker), countFittingTasksWhenEmpty(worker, step, step.job.isUrgent ? 0 : headroom?.reservedOnEmpty(worker) ?? 0))
    if (left <= 0) return true
  }
  return left <= 0
}

/** Returns true if this many tasks of the step fit into the free capacity of the workers; the headroom for urgent work counts as free. */
export function tasksFitNow (workers: readonly WorkerState[], step: Step, count: number): boolean {
  const remaining = remainingPerWorker(step)
  let left = count
  for (const worker of workers) {
    left -= Math.max(0, Math.min(remaining(worker), countFittingTasks(worker, step, 0)))
    if (left <= 0) return true
  }
  return left <= 0
}

function countTasksWithin (step: Step, processors: number, memory: number, accelerators: number): number {
  const specification = step.specification
  return Math.min(step.tasks.length, countDemands(processors, processorsOf(specification)), countDemands(memory, specification.memoryMegabytes), countDemands(accelerators, specification.accelerators))
}

function countDemands (available: number, demand: number): number {
  return demand === 0 ? Infinity : Math.floor(available / demand)
}
