import type { ClusterConfiguration, Queue, QueuePolicy } from '../contracts/clusterConfiguration.js'
import type { ProgressRecord, SubmissionRecord } from '../contracts/clusterRecords.js'
import { CrashTracker, type RunLossCause } from './crashTracker.js'
import { Job, Occurrence, restoreProgress, type Step, type Task } from './job.js'
import { estimateObjective, LATE_FACTOR } from './objective.js'
import { findOrigin } from './organisations/organisationLedger.js'
import { Organisations } from './organisations/organisations.js'
import { PlacementPass, URGENT_PRIORITY, type PlacementContext, type PlannedRun } from './placementPass.js'
import { PreemptionController, type PreemptedRun } from './preemption/preemptionController.js'
import type { OrganisationShares } from './preemption/preemptionPlanner.js'
import { RunReconciler } from './runReconciler.js'
import { isInService } from './serving/availability.js'
import { ServingSupervisor, type PendingPace, type ServingObserver } from './serving/servingSupervisor.js'
import { UrgentHeadroom } from './urgentHeadroom.js'
import type { EndReport, WorkerEntry, WorkerReport } from './workerPort.js'
import type { WorkerLossCause } from './workerSession.js'
import { WorkerState } from './workerState.js'

/** Time without progress after which a run counts as stalled; a slow task of 16 s still advances by one percent in a fifth of it. */
const STALLED_RUN_TIMEOUT_MILLISECONDS = 3500
/** The same for filler work, which makes progress only while its worker has idle processors. */
const STALLED_FILLER_TIMEOUT_MILLISECONDS = 10_000

/** Upper bound on the assumed age of a job when its age is known only from the acceptance time. */
const MAXIMUM_ASSUMED_AGE_MILLISECONDS = 60_000

/** Receives the events of the scheduler. */
export interface SchedulerObserver extends ServingObserver {
  onDidFinishJob (job: Job): void
  onDidEndRun (task: Task, worker: WorkerState, kind: EndReport['kind'], durationMilliseconds: number): void
  onDidQuarantine (worker: WorkerState): void
  onDidFindOrphanedRun (worker: WorkerState, task: string, run: number): void
  /** A placed run is not started, because its worker can no longer take it or its capacity is not known well enough. */
  onDidWithdrawRun (worker: WorkerState | undefined, task: Task): void
  /** A run that was placed on a worker has no end and can no longer start; its task waits again. */
  onDidLoseRun (worker: WorkerState, task: Task, cause: RunLossCause): void
  /** A worker has crashed under a run of a task, as another process on its machine proves. */
  onDidCrashWorker (worker: string, task: Task): void
  /** A worker runs a new process under its identity. `formerStartedAt`: start of the former one as Unix time in milliseconds. */
  onDidRestartWorker (worker: WorkerState, formerStartedAt: number): void
  /** The registry states another capacity of a worker than before. */
  onDidResizeWorker (worker: WorkerState, former: WorkerEntry): void
  /** A worker has reported the end of a run that is no longer the current run of its task. */
  onDidIgnoreRunEnd (worker: WorkerState, end: EndReport, task: Task): void
  /** A step waits for its organisation, for another reason than before. */
  onDidExplainWait (step: Step, reason: string): void
  /** A long-running task does its work now. */
  onDidEnterService (worker: WorkerState, task: Task): void
  /** A run is stopped so that a task of another job can start. */
  onDidPreemptRun (preempted: PreemptedRun): void
}

/** Information about a job in addition to its submission. */
export interface AddJobOptions {
  /** Progress recorded by a former scheduler. */
  readonly progress?: ProgressRecord
  /** Lower bound of the time at which the submission was stored, in milliseconds of the monotonic clock. */
  readonly storedAfter?: number
}

/** A stop command that is still to be sent. */
export interface PendingStop {
  readonly worker: string
  readonly task: string
  readonly run: number
}

/**
 * Decides where tasks run. Performs no I/O: it receives observations and the current time, and collects the actions to take.
 * Times are milliseconds of the monotonic clock unless stated otherwise.
 */
export class ClusterScheduler {
  readonly jobs = new Map<string, Job>()
  readonly workers = new Map<string, WorkerState>()
  /** Jobs whose progress has changed since the last record. */
  readonly unrecordedJobs = new Set<Job>()
  /** Steps whose dependencies are done and that have waiting tasks. */
  readonly readySteps = new Set<Step>()
  /** Jobs whose cancellation was received before their submission. */
  private readonly cancelledBeforeAdd = new Set<string>()
  /** Capacity reserved for urgent work. */
  readonly headroom = new UrgentHeadroom()
  /** Organisations that share the workers. */
  readonly organisations = new Organisations(this.workers)
  private pendingStops: PendingStop[] = []
  private configuration: ClusterConfiguration | undefined
  private readonly queues = new Map<string, Queue>()
  private readonly reconciler: RunReconciler
  private readonly serving: ServingSupervisor
  private readonly preemption: PreemptionController
  /** Largest priority value of a queue. */
  private lowestPriority = 0
  private readonly crashTracker = new CrashTracker(this.workers, (task, worker, now) => this.onCrash(task, worker, now))
  /** Tasks whose runs are isolated and whose jobs are not finished. */
  private readonly isolatedTasks = new Set<Task>()

  /** `shares`: how organisations share the capacity; by default as the configuration weighs them. */
  constructor (private readonly observer: SchedulerObserver, shares?: OrganisationShares) {
    this.reconciler = new RunReconciler({
      findTask: taskName => this.findTask(taskName),
      findOrigin: taskName => findOrigin(this.jobs, taskName),
      onRunning: (task, now) => this.onRunning(task, now),
      onEnded: (task, worker, end, now) => this.onEnded(task, worker, end, now),
      onLost: (task, worker, hasProcessExited, isAlone, now) => this.onRunLost(task, worker, hasProcessExited ? 'processRestarted' : 'notListed', isAlone, now),
      onWorkerRestarted: (worker, formerStartedAt) => this.observer.onDidRestartWorker(worker, formerStartedAt),
      onIgnoredEnd: (worker, end, task) => this.observer.onDidIgnoreRunEnd(worker, end, task),
      onOrphanedRun: (worker, task, run) => {
        this.observer.onDidFindOrphanedRun(worker, task, run)
        this.pendingStops.push({ worker: worker.identity, task, run })
      }
    })
    this.serving = new ServingSupervisor(this.workers, {
      stopRun: task => this.stopRun(task),
      isPlaceable: (task, now) => this.organisations.mayStart(task) && new PlacementPass([], this.placementContext, now).isPlaceable(task.step)
    }, observer)
    this.preemption = new PreemptionController({
      workers: this.workers,
      lowestPriority: () => this.lowestPriority,
      priorityOf: step => this.policyOf(step.job).priority,
      stopRun: task => this.stopRun(task),
      onDidPreemptRun: preempted => this.observer.onDidPreemptRun(preempted)
    }, shares ?? this.organisations)
  }

  /** Applies a configuration unless it is older than the current one. */
  configure (configuration: ClusterConfiguration): void {
    if (this.configuration !== undefined && configuration.revision <= this.configuration.revision) return
    this.configuration = configuration
    this.organisations.configure(configuration.organisations)
    this.queues.clear()
    for (const queue of configuration.queues) this.queues.set(queue.name, queue)
    this.lowestPriority = Math.max(0, ...configuration.queues.map(({ priority }) => priority))
  }

  /** Returns the policy of the job's queue or, while the queue is not configured, the policy at the job's acceptance. */
  policyOf (job: Job): QueuePolicy {
    return this.queues.get(job.submission.queue) ?? job.acceptedPolicy
  }

  /** Adds a worker or updates its entry. Returns its state. */
  upsertWorker (entry: WorkerEntry, now: number): WorkerState {
    const worker = this.workers.get(entry.identity) ?? new WorkerState(entry, this.organisations.ledger)
    const former = worker.entry
    worker.update(entry, now)
    this.workers.set(entry.identity, worker)
    this.crashTracker.onWorkerListed(entry, now)
    if (!isSameCapacity(former, entry)) this.observer.onDidResizeWorker(worker, former)
    return worker
  }

  /** Marks a worker as no longer listed by the registry. Its runs are abandoned only after their leases have expired. */
  unlistWorker (identity: string): void {
    const worker = this.workers.get(identity)
    if (worker === undefined) return
    worker.isListed = false
    if (worker.isEmpty) this.workers.delete(identity)
  }

  /** Adds a job that is stored in the log. Duplicates are ignored. */
  addJob (identity: string, submission: SubmissionRecord, now: number, { progress, storedAfter }: AddJobOptions = {}): Job {
    const existing = this.jobs.get(identity)
    if (existing !== undefined) return existing
    const job = new Job(identity, submission, now)
    this.jobs.set(identity, job)
    if (progress !== undefined) restoreProgress(job, progress)
    const policy = this.policyOf(job)
    job.isUrgent = policy.priority === URGENT_PRIORITY
    // The wall clocks of two instances may differ by seconds; the monotonic clock bounds the error.
    const maximumAge = storedAfter === undefined ? MAXIMUM_ASSUMED_AGE_MILLISECONDS : now - storedAfter
    const age = Math.min(maximumAge, Math.max(0, Date.now() - submission.acceptedAt))
    const objective = estimateObjective(submission.job, policy)
    job.objectiveAt = now - age + objective
    job.lateUntil = now - age + LATE_FACTOR * objective
    this.organisations.onDidAddJob(job, now - age)
    if (job.isFinal) {
      // The record does not contain the finishing time.
      job.finishedAt = now
    } else {
      for (const task of job.tasks()) {
        this.adoptRestoredRun(task)
        if (task.crashEvidence.needsIsolation) this.isolatedTasks.add(task)
      }
      this.openDueOccurrencesOfJob(job, now, Date.now())
      for (const occurrence of job.occurrences.values()) this.openReadySteps(occurrence, now)
    }
    if (this.cancelledBeforeAdd.delete(identity)) this.cancelJob(identity, now)
    return job
  }

  /** Cancels a job and stops its runs. The cancellation of an unknown job takes effect when the job is added. */
  cancelJob (identity: string, now: number): void {
    const job = this.jobs.get(identity)
    if (job === undefined) {
      this.cancelledBeforeAdd.add(identity)
      return
    }
    if (!job.isFinal) this.finish(job, 'cancelled', undefined, now)
  }

  /** Returns and clears the pending stop commands. */
  takeStops (): PendingStop[] {
    const stops = this.pendingStops
    this.pendingStops = []
    return stops
  }

  /** Returns the number of non-recurring jobs of a queue of which no task has started. */
  countWaitingJobs (queue: string): number {
    let count = 0
    for (const job of this.jobs.values()) {
      if (job.submission.queue === queue && job.state === 'pending' && job.submission.job.occurrences === 0) count += 1
    }
    return count
  }

  /** Samples the capacity that urgent work uses; must be called every 100 ms. */
  observeLoad (): void {
    this.headroom.observe(this.workers.values())
  }

  /** Opens the occurrences of recurring jobs that are due. `unixMilliseconds` is the wall clock time. */
  openDueOccurrences (now: number, unixMilliseconds: number): void {
    for (const job of this.jobs.values()) {
      if (!job.isFinal && job.submission.job.occurrences > 0) this.openDueOccurrencesOfJob(job, now, unixMilliseconds)
    }
  }

  /** Places waiting tasks and allocates capacity for their runs. Each run must be recorded before its start command is sent. */
  place (now: number): PlannedRun[] {
    this.crashTracker.discardOldLosses(now)
    const steps = [...this.readySteps]
    const context = { ...this.placementContext, caps: this.organisations.createCapGate(now), fairOrder: this.organisations.createFairOrder(steps, now) }
    const planned = this.preemption.place(steps, candidates => new PlacementPass(candidates, context, now).run(), now)
    for (const { task } of planned) this.onPlaced(task, now)
    for (const step of this.readySteps) step.waitingSince ??= now
    this.preemption.preempt([...this.readySteps].filter(step => !this.organisations.isAtCap(step)), () => new PlacementPass([], this.placementContext, now), now)
    for (const { step, text } of this.organisations.explainWaits(this.readySteps, now)) this.observer.onDidExplainWait(step, text)
    return planned
  }

  /**
   * Marks a placed run as starting, before its start command is sent. Returns false if the run is no longer wanted, or if its worker can
   * no longer take it: recording the placement may take seconds, in which the worker may drain or its capacity may shrink.
   */
  beginStart (task: Task, run: number, now: number): boolean {
    if (task.phase !== 'placed' || task.run !== run) return false
    const worker = this.workers.get(task.worker)
    if (worker === undefined || !worker.isUsable(now) || worker.isOvercommittedBy(task.step.specification) || !this.organisations.mayStart(task)) {
      this.withdrawRun(task, run)
      return false
    }
    task.phase = 'starting'
    task.startedAt = now
    return true
  }

  /** Withdraws a placed run whose start command has not been sent; its task waits again. */
  withdrawRun (task: Task, run: number): void {
    if (task.phase !== 'placed' || task.run !== run) return
    this.observer.onDidWithdrawRun(this.workers.get(task.worker), task)
    this.abandonRun(task)
  }

  /** Handles the outcome of a start command. */
  onStartOutcome (task: Task, run: number, outcome: 'started' | 'notStarted' | 'uncertain', now: number): void {
    if (task.run !== run) return
    // A run that is being stopped needs no stop if it was not started; a worker that refuses all commands would never confirm one.
    if (outcome === 'notStarted' && (task.phase === 'starting' || task.phase === 'stopping')) this.abandonRun(task)
    if (task.phase !== 'starting') return
    if (outcome === 'uncertain') task.phase = 'uncertain'
    else this.onRunning(task, now)
  }

  /** Handles the confirmation of a stop: a poll sent later shows whether the run still exists. */
  onStopConfirmed (worker: string, taskName: string, run: number, now: number): void {
    const task = this.workers.get(worker)?.runs.get(taskName)
    if (task !== undefined && task.run === run) task.stopConfirmedAt = now
  }

  /** Applies the report of a worker. `sentAt` is the time at which the poll was sent. */
  onReport (identity: string, report: WorkerReport, sentAt: number, now: number): void {
    const worker = this.workers.get(identity)
    if (worker === undefined) return
    const inService = [...worker.runs.values()].filter(isInService)
    if (!this.reconciler.applyReport(worker, report, sentAt, now)) return
    this.crashTracker.onWorkerReported(worker, now)
    for (const task of worker.runs.values()) {
      if (task.step.specification.longRunning && isInService(task) && !inService.includes(task)) this.observer.onDidEnterService(worker, task)
    }
    this.serving.onReport(worker, now)
  }

  /** Moves runs away from workers that are about to exit; must be called about every 100 ms. */
  moveDepartingRuns (now: number): void {
    this.serving.onTick(this.workers.values(), now)
  }

  /** Returns the steps that need eligible workers although none of their tasks is waiting: a run is to be moved to another worker. */
  get departingSteps (): Set<Step> {
    return new Set([...this.serving.departingRuns].map(task => task.step))
  }

  /** Returns and clears the pace commands that are to be sent. */
  takePaces (): PendingPace[] {
    return this.serving.takePaces()
  }

  /** Returns the longest wait of the next poll of a worker, in milliseconds; undefined for the usual one. */
  pollWaitMilliseconds (identity: string): number | undefined {
    const worker = this.workers.get(identity)
    if (worker === undefined) return undefined
    return worker.hasOmittedEnds ? 0 : this.serving.pollWaitMilliseconds(worker)
  }

  /** Marks a worker as unresponsive after a failed poll. */
  onPollFailed (identity: string): void {
    const worker = this.workers.get(identity)
    if (worker !== undefined) worker.isUnresponsive = true
  }

  /** Abandons the runs of a worker whose process has exited or whose leases have all expired. */
  onWorkerLost (identity: string, cause: WorkerLossCause, now: number): void {
    const worker = this.workers.get(identity)
    if (worker === undefined) return
    const isAlone = worker.runs.size === 1
    for (const task of [...worker.runs.values()]) this.onRunLost(task, worker, cause, isAlone, now)
    worker.setOrphans([])
    if (!worker.isListed) this.workers.delete(identity)
  }

  /** Stops runs that make no progress, so that their tasks are placed again. Returns the tasks. */
  stopStalledRuns (now: number): Task[] {
    const stalled: Task[] = []
    for (const worker of this.workers.values()) {
      if (worker.isUnresponsive) continue
      for (const task of worker.runs.values()) {
        if (task.phase === 'running' && isStalled(task, now)) stalled.push(task)
      }
    }
    for (const task of stalled) this.stopRun(task)
    return stalled
  }

  /** Stores the state of a job that the log now holds. */
  onRecorded (job: Job, state: Job['state']): void {
    job.recordedState = state
  }

  /** Returns the identities of jobs that finished before a time and whose final state is in the log. */
  findJobsFinishedBefore (time: number): string[] {
    const found: string[] = []
    for (const job of this.jobs.values()) {
      if (job.isFinal && job.finishedAt < time && job.recordedState === job.state) found.push(job.identity)
    }
    return found
  }

  /** Removes a job if it is finished. Returns true if it was. */
  removeFinishedJob (identity: string): boolean {
    return this.jobs.get(identity)?.isFinal === true && this.jobs.delete(identity)
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

  private get placementContext (): PlacementContext {
    return { workers: this.workers, policyOf: step => this.policyOf(step.job), headroom: this.headroom, pacing: this.serving.pacing, isolatedTasks: this.organisations.withoutCapped(this.isolatedTasks) }
  }

  private adoptRestoredRun (task: Task): void {
    if (task.phase !== 'uncertain') return
    // A worker that the registry no longer lists may still run the task until its lease expires.
    const worker = this.workers.get(task.worker) ?? this.addUnlistedWorker(task)
    worker.allocate(task)
  }

  private addUnlistedWorker (task: Task): WorkerState {
    const worker = new WorkerState({
      identity: task.worker, pool: task.step.job.submission.pool, address: '', failureDomain: '', state: 'draining', processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0, labels: [], machine: '', processStartedAt: 0
    }, this.organisations.ledger)
    worker.isListed = false
    this.workers.set(task.worker, worker)
    return worker
  }

  private onPlaced (task: Task, now: number): void {
    const step = task.step
    step.waitingCount -= 1
    if (step.waitingCount === 0) {
      this.readySteps.delete(step)
      step.waitingSince = undefined
    }
    task.progressedAt = now
    task.stopConfirmedAt = Infinity
    this.unrecordedJobs.add(step.job)
  }

  private onRunning (task: Task, now: number): void {
    task.phase = 'running'
    task.isConfirmed = true
    task.progressedAt = now
    task.percent = 0
    this.serving.onRunning(task)
    this.markStarted(task.step.job)
  }

  /**
   * Marks a job as running once a worker has reported a run of one of its tasks. A recorded placement does not prove a start,
   * because it is written before the start command: a successor treats a job as running only if the log says so.
   */
  private markStarted (job: Job): void {
    if (job.state !== 'pending') return
    job.state = 'running'
    this.unrecordedJobs.add(job)
  }

  private onRunLost (task: Task, worker: WorkerState, cause: RunLossCause, isAlone: boolean, now: number): void {
    this.observer.onDidLoseRun(worker, task, cause)
    const countCrash = this.crashTracker.onRunLost(task, worker, cause, isAlone, now)
    this.abandonRun(task)
    countCrash()
  }

  /** Handles a crash of a worker under a task. The task may have a new run by now, if the crash has only been proven later. */
  private onCrash (task: Task, worker: string, now: number): void {
    const { step } = task
    step.hasClearedSuspect = false
    this.unrecordedJobs.add(step.job)
    if (task.hasRun) this.workers.get(task.worker)?.suspects.add(task)
    this.observer.onDidCrashWorker(worker, task)
    if (task.crashEvidence.isConclusive) this.finish(step.job, 'failed', `task ${task.name} has crashed worker after worker`, now)
    else if (task.crashEvidence.needsIsolation) this.isolatedTasks.add(task)
  }

  private findTask (taskName: string): Task | undefined {
    const [identity, occurrence, step, index] = taskName.split('.')
    return this.jobs.get(identity ?? '')?.occurrences.get(Number(occurrence))?.steps[Number(step)]?.tasks[Number(index)]
  }

  private onEnded (task: Task, worker: WorkerState, end: EndReport, now: number): void {
    this.observer.onDidEndRun(task, worker, end.kind, now - task.startedAt)
    this.preemption.onEnded(task, worker, end.kind, now)
    const job = task.step.job
    this.markStarted(job)
    if (task.crashEvidence.isSuspect) task.step.hasClearedSuspect = true
    if (end.kind === 'done' && !task.step.specification.longRunning) {
      worker.recordSuccess(task.step.specification.estimateMilliseconds, task.phase === 'running' && task.startedAt > 0 ? now - task.startedAt : 0)
      this.onDone(task, worker, now)
      return
    }
    if (end.kind === 'failed' && worker.recordFailure(job.identity, now)) this.observer.onDidQuarantine(worker)
    this.abandonRun(task)
    if (end.kind === 'failed' && !job.isFinal && !task.step.specification.longRunning) this.onFailure(task, now)
  }

  private onDone (task: Task, worker: WorkerState, now: number): void {
    worker.release(task)
    const step = task.step
    const job = step.job
    this.unrecordedJobs.add(job)
    // The members of a gang finish together, so the end of one member applies to all.
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
    this.isolatedTasks.delete(task)
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
    for (const task of job.tasks()) {
      this.isolatedTasks.delete(task)
      this.stopRun(task)
    }
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) this.readySteps.delete(step)
    }
    this.observer.onDidFinishJob(job)
  }

  /** Stops a run; a run whose start command has not been sent is abandoned at once. */
  private stopRun (task: Task): void {
    if (task.phase === 'placed') {
      this.workers.get(task.worker)?.release(task)
      this.returnToWaiting(task)
      return
    }
    if (!task.hasRun || task.phase === 'stopping') return
    task.phase = 'stopping'
    this.pendingStops.push({ worker: task.worker, task: task.name, run: task.run })
  }

  /** Releases the capacity of a run that no longer exists and lets its task wait again. A gang is restarted as a whole. */
  private abandonRun (task: Task): void {
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

function isSameCapacity (left: WorkerEntry, right: WorkerEntry): boolean {
  return left.processorsThousandths === right.processorsThousandths && left.memoryMegabytes === right.memoryMegabytes && left.accelerators === right.accelerators
}

/** Returns true if a run makes no progress although it could. Gang members that have finished wait for the others at 100 percent. */
function isStalled (task: Task, now: number): boolean {
  const { longRunning, filler } = task.step.specification
  if (longRunning || task.isAwaitingEnd || task.percent >= 100 || task.pacePercent < 100) return false
  return now - task.progressedAt > (filler ? STALLED_FILLER_TIMEOUT_MILLISECONDS : STALLED_RUN_TIMEOUT_MILLISECONDS)
}
