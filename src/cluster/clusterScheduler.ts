import type { ClusterConfiguration, Queue, QueuePolicy } from '../contracts/clusterConfiguration.js'
import type { ProgressRecord, SubmissionRecord } from '../contracts/clusterRecords.js'
import { Job, Occurrence, restoreProgress, type Step, type Task } from './job.js'
import { estimateObjective, LATE_FACTOR } from './objective.js'
import { PlacementPass, URGENT_PRIORITY, type PlannedRun } from './placementPass.js'
import type { EndReport, WorkerEntry, WorkerReport } from './workerPort.js'
import { UrgentHeadroom } from './urgentHeadroom.js'
import { WorkerState } from './workerState.js'

/** Time without progress after which a run counts as stuck, in milliseconds; a slow task of 16 s still advances by a percent in a fifth of it. */
const STUCK_RUN_MILLISECONDS = 3500

/** Time after which the stop of a stray run is ordered again, in milliseconds; longer than a worker takes to stop one. */
const STRAY_STOP_PERIOD_MILLISECONDS = 1500

/** Greatest age that a job is taken to have when only its time of acceptance tells, in milliseconds. */
const MAXIMUM_ADOPTED_AGE_MILLISECONDS = 60_000

/** What the scheduler tells about its decisions. */
export interface SchedulerObserver {
  onDidFinishJob (job: Job): void
  onDidEndRun (task: Task, worker: WorkerState, kind: EndReport['kind'], durationMilliseconds: number): void
  onDidQuarantine (worker: WorkerState): void
  onDidFindOrphanedRun (worker: WorkerState, task: string, run: number): void
  /** A worker does not list a run that was placed there, and it cannot come to be any more. */
  onDidLoseRun (worker: WorkerState, task: Task): void
  /** An end was reported of a run that the task has no more. */
  onDidIgnoreRunEnd (worker: WorkerState, end: EndReport, task: Task): void
}

/** What is known of a job beside its submission. */
export interface AddJobOptions {
  /** Progress that a former scheduler has recorded. */
  readonly progress?: ProgressRecord
  /** A time that precedes the storing of its submission, in milliseconds of the monotonic clock. */
  readonly storedAfter?: number
}

/** A run that is to be stopped. */
export interface PlannedStop {
  readonly worker: string
  readonly task: string
  readonly run: number
}

/**
 * Decides where tasks run. Pure: it receives observations and the time, and keeps lists of what is to be done.
 * Times are milliseconds of the monotonic clock unless stated otherwise.
 */
export class ClusterScheduler {
  readonly jobs = new Map<string, Job>()
  readonly workers = new Map<string, WorkerState>()
  /** Jobs whose progress has changed since it was last recorded. */
  readonly unrecordedJobs = new Set<Job>()
  /** Steps with tasks that wait and whose earlier steps are done. */
  readonly readySteps = new Set<Step>()
  private readonly cancelledEarly = new Set<string>()
  /** Room that is kept for urgent work. */
  readonly headroom = new UrgentHeadroom()
  private plannedStops: PlannedStop[] = []
  private configuration: ClusterConfiguration | undefined
  private readonly queues = new Map<string, Queue>()

  constructor (private readonly observer: SchedulerObserver) {}

  /** Takes over a configuration; an older one than the current is ignored. */
  configure (configuration: ClusterConfiguration): void {
    if (this.configuration !== undefined && configuration.revision <= this.configuration.revision) return
    this.configuration = configuration
    this.queues.clear()
    for (const queue of configuration.queues) this.queues.set(queue.name, queue)
  }

  /** Policy of a job: that of its queue or, while the configuration does not name the queue, that of its acceptance. */
  policyOf (job: Job): QueuePolicy {
    return this.queues.get(job.submission.queue) ?? job.acceptedPolicy
  }

  /** Adds a worker or takes over its new entry. Returns its state. */
  upsertWorker (entry: WorkerEntry): WorkerState {
    const known = this.workers.get(entry.identity)
    if (known !== undefined) {
      known.entry = entry
      known.isListed = true
      return known
    }
    const worker = new WorkerState(entry)
    this.workers.set(entry.identity, worker)
    return worker
  }

  /** Notes that the registry no longer lists a worker. What runs there is given up only when its lease has ended. */
  unlistWorker (identity: string): void {
    const worker = this.workers.get(identity)
    if (worker === undefined) return
    worker.isListed = false
    if (worker.runs.size === 0) this.workers.delete(identity)
  }

  /** Adds a job that the log holds. A repeat is ignored. */
  addJob (identity: string, submission: SubmissionRecord, now: number, { progress, storedAfter }: AddJobOptions = {}): Job {
    const known = this.jobs.get(identity)
    if (known !== undefined) return known
    const job = new Job(identity, submission, now)
    this.jobs.set(identity, job)
    if (progress !== undefined) restoreProgress(job, progress)
    const policy = this.policyOf(job)
    job.isUrgent = policy.priority === URGENT_PRIORITY
    // The time of day of two instances may differ by seconds; what the monotonic clock says limits the error.
    const maximumAge = storedAfter === undefined ? MAXIMUM_ADOPTED_AGE_MILLISECONDS : now - storedAfter
    const age = Math.min(maximumAge, Math.max(0, Date.now() - submission.acceptedAt))
    const objective = estimateObjective(submission.job, policy)
    job.objectiveAt = now - age + objective
    job.lateUntil = now - age + LATE_FACTOR * objective
    if (job.isFinal) {
      // The record does not say when the job finished.
      job.finishedAt = now
    } else {
      for (const task of job.tasks()) this.adoptRestoredRun(task)
      this.openDueOccurrencesOfJob(job, now, Date.now())
      for (const occurrence of job.occurrences.values()) this.openReadySteps(occurrence, now)
    }
    if (this.cancelledEarly.delete(identity)) this.cancelJob(identity, now)
    return job
  }

  /** Cancels a job; its runs are stopped. A cancel of a job that is not known yet takes effect when it arrives. */
  cancelJob (identity: string, now: number): void {
    const job = this.jobs.get(identity)
    if (job === undefined) {
      this.cancelledEarly.add(identity)
      return
    }
    if (!job.isFinal) this.finish(job, 'cancelled', undefined, now)
  }

  /** Runs that are to be stopped since the last call. */
  takeStops (): PlannedStop[] {
    const stops = this.plannedStops
    this.plannedStops = []
    return stops
  }

  /** Number of jobs without recurrence of a queue of which no task has started. */
  countWaitingJobs (queue: string): number {
    let count = 0
    for (const job of this.jobs.values()) {
      if (job.submission.queue === queue && job.state === 'pending' && job.submission.job.occurrences === 0) count += 1
    }
    return count
  }

  /** Takes note of how much room urgent work uses; to be called every 100 ms. */
  observeLoad (): void {
    this.headroom.observe(this.workers.values())
  }

  /** Opens occurrences that are due. `unixMilliseconds` is the time of day. */
  openDueOccurrences (now: number, unixMilliseconds: number): void {
    for (const job of this.jobs.values()) {
      if (!job.isFinal && job.submission.job.occurrences > 0) this.openDueOccurrencesOfJob(job, now, unixMilliseconds)
    }
  }

  /** Chooses runs for tasks that wait. The runs have room from now on; each is to be recorded before it is ordered. */
  place (now: number): PlannedRun[] {
    const pass = new PlacementPass([...this.readySteps], this.workers, step => this.policyOf(step.job), this.headroom, now)
    const planned = pass.run()
    for (const { task } of planned) this.onPlaced(task, now)
    return planned
  }

  /** Notes that the start of a placed run is being sent; false if it is no longer wanted. */
  beginStart (task: Task, run: number, now: number): boolean {
    if (task.phase !== 'placed' || task.run !== run) return false
    task.phase = 'starting'
    task.startedAt = now
    return true
  }

  /** Notes the outcome of a start order. */
  onStartOutcome (task: Task, run: number, outcome: 'started' | 'notStarted' | 'uncertain', now: number): void {
    if (task.run !== run || task.phase !== 'starting') return
    if (outcome === 'uncertain') {
      task.phase = 'uncertain'
      return
    }
    if (outcome === 'notStarted') {
      this.giveUpRun(task)
      return
    }
    this.onRunning(task, now)
  }

  /** Notes that a worker has confirmed a stop: a look sent later shows whether the run is gone. */
  onStopConfirmed (worker: string, taskName: string, run: number, now: number): void {
    const task = this.workers.get(worker)?.runs.get(taskName)
    if (task !== undefined && task.run === run) task.stopConfirmedAt = now
  }

  /** Takes a worker's report into account. `sentAt` is when the look was sent. `wasKnown` is false for the first report under a term. */
  onReport (identity: string, report: WorkerReport, sentAt: number, now: number): void {
    const worker = this.workers.get(identity)
    if (worker === undefined) return
    // A report of a former process, overtaken by one of the present process.
    if (report.bornAt !== worker.processStartedAt && sentAt < worker.processSeenAt) return
    const isFirst = !worker.hasReported
    if (report.bornAt !== worker.processStartedAt) {
      if (!isFirst) this.onWorkerRestarted(worker)
      worker.processStartedAt = report.bornAt
    }
    worker.processSeenAt = Math.max(worker.processSeenAt, sentAt)
    worker.hasReported = true
    worker.isUnresponsive = false
    for (const end of [...report.ended].sort((left, right) => left.number - right.number)) {
      if (end.number <= worker.processedEnd) continue
      worker.processedEnd = end.number
      this.onEnd(worker, end, now)
    }
    const listed = new Set<string>()
    worker.hasOrphanedRuns = false
    for (const row of report.running) {
      listed.add(row.task)
      this.onRunningRow(worker, row.task, row.run, row.checkpoint, row.percent, now)
    }
    if (!worker.hasOrphanedRuns) worker.orphanStopTimes.clear()
    for (const task of [...worker.runs.values()]) {
      if (listed.has(task.name)) continue
      if (!this.isRunAbsent(task, isFirst, sentAt)) continue
      this.observer.onDidLoseRun(worker, task)
      this.giveUpRun(task)
    }
  }

  /** Notes that a look has failed. */
  onPollFailed (identity: string): void {
    const worker = this.workers.get(identity)
    if (worker !== undefined) worker.isUnresponsive = true
  }

  /** Notes that nothing can be running on a worker any more: its process has ended, or every lease has. */
  onWorkerLost (identity: string): void {
    const worker = this.workers.get(identity)
    if (worker === undefined) return
    for (const task of [...worker.runs.values()]) this.giveUpRun(task)
    if (!worker.isListed) this.workers.delete(identity)
  }

  /** Runs that make no progress are stopped, to be started again elsewhere. */
  stopStalledRuns (now: number): Task[] {
    const stuck: Task[] = []
    for (const worker of this.workers.values()) {
      if (worker.isUnresponsive) continue
      for (const task of worker.runs.values()) {
        if (task.phase !== 'running' || task.step.specification.longRunning) continue
        // A gang member that has finished waits for the others at 100 percent.
        if (task.percent < 100 && now - task.progressedAt > STUCK_RUN_MILLISECONDS) stuck.push(task)
      }
    }
    for (const task of stuck) this.stopRun(task)
    return stuck
  }

  /** Notes that a job's progress up to its last change is in the log. */
  onRecorded (job: Job, state: Job['state']): void {
    job.recordedState = state
  }

  /** Identities of jobs that finished before a time, as far as the log holds their final state. */
  findJobsFinishedBefore (time: number): string[] {
    const found: string[] = []
    for (const job of this.jobs.values()) {
      if (job.isFinal && job.finishedAt < time && job.recordedState === job.state) found.push(job.identity)
    }
    return found
  }

  /** Forgets a job if it is finished; returns whether it was. */
  removeFinishedJob (identity: string): boolean {
    return this.jobs.get(identity)?.isFinal === true && this.jobs.delete(identity)
  }

  /** A new process counts its ends anew. Runs may have been started on it before its first report: the report tells which are left. */
  private onWorkerRestarted (worker: WorkerState): void {
    worker.processedEnd = 0
    worker.recordedEnd = 0
    worker.acknowledgedEnd = 0
  }

  private openDueOccurrencesOfJob (job: Job, now: number, unixMilliseconds: number): void {
    const { occurrences, firstDueMilliseconds, intervalMilliseconds } = job.submission.job
    for (let index = job.occurrences.size; index < job.occurrenceCount; index += 1) {
      if (occurrences > 0 && unixMilliseconds < firstDueMilliseconds + index * intervalMilliseconds) return
      const occurrence = new Occurrence(job, index)
      job.occurrences.set(index, occurrence)
      this.openReadySteps(occurrence, now)
    }
  }

  private openReadySteps (occurrence: Occurrence, now: number): void {
    for (const step of occurrence.steps) {
      if (step.readyAt !== undefined || step.isDone) continue
      if (!step.specification.after.every(earlier => occurrence.steps[earlier]?.isDone)) continue
      step.readyAt = now
      if (step.waitingCount > 0) this.readySteps.add(step)
    }
  }

  private adoptRestoredRun (task: Task): void {
    if (task.phase !== 'uncertain') return
    // A worker that the registry has dropped may still be running the task until its lease ends.
    const worker = this.workers.get(task.worker) ?? this.addUnlistedWorker(task)
    worker.allocate(task)
  }

  private addUnlistedWorker (task: Task): WorkerState {
    const worker = new WorkerState({
      identity: task.worker, pool: task.step.job.submission.pool, address: '', failureDomain: '', state: 'draining', processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0, labels: [], bornAt: 0
    })
    worker.isListed = false
    this.workers.set(task.worker, worker)
    return worker
  }

  private onPlaced (task: Task, now: number): void {
    const step = task.step
    step.waitingCount -= 1
    if (step.waitingCount === 0) this.readySteps.delete(step)
    task.progressedAt = now
    task.stopConfirmedAt = Infinity
    this.unrecordedJobs.add(step.job)
  }

  private onRunning (task: Task, now: number): void {
    task.phase = 'running'
    task.progressedAt = now
    task.percent = 0
    this.markStarted(task.step.job)
  }

  /**
   * Notes that a worker has shown a run of one of the job's tasks. The recorded placement does not prove a start, because it
   * precedes the order: a successor takes the job for running only if the log says so.
   */
  private markStarted (job: Job): void {
    if (job.state !== 'pending') return
    job.state = 'running'
    this.unrecordedJobs.add(job)
  }

  private onRunningRow (worker: WorkerState, taskName: string, run: number, checkpoint: string, percent: number, now: number): void {
    const task = worker.runs.get(taskName)
    if (task === undefined || task.run !== run) {
      if (!this.isDoneRun(taskName, run)) this.stopStrayRun(worker, taskName, run, now)
      return
    }
    if (checkpoint !== '') task.checkpoint = checkpoint
    if (task.phase === 'starting' || task.phase === 'uncertain') this.onRunning(task, now)
    if (percent === task.percent) return
    task.percent = percent
    task.progressedAt = now
  }

  /** Orders the stop of a run that no job accounts for. The run is listed until it has stopped. */
  private stopStrayRun (worker: WorkerState, taskName: string, run: number, now: number): void {
    worker.hasOrphanedRuns = true
    const key = `${taskName}/${run}`
    const orderedAt = worker.orphanStopTimes.get(key)
    if (orderedAt !== undefined && now - orderedAt < STRAY_STOP_PERIOD_MILLISECONDS) return
    worker.orphanStopTimes.set(key, now)
    this.observer.onDidFindOrphanedRun(worker, taskName, run)
    this.plannedStops.push({ worker: worker.identity, task: taskName, run })
  }

  /** Whether a task is known to be done by this run: the end of another gang member, or a later report, has told so first. */
  private isDoneRun (taskName: string, run: number): boolean {
    const task = this.taskNamed(taskName)
    return task !== undefined && task.phase === 'done' && task.run === run
  }

  /** The task of a name if its job is not final and it is not done. */
  private openTask (taskName: string): Task | undefined {
    const task = this.taskNamed(taskName)
    return task === undefined || task.step.job.isFinal || task.phase === 'done' ? undefined : task
  }

  private taskNamed (taskName: string): Task | undefined {
    const [identity, occurrence, step, index] = taskName.split('.')
    return this.jobs.get(identity ?? '')?.occurrences.get(Number(occurrence))?.steps[Number(step)]?.tasks[Number(index)]
  }

  /** Whether a run that a report does not list can no longer come to be. */
  private isRunAbsent (task: Task, isFirstReport: boolean, sentAt: number): boolean {
    if (task.phase === 'placed') return false
    if (isFirstReport && task.phase === 'uncertain') return true
    if (task.phase === 'running') return task.progressedAt < sentAt && task.startedAt < sentAt
    return task.stopConfirmedAt <= sentAt
  }

  private onEnd (worker: WorkerState, end: EndReport, now: number): void {
    const task = worker.runs.get(end.task)
    if (task === undefined || task.run !== end.run) {
      const open = this.openTask(end.task)
      if (open !== undefined) this.observer.onDidIgnoreRunEnd(worker, end, open)
      return
    }
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    this.observer.onDidEndRun(task, worker, end.kind, now - task.startedAt)
    const job = task.step.job
    this.markStarted(job)
    if (end.kind === 'done' && !task.step.specification.longRunning) {
      worker.recordSuccess(task.step.specification.estimateMilliseconds, task.phase === 'running' && task.startedAt > 0 ? now - task.startedAt : 0)
      this.onDone(task, worker, now)
      return
    }
    if (end.kind === 'failed' && worker.recordFailure(job.identity, now)) this.observer.onDidQuarantine(worker)
    this.giveUpRun(task)
    if (end.kind === 'failed' && !job.isFinal && !task.step.specification.longRunning) this.onFailure(task, now)
  }

  private onDone (task: Task, worker: WorkerState, now: number): void {
    worker.release(task)
    const step = task.step
    const job = step.job
    this.unrecordedJobs.add(job)
    // A gang ends together, so that the end of one member stands for all.
    const ended = step.specification.gang ? step.tasks : [task]
    for (const member of ended) this.markDone(member)
    if (job.isFinal || !step.isDone) return
    this.readySteps.delete(step)
    this.openReadySteps(step.occurrence, now)
    if (!step.occurrence.isDone) return
    job.finishedOccurrences += 1
    if (job.finishedOccurrences === job.occurrenceCount) this.finish(job, 'completed', undefined, now)
  }

  private markDone (task: Task): void {
    if (task.phase === 'done') return
    if (task.hasRun) this.workers.get(task.worker)?.release(task)
    else task.step.waitingCount -= 1
    task.phase = 'done'
    task.step.doneCount += 1
  }

  private onFailure (task: Task, now: number): void {
    const step = task.step
    if (step.specification.gang && step.lastFailedRun === task.run) return
    step.lastFailedRun = task.run
    const failed = step.specification.gang ? step.tasks : [task]
    for (const member of failed) member.failures += 1
    const attempts = this.policyOf(step.job).attempts
    if (task.failures < attempts) return
    this.finish(step.job, 'failed', `task ${task.name} has failed ${task.failures} times`, now)
  }

  private finish (job: Job, state: 'completed' | 'failed' | 'cancelled', reason: string | undefined, now: number): void {
    job.state = state
    job.reason = reason
    job.finishedAt = now
    this.unrecordedJobs.add(job)
    for (const task of job.tasks()) this.stopRun(task)
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) this.readySteps.delete(step)
    }
    this.observer.onDidFinishJob(job)
  }

  /** Stops a run; one whose order has not been sent is given up at once. */
  private stopRun (task: Task): void {
    if (task.phase === 'placed') {
      this.workers.get(task.worker)?.release(task)
      this.returnToWaiting(task)
      return
    }
    if (!task.hasRun || task.phase === 'stopping') return
    task.phase = 'stopping'
    this.plannedStops.push({ worker: task.worker, task: task.name, run: task.run })
  }

  /** Notes that a run does not exist any more; the task waits again. A gang is started again as a whole. */
  private giveUpRun (task: Task): void {
    this.workers.get(task.worker)?.release(task)
    if (task.phase === 'done') return
    this.returnToWaiting(task)
    if (task.step.specification.gang) {
      for (const member of task.step.tasks) this.stopRun(member)
    }
  }

  private returnToWaiting (task: Task): void {
    const step = task.step
    task.phase = 'waiting'
    task.worker = ''
    task.stopConfirmedAt = Infinity
    step.waitingCount += 1
    if (step.job.isFinal) return
    this.unrecordedJobs.add(step.job)
    if (step.readyAt !== undefined) this.readySteps.add(step)
  }
}
