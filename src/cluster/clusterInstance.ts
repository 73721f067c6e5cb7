import { randomUUID } from 'node:crypto'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { ClusterConfiguration } from '../contracts/clusterConfiguration.js'
import type { AdmissionReply, OrganisationBacklog } from '../contracts/clusterMessages.js'
import { decodeLeadership, encodeRecord, type LeadershipRecord } from '../contracts/clusterRecords.js'
import type { ClusterSettings } from '../contracts/clusterSettings.js'
import { ActiveScheduler, type JobStateResult, type JobStatus } from './activeScheduler.js'
import { RefusalLog } from './admission/refusalLog.js'
import { SubmissionAdmission, type AdmissionQuestion } from './admission/submissionAdmission.js'
import type { ClusterMetrics } from './clusterMetrics.js'
import { ConfigurationWarnings, type ConfigurationFault } from './configurationWarnings.js'
import { InstanceLinks } from './instanceLinks.js'
import { JobService, type SchedulerQueries } from './jobService.js'
import { Leadership, RENEWAL_PERIOD_MILLISECONDS } from './leadership.js'
import { AccessControl, type ConfigurationSource } from './organisations/accessControl.js'
import type { OrganisationSummary } from './organisations/organisations.js'
import type { Peer } from './peerSet.js'
import { schedulingCapacityOf } from './schedulingCapacity.js'
import { TOPICS, type RecordLog, type StoredRecord } from './recordLog.js'
import { TopicFollower } from './topicFollower.js'
import type { EligibilityPort, WorkerEntry, WorkerPort } from './workerPort.js'

/** Key of the only record in the leadership topic. */
const LEADERSHIP_KEY = 'scheduler'
/** Longest time that a read of leadership or configuration waits for a record, in milliseconds; an unresponsive connection is detected after this time. */
const READ_WAIT_MILLISECONDS = 1500
/** Age of the last read of the configuration after which the next one does not wait for a record, in milliseconds; the age of an undisturbed read stays below. */
const CONFIGURATION_REFRESH_MILLISECONDS = 2 * READ_WAIT_MILLISECONDS
/** Minimum time between two reads of the worker registry, in milliseconds; its entries change with every heartbeat. Only the active scheduler places tasks by them. */
const REGISTRY_PERIOD_MILLISECONDS = { active: 300, inactive: 2000 }
/** Time without a response after which another renewal of the role is sent, in milliseconds; shorter than the time after which others claim it. */
const RENEWAL_RETRY_MILLISECONDS = 400
/** Longest time that a former scheduler keeps running after another instance has claimed the role, in milliseconds; several appends to a slow log. */
const MAXIMUM_OVERLAP_MILLISECONDS = 3000
/** Period of the checks whether to claim the scheduler role, hand it over or stop the scheduler, in milliseconds. */
const ROLE_CHECK_PERIOD_MILLISECONDS = 50
/** Claim rank of an instance that can handle a whole core of the scheduler's work; the rank is inversely proportional to the capacity. */
const RANK_OF_ONE_CORE = 4
/** A peer with this multiple of the capacity of the active scheduler's instance takes the role over. */
const HANDOVER_CAPACITY_FACTOR = 2
/** Minimum time from taking the role over to handing it over, and between two attempts, in milliseconds; a large multiple of the cost of a takeover. */
const HANDOVER_INTERVAL_MILLISECONDS = 5000
/** Time without a successful read of the log after which an instance reports itself as not ready, in milliseconds. */
const UNREADY_WITHOUT_LOG_MILLISECONDS = READ_WAIT_MILLISECONDS + 1000

/** Topics that operators and workers write, and the decoders of their records, which the platform's adapter provides. */
export interface PlatformTopics {
  readonly configurationTopic: string
  readonly workerTopic: string
  /** Returns the configuration in a record; undefined if the record holds something else or cannot be decoded. */
  decodeConfiguration (record: StoredRecord): ClusterConfiguration | undefined
  /** Returns why a record that should hold a configuration cannot be decoded, and the revision that it states; undefined for other records. */
  findConfigurationFault? (record: StoredRecord): ConfigurationFault | undefined
  /** Returns the worker in a record; undefined if the record describes no usable worker. */
  decodeWorker (record: StoredRecord): WorkerEntry | undefined
}

/** One instance of the cluster: serves callers, and runs the active scheduler while it holds the role. */
export class ClusterInstance extends DisposableObject implements SchedulerQueries, ConfigurationSource {
  readonly jobService: JobService
  readonly accessControl: AccessControl
  private readonly admission: SubmissionAdmission
  private readonly incarnation = randomUUID()
  private readonly leadership: Leadership
  private readonly leadershipFollower: TopicFollower
  private readonly configurationFollower: TopicFollower
  private readonly registryFollower: TopicFollower
  private readonly workerEntries = new Map<string, WorkerEntry>()
  private readonly links: InstanceLinks
  private configurationInForce: ClusterConfiguration | undefined
  private readonly configurationWarnings: ConfigurationWarnings
  private scheduler: ActiveScheduler | undefined
  private isClaiming = false
  /** When the scheduler of this instance stops even if no successor has fenced it; set when another instance claims the role. */
  private schedulerEndsAt: number | undefined
  /** Whether the log held no leadership record when it was first read. */
  private hasNoHolder = false
  private isStopping = false
  /** Earliest time of the next handover to an instance with more capacity, in milliseconds of the monotonic clock. */
  private nextHandoverAt = Infinity
  private renewedAt = 0
  private renewalStartedAt: number | undefined
  /** Renewals that have been sent and have no outcome yet. */
  private readonly pendingRenewals = new Set<Promise<void>>()
  private isResigning = false
  private linkAddress: string
  /** Work of the active scheduler that this instance can handle, in cores. */
  private readonly capacity: number

  constructor (
    private readonly settings: ClusterSettings,
    private readonly log: RecordLog,
    private readonly workers: WorkerPort,
    eligibility: EligibilityPort,
    private readonly platformTopics: PlatformTopics,
    private readonly metrics: ClusterMetrics,
    private readonly logger: Logger,
    private readonly random: Random,
    private readonly now: () => number
  ) {
    super()
    this.linkAddress = `${settings.link.host}:${settings.link.port}`
    this.capacity = schedulingCapacityOf(settings)
    this.configurationWarnings = new ConfigurationWarnings(logger)
    this.leadership = new Leadership(settings.instance, this.incarnation, Math.round(RANK_OF_ONE_CORE / this.capacity), random.fraction())
    this.admission = new SubmissionAdmission(async (question, timeout) => await this.askAdmission(question, timeout), now)
    this.accessControl = new AccessControl(this, settings.keyRevocation, now)
    this.jobService = this.register(new JobService(log, this, logger, random, now, name => this.configurationInForce?.organisations.find(organisation => organisation.name === name), { admission: this.admission, refusals: new RefusalLog(logger, metrics, now) }))
    this.links = this.register(new InstanceLinks({ instance: settings.instance, incarnation: this.incarnation, processorShare: settings.processorShare, linkMegabits: settings.linkMegabits }, eligibility, {
      getJobStatus: job => this.scheduler?.statusOf(job),
      getCurrentJobStatus: job => this.scheduler?.currentStatusOf(job),
      countWaitingJobs: queue => this.scheduler?.countWaitingJobs(queue),
      decideAdmission: question => this.scheduler?.decideAdmission(question),
      onBacklogSummary: summary => this.admission.onSummary(summary),
      onRoleOffer: incarnation => this.onRoleOffer(incarnation),
      onHolderExited: incarnation => this.leadership.onHolderExited(incarnation, this.now())
    }, logger, random, now))
    this.leadershipFollower = this.createFollower(TOPICS.leadership, () => 0, (records, isSnapshot) => this.onLeadership(records, isSnapshot))
    this.configurationFollower = this.createFollower(platformTopics.configurationTopic, () => 0, records => this.onConfiguration(records), CONFIGURATION_REFRESH_MILLISECONDS)
    this.registryFollower = this.createFollower(platformTopics.workerTopic, () => this.scheduler === undefined ? REGISTRY_PERIOD_MILLISECONDS.inactive : REGISTRY_PERIOD_MILLISECONDS.active, (records, isSnapshot) => this.onRegistry(records, isSnapshot))
    this.register(toDisposable(() => this.scheduler?.dispose()))
    metrics.addGauge('acting', '1 while this instance acts as the scheduler', () => this.scheduler === undefined ? 0 : 1)
    metrics.addGauge('term', 'Term of the acting scheduler as this instance knows it', () => this.leadership.current?.term ?? 0)
    metrics.addGauge('configuration_revision', 'Revision of the configuration in force here', () => this.configurationInForce?.revision ?? 0)
    metrics.addGauge('scheduling_capacity_cores', 'Work of the acting scheduler that this instance can carry', () => this.capacity)
    metrics.addGauge('jobs', 'Jobs that the acting scheduler here keeps', () => this.scheduler?.counts.jobs ?? 0)
    metrics.addGauge('open_steps', 'Steps with tasks that wait for room', () => this.scheduler?.counts.readySteps ?? 0)
    metrics.addGauge('unrecorded_ends', 'Ends of runs that the acting scheduler here knows and the log does not hold', () => this.scheduler?.counts.unrecordedEnds ?? 0)
    metrics.addGauge('workers', 'Workers that the acting scheduler here knows', () => this.scheduler?.counts.workers ?? 0)
    const addOrganisationGauge = (name: string, help: string, read: (summary: OrganisationSummary) => number): void => {
      metrics.addGaugeByName(name, help, 'organisation', () => (this.scheduler?.organisations ?? []).map(summary => [summary.name, read(summary)] as const))
    }
    addOrganisationGauge('organisation_used_millicores', 'Processors that may be in use, in thousandths of a core', summary => summary.processorsThousandths)
    addOrganisationGauge('organisation_waiting_tasks', 'Tasks that wait to be placed', summary => summary.waitingTasks)
    metrics.addGaugeByName('organisation_queued_core_seconds', 'Queued work of the organisations that wait for room', 'organisation', () => this.scheduler?.queuedCoreSeconds ?? [])
    addOrganisationGauge('organisation_tasks_at_cap', 'Tasks that wait for the cap', summary => summary.tasksAtCap)
  }

  /** Starts to listen for links and to read the log. */
  async start (): Promise<void> {
    const port = await this.links.listen(this.settings.link)
    this.linkAddress = `${this.settings.link.host}:${port}`
    this.leadershipFollower.follow()
    this.configurationFollower.follow()
    this.registryFollower.follow()
    this.registerInterval(() => this.checkRole(), ROLE_CHECK_PERIOD_MILLISECONDS)
    this.registerInterval(() => this.renewIfDue(), RENEWAL_PERIOD_MILLISECONDS)
  }

  /** The newest configuration that this instance has read. */
  get configuration (): ClusterConfiguration | undefined {
    return this.configurationInForce
  }

  /** When the last successful read of the configuration was sent, in milliseconds of the monotonic clock; undefined before the first. */
  get configurationReadAt (): number | undefined {
    return this.configurationFollower.lastReadStartedAt
  }

  /** Returns whether this instance runs the active scheduler. */
  isSchedulerActive (): boolean {
    return this.scheduler !== undefined
  }

  /** Whether the load balancer should send requests to this instance. */
  get isReady (): boolean {
    const readCompletedAt = this.configurationFollower.lastReadCompletedAt
    return !this.isStopping && this.configurationInForce !== undefined && readCompletedAt !== undefined && this.now() - readCompletedAt < UNREADY_WITHOUT_LOG_MILLISECONDS && !this.jobService.isLogUnavailable
  }

  /**
   * Starts the graceful shutdown: makes the instance report itself as not ready and resigns from the role. Requests that still arrive are served, and tasks are
   * placed until a successor has taken over.
   */
  async prepareShutdown (): Promise<void> {
    this.isStopping = true
    await this.resign(this.links.pickSuccessor(), 'the instance is stopping')
  }

  async getJobStatus (job: string, timeoutMilliseconds: number): Promise<JobStatus | undefined> {
    return this.scheduler === undefined ? await this.queryJobStatus(job, false, timeoutMilliseconds) : this.scheduler.statusOf(job)
  }

  async getCurrentJobStatus (job: string, timeoutMilliseconds: number): Promise<JobStatus | undefined> {
    return this.scheduler === undefined ? await this.queryJobStatus(job, true, timeoutMilliseconds) : await this.scheduler.currentStatusOf(job)
  }

  private async queryJobStatus (job: string, isCurrent: boolean, timeoutMilliseconds: number): Promise<JobStatus | undefined> {
    const reply = await this.links.queryHolder({ type: 'stateQuestion', job, ...(isCurrent ? { isCurrent } : {}) }, timeoutMilliseconds)
    return reply?.type === 'stateReply' ? { state: reply.state as JobStateResult, ...(reply.organisation === undefined ? {} : { organisation: reply.organisation }) } : undefined
  }

  async countWaitingJobs (queue: string, timeoutMilliseconds: number): Promise<number | undefined> {
    if (this.scheduler !== undefined) return this.scheduler.countWaitingJobs(queue)
    const reply = await this.links.queryHolder({ type: 'waitingQuestion', queue }, timeoutMilliseconds)
    return reply?.type === 'waitingReply' && reply.waiting >= 0 ? reply.waiting : undefined
  }

  private async askAdmission (question: AdmissionQuestion, timeoutMilliseconds: number): Promise<AdmissionReply | undefined> {
    if (this.scheduler !== undefined) return await this.scheduler.decideAdmission(question)
    const reply = await this.links.queryHolder({ type: 'admissionQuestion', ...question }, timeoutMilliseconds)
    return reply?.type === 'admissionReply' ? reply : undefined
  }

  /** Sends the backlog of the organisations to all instances, also this one. */
  private onBacklog (term: number, organisations: OrganisationBacklog[]): void {
    this.admission.onSummary({ term, organisations })
    this.links.sendBacklog({ type: 'backlogSummary', term, organisations })
  }

  private createFollower (topic: string, periodMilliseconds: () => number, onRecords: (records: readonly StoredRecord[], isSnapshot: boolean) => void, refreshAfterMilliseconds?: number): TopicFollower {
    return this.register(new TopicFollower(
      this.log,
      { topic, partition: 0, waitMilliseconds: READ_WAIT_MILLISECONDS, periodMilliseconds, refreshAfterMilliseconds },
      { onRecords, onDidChangeReachability: (reachable, reason) => this.logger.info(reachable ? 'the log can be read again' : 'the log cannot be read', { stream: topic, reason }) },
      this.random, this.now
    ))
  }

  private onConfiguration (records: readonly StoredRecord[]): void {
    for (const record of records) {
      const configuration = this.platformTopics.decodeConfiguration(record)
      const fault = configuration === undefined ? this.platformTopics.findConfigurationFault?.(record) : undefined
      if (fault !== undefined) this.configurationWarnings.onMalformed(record, fault)
      if (configuration === undefined || configuration.revision <= (this.configurationInForce?.revision ?? -1)) continue
      this.configurationInForce = configuration
      this.logger.info('configuration in force', { revision: configuration.revision, offset: record.offset, count: configuration.queues.length })
      this.configurationWarnings.onInForce(configuration)
    }
    if (this.configurationInForce === undefined) return
    if (this.configurationInForce.organisations.length > 0) this.links.requestBacklog()
    this.startFirstClaimDelay(this.now())
    this.scheduler?.setConfiguration(this.configurationInForce)
  }

  /** Starts the delay before the first claim with the configuration, which reaches all instances at the same time, so that the largest claims first. */
  private startFirstClaimDelay (now: number): void {
    if (this.hasNoHolder) this.leadership.onNoRecord(now)
  }

  private onRegistry (records: readonly StoredRecord[], isSnapshot: boolean): void {
    const missing = new Set(isSnapshot ? this.workerEntries.keys() : [])
    for (const record of records) {
      missing.delete(record.key)
      const entry = record.value === undefined ? undefined : this.platformTopics.decodeWorker(record)
      if (entry === undefined) {
        if (record.value === undefined) this.removeWorker(record.key)
        else this.logger.warn('unusable entry in the worker registry', { worker: record.key, offset: record.offset })
        continue
      }
      const known = this.workerEntries.get(entry.identity)
      if (known?.state !== entry.state) this.logger.info('worker listed', { worker: entry.identity, code: entry.state, address: entry.address })
      this.workerEntries.set(entry.identity, entry)
      this.scheduler?.setWorker(entry)
    }
    for (const identity of missing) this.removeWorker(identity)
  }

  private removeWorker (identity: string): void {
    if (!this.workerEntries.delete(identity)) return
    this.logger.info('worker no longer listed', { worker: identity })
    this.scheduler?.removeWorker(identity)
  }

  private onLeadership (records: readonly StoredRecord[], isSnapshot: boolean): void {
    const now = this.now()
    if (isSnapshot && records.length === 0) this.hasNoHolder = true
    if (this.configurationInForce !== undefined) this.startFirstClaimDelay(now)
    for (const { value, offset } of records) {
      if (value === undefined) continue
      const record = decodeLeadership(value)
      if (record === undefined) {
        this.logger.error('malformed record of the scheduler role; it is skipped', { offset })
        continue
      }
      if (!this.leadership.onRecord(record, now)) continue
      // The record was written by the previous process of this instance, which has exited.
      if (record.instance === this.settings.instance && record.incarnation !== this.incarnation) this.leadership.onHolderExited(record.incarnation, now)
      this.logger.info(record.resigned ? 'the scheduler role is free' : 'the scheduler role is held', { peer: record.instance, term: record.term, address: record.address, offset })
    }
    this.applyLeadership()
  }

  /** Starts the scheduler or sets the time at which it stops, and keeps a link to the holder of the role. */
  private applyLeadership (): void {
    const current = this.leadership.current
    // This scheduler places tasks until the successor fences it, because a takeover takes several appends.
    if (current?.incarnation !== this.incarnation) this.schedulerEndsAt ??= this.now() + MAXIMUM_OVERLAP_MILLISECONDS
    else if (this.scheduler === undefined && !this.isStopping && this.leadership.isHeldHere) this.startScheduler()
    this.links.setHolder(this.leadership.isHeldHere ? undefined : current)
  }

  private checkRole (): void {
    this.handOverIfUndersized()
    if (this.scheduler !== undefined && this.schedulerEndsAt !== undefined && this.now() >= this.schedulerEndsAt) this.stopScheduler('another instance holds the role')
    if (this.isStopping || this.isClaiming || this.configurationInForce === undefined) return
    const { lastReadStartedAt, lastReadCompletedAt } = this.leadershipFollower
    if (this.leadership.shouldClaim(this.now(), lastReadStartedAt, this.jobService.logLatencyMilliseconds, lastReadCompletedAt)) this.claim()
  }

  private async claim (): Promise<void> {
    const position = this.leadershipFollower.position
    if (position === undefined) return
    this.isClaiming = true
    const term = this.leadership.termForClaim(position)
    const sentAt = this.now()
    const record = { term, instance: this.settings.instance, incarnation: this.incarnation, address: this.linkAddress, resigned: false }
    const outcome = await this.append(record, position)
    this.isClaiming = false
    this.logger.info('claimed the scheduler role', { term, code: outcome, offset: position })
    if (outcome !== 'stored') this.leadership.onClaimFailed(this.now())
    if (outcome !== 'stored' || this.isDisposed) return
    this.renewedAt = sentAt
    this.leadership.onRecord(record, this.now())
    this.applyLeadership()
  }

  private renewIfDue (): void {
    const current = this.leadership.current
    const now = this.now()
    if (!this.leadership.isHeldHere || current === undefined || this.isClaiming || this.isStopping || this.isResigning) return
    if (this.renewalStartedAt !== undefined && now - this.renewalStartedAt < RENEWAL_RETRY_MILLISECONDS) return
    this.renewalStartedAt = now
    const renewal = this.renew(current, now)
    this.pendingRenewals.add(renewal)
    renewal.then(() => this.pendingRenewals.delete(renewal))
  }

  /** Renews the role. Readers ignore the record if another instance has claimed a later term before it. */
  private async renew (current: LeadershipRecord, now: number): Promise<void> {
    const outcome = await this.append(current, undefined)
    if (this.renewalStartedAt === now) this.renewalStartedAt = undefined
    if (outcome === 'stored') this.renewedAt = Math.max(this.renewedAt, now)
    else this.offerRole()
  }

  /** Resigns from the role in favour of a peer. This instance places tasks until the successor fences it. */
  private async resign (successor: Peer | undefined, reason: string): Promise<void> {
    const current = this.leadership.current
    if (!this.leadership.isHeldHere || current === undefined || this.isResigning) return
    this.isResigning = true
    // A renewal that is stored after the resignation would revoke it.
    await Promise.all(this.pendingRenewals)
    const outcome = await this.append({ ...current, resigned: true, successor: successor?.instance ?? '' }, undefined)
    this.isResigning = false
    this.logger.info('role of scheduler offered', { term: current.term, peer: successor?.instance, code: outcome, reason })
  }

  /** Hands the role over if a peer has a multiple of this instance's capacity. */
  private handOverIfUndersized (): void {
    if (this.scheduler === undefined || !this.leadership.isHeldHere || this.isStopping || this.now() < this.nextHandoverAt) return
    const successor = this.links.pickSuccessor()
    if (successor === undefined || successor.capacity < HANDOVER_CAPACITY_FACTOR * this.capacity) return
    this.nextHandoverAt = this.now() + HANDOVER_INTERVAL_MILLISECONDS
    this.resign(successor, `the peer can handle ${successor.capacity.toFixed(2)} cores of the work, this instance ${this.capacity.toFixed(2)}`)
  }

  /** Asks another instance to claim the role, because this one cannot write to the log and the other one may be able to. */
  private offerRole (): void {
    const peer = this.links.pickSuccessor()
    if (!this.leadership.isHeldHere || this.isStopping || peer === undefined) return
    this.logger.warn('the role of scheduler cannot be renewed; another instance is asked to claim it', { peer: peer.instance, term: this.leadership.current?.term })
    peer.link.send({ type: 'roleOffer', incarnation: this.incarnation })
  }

  private onRoleOffer (incarnation: string): void {
    this.logger.info('asked to claim the scheduler role', { term: this.leadership.current?.term })
    this.leadership.onRoleOffered(incarnation)
  }

  private async append (record: LeadershipRecord, atOffset: number | undefined): Promise<string> {
    const outcome = await this.log.append(TOPICS.leadership, 0, [{ key: LEADERSHIP_KEY, value: encodeRecord(record) }], { atOffset })
    return outcome.kind
  }

  private startScheduler (): void {
    const term = this.leadership.current?.term
    if (term === undefined || this.configurationInForce === undefined) return
    this.schedulerEndsAt = undefined
    const scheduler = new ActiveScheduler(this.log, this.workers, {
      term,
      bounds: this.settings.bounds,
      renewedAt: () => this.renewedAt,
      registryReadAt: () => this.registryFollower.lastReadStartedAt,
      eligibilityChannels: () => this.links.eligibilityChannels(),
      onBacklog: organisations => this.onBacklog(term, organisations),
      onSuperseded: () => this.onSuperseded(scheduler)
    }, this.metrics, this.logger, this.random, this.now)
    this.scheduler = scheduler
    this.nextHandoverAt = this.now() + HANDOVER_INTERVAL_MILLISECONDS
    this.registryFollower.readNow()
    scheduler.takeOver(this.configurationInForce, this.workerEntries.values())
  }

  private onSuperseded (scheduler: ActiveScheduler): void {
    if (this.scheduler !== scheduler) return
    this.leadership.onSuperseded()
    this.stopScheduler('a later term is in force')
  }

  private stopScheduler (reason: string): void {
    this.schedulerEndsAt = undefined
    if (this.scheduler === undefined) return
    const { unrecordedEnds } = this.scheduler.counts
    this.scheduler.dispose()
    this.scheduler = undefined
    this.logger.info('no longer acting as scheduler', { term: this.leadership.current?.term, reason, count: unrecordedEnds })
  }
}
