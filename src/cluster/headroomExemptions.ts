import type { Step } from './job.js'
import { processorsOf } from './workerState.js'

/** Wait after which a step may use the headroom for urgent work, in milliseconds. */
const WAIT_FOR_EXEMPTION_MILLISECONDS = 2000
/** Share of the capacity that exempted work may use on average, unless the maximum pause is shorter. */
const EXEMPTED_SHARE = 0.01
/** Maximum pause after an exemption, in milliseconds. */
const MAXIMUM_EXEMPTION_PAUSE_MILLISECONDS = 10_000

/**
 * Bounds the time for which the headroom for urgent work alone keeps a step from starting: a gang, or one task of another step, may use the headroom
 * after a wait. Exempted work uses a small share of the capacity, so that a long queue does not use up the headroom.
 */
export class HeadroomExemptions {
  /** Number of exemptions that have let a gang or a task start. */
  count = 0
  private nextAt = -Infinity
  /** Time of the latest pass in which a step was tried, in milliseconds of the monotonic clock. */
  private readonly triedAt = new WeakMap<Step, number>()

  /** Returns the step that may use the headroom in this pass: each that has waited for long in turn. `now` is the monotonic clock in milliseconds. */
  select (steps: readonly Step[], now: number): Step | undefined {
    if (now < this.nextAt) return undefined
    let selected: Step | undefined
    let earliest = now
    for (const step of steps) {
      const { job, specification, waitingSince } = step
      if (job.isUrgent || specification.filler || waitingSince === undefined || now - waitingSince < WAIT_FOR_EXEMPTION_MILLISECONDS) continue
      const turn = this.triedAt.get(step) ?? waitingSince
      if (turn >= earliest) continue
      selected = step
      earliest = turn
    }
    if (selected !== undefined) this.triedAt.set(selected, now)
    return selected
  }

  /** Records that tasks of a step have been placed by an exemption. `capacity` is that of all usable workers, in thousandths of a core. */
  onPlaced (step: Step, tasks: number, capacity: number, now: number): void {
    this.count += 1
    const { specification } = step
    const work = tasks * processorsOf(specification) * specification.estimateMilliseconds
    this.nextAt = now + Math.min(MAXIMUM_EXEMPTION_PAUSE_MILLISECONDS, work / Math.max(1, EXEMPTED_SHARE * capacity))
  }
}
