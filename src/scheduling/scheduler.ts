import FlatQueue from 'flatqueue'
import { NO_RESOURCES, addResources, fitsWithin, type Resources } from '../contracts/resources.js'
import type { Job, JobOutcome, JobState } from '../contracts/jobs.js'
import type { Attempt, WorkerReport } from '../contracts/workerProtocol.js'
import type { Hold, WorkerDescription } from '../machines/worker.js'
import { CapacityReservations } from './capacityReservations.js'
import type { RenewalPlan, SchedulingDecision } from './decisions.js'
import { explainJob } from './explain.js'
import { GangReservationPlanner } from './gangReservationPlanner.js'
import { ThermalLimit, isExemptFromThermalLimit, THROTTLE_PERCENT, type ThermalPlan } from './thermalLimit.js'
import { JobQueue } from './jobQueue.js'
import type { JobEntry, TaskEntry } from './jobState.js'
import { bestFit, type PlacementPolicy } from './placementPolicy.js'
import type { LedgerObserver, StartOutcome } from './ledgerObserver.js'
import { PreemptionPlanner } from './preemptionPlanner.js'
import { TeamShares } from './teamShares.js'
import { chooseSpreadOverRacks } from './rackSpread.js'
import { UrgentReservationPlanner } from './urgentReservationPlanner.js'
import { WorkerHealth } from './workerHealth.js'
import { TaskLedger } from './taskLedger.js'
import type { WorkerEntry } from './workerEntry.js'

/** Silence after which the leases on a worker are no longer renewed, so that they lapse, in milliseconds. */
const SILENCE_BEFORE_LAPSE_MILLISECONDS = 10_000
/** Maximum number of stops and repeated starts per pass. */
const COMMANDS_PER_PASS = 500
/** Maximum number of changed jobs processed per pass, so that a wave of cancellations does not delay placements. */
const CHANGED_JOBS_PER_PASS = 500
/** Maximum number of groups of jobs that one pass tries without success. */
const FAILED_PLACEMENTS_PER_PASS = 200
/** Maximum number of tasks of one job that are placed before another team has its turn. */
const TASKS_PER_TURN = 16

/** Waiting time after which a deferrable job is treated as normal, in milliseconds. */
const AGING_MILLISECONDS = 1_800_000
const URGENT_RANK = 0
/** A task that has failed on this many workers, or in this many attempts where there are fewer workers, fails its job. */
const WORKERS_BEFORE_JOB_FAILS = 3
const ATTEMPTS_BEFORE_JOB_FAILS = 6

/**
 * Places the tasks of one failure domain on its workers. It only makes decisions; the caller sends the commands
 * and reports their outcomes. Times are monotonic milliseconds of the owner.
 */
export class Scheduler implements LedgerObserver {
  private readonly ledger: TaskLedger
  private readonly queue = new JobQueue()
  private readonly teams = new TeamShares()
  private readonly health = new WorkerHealth()
  private readonly thermalLimit = new ThermalLimit(task => this.ledger.findTask(task))
  /** Processors that batch work and gangs may still start in this pass, in thousandths. */
  private thermalHeadroomThousandths = Infinity
  private readonly reservations = new CapacityReservations(entry => this.queue.noteCapacityIncrease(entry))
  private readonly urgentReservations = new UrgentReservationPlanner(this.reservations, new PreemptionPlanner(this.reservations, task => this.ledger.findTask(task)))
  private readonly gangReservations = new GangReservationPlanner(this.reservations, task => this.ledger.findTask(task))
  /** Waiting deferrable jobs, ordered by the time at which they are treated as normal. */
  private readonly agingJobs = new FlatQueue<JobEntry>()
  private readonly changedJobs = new Set<JobEntry>()
  /** Jobs that wait for the inventory of every worker. */
  private readonly awaitingInventory: JobEntry[] = []
  /** Workers that temporarily receive no starts, ordered by the end of that time. */
  private readonly avoidedWorkers = new FlatQueue<WorkerEntry>()
  /** Lost tasks and changes of worker health, returned by the next pass. */
  private pendingDecisions: SchedulingDecision[] = []
  private sequence = 0
  /** Whether tentative placements are being undone, which frees nothing that was not free before. */
  private undoingPlacements = false

  /**
   * @param term Term of the ownership; part of every attempt.
   * @param silentWorkersLapseAt Time by which tasks that an earlier owner started on silent workers must have ended.
   */
  constructor (private readonly term: number, private readonly silentWorkersLapseAt: number, private readonly policy: PlacementPolicy) {
    this.ledger = new TaskLedger(term, this, this.teams)
  }

  /** Applies the list of workers. A worker that is no longer listed keeps its holds until their leases have lapsed. */
  setWorkers (workers: ReadonlyArray<WorkerDescription & { leaving: boolean }>): void {
    this.ledger.setWorkers(workers)
  }

  /**
   * Adds an accepted job; adding it again has no effect.
   * @param mayAlreadyBePlaced Whether an earlier owner may have placed its tasks.
   */
  addJob (job: Job, now: number, mayAlreadyBePlaced = false): void {
    const entry = this.ledger.addJob(job, now, mayAlreadyBePlaced)
    if (entry === undefined) return
    this.changedJobs.add(entry)
    if (job.urgency === 'deferrable') this.agingJobs.push(entry, now + AGING_MILLISECONDS)
  }

  /** Sets the quotas of the teams. */
  setQuotas (teams: Readonly<Record<string, { quota: Resources }>>): void {
    this.teams.setQuotas(teams)
  }

  /** Limits the processors in use to a share of the workers' capacity; urgent work and services are exempt. */
  setAllowedCapacity (percent: number): void {
    this.thermalLimit.setTargetPercent(percent)
  }

  cancelJob (identity: string): void {
    const entry = this.ledger.jobs.get(identity)
    if (entry === undefined || entry.cancelled) return
    entry.cancelled = true
    this.changedJobs.add(entry)
  }

  /** Removes a job whose end is in the log; its ended attempts are then acknowledged to their workers. */
  forgetJob (identity: string): void {
    const entry = this.ledger.jobs.get(identity)
    if (entry !== undefined) this.health.forgetJob(entry)
    this.ledger.forgetJob(identity)
  }

  /** Returns the tasks of open jobs that have finished since the last call, by job, to be recorded in the log. */
  takeProgress (): Map<string, number[]> {
    const taken = this.ledger.newlyFinished
    this.ledger.newlyFinished = new Map()
    for (const job of taken.keys()) {
      if (this.ledger.jobs.get(job)?.endDecided !== false) taken.delete(job)
    }
    return taken
  }

  /** Applies finished tasks that are recorded in the log. They do not run again. */
  onProgress (job: string, finished: Iterable<number>, now: number): void {
    for (const index of finished) this.ledger.finishTask(job, index, now)
  }

  /** Processes the outcome of a start command. If it is unknown, the resources stay held. */
  onStartOutcome (task: string, attempt: Attempt, outcome: StartOutcome, now: number): void {
    this.ledger.onStartOutcome(task, attempt, outcome, now)
  }

  /** Processes a worker's report made with this term; `requestedAt` is when the request for it was sent. */
  onReport (name: string, report: WorkerReport, now: number, requestedAt = now): void {
    this.ledger.onReport(name, report, now, requestedAt)
  }

  /** Returns the lease renewals to send now. The caller must send them immediately and pass the reports to `onReport`. */
  planRenewals (now: number): RenewalPlan[] {
    return [...this.ledger.workers.values()].map(entry => {
      const silent = now - (entry.reportedAt ?? now) > SILENCE_BEFORE_LAPSE_MILLISECONDS
      const tasks: Array<{ task: string, attempt: Attempt }> = []
      for (const hold of silent ? [] : entry.worker.holds) {
        if (hold.state === 'stopping') continue
        hold.renewedAt = now
        tasks.push({ task: hold.task, attempt: hold.attempt })
      }
      const acknowledged = [...entry.pendingAcknowledgements].filter(([, attempt]) => !this.ledger.isStartInFlight(attempt)).map(([task, attempt]) => ({ task, attempt }))
      return { worker: entry.worker.description, tasks, acknowledged }
    })
  }

  /** Stops attempts of jobs that are not open. Must be called only after every accepted job has been added. */
  resolveOrphans (now: number): void {
    this.ledger.resolveOrphans(now)
  }

  /** Returns whether every worker has reported its inventory, or the tasks of earlier owners on silent workers must have ended. */
  inventoryComplete (now: number): boolean {
    return now >= this.silentWorkersLapseAt || this.ledger.everyWorkerReported
  }

  /** Runs a scheduling pass: decides what to start, stop and end now, with at most `limit` starts. */
  decide (now: number, limit: number): SchedulingDecision[] {
    if (this.ledger.superseded) return []
    if (now >= this.silentWorkersLapseAt) this.ledger.forgetSilentWorkers()
    this.ledger.releaseLapsed(now)
    const decisions = this.pendingDecisions
    this.pendingDecisions = []
    if (this.inventoryComplete(now)) {
      for (const entry of this.awaitingInventory.splice(0)) this.changedJobs.add(entry)
    }
    this.processChangedJobs(now, decisions)
    for (const { entry, hold } of this.ledger.takeCommands(now, COMMANDS_PER_PASS)) decisions.push(...this.commandsFor(entry, hold))
    this.applyThermalLimit(now, decisions)
    this.reservations.expire(now)
    this.promoteAgedJobs(now)
    this.gangReservations.update(this.ledger.workers.values(), now)
    const gang = this.gangReservations.current
    for (const task of gang === undefined ? [] : this.gangReservations.takeBackfill()) this.preempt(task, gang?.job.identity ?? '', now, decisions)
    this.placeWaiting(now, limit, decisions)
    for (const { entry, victims, job } of this.urgentReservations.plan(this.ledger.workers.values(), now)) {
      for (const victim of victims) this.preempt(victim, job.job.identity, now, decisions)
      this.queue.noteCapacityIncrease(entry)
    }
    return decisions
  }

  /** Returns the state of a job, or undefined if the scheduler does not have the job. */
  stateOf (identity: string): { state: JobState, running: number, waiting: number, finished: number } | undefined {
    const entry = this.ledger.jobs.get(identity)
    if (entry === undefined) return undefined
    const { running, waiting, finished } = entry.counts
    return { state: entry.state, running, waiting, finished }
  }

  /** Explains in plain text why a job waits and what would change that. */
  explain (identity: string, now: number): string {
    const entry = this.ledger.jobs.get(identity)
    if (entry === undefined) return 'the job is not open in this failure domain'
    const { ledger, reservations, health, thermalLimit, teams, gangReservations, thermalHeadroomThousandths } = this
    return explainJob(entry, { ledger, reservations, health, thermalLimit, teams, gangReservations, thermalHeadroomThousandths }, this.inventoryComplete(now), now)
  }

  /** Returns the resources held on all workers, and the capacity of the listed workers that are not leaving. */
  utilization (): { used: Resources, capacity: Resources } {
    let used = NO_RESOURCES
    let capacity = NO_RESOURCES
    for (const { worker, listed } of this.ledger.workers.values()) {
      used = addResources(used, worker.used)
      if (!worker.leaving && listed) capacity = addResources(capacity, worker.description.capacity)
    }
    return { used, capacity }
  }

  onWorkerChanged (entry: WorkerEntry): void {
    const { schedulable, worker: { free }, lastFree } = entry
    this.policy.onWorkerChanged(entry, schedulable)
    const capacityIncreased = schedulable && !this.undoingPlacements && !fitsWithin(free, lastFree)
    entry.lastFree = schedulable ? free : NO_RESOURCES
    if (entry.avoidUntil !== entry.avoidQueuedUntil) this.avoidedWorkers.push(entry, entry.avoidUntil)
    entry.avoidQueuedUntil = entry.avoidUntil
    if (capacityIncreased) this.queue.noteCapacityIncrease(entry)
  }

  onJobChanged (entry: JobEntry): void {
    this.changedJobs.add(entry)
  }

  onTaskEnded (entry: WorkerEntry, task: TaskEntry, state: 'finished' | 'failed', now: number): void {
    if (state === 'failed') {
      task.failures += 1
      task.failedOn.set(entry.worker.name, (task.failedOn.get(entry.worker.name) ?? 0) + 1)
    }
    const change = state === 'failed' ? this.health.onFailed(entry, task, now) : this.health.onFinished(entry, now)
    const until = this.health.quarantinedUntil(entry)
    if (until !== undefined) this.avoidedWorkers.push(entry, until)
    if (change !== undefined) this.pendingDecisions.push(change)
    if (change?.kind === 'workerReleased') this.queue.noteCapacityIncrease(entry)
    if (task.failedOn.size < WORKERS_BEFORE_JOB_FAILS && task.failures < ATTEMPTS_BEFORE_JOB_FAILS) return
    task.job.failure = `task ${task.index} failed in ${task.failures} attempts on ${task.failedOn.size} workers`
  }

  onTaskLost (task: string, worker: string): void {
    this.pendingDecisions.push({ kind: 'taskLost', task, worker })
  }

  /** Ends changed jobs, stops their tasks or queues them. Jobs beyond the limit are left to the next pass. */
  private processChangedJobs (now: number, decisions: SchedulingDecision[]): void {
    let processed = 0
    for (const entry of this.changedJobs) {
      if (++processed > CHANGED_JOBS_PER_PASS) return
      this.changedJobs.delete(entry)
      this.endOrStopJob(entry, now, decisions)
      if (!entry.isWaiting || this.ledger.jobs.get(entry.job.identity) !== entry) continue
      if (entry.mayAlreadyBePlaced && !this.inventoryComplete(now)) this.awaitingInventory.push(entry)
      else this.queue.add(entry)
    }
  }

  private placeWaiting (now: number, limit: number, decisions: SchedulingDecision[]): void {
    while ((this.avoidedWorkers.peekValue() ?? Infinity) <= now) this.queue.noteCapacityIncrease(this.avoidedWorkers.pop() as WorkerEntry)
    this.queue.unparkFitting()
    let starts = 0
    let failedPlacements = 0
    while (starts < limit && failedPlacements < FAILED_PLACEMENTS_PER_PASS) {
      const next = this.queue.next(team => this.teams.dominantShare(team))
      if (next === undefined) {
        this.queue.endRound()
        return
      }
      const { job, group, candidates } = next
      const { processorsThousandths } = job.job.resources
      if (this.tasksWithinThermalLimit(job) < (job.job.kind === 'gang' ? job.placeable.size : 1)) {
        this.queue.suspend(group)
        continue
      }
      const wanted = job.job.kind === 'gang' ? job.placeable.size : Math.min(job.placeable.size, TASKS_PER_TURN, limit - starts, this.tasksWithinThermalLimit(job))
      const placed = this.place(job, wanted, candidates, now)
      starts += placed.length
      this.thermalHeadroomThousandths -= placed.length * processorsThousandths
      for (const decision of placed) decisions.push(decision)
      if (placed.length === wanted) continue
      if (job.rank === URGENT_RANK) this.urgentReservations.add(job)
      else if (job.job.kind === 'gang') this.gangReservations.add(job)
      this.queue.park(group)
      failedPlacements += 1
    }
  }

  /** Starts as many of `wanted` tasks of a job as fit; for a gang, all or none. */
  private place (job: JobEntry, wanted: number, candidates: readonly WorkerEntry[] | undefined, now: number): SchedulingDecision[] {
    const placed: Array<{ task: TaskEntry, entry: WorkerEntry }> = []
    const accept = (entry: WorkerEntry): boolean => now >= entry.avoidUntil && this.health.accepts(entry, job, now) && this.reservations.allows(entry, job)
    for (const task of job.placeable) {
      if (placed.length >= wanted) break
      const elsewhere = task.failures === 0 ? undefined : this.chooseWorker(job, candidates, entry => !task.failedOn.has(entry.worker.name) && accept(entry))
      const entry = elsewhere ?? this.chooseWorker(job, candidates, accept)
      if (entry === undefined || !this.ledger.place(task, entry, { term: this.term, sequence: ++this.sequence }, now)) break
      placed.push({ task, entry })
    }
    if (job.job.kind === 'gang' && placed.length < wanted) {
      this.undoingPlacements = true
      for (const { task } of placed) this.ledger.undoPlacement(task)
      this.undoingPlacements = false
      return []
    }
    if (this.reservations.size > 0) {
      for (const { entry } of placed) this.reservations.consume(job, entry)
    }
    return placed.map(({ task, entry }) => this.startDecision(task, entry, task.attempt as Attempt))
  }

  /** Chooses a worker; for a service, in one of the racks with the fewest of its tasks, if such a rack has capacity. */
  private chooseWorker (job: JobEntry, candidates: readonly WorkerEntry[] | undefined, accept: (entry: WorkerEntry) => boolean): WorkerEntry | undefined {
    const { resources, kind } = job.job
    const choose = (accepted: typeof accept): WorkerEntry | undefined => candidates === undefined ? this.policy.choose(resources, accepted) : bestFit(resources, candidates, accepted)
    if (kind !== 'service') return choose(accept)
    return chooseSpreadOverRacks(job, worker => this.ledger.workers.get(worker)?.worker.description.rack, accepts => choose(entry => accepts(entry) && accept(entry)))
  }

  private tasksWithinThermalLimit (job: JobEntry): number {
    const { processorsThousandths } = job.job.resources
    return isExemptFromThermalLimit(job) || processorsThousandths === 0 ? Infinity : Math.floor(this.thermalHeadroomThousandths / processorsThousandths)
  }

  private applyThermalLimit (now: number, decisions: SchedulingDecision[]): void {
    const plan: ThermalPlan = this.thermalLimit.plan(this.ledger.workers.values(), now)
    this.thermalHeadroomThousandths = plan.headroomThousandths
    if (this.thermalHeadroomThousandths > 0) this.queue.resumeSuspended()
    for (const task of plan.checkpoint) this.preempt(task, 'the allowed capacity', now, decisions)
    for (const task of plan.throttle) this.throttle(task, THROTTLE_PERCENT, decisions)
    for (const task of plan.restore) this.throttle(task, 100, decisions)
  }

  private throttle (task: TaskEntry, percent: number, decisions: SchedulingDecision[]): void {
    const entry = task.worker === undefined ? undefined : this.ledger.workers.get(task.worker)
    if (entry === undefined || task.attempt === undefined) return
    decisions.push({ kind: 'throttle', worker: entry.worker.description, task: task.task, attempt: task.attempt, percent })
  }

  private preempt (task: TaskEntry, by: string, now: number, decisions: SchedulingDecision[]): void {
    decisions.push({ kind: 'preempted', task: task.task, worker: task.worker ?? '', by })
    task.preemptedAt = now
    this.ledger.stopCurrentAttempt(task, now, task.job.job.checkpointable)
  }

  /** Treats deferrable jobs that have waited long enough as normal, which prevents starvation. */
  private promoteAgedJobs (now: number): void {
    while ((this.agingJobs.peekValue() ?? Infinity) <= now) {
      const job = this.agingJobs.pop() as JobEntry
      if (!job.isWaiting || this.ledger.jobs.get(job.job.identity) !== job) continue
      job.rank -= 1
      job.queued = false
      this.queue.add(job)
    }
  }

  private startDecision (task: TaskEntry, entry: WorkerEntry, attempt: Attempt): SchedulingDecision {
    this.ledger.trackStart(entry, attempt)
    return { kind: 'start', worker: entry.worker.description, task: task.task, attempt, job: task.job.job, taskIndex: task.index, resumeFromMilliseconds: task.checkpointMilliseconds }
  }

  private commandsFor (entry: WorkerEntry, hold: Hold): SchedulingDecision[] {
    const { task, attempt } = hold
    if (hold.state === 'stopping') {
      const kind = hold.checkpointFirst ? 'checkpoint' : 'stop'
      hold.checkpointFirst = false
      return [{ kind, worker: entry.worker.description, task, attempt }]
    }
    const found = this.ledger.findTask(task)
    return found === undefined ? [] : [this.startDecision(found, entry, attempt)]
  }

  /** Ends a job whose tasks have all ended, and stops the tasks of a job that was cancelled or has failed. */
  private endOrStopJob (entry: JobEntry, now: number, decisions: SchedulingDecision[]): void {
    if (entry.endDecided || this.ledger.jobs.get(entry.job.identity) !== entry) return
    if (entry.counts.finished === entry.tasks.length) {
      this.endJob(entry, decisions, 'finished')
      return
    }
    if (!entry.cancelled && entry.failure === undefined) return
    if (entry.holdCount > 0) {
      for (const task of entry.tasks) this.ledger.stopCurrentAttempt(task, now)
      return
    }
    if (entry.failure !== undefined) this.endJob(entry, decisions, 'failed', entry.failure)
    else this.endJob(entry, decisions, 'cancelled')
  }

  private endJob (entry: JobEntry, decisions: SchedulingDecision[], outcome: JobOutcome, reason?: string): void {
    entry.endDecided = true
    decisions.push({ kind: 'jobEnded', job: entry.job.identity, outcome, reason })
  }
}
