import type { Random } from '../base/random.js'
import type { Urgency } from '../contracts/siteConfiguration.js'
import type { Executor } from '../machines/executor.js'

/** An executor with a free slot that a request may be sent to. */
export interface ExecutorCandidate {
  readonly executor: Executor
  /** Requests of this instance in flight on it. */
  readonly inFlight: number
  readonly free: number
}

/** Load-balancing policy: chooses an executor for a request. */
export abstract class ExecutorChooser {
  /** Returns one of the candidates, or undefined if there is none. */
  abstract choose (candidates: readonly ExecutorCandidate[], urgency: Urgency): ExecutorCandidate | undefined
}

/** Penalty of an executor that fails every request, in typical service times; scales with the share of failures. */
const FAILURE_PENALTY = 20
/** Relative increase of the expected time by each request in flight. */
const LOAD_PENALTY = 0.02

/**
 * Chooses by expected time, computed from the learned service time, load and failures. Urgent and normal requests get the
 * fastest executor; deferrable requests get the slowest, which keeps the fast executors free for urgent requests.
 */
export class LeastExpectedTimeChooser extends ExecutorChooser {
  override choose (candidates: readonly ExecutorCandidate[], urgency: Urgency): ExecutorCandidate | undefined {
    const typicalTime = typicalServiceMilliseconds(candidates)
    const sign = urgency === 'deferrable' ? -1 : 1
    let best: ExecutorCandidate | undefined
    let bestScore = Infinity
    for (const candidate of candidates) {
      const { executor, inFlight } = candidate
      const time = (executor.learnedServiceMilliseconds ?? typicalTime) * (1 + inFlight * LOAD_PENALTY)
      // The penalty is not multiplied by the sign: a failing executor is the last choice for every urgency class.
      const score = sign * time + executor.failureShare * FAILURE_PENALTY * typicalTime
      if (score >= bestScore) continue
      best = candidate
      bestScore = score
    }
    return best
  }
}

/** Baseline: round robin over the candidates. */
export class RoundRobinChooser extends ExecutorChooser {
  private turn = 0

  override choose (candidates: readonly ExecutorCandidate[]): ExecutorCandidate | undefined {
    this.turn += 1
    return candidates[this.turn % Math.max(1, candidates.length)]
  }
}

/** Baseline: a random candidate. */
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

/** Baseline: the one of two random candidates that has fewer requests in flight. */
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

/** Returns the mean learned service time, which is assumed for executors that have not completed a request yet. */
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
