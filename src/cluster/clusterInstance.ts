import { randomUUID } from 'node:crypto'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { ClusterConfiguration } from '../contracts/clusterConfiguration.js'
import { decodeRecord, encodeRecord, type LeadershipRecord } from '../contracts/clusterRecords.js'
import type { ClusterSettings } from '../contracts/clusterSettings.js'
import { ActingScheduler, type StateAnswer } from './actingScheduler.js'
import type { ClusterMetrics } from './clusterMetrics.js'
import { InstanceLinks } from './instanceLinks.js'
import { JobService, type SchedulerQueries } from './jobService.js'
import { Leadership, RENEWAL_PERIOD_MILLISECONDS } from './leadership.js'
import type { Peer } from './peerSet.js'
import { schedulingCapacityOf } from './schedulingCapacity.js'
import { TOPICS, type RecordLog, type StoredRecord } from './recordLog.js'
import { TopicFollower } from './topicFollower.js'
import type { EligibilityPort, WorkerEntry, WorkerPort } from './workerPort.js'

/** Key of the one record in the leadership topic. */
const LEADERSHIP_KEY = 'scheduler'
/** Wait of a read of leadership and configuration, in milliseconds; a connection that went silent is noticed this late. */
const FOLLOW_WAIT_MILLISECONDS = 1500
/** Least time between two reads of the workers' registry, in milliseconds; its entries change every heartbeat. Only the acting scheduler places tasks by them. */
const REGISTRY_PERIOD_MILLISECONDS = { acting: 300, other: 2000 }
/** Time without an answer after which the role is renewed again, in milliseconds; shorter than the silence after which others claim. */
const RENEWAL_PATIENCE_MILLISECONDS = 400
/** Longest time that a former scheduler goes on after another instance has claimed the role, in milliseconds; some appends to a slow log. */
const OVERLAP_MILLISECONDS = 3000
/** Period in which the role is watched, in milliseconds. */
const WATCH_PERIOD_MILLISECONDS = 50
/** Capacity in cores times rank: an instance that can carry a whole core of the scheduler's work has this rank. */
const RANK_OF_ONE_CORE = 4
/** A peer with this many times the capacity of the acting scheduler's instance takes the role over. */
const HANDOVER_FACTOR = 2
/** Least time in which an instance acts before it hands the role over, and between two tries, in milliseconds; many times what a takeover costs. */
const HANDOVER_PAUSE_MILLISECONDS = 5000
/** Without a read of the log for this long, an instance reports itself as not ready, in milliseconds. */
const UNREADY_WITHOUT_LOG_MILLISECONDS = FOLLOW_WAIT_MILLISECONDS + 1000

/** Sources of what operators and workers write, which the platform's adapter decodes. */
export interface PlatformTopics {
  readonly configurationTopic: string
  readonly workerTopic: string
  /** The configuration in a record; undefined if the record is something else or cannot be read. */
  decodeConfiguration (record: StoredRecord): ClusterConfiguration | undefined
  /** The worker in a record; undefined if it names none that can be used. */
  decodeWorker (record: StoredRecord): WorkerEntry | undefined
}

/** One instance: serves callers, and acts as the scheduler while it holds the role. */
export class ClusterInstance extends DisposableObject implements SchedulerQueries {
  readonly jobService: JobService
  private readonly incarnation = randomUUID()
  private readonly leadership: Leadership
  private readonly leadershipFollower: TopicFollower
  private readonly configurationFollower: TopicFollower
  private readonly registryFollower: TopicFollower
  private readonly workerEntries = new Map<string, WorkerEntry>()
  private readonly links: InstanceLinks
  private configurationInForce: ClusterConfiguration | undefined
  private acting: ActingScheduler | undefined
  private isClaiming = false
  /** When this instance stops acting although nobody has shut it out; set when another instance claims the role. */
  private actingEndsAt: number | undefined
  /** The log held no leadership record when it was first read. */
  private hasNoHolder = false
  private isStopping = false
  /** Earliest time of the next handover to a larger instance, in milliseconds of the monotonic clock. */
  private handOverNotBefore = Infinity
  private renewedAt = 0
  private renewingSince: number | undefined
  /** Renewals without an answer yet. */
  private readonly renewals = new Set<Promise<void>>()
  private isResigning = false
  private linkAddress: string
  /** Work of the acting scheduler that this instance can carry, in cores. */
  private readonly capacity: number

  constructor (
    private readonly settings: ClusterSettings,
    private readonly log: RecordLog,
    private readonly workers: WorkerPort,
    eligibility: EligibilityPort,
    private readonly feeds: PlatformTopics,
    private readonly metrics: ClusterMetrics,
    private readonly logger: Logger,
    private readonly random: Random,
    private readonly now: () => number
  ) {
    super()
    this.linkAddress = `${settings.link.host}:${settings.link.port}`
    this.capacity = schedulingCapacityOf(settings)
    this.leadership = new Leadership(settings.instance, this.incarnation, Math.round(RANK_OF_ONE_CORE / this.capacity), random.fraction())
    this.jobService = this.register(new JobService(log, this, logger, random, now))
    this.links = this.register(new InstanceLinks({ instance: settings.instance, incarnation: this.incarnation, processorShare: settings.processorShare, linkMegabits: settings.linkMegabits }, eligibility, {
      getJobState: job => this.acting?.stateOf(job),
      countWaitingJobs: queue => this.acting?.waitingOf(queue),
      onRoleOffer: incarnation => this.onRoleOffer(incarnation),
      onHolderExited: incarnation => this.leadership.onHolderExited(incarnation, this.now())
    }, logger, random, now))
    this.leadershipFollower = this.follower(TOPICS.leadership, () => 0, (records, isSnapshot) => this.onLeadership(records, isSnapshot))
    this.configurationFollower = this.follower(feeds.configurationTopic, () => 0, records => this.onConfiguration(records))
    this.registryFollower = this.follower(feeds.workerTopic, () => this.acting === undefined ? REGISTRY_PERIOD_MILLISECONDS.other : REGISTRY_PERIOD_MILLISECONDS.acting, (records, isSnapshot) => this.onRegistry(records, isSnapshot))
    this.register(toDisposable(() => this.acting?.dispose()))
    metrics.addGauge('acting', '1 while this instance acts as the scheduler', () => this.acting === undefined ? 0 : 1)
    metrics.addGauge('term', 'Term of the acting scheduler as this instance knows it', () => this.leadership.current?.term ?? 0)
    metrics.addGauge('configuration_revision', 'Revision of the configuration in force here', () => this.configurationInForce?.revision ?? 0)
    metrics.addGauge('scheduling_capacity_cores', 'Work of the acting scheduler that this instance can carry', () => this.capacity)
    metrics.addGauge('jobs', 'Jobs that the acting scheduler here keeps', () => this.acting?.figures.jobs ?? 0)
    metrics.addGauge('open_steps', 'Steps with tasks that wait for room', () => this.acting?.figures.openSteps ?? 0)
    metrics.addGauge('unrecorded_ends', 'Ends of runs that the acting scheduler here knows and the log does not hold', () => this.acting?.figures.unrecordedEnds ?? 0)
    metrics.addGauge('workers', 'Workers that the acting scheduler here knows', () => this.acting?.figures.workers ?? 0)
  }

  /** Starts listening for links and following the log. */
  async start (): Promise<void> {
    const port = await this.links.listen(this.settings.link)
    this.linkAddress = `${this.settings.link.host}:${port}`
    this.leadershipFollower.follow()
    this.configurationFollower.follow()
    this.registryFollower.follow()
    this.registerInterval(() => this.watchRole(), WATCH_PERIOD_MILLISECONDS)
    this.registerInterval(() => this.renewIfDue(), RENEWAL_PERIOD_MILLISECONDS)
  }

  /** The newest configuration that this instance has read. */
  get configuration (): ClusterConfiguration | undefined {
    return this.configurationInForce
  }

  /** Whether this instance places tasks at present. */
  isSchedulerActive (): boolean {
    return this.acting !== undefined
  }

  /** Whether new callers should be sent here. */
  get isReady (): boolean {
    const readAt = this.configurationFollower.lastReadCompletedAt
    return !this.isStopping && this.configurationInForce !== undefined && readAt !== undefined && this.now() - readAt < UNREADY_WITHOUT_LOG_MILLISECONDS && !this.jobService.isLogUnavailable
  }

  /**
   * Reports itself as not ready and offers the role to the others. Callers that still come are served, and tasks are placed
   * until a successor has taken over.
   */
  async prepareStop (): Promise<void> {
    this.isStopping = true
    await this.resign(this.links.pickSuccessor(), 'the instance stops')
  }

  async getJobState (job: string, timeoutMilliseconds: number): Promise<StateAnswer | undefined> {
    if (this.acting !== undefined) return this.acting.stateOf(job)
    const reply = await this.links.queryHolder({ type: 'stateQuestion', job }, timeoutMilliseconds)
    return reply?.type === 'stateReply' ? reply.state as StateAnswer : undefined
  }

  async countWaitingJobs (queue: string, timeoutMilliseconds: number): Promise<number | undefined> {
    if (this.acting !== undefined) return this.acting.waitingOf(queue)
    const reply = await this.links.queryHolder({ type: 'waitingQuestion', queue }, timeoutMilliseconds)
    return reply?.type === 'waitingReply' && reply.waiting >= 0 ? reply.waiting : undefined
  }

  private follower (topic: string, periodMilliseconds: () => number, onRecords: (records: readonly StoredRecord[], isSnapshot: boolean) => void): TopicFollower {
    return this.register(new TopicFollower(
      this.log,
      { topic, partition: 0, waitMilliseconds: FOLLOW_WAIT_MILLISECONDS, periodMilliseconds },
      { onRecords, onDidChangeReachability: (reachable, reason) => this.logger.info(reachable ? 'the log can be read again' : 'the log cannot be read', { stream: topic, reason }) },
      this.random, this.now
    ))
  }

  private onConfiguration (records: readonly StoredRecord[]): void {
    for (const record of records) {
      const configuration = this.feeds.decodeConfiguration(record)
      if (configuration === undefined || configuration.revision <= (this.configurationInForce?.revision ?? -1)) continue
      this.configurationInForce = configuration
      this.logger.info('configuration in force', { revision: configuration.revision, offset: record.offset, count: configuration.queues.length })
    }
    if (this.configurationInForce === undefined) return
    this.awaitFirstClaim(this.now())
    this.acting?.setConfiguration(this.configurationInForce)
  }

  /** The waits before the first claim count from the configuration on, which reaches all instances at once: the largest claims first. */
  private awaitFirstClaim (now: number): void {
    if (this.hasNoHolder) this.leadership.onNoRecord(now)
  }

  private onRegistry (records: readonly StoredRecord[], isSnapshot: boolean): void {
    const missing = new Set(isSnapshot ? this.workerEntries.keys() : [])
    for (const record of records) {
      missing.delete(record.key)
      const entry = record.value === undefined ? undefined : this.feeds.decodeWorker(record)
      if (entry === undefined) {
        if (record.value === undefined) this.removeWorker(record.key)
        else this.logger.warn('unusable entry in the registry of workers', { worker: record.key, offset: record.offset })
        continue
      }
      const known = this.workerEntries.get(entry.identity)
      if (known?.state !== entry.state) this.logger.info('worker listed', { worker: entry.identity, code: entry.state, address: entry.address })
      this.workerEntries.set(entry.identity, entry)
      this.acting?.setWorker(entry)
    }
    for (const identity of missing) this.removeWorker(identity)
  }

  private removeWorker (identity: string): void {
    if (!this.workerEntries.delete(identity)) return
    this.logger.info('worker no longer listed', { worker: identity })
    this.acting?.removeWorker(identity)
  }

  private onLeadership (records: readonly StoredRecord[], isSnapshot: boolean): void {
    const now = this.now()
    if (isSnapshot && records.length === 0) this.hasNoHolder = true
    if (this.configurationInForce !== undefined) this.awaitFirstClaim(now)
    for (const { value, offset } of records) {
      if (value === undefined) continue
      const record = decodeRecord<LeadershipRecord>(value)
      if (!this.leadership.onRecord(record, now)) continue
      // A record of this instance's former process: that process has ended.
      if (record.instance === this.settings.instance && record.incarnation !== this.incarnation) this.leadership.onHolderExited(record.incarnation, now)
      this.logger.info(record.resigned ? 'the scheduler role is free' : 'the scheduler role is held', { peer: record.instance, term: record.term, address: record.address, offset })
    }
    this.followRole()
  }

  /** Starts or stops acting, and links to the holder of the role. */
  private followRole (): void {
    const current = this.leadership.current
    // Until the successor shuts this instance out, it goes on placing: taking over takes some appends.
    if (current?.incarnation !== this.incarnation) this.actingEndsAt ??= this.now() + OVERLAP_MILLISECONDS
    else if (this.acting === undefined && !this.isStopping && this.leadership.isHeldHere) this.act()
    this.links.setHolder(this.leadership.isHeldHere ? undefined : current)
  }

  private watchRole (): void {
    this.handOverIfSmall()
    if (this.acting !== undefined && this.actingEndsAt !== undefined && this.now() >= this.actingEndsAt) this.stopActing('another instance holds the role')
    if (this.isStopping || this.isClaiming || this.configurationInForce === undefined) return
    const asOf = this.leadershipFollower.lastReadStartedAt
    if (this.leadership.shouldClaim(this.now(), asOf, this.jobService.logLatencyMilliseconds)) this.claim()
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
    this.followRole()
  }

  private renewIfDue (): void {
    const current = this.leadership.current
    const now = this.now()
    if (!this.leadership.isHeldHere || current === undefined || this.isClaiming || this.isStopping || this.isResigning) return
    if (this.renewingSince !== undefined && now - this.renewingSince < RENEWAL_PATIENCE_MILLISECONDS) return
    this.renewingSince = now
    const renewal = this.renew(current, now)
    this.renewals.add(renewal)
    renewal.then(() => this.renewals.delete(renewal))
  }

  /** Restates the role. Readers ignore the record if another instance has claimed a later term before. */
  private async renew (current: LeadershipRecord, now: number): Promise<void> {
    const outcome = await this.append(current, undefined)
    if (this.renewingSince === now) this.renewingSince = undefined
    if (outcome === 'stored') this.renewedAt = Math.max(this.renewedAt, now)
    else this.offerRole()
  }

  /** Gives the role up in favour of a peer. This instance places on until the successor shuts it out. */
  private async resign (successor: Peer | undefined, reason: string): Promise<void> {
    const current = this.leadership.current
    if (!this.leadership.isHeldHere || current === undefined || this.isResigning) return
    this.isResigning = true
    // A renewal that is stored after the resignation would take it back.
    await Promise.all(this.renewals)
    const outcome = await this.append({ ...current, resigned: true, successor: successor?.instance ?? '' }, undefined)
    this.isResigning = false
    this.logger.info('role of scheduler offered', { term: current.term, peer: successor?.instance, code: outcome, reason })
  }

  /** An instance that can carry too little of the work hands the role over to one that can carry much more. */
  private handOverIfSmall (): void {
    if (this.acting === undefined || !this.leadership.isHeldHere || this.isStopping || this.now() < this.handOverNotBefore) return
    const successor = this.links.pickSuccessor()
    if (successor === undefined || successor.capacity < HANDOVER_FACTOR * this.capacity) return
    this.handOverNotBefore = this.now() + HANDOVER_PAUSE_MILLISECONDS
    this.resign(successor, `the peer can carry ${successor.capacity.toFixed(2)} cores of the work, this instance ${this.capacity.toFixed(2)}`)
  }

  /** Asks another instance to claim the role, because this one cannot write to the log. It may be able to. */
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

  private act (): void {
    const term = this.leadership.current?.term
    if (term === undefined || this.configurationInForce === undefined) return
    this.actingEndsAt = undefined
    const acting = new ActingScheduler(this.log, this.workers, {
      term,
      bounds: this.settings.bounds,
      renewedAt: () => this.renewedAt,
      lines: () => this.links.eligibilityChannels(),
      onDeposed: () => this.onDeposed(acting)
    }, this.metrics, this.logger, this.random, this.now)
    this.acting = acting
    this.handOverNotBefore = this.now() + HANDOVER_PAUSE_MILLISECONDS
    this.registryFollower.readNow()
    acting.takeOver(this.configurationInForce, this.workerEntries.values())
  }

  private onDeposed (acting: ActingScheduler): void {
    if (this.acting !== acting) return
    this.leadership.onSuperseded()
    this.stopActing('a later term is in force')
  }

  private stopActing (reason: string): void {
    this.actingEndsAt = undefined
    if (this.acting === undefined) return
    const { unrecordedEnds } = this.acting.figures
    this.acting.dispose()
    this.acting = undefined
    this.logger.info('no longer acting as scheduler', { term: this.leadership.current?.term, reason, count: unrecordedEnds })
  }
}
