import type { Task } from '../job.js'
import type { WorkerState } from '../workerState.js'
import type { PaceObserver } from './paceObserver.js'
import type { RunTimes } from './runTimes.js'
import { EJECTION_EVIDENCE } from './workerSoundness.js'

/** Time from the stop of a run until its task runs elsewhere: the stop, its confirmation, the record of the placement, and the restoration from a checkpoint, in milliseconds. */
const MOVE_MILLISECONDS = 1500
/** Least gain of a move: the time saved, in milliseconds, and relative to the work that is lost. */
const MINIMUM_GAIN_MILLISECONDS = 1000
const MINIMUM_GAIN_PER_LOST_WORK = 2
/** Largest number of runs that are moved at one time; the next are considered once these have been placed. */
const MAXIMUM_MOVES = 4
/** Rate that is assumed for a run without progress, in percent per millisecond. */
const LEAST_RATE = 0.001

/** A run that is to be moved, with the figures that decided, in milliseconds. */
export interface Straggler {
  readonly task: Task
  readonly worker: WorkerState
  readonly remainingMilliseconds: number
  readonly elsewhereMilliseconds: number
  readonly lostMilliseconds: number
}

/**
 * Finds runs that are slow because of their worker and would end sooner elsewhere. A run that is slow alone on its worker is left
 * alone: its task may be long by itself, and would be as long elsewhere.
 */
export class StragglerDetector {
  /** Tasks that have been moved. Each is moved at most once. */
  private readonly moved = new WeakSet<Task>()

  constructor (private readonly runTimes: RunTimes, private readonly paces: PaceObserver) {}

  /** Returns the runs to move now, at most a few, those with the largest gain first. Each counts as moved from then on. */
  find (workers: Iterable<WorkerState>, isPlaceable: (task: Task) => boolean, now: number): Straggler[] {
    const found: Straggler[] = []
    for (const worker of workers) {
      if (worker.isUnresponsive || worker.runs.size === 0 || !isSlow(worker, now)) continue
      for (const task of worker.runs.values()) {
        const straggler = this.evaluate(task, worker, now)
        if (straggler !== undefined) found.push(straggler)
      }
    }
    found.sort((left, right) => gainOf(right) - gainOf(left))
    const selected = found.slice(0, MAXIMUM_MOVES).filter(({ task }) => isPlaceable(task))
    for (const { task } of selected) this.moved.add(task)
    return selected
  }

  /** Returns the straggler if the gain of a move clearly exceeds the work that it loses. */
  private evaluate (task: Task, worker: WorkerState, now: number): Straggler | undefined {
    const { specification, job } = task.step
    if (task.phase !== 'running' || this.moved.has(task) || specification.gang || specification.longRunning || specification.filler || now > job.lateUntil) return undefined
    const rate = this.paces.rateOf(task)
    const expected = this.runTimes.expectedMilliseconds(task.step)
    if (rate === undefined || expected <= 0) return undefined
    const kept = specification.checkpointable ? task.percent / 100 : 0
    const straggler = {
      task,
      worker,
      remainingMilliseconds: (100 - task.percent) / Math.max(LEAST_RATE, rate),
      elsewhereMilliseconds: MOVE_MILLISECONDS + expected * (1 - kept),
      lostMilliseconds: expected * (task.percent / 100 - kept)
    }
    const gain = gainOf(straggler)
    return gain >= MINIMUM_GAIN_MILLISECONDS && gain >= MINIMUM_GAIN_PER_LOST_WORK * straggler.lostMilliseconds ? straggler : undefined
  }
}

/** Returns true if the worker slows its runs down: it was ejected for that, or would be if its pool allowed it. */
function isSlow ({ soundness }: WorkerState, now: number): boolean {
  if (soundness.phase === 'ejected') return soundness.cause === 'slow' || soundness.cause === 'stalled'
  return soundness.paceEvidence(now).evidence >= EJECTION_EVIDENCE
}

function gainOf ({ remainingMilliseconds, elsewhereMilliseconds }: Straggler): number {
  return remainingMilliseconds - elsewhereMilliseconds
}
