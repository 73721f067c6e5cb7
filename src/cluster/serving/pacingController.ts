import type { Task } from '../job.js'
import type { WorkerState } from '../workerState.js'
import { isInService, mayTakeOutOfService } from './availability.js'
import { InterferenceModel, type FillerShares, type TailSample } from './interferenceModel.js'

/** Time from a change of pace until the reported tail latency reflects it, in milliseconds: the change itself and the half second that a report covers. */
const SETTLE_MILLISECONDS = 700
/** Time over the target after which all filler work beside the task is paused, in milliseconds; well below the time after which the platform counts harm. */
const PAUSE_ALL_AFTER_MILLISECONDS = 1200
/** Share of the target to which pacing lowers the predicted tail latency, and below which filler work may speed up again. */
const SAFE_SHARE = 0.85
const RELEASE_SHARE = 0.75
/** Steps of the pace, in percent. */
const PACE_STEP_PERCENT = 5
const RELEASE_STEP_PERCENT = 25
/** Pause of a filler run after which it is moved to another worker, in milliseconds, and minimum time between two moves of one task. */
const MOVE_FILLER_AFTER_MILLISECONDS = 3000
const MOVE_FILLER_INTERVAL_MILLISECONDS = 15_000
/** Time for which a worker gets no filler work after a filler run was moved away, in milliseconds. */
const AVOID_FILLERS_MILLISECONDS = 5000
/** Time over the target, beside no active filler work, after which a serving task is moved away from other serving tasks, in milliseconds. */
const MOVE_SERVING_AFTER_MILLISECONDS = 4000
/** Minimum time between two moves of serving tasks of one step, in milliseconds. */
const MOVE_SERVING_INTERVAL_MILLISECONDS = 10_000
/** Reports in a row in which a run that should work uses no processor time, after which its pace is sent again. */
const IDLE_REPORTS_BEFORE_REPEAT = 3

/** A change of the pace of a filler run, and the serving task for which it was made, if any. */
export interface PaceChange {
  readonly task: Task
  readonly percent: number
  readonly reason: string
}

/** Decisions for one worker. */
export interface PacingDecision {
  readonly changes: readonly PaceChange[]
  /** Runs that are to be moved to another worker. */
  readonly moves: readonly { readonly task: Task, readonly reason: string }[]
}

/** What is known of a serving task in its current run. */
interface ServingRecord {
  readonly run: number
  sample: TailSample
  /** Time since which the tail latency has been over the target; undefined while it is not. */
  overSince: number | undefined
}

/** What is known of a filler run. */
interface FillerRecord {
  readonly run: number
  pausedSince: number | undefined
  idleReports: number
}

/**
 * Keeps serving tasks within their latency target: slows down the filler work that disturbs them most, and moves work only when
 * pacing does not help. Designed for filler work beside serving tasks whose load and whose sensitivity to each image change within seconds.
 */
export class PacingController {
  readonly model = new InterferenceModel()
  private readonly serving = new WeakMap<Task, ServingRecord>()
  private readonly fillers = new WeakMap<Task, FillerRecord>()
  private readonly changedAt = new WeakMap<WorkerState, number>()
  private readonly avoidedUntil = new WeakMap<WorkerState, number>()
  private readonly servingMovedAt = new WeakMap<Task['step'], number>()
  private readonly fillerMovedAt = new WeakMap<Task, number>()

  /** `workers` are all known workers by identity. */
  constructor (private readonly workers: ReadonlyMap<string, WorkerState>) {}

  /** Decides on a worker after one of its reports. Sets the pace of its filler runs; the caller sends it to the worker. */
  decide (worker: WorkerState, now: number): PacingDecision {
    const servingTasks = [...worker.runs.values()].filter(hasTarget)
    const fillers = [...worker.runs.values()].filter(isActiveFiller)
    for (const filler of fillers) this.observeFiller(filler, now)
    if (servingTasks.length === 0) return { changes: this.releaseAll(fillers), moves: [] }
    for (const task of servingTasks) this.observeServing(worker, task, now)
    const reporting = servingTasks.filter(task => task.reportedLoad !== undefined && isInService(task))
    const over = reporting.filter(task => this.recordOf(task).overSince !== undefined)
    const changes = now - (this.changedAt.get(worker) ?? -Infinity) < SETTLE_MILLISECONDS ? [] : this.adjust(worker, reporting, over, fillers, now)
    if (changes.length > 0) this.changedAt.set(worker, now)
    return { changes, moves: [...this.fillersToMove(worker, fillers, now), ...this.servingToMove(servingTasks, over, fillers, now)] }
  }

  /** Returns true if filler work should be placed on other workers: a serving task is over its target, or was disturbed a short time ago. */
  avoidsFillers (worker: WorkerState, now: number): boolean {
    if (now < (this.avoidedUntil.get(worker) ?? -Infinity)) return true
    for (const task of worker.runs.values()) {
      if (hasTarget(task) && this.serving.get(task)?.run === task.run && this.serving.get(task)?.overSince !== undefined) return true
    }
    return false
  }

  /** Returns the pace at which a new filler run starts on a worker, in percent: no faster than the runs beside it, and paused where they had to leave. */
  initialPaceOn (worker: WorkerState, now: number): number {
    if (this.avoidsFillers(worker, now)) return 0
    let pace = 100
    for (const task of worker.runs.values()) {
      if (isActiveFiller(task)) pace = Math.min(pace, task.pacePercent)
    }
    return pace
  }

  /** Returns the predicted tail latency, as a share of the target, of the serving task on the worker that another filler run would bring closest to its target. */
  predictWorstShare (worker: WorkerState, filler: Task): number {
    let worst = 0
    const share = filler.step.specification.processorsThousandths / Math.max(1, worker.entry.processorsThousandths)
    for (const task of worker.runs.values()) {
      if (!hasTarget(task) || task.reportedLoad === undefined) continue
      const sensitivity = this.model.sensitivityOf(task.step.specification.image, filler.step.specification.image)
      worst = Math.max(worst, task.reportedLoad * Math.exp(sensitivity * share) / task.step.specification.targetMilliseconds)
    }
    return worst
  }

  /** Returns the increase of the logarithm of the tail latency that the filler work on a worker would cause to a serving task. */
  predictDisturbance (worker: WorkerState, serving: Task): number {
    return this.model.increaseBy(serving.step.specification.image, fillerSharesOn(worker))
  }

  private observeFiller (task: Task, now: number): void {
    let record = this.fillers.get(task)
    if (record?.run !== task.run) {
      record = { run: task.run, pausedSince: task.pacePercent === 0 ? now : undefined, idleReports: 0 }
      this.fillers.set(task, record)
    }
    // A pace command that was carried out late leaves a run slower than intended.
    const isIdle = task.pacePercent === 100 && task.reportedLoad === 0 && task.hasBeenPaced
    record.idleReports = isIdle ? record.idleReports + 1 : 0
    if (record.idleReports < IDLE_REPORTS_BEFORE_REPEAT) return
    record.idleReports = 0
    task.confirmedPacePercent = undefined
  }

  private observeServing (worker: WorkerState, task: Task, now: number): void {
    if (task.reportedLoad === undefined || !isInService(task)) return
    const sample = { tailMilliseconds: task.reportedLoad, fillerShares: fillerSharesOn(worker) }
    const record = this.serving.get(task)
    if (record?.run === task.run) {
      this.model.learn(task.step.specification.image, record.sample, sample)
      record.sample = sample
    } else this.serving.set(task, { run: task.run, sample, overSince: undefined })
    const current = this.recordOf(task)
    const isOver = task.reportedLoad > task.step.specification.targetMilliseconds
    current.overSince = isOver ? current.overSince ?? now : undefined
  }

  private recordOf (task: Task): ServingRecord {
    return this.serving.get(task) as ServingRecord
  }

  private adjust (worker: WorkerState, reporting: readonly Task[], over: readonly Task[], fillers: readonly Task[], now: number): PaceChange[] {
    if (fillers.length === 0 || reporting.length === 0) return []
    if (over.length === 0) return this.release(worker, reporting, fillers)
    const changes = new Map<Task, PaceChange>()
    for (const task of over) {
      for (const change of this.slowDown(worker, task, fillers, now)) {
        const earlier = changes.get(change.task)
        if (earlier === undefined || change.percent < earlier.percent) changes.set(change.task, change)
      }
    }
    for (const { task, percent } of changes.values()) this.setPace(task, percent, now)
    return [...changes.values()]
  }

  /** Slows down the fillers that raise the tail latency of a task most until it is predicted to be safe; pauses all of them if that did not help. */
  private slowDown (worker: WorkerState, serving: Task, fillers: readonly Task[], now: number): PaceChange[] {
    const { image, targetMilliseconds } = serving.step.specification
    const { overSince, sample } = this.recordOf(serving)
    const reason = `the tail latency of ${serving.name} is ${sample.tailMilliseconds} ms, its target ${targetMilliseconds} ms`
    const working = fillers.filter(filler => filler.pacePercent > 0)
    if (now - (overSince ?? now) >= PAUSE_ALL_AFTER_MILLISECONDS) return working.map(task => ({ task, percent: 0, reason }))
    let excess = Math.log(sample.tailMilliseconds / (SAFE_SHARE * targetMilliseconds))
    const contributions = working
      .map(task => ({ task, contribution: this.model.sensitivityOf(image, task.step.specification.image) * shareOf(task, worker) }))
      .sort((left, right) => right.contribution - left.contribution)
    const changes: PaceChange[] = []
    for (const { task, contribution } of contributions) {
      if (excess <= 0) break
      const kept = contribution <= excess ? 0 : 1 - excess / contribution
      changes.push({ task, percent: Math.floor(task.pacePercent * kept / PACE_STEP_PERCENT) * PACE_STEP_PERCENT, reason })
      excess -= contribution
    }
    return changes
  }

  /** Speeds up the slowed filler that disturbs least, if every serving task stays safe. */
  private release (worker: WorkerState, reporting: readonly Task[], fillers: readonly Task[]): PaceChange[] {
    const slowed = fillers.filter(filler => filler.pacePercent < 100)
    if (slowed.length === 0) return []
    if (reporting.some(task => (task.reportedLoad as number) > RELEASE_SHARE * task.step.specification.targetMilliseconds)) return []
    const byDisturbance = slowed
      .map(task => ({ task, percent: Math.min(100, task.pacePercent + RELEASE_STEP_PERCENT), predicted: this.predictAfterRelease(worker, reporting, task) }))
      .sort((left, right) => left.predicted - right.predicted)
    const [best] = byDisturbance
    if (best === undefined || best.predicted > SAFE_SHARE) return []
    this.setPace(best.task, best.percent, 0)
    return [{ task: best.task, percent: best.percent, reason: 'the serving tasks beside it are within their targets' }]
  }

  /** Returns the highest predicted tail latency, as a share of the target, after a filler has been sped up by one step. */
  private predictAfterRelease (worker: WorkerState, reporting: readonly Task[], filler: Task): number {
    const { image, processorsThousandths } = filler.step.specification
    const added = RELEASE_STEP_PERCENT / 100 * processorsThousandths / Math.max(1, worker.entry.processorsThousandths)
    return Math.max(...reporting.map(task => {
      const { image: servingImage, targetMilliseconds } = task.step.specification
      return (task.reportedLoad as number) * Math.exp(this.model.sensitivityOf(servingImage, image) * added) / targetMilliseconds
    }))
  }

  private releaseAll (fillers: readonly Task[]): PaceChange[] {
    const slowed = fillers.filter(filler => filler.pacePercent < 100)
    for (const task of slowed) this.setPace(task, 100, 0)
    return slowed.map(task => ({ task, percent: 100, reason: 'no serving task with a target is beside it' }))
  }

  private setPace (task: Task, percent: number, now: number): void {
    task.pacePercent = percent
    task.hasBeenPaced = true
    const record = this.fillers.get(task)
    if (record !== undefined) record.pausedSince = percent === 0 ? record.pausedSince ?? now : undefined
  }

  private fillersToMove (worker: WorkerState, fillers: readonly Task[], now: number): PacingDecision['moves'] {
    const moved = fillers.filter(task => this.isPausedTooLong(task, now) && (!task.step.specification.longRunning || mayTakeOutOfService(task, this.workers)))
    if (moved.length > 0) this.avoidedUntil.set(worker, now + AVOID_FILLERS_MILLISECONDS)
    for (const task of moved) this.fillerMovedAt.set(task, now)
    return moved.map(task => ({ task, reason: 'it has been paused for too long' }))
  }

  private isPausedTooLong (task: Task, now: number): boolean {
    if (now - (this.fillerMovedAt.get(task) ?? -Infinity) < MOVE_FILLER_INTERVAL_MILLISECONDS) return false
    return now - (this.fillers.get(task)?.pausedSince ?? now) >= MOVE_FILLER_AFTER_MILLISECONDS
  }

  /** Returns a serving task that is over its target although no filler work is active: other serving tasks on the worker disturb it. */
  private servingToMove (servingTasks: readonly Task[], over: readonly Task[], fillers: readonly Task[], now: number): PacingDecision['moves'] {
    if (servingTasks.length < 2 || fillers.some(task => task.pacePercent > 0)) return []
    for (const task of over) {
      if (now - (this.recordOf(task).overSince ?? now) < MOVE_SERVING_AFTER_MILLISECONDS) continue
      if (now - (this.servingMovedAt.get(task.step) ?? -Infinity) < MOVE_SERVING_INTERVAL_MILLISECONDS || !mayTakeOutOfService(task, this.workers)) continue
      this.servingMovedAt.set(task.step, now)
      return [{ task, reason: `its tail latency stays at ${task.reportedLoad} ms beside other serving tasks` }]
    }
    return []
  }
}

/** Returns true for a run of a serving task with a latency target. */
export function hasTarget (task: Task): boolean {
  return task.step.specification.targetMilliseconds > 0 && !task.step.specification.filler
}

function isActiveFiller (task: Task): boolean {
  return task.step.specification.filler && task.phase === 'running'
}

/** Returns the share of a worker's processors that a filler run uses: as reported, or what it may use before its first report. */
function shareOf (task: Task, worker: WorkerState): number {
  const used = task.reportedLoad ?? task.step.specification.processorsThousandths * task.pacePercent / 100
  return used / Math.max(1, worker.entry.processorsThousandths)
}

function fillerSharesOn (worker: WorkerState): FillerShares {
  const shares = new Map<string, number>()
  for (const task of worker.runs.values()) {
    if (!isActiveFiller(task)) continue
    const image = task.step.specification.image
    shares.set(image, (shares.get(image) ?? 0) + shareOf(task, worker))
  }
  return shares
}
