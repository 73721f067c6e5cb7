import type { Job, Step } from '../job.js'
import type { WorkerState } from '../workerState.js'
import { benefitShareAt, coresOf, LATE_BENEFIT_SHARE, remainingPathAfter, VictimSelector, type Victim } from './victim.js'
import type { PreemptionHistory } from './preemptionHistory.js'
import { WorkerRoom, type HeldAmounts } from './workerRoom.js'

/** Maximum number of workers that are examined for one step. */
const MAXIMUM_CANDIDATE_WORKERS = 48
/** Time from the end of a victim until the start of a task in its place: report, placement, record and start command, in milliseconds. */
const START_MILLISECONDS = 60
/** Slack beyond the duration of a stop for which a step waits for runs to end by themselves, in milliseconds. */
const PATIENCE_MILLISECONDS = 1000
/** Additional worth of a core-second of work for each level of priority that it is more urgent than its victim. */
const WORTH_PER_PRIORITY = 2
/** Bound on the relative worth, whatever the number of levels. */
const MAXIMUM_WORTH = 5
/** Time in service that a start of a task that lasts is worth, in milliseconds. */
const SERVICE_HORIZON_MILLISECONDS = 10_000
/** Use of an organisation relative to its weighted share below which it preempts by share, and above which it is preempted. */
const LOW_SHARE = 0.8
const HIGH_SHARE = 1.2

/** How much of the capacity organisations use. */
export interface OrganisationShares {
  /** Returns the organisation of a job; undefined if it has none. */
  organisationOf (job: Job): string | undefined
  /** Returns the use of an organisation divided by its weighted share: 1 if it uses exactly its share. */
  weightedShareOf (organisation: string): number
}

/** Why a run is preempted: by a more urgent queue, or by an organisation below its share. */
export type PreemptionReason = 'priority' | 'share'

/** Runs to stop for a step, and the room that is then held for it. */
export interface Preemption {
  readonly step: Step
  readonly reason: PreemptionReason
  readonly victims: readonly Victim[]
  /** Number of tasks of the step that are to start on each worker. */
  readonly tasksPerWorker: ReadonlyMap<WorkerState, number>
  /** Organisations whose runs are preempted by share. */
  readonly preemptedOrganisations: readonly string[]
}

/** What a plan depends on besides the steps. */
export interface PreemptionContext {
  readonly workers: ReadonlyMap<string, WorkerState>
  readonly priorityOf: (step: Step) => number
  /** Returns the workers on which a task of the step could start at a time if they had room. */
  readonly workersAt: (step: Step, time: number) => readonly WorkerState[]
  /** Returns the processors that a task of the step must leave free on a worker, in thousandths of a core. */
  readonly headroomFor: (step: Step, worker: WorkerState) => number
  readonly heldOn: (worker: WorkerState) => HeldAmounts | undefined
  readonly history: PreemptionHistory
  /** Organisations whose runs are being stopped by share; the ledger still counts them. */
  readonly organisationsInFlight: ReadonlySet<string>
  readonly shares: OrganisationShares | undefined
  readonly stopMilliseconds: number
  readonly restoreMilliseconds: number
  /** Unsaved work that may be thrown away, in core-milliseconds. */
  readonly lossBudget: number
  /** Number of runs that may be stopped. */
  readonly stopBudget: number
}

/** Room of a worker as it is used up by the tasks of one step. */
interface Slot {
  readonly room: WorkerRoom
  readonly headroom: number
  /** Number of tasks of the step that may still be added. */
  limit: number
  tasks: number
  /** Victims that make room for one more task; undefined while they are not known. */
  next: Choice | 'none' | undefined
}

/** Victims on one worker that are preempted together. */
interface Choice {
  readonly slot: Slot
  readonly victims: readonly Victim[]
  readonly cost: number
}

/** Chooses the runs to stop for steps that cannot be placed. Performs no I/O and changes no state but its own. */
export class PreemptionPlanner {
  private readonly rooms = new Map<string, WorkerRoom>()
  private readonly selector: VictimSelector
  private readonly taken = new Set<Victim>()
  private readonly takenOrganisations: Set<string>
  private lossBudget: number
  private stopBudget: number

  constructor (private readonly context: PreemptionContext, private readonly now: number) {
    this.selector = new VictimSelector(context.workers, context.priorityOf, context.history, context.stopMilliseconds, context.restoreMilliseconds, now)
    this.takenOrganisations = new Set(context.organisationsInFlight)
    this.lossBudget = context.lossBudget
    this.stopBudget = context.stopBudget
  }

  /** Plans for one step. Must be called in placement order: each step uses up the room that is free or ends soon. Returns undefined if the step waits. */
  plan (step: Step): Preemption | undefined {
    if (this.stopBudget <= 0) return undefined
    const startAt = this.now + this.context.stopMilliseconds + START_MILLISECONDS
    const workers = sample(this.context.workersAt(step, startAt), MAXIMUM_CANDIDATE_WORKERS)
    const shares = new Map(workers.map(worker => [worker, this.shareOn(step, worker, startAt)]))
    for (const share of [1, LATE_BENEFIT_SHARE]) {
      const suitable = workers.filter(worker => (shares.get(worker) as number) >= share)
      if (suitable.length === 0) continue
      if (share === 1 && suitable.some(worker => this.canWait(step, worker))) return undefined
      const search = new VictimSearch(step, suitable.map(worker => this.slotOf(step, worker)), this.gainPerTask(step, share), {
        taken: this.taken, lossBudget: this.lossBudget, stopBudget: this.stopBudget, stopMilliseconds: this.context.stopMilliseconds, worthOf: victim => this.worthOf(step, victim)
      })
      const isCovered = search.useFreeRoom()
      if (isCovered || search.run()) return this.accept(step, search)
      search.undo()
    }
    return undefined
  }

  /** Returns the share of the benefit that the step's job earns if a task starts on a worker. */
  private shareOn (step: Step, worker: WorkerState, startAt: number): number {
    const { longRunning, estimateMilliseconds } = step.specification
    return longRunning ? 1 : benefitShareAt(step.job, startAt + estimateMilliseconds / worker.speed + remainingPathAfter(step))
  }

  /** Returns true if a task of the step would be in time on the worker although it waited for runs to end by themselves. */
  private canWait (step: Step, worker: WorkerState): boolean {
    const { longRunning, estimateMilliseconds } = step.specification
    if (longRunning) return false
    const endsAt = this.now + START_MILLISECONDS + estimateMilliseconds / worker.speed + remainingPathAfter(step)
    return step.job.objectiveAt - endsAt > this.context.stopMilliseconds + PATIENCE_MILLISECONDS
  }

  /** Returns the work of a task, weighted with what its job loses by a lower share of the benefit. */
  private gainPerTask (step: Step, share: number): number {
    const { longRunning, estimateMilliseconds } = step.specification
    const work = coresOf(step) * (longRunning ? SERVICE_HORIZON_MILLISECONDS : estimateMilliseconds)
    return work * (share === 1 ? 1 - LATE_BENEFIT_SHARE : LATE_BENEFIT_SHARE)
  }

  private slotOf (step: Step, worker: WorkerState): Slot {
    let room = this.rooms.get(worker.identity)
    if (room === undefined) {
      room = new WorkerRoom(worker, this.context.heldOn(worker), this.selector, this.context.stopMilliseconds, this.now)
      this.rooms.set(worker.identity, room)
    }
    return { room, headroom: this.context.headroomFor(step, worker), limit: countAllowed(step, worker), tasks: 0, next: undefined }
  }

  /** Returns the worth of the step's work relative to that of a victim; 0 if the step must not preempt it. */
  private worthOf (step: Step, victim: Victim): number {
    const levels = victim.priority - this.context.priorityOf(step)
    if (levels > 0) return Math.min(MAXIMUM_WORTH, 1 + WORTH_PER_PRIORITY * levels)
    return levels === 0 && this.mayPreemptByShare(step, victim) ? 1 + WORTH_PER_PRIORITY : 0
  }

  private mayPreemptByShare (step: Step, victim: Victim): boolean {
    const { shares, history } = this.context
    const own = shares?.organisationOf(step.job)
    const other = shares?.organisationOf(victim.step.job)
    if (shares === undefined || own === undefined || other === undefined || own === other) return false
    if (shares.weightedShareOf(own) > LOW_SHARE || shares.weightedShareOf(other) < HIGH_SHARE) return false
    // Otherwise two organisations would take turns.
    if (this.takenOrganisations.has(other) || history.hasPreemptedByShare(other, this.now)) return false
    return step.tasks.every(task => history.countOf(task) === 0)
  }

  private accept (step: Step, search: VictimSearch): Preemption | undefined {
    const { victims } = search
    if (victims.length === 0) return undefined
    const priority = this.context.priorityOf(step)
    const preemptedOrganisations: string[] = []
    for (const victim of victims) {
      this.taken.add(victim)
      this.lossBudget -= victim.unsaved
      this.stopBudget -= victim.tasks.length
      for (const worker of new Set(victim.tasks.map(task => task.worker))) this.addFreed(victim, worker, search)
      const organisation = victim.priority > priority ? undefined : this.context.shares?.organisationOf(victim.step.job)
      if (organisation === undefined) continue
      preemptedOrganisations.push(organisation)
      this.takenOrganisations.add(organisation)
    }
    return { step, reason: preemptedOrganisations.length > 0 ? 'share' : 'priority', victims, tasksPerWorker: search.tasksPerWorker, preemptedOrganisations }
  }

  /** Adds the room that a gang frees on workers that the search has not used. */
  private addFreed (victim: Victim, worker: string, search: VictimSearch): void {
    const room = this.rooms.get(worker)
    if (room !== undefined && !search.includes(room)) room.add(victim.step, room.countTasks(victim))
  }
}

interface SearchLimits {
  readonly taken: ReadonlySet<Victim>
  readonly lossBudget: number
  readonly stopBudget: number
  readonly stopMilliseconds: number
  /** Returns the worth of the step's work relative to that of a victim; 0 for runs that must not be preempted. */
  readonly worthOf: (victim: Victim) => number
}

/** Searches the cheapest victims that make room for the tasks of one step. */
class VictimSearch {
  readonly victims: Victim[] = []
  private missing: number
  private cost = 0
  private unsaved = 0
  private stops = 0

  constructor (private readonly step: Step, private readonly slots: readonly Slot[], private readonly gainPerTask: number, private readonly limits: SearchLimits) {
    this.missing = step.waitingCount
  }

  get tasksPerWorker (): Map<WorkerState, number> {
    return new Map(this.slots.filter(({ tasks }) => tasks > 0).map(({ room, tasks }) => [room.worker, tasks]))
  }

  includes (room: WorkerRoom): boolean {
    return this.slots.some(slot => slot.room === room)
  }

  /** Assigns tasks to room that is free or becomes free soon. Returns true if it is enough for all. */
  useFreeRoom (): boolean {
    for (const slot of this.slots) this.fill(slot)
    return this.missing === 0
  }

  /** Searches victims. Returns true if stopping them is worth it: for all members of a gang, or for at least one other task. */
  run (): boolean {
    const isGang = this.step.specification.gang
    while (this.missing > 0) {
      const next = this.findCheapest()
      if (next === undefined) break
      if (isGang && this.cost + next.cost > this.step.tasks.length * this.gainPerTask * this.worthRelativeTo(next.victims)) return false
      this.take(next.victims)
      this.fill(next.slot)
    }
    return this.victims.length > 0 && (!isGang || this.missing === 0)
  }

  /** Returns the room to what it was before the search. */
  undo (): void {
    for (const slot of this.slots) {
      slot.room.add(this.step, slot.tasks)
      for (const victim of this.victims) slot.room.add(victim.step, -slot.room.countTasks(victim))
    }
  }

  private fill (slot: Slot): void {
    while (this.missing > 0 && slot.limit > 0 && slot.room.fits(this.step, slot.headroom)) {
      slot.room.add(this.step, -1)
      slot.tasks += 1
      slot.limit -= 1
      this.missing -= 1
    }
  }

  private take (victims: readonly Victim[]): void {
    for (const victim of victims) {
      this.victims.push(victim)
      this.cost += victim.cost
      this.unsaved += victim.unsaved
      this.stops += victim.tasks.length
      for (const slot of this.slots) {
        const count = slot.room.countTasks(victim)
        if (count === 0) continue
        slot.room.add(victim.step, count)
        slot.next = undefined
      }
    }
  }

  /** Returns the cheapest victims that make room for one more task; undefined if none are worth it. */
  private findCheapest (): Choice | undefined {
    let best: Choice | undefined
    for (const slot of this.slots) {
      if (slot.limit === 0) continue
      slot.next ??= this.findChoice(slot)
      if (slot.next === 'none' || (best !== undefined && slot.next.cost >= best.cost) || !this.isWithinBudget(slot.next.victims)) continue
      best = slot.next
    }
    return best
  }

  private findChoice (slot: Slot): Choice | 'none' {
    // Capacity that is idle during a stop is a part of every cost; this spares most searches for work that is late already.
    if (slot.room.missingCores(this.step, slot.headroom) * this.limits.stopMilliseconds > this.gainPerTask * MAXIMUM_WORTH) return 'none'
    const victims = this.findVictims(slot)
    if (victims === undefined) return 'none'
    const cost = victims.reduce((sum, victim) => sum + victim.cost, 0)
    // A gang is worth what it costs as a whole.
    const isWorthIt = this.step.specification.gang || cost <= this.gainPerTask * this.worthRelativeTo(victims)
    return isWorthIt ? { slot, victims, cost } : 'none'
  }

  /** Returns true if the victims may be added. The last one may exceed the loss budget, so that a small site is not left without any. */
  private isWithinBudget (victims: readonly Victim[]): boolean {
    let { unsaved, stops } = this
    for (const victim of victims) {
      if (victim.unsaved > 0 && unsaved >= this.limits.lossBudget) return false
      unsaved += victim.unsaved
      stops += victim.tasks.length
    }
    return stops <= this.limits.stopBudget
  }

  /** Returns victims on a worker that make room for one more task there. */
  private findVictims ({ room, headroom }: Slot): Victim[] | undefined {
    const chosen: Victim[] = []
    for (const victim of room.victims) {
      if (this.limits.taken.has(victim) || this.victims.includes(victim) || this.limits.worthOf(victim) === 0) continue
      chosen.push(victim)
      if (!this.isWithinBudget(chosen)) chosen.pop()
      else if (room.fits(this.step, headroom, chosen)) return this.withoutUnneeded(room, headroom, chosen)
    }
    return undefined
  }

  /** Removes victims that later, larger ones have made unnecessary, the costliest first. */
  private withoutUnneeded (room: WorkerRoom, headroom: number, victims: Victim[]): Victim[] {
    let needed = victims
    for (const victim of [...victims].sort((left, right) => right.cost - left.cost)) {
      const others = needed.filter(other => other !== victim)
      if (room.fits(this.step, headroom, others)) needed = others
    }
    return needed
  }

  private worthRelativeTo (victims: readonly Victim[]): number {
    return Math.min(...victims.map(this.limits.worthOf))
  }
}

/** Returns the number of further tasks of a step that may run on a worker. */
function countAllowed (step: Step, worker: WorkerState): number {
  const maximum = step.specification.maximumPerWorker
  if (maximum === 0) return Infinity
  return maximum - step.tasks.filter(task => task.hasRun && task.worker === worker.identity).length
}

/** Returns up to `maximum` elements, evenly spread. */
function sample<T> (elements: readonly T[], maximum: number): readonly T[] {
  if (elements.length <= maximum) return elements
  return Array.from({ length: maximum }, (_, index) => elements[Math.floor(index * elements.length / maximum)] as T)
}
