import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { ClusterConfiguration } from '../contracts/clusterConfiguration.js'
import type { AdmissionReply, OrganisationBacklog } from '../contracts/clusterMessages.js'
import { decodeSubmission, encodeRecord, type ProgressRecord } from '../contracts/clusterRecords.js'
import type { ClusterBounds } from '../contracts/clusterSettings.js'
import type { JobState } from '../contracts/stepJob.js'
import { AdmissionController, MEASURE_PERIOD_MILLISECONDS } from './admission/admissionController.js'
import type { AdmissionQuestion } from './admission/submissionAdmission.js'
import type { ClusterMetrics } from './clusterMetrics.js'
import { ClusterScheduler, type PendingStop, type SchedulerObserver } from './clusterScheduler.js'
import type { RunLossCause } from './crashTracker.js'
import { EligibilityRequester, type EligibilityRequestResult, type EligibilityChannel } from './eligibilityRequester.js'
import { toProgressRecord, type Job, type Step, type Task } from './job.js'
import { JobRetention } from './jobRetention.js'
import type { OrganisationSummary } from './organisations/organisations.js'
import { findEarliestClaims } from './organisations/contestedIdentities.js'
import type { PlannedRun } from './placementPass.js'
import type { PreemptedRun } from './preemption/preemptionController.js'
import { readProgress } from './progressReader.js'
import { ProgressWriter } from './progressWriter.js'
import type { PaceChange } from './serving/pacingController.js'
import type { PendingPace } from './serving/servingSupervisor.js'
import { applyStartRefusal } from './startRefusal.js'
import { TOPICS, type KeyedRecord, type RecordLog, type StoredRecord } from './recordLog.js'
import { SubmissionLookup } from './submissionLookup.js'
import { isCancelKey, jobOfCancelKey, SUBMISSION_PARTITIONS } from './submissions.js'
import { TopicFollower } from './topicFollower.js'
import type { EndReport, WorkerEntry, WorkerPort } from './workerPort.js'
import type { WorkerSession } from './workerSession.js'
import { WorkerSessions } from './workerSessions.js'
import type { WorkerState } from './workerState.js'

/** Long-poll duration of a read of submissions, and minimum time between two reads. */
const SUBMISSION_WAIT_MILLISECONDS = 1000
const SUBMISSION_PERIOD_MILLISECONDS = 12
/** Maximum share of the time spent on planning, so that the reports and requests that planning depends on are still served. */
const MAXIMUM_PLANNING_SHARE = 1 / 3
/** Period of time-driven work (recurring jobs, stalled runs, tickets). */
const TICK_MILLISECONDS = 100
/** Period of the eviction of finished jobs. */
const EVICTION_PERIOD_MILLISECONDS = 10_000
/** Age of the last read of submissions beyond which an unknown job may exist. While a long-poll read is pending, the last completed read is up to two long-poll durations old. */
const MAXIMUM_SUBMISSIONS_AGE_MILLISECONDS = 2 * SUBMISSION_WAIT_MILLISECONDS + 500

/** Part of the grace time after a worker's capacity has shrunk that is reserved for start commands to arrive, in milliseconds. */
const START_DELIVERY_MILLISECONDS = 500

/** Result of a query for the state of a job. `unsure`: the job may exist although this scheduler has not read it yet. */
export type JobStateResult = JobState | 'unknown' | 'unsure'

/** State of a job and the organisation that submitted it, if there is one. */
export interface JobStatus {
  readonly state: JobStateResult
  readonly organisation?: string
}

export interface ActiveSchedulerOptions {
  readonly term: number
  readonly bounds: ClusterBounds
  /** Returns the time of the last renewal of the role that the log has stored, in milliseconds of the monotonic clock. */
  readonly renewedAt: () => number
  /** Returns when the last successful read of the worker registry was sent, in milliseconds of the monotonic clock; undefined before the first. */
  readonly registryReadAt: () => number | undefined
  /** Returns the channels to the eligibility service through all reachable instances. */
  readonly eligibilityChannels: () => readonly EligibilityChannel[]
  /** Called with the backlog of the organisations that wait for room. */
  readonly onBacklog: (organisations: OrganisationBacklog[]) => void
  /** Called when the role has passed to another instance. */
  readonly onSuperseded: () => void
}

/** Submissions returned by one read. `storedAfter`: lower bound of the time at which they were stored, in milliseconds of the monotonic clock; undefined if unknown. */
interface SubmissionBatch {
  readonly partition: number
  readonly records: readonly StoredRecord[]
  readonly storedAfter: number | undefined
}

/** Number of the latest processed end of a worker's process. */
interface ProcessedEnd {
  readonly number: number
  readonly processStartedAt: number
}

/** The scheduler of the cluster during one term: follows submissions, places tasks, records progress, and sends commands to workers. */
export class ActiveScheduler extends DisposableObject implements SchedulerObserver {
  private readonly scheduler: ClusterScheduler
  private readonly admission: AdmissionController
  private readonly writer: ProgressWriter
  private readonly eligibilityRequester: EligibilityRequester
  private readonly submissionFollowers: TopicFollower[]
  private readonly lookup: SubmissionLookup
  private readonly sessions: WorkerSessions
  private readonly abort = new AbortController()
  private readonly startedAt: number
  private wakeLoop: (() => void) | undefined
  private isRoundRequested = false
  private isActive = false
  /** Whether the worker registry was too old at the last placement. */
  private isRegistryStale = false
  /** Number of ends of runs that are processed but not recorded yet. */
  private unrecordedEnds = 0
  /** Runs of a round whose record must be written again before their start commands are sent. */
  private readonly unsentRuns: PlannedRun[] = []
  /** Finished jobs whose submission was deleted from the log and whose progress must be deleted as well. */
  private readonly evictedKeys: string[] = []
  private readonly retention: JobRetention
  /** Jobs whose recorded progress is malformed. Without it, tasks that have ended would run again. */
  private unreadableJobs: ReadonlySet<string> = new Set()
  /** Submissions that were read before the progress of their jobs; undefined once the progress has been read. */
  private bufferedSubmissions: SubmissionBatch[] | undefined = []

  constructor (
    private readonly log: RecordLog,
    workers: WorkerPort,
    private readonly options: ActiveSchedulerOptions,
    private readonly metrics: ClusterMetrics,
    private readonly logger: Logger,
    random: Random,
    private readonly now: () => number
  ) {
    super()
    this.startedAt = now()
    this.scheduler = new ClusterScheduler(this)
    this.admission = new AdmissionController(this.scheduler, options.onBacklog)
    this.writer = this.register(new ProgressWriter(log, options.term, reason => logger.warn('progress could not be recorded; the append is repeated', { term: options.term, reason }), now))
    this.sessions = this.register(new WorkerSessions(this.scheduler, workers, {
      term: options.term,
      leaseMilliseconds: options.bounds.workerLeaseMilliseconds,
      renewedAt: options.renewedAt,
      onDidChange: () => this.requestRound(),
      onSuperseded: options.onSuperseded
    }, metrics, logger, now))
    this.retention = this.register(new JobRetention(log, logger))
    this.eligibilityRequester = new EligibilityRequester(this.scheduler, options.eligibilityChannels, result => this.onEligibilityResult(result), now)
    this.submissionFollowers = Array.from({ length: SUBMISSION_PARTITIONS }, (_, partition) => this.register(new TopicFollower(
      log,
      { topic: TOPICS.submissions, partition, waitMilliseconds: SUBMISSION_WAIT_MILLISECONDS, periodMilliseconds: () => SUBMISSION_PERIOD_MILLISECONDS },
      {
        onRecords: (records, _, storedAfter) => this.onSubmissions({ partition, records, storedAfter }),
        onDidChangeReachability: (reachable, reason) => logger.info(reachable ? 'submissions can be read again' : 'submissions cannot be read', { term: options.term, reason })
      },
      random, now
    )))
    this.lookup = new SubmissionLookup(log, () => this.submissionFollowers.map(({ position }) => position))
    this.register(toDisposable(() => {
      this.abort.abort()
      this.wakeLoop?.()
    }))
  }

  /** Takes over the role by restoring the state from the log. Resolves once the scheduler is active, or when the role is lost. */
  async takeOver (configuration: ClusterConfiguration, entries: Iterable<WorkerEntry>): Promise<void> {
    this.scheduler.configure(configuration)
    for (const entry of entries) this.setWorker(entry)
    // Every job that the former scheduler has placed or finished was accepted before it was fenced, so a later read returns all of them.
    if (!await this.fenceFormerSchedulers()) return
    const [{ records: progress, unreadableJobs }] = await Promise.all([readProgress(this.log, this.options.term, this.logger, this.abort.signal), ...this.submissionFollowers.map(async follower => await this.loadSubmissions(follower))])
    if (this.isDisposed) return
    this.unreadableJobs = unreadableJobs
    this.applyBufferedSubmissions(progress)
    this.isActive = true
    for (const follower of this.submissionFollowers) follower.follow()
    for (const worker of this.scheduler.workers.values()) this.sessions.open(worker)
    this.registerInterval(() => this.onTick(), TICK_MILLISECONDS)
    this.registerInterval(() => this.admission.onTick(this.now()), MEASURE_PERIOD_MILLISECONDS)
    this.registerInterval(() => this.deleteFinishedJobs(), EVICTION_PERIOD_MILLISECONDS)
    const unfinished = [...this.scheduler.jobs.values()].filter(job => !job.isFinal)
    const restored = unfinished.filter(job => progress.has(job.identity)).length
    this.logger.info('acting as scheduler', { term: this.options.term, count: this.scheduler.jobs.size, reason: `${unfinished.length} jobs are not finished, ${restored} of them have recorded progress`, durationMilliseconds: Math.round(this.now() - this.startedAt) })
    this.metrics.takeoverCompleted(this.now() - this.startedAt)
    this.runRounds()
    this.requestRound()
  }

  setConfiguration (configuration: ClusterConfiguration): void {
    this.scheduler.configure(configuration)
    this.requestRound()
  }

  /** Adds or updates a worker from its registry entry. */
  setWorker (entry: WorkerEntry): void {
    const worker = this.scheduler.upsertWorker(entry, this.now())
    this.sessions.get(entry.identity)?.setAddress(entry.address)
    if (this.isActive) this.sessions.open(worker)
    this.requestRound()
  }

  /** Handles the removal of a worker from the registry. */
  removeWorker (identity: string): void {
    this.scheduler.unlistWorker(identity)
    this.sessions.closeIfUnknown(identity)
  }

  /** Returns the state of a job as shown to callers. */
  stateOf (identity: string): JobStateResult {
    if (!this.isActive) return 'unsure'
    const job = this.scheduler.jobs.get(identity)
    if (job !== undefined) return job.visibleState
    return this.areSubmissionsFresh() && !this.unreadableJobs.has(identity) ? 'unknown' : 'unsure'
  }

  /** Returns the state of a job as shown to callers, with the organisation that submitted it. */
  statusOf (identity: string): JobStatus {
    const organisation = this.scheduler.jobs.get(identity)?.submission.organisation
    return { state: this.stateOf(identity), ...(organisation === undefined ? {} : { organisation }) }
  }

  /** Decides on a job that an instance would refuse, unless it is stored already or may be. */
  async decideAdmission (question: AdmissionQuestion): Promise<AdmissionReply> {
    return this.admission.answer(question, await this.currentStatusOf(question.job), this.now())
  }

  /** Returns the state of a job for a refusal: `unknown` only if the log, read after the call, holds no submission of the job. */
  async currentStatusOf (identity: string): Promise<JobStatus> {
    if (this.stateOf(identity) !== 'unknown') return this.statusOf(identity)
    const isAbsent = await this.lookup.isAbsent(identity)
    const status = this.statusOf(identity)
    return this.isDisposed || (status.state === 'unknown' && !isAbsent) ? { state: 'unsure' } : status
  }

  /** Returns the number of jobs of a queue of which no task has started; undefined while that is not known. */
  countWaitingJobs (queue: string): number | undefined {
    const count = this.isActive && this.areSubmissionsFresh() ? this.scheduler.countWaitingJobs(queue) : undefined
    const unfinished = [...this.scheduler.jobs.values()].filter(job => job.submission.queue === queue && !job.isFinal).length
    this.logger.info('waiting jobs counted', { queue, count, term: this.options.term, reason: `${unfinished} jobs of the queue are not finished; submissions were read ${Math.round(this.submissionsAge())} ms ago` })
    return count
  }

  /** Organisations shown as metrics. */
  get organisations (): OrganisationSummary[] {
    return this.scheduler.organisations.summarise(this.scheduler.readySteps)
  }

  /** Queued work of the organisations that wait for room, in core-seconds, the largest first; shown as metrics. */
  get queuedCoreSeconds (): Array<readonly [organisation: string, coreSeconds: number]> {
    return this.admission.queuedCoreSeconds
  }

  /** Counts shown as metrics. */
  get counts (): { jobs: number, readySteps: number, workers: number, unrecordedEnds: number } {
    return { jobs: this.scheduler.jobs.size, readySteps: this.scheduler.readySteps.size, workers: this.scheduler.workers.size, unrecordedEnds: this.unrecordedEnds }
  }

  onDidFinishJob (job: Job): void {
    this.metrics.jobFinished(job.state)
    this.logger.info('job finished', { job: job.identity, code: job.state, reason: job.reason, queue: job.submission.queue, durationMilliseconds: Math.round(this.now() - job.acceptedAt), objectiveMilliseconds: Math.round(job.objectiveAt - job.acceptedAt) })
  }

  onDidEndRun (task: Task, worker: WorkerState, kind: string, durationMilliseconds: number): void {
    this.unrecordedEnds += 1
    this.metrics.runEnded(kind)
    this.logger.info('run ended', { task: task.name, count: task.run, worker: worker.identity, code: kind, durationMilliseconds: Math.round(durationMilliseconds) })
  }

  onDidQuarantine (worker: WorkerState): void {
    this.logger.warn('worker gets no work for a while; its runs have failed in a row', { worker: worker.identity })
  }

  onDidFindOrphanedRun (worker: WorkerState, task: string, run: number): void {
    this.logger.warn('worker has an orphaned run; the run is stopped', { worker: worker.identity, task, count: run })
  }

  onDidWithdrawRun (worker: WorkerState | undefined, task: Task): void {
    this.logger.info('placed run is not started; its task waits again', { task: task.name, count: task.run, worker: worker?.identity, reason: worker === undefined ? 'the worker is not known' : `the worker is ${worker.isListed ? worker.entry.state : 'not listed'}; ${describeUse(worker)}` })
    this.requestRound()
  }

  onDidLoseRun (worker: WorkerState, task: Task, cause: RunLossCause): void {
    this.metrics.runLost(cause)
    const message = cause === 'notListed' ? 'run is not on its worker; its task waits again' : 'run is lost with its worker; its task waits again'
    this.logger.info(message, { task: task.name, count: task.run, worker: worker.identity, code: cause, reason: `the run was ${task.phase}` })
  }

  onDidCrashWorker (worker: string, task: Task): void {
    this.metrics.workerCrashed()
    this.logger.warn('worker has crashed under a task', { task: task.name, count: task.run, worker, code: `evidence ${task.crashEvidence.proven}`, reason: task.crashEvidence.needsIsolation ? 'further runs share their worker with no other run' : 'further runs avoid other tasks under which a worker has crashed' })
  }

  onDidRestartWorker (worker: WorkerState, formerStartedAt: number): void {
    this.logger.warn('worker runs a new process', { worker: worker.identity, count: worker.runs.size, reason: `the former process started at ${formerStartedAt}, this one at ${worker.processStartedAt}` })
  }

  onDidResizeWorker (worker: WorkerState, former: WorkerEntry): void {
    this.logger.info('capacity of a worker changed', { worker: worker.identity, count: worker.runs.size, reason: `${describeCapacity(former)} before; ${describeUse(worker)}` })
  }

  onDidIgnoreRunEnd (worker: WorkerState, end: EndReport, task: Task): void {
    this.logger.warn('end of a run that the task has no more', { worker: worker.identity, task: task.name, count: end.run, code: end.kind, reason: `the task is ${task.phase} with run ${task.run} on ${task.worker === '' ? 'no worker' : task.worker}` })
  }

  onDidExplainWait (step: Step, reason: string): void {
    this.logger.info('step waits for its organisation', { task: step.name, count: step.waitingCount, reason })
  }

  onDidEnterService (worker: WorkerState, task: Task): void {
    this.logger.info('task is in service', { task: task.name, count: task.run, worker: worker.identity, durationMilliseconds: Math.round(this.now() - task.startedAt) })
  }

  onDidChangePace (worker: WorkerState, { task, percent, reason }: PaceChange): void {
    this.logger.info('pace of a run changed', { task: task.name, count: task.run, worker: worker.identity, code: `${percent} percent`, reason })
  }

  onDidCrossTarget (worker: WorkerState, task: Task, isOver: boolean): void {
    this.metrics.targetCrossed(isOver)
    this.logger.info(isOver ? 'task is over its latency target' : 'task is within its latency target again', { task: task.name, count: task.run, worker: worker.identity, durationMilliseconds: task.reportedLoad, objectiveMilliseconds: task.step.specification.targetMilliseconds })
  }

  onWillMoveRun (worker: WorkerState, task: Task, reason: string): void {
    this.metrics.runMoved()
    this.logger.info('run is stopped to be moved to another worker', { task: task.name, count: task.run, worker: worker.identity, reason: `${reason}; the run is at ${task.percent} percent` })
  }

  onDidPreemptRun ({ task, worker, step, reason, unsaved }: PreemptedRun): void {
    this.metrics.runPreempted(reason, unsaved / 1000)
    this.logger.info('run is preempted', { task: task.name, count: task.run, worker: worker.identity, code: reason, reason: `by ${step.name}; ${Math.round(unsaved)} core-milliseconds are lost at ${task.percent} percent, ${task.step.specification.checkpointable ? 'with' : 'without'} a checkpoint` })
  }

  private areSubmissionsFresh (): boolean {
    return this.submissionsAge() < MAXIMUM_SUBMISSIONS_AGE_MILLISECONDS
  }

  /** Returns the time since the last read of the partition that was read longest ago, in milliseconds. */
  private submissionsAge (): number {
    return this.now() - Math.min(...this.submissionFollowers.map(follower => follower.lastReadStartedAt ?? -Infinity))
  }

  private applyBufferedSubmissions (progress: ReadonlyMap<string, ProgressRecord>): void {
    const batches = this.bufferedSubmissions ?? []
    this.bufferedSubmissions = undefined
    for (const batch of [...findEarliestClaims(batches), ...batches]) this.applySubmissions(batch, progress)
  }

  /** Fences the writers of former terms. Resolves with false if the role is lost. */
  private async fenceFormerSchedulers (): Promise<boolean> {
    const outcome = await this.writer.fence()
    if (outcome === 'fenced') this.options.onSuperseded()
    return outcome === 'stored'
  }

  private async loadSubmissions (follower: TopicFollower): Promise<void> {
    while (!this.isDisposed && !await follower.loadSnapshot()) await delay(TICK_MILLISECONDS, this.abort.signal)
  }

  private onSubmissions (batch: SubmissionBatch): void {
    if (this.bufferedSubmissions === undefined) this.applySubmissions(batch, new Map())
    else this.bufferedSubmissions.push(batch)
  }

  private applySubmissions ({ partition, records, storedAfter }: SubmissionBatch, progress: ReadonlyMap<string, ProgressRecord>): void {
    const now = this.now()
    for (const { key, value } of records) {
      if (value === undefined) {
        this.onSubmissionDeleted(key, partition)
        continue
      }
      this.retention.onStored(key, partition)
      if (isCancelKey(key)) this.onCancel(jobOfCancelKey(key), now)
      else if (!this.scheduler.jobs.has(key) && !this.unreadableJobs.has(key)) this.addJob(key, value, progress.get(key), storedAfter)
      else this.onCopy(key, value)
    }
    this.requestRound()
  }

  private addJob (identity: string, value: Uint8Array, progress: ProgressRecord | undefined, storedAfter: number | undefined): void {
    const submission = decodeSubmission(value)
    if (submission === undefined) this.logger.error('malformed submission; it is skipped', { job: identity })
    else this.scheduler.addJob(identity, submission, this.now(), { progress, storedAfter })
  }

  /** Handles another record of a known job, which callers' retries leave in several partitions. */
  private onCopy (identity: string, value: Uint8Array): void {
    const job = this.scheduler.jobs.get(identity)
    const copy = decodeSubmission(value)
    if (job === undefined || copy === undefined || copy.organisation === job.submission.organisation) return
    this.logger.warn('the identity of a job was used by another organisation; the later submission is dropped', { job: identity, queue: copy.queue })
  }

  private onCancel (job: string, now: number): void {
    if (this.scheduler.jobs.get(job)?.isFinal !== true) this.logger.info('job cancelled', { job })
    this.scheduler.cancelJob(job, now)
  }

  private onTick (): void {
    const now = this.now()
    this.scheduler.observeLoad()
    this.scheduler.openDueOccurrences(now, Date.now())
    this.scheduler.moveDepartingRuns(now)
    for (const task of this.scheduler.stopStalledRuns(now)) this.logger.warn('run makes no progress; it is stopped', { task: task.name, worker: task.worker, count: task.run, reason: `${task.percent} percent` })
    this.requestRound()
  }

  private deleteFinishedJobs (): void {
    this.retention.deleteRecords(this.scheduler.findJobsFinishedBefore(this.now() - this.options.bounds.stateRetentionMilliseconds))
  }

  /** Handles the deletion of a submission from the log. The progress is deleted only once no copy of the submission is left: a copy without progress would be a new job. */
  private onSubmissionDeleted (key: string, partition: number): void {
    if (!this.retention.onDeleted(key, partition) || isCancelKey(key) || !this.scheduler.removeFinishedJob(key)) return
    this.evictedKeys.push(key)
  }

  private onEligibilityResult (result: EligibilityRequestResult): void {
    const { step, instance, requestedCount, eligibleCount, durationMilliseconds, reason } = result
    if (reason === '') this.logger.info('eligible workers are known', { task: step, peer: instance, count: eligibleCount, reason: `${requestedCount} requested`, durationMilliseconds })
    else this.logger.warn('the eligibility service did not respond', { task: step, peer: instance, reason, durationMilliseconds })
    this.requestRound()
  }

  private requestRound (): void {
    this.isRoundRequested = true
    this.wakeLoop?.()
  }

  /** Runs rounds of planning, recording and sending commands until disposed; at most one append is pending at a time. */
  private async runRounds (): Promise<void> {
    while (!this.isDisposed) {
      if (!this.isRoundRequested) await new Promise<void>(resolve => { this.wakeLoop = resolve })
      this.wakeLoop = undefined
      if (this.isDisposed) return
      this.isRoundRequested = false
      const startedAt = this.now()
      const planned = this.planRound(startedAt)
      const planningMilliseconds = this.now() - startedAt
      await this.recordAndStart(planned, startedAt)
      const pause = planningMilliseconds / MAXIMUM_PLANNING_SHARE - (this.now() - startedAt)
      if (pause >= 1) await delay(pause, this.abort.signal)
    }
  }

  /** Plans the runs of a round, and sends stop commands and eligibility requests. */
  private planRound (now: number): PlannedRun[] {
    const planned = [...this.unsentRuns.splice(0), ...this.isRegistryFresh() && this.sessions.isRoleCertain ? this.scheduler.place(now) : []]
    this.sendStops(this.scheduler.takeStops())
    for (const pace of this.scheduler.takePaces()) this.sendPace(pace)
    this.eligibilityRequester.sendRequests()
    return planned
  }

  /** Returns whether the registry was read recently enough to rely on the capacities that it states. Logs each change. */
  private isRegistryFresh (): boolean {
    const readAt = this.options.registryReadAt()
    const isStale = readAt === undefined || this.now() - readAt > this.options.bounds.capacityGraceMilliseconds - START_DELIVERY_MILLISECONDS
    if (isStale !== this.isRegistryStale) {
      this.isRegistryStale = isStale
      this.logger.info(isStale ? 'no tasks are started: the worker registry is out of date' : 'tasks are started again: the worker registry is up to date', { term: this.options.term, durationMilliseconds: readAt === undefined ? undefined : Math.round(this.now() - readAt) })
    }
    return !isStale
  }

  /** Records changed progress, then acknowledges the ends covered by the record and sends the start commands. */
  private async recordAndStart (planned: readonly PlannedRun[], startedAt: number): Promise<void> {
    const jobs = [...this.scheduler.unrecordedJobs]
    const evicted = this.evictedKeys.splice(0)
    if (jobs.length === 0 && evicted.length === 0) {
      this.unrecordedEnds = 0
      this.acknowledgeEnds(this.processedEnds())
      return
    }
    this.scheduler.unrecordedJobs.clear()
    const ends = this.processedEnds()
    const endCount = this.unrecordedEnds
    const states = jobs.map(job => job.state)
    const records = jobs.map((job): KeyedRecord => ({ key: job.identity, value: encodeRecord(toProgressRecord(job)) }))
    const outcome = await this.writer.write([...records, ...evicted.map(key => ({ key }))])
    if (this.isDisposed || outcome === 'disposed') return
    if (outcome === 'fenced') {
      this.options.onSuperseded()
      return
    }
    if (outcome === 'behind') {
      this.logger.error('the log lacks progress that was assumed to be recorded; all progress is written again', { term: this.options.term, count: this.scheduler.jobs.size })
      for (const job of this.scheduler.jobs.values()) this.scheduler.unrecordedJobs.add(job)
      this.unsentRuns.push(...planned)
      this.evictedKeys.push(...evicted)
      this.requestRound()
      return
    }
    this.metrics.progressRecorded(this.now() - startedAt)
    this.unrecordedEnds -= endCount
    jobs.forEach((job, index) => this.scheduler.onRecorded(job, states[index] as JobState))
    this.acknowledgeEnds(ends)
    for (const run of planned) this.startRun(run)
  }

  private processedEnds (): Map<WorkerState, ProcessedEnd> {
    const ends = new Map<WorkerState, ProcessedEnd>()
    for (const worker of this.scheduler.workers.values()) {
      if (worker.hasUnrecordedEnds) ends.set(worker, { number: worker.processedEnd, processStartedAt: worker.processStartedAt })
    }
    return ends
  }

  /** Allows the workers to discard ends whose effect is in the log. */
  private acknowledgeEnds (ends: ReadonlyMap<WorkerState, ProcessedEnd>): void {
    for (const [worker, { number, processStartedAt }] of ends) {
      // A new process of the worker numbers its ends from 1 again.
      if (processStartedAt !== worker.processStartedAt) continue
      worker.recordedEnd = number
      this.sessions.get(worker.identity)?.onEndsRecorded()
    }
  }

  private sendStops (stops: readonly PendingStop[]): void {
    for (const { worker, task, run } of stops) this.sessions.get(worker)?.stop(task, run)
  }

  /** Sends the pace of a run. A pace that is not confirmed is sent again after the next report of the worker. */
  private async sendPace ({ task, run, worker, percent }: PendingPace): Promise<void> {
    const isConfirmed = await this.sessions.get(worker)?.pace(task.name, run, percent) === true
    this.metrics.paceCommandCompleted(isConfirmed)
    if (isConfirmed && task.run === run && task.worker === worker) task.confirmedPacePercent = percent
  }

  private async startRun ({ task, run, worker, ticket }: PlannedRun): Promise<void> {
    const session = this.sessions.get(worker.identity)
    if (session === undefined || !this.isRegistryFresh() || !this.sessions.isRoleCertain) {
      this.scheduler.withdrawRun(task, run)
      return
    }
    if (!this.scheduler.beginStart(task, run, this.now())) return
    const sentAt = this.now()
    this.logger.info('run ordered', { task: task.name, count: run, worker: worker.identity })
    const outcome = await session.start({ task: task.name, run, specification: task.step.job.submission.job.specification, checkpoint: task.checkpoint, ticket })
    if (this.isDisposed) return
    this.metrics.startCommandCompleted(outcome.kind, this.now() - sentAt)
    if (outcome.kind !== 'done') this.logger.info('start was not confirmed', { task: task.name, count: run, worker: worker.identity, code: outcome.kind, reason: 'reason' in outcome ? outcome.reason : undefined })
    if (outcome.kind === 'refused') applyStartRefusal(task.step, worker, outcome, this.now())
    switch (outcome.kind) {
      case 'done':
        this.scheduler.onStartOutcome(task, run, 'started', this.now())
        break
      case 'unknown':
        this.scheduler.onStartOutcome(task, run, 'uncertain', this.now())
        await this.resolveUncertainStart(session, task, run)
        break
      default:
        this.scheduler.onStartOutcome(task, run, 'notStarted', this.now())
    }
    this.requestRound()
  }

  /** Determines whether a start without a response was executed; if not, stops the run so that the command cannot be executed later. */
  private async resolveUncertainStart (session: WorkerSession, task: Task, run: number): Promise<void> {
    await session.pollOnce()
    if (task.phase === 'uncertain' && task.run === run) await session.stop(task.name, run)
  }
}

/** Formats what is in use of the capacity of a worker. */
function describeUse ({ entry, usedProcessors, usedMemory, usedAccelerators }: WorkerState): string {
  return `${usedProcessors}/${usedMemory}/${usedAccelerators} of ${describeCapacity(entry)} in use`
}

/** Formats the processors in thousandths, the memory in megabytes and the accelerators of a worker. */
function describeCapacity ({ processorsThousandths, memoryMegabytes, accelerators }: WorkerEntry): string {
  return `${processorsThousandths}/${memoryMegabytes}/${accelerators}`
}
