import type { Executor } from '../machines/executor.js'

/** An executor with a free slot that a request may be sent to. */
export interface ExecutorCandidate {
  readonly executor: Executor
  readonly inFlight: number
  readonly free: number
}

/** Chooses an executor for a request. */
export abstract class ExecutorChooser {
  /** Returns one of the candidates, or undefined if there is none. */
  abstract choose (candidates: readonly ExecutorCandidate[]): ExecutorCandidate | undefined
}

/** Assumed service time of an executor that has not answered yet, in milliseconds; low, so that it is tried. */
const UNKNOWN_SERVICE_MILLISECONDS = 1
/** Consecutive failures double the expected time up to this many times. */
const MAXIMUM_FAILURE_DOUBLINGS = 10

/** Chooses the executor with the least expected time, from its learned service time and its load. */
export class LeastExpectedTimeChooser extends ExecutorChooser {
  override choose (candidates: readonly ExecutorCandidate[]): ExecutorCandidate | undefined {
    let best: ExecutorCandidate | undefined
    let bestTime = Infinity
    for (const candidate of candidates) {
      const time = expectedMilliseconds(candidate)
      if (time >= bestTime) continue
      best = candidate
      bestTime = time
    }
    return best
  }
}

function expectedMilliseconds (candidate: ExecutorCandidate): number {
  const { executor, inFlight } = candidate
  const serviceTime = executor.learnedServiceMilliseconds ?? UNKNOWN_SERVICE_MILLISECONDS
  const doublings = Math.min(executor.consecutiveFailures, MAXIMUM_FAILURE_DOUBLINGS)
  return (serviceTime + inFlight * 0.01) * 2 ** doublings
}
