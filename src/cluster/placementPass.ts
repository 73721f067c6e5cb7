import type { QueuePolicy } from '../contracts/clusterConfiguration.js'
import type { Job, Step, Task } from './job.js'
import { FAST_WORKER_SPEED, type UrgentHeadroom } from './urgentHeadroom.js'
import { processorsOf, type WorkerState } from './workerState.js'

/** Part of a ticket's validity that must be left when a start is placed, in milliseconds: the record and the order take that long. */
const TICKET_MARGIN_MILLISECONDS = 250
/** Gangs for which room may be kept at one time. */
const MAXIMUM_RESERVATIONS = 3
/** Priority of urgent work; it may use room that is kept for gangs, or free of other work. */
export const URGENT_PRIORITY = 0

/** Weight of a worker's speed against the share of its processors left free, for urgent and for other work. */
const URGENT_SPEED_WEIGHT = 2
const BATCH_SPEED_WEIGHT = 0

/** Time from a placement until the task runs, in milliseconds: its record and its order. */
const START_OVERHEAD_MILLISECONDS = 40

/** A run that is to be recorded and then ordered. */
export interface PlannedRun {
  readonly task: Task
  readonly run: number
  readonly worker: WorkerState
  readonly ticket: string
}

/** One pass over the steps with tasks that wait: chooses a worker for each task that has one. */
export class PlacementPass {
  private readonly planned: PlannedRun[] = []
  private readonly reserved = new Set<string>()
  private reservations = 0
  /** Most processors that any worker had free when the pass began, for urgent and for other work, in thousandths. */
  private mostFree = { urgent: 0, other: 0 }
  /** Steps for which no room is kept free, because they could never be placed otherwise. */
  private readonly allRoom = new Map<Step, boolean>()

  constructor (
    private readonly steps: Step[],
    private readonly workers: ReadonlyMap<string, WorkerState>,
    private readonly policyOf: (step: Step) => QueuePolicy,
    private readonly headroom: UrgentHeadroom,
    private readonly now: number
  ) {}

  run (): PlannedRun[] {
    sortByPlacementOrder(this.steps, this.now)
    this.measureRoom()
    for (const step of this.steps) {
      if (step.specification.gang) this.placeGang(step)
      else this.placeEach(step)
    }
    return this.planned
  }

  private measureRoom (): void {
    for (const worker of this.workers.values()) {
      if (!worker.isUsable(this.now)) continue
      this.mostFree.urgent = Math.max(this.mostFree.urgent, worker.freeProcessors)
      this.mostFree.other = Math.max(this.mostFree.other, worker.freeProcessors - this.headroom.reservedOn(worker))
    }
  }

  /** Whether no worker has room for a task of the step; spares the search where the site is full and much is waiting. */
  private isFull (step: Step): boolean {
    const needed = processorsOf(step.specification)
    if (step.job.isUrgent || needed > this.mostFree.urgent) return needed > this.mostFree.urgent
    return needed > this.mostFree.other && !this.needsAllRoom(step)
  }

  private placeEach (step: Step): void {
    if (this.isFull(step)) return
    const candidates = this.inTime(step, this.candidates(step))
    if (candidates.length === 0) return
    const perWorker = countPerWorker(step)
    for (const task of step.tasks) {
      if (task.phase !== 'waiting') continue
      const worker = this.choose(step, candidates, perWorker)
      if (worker === undefined) return
      perWorker.set(worker.identity, (perWorker.get(worker.identity) ?? 0) + 1)
      this.assign(task, task.run + 1, worker)
    }
  }

  /** Places all members or none. A gang that does not fit keeps room on the workers that are free soonest. */
  private placeGang (step: Step): void {
    if (step.waitingCount < step.tasks.length) return
    if (this.isFull(step)) {
      this.reserve(step)
      return
    }
    const candidates = this.inTime(step, this.candidates(step))
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
    const perWorker = new Map<string, number>()
    const specification = step.specification
    const limit = specification.maximumPerWorker === 0 ? Infinity : specification.maximumPerWorker
    for (const worker of [...candidates].sort((left, right) => right.freeProcessors - left.freeProcessors)) {
      let room = roomFor(worker, step, this.headroomFor(step, worker))
      while (room > 0 && chosen.length < step.tasks.length && (perWorker.get(worker.identity) ?? 0) < limit) {
        chosen.push(worker)
        perWorker.set(worker.identity, (perWorker.get(worker.identity) ?? 0) + 1)
        room -= 1
      }
      if (chosen.length === step.tasks.length) return chosen
    }
    return undefined
  }

  private reserve (step: Step): void {
    if (this.reservations >= MAXIMUM_RESERVATIONS) return
    const eligible = this.eligibleWorkers(step).filter(worker => worker.fitsWhenEmpty(step.specification) && !this.reserved.has(worker.identity))
    if (eligible.length === 0) return
    const kept = step.reservation ?? new Set<string>()
    // Workers that are already kept come first, so that the room gathers in one place.
    eligible.sort((left, right) => Number(kept.has(right.identity)) - Number(kept.has(left.identity)) || remainingWork(left) - remainingWork(right))
    const reservation = new Set<string>()
    let members = 0
    for (const worker of eligible) {
      reservation.add(worker.identity)
      members += capacityFor(worker, step, this.needsAllRoom(step) ? 0 : this.headroom.reservedOnEmpty(worker))
      if (members >= step.tasks.length) break
    }
    step.reservation = reservation
    this.reservations += 1
    for (const identity of reservation) this.reserved.add(identity)
  }

  /** Workers that may take a task of the step now. */
  private candidates (step: Step): WorkerState[] {
    const urgent = step.job.isUrgent
    return this.eligibleWorkers(step).filter(worker => {
      if (!worker.isUsable(this.now) || !worker.fits(step.specification, this.headroomFor(step, worker))) return false
      if (!urgent && this.reserved.has(worker.identity)) return false
      return this.ticketOf(step, worker) !== undefined
    })
  }

  private headroomFor (step: Step, worker: WorkerState): number {
    if (step.job.isUrgent) return 0
    const kept = this.headroom.reservedOn(worker)
    return kept === 0 || this.needsAllRoom(step) ? 0 : kept
  }

  /** Whether the step's tasks fit on no eligible worker, or its gang on all of them together, beside the room kept for urgent work. */
  private needsAllRoom (step: Step): boolean {
    const known = this.allRoom.get(step)
    if (known !== undefined) return known
    const needed = step.specification.gang ? step.tasks.length : 1
    const needsAll = !tasksFitWhenEmpty(this.eligibleWorkers(step), step, needed, this.headroom)
    this.allRoom.set(step, needsAll)
    return needsAll
  }

  /**
   * Of the candidates for urgent work, those that finish it in time. If there is none, urgent work waits for a faster worker
   * as long as that one could still be in time; after that any worker will do.
   */
  private inTime (step: Step, candidates: WorkerState[]): WorkerState[] {
    if (!step.job.isUrgent) return candidates
    const left = step.job.objectiveAt - this.now - START_OVERHEAD_MILLISECONDS
    const isInTime = (worker: WorkerState): boolean => step.specification.estimateMilliseconds / worker.speed <= left
    const fast = candidates.filter(isInTime)
    if (fast.length > 0) return fast
    return this.eligibleWorkers(step).some(isInTime) ? [] : candidates
  }

  /** Workers of the queue's pool that have the label and, where a service decides, are named by it. */
  private eligibleWorkers (step: Step): WorkerState[] {
    const { pool, eligibility } = this.policyOf(step)
    const named = eligibility === undefined ? undefined : step.eligibility.tickets
    const found: WorkerState[] = []
    for (const worker of named === undefined ? this.workers.values() : [...named.keys()].map(identity => this.workers.get(identity))) {
      if (worker !== undefined && worker.entry.pool === pool && worker.isListed && worker.entry.state === 'ready' && worker.hasLabel(step.specification)) found.push(worker)
    }
    return found
  }

  /** Ticket for a start now; empty where none is needed, undefined where there is no valid one. */
  private ticketOf (step: Step, worker: WorkerState): string | undefined {
    if (this.policyOf(step).eligibility === undefined) return ''
    const ticket = step.eligibility.tickets.get(worker.identity)
    return ticket !== undefined && ticket.validUntil - TICKET_MARGIN_MILLISECONDS > this.now ? ticket.ticket : undefined
  }

  private choose (step: Step, candidates: readonly WorkerState[], perWorker: ReadonlyMap<string, number>): WorkerState | undefined {
    const specification = step.specification
    const speedWeight = step.job.isUrgent ? URGENT_SPEED_WEIGHT : BATCH_SPEED_WEIGHT
    let best: WorkerState | undefined
    let bestScore = Infinity
    for (const worker of candidates) {
      if (!worker.fits(specification, this.headroomFor(step, worker))) continue
      if (specification.maximumPerWorker > 0 && (perWorker.get(worker.identity) ?? 0) >= specification.maximumPerWorker) continue
      const leftOver = (worker.freeProcessors - processorsOf(specification)) / Math.max(1, worker.entry.processorsThousandths)
      const away = specification.dataRack !== '' && !worker.entry.labels.includes(specification.dataRack) ? 1 : 0
      const score = leftOver - speedWeight * worker.speed + away
      if (score >= bestScore) continue
      best = worker
      bestScore = score
    }
    return best
  }

  private assign (task: Task, run: number, worker: WorkerState): void {
    const ticket = this.ticketOf(task.step, worker) ?? ''
    task.run = run
    task.worker = worker.identity
    task.phase = 'placed'
    worker.allocate(task)
    this.planned.push({ task, run, worker, ticket })
  }
}

/** Classes of work in the order in which they are placed. */
const enum Turn { UrgentInTime, UrgentLate, InTime, Late, Overdue }

/**
 * Sorts steps by their turn, and by objective within one turn. Urgent work that is late comes before all other work while it
 * is still worth something: it is small and has been waited for. Work that is overdue comes last.
 */
export function sortByPlacementOrder (steps: Step[], now: number): void {
  const turns = new Map(steps.map(step => [step, turnOf(step.job, now)]))
  steps.sort((left, right) => (turns.get(left) as Turn) - (turns.get(right) as Turn) || left.job.objectiveAt - right.job.objectiveAt || left.index - right.index)
}

function turnOf (job: Job, now: number): Turn {
  if (now > job.lateUntil) return Turn.Overdue
  if (now > job.objectiveAt) return job.isUrgent ? Turn.UrgentLate : Turn.Late
  return job.isUrgent ? Turn.UrgentInTime : Turn.InTime
}

function countPerWorker (step: Step): Map<string, number> {
  const counts = new Map<string, number>()
  if (step.specification.maximumPerWorker === 0) return counts
  for (const task of step.tasks) {
    if (task.hasRun) counts.set(task.worker, (counts.get(task.worker) ?? 0) + 1)
  }
  return counts
}

/** Tasks of the step that fit beside what is on the worker. */
function roomFor (worker: WorkerState, step: Step, headroom: number): number {
  return tasksWithin(step, worker.freeProcessors - headroom, worker.freeMemory, worker.entry.accelerators - worker.usedAccelerators)
}

/** Tasks of the step that the empty worker could carry beside the room that is kept free on it. */
function capacityFor (worker: WorkerState, step: Step, headroom: number): number {
  return Math.max(0, tasksWithin(step, worker.entry.processorsThousandths - headroom, worker.entry.memoryMegabytes, worker.entry.accelerators))
}

/** Whether the workers, if they were empty, could carry this many tasks of the step beside the room kept for urgent work. */
export function tasksFitWhenEmpty (workers: readonly WorkerState[], step: Step, count: number, headroom: UrgentHeadroom): boolean {
  let left = count
  for (const worker of workers) {
    left -= capacityFor(worker, step, step.job.isUrgent ? 0 : headroom.reservedOnEmpty(worker))
    if (left <= 0) return true
  }
  return left <= 0
}

function tasksWithin (step: Step, processors: number, memory: number, accelerators: number): number {
  const specification = step.specification
  return Math.min(step.tasks.length, quotient(processors, processorsOf(specification)), quotient(memory, specification.memoryMegabytes), quotient(accelerators, specification.accelerators))
}

function quotient (available: number, demand: number): number {
  return demand === 0 ? Infinity : Math.floor(available / demand)
}

/** Estimated work that is left on a worker, in thousandths of a core times milliseconds. */
function remainingWork (worker: WorkerState): number {
  let work = 0
  for (const task of worker.runs.values()) {
    const step = task.step.specification
    work += processorsOf(step) * step.estimateMilliseconds * (1 - task.percent / 100)
  }
  return work
}

/** Fast and slow workers apart: members of a gang end together, so that fast workers would wait for slow ones. */
function groupBySpeed (workers: readonly WorkerState[], fastFirst: boolean): WorkerState[][] {
  const slow = workers.filter(worker => worker.speed < FAST_WORKER_SPEED)
  const fast = workers.filter(worker => worker.speed >= FAST_WORKER_SPEED)
  return fastFirst ? [fast, slow] : [slow, fast]
}

/** Groups by the label that looks like a rack: workers that share all labels are taken as one group. */
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
