import type { CapacityReservations } from './capacityReservations.js'
import type { JobEntry } from './jobState.js'
import type { PreemptionPlan, PreemptionPlanner } from './preemptionPlanner.js'
import type { WorkerEntry } from './workerEntry.js'

/** Maximum number of tasks for which one pass frees capacity by preemption. */
const PREEMPTIONS_PER_PASS = 50
/** Lifetime of a reservation, in milliseconds: the bound on a checkpoint, the stop after it, and its report. */
const RESERVATION_MILLISECONDS = 8000

/** Frees capacity by preemption for urgent jobs that did not fit, and reserves it for them. */
export class UrgentReservationPlanner {
  private readonly waiting = new Set<JobEntry>()

  constructor (private readonly reservations: CapacityReservations, private readonly planner: PreemptionPlanner) {}

  /** Records that an urgent job did not fit. */
  add (job: JobEntry): void {
    this.waiting.add(job)
  }

  /** Reserves capacity for tasks that have no reservation yet, and returns what must be preempted to free it. */
  plan (allWorkers: Iterable<WorkerEntry>, now: number): Array<PreemptionPlan & { readonly job: JobEntry }> {
    const plans: Array<PreemptionPlan & { readonly job: JobEntry }> = []
    if (this.waiting.size === 0) return plans
    const workers = [...allWorkers]
    const victims = new Set<string>()
    for (const job of this.waiting) {
      if (!job.isWaiting) {
        this.waiting.delete(job)
        continue
      }
      for (let missing = job.placeable.size - this.reservations.forJob(job).length; missing > 0; missing -= 1) {
        if (plans.length >= PREEMPTIONS_PER_PASS) return plans
        const plan = this.planner.plan(job, workers, victims, now)
        if (plan === undefined) break
        this.reservations.add({ entry: plan.entry, job, resources: job.job.resources, expiresAt: now + RESERVATION_MILLISECONDS, openToBackfill: false })
        for (const victim of plan.victims) victims.add(victim.task)
        plans.push({ ...plan, job })
      }
    }
    return plans
  }
}
