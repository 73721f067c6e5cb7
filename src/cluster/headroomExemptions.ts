import type { Step } from './job.js'
import { processorsOf } from './workerState.js'

/** Wait after which a step may use the headroom for urgent work, in milliseconds. */
const WAIT_FOR_EXEMPTION_MILLISECONDS = 2000
/** Share of the capacity that exempted work may use on average, unless the maximum pause is shorter. */
const EXEMPTED_SHARE = 0.01
/** Maximum pause after an exemption, in milliseconds. */
const MAXIMUM_EXEMPTION_PAUSE_MILLISECONDS = 10_000
/** Maximum number of steps that are tried in one pass, and the time until one of them is tried again, in milliseconds. */
const MAXIMUM_TRIED_STEPS = 8
const RETRY_PERIOD_MILLISECONDS = 500

/**
 * Bounds the time for which the headroom for urgent work alone keeps a step from starting: a gang, or one task of another step, may use the headroom
 * after a wait. Exempted work uses a small share of the capacity, so that a long queue does not use up the headroom.
 */
export class HeadroomExemptions {
  private nextAt = -Infinity
  private readonly triedAt = new WeakMap<Step, number>()

  /** Returns the steps that may use the headroom now, those that have waited longest first. `now` is the monotonic clock in milliseconds. */
  select (steps: readonly Step[], now: number): Set<Step> {
    if (now < this.nextAt) return new Set()
    const waitOf = ({ waitingSince }: Step): number => waitingSince === undefined ? 0 : now - waitingSince
    const selected = steps
      .filter(step => !step.job.isUrgent && !step.specification.filler && waitOf(step) >= WAIT_FOR_EXEMPTION_MILLISECONDS && now - (this.triedAt.get(step) ?? -Infinity) >= RETRY_PERIOD_MILLISECONDS)
      .sort((left, right) => waitOf(right) - waitOf(left))
      .slice(0, MAXIMUM_TRIED_STEPS)
    for (const step of selected) this.triedAt.set(step, now)
    return new Set(selected)
  }

  /** Records that tasks of a step have been placed by an exemption. `capacity` is that of all usable workers, in thousandths of a core. */
  onPlaced (step: Step, tasks: number, capacity: number, now: number): void {
    const { specification } = step
    const work = tasks * processorsOf(specification) * specification.estimateMilliseconds
    this.nextAt = now + Math.min(MAXIMUM_EXEMPTION_PAUSE_MILLISECONDS, work / Math.max(1, EXEMPTED_SHARE * capacity))
  }
}
