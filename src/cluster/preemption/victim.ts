import type { Job, Step, Task } from '../job.js'
import { estimateRemainingRun } from '../serving/drainPlanner.js'
import { processorsOf, type WorkerState } from '../workerState.js'
import type { PreemptionHistory } from './preemptionHistory.js'

/** Share of the benefit that a late job earns. */
export const LATE_BENEFIT_SHARE = 0.2
/** Thousandths of a core that an accelerator counts as. */
const PROCESSORS_PER_ACCELERATOR = 8000
/** Assumed wait of a preempted task for other capacity, in milliseconds. */
const EXPECTED_WAIT_MILLISECONDS = 1000
/** Shortest time from the start of a run until it may be preempted, in milliseconds. */
const MINIMUM_RUN_MILLISECONDS = 1000

/** Runs that are preempted together: one run, or all runs of a gang. */
export interface Victim {
  readonly tasks: readonly Task[]
  readonly step: Step
  readonly priority: number
  /** Work that is thrown away, in core-milliseconds. */
  readonly unsaved: number
  /** Work thrown away, capacity that is idle meanwhile, and benefit that the job loses, in core-milliseconds. */
  readonly cost: number
}

/** Returns the cores that a task occupies, with accelerators converted to cores. */
export function coresOf (step: Step): number {
  const specification = step.specification
  return (processorsOf(specification) + PROCESSORS_PER_ACCELERATOR * specification.accelerators) / 1000
}

/** Returns the share of its benefit that a job earns if it completes at a time. */
export function benefitShareAt (job: Job, time: number): number {
  // The objectives of later occurrences are not known.
  if (job.submission.job.occurrences > 0 || time <= job.objectiveAt) return 1
  return time <= job.lateUntil ? LATE_BENEFIT_SHARE : 0
}

/** Returns the time from the end of a step until the end of its job, in milliseconds, if nothing waits. */
export function remainingPathAfter (step: Step): number {
  let longest = 0
  for (const later of step.occurrence.steps) {
    if (later.specification.after.includes(step.index)) longest = Math.max(longest, later.specification.estimateMilliseconds + remainingPathAfter(later))
  }
  return longest
}

/** Estimates the time until a run ends, in milliseconds; at least 0. */
export function remainingRunMilliseconds (task: Task, worker: WorkerState, now: number): number {
  // The start of a run that a former scheduler began is not known.
  const remaining = task.startedAt > 0 ? estimateRemainingRun(task, worker, now) : task.step.specification.estimateMilliseconds / worker.speed * (1 - task.percent / 100)
  return Math.max(0, remaining)
}

/** Chooses which runs may be preempted and what that costs. */
export class VictimSelector {
  private readonly gangs = new Map<Step, Victim | undefined>()

  constructor (
    private readonly workers: ReadonlyMap<string, WorkerState>,
    private readonly priorityOf: (step: Step) => number,
    private readonly history: PreemptionHistory,
    private readonly stopMilliseconds: number,
    /** Cost of a start from a checkpoint. */
    private readonly restoreMilliseconds: number,
    private readonly now: number
  ) {}

  /** Returns the victim that a run belongs to; undefined if the run must not be preempted. */
  victimOf (task: Task): Victim | undefined {
    const step = task.step
    if (!step.specification.gang) return this.assess(step, [task])
    if (!this.gangs.has(step)) this.gangs.set(step, this.assess(step, step.tasks))
    return this.gangs.get(step)
  }

  private assess (step: Step, tasks: readonly Task[]): Victim | undefined {
    const { longRunning, filler, checkpointable } = step.specification
    if (longRunning || filler || step.job.isFinal) return undefined
    let unsaved = 0
    let latestEnd = 0
    for (const task of tasks) {
      const worker = this.workers.get(task.worker)
      if (worker === undefined || !this.mayBePreempted(task, worker)) return undefined
      const remaining = remainingRunMilliseconds(task, worker, this.now)
      // Waiting for a run that ends soon is cheaper than stopping it.
      if (remaining <= this.stopMilliseconds) return undefined
      const lost = checkpointable ? this.restoreMilliseconds : this.workedMilliseconds(task, worker)
      if (!checkpointable) unsaved += coresOf(step) * lost
      latestEnd = Math.max(latestEnd, remaining + lost)
    }
    const idle = tasks.length * coresOf(step) * (this.stopMilliseconds + (checkpointable ? this.restoreMilliseconds : 0))
    return { tasks, step, priority: this.priorityOf(step), unsaved, cost: unsaved + idle + this.lostBenefit(step, latestEnd) }
  }

  private mayBePreempted (task: Task, worker: WorkerState): boolean {
    if (task.phase !== 'running' || !task.isConfirmed || task.crashEvidence.isSuspect) return false
    if (!worker.isUsable(this.now) || worker.hasIsolatedRun) return false
    return this.now - task.startedAt >= MINIMUM_RUN_MILLISECONDS && !this.history.isExempt(task)
  }

  private workedMilliseconds (task: Task, worker: WorkerState): number {
    return task.startedAt > 0 ? this.now - task.startedAt : task.step.specification.estimateMilliseconds / worker.speed * task.percent / 100
  }

  /** Returns what a job loses if a run ends later than it would, in core-milliseconds of the job's work. */
  private lostBenefit (step: Step, remainingAfterStart: number): number {
    const path = remainingPathAfter(step)
    const endsAt = this.now + remainingAfterStart + path
    const delay = this.stopMilliseconds + EXPECTED_WAIT_MILLISECONDS
    const share = benefitShareAt(step.job, endsAt) - benefitShareAt(step.job, endsAt + delay)
    return share <= 0 ? 0 : share * workOf(step.job)
  }
}

/** Returns the work of one occurrence of a job, in core-milliseconds. */
function workOf (job: Job): number {
  let work = 0
  const [occurrence] = job.occurrences.values()
  for (const step of occurrence?.steps ?? []) work += step.tasks.length * coresOf(step) * step.specification.estimateMilliseconds
  return work
}
