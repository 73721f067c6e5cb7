import type { Job, Task } from '../job.js'
import type { CommandOutcome, EndReport, WorkerEntry, WorkerReport } from '../workerPort.js'
import type { WorkerState } from '../workerState.js'
import { OutlierEjector, type EjectionChange } from './outlierEjector.js'
import { PaceObserver } from './paceObserver.js'
import { RunTimes } from './runTimes.js'
import { StragglerDetector, type Straggler } from './stragglerDetector.js'
import { WorkerSoundness } from './workerSoundness.js'

/** Share of runs that fail on an unsound worker. */
const UNSOUND_FAILURE_SHARE = 0.6
/** Bounds of the share of runs of a queue that fail on sound workers. */
const MINIMUM_FAILURE_SHARE = 0.05
const MAXIMUM_FAILURE_SHARE = 0.4
/** Number of runs as which the initial assumption about the failure share counts, and number of runs over which the share is learned. */
const ASSUMED_RUNS = 50
const LEARNED_RUNS = 1000

/** Evidence of a command without a response, of one that was refused as unhealthy, and of one that was executed. */
const UNANSWERED_COMMAND_EVIDENCE = 1.6
const UNHEALTHY_EVIDENCE = 3
const EXECUTED_COMMAND_EVIDENCE = -1
/** Evidence of a worker that stops responding, and of one whose process has started again. */
const DEPARTURE_EVIDENCE = 1.7
const RESTART_EVIDENCE = 2.3

/** Time for which the soundness of a worker that has left is kept, in milliseconds. */
const RETENTION_MILLISECONDS = 60_000

/** Receives the decisions of the supervisor. */
export interface WorkerObserver {
  /** A worker was ejected, begins its trial, or has returned. */
  onDidChangeEjection (worker: WorkerState, change: EjectionChange): void
  /** A run on a slow worker is about to be stopped, so that its task continues on another. */
  onWillMoveStraggler (worker: WorkerState, straggler: Straggler): void
}

/** What the supervisor needs of the scheduler. */
export interface WorkerSupervisorActions {
  stopRun (task: Task): void
  /** Returns true if a further task of the step could be placed now. */
  isPlaceable (task: Task, now: number): boolean
}

/** Failure of a task of a job, as evidence against the worker on which it occurred. */
interface FirstFailure {
  readonly worker: WorkerState
  readonly evidence: number
}

/** Share of the runs of a queue that fail. */
class FailureShare {
  private runs = ASSUMED_RUNS
  private failed = ASSUMED_RUNS * MINIMUM_FAILURE_SHARE

  record (isFailure: boolean): void {
    this.runs += 1
    if (isFailure) this.failed += 1
    if (this.runs < LEARNED_RUNS) return
    this.runs /= 2
    this.failed /= 2
  }

  get value (): number {
    return Math.min(MAXIMUM_FAILURE_SHARE, Math.max(MINIMUM_FAILURE_SHARE, this.failed / this.runs))
  }
}

/** Learns the soundness of workers from ends, reports and commands, ejects outliers, and moves runs away from slow workers. */
export class WorkerSupervisor {
  readonly runTimes = new RunTimes()
  private readonly soundnessByMachine = new Map<string, { readonly soundness: WorkerSoundness, seenAt: number }>()
  private readonly failureShares = new Map<string, FailureShare>()
  /** First failure of a task of each job. A job that fails on several workers is itself the cause. */
  private readonly firstFailures = new WeakMap<Job, FirstFailure | 'ownFault'>()
  private readonly paces = new PaceObserver(this.runTimes)
  private readonly stragglers: StragglerDetector
  private readonly ejector: OutlierEjector

  constructor (private readonly workers: ReadonlyMap<string, WorkerState>, private readonly actions: WorkerSupervisorActions, private readonly observer: WorkerObserver) {
    this.ejector = new OutlierEjector(workers, (worker, change) => observer.onDidChangeEjection(worker, change))
    this.stragglers = new StragglerDetector(this.runTimes, this.paces)
  }

  get ejectedCount (): number {
    return this.ejector.ejectedCount
  }

  /** Returns the soundness of the machine that an entry describes: a worker that flaps may come back under another identity. */
  soundnessOf (entry: WorkerEntry, now: number): WorkerSoundness {
    const key = entry.machine === '' ? entry.identity : entry.machine
    const known = this.soundnessByMachine.get(key) ?? { soundness: new WorkerSoundness(), seenAt: now }
    known.seenAt = now
    this.soundnessByMachine.set(key, known)
    return known.soundness
  }

  /** Takes the progress of the runs of a worker into account. */
  onReport (worker: WorkerState, report: WorkerReport, now: number): void {
    const { soundness } = worker
    const { trialTask, cause } = soundness
    if (!this.paces.onReport(worker, report, now)) return
    if (soundness.phase === 'trial' && trialTask !== undefined) {
      const pace = soundness.paceOf(trialTask)
      if (pace === 'usual' && (cause === 'slow' || cause === 'stalled')) this.ejector.onTrialPassed(worker, 'its run progresses as expected', now)
      else if (pace === 'slow' || pace === 'stalled') this.ejector.onTrialFailed(worker, `its run is ${pace}`, now)
    }
    this.ejector.evaluate(worker, now)
  }

  /** Takes the end of a run into account. `durationMilliseconds` is 0 if the start of the run is not known. */
  onEnded (worker: WorkerState, task: Task, kind: EndReport['kind'], durationMilliseconds: number, now: number): void {
    const { soundness } = worker
    const isTrial = soundness.trialTask === task
    if (kind === 'done') this.onDone(worker, task, durationMilliseconds, now)
    else if (kind === 'failed') this.onFailed(worker, task, now)
    if (isTrial && soundness.phase === 'trial') this.onTrialEnded(worker, task, kind, now)
    this.ejector.evaluate(worker, now)
  }

  /** Takes the outcome of a start command into account. */
  onCommandCompleted (worker: WorkerState, outcome: CommandOutcome, now: number): void {
    if (outcome.kind === 'done') {
      worker.soundness.add('mute', EXECUTED_COMMAND_EVIDENCE, now)
      return
    }
    const isUnhealthy = outcome.kind === 'refused' && outcome.reason === 'unhealthy'
    if (!isUnhealthy && outcome.kind !== 'unknown') return
    worker.soundness.add('mute', isUnhealthy ? UNHEALTHY_EVIDENCE : UNANSWERED_COMMAND_EVIDENCE, now)
    this.ejector.evaluate(worker, now)
  }

  /** Called when a worker has stopped responding. */
  onUnresponsive (worker: WorkerState, now: number): void {
    worker.soundness.add('flapping', DEPARTURE_EVIDENCE, now)
    this.ejector.evaluate(worker, now)
  }

  onRestarted (worker: WorkerState, now: number): void {
    worker.soundness.add('flapping', RESTART_EVIDENCE, now)
    this.ejector.evaluate(worker, now)
  }

  /** Ends ejections, and moves runs away from slow workers; must be called about every 100 ms. */
  onTick (now: number): void {
    this.ejector.onTick(now)
    for (const straggler of this.stragglers.find(this.workers.values(), task => this.actions.isPlaceable(task, now), now)) {
      this.observer.onWillMoveStraggler(straggler.worker, straggler)
      this.actions.stopRun(straggler.task)
    }
    for (const [machine, known] of this.soundnessByMachine) {
      if (now - known.seenAt > RETENTION_MILLISECONDS) this.soundnessByMachine.delete(machine)
    }
  }

  private onDone (worker: WorkerState, task: Task, durationMilliseconds: number, now: number): void {
    const { soundness } = worker
    const share = this.failureShareOf(task)
    share.record(false)
    soundness.add('failing', Math.log((1 - UNSOUND_FAILURE_SHARE) / (1 - share.value)), now)
    if (durationMilliseconds > 0) this.paces.onDone(worker, task, durationMilliseconds, now)
    if (soundness.phase === 'none' && durationMilliseconds > 0 && task.run === 1 && soundness.paceEvidence(now).evidence === 0) this.runTimes.recordEnd(task, durationMilliseconds * worker.speed)
  }

  private onFailed (worker: WorkerState, task: Task, now: number): void {
    const { job } = task.step
    const share = this.failureShareOf(task)
    const evidence = Math.log(UNSOUND_FAILURE_SHARE / Math.min(UNSOUND_FAILURE_SHARE, share.value))
    const first = this.firstFailures.get(job)
    if (first === undefined) {
      share.record(true)
      this.firstFailures.set(job, { worker, evidence })
      worker.soundness.add('failing', evidence, now)
    } else if (first !== 'ownFault' && first.worker !== worker) {
      this.firstFailures.set(job, 'ownFault')
      first.worker.soundness.add('failing', -first.evidence, now)
    }
  }

  private onTrialEnded (worker: WorkerState, task: Task, kind: EndReport['kind'], now: number): void {
    const { soundness } = worker
    const pace = soundness.paceOf(task)
    soundness.trialTask = undefined
    if (kind === 'done' && pace !== 'slow') this.ejector.onTrialPassed(worker, 'its run has completed', now)
    else if (kind === 'done') this.ejector.onTrialFailed(worker, 'its run was slow', now)
    else if (kind === 'failed' && this.firstFailures.get(task.step.job) !== 'ownFault') this.ejector.onTrialFailed(worker, 'its run has failed', now)
  }

  private failureShareOf (task: Task): FailureShare {
    const { queue } = task.step.job.submission
    const known = this.failureShares.get(queue) ?? new FailureShare()
    this.failureShares.set(queue, known)
    return known
  }
}
