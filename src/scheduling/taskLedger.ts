import type { Job } from '../contracts/jobs.js'
import type { Attempt, ReportedTask, WorkerReport } from '../contracts/workerProtocol.js'
import type { Hold, WorkerDescription } from '../machines/worker.js'
import { HoldTimers, type HeldAttempt } from './holdTimers.js'
import { compareAttempts, indexOfTask, JobEntry, jobOfTask, type TaskEntry } from './jobState.js'
import type { LedgerObserver, StartOutcome } from './ledgerObserver.js'
import type { TeamShares } from './teamShares.js'
import { WorkerEntry } from './workerEntry.js'

/** Time for which a worker that could not be reached or refused a start receives no starts, in milliseconds. */
const AVOID_AFTER_REFUSAL_MILLISECONDS = 1000

/**
 * Tracks which attempt of which task is on which worker, as far as the owner knows. The resources of an attempt stay held until
 * its end is reported, a later report no longer lists it, its start was definitely not carried out, or its lease must have lapsed.
 */
export class TaskLedger {
  readonly workers = new Map<string, WorkerEntry>()
  readonly jobs = new Map<string, JobEntry>()
  /** Whether a worker has seen a newer term, which means that another instance owns the failure domain. */
  superseded = false
  /** Tasks that have finished since the caller last cleared the map, by job. */
  newlyFinished = new Map<string, number[]>()
  /** Worker of each start command without an outcome, by the attempt's sequence number. */
  private readonly startsInFlight = new Map<number, WorkerEntry>()
  private unreportedCount = 0
  private lastOrder = 0
  private readonly timers = new HoldTimers()
  /** Workers that hold or report attempts of unknown jobs, by job. */
  private readonly orphans = new Map<string, Set<WorkerEntry>>()

  constructor (private readonly term: number, private readonly observer: LedgerObserver, private readonly teams: TeamShares) {}

  /** Whether every worker has reported to this owner. */
  get everyWorkerReported (): boolean {
    return this.unreportedCount === 0
  }

  setWorkers (workers: ReadonlyArray<WorkerDescription & { leaving: boolean }>): void {
    const listed = new Set<string>()
    for (const listing of workers) {
      listed.add(listing.name)
      this.setWorker(listing)
    }
    for (const [name, entry] of this.workers) {
      if (listed.has(name)) continue
      if (entry.listed) {
        entry.listed = false
        this.observer.onWorkerChanged(entry)
      }
      if (entry.worker.holdCount === 0 && entry.reportedAt !== undefined) this.workers.delete(name)
    }
  }

  /** Removes workers that left the list without a report. Until the leases of an earlier owner have lapsed, they may still run its tasks. */
  forgetSilentWorkers (): void {
    if (this.unreportedCount === 0) return
    for (const [name, entry] of this.workers) {
      if (entry.listed || entry.reportedAt !== undefined) continue
      this.workers.delete(name)
      this.unreportedCount -= 1
    }
  }

  addJob (job: Job, now: number, mayAlreadyBePlaced: boolean): JobEntry | undefined {
    if (this.jobs.has(job.identity)) return undefined
    const added = new JobEntry(job, now, ++this.lastOrder, mayAlreadyBePlaced, this.teams.usageOf(job.team))
    this.jobs.set(job.identity, added)
    for (const entry of this.orphans.get(job.identity) ?? []) this.adoptOrphans(entry, added, now)
    this.orphans.delete(job.identity)
    return added
  }

  /** Removes a job whose end is in the log, so that workers may forget its ended attempts. */
  forgetJob (identity: string): void {
    const job = this.jobs.get(identity)
    if (job === undefined) return
    for (const task of job.tasks) {
      if (task.phase === 'finished') this.acknowledgeFinished(task)
    }
    for (const entry of job.holdCount === 0 ? [] : this.workers.values()) {
      for (const hold of entry.worker.holds) {
        if (hold.job === identity) this.requestStop(entry, hold, 0)
      }
    }
    job.releaseTeamUsage()
    this.jobs.delete(identity)
  }

  /** Applies the end of a task that the log records as finished. */
  finishTask (job: string, index: number, now: number): void {
    const task = this.jobs.get(job)?.tasks[index]
    if (task === undefined) return
    if (task.phase === 'finished') {
      this.acknowledgeFinished(task)
      return
    }
    this.stopCurrentAttempt(task, now)
    task.job.setPhase(task, 'finished')
    task.attempt = undefined
    task.worker = undefined
    this.observer.onJobChanged(task.job)
  }

  /** Reserves resources for a new attempt. Returns false if they do not fit. */
  place (task: TaskEntry, entry: WorkerEntry, attempt: Attempt, now: number): boolean {
    const hold = entry.worker.hold(task.task, task.job.job.identity, attempt, task.job.job.resources, now)
    if (hold === undefined) return false
    this.timers.track(entry, hold)
    task.attempt = attempt
    task.worker = entry.worker.name
    task.startedAt = now
    task.job.setPhase(task, 'starting')
    task.job.changeHoldCount(task, 1)
    this.observer.onWorkerChanged(entry)
    return true
  }

  /** Undoes a placement whose command was not sent. */
  undoPlacement (task: TaskEntry): void {
    const entry = task.worker === undefined ? undefined : this.workers.get(task.worker)
    const hold = entry?.worker.find(task.task)
    if (entry !== undefined && hold !== undefined) this.release(entry, hold)
  }

  /** Records that a start command is in flight. */
  trackStart (entry: WorkerEntry, attempt: Attempt): void {
    this.startsInFlight.set(attempt.sequence, entry)
  }

  /** Returns whether a start command for the attempt has no outcome yet. Such an attempt is not acknowledged, or a delayed command would run it again. */
  isStartInFlight (attempt: Attempt): boolean {
    return attempt.term === this.term && this.startsInFlight.has(attempt.sequence)
  }

  /** Processes the outcome of a start command. */
  onStartOutcome (task: string, attempt: Attempt, outcome: StartOutcome, now: number): void {
    const entry = this.startsInFlight.get(attempt.sequence)
    if (entry === undefined || attempt.term !== this.term) return
    this.startsInFlight.delete(attempt.sequence)
    if (outcome === 'stale') this.superseded = true
    if (outcome === 'notSent' || outcome === 'refused') this.avoidTemporarily(entry, now)
    const hold = entry.worker.find(task)
    if (hold === undefined || compareAttempts(hold.attempt, attempt) !== 0) return
    hold.renewedAt = Math.max(hold.renewedAt, now)
    if (hold.confirmedAt !== undefined) return
    if (outcome === 'done') {
      hold.confirmedAt = now
      this.setRunning(entry, hold)
      return
    }
    if ((outcome === 'refused' || outcome === 'notSent') && hold.uncertainAt === undefined) {
      this.release(entry, hold)
      return
    }
    hold.uncertainAt = now
    if (hold.state !== 'stopping') hold.state = 'unknown'
  }

  /**
   * Processes a worker's report.
   * @param requestedAt Time at which the request for it was sent. The report must list every attempt that was confirmed before.
   */
  onReport (name: string, report: WorkerReport, now: number, requestedAt: number): void {
    const entry = this.workers.get(name)
    if (report.term > this.term) this.superseded = true
    if (entry === undefined || report.term !== this.term || requestedAt < entry.reportRequestedAt) return
    const isFirstReport = entry.reportedAt === undefined
    if (isFirstReport) this.unreportedCount -= 1
    entry.reportedAt = now
    entry.reportRequestedAt = requestedAt
    entry.endedOrphans.clear()
    const listed = new Map<string, Attempt>()
    for (const reported of report.tasks) {
      listed.set(reported.task, reported.attempt)
      this.onReportedTask(entry, reported, now)
    }
    for (const hold of [...entry.worker.holds]) {
      if (listed.has(hold.task)) continue
      if (hold.confirmedAt === undefined) this.repeatStart(entry, hold, now, requestedAt)
      else if (hold.confirmedAt < requestedAt) this.releaseLost(entry, hold)
    }
    for (const [task, attempt] of entry.pendingAcknowledgements) {
      const reported = listed.get(task)
      if (reported === undefined || compareAttempts(reported, attempt) !== 0) entry.pendingAcknowledgements.delete(task)
    }
    if (isFirstReport) this.observer.onWorkerChanged(entry)
  }

  /** Requests a stop of the current attempt of a task; with `checkpoint`, the attempt is checkpointed first. */
  stopCurrentAttempt (task: TaskEntry, now: number, checkpoint = false): void {
    const entry = task.worker === undefined ? undefined : this.workers.get(task.worker)
    const hold = entry?.worker.find(task.task)
    if (entry === undefined || hold === undefined) return
    if (hold.state !== 'stopping') hold.checkpointFirst = checkpoint
    this.requestStop(entry, hold, now)
  }

  /** Releases the resources of attempts whose lease must have lapsed. */
  releaseLapsed (now: number): void {
    for (let held = this.timers.takeLapsed(now); held !== undefined; held = this.timers.takeLapsed(now)) this.releaseLost(held.entry, held.hold)
  }

  /** Returns at most `limit` holds whose stop must be sent or whose start must be repeated now. */
  takeCommands (now: number, limit: number): HeldAttempt[] {
    return this.timers.takeCommands(now, limit)
  }

  /** Stops running attempts of unknown jobs, and lets workers forget ended ones. Must be called only after all open jobs have been added. */
  resolveOrphans (now: number): void {
    for (const [job, holders] of this.orphans) {
      for (const entry of holders) {
        for (const [task, reported] of entry.endedOrphans) {
          if (jobOfTask(task) === job) entry.pendingAcknowledgements.set(task, reported.attempt)
        }
        for (const hold of entry.worker.holds) {
          if (hold.job === job) this.requestStop(entry, hold, now)
        }
      }
    }
    this.orphans.clear()
  }

  findTask (task: string): TaskEntry | undefined {
    return this.jobs.get(jobOfTask(task))?.tasks[indexOfTask(task)]
  }

  /** Repeats a start of unknown outcome on a worker that reports and does not list it. A silent worker receives none, so that the lease lapses. */
  private repeatStart (entry: WorkerEntry, hold: Hold, now: number, requestedAt: number): void {
    const stillWanted = hold.state === 'unknown' && entry.listed && !entry.worker.leaving
    if (!stillWanted || hold.uncertainAt === undefined || hold.uncertainAt >= requestedAt) return
    hold.state = 'starting'
    hold.renewedAt = now
    this.timers.scheduleCommand(entry, hold, now)
  }

  private releaseLost (entry: WorkerEntry, hold: Hold): void {
    this.observer.onTaskLost(hold.task, entry.worker.name)
    this.release(entry, hold)
  }

  private setWorker (listing: WorkerDescription & { leaving: boolean }): void {
    const { leaving, ...description } = listing
    const known = this.workers.get(description.name)
    const entry = known ?? new WorkerEntry(description)
    if (known === undefined) {
      this.workers.set(description.name, entry)
      this.unreportedCount += 1
    }
    if (entry.applyListing(description, leaving) || known === undefined) this.observer.onWorkerChanged(entry)
  }

  private onReportedTask (entry: WorkerEntry, reported: ReportedTask, now: number): void {
    const task = this.findTask(reported.task)
    if (task !== undefined) task.checkpointMilliseconds = Math.max(task.checkpointMilliseconds, reported.checkpointMilliseconds)
    if (reported.state === 'running') this.onReportedRunning(entry, task, reported, now)
    else this.onReportedEnd(entry, task, reported, now)
  }

  private onReportedRunning (entry: WorkerEntry, task: TaskEntry | undefined, reported: ReportedTask, now: number): void {
    let hold = entry.worker.find(reported.task)
    if (hold !== undefined && compareAttempts(reported.attempt, hold.attempt) < 0) return
    if (hold === undefined || compareAttempts(reported.attempt, hold.attempt) > 0) hold = this.adopt(entry, task, reported, now)
    hold.confirmedAt ??= now
    if (task === undefined) {
      this.addOrphanHolder(jobOfTask(reported.task), entry)
      return
    }
    this.setRunning(entry, hold)
    const newer = task.attempt === undefined || compareAttempts(reported.attempt, task.attempt) > 0
    if (task.phase === 'finished' || (!newer && task.worker !== entry.worker.name)) {
      this.requestStop(entry, hold, now)
      return
    }
    if (!newer) return
    this.stopCurrentAttempt(task, now)
    task.attempt = reported.attempt
    task.worker = entry.worker.name
    task.job.setPhase(task, hold.state === 'stopping' ? 'stopping' : 'running')
    this.observer.onJobChanged(task.job)
  }

  private onReportedEnd (entry: WorkerEntry, task: TaskEntry | undefined, reported: ReportedTask, now: number): void {
    const hold = entry.worker.find(reported.task)
    if (hold !== undefined && compareAttempts(hold.attempt, reported.attempt) > 0) {
      if (task !== undefined && reported.state === 'finished') this.onFinished(entry, task, reported, now)
      return
    }
    if (task === undefined) {
      if (hold !== undefined) this.release(entry, hold)
      entry.endedOrphans.set(reported.task, reported)
      this.addOrphanHolder(jobOfTask(reported.task), entry)
      return
    }
    const acknowledged = entry.pendingAcknowledgements.get(reported.task)
    const seen = acknowledged !== undefined && compareAttempts(acknowledged, reported.attempt) === 0
    if (reported.state === 'finished') {
      this.onFinished(entry, task, reported, now)
    } else {
      entry.pendingAcknowledgements.set(reported.task, reported.attempt)
      if (reported.state === 'failed' && !seen) this.observer.onTaskEnded(entry, task, 'failed', now)
    }
    if (hold !== undefined) this.release(entry, hold)
    this.observer.onJobChanged(task.job)
  }

  /** Processes a finished task. Its worker keeps the report until the log contains it, for a later owner. */
  private onFinished (entry: WorkerEntry, task: TaskEntry, reported: ReportedTask, now: number): void {
    if (task.phase === 'finished') {
      if (task.attempt === undefined || compareAttempts(task.attempt, reported.attempt) !== 0) entry.pendingAcknowledgements.set(reported.task, reported.attempt)
      return
    }
    if (task.attempt !== undefined && compareAttempts(task.attempt, reported.attempt) !== 0) this.stopCurrentAttempt(task, now)
    task.attempt = reported.attempt
    task.worker = entry.worker.name
    task.job.setPhase(task, 'finished')
    this.observer.onTaskEnded(entry, task, 'finished', now)
    const finished = this.newlyFinished.get(task.job.job.identity)
    if (finished === undefined) this.newlyFinished.set(task.job.job.identity, [task.index])
    else finished.push(task.index)
  }

  private acknowledgeFinished (task: TaskEntry): void {
    if (task.worker === undefined || task.attempt === undefined) return
    this.workers.get(task.worker)?.pendingAcknowledgements.set(task.task, task.attempt)
    task.worker = undefined
    task.attempt = undefined
  }

  private adoptOrphans (entry: WorkerEntry, job: JobEntry, now: number): void {
    const { identity } = job.job
    for (const hold of [...entry.worker.holds]) {
      const task = hold.job === identity ? job.tasks[indexOfTask(hold.task)] : undefined
      if (task === undefined) continue
      job.changeHoldCount(task, 1)
      this.onReportedRunning(entry, task, { task: hold.task, attempt: hold.attempt, job: identity, taskIndex: task.index, state: 'running', resources: hold.resources, usage: hold.resources, checkpointMilliseconds: 0 }, now)
    }
    for (const [task, reported] of [...entry.endedOrphans]) {
      if (jobOfTask(task) !== identity) continue
      entry.endedOrphans.delete(task)
      this.onReportedTask(entry, reported, now)
    }
  }

  private adopt (entry: WorkerEntry, task: TaskEntry | undefined, reported: ReportedTask, now: number): Hold {
    const previous = entry.worker.find(reported.task)
    if (previous !== undefined) this.release(entry, previous)
    const hold = entry.worker.adopt(reported.task, jobOfTask(reported.task), reported.attempt, reported.resources, 'unknown', now)
    this.timers.track(entry, hold)
    task?.job.changeHoldCount(task, 1)
    this.observer.onWorkerChanged(entry)
    return hold
  }

  private setRunning (entry: WorkerEntry, hold: Hold): void {
    if (hold.state === 'stopping') return
    hold.state = 'running'
    const task = this.findTask(hold.task)
    if (task === undefined || task.phase !== 'starting' || !isCurrent(task, entry, hold)) return
    task.job.setPhase(task, 'running')
    this.observer.onJobChanged(task.job)
  }

  private requestStop (entry: WorkerEntry, hold: Hold, now: number): void {
    if (hold.state === 'stopping') return
    hold.state = 'stopping'
    this.timers.scheduleCommand(entry, hold, now)
    const task = this.findTask(hold.task)
    if (task !== undefined && task.phase !== 'finished' && isCurrent(task, entry, hold)) task.job.setPhase(task, 'stopping')
  }

  private release (entry: WorkerEntry, hold: Hold): void {
    entry.worker.release(hold.task)
    this.observer.onWorkerChanged(entry)
    const task = this.findTask(hold.task)
    if (task === undefined) return
    task.job.changeHoldCount(task, -1)
    if (task.phase !== 'finished' && isCurrent(task, entry, hold)) {
      task.attempt = undefined
      task.worker = undefined
      task.job.setPhase(task, 'waiting')
    }
    this.observer.onJobChanged(task.job)
  }

  private avoidTemporarily (entry: WorkerEntry, now: number): void {
    entry.avoidUntil = now + AVOID_AFTER_REFUSAL_MILLISECONDS
    this.observer.onWorkerChanged(entry)
  }

  private addOrphanHolder (job: string, entry: WorkerEntry): void {
    const holders = this.orphans.get(job)
    if (holders === undefined) this.orphans.set(job, new Set([entry]))
    else holders.add(entry)
  }
}

function isCurrent (task: TaskEntry, entry: WorkerEntry, hold: Hold): boolean {
  return task.worker === entry.worker.name && task.attempt !== undefined && compareAttempts(task.attempt, hold.attempt) === 0
}
