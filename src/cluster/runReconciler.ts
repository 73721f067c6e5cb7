import type { Task } from './job.js'
import type { RunOrigin } from './organisations/organisationLedger.js'
import type { EndReport, RunningReport, WorkerReport } from './workerPort.js'
import type { WorkerState } from './workerState.js'

/** Time after which the stop command for an orphaned run is repeated; longer than a worker takes to stop a run. */
const ORPHAN_STOP_RETRY_MILLISECONDS = 1500

/** Receives what reports show about runs. */
export interface RunReconcilerActions {
  /** Returns the task with this name; undefined if there is none. */
  findTask (taskName: string): Task | undefined
  /** Returns the job and the step of a task; undefined if the job is not known. */
  findOrigin (taskName: string): RunOrigin | undefined
  /** The worker has listed a run whose start was not confirmed before. */
  onRunning (task: Task, now: number): void
  /** A run has ended. */
  onEnded (task: Task, worker: WorkerState, end: EndReport, now: number): void
  /** A worker lists neither a run that was placed there nor its end, and the run can no longer start. `hasProcessExited`: it was placed on a former process of the worker. `isAlone`: the worker had no other run. */
  onLost (task: Task, worker: WorkerState, hasProcessExited: boolean, isAlone: boolean, now: number): void
  /** A worker reports a new process under its identity. */
  onWorkerRestarted (worker: WorkerState, formerStartedAt: number): void
  /** A worker has reported the end of a run that is no longer the current run of its unfinished task. */
  onIgnoredEnd (worker: WorkerState, end: EndReport, task: Task): void
  /** The worker lists a run that belongs to no task. */
  onOrphanedRun (worker: WorkerState, task: string, run: number): void
}

/** Compares the reports of workers with the runs that are assumed to exist on them. */
export class RunReconciler {
  constructor (private readonly actions: RunReconcilerActions) {}

  /** Applies the report of a worker. `sentAt` is the time at which the poll was sent. Returns false if the report is out of date. */
  applyReport (worker: WorkerState, report: WorkerReport, sentAt: number, now: number): boolean {
    // A delayed report of a former process: a later poll has already reached the current process.
    if (report.processStartedAt !== worker.processStartedAt && sentAt < worker.processSeenAt) return false
    if (!worker.hasReported) this.fenceFormerStarts(worker)
    else if (report.processStartedAt !== worker.processStartedAt) this.onWorkerRestarted(worker, report.processStartedAt)
    worker.processStartedAt = report.processStartedAt
    worker.processSeenAt = Math.max(worker.processSeenAt, sentAt)
    worker.hasReported = true
    worker.hasOmittedEnds = report.mayOmitEnds
    worker.isUnresponsive = false
    for (const end of [...report.ended].sort((left, right) => left.number - right.number)) {
      if (end.number <= worker.processedEnd) continue
      worker.processedEnd = end.number
      this.applyEnd(worker, end, now)
    }
    this.applyRunning(worker, report.running, now)
    const listed = new Set(report.running.map(({ task }) => task))
    const isAlone = worker.runs.size === 1
    for (const task of [...worker.runs.values()]) {
      if (listed.has(task.name) || !this.isRunAbsent(task, sentAt)) continue
      if (report.mayOmitEnds) {
        if (task.processStartedAt === report.processStartedAt) task.isAwaitingEnd = true
        continue
      }
      this.actions.onLost(task, worker, task.processStartedAt !== 0 && task.processStartedAt !== report.processStartedAt, isAlone, now)
    }
    return true
  }

  /** Handles the first report: from its poll on, the worker rejects the start commands of former schedulers. */
  private fenceFormerStarts (worker: WorkerState): void {
    for (const task of worker.runs.values()) {
      if (task.phase === 'uncertain') task.isStartFenced = true
    }
  }

  /** Resets the end counters, because a new process numbers its ends from 1. Keeps the runs: some may have been started on the new process before its first report, and that report shows which exist. */
  private onWorkerRestarted (worker: WorkerState, startedAt: number): void {
    const formerStartedAt = worker.processStartedAt
    worker.processStartedAt = startedAt
    worker.processedEnd = 0
    worker.recordedEnd = 0
    worker.acknowledgedEnd = 0
    this.actions.onWorkerRestarted(worker, formerStartedAt)
  }

  private applyEnd (worker: WorkerState, end: EndReport, now: number): void {
    const task = worker.runs.get(end.task)
    if (task === undefined || task.run !== end.run) {
      const unfinished = this.findUnfinishedTask(end.task)
      if (unfinished !== undefined) this.actions.onIgnoredEnd(worker, end, unfinished)
      return
    }
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    this.actions.onEnded(task, worker, end, now)
  }

  private applyRunning (worker: WorkerState, running: readonly RunningReport[], now: number): void {
    worker.hasOrphanedRuns = false
    const orphans: RunOrigin[] = []
    for (const report of running) {
      if (!this.applyRunningRun(worker, report, now)) continue
      const origin = this.actions.findOrigin(report.task)
      if (origin !== undefined) orphans.push(origin)
    }
    worker.setOrphans(orphans)
    if (!worker.hasOrphanedRuns) worker.orphanStopTimes.clear()
  }

  /** Returns true if the run is an orphaned one. */
  private applyRunningRun (worker: WorkerState, { task: taskName, run, checkpoint, percent, load }: RunningReport, now: number): boolean {
    const task = worker.runs.get(taskName)
    if (task === undefined || task.run !== run) {
      if (this.isDoneRun(taskName, run)) return false
      this.stopOrphanedRun(worker, taskName, run, now)
      return true
    }
    if (checkpoint !== '') task.checkpoint = checkpoint
    task.processStartedAt = worker.processStartedAt
    task.isConfirmed = true
    if (task.phase === 'starting' || task.phase === 'uncertain') this.actions.onRunning(task, now)
    task.reportedLoad = load
    if (percent !== task.percent) {
      task.percent = percent
      task.progressedAt = now
    }
    return false
  }

  /** Requests the stop of a run that belongs to no task. The worker lists the run until it has stopped. */
  private stopOrphanedRun (worker: WorkerState, taskName: string, run: number, now: number): void {
    worker.hasOrphanedRuns = true
    const key = `${taskName}/${run}`
    const requestedAt = worker.orphanStopTimes.get(key)
    if (requestedAt !== undefined && now - requestedAt < ORPHAN_STOP_RETRY_MILLISECONDS) return
    worker.orphanStopTimes.set(key, now)
    this.actions.onOrphanedRun(worker, taskName, run)
  }

  /** Returns true if a task was completed by this run, as shown earlier by the end of another gang member or by a later report. */
  private isDoneRun (taskName: string, run: number): boolean {
    const task = this.actions.findTask(taskName)
    return task !== undefined && task.phase === 'done' && task.run === run
  }

  /** Returns the task with this name unless it is done or its job is final. */
  private findUnfinishedTask (taskName: string): Task | undefined {
    const task = this.actions.findTask(taskName)
    return task === undefined || task.step.job.isFinal || task.phase === 'done' ? undefined : task
  }

  /** Returns true if a run that a report does not list as running is not running and can no longer start. */
  private isRunAbsent (task: Task, sentAt: number): boolean {
    if (task.phase === 'placed') return false
    if (task.phase === 'running') return task.progressedAt < sentAt && task.startedAt < sentAt
    return (task.phase === 'uncertain' && task.isStartFenced) || task.stopConfirmedAt <= sentAt
  }
}
