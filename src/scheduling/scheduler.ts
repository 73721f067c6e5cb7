import { NO_RESOURCES, addResources, fitsWithin, type Resources } from '../contracts/resources.js'
import { urgencyRank } from '../contracts/siteText.js'
import type { Job, JobOutcome, JobState } from '../contracts/jobs.js'
import type { Attempt, WorkerReport } from '../contracts/workerProtocol.js'
import type { Hold, Worker, WorkerDescription } from '../machines/worker.js'
import type { JobEntry, TaskEntry } from './jobState.js'
import type { PlacementPolicy } from './placementPolicy.js'
import type { LedgerObserver, StartOutcome } from './ledgerObserver.js'
import { MAXIMUM_TASK_FAILURES, TaskLedger } from './taskLedger.js'
import type { WorkerEntry } from './workerEntry.js'

/** A worker that has not answered for this long gets no renewals, so that its leases lapse, in milliseconds. */
const SILENCE_BEFORE_LAPSE_MILLISECONDS = 10_000
/** Most stops and repeated starts in one decision. */
const COMMANDS_PER_DECISION = 500

/** What the scheduler asks the surrounding task to do. */
export type SchedulingDecision =
  | { readonly kind: 'start', readonly worker: WorkerDescription, readonly task: string, readonly attempt: Attempt, readonly job: Job, readonly taskIndex: number, readonly resumeFromMilliseconds: number }
  | { readonly kind: 'stop', readonly worker: WorkerDescription, readonly task: string, readonly attempt: Attempt }
  | { readonly kind: 'jobEnded', readonly job: string, readonly outcome: JobOutcome, readonly reason?: string }
  | { readonly kind: 'taskLost', readonly task: string, readonly worker: string }

/** Attempts to renew on one worker and those whose end has been taken note of. */
export interface RenewalPlan {
  readonly worker: WorkerDescription
  readonly tasks: ReadonlyArray<{ task: string, attempt: Attempt }>
  readonly acknowledged: ReadonlyArray<{ task: string, attempt: Attempt }>
}

/**
 * Places the tasks of one failure domain on its workers. It decides only; commands are sent by its caller,
 * which reports their outcomes. Times are monotonic milliseconds of the owner.
 */
export class Scheduler implements LedgerObserver {
  private readonly ledger: TaskLedger
  private readonly changedJobs = new Set<JobEntry>()
  private lost: SchedulingDecision[] = []
  private sequence = 0

  /**
   * @param term Term of the ownership; part of every attempt.
   * @param silentWorkersLapseAt Time by which tasks started by an earlier owner on workers that do not answer have certainly ended.
   */
  constructor (private readonly term: number, private readonly silentWorkersLapseAt: number, private readonly policy: PlacementPolicy) {
    this.ledger = new TaskLedger(term, this)
  }

  /** Takes over the list of workers. One that disappears keeps its holds until their leases have lapsed. */
  setWorkers (workers: ReadonlyArray<WorkerDescription & { leaving: boolean }>): void {
    this.ledger.setWorkers(workers)
  }

  /**
   * Adds an accepted job; adding it again has no effect.
   * @param mayBePlaced Whether an earlier owner may have placed its tasks.
   */
  addJob (job: Job, now: number, mayBePlaced = false): void {
    const entry = this.ledger.addJob(job, now, mayBePlaced)
    if (entry !== undefined) this.changedJobs.add(entry)
  }

  cancelJob (identity: string): void {
    const entry = this.ledger.jobs.get(identity)
    if (entry === undefined || entry.cancelled) return
    entry.cancelled = true
    this.changedJobs.add(entry)
  }

  /** Forgets a job whose end is in the log; ended attempts are then acknowledged to their workers. */
  forgetJob (identity: string): void {
    this.ledger.forgetJob(identity)
  }

  /** Returns finished tasks of open jobs that have not been returned before, by job, to be recorded in the log. */
  takeProgress (): Map<string, number[]> {
    const taken = this.ledger.newlyFinished
    this.ledger.newlyFinished = new Map()
    for (const job of taken.keys()) {
      if (this.ledger.jobs.get(job)?.endDecided !== false) taken.delete(job)
    }
    return taken
  }

  /** Takes note of finished tasks that are in the log. They do not run again. */
  onProgress (job: string, finished: Iterable<number>, now: number): void {
    for (const index of finished) this.ledger.finishTask(job, index, now)
  }

  /** Takes note of the outcome of a start. An unknown outcome keeps its resources held. */
  onStartOutcome (task: string, attempt: Attempt, outcome: StartOutcome, now: number): void {
    this.ledger.onStartOutcome(task, attempt, outcome, now)
  }

  /** Takes note of a worker's report made with this term; `requestedAt` is when the request for it was sent. */
  onReport (name: string, report: WorkerReport, now: number, requestedAt = now): void {
    this.ledger.onReport(name, report, now, requestedAt)
  }

  /** Returns the renewals to send now; the caller sends them right away and passes the reports to `onReport`. */
  planRenewals (now: number): RenewalPlan[] {
    return [...this.ledger.workers.values()].map(entry => {
      const silent = now - (entry.reportedAt ?? now) > SILENCE_BEFORE_LAPSE_MILLISECONDS
      const tasks: Array<{ task: string, attempt: Attempt }> = []
      for (const hold of silent ? [] : entry.worker.held) {
        if (hold.state === 'stopping') continue
        hold.renewedAt = now
        tasks.push({ task: hold.task, attempt: hold.attempt })
      }
      const acknowledged = [...entry.acknowledge].filter(([, attempt]) => !this.ledger.startInFlight(attempt)).map(([task, attempt]) => ({ task, attempt }))
      return { worker: entry.worker.description, tasks, acknowledged }
    })
  }

  /** Stops attempts of jobs that are not open; to be called only when every accepted job has been added. */
  settleOrphans (now: number): void {
    this.ledger.settleOrphans(now)
  }

  /** Returns whether every worker's inventory is known or its old tasks have certainly ended. */
  inventoryComplete (now: number): boolean {
    return now >= this.silentWorkersLapseAt || this.ledger.everyWorkerReported
  }

  /** Decides what to start, stop and end now, at most `limit` starts. */
  decide (now: number, limit: number): SchedulingDecision[] {
    if (this.ledger.superseded) return []
    this.ledger.releaseLapsed(now)
    const decisions = this.lost
    this.lost = []
    for (const entry of this.changedJobs) this.settle(entry, now, decisions)
    this.changedJobs.clear()
    for (const { entry, hold } of this.ledger.takeCommands(now, COMMANDS_PER_DECISION)) decisions.push(...this.repeat(entry, hold))
    let starts = 0
    for (const entry of this.waitingJobs(now)) {
      if (starts >= limit) break
      const placed = this.place(entry, limit - starts, now)
      starts += placed.length
      decisions.push(...placed)
    }
    return decisions
  }

  /** State of a job, or undefined if it is not known here. */
  stateOf (identity: string): { state: JobState, running: number, waiting: number, finished: number } | undefined {
    const entry = this.ledger.jobs.get(identity)
    if (entry === undefined) return undefined
    const { running, waiting, finished } = entry.counts
    return { state: entry.state, running, waiting, finished }
  }

  /** Says why a job waits, in plain text. */
  explain (identity: string, now: number): string {
    const entry = this.ledger.jobs.get(identity)
    if (entry === undefined) return 'the job is not open in this failure domain'
    if (entry.mayBePlaced && !this.inventoryComplete(now)) return 'waiting for the inventory of every worker after a change of owner'
    const { resources } = entry.job
    const fitting = [...this.ledger.workers.values()].filter(({ worker }) => !worker.leaving && fitsWithin(resources, worker.free)).length
    if (entry.counts.waiting === 0) return 'all tasks have been placed'
    if (entry.placeable.size === 0) return 'waiting until attempts of its tasks have stopped or their leases have lapsed'
    if (entry.job.kind === 'gang') return `waiting until all ${entry.job.tasks} tasks fit at once; ${fitting} workers have room for at least one`
    return fitting > 0 ? 'about to be placed' : 'no worker has enough free resources; the job is placed when running tasks end'
  }

  /** Resources held and capacity of all workers that are not leaving. */
  utilization (): { used: Resources, capacity: Resources } {
    let used = NO_RESOURCES
    let capacity = NO_RESOURCES
    for (const { worker, listed } of this.ledger.workers.values()) {
      used = addResources(used, worker.used)
      if (!worker.leaving && listed) capacity = addResources(capacity, worker.description.capacity)
    }
    return { used, capacity }
  }

  onWorkerChanged (): void {}

  onJobChanged (entry: JobEntry): void {
    this.changedJobs.add(entry)
  }

  onTaskLost (task: string, worker: string): void {
    this.lost.push({ kind: 'taskLost', task, worker })
  }

  private waitingJobs (now: number): JobEntry[] {
    const complete = this.inventoryComplete(now)
    const waiting = [...this.ledger.jobs.values()].filter(entry => !entry.cancelled && !entry.endDecided && entry.placeable.size > 0 && (complete || !entry.mayBePlaced))
    return waiting.sort((left, right) => urgencyRank(left.job.urgency) - urgencyRank(right.job.urgency) || left.addedAt - right.addedAt)
  }

  private place (entry: JobEntry, limit: number, now: number): SchedulingDecision[] {
    const all = entry.job.kind === 'gang'
    if (all && (entry.placeable.size > limit || entry.placeable.size < entry.counts.waiting)) return []
    const placed: Array<{ task: TaskEntry, entry: WorkerEntry }> = []
    const wanted = entry.placeable.size
    for (const task of [...entry.placeable].slice(0, limit)) {
      const worker = this.policy.choose(entry.job.resources, this.usableWorkers(now))
      const chosen = worker === undefined ? undefined : this.ledger.workers.get(worker.name)
      if (chosen === undefined || !this.ledger.place(task, chosen, { term: this.term, sequence: ++this.sequence }, now)) break
      placed.push({ task, entry: chosen })
    }
    if (all && placed.length < wanted) {
      for (const { task } of placed) this.ledger.unplace(task)
      return []
    }
    return placed.map(({ task, entry: chosen }) => this.startDecision(task, chosen, task.attempt as Attempt))
  }

  private startDecision (task: TaskEntry, entry: WorkerEntry, attempt: Attempt): SchedulingDecision {
    this.ledger.noteStart(entry, attempt)
    return { kind: 'start', worker: entry.worker.description, task: task.task, attempt, job: task.job.job, taskIndex: task.index, resumeFromMilliseconds: task.checkpointMilliseconds }
  }

  private repeat (entry: WorkerEntry, hold: Hold): SchedulingDecision[] {
    const { task, attempt } = hold
    if (hold.state === 'stopping') return [{ kind: 'stop', worker: entry.worker.description, task, attempt }]
    const found = this.ledger.findTask(task)
    return found === undefined ? [] : [this.startDecision(found, entry, attempt)]
  }

  private * usableWorkers (now: number): Generator<Worker> {
    for (const entry of this.ledger.workers.values()) {
      if (entry.usable(now)) yield entry.worker
    }
  }

  /** Ends a job whose tasks have all ended, and stops the tasks of one that was cancelled or has failed. */
  private settle (entry: JobEntry, now: number, decisions: SchedulingDecision[]): void {
    if (entry.endDecided || this.ledger.jobs.get(entry.job.identity) !== entry) return
    if (entry.counts.finished === entry.tasks.length) {
      this.endJob(entry, decisions, 'finished')
      return
    }
    const failed = entry.failures >= MAXIMUM_TASK_FAILURES
    if (!entry.cancelled && !failed) return
    if (entry.places > 0) {
      for (const task of entry.tasks) this.ledger.stopCurrent(task, now)
      return
    }
    if (failed) this.endJob(entry, decisions, 'failed', `tasks failed ${entry.failures} times`)
    else this.endJob(entry, decisions, 'cancelled')
  }

  private endJob (entry: JobEntry, decisions: SchedulingDecision[], outcome: JobOutcome, reason?: string): void {
    entry.endDecided = true
    decisions.push({ kind: 'jobEnded', job: entry.job.identity, outcome, reason })
  }
}
