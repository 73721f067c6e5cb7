import { randomUUID } from 'node:crypto'
import { describeError } from '../base/logger.js'
import { Task } from '../base/task.js'
import type { RecordBody } from '../contracts/records.js'
import type { WorkerReport } from '../contracts/workerProtocol.js'
import type { CommandOutcome, WorkerClient } from '../links/workerClient.js'
import type { Membership } from '../machines/membership.js'
import { BestFitPolicy } from '../scheduling/placementPolicy.js'
import { expandIndexRanges, toIndexRanges } from '../scheduling/jobRegistry.js'
import { jobOfTask } from '../scheduling/jobState.js'
import type { RenewalPlan, SchedulingDecision } from '../scheduling/decisions.js'
import { Scheduler } from '../scheduling/scheduler.js'
import { TASK_LEASE_MARGIN_MILLISECONDS, TASK_LEASE_MILLISECONDS } from '../scheduling/holdTimers.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow, type EntryContext } from './entryContext.js'
import type { JobTask } from './jobTask.js'
import { silentWorkerBoundMilliseconds, type OwnershipTask } from './ownershipTask.js'

type PlacementMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'ownerChanged', readonly isOwner: boolean }
  | { readonly kind: 'jobChanged', readonly body: RecordBody }
  | { readonly kind: 'report', readonly worker: string, readonly term: number, readonly report: WorkerReport, readonly requestedAt: number }
  | { readonly kind: 'startOutcome', readonly decision: Extract<SchedulingDecision, { kind: 'start' }>, readonly outcome: CommandOutcome }

const TICK_MILLISECONDS = 100
/** Interval at which finished tasks of open jobs are recorded in the log, in milliseconds. */
const PROGRESS_INTERVAL_MILLISECONDS = 3000
/** Time after a takeover in which a job read from the log may already have been placed by the previous owner, in milliseconds. */
const POSSIBLY_PLACED_MILLISECONDS = 5000
/** Time after a takeover for reading the records of jobs that workers report, before attempts without an open job are stopped, in milliseconds. */
const ORPHAN_GRACE_MILLISECONDS = 10_000
const MAXIMUM_STARTS_PER_TICK = 200
/** Maximum number of lease renewals sent per second. With more workers than that, each is renewed less often. */
const MAXIMUM_RENEWALS_PER_SECOND = 100
const MINIMUM_RENEWAL_INTERVAL_MILLISECONDS = 500

/** As owner of the failure domain, places tasks on its workers and renews their leases. */
export class PlacementTask extends Task<PlacementMessage> {
  private scheduler: Scheduler | undefined
  private term = 0
  private lastRenewalAt = -Infinity
  private ownerSince = -Infinity
  private lastProgressAt = -Infinity
  private readonly renewing = new Set<string>()

  constructor (
    private readonly context: EntryContext,
    private readonly ownership: OwnershipTask,
    private readonly configuration: ConfigurationTask,
    private readonly membership: Membership,
    private readonly jobs: JobTask,
    private readonly workers: WorkerClient
  ) {
    super()
    this.register(ownership.onDidChangeOwner(isOwner => this.post({ kind: 'ownerChanged', isOwner })))
    this.register(jobs.onDidChangeJobs(body => this.post({ kind: 'jobChanged', body })))
    this.registerInterval(() => this.post({ kind: 'tick' }), TICK_MILLISECONDS)
  }

  /** The scheduler while this instance owns the failure domain; otherwise undefined. */
  get currentScheduler (): Scheduler | undefined {
    return this.scheduler
  }

  protected override handle (message: PlacementMessage): void {
    const now = monotonicNow()
    switch (message.kind) {
      case 'ownerChanged':
        this.onOwnerChanged(message.isOwner, now)
        return
      case 'jobChanged':
        this.onJobChanged(message.body, now)
        return
      case 'report':
        if (message.term === this.term) this.scheduler?.onReport(message.worker, message.report, now, message.requestedAt)
        return
      case 'startOutcome':
        this.onStartOutcome(message.decision, message.outcome, now)
        return
      case 'tick':
        this.onTick(now)
    }
  }

  protected override handleFailure (message: PlacementMessage, error: unknown): void {
    this.context.logger.error('handling a placement message failed', { code: message.kind, reason: describeError(error) })
  }

  private onOwnerChanged (isOwner: boolean, now: number): void {
    if (!isOwner) {
      this.scheduler = undefined
      return
    }
    this.term = this.ownership.term
    this.ownerSince = now
    const isFirstTerm = this.term === 1
    const silentWorkersLapseAt = isFirstTerm ? now : now + silentWorkerBoundMilliseconds(TASK_LEASE_MILLISECONDS, TASK_LEASE_MARGIN_MILLISECONDS)
    this.scheduler = new Scheduler(this.term, silentWorkersLapseAt, new BestFitPolicy())
    for (const registered of this.jobs.registry.openJobs()) {
      this.scheduler.addJob(registered.job, now, !isFirstTerm)
      this.scheduler.onProgress(registered.job.identity, registered.finished, now)
      if (registered.cancelRequested) this.scheduler.cancelJob(registered.job.identity)
    }
  }

  private onJobChanged (body: RecordBody, now: number): void {
    const { scheduler } = this
    if (scheduler === undefined) return
    if (body.type === 'jobAccepted' && this.jobs.registry.find(body.job.identity)?.outcome === undefined) scheduler.addJob(body.job, now, this.term > 1 && now - this.ownerSince < POSSIBLY_PLACED_MILLISECONDS)
    if (body.type === 'jobCancelRequested') scheduler.cancelJob(body.job)
    if (body.type === 'jobProgress') scheduler.onProgress(body.job, expandIndexRanges(body.finished, this.jobs.registry.find(body.job)?.job.tasks ?? 0), now)
    if (body.type === 'jobEnded') scheduler.forgetJob(body.job)
  }

  private onStartOutcome (decision: Extract<SchedulingDecision, { kind: 'start' }>, outcome: CommandOutcome, now: number): void {
    this.scheduler?.onStartOutcome(decision.task, decision.attempt, outcome.kind, now)
    if (outcome.kind === 'done') this.context.events.clock.observe(outcome.logicalTime ?? 0)
    const fields = { task: decision.task, job: decision.job.identity, worker: decision.worker.name }
    if (outcome.kind === 'done') this.context.events.record('taskStarted', fields)
    else this.context.logger.warn('a start did not succeed', { task: decision.task, worker: decision.worker.name, code: outcome.kind, reason: outcome.reason })
  }

  private onTick (now: number): void {
    const { scheduler } = this
    const siteConfiguration = this.configuration.inForce?.configuration
    if (scheduler === undefined || siteConfiguration === undefined || !this.ownership.isOwner()) return
    const listed = this.membership.workers(this.context.settings.failureDomain).flatMap(worker => {
      const pool = siteConfiguration.workerPools[worker.pool]
      if (pool === undefined) return []
      const { processorsThousandths, memoryBytes, accelerators } = pool
      return [{ ...worker, capacity: { processorsThousandths, memoryBytes, accelerators }, leaving: worker.state === 'leaving' }]
    })
    scheduler.setWorkers(listed)
    scheduler.setQuotas(siteConfiguration.teams)
    scheduler.setAllowedCapacity(siteConfiguration.failureDomains[this.context.settings.failureDomain]?.allowedCapacityPercent ?? 100)
    this.renewLeases(scheduler, listed.length, now)
    if (listed.length === 0) return
    if (this.jobs.hasCaughtUp && now - this.ownerSince > ORPHAN_GRACE_MILLISECONDS) scheduler.resolveOrphans(now)
    for (const decision of scheduler.decide(now, MAXIMUM_STARTS_PER_TICK)) this.perform(decision)
    if (now - this.lastProgressAt >= PROGRESS_INTERVAL_MILLISECONDS) this.recordProgress(scheduler, now)
  }

  /** Records finished tasks of open jobs, all jobs in one append, so that a later owner does not run them again. */
  private recordProgress (scheduler: Scheduler, now: number): void {
    this.lastProgressAt = now
    for (const [job, finished] of scheduler.takeProgress()) this.appendProgress(job, finished)
  }

  private async appendProgress (job: string, finished: readonly number[]): Promise<void> {
    const body = { type: 'jobProgress' as const, job, finished: toIndexRanges(finished) }
    const identity = randomUUID()
    while (!this.isDisposed && this.scheduler !== undefined) {
      if (await this.jobs.recordProgress(body, identity)) return
    }
  }

  private renewLeases (scheduler: Scheduler, workerCount: number, now: number): void {
    const period = Math.max(MINIMUM_RENEWAL_INTERVAL_MILLISECONDS, workerCount * 1000 / MAXIMUM_RENEWALS_PER_SECOND)
    if (now - this.lastRenewalAt < period) return
    this.lastRenewalAt = now
    for (const plan of scheduler.planRenewals(now)) this.renew(plan)
  }

  private async renew (plan: RenewalPlan): Promise<void> {
    const { name, address } = plan.worker
    if (this.renewing.has(name) || !this.ownership.isOwner()) return
    this.renewing.add(name)
    const requestedAt = monotonicNow()
    const { term } = this
    try {
      const report = await this.workers.renewLeases(address, {
        term,
        leaseMilliseconds: TASK_LEASE_MILLISECONDS,
        tasks: [...plan.tasks],
        acknowledged: [...plan.acknowledged],
        logicalTime: this.context.events.clock.tick()
      })
      this.context.events.clock.observe(report.logicalTime)
      this.post({ kind: 'report', worker: name, term, report, requestedAt })
    } catch (error) {
      this.context.logger.debug('renewing leases failed', { worker: name, reason: describeError(error) })
    } finally {
      this.renewing.delete(name)
    }
  }

  private perform (decision: SchedulingDecision): void {
    switch (decision.kind) {
      case 'start':
        this.startTask(decision)
        return
      case 'stop':
      case 'checkpoint':
      case 'throttle':
        this.sendCommand(decision)
        return
      case 'preempted':
        this.context.events.record('taskPreempted', { task: decision.task, job: jobOfTask(decision.task), worker: decision.worker, detail: `for ${decision.by}` })
        return
      case 'jobEnded':
        this.endJob(decision)
        return
      case 'workerQuarantined':
      case 'workerReleased':
        this.context.events.record(decision.kind, { worker: decision.worker, detail: decision.detail })
        return
      case 'taskLost':
        this.context.events.record('taskLost', { task: decision.task, job: jobOfTask(decision.task), worker: decision.worker })
    }
  }

  private async startTask (decision: Extract<SchedulingDecision, { kind: 'start' }>): Promise<void> {
    const { worker, task, attempt, job } = decision
    if (!this.ownership.isOwner()) {
      this.post({ kind: 'startOutcome', decision, outcome: { kind: 'notSent', reason: 'no longer owner' } })
      return
    }
    this.context.events.record('taskStarting', { task, job: job.identity, worker: worker.name })
    const outcome = await this.workers.start(worker.address, task, {
      term: attempt.term,
      attempt,
      job: job.identity,
      taskIndex: decision.taskIndex,
      name: job.name,
      resources: job.resources,
      leaseMilliseconds: TASK_LEASE_MILLISECONDS,
      runMilliseconds: job.kind === 'service' ? undefined : job.runMilliseconds,
      checkpointable: job.checkpointable,
      resumeFromMilliseconds: decision.resumeFromMilliseconds,
      logicalTime: this.context.events.clock.tick()
    })
    this.post({ kind: 'startOutcome', decision, outcome })
  }

  private async sendCommand (decision: Extract<SchedulingDecision, { kind: 'stop' | 'checkpoint' | 'throttle' }>): Promise<void> {
    const { worker, task, attempt, kind } = decision
    if (!this.ownership.isOwner()) return
    const throttlePercent = kind === 'throttle' ? decision.percent : undefined
    if (kind === 'throttle') this.context.events.record('taskThrottled', { task, job: jobOfTask(task), worker: worker.name, detail: `${throttlePercent} %` })
    const outcome = await this.workers.sendAction(worker.address, task, kind, { term: this.term, attempt, throttlePercent, logicalTime: this.context.events.clock.tick() })
    if (outcome.kind !== 'done') this.context.logger.warn('a command to a task did not succeed', { task, worker: worker.name, code: `${kind}: ${outcome.kind}` })
  }

  private async endJob (decision: Extract<SchedulingDecision, { kind: 'jobEnded' }>): Promise<void> {
    const { job, outcome, reason } = decision
    this.context.events.record('jobEnded', { job, detail: outcome })
    const body = { type: 'jobEnded' as const, job, outcome, reason, atMilliseconds: Date.now() }
    while (!this.isDisposed && this.scheduler !== undefined) {
      if (await this.jobs.recordEnd(job, body)) return
    }
  }
}
