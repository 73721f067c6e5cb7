import type { Step, Task } from '../job.js'
import { sortByPlacementOrder, type PlacementPass, type PlannedRun } from '../placementPass.js'
import type { EndKind } from '../workerPort.js'
import { processorsOf, type WorkerState } from '../workerState.js'
import { LossBudget } from './lossBudget.js'
import { PreemptionHistory } from './preemptionHistory.js'
import { PreemptionPlanner, type OrganisationShares, type Preemption, type PreemptionReason } from './preemptionPlanner.js'
import { RestoreEstimator } from './restoreEstimator.js'
import { StopEstimator } from './stopEstimator.js'
import type { HeldAmounts } from './workerRoom.js'

/** Minimum time from one plan to the next, and from one plan for a step to the next for it, in milliseconds. */
const PLAN_PERIOD_MILLISECONDS = 60
const STEP_PERIOD_MILLISECONDS = 200
/** Maximum number of steps that one plan examines. */
const MAXIMUM_STEPS_PER_PLAN = 4
/** Maximum number of preempted runs that are still being stopped, per worker of the site, and on small sites. */
const MAXIMUM_STOPS_PER_WORKER = 0.5
const MINIMUM_STOP_LIMIT = 8
/** Time for which freed room is held for a step, in milliseconds; longer than a stop takes. */
const HOLD_MILLISECONDS = 3000

/** A preempted run, as reported to observers. */
export interface PreemptedRun {
  readonly task: Task
  readonly worker: WorkerState
  /** Step for which the run is stopped. */
  readonly step: Step
  readonly reason: PreemptionReason
  /** Work that is thrown away, in core-milliseconds. */
  readonly unsaved: number
}

/** The scheduler's state and actions on which the controller depends. */
export interface PreemptionHost {
  readonly workers: ReadonlyMap<string, WorkerState>
  /** Largest priority value of a queue: the least urgent one. */
  lowestPriority (): number
  priorityOf (step: Step): number
  stopRun (task: Task): void
  onDidPreemptRun (preempted: PreemptedRun): void
}

/** Room that is held for a step. */
interface Hold {
  readonly until: number
  readonly victims: ReadonlyMap<Task, number>
  readonly preemptedOrganisations: readonly string[]
  /** Number of tasks of the step that are still to start on each worker. */
  readonly tasksPerWorker: Map<WorkerState, number>
}

/** Preempts runs for steps that cannot be placed, and holds the freed room for them until they start. Performs no I/O. */
export class PreemptionController {
  private readonly holds = new Map<Step, Hold>()
  private readonly examinedAt = new WeakMap<Step, number>()
  private readonly history = new PreemptionHistory()
  private readonly budget = new LossBudget()
  private readonly stops = new StopEstimator()
  private readonly restores = new RestoreEstimator()
  private plannedAt = -Infinity

  /** `shares` tells the organisations of jobs and what they use; without it, runs are preempted by priority only. */
  constructor (private readonly host: PreemptionHost, private readonly shares?: OrganisationShares) {}

  /** Handles the end of a run on a worker, before the state of its task changes. */
  onEnded (task: Task, worker: WorkerState, kind: EndKind, now: number): void {
    if (kind === 'stopped') {
      this.stops.observe(now - task.stopConfirmedAt)
      this.restores.onStopped(task, worker, now)
    }
    if (kind === 'done') this.restores.onDone(task, worker, now)
  }

  /** Places steps with `placeSteps`: first those for which room is held, then the others, which do not see that room as free. */
  place (steps: readonly Step[], placeSteps: (steps: Step[]) => PlannedRun[], now: number): PlannedRun[] {
    this.dropHolds(now)
    if (this.holds.size === 0) return placeSteps([...steps])
    const others = new Set(steps)
    const planned: PlannedRun[] = []
    for (const [step, hold] of this.holds) occupy(step, hold, 1)
    try {
      for (const [step, hold] of this.holds) {
        if (!others.delete(step)) continue
        occupy(step, hold, -1)
        const runs = placeSteps([step])
        planned.push(...runs)
        shrink(hold, step, runs)
        occupy(step, hold, 1)
      }
      planned.push(...placeSteps([...others]))
    } finally {
      for (const [step, hold] of this.holds) occupy(step, hold, -1)
    }
    return planned
  }

  /** Stops runs for steps that `place` has left waiting. `createPass` creates a placement pass of the same time. */
  preempt (steps: Iterable<Step>, createPass: () => PlacementPass, now: number): void {
    if (now - this.plannedAt < PLAN_PERIOD_MILLISECONDS) return
    this.plannedAt = now
    const waiting = this.selectSteps(steps, now)
    if (waiting.length === 0) return
    const pass = createPass()
    this.budget.refill(this.countCores(), now)
    const held = this.heldAmounts()
    const planner = new PreemptionPlanner({
      workers: this.host.workers,
      priorityOf: step => this.host.priorityOf(step),
      workersAt: (step, time) => pass.workersAt(step, time),
      headroomFor: (step, worker) => pass.headroomFor(step, worker),
      heldOn: worker => held.get(worker),
      history: this.history,
      organisationsInFlight: new Set([...this.holds.values()].flatMap(hold => hold.preemptedOrganisations)),
      shares: this.shares,
      stopMilliseconds: this.stops.milliseconds,
      restoreMilliseconds: this.restores.milliseconds,
      lossBudget: this.budget.remaining,
      stopBudget: Math.max(MINIMUM_STOP_LIMIT, MAXIMUM_STOPS_PER_WORKER * this.host.workers.size) - this.countStopsInFlight()
    }, now)
    for (const step of waiting) {
      this.examinedAt.set(step, now)
      const preemption = planner.plan(step)
      if (preemption !== undefined) this.apply(preemption, now)
    }
  }

  /** Returns the first steps in placement order for which runs could be preempted. */
  private selectSteps (steps: Iterable<Step>, now: number): Step[] {
    const lowestPriority = this.host.lowestPriority()
    const selected: Step[] = []
    for (const step of steps) {
      if (this.shares?.organisationOf(step.job) === undefined && this.host.priorityOf(step) >= lowestPriority) continue
      if (this.holds.has(step) || now - (this.examinedAt.get(step) ?? -Infinity) < STEP_PERIOD_MILLISECONDS) continue
      if (lacksOnlyRoom(step, now)) selected.push(step)
    }
    if (selected.length > 1) sortByPlacementOrder(selected, now)
    return selected.slice(0, MAXIMUM_STEPS_PER_PLAN)
  }

  private apply ({ step, reason, victims, tasksPerWorker, preemptedOrganisations }: Preemption, now: number): void {
    const stopped = new Map<Task, number>()
    for (const victim of victims) {
      this.budget.spend(victim.unsaved)
      for (const task of victim.tasks) {
        const worker = this.host.workers.get(task.worker)
        if (worker === undefined) continue
        stopped.set(task, task.run)
        this.history.record(task)
        this.host.onDidPreemptRun({ task, worker, step, reason, unsaved: victim.unsaved / victim.tasks.length })
        this.host.stopRun(task)
      }
    }
    const organisation = reason === 'share' ? this.shares?.organisationOf(step.job) : undefined
    if (organisation !== undefined) this.history.recordByShare(organisation, now)
    this.holds.set(step, { until: now + HOLD_MILLISECONDS, victims: stopped, preemptedOrganisations, tasksPerWorker: new Map(tasksPerWorker) })
  }

  private dropHolds (now: number): void {
    for (const [step, { until, tasksPerWorker }] of this.holds) {
      if (now >= until || step.job.isFinal || step.waitingCount === 0 || tasksPerWorker.size === 0) this.holds.delete(step)
    }
  }

  private countStopsInFlight (): number {
    let count = 0
    for (const { victims } of this.holds.values()) {
      for (const [task, run] of victims) {
        if (task.phase === 'stopping' && task.run === run) count += 1
      }
    }
    return count
  }

  private countCores (): number {
    let processors = 0
    for (const worker of this.host.workers.values()) {
      if (worker.hasReported) processors += worker.entry.processorsThousandths
    }
    return processors / 1000
  }

  private heldAmounts (): Map<WorkerState, HeldAmounts> {
    const held = new Map<WorkerState, HeldAmounts>()
    for (const [step, { tasksPerWorker }] of this.holds) {
      for (const [worker, count] of tasksPerWorker) {
        const amounts = held.get(worker) ?? { processors: 0, memory: 0, accelerators: 0 }
        amounts.processors += count * processorsOf(step.specification)
        amounts.memory += count * step.specification.memoryMegabytes
        amounts.accelerators += count * step.specification.accelerators
        held.set(worker, amounts)
      }
    }
    return held
  }
}

/** Returns true if a step that waits could start if it had room, and would still earn a benefit. */
function lacksOnlyRoom (step: Step, now: number): boolean {
  const { gang, filler } = step.specification
  if (step.waitingCount === 0 || filler || step.job.isFinal || (gang && step.waitingCount < step.tasks.length)) return false
  if (!step.specification.longRunning && now > step.job.lateUntil) return false
  return !step.tasks.some(({ crashEvidence }) => crashEvidence.isSuspect || crashEvidence.mayBeConclusive)
}

/** Adds the held room to the use of the workers, or removes it. */
function occupy ({ specification }: Step, { tasksPerWorker }: Hold, sign: 1 | -1): void {
  for (const [worker, count] of tasksPerWorker) {
    worker.usedProcessors += sign * count * processorsOf(specification)
    worker.usedMemory += sign * count * specification.memoryMegabytes
    worker.usedAccelerators += sign * count * specification.accelerators
  }
}

/** Reduces the held room by the tasks that were placed, wherever they were placed. */
function shrink ({ tasksPerWorker }: Hold, step: Step, runs: readonly PlannedRun[]): void {
  for (const { worker } of runs) {
    if (release(tasksPerWorker, worker)) continue
    const [other] = tasksPerWorker.keys()
    if (other !== undefined) release(tasksPerWorker, other)
  }
  if (!step.tasks.some(({ phase }) => phase === 'waiting')) tasksPerWorker.clear()
}

/** Releases the room of one task. Returns false if none is held on the worker. */
function release (tasksPerWorker: Map<WorkerState, number>, worker: WorkerState): boolean {
  const count = tasksPerWorker.get(worker) ?? 0
  if (count > 1) tasksPerWorker.set(worker, count - 1)
  else return tasksPerWorker.delete(worker)
  return true
}
