import type { Task } from '../job.js'
import type { WorkerState } from '../workerState.js'
import { planDeparture } from './drainPlanner.js'
import { hasTarget, PacingController, type PaceChange } from './pacingController.js'

/** Longest wait of a poll of a worker whose serving tasks share it with filler work, in milliseconds; the period of the worker's own measurements. */
const SHARED_POLL_WAIT_MILLISECONDS = 500

/** A pace that is to be sent to the worker of a run. */
export interface PendingPace {
  readonly task: Task
  readonly run: number
  readonly worker: string
  readonly percent: number
}

/** Receives the decisions of the supervisor. */
export interface ServingObserver {
  onDidChangePace (worker: WorkerState, change: PaceChange): void
  onDidCrossTarget (worker: WorkerState, task: Task, isOver: boolean): void
  /** A run is moved to another worker. */
  onWillMoveRun (worker: WorkerState, task: Task, reason: string): void
}

/** The scheduler's actions on which the supervisor depends. */
export interface ServingActions {
  stopRun (task: Task): void
  /** Returns true if a further task of the step could be placed on another worker now. */
  isPlaceable (task: Task, now: number): boolean
}

/**
 * Supervises runs that cannot be left alone until they end: serving tasks with a latency target, the filler work beside them, and
 * runs on workers that are about to exit. Performs no I/O.
 */
export class ServingSupervisor {
  readonly pacing: PacingController
  /** Runs that are to leave their worker once they can be placed on another one. */
  private readonly departing = new Set<Task>()
  private readonly unconfirmedPaces = new Set<Task>()
  private readonly overTarget = new WeakSet<Task>()

  constructor (workers: ReadonlyMap<string, WorkerState>, private readonly actions: ServingActions, private readonly observer: ServingObserver) {
    this.pacing = new PacingController(workers)
  }

  /** Runs whose steps need eligible workers although no task of them is waiting. */
  get departingRuns (): Iterable<Task> {
    return this.departing
  }

  /** Handles the confirmed start of a run. */
  onRunning (task: Task): void {
    if (task.step.specification.filler && task.pacePercent !== task.confirmedPacePercent) this.unconfirmedPaces.add(task)
  }

  /** Evaluates a worker after one of its reports. */
  onReport (worker: WorkerState, now: number): void {
    if (!hasSupervisedRuns(worker)) return
    const { changes, moves } = this.pacing.decide(worker, now)
    for (const change of changes) this.observer.onDidChangePace(worker, change)
    for (const task of worker.runs.values()) {
      if (hasTarget(task)) this.reportTarget(worker, task)
      if (task.step.specification.filler && task.phase === 'running' && task.pacePercent !== task.confirmedPacePercent) this.unconfirmedPaces.add(task)
    }
    for (const { task, reason } of moves) this.move(worker, task, reason)
  }

  /** Moves runs away from draining workers. */
  onTick (workers: Iterable<WorkerState>, now: number): void {
    this.departing.clear()
    for (const worker of workers) {
      if (worker.entry.state !== 'draining' || worker.isUnresponsive) continue
      for (const task of [...worker.runs.values()]) this.depart(worker, task, now)
    }
  }

  /** Returns and clears the paces that are to be sent. */
  takePaces (): PendingPace[] {
    const paces: PendingPace[] = []
    for (const task of this.unconfirmedPaces) {
      if (task.phase === 'running') paces.push({ task, run: task.run, worker: task.worker, percent: task.pacePercent })
    }
    this.unconfirmedPaces.clear()
    return paces
  }

  /** Returns the longest wait of the next poll of a worker, in milliseconds; undefined if the worker needs no particular one. */
  pollWaitMilliseconds (worker: WorkerState): number | undefined {
    let hasServing = false
    let hasFiller = false
    for (const task of worker.runs.values()) {
      hasServing ||= hasTarget(task)
      hasFiller ||= task.step.specification.filler
    }
    return hasServing && hasFiller ? SHARED_POLL_WAIT_MILLISECONDS : undefined
  }

  private depart (worker: WorkerState, task: Task, now: number): void {
    const departure = planDeparture(task, worker, now)
    if (departure === 'stay') return
    if (departure === 'now' || this.actions.isPlaceable(task, now)) this.move(worker, task, 'its worker drains')
    else this.departing.add(task)
  }

  private move (worker: WorkerState, task: Task, reason: string): void {
    this.observer.onWillMoveRun(worker, task, reason)
    task.movedFrom = worker.identity
    this.actions.stopRun(task)
  }

  private reportTarget (worker: WorkerState, task: Task): void {
    const isOver = task.phase === 'running' && (task.reportedLoad ?? 0) > task.step.specification.targetMilliseconds
    if (isOver === this.overTarget.has(task)) return
    if (isOver) this.overTarget.add(task)
    else this.overTarget.delete(task)
    this.observer.onDidCrossTarget(worker, task, isOver)
  }
}

function hasSupervisedRuns (worker: WorkerState): boolean {
  for (const task of worker.runs.values()) {
    if (hasTarget(task) || task.step.specification.filler) return true
  }
  return false
}
