import type { QueuePolicy } from '../contracts/clusterConfiguration.js'
import { IsolationPlan } from './isolationPlan.js'
import type { Step, Task } from './job.js'
import type { CapGate } from './organisations/organisationCaps.js'
import type { FairOrder } from './organisations/organisations.js'
import { hasTarget, type PacingController } from './serving/pacingController.js'
import { countFittingTasks, countFittingTasksOnceEnded, countPerWorker, remainingPerWorker, tasksFitOnceEnded, tasksFitWhenEmpty } from './stepFit.js'
import { FAST_WORKER_SPEED, type UrgentHeadroom } from './urgentHeadroom.js'
import { processorsOf, type WorkerState } from './workerState.js'

/** Minimum remaining validity of a ticket at placement: recording the placement and sending the start command take that long. */
const TICKET_MARGIN_MILLISECONDS = 250
/** Maximum number of gangs with reserved capacity at one time. */
const MAXIMUM_RESERVATIONS = 3
/** Priority of urgent work; it may use capacity reserved for gangs and the headroom that other work must leave free. */
export const URGENT_PRIORITY = 0

/** Weight of a worker's speed relative to the share of its processors that stays free, for urgent and for other work. */
const URGENT_SPEED_WEIGHT = 2
const BATCH_SPEED_WEIGHT = 0

/** Wait after which a step may use the headroom for urgent work, in milliseconds, if it lasts or much of the capacity is idle. */
const MAXIMUM_WAIT_FOR_HEADROOM_MILLISECONDS = 1500
/** Share of the capacity in use below which the headroom does not delay other work for long. */
const IDLE_SITE_SHARE = 0.5

/** Time from the placement of a task until it runs: recording the placement and sending the start command. */
const START_OVERHEAD_MILLISECONDS = 40

/** Predicted tail latency of a serving task, as a share of its target, from which filler work is placed elsewhere if it can be. */
const DISTURBING_SHARE = 0.9
/** Penalty for each serving task that already runs on a worker: serving tasks disturb each other. */
const SERVING_NEIGHBOUR_PENALTY = 0.5

/** Penalty for the worker that a task was moved away from. */
const MOVED_FROM_PENALTY = 1

/** Penalty for a worker with another task under which a worker has crashed: apart, the next crash tells which of them causes it. */
const SUSPECT_NEIGHBOUR_PENALTY = 1

/** What placement depends on besides the steps. */
export interface PlacementContext {
  readonly workers: ReadonlyMap<string, WorkerState>
  readonly policyOf: (step: Step) => QueuePolicy
  readonly headroom: UrgentHeadroom
  readonly pacing: PacingController
  /** Tasks whose runs must share their worker with no other runs. */
  readonly isolatedTasks: ReadonlySet<Task>
  /** Caps of organisations; absent if there are no organisations. */
  readonly caps?: CapGate
  /** Fair order of organisations; absent if there are no organisations. */
  readonly fairOrder?: FairOrder
}

/** A run that must be recorded before its start command is sent. */
export interface PlannedRun {
  readonly task: Task
  readonly run: number
  readonly worker: WorkerState
  readonly ticket: string
}

/** One pass over the steps with waiting tasks: chooses a worker for each task that can be placed. */
export class PlacementPass {
  private readonly planned: PlannedRun[] = []
  private readonly reservedWorkers = new Set<string>()
  private reservationCount = 0
  /** Largest number of free processors of a single worker at the start of the pass, for urgent and for other work, in thousandths. */
  private maximumFreeProcessors = { urgent: 0, other: 0 }
  /** Whether less than `IDLE_SITE_SHARE` of the capacity is in use. */
  private isSiteIdle = false
  /** Whether a step may use the headroom for urgent work, because it could never be placed otherwise. */
  private readonly ignoresHeadroomByStep = new Map<Step, boolean>()

  private readonly workers: ReadonlyMap<string, WorkerState>
  private readonly policyOf: (step: Step) => QueuePolicy
  private readonly headroom: UrgentHeadroom
  private readonly pacing: PacingController
  private readonly isolation: IsolationPlan
  private readonly caps: CapGate | undefined
  private readonly fairOrder: FairOrder | undefined

  constructor (private readonly steps: Step[], context: PlacementContext, private readonly now: number) {
    this.workers = context.workers
    this.policyOf = context.policyOf
    this.headroom = context.headroom
    this.pacing = context.pacing
    this.caps = context.caps
    this.fairOrder = context.fairOrder
    this.isolation = new IsolationPlan(context.isolatedTasks, step => this.eligibleWorkers(step).filter(worker => worker.isUsable(now)), now)
  }

  run (): PlannedRun[] {
    sortByPlacementOrder(this.steps, this.now, this.fairOrder)
    this.measureFreeProcessors()
    for (const step of this.steps) {
      if (this.waitsForCap(step)) step.reservation = undefined
      else if (step.specification.gang) this.placeGang(step)
      else this.placeTasks(step)
    }
    return this.planned
  }

  /** Returns true if the cap of its organisation has no room for the step. A gang that has not stopped yet waits for its own runs. */
  private waitsForCap (step: Step): boolean {
    const count = step.specification.gang ? step.tasks.length : 1
    return step.waitingCount >= count && this.caps?.admits(step, count) === false
  }

  /** Returns true if a further task of the step could be placed now. */
  isPlaceable (step: Step): boolean {
    return this.candidates(step).length > 0
  }

  /** Returns the workers on which a task of the step could start at a time if they had room. */
  workersAt (step: Step, time: number): WorkerState[] {
    return this.eligibleWorkers(step).filter(worker => worker.isUsable(this.now) && !worker.hasIsolatedRun && !this.isolation.isKeptFromOthers(step, worker) && this.ticketOf(step, worker, time) !== undefined)
  }

  private measureFreeProcessors (): void {
    let total = 0
    let used = 0
    for (const worker of this.workers.values()) {
      if (!worker.isUsable(this.now)) continue
      total += worker.entry.processorsThousandths
      used += worker.usedProcessors
      this.maximumFreeProcessors.urgent = Math.max(this.maximumFreeProcessors.urgent, worker.freeProcessors)
      this.maximumFreeProcessors.other = Math.max(this.maximumFreeProcessors.other, worker.freeProcessors - this.headroom.reservedOn(worker))
    }
    this.isSiteIdle = used < IDLE_SITE_SHARE * total
  }

  /** Returns true if no worker has free capacity for a task of the step. Avoids the search when the site is full and many steps wait. */
  private isFull (step: Step): boolean {
    const needed = processorsOf(step.specification)
    if (step.job.isUrgent || needed > this.maximumFreeProcessors.urgent) return needed > this.maximumFreeProcessors.urgent
    return needed > this.maximumFreeProcessors.other && !this.ignoresHeadroom(step)
  }

  private placeTasks (step: Step): void {
    if (this.isFull(step)) return
    const candidates = this.selectInTime(step, this.candidates(step))
    if (candidates.length === 0) return
    const perWorker = countPerWorker(step)
    for (const task of step.tasks) {
      if (task.phase !== 'waiting' || mustWaitForEvidence(task)) continue
      if (this.caps?.admits(step, 1) === false) return
      const worker = this.chooseWorker(task, this.isolation.selectFor(task, candidates), perWorker)
      if (worker === undefined && task.crashEvidence.needsIsolation) continue
      if (worker === undefined) return
      perWorker.set(worker.identity, (perWorker.get(worker.identity) ?? 0) + 1)
      this.assign(task, task.run + 1, worker)
    }
  }

  /** Places all members or none. For a gang that does not fit, capacity is reserved on the workers with the least remaining work. */
  private placeGang (step: Step): void {
    if (step.waitingCount < step.tasks.length || step.tasks.some(task => task.crashEvidence.mayBeConclusive)) return
    if (this.isFull(step)) {
      this.reserve(step)
      return
    }
    const candidates = this.selectInTime(step, this.isolation.selectForGang(step, this.candidates(step)))
    const groups = step.specification.sameRack ? groupByRack(candidates) : groupBySpeed(candidates, step.job.isUrgent)
    for (const group of [...groups, candidates]) {
      const chosen = this.chooseForGang(step, group)
      if (chosen === undefined) continue
      step.reservation = undefined
      const run = 1 + Math.max(...step.tasks.map(task => task.run))
      const checkpoint = step.tasks.find(task => task.checkpoint !== '')?.checkpoint ?? ''
      step.tasks.forEach((task, index) => {
        task.checkpoint = checkpoint
        this.assign(task, run, chosen[index] as WorkerState)
      })
      return
    }
    this.reserve(step)
  }

  private chooseForGang (step: Step, candidates: readonly WorkerState[]): WorkerState[] | undefined {
    const chosen: WorkerState[] = []
    const remaining = remainingPerWorker(step)
    for (const worker of [...candidates].sort((left, right) => right.freeProcessors - left.freeProcessors)) {
      const fitting = Math.min(remaining(worker), countFittingTasks(worker, step, this.headroomFor(step, worker)))
      for (let count = 0; count < fitting && chosen.length < step.tasks.length; count += 1) chosen.push(worker)
      if (chosen.length === step.tasks.length) return chosen
    }
    return undefined
  }

  private reserve (step: Step): void {
    const previous = step.reservation ?? new Set<string>()
    step.reservation = undefined
    if (this.reservationCount >= MAXIMUM_RESERVATIONS) return
    const fitting = this.eligibleWorkers(step).filter(worker => countFittingTasksOnceEnded(worker, step, 0) > 0)
    // A gang that its workers cannot hold together would keep them from other work for ever.
    if (!tasksFitOnceEnded(fitting, step, step.tasks.length)) return
    const eligible = fitting.filter(worker => !this.reservedWorkers.has(worker.identity))
    if (eligible.length === 0) return
    const isUsable = (worker: WorkerState): boolean => worker.isUsable(this.now)
    // Workers that are already reserved come first, so that free capacity accumulates on the same workers.
    eligible.sort((left, right) => Number(isUsable(right)) - Number(isUsable(left)) || Number(previous.has(right.identity)) - Number(previous.has(left.identity)) || remainingWork(left) - remainingWork(right))
    const reservation = new Set<string>()
    const remaining = remainingPerWorker(step)
    let members = 0
    for (const worker of eligible) {
      reservation.add(worker.identity)
      members += Math.min(remaining(worker), countFittingTasksOnceEnded(worker, step, this.ignoresHeadroom(step) ? 0 : this.headroom.reservedOnEmpty(worker)))
      if (members >= step.tasks.length) break
    }
    step.reservation = reservation
    this.reservationCount += 1
    for (const identity of reservation) this.reservedWorkers.add(identity)
  }

  /** Returns the workers on which a task of the step can be placed now. */
  private candidates (step: Step): WorkerState[] {
    const urgent = step.job.isUrgent
    return this.eligibleWorkers(step).filter(worker => {
      if (!worker.isUsable(this.now) || !worker.fits(step.specification, this.headroomFor(step, worker))) return false
      if (!urgent && this.reservedWorkers.has(worker.identity)) return false
      if (worker.hasIsolatedRun || this.isolation.isKeptFromOthers(step, worker)) return false
      return this.ticketOf(step, worker) !== undefined
    })
  }

  /** Returns the processors that a task of the step must leave free on a worker, in thousandths. */
  headroomFor (step: Step, worker: WorkerState): number {
    if (step.job.isUrgent || step.specification.filler) return 0
    const reserved = this.headroom.reservedOn(worker)
    return reserved === 0 || this.ignoresHeadroom(step) ? 0 : reserved
  }

  /**
   * Returns true if, beside the headroom for urgent work, a task of the step fits on no eligible worker, or its gang does not fit on all
   * of them together, or if the step has waited for long although capacity is idle. Tasks that last do not wait for long on a full site either.
   */
  private ignoresHeadroom (step: Step): boolean {
    const hasWaited = step.waitingSince !== undefined && this.now - step.waitingSince >= MAXIMUM_WAIT_FOR_HEADROOM_MILLISECONDS
    if (hasWaited && (this.isSiteIdle || step.specification.longRunning)) return true
    const cached = this.ignoresHeadroomByStep.get(step)
    if (cached !== undefined) return cached
    const needed = step.specification.gang ? step.tasks.length : 1
    const ignores = !tasksFitWhenEmpty(this.eligibleWorkers(step), step, needed, this.headroom)
    this.ignoresHeadroomByStep.set(step, ignores)
    return ignores
  }

  /**
   * Returns the candidates that can finish urgent work in time. If there are none, urgent work waits as long as a faster worker
   * could still finish it in time; after that, all candidates are returned.
   */
  private selectInTime (step: Step, candidates: WorkerState[]): WorkerState[] {
    if (!step.job.isUrgent) return candidates
    const left = step.job.objectiveAt - this.now - START_OVERHEAD_MILLISECONDS
    const isInTime = (worker: WorkerState): boolean => step.specification.estimateMilliseconds / worker.speed <= left
    const selected = candidates.filter(isInTime)
    if (selected.length > 0) return selected
    return this.eligibleWorkers(step).some(isInTime) ? [] : candidates
  }

  /**
   * Returns the workers of the queue's pool that have reported and have the required label and, if the queue uses the eligibility service,
   * are named by it. A listed worker that has never reported may not exist; work that waited for it would wait for ever.
   */
  private eligibleWorkers (step: Step): WorkerState[] {
    const { pool, eligibility } = this.policyOf(step)
    const named = eligibility === undefined ? undefined : step.eligibility.tickets
    const found: WorkerState[] = []
    for (const worker of named === undefined ? this.workers.values() : [...named.keys()].map(identity => this.workers.get(identity))) {
      if (worker !== undefined && worker.entry.pool === pool && worker.hasReported && worker.isListed && worker.entry.state === 'ready' && worker.hasLabel(step.specification)) found.push(worker)
    }
    return found
  }

  /** Returns the ticket for a start at a time; empty if none is required, undefined if there is no valid one. */
  private ticketOf (step: Step, worker: WorkerState, time = this.now): string | undefined {
    if (this.policyOf(step).eligibility === undefined) return ''
    const ticket = step.eligibility.tickets.get(worker.identity)
    return ticket !== undefined && ticket.validUntil - TICKET_MARGIN_MILLISECONDS > time ? ticket.ticket : undefined
  }

  private chooseWorker (task: Task, candidates: readonly WorkerState[], perWorker: ReadonlyMap<string, number>): WorkerState | undefined {
    const { step, movedFrom } = task
    const specification = step.specification
    let best: WorkerState | undefined
    let bestScore = Infinity
    for (const worker of candidates) {
      if (!worker.fits(specification, this.headroomFor(step, worker))) continue
      if (specification.maximumPerWorker > 0 && (perWorker.get(worker.identity) ?? 0) >= specification.maximumPerWorker) continue
      const score = this.scoreOf(step, worker) + (worker.identity === movedFrom ? MOVED_FROM_PENALTY : 0) + (task.crashEvidence.isSuspect && worker.suspects.size > 0 ? SUSPECT_NEIGHBOUR_PENALTY : 0)
      if (score >= bestScore) continue
      best = worker
      bestScore = score
    }
    return best
  }

  /** Rates a worker for a task of the step; the lowest score is the best. */
  private scoreOf (step: Step, worker: WorkerState): number {
    const specification = step.specification
    const processors = Math.max(1, worker.entry.processorsThousandths)
    const rackPenalty = specification.dataRack !== '' && !worker.entry.labels.includes(specification.dataRack) ? 1 : 0
    if (specification.filler) return rackPenalty - (worker.freeProcessors - worker.fillerProcessors) / processors + this.disturbancePenalty(step, worker)
    const remainingShare = (worker.freeProcessors - processorsOf(specification)) / processors
    const speedWeight = step.job.isUrgent ? URGENT_SPEED_WEIGHT : BATCH_SPEED_WEIGHT
    return remainingShare - speedWeight * worker.speed + rackPenalty + this.interferencePenalty(step, worker)
  }

  /** Returns the penalty for filler work on a worker whose serving tasks it would disturb. */
  private disturbancePenalty (step: Step, worker: WorkerState): number {
    const [task] = step.tasks
    if (task === undefined) return 0
    if (this.pacing.avoidsFillers(worker, this.now)) return 2
    return this.pacing.predictWorstShare(worker, task) > DISTURBING_SHARE ? 1 : 0
  }

  /** Returns the penalty for a serving task on a worker whose other work would disturb it. */
  private interferencePenalty (step: Step, worker: WorkerState): number {
    const [task] = step.tasks
    if (task === undefined || !hasTarget(task)) return 0
    let neighbours = 0
    for (const other of worker.runs.values()) {
      if (hasTarget(other)) neighbours += 1
    }
    return SERVING_NEIGHBOUR_PENALTY * neighbours + this.pacing.predictDisturbance(worker, task)
  }

  private assign (task: Task, run: number, worker: WorkerState): void {
    const ticket = this.ticketOf(task.step, worker) ?? ''
    task.beginRun(run, worker.identity, worker.processStartedAt)
    if (task.step.specification.filler) task.pacePercent = this.pacing.initialPaceOn(worker, this.now)
    worker.allocate(task)
    this.planned.push({ task, run, worker, ticket })
  }
}

/**
 * Returns true if a task must wait until it is known whether it has crashed its latest worker, or for another suspect task of its step, so that a job whose tasks all
 * crash their workers takes no more workers along than needed. Tasks that last do not wait for one that does not end.
 */
function mustWaitForEvidence (task: Task): boolean {
  const { step } = task
  if (task.crashEvidence.mayBeConclusive) return true
  if (!task.crashEvidence.isSuspect || step.hasClearedSuspect || step.specification.longRunning) return false
  return step.tasks.some(other => other !== task && other.crashEvidence.isSuspect && other.hasRun)
}

/** Classes of work in placement order. */
const enum PlacementClass { UrgentInTime, UrgentLate, Serving, InTime, Late, Deferred, Overdue }

/**
 * Sorts steps by placement class, and by objective within a class. Late urgent work precedes all non-urgent work while it still
 * earns a benefit, because it is small and has already waited. Long-running work is missed in each second in which it does not
 * run, however old its job is. Work that a fair order of organisations defers goes before overdue work, which comes last.
 */
export function sortByPlacementOrder (steps: Step[], now: number, fairOrder?: FairOrder): void {
  const classes = new Map(steps.map(step => [step, fairOrder?.isDeferred(step) === true ? deferredClassOf(step, now) : placementClassOf(step, now)]))
  const classOf = (step: Step): PlacementClass => classes.get(step) as PlacementClass
  steps.sort((left, right) => classOf(left) - classOf(right) || left.job.objectiveAt - right.job.objectiveAt || left.index - right.index)
  fairOrder?.reorder(steps, classOf)
}

function deferredClassOf (step: Step, now: number): PlacementClass {
  return Math.max(PlacementClass.Deferred, placementClassOf(step, now))
}

function placementClassOf ({ job, specification }: Step, now: number): PlacementClass {
  if (specification.longRunning && !specification.filler) return PlacementClass.Serving
  if (now > job.lateUntil) return PlacementClass.Overdue
  if (now > job.objectiveAt) return job.isUrgent ? PlacementClass.UrgentLate : PlacementClass.Late
  return job.isUrgent ? PlacementClass.UrgentInTime : PlacementClass.InTime
}

/** Returns the estimated remaining work of a worker, in thousandths of a core times milliseconds. */
function remainingWork (worker: WorkerState): number {
  let work = 0
  for (const task of worker.runs.values()) {
    const step = task.step.specification
    work += processorsOf(step) * step.estimateMilliseconds * (1 - task.percent / 100)
  }
  return work
}

/** Separates fast workers from slow ones: the members of a gang finish together, so fast workers would wait for slow ones. */
function groupBySpeed (workers: readonly WorkerState[], fastFirst: boolean): WorkerState[][] {
  const slow = workers.filter(worker => worker.speed < FAST_WORKER_SPEED)
  const fast = workers.filter(worker => worker.speed >= FAST_WORKER_SPEED)
  return fastFirst ? [fast, slow] : [slow, fast]
}

/** Groups workers by their last label, which is taken to be the rack. */
function groupByRack (workers: readonly WorkerState[]): WorkerState[][] {
  const groups = new Map<string, WorkerState[]>()
  for (const worker of workers) {
    const rack = worker.entry.labels.at(-1) ?? ''
    const group = groups.get(rack) ?? []
    group.push(worker)
    groups.set(rack, group)
  }
  return [...groups.values()].sort((left, right) => right.length - left.length)
}
