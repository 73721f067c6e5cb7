import type { Step } from '../job.js'

/** Wait from which the reason is reported, in milliseconds; shorter waits are usual. */
const REPORTED_WAIT_MILLISECONDS = 500
/** Maximum number of reasons that are reported in one pass, and for one step. */
const MAXIMUM_REPORTS_PER_PASS = 5
const MAXIMUM_REPORTS_PER_STEP = 4

/** Why a step waits for its organisation. */
export type WaitReason = 'cap' | 'share' | 'rate'

/** Selects the steps whose reason to wait has changed, within bounds on their number. */
export class WaitReasons {
  private readonly reported = new WeakMap<Step, { reason: WaitReason, count: number }>()

  /** Returns the steps whose reason is to be reported now. `reasonOf` returns undefined for a step that waits for something else. */
  selectChanged (steps: Iterable<Step>, reasonOf: (step: Step) => WaitReason | undefined, now: number): Array<{ readonly step: Step, readonly reason: WaitReason }> {
    const changed: Array<{ readonly step: Step, readonly reason: WaitReason }> = []
    for (const step of steps) {
      if (changed.length >= MAXIMUM_REPORTS_PER_PASS) break
      if (step.waitingSince === undefined || now - step.waitingSince < REPORTED_WAIT_MILLISECONDS) continue
      const former = this.reported.get(step)
      if (former !== undefined && former.count >= MAXIMUM_REPORTS_PER_STEP) continue
      const reason = reasonOf(step)
      if (reason === undefined || reason === former?.reason) continue
      this.reported.set(step, { reason, count: (former?.count ?? 0) + 1 })
      changed.push({ step, reason })
    }
    return changed
  }
}
