import type { Random } from '../base/random.js'
import type { Urgency } from '../contracts/siteText.js'
import type { Executor } from '../machines/executor.js'

/** An executor with a free slot that a request may be sent to. */
export interface ExecutorCandidate {
  readonly executor: Executor
  /** Requests of this instance that run on it. */
  readonly inFlight: number
  readonly free: number
}

/** Chooses an executor for a request. */
export abstract class ExecutorChooser {
  /** Returns one of the candidates, or undefined if there is none. */
  abstract choose (candidates: readonly ExecutorCandidate[], urgency: Urgency): ExecutorCandidate | undefined
}

/** Mean service times that are added for an executor that fails every request. */
const FAILURE_PENALTY = 20
/** Increase of the expected time by each request that already runs there. */
const LOAD_PENALTY = 0.02

/**
 * Chooses by the expected time, from learned service time, load and failures. Urgent and normal work takes the fastest
 * executor; deferrable work takes the slowest, which keeps the fast ones free for urgent work.
 */
export class LeastExpectedTimeChooser extends ExecutorChooser {
  override choose (candidates: readonly ExecutorCandidate[], urgency: Urgency): ExecutorCandidate | undefined {
    const unknown = typicalServiceMilliseconds(candidates)
    const sign = urgency === 'deferrable' ? -1 : 1
    let best: ExecutorCandidate | undefined
    let bestScore = Infinity
    for (const candidate of candidates) {
      const { executor, inFlight } = candidate
      const time = (executor.learnedServiceMilliseconds ?? unknown) * (1 + inFlight * LOAD_PENALTY)
      // A failing executor is the last choice for every class.
      const score = sign * time + executor.failureShare * FAILURE_PENALTY * unknown
      if (score >= bestScore) continue
      best = candidate
      bestScore = score
    }
    return best
  }
}

/** Baseline: the candidates in turn. */
export class RoundRobinChooser extends ExecutorChooser {
  private turn = 0

  override choose (candidates: readonly ExecutorCandidate[]): ExecutorCandidate | undefined {
    this.turn += 1
    return candidates[this.turn % Math.max(1, candidates.length)]
  }
}

/** Baseline: any candidate. */
export class RandomChooser extends ExecutorChooser {
  constructor (private readonly random: Random) {
    super()
  }

  override choose (candidates: readonly ExecutorCandidate[]): ExecutorCandidate | undefined {
    return candidates.length === 0 ? undefined : this.random.pick(candidates)
  }
}

/** Baseline: the candidate with the fewest requests of this instance in flight. */
export class LeastInFlightChooser extends ExecutorChooser {
  override choose (candidates: readonly ExecutorCandidate[]): ExecutorCandidate | undefined {
    let best: ExecutorCandidate | undefined
    for (const candidate of candidates) {
      if (best === undefined || candidate.inFlight < best.inFlight) best = candidate
    }
    return best
  }
}

/** Baseline: of two random candidates the one with fewer requests in flight. */
export class PowerOfTwoChoicesChooser extends ExecutorChooser {
  constructor (private readonly random: Random) {
    super()
  }

  override choose (candidates: readonly ExecutorCandidate[]): ExecutorCandidate | undefined {
    if (candidates.length === 0) return undefined
    const first = this.random.pick(candidates)
    const second = this.random.pick(candidates)
    return second.inFlight < first.inFlight ? second : first
  }
}

/** Assumed service time of an executor that has not answered yet: the mean of the others. */
function typicalServiceMilliseconds (candidates: readonly ExecutorCandidate[]): number {
  let sum = 0
  let count = 0
  for (const { executor } of candidates) {
    if (executor.learnedServiceMilliseconds === undefined) continue
    sum += executor.learnedServiceMilliseconds
    count += 1
  }
  return count === 0 ? 1 : sum / count
}
