import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { ClusterConfiguration } from '../contracts/clusterConfiguration.js'
import { decodeRecord, encodeRecord, type ProgressRecord, type SubmissionRecord } from '../contracts/clusterRecords.js'
import type { ClusterBounds } from '../contracts/clusterSettings.js'
import type { JobState } from '../contracts/stepJob.js'
import type { ClusterMetrics } from './clusterMetrics.js'
import { ClusterScheduler, type PlannedStop, type SchedulerObserver } from './clusterScheduler.js'
import { EligibilityDesk, type EligibilityAnswer, type EligibilityLine } from './eligibilityDesk.js'
import { forgetTicket, progressOf, type Job, type Task } from './jobBook.js'
import { JobRetention } from './jobRetention.js'
import type { PlannedRun } from './placementPass.js'
import { ProgressWriter } from './progressWriter.js'
import { TOPICS, type KeyedRecord, type RecordLog, type StoredRecord } from './recordLog.js'
import { isCancelKey, jobOfCancelKey, SUBMISSION_PARTITIONS } from './submissions.js'
import { TopicFollower } from './topicFollower.js'
import type { EndReport, WorkerEntry, WorkerPort } from './workerPort.js'
import type { WorkerSession } from './workerSession.js'
import { WorkerSessions } from './workerSessions.js'
import type { WorkerState } from './workerState.js'

/** Wait of a read of submissions in milliseconds, and least time between two reads. */
const SUBMISSION_WAIT_MILLISECONDS = 1000
const SUBMISSION_PERIOD_MILLISECONDS = 12
/** Deciding takes at most this part of the time, so that the reports and questions that decisions depend on are still served. */
const DECIDING_SHARE = 1 / 3
/** Period of work that depends on time alone (recurring jobs, stuck runs, tickets), in milliseconds. */
const TICK_MILLISECONDS = 100
/** Period in which finished jobs are evicted, in milliseconds. */
const EVICTION_PERIOD_MILLISECONDS = 10_000
/** Age of the last read of submissions beyond which an unknown job may exist, in milliseconds. The last read that was answered is up to two waits old while the next one waits. */
const FRESH_MILLISECONDS = 2 * SUBMISSION_WAIT_MILLISECONDS + 500

/** Answer to a question about a job. `unsure`: the job may exist without being known here yet. */
export type StateAnswer = JobState | 'unknown' | 'unsure'

export interface ActingSchedulerOptions {
  readonly term: number
  readonly bounds: ClusterBounds
  /** Time of the last renewal of the role that the log has stored, in milliseconds of the monotonic clock. */
  readonly renewedAt: () => number
  /** Lines to the eligibility service of all instances that can be reached. */
  readonly lines: () => readonly EligibilityLine[]
  /** The role has passed to another instance. */
  readonly onDeposed: () => void
}

/** Submissions that one read has given. `storedAfter`: a time that precedes their storing, in milliseconds of the monotonic clock; undefined if none is known. */
interface SubmissionBatch {
  readonly partition: number
  readonly records: readonly StoredRecord[]
  readonly storedAfter: number | undefined
}

/** Latest end of a worker's process that has been taken into account. */
interface ProcessedEnd {
  readonly number: number
  readonly bornAt: number
}

/** Acts as the scheduler during one term: follows submissions, places tasks, records progress, and orders workers. */
export class ActingScheduler extends DisposableObject implements SchedulerObserver {
  private readonly scheduler: ClusterScheduler
  private readonly writer: ProgressWriter
  private readonly desk: EligibilityDesk
  private readonly submissions: TopicFollower[]
  private readonly sessions: WorkerSessions
  private readonly abort = new AbortController()
  private readonly startedAt: number
  private wake: (() => void) | undefined
  private isWoken = false
  private isOperating = false
  /** Ends of runs that have been taken into account and are not recorded yet. */
  private unrecordedEnds = 0
  /** Placements of a round whose record has to be written again. */
  private readonly unordered: PlannedRun[] = []
  /** Finished jobs without a submission, whose progress is to be dropped from the log. */
  private readonly evictedKeys: string[] = []
  private readonly retention: JobRetention
  /** Submissions that were read before the progress of their jobs. */
  private unprocessed: SubmissionBatch[] | undefined = []

  constructor (
    private readonly log: RecordLog,
    workers: WorkerPort,
    private readonly options: ActingSchedulerOptions,
    private readonly metrics: ClusterMetrics,
    private readonly logger: Logger,
    random: Random,
    private readonly now: () => number
  ) {
    super()
    this.startedAt = now()
    this.scheduler = new ClusterScheduler(this)
    this.writer = this.register(new ProgressWriter(log, options.term, reason => logger.warn('progress could not be recorded; the append is repeated', { term: options.term, reason }), now))
    this.sessions = this.register(new WorkerSessions(this.scheduler, workers, {
      term: options.term,
      leaseMilliseconds: options.bounds.workerLeaseMilliseconds,
      renewedAt: options.renewedAt,
      onDidChange: () => this.trigger(),
      onSuperseded: options.onDeposed
    }, metrics, logger, now))
    this.retention = this.register(new JobRetention(log, logger))
    this.desk = new EligibilityDesk(this.scheduler, options.lines, answer => this.onEligibilityAnswer(answer), now)
    this.submissions = Array.from({ length: SUBMISSION_PARTITIONS }, (_, partition) => this.register(new TopicFollower(
      log,
      { topic: TOPICS.submissions, partition, waitMilliseconds: SUBMISSION_WAIT_MILLISECONDS, periodMilliseconds: () => SUBMISSION_PERIOD_MILLISECONDS },
      {
        onRecords: (records, _, storedAfter) => this.onSubmissions({ partition, records, storedAfter }),
        onDidChangeReachability: (reachable, reason) => logger.info(reachable ? 'submissions can be read again' : 'submissions cannot be read', { term: options.term, reason })
      },
      random, now
    )))
    this.register(toDisposable(() => {
      this.abort.abort()
      this.wake?.()
    }))
  }

  /** Takes the role over from the log; resolves once it operates, or when the role is lost. */
  async takeOver (configuration: ClusterConfiguration, entries: Iterable<WorkerEntry>): Promise<void> {
    this.scheduler.configure(configuration)
    for (const entry of entries) this.setWorker(entry)
    // What the former scheduler has placed or finished was accepted before it was shut out, so that a later read has all of it.
    if (!await this.shutOutFormerSchedulers()) return
    const [progress] = await Promise.all([this.readProgress(), ...this.submissions.map(async follower => await this.loadUntilDone(follower))])
    if (this.isDisposed) return
    this.applyUnprocessed(progress)
    this.isOperating = true
    for (const follower of this.submissions) follower.follow()
    for (const worker of this.scheduler.workers.values()) this.sessions.open(worker)
    this.registerInterval(() => this.onTick(), TICK_MILLISECONDS)
    this.registerInterval(() => this.evict(), EVICTION_PERIOD_MILLISECONDS)
    const open = [...this.scheduler.jobs.values()].filter(job => !job.isFinal)
    const restored = open.filter(job => progress.has(job.identity)).length
    this.logger.info('acting as scheduler', { term: this.options.term, count: this.scheduler.jobs.size, reason: `${open.length} jobs are not finished, ${restored} of them have recorded progress`, durationMilliseconds: Math.round(this.now() - this.startedAt) })
    this.metrics.takeoverCompleted(this.now() - this.startedAt)
    this.recordAndOrder()
    this.trigger()
  }

  setConfiguration (configuration: ClusterConfiguration): void {
    this.scheduler.configure(configuration)
    this.trigger()
  }

  /** Takes over the registry's entry of a worker. */
  setWorker (entry: WorkerEntry): void {
    const worker = this.scheduler.upsertWorker(entry)
    this.sessions.get(entry.identity)?.setAddress(entry.address)
    if (this.isOperating) this.sessions.open(worker)
    this.trigger()
  }

  /** Takes note that the registry has dropped a worker. */
  removeWorker (identity: string): void {
    this.scheduler.unlistWorker(identity)
    this.sessions.closeIfUnknown(identity)
  }

  /** State of a job for callers. */
  stateOf (identity: string): StateAnswer {
    if (!this.isOperating) return 'unsure'
    const job = this.scheduler.jobs.get(identity)
    if (job !== undefined) return job.shownState
    return this.isFresh() ? 'unknown' : 'unsure'
  }

  /** Jobs of a queue of which no task has started; undefined while that is not known. */
  waitingOf (queue: string): number | undefined {
    const count = this.isOperating && this.isFresh() ? this.scheduler.waitingJobs(queue) : undefined
    const open = [...this.scheduler.jobs.values()].filter(job => job.submission.queue === queue && !job.isFinal).length
    this.logger.info('waiting jobs counted', { queue, count, term: this.options.term, reason: `${open} jobs of the queue are not finished; submissions were read ${Math.round(this.submissionsAge())} ms ago` })
    return count
  }

  /** Numbers for metrics. */
  get figures (): { jobs: number, openSteps: number, workers: number, unrecordedEnds: number } {
    return { jobs: this.scheduler.jobs.size, openSteps: this.scheduler.openSteps.size, workers: this.scheduler.workers.size, unrecordedEnds: this.unrecordedEnds }
  }

  onDidFinish (job: Job): void {
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

  onDidFindStrayRun (worker: WorkerState, task: string, run: number): void {
    this.logger.warn('a worker runs what it should not; it is told to stop', { worker: worker.identity, task, count: run })
  }

  onDidMissRun (worker: WorkerState, task: Task): void {
    this.logger.info('run is not on its worker; its task waits again', { task: task.name, count: task.run, worker: worker.identity, reason: `the run was ${task.phase}` })
  }

  onDidIgnoreEnd (worker: WorkerState, end: EndReport, task: Task): void {
    this.logger.warn('end of a run that the task has no more', { worker: worker.identity, task: task.name, count: end.run, code: end.kind, reason: `the task is ${task.phase} with run ${task.run} on ${task.worker === '' ? 'no worker' : task.worker}` })
  }

  private isFresh (): boolean {
    return this.submissionsAge() < FRESH_MILLISECONDS
  }

  /** Time since the submissions were read, of the partition that was read longest ago, in milliseconds. */
  private submissionsAge (): number {
    return this.now() - Math.min(...this.submissions.map(follower => follower.lastReadStartedAt ?? -Infinity))
  }

  private applyUnprocessed (progress: ReadonlyMap<string, ProgressRecord>): void {
    const unprocessed = this.unprocessed ?? []
    this.unprocessed = undefined
    for (const batch of unprocessed) this.applySubmissions(batch, progress)
  }

  /** Resolves with false if the role is lost. */
  private async shutOutFormerSchedulers (): Promise<boolean> {
    const fenced = await this.writer.fence()
    if (fenced === 'fenced') this.options.onDeposed()
    return fenced === 'stored'
  }

  /** All progress; complete only once the writers of former terms are shut out. */
  private async readProgress (): Promise<Map<string, ProgressRecord>> {
    const found = new Map<string, ProgressRecord>()
    while (!this.isDisposed) {
      const outcome = await this.log.snapshot(TOPICS.progress, 0)
      if (outcome.kind === 'snapshot') {
        for (const record of outcome.records) {
          if (record.value !== undefined) found.set(record.key, decodeRecord<ProgressRecord>(record.value))
        }
        this.logger.info('progress of former schedulers was read', { term: this.options.term, offset: outcome.end, count: found.size })
        return found
      }
      this.logger.warn('progress cannot be read', { term: this.options.term, reason: outcome.reason })
      await delay(TICK_MILLISECONDS, this.abort.signal)
    }
    return found
  }

  private async loadUntilDone (follower: TopicFollower): Promise<void> {
    while (!this.isDisposed && !await follower.loadSnapshot()) await delay(TICK_MILLISECONDS, this.abort.signal)
  }

  private onSubmissions (batch: SubmissionBatch): void {
    if (this.unprocessed === undefined) this.applySubmissions(batch, new Map())
    else this.unprocessed.push(batch)
  }

  private applySubmissions ({ partition, records, storedAfter }: SubmissionBatch, progress: ReadonlyMap<string, ProgressRecord>): void {
    const now = this.now()
    for (const { key, value } of records) {
      if (value === undefined) {
        this.onDropped(key, partition)
        continue
      }
      this.retention.onStored(key, partition)
      if (isCancelKey(key)) this.onCancel(jobOfCancelKey(key), now)
      else if (!this.scheduler.jobs.has(key)) this.scheduler.addJob(key, decodeRecord<SubmissionRecord>(value), now, { progress: progress.get(key), storedAfter })
    }
    this.trigger()
  }

  private onCancel (job: string, now: number): void {
    if (this.scheduler.jobs.get(job)?.isFinal !== true) this.logger.info('job cancelled', { job })
    this.scheduler.cancelJob(job, now)
  }

  private onTick (): void {
    const now = this.now()
    this.scheduler.observeLoad()
    this.scheduler.openDue(now, Date.now())
    for (const task of this.scheduler.stopStuckRuns(now)) this.logger.warn('run makes no progress; it is stopped', { task: task.name, worker: task.worker, count: task.run, reason: `${task.percent} percent` })
    this.trigger()
  }

  private evict (): void {
    this.retention.drop(this.scheduler.finishedBefore(this.now() - this.options.bounds.stateRetentionMilliseconds))
  }

  /** A submission has been dropped from the log. Its progress follows, because without it a copy that is left would be a new job. */
  private onDropped (key: string, partition: number): void {
    if (!this.retention.onDropped(key, partition) || isCancelKey(key) || !this.scheduler.forgetFinished(key)) return
    this.evictedKeys.push(key)
  }

  private onEligibilityAnswer (answer: EligibilityAnswer): void {
    const { step, instance, asked, named, durationMilliseconds, reason } = answer
    if (reason === '') this.logger.info('eligible workers are known', { task: step, peer: instance, count: named, reason: `${asked} asked about`, durationMilliseconds })
    else this.logger.warn('the eligibility service did not answer', { task: step, peer: instance, reason, durationMilliseconds })
    this.trigger()
  }

  private trigger (): void {
    this.isWoken = true
    this.wake?.()
  }

  /** Places, records and orders, one append at a time, until disposed. */
  private async recordAndOrder (): Promise<void> {
    while (!this.isDisposed) {
      if (!this.isWoken) await new Promise<void>(resolve => { this.wake = resolve })
      this.wake = undefined
      if (this.isDisposed) return
      this.isWoken = false
      const startedAt = this.now()
      const planned = this.decide(startedAt)
      const decidingMilliseconds = this.now() - startedAt
      await this.recordRound(planned, startedAt)
      const pause = decidingMilliseconds / DECIDING_SHARE - (this.now() - startedAt)
      if (pause >= 1) await delay(pause, this.abort.signal)
    }
  }

  /** Chooses the runs of a round, and sends stops and questions. */
  private decide (now: number): PlannedRun[] {
    const planned = [...this.unordered.splice(0), ...this.scheduler.place(now)]
    this.sendStops(this.scheduler.takeStops())
    this.desk.pump()
    return planned
  }

  /** Records what has changed; then acknowledges the ends that it covers and orders the runs. */
  private async recordRound (planned: readonly PlannedRun[], startedAt: number): Promise<void> {
    const jobs = [...this.scheduler.unrecorded]
    const evicted = this.evictedKeys.splice(0)
    if (jobs.length === 0 && evicted.length === 0) {
      this.unrecordedEnds = 0
      this.acknowledgeEnds(this.processedEnds())
      return
    }
    this.scheduler.unrecorded.clear()
    const ends = this.processedEnds()
    const endCount = this.unrecordedEnds
    const states = jobs.map(job => job.state)
    const records = jobs.map((job): KeyedRecord => ({ key: job.identity, value: encodeRecord(progressOf(job)) }))
    const outcome = await this.writer.write([...records, ...evicted.map(key => ({ key }))])
    if (this.isDisposed || outcome === 'disposed') return
    if (outcome === 'fenced') {
      this.options.onDeposed()
      return
    }
    if (outcome === 'behind') {
      this.logger.error('the log lacks progress that was taken for recorded; all of it is written again', { term: this.options.term, count: this.scheduler.jobs.size })
      for (const job of this.scheduler.jobs.values()) this.scheduler.unrecorded.add(job)
      this.unordered.push(...planned)
      this.evictedKeys.push(...evicted)
      this.trigger()
      return
    }
    this.metrics.progressRecorded(this.now() - startedAt)
    this.unrecordedEnds -= endCount
    jobs.forEach((job, index) => this.scheduler.onRecorded(job, states[index] as JobState))
    this.acknowledgeEnds(ends)
    for (const run of planned) this.order(run)
  }

  private processedEnds (): Map<WorkerState, ProcessedEnd> {
    const ends = new Map<WorkerState, ProcessedEnd>()
    for (const worker of this.scheduler.workers.values()) {
      if (worker.hasUnrecordedEnds) ends.set(worker, { number: worker.processedEnd, bornAt: worker.bornAt })
    }
    return ends
  }

  /** Ends whose effect is in the log may be forgotten by their workers. */
  private acknowledgeEnds (ends: ReadonlyMap<WorkerState, ProcessedEnd>): void {
    for (const [worker, { number, bornAt }] of ends) {
      // A new process of the worker counts its ends anew.
      if (bornAt !== worker.bornAt) continue
      worker.recordedEnd = number
      this.sessions.get(worker.identity)?.onEndsRecorded()
    }
  }

  private sendStops (stops: readonly PlannedStop[]): void {
    for (const { worker, task, run } of stops) this.sessions.get(worker)?.stop(task, run)
  }

  private async order ({ task, run, worker, ticket }: PlannedRun): Promise<void> {
    const session = this.sessions.get(worker.identity)
    if (session === undefined || !this.scheduler.beginStart(task, run, this.now())) return
    const sentAt = this.now()
    this.logger.info('run ordered', { task: task.name, count: run, worker: worker.identity })
    const outcome = await session.start({ task: task.name, run, specification: task.step.job.submission.job.specification, checkpoint: task.checkpoint, ticket })
    if (this.isDisposed) return
    this.metrics.startCommandCompleted(outcome.kind, this.now() - sentAt)
    if (outcome.kind !== 'done') this.logger.info('start was not confirmed', { task: task.name, count: run, worker: worker.identity, code: outcome.kind, reason: 'reason' in outcome ? outcome.reason : undefined })
    switch (outcome.kind) {
      case 'done':
        this.scheduler.onStartOutcome(task, run, 'started', this.now())
        break
      case 'unknown':
        this.scheduler.onStartOutcome(task, run, 'uncertain', this.now())
        await this.settle(session, task, run)
        break
      case 'refused':
        if (outcome.reason === 'ticket') forgetTicket(task.step, worker.identity)
        this.scheduler.onStartOutcome(task, run, 'notStarted', this.now())
        break
      default:
        this.scheduler.onStartOutcome(task, run, 'notStarted', this.now())
    }
    this.trigger()
  }

  /** Finds out whether an unanswered start was carried out; if it was not, keeps it from being carried out later. */
  private async settle (session: WorkerSession, task: Task, run: number): Promise<void> {
    await session.pollOnce()
    if (task.phase === 'uncertain' && task.run === run) await session.stop(task.name, run)
  }
}
