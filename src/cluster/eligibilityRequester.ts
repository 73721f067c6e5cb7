import type { QueuePolicy } from '../contracts/clusterConfiguration.js'
import { ChannelHealth } from './channelHealth.js'
import type { ClusterScheduler } from './clusterScheduler.js'
import type { Step } from './job.js'
import { sortByPlacementOrder, URGENT_PRIORITY } from './placementPass.js'
import { remainingPerWorker, tasksFitNow, tasksFitWhenEmpty } from './stepFit.js'
import type { EligibilityOutcome } from './workerPort.js'
import type { WorkerState } from './workerState.js'

/** Maximum number of workers in one request; the service accepts no more. */
const MAXIMUM_WORKERS_PER_REQUEST = 100
/** Expected duration from which a request counts as long. Long requests may not occupy all channels. */
const LONG_REQUEST_MILLISECONDS = 60
/** Share of the channels that is reserved for short requests. */
const SHORT_REQUEST_CHANNEL_SHARE = 0.34
/** Time that a response may take beyond the expected duration. */
const RESPONSE_SLACK_MILLISECONDS = 500
/** Remaining validity of a ticket at or below which a new one is requested. */
const REFRESH_MARGIN_MILLISECONDS = 400
/** Pause after a request for a step that failed or returned no workers. */
const RETRY_PAUSE_MILLISECONDS = 150
/** Time after which a step that needed no request is examined again, in milliseconds. Bounds the processor time that a long backlog takes. */
const RECHECK_PERIOD_MILLISECONDS = 100
/** Wait without room on any eligible worker after which workers with free capacity are requested that were not requested before, in milliseconds. */
const WAIT_BEFORE_EXTENSION_MILLISECONDS = 300

/** Channel to the eligibility service through one instance. The service handles one request per channel at a time. */
export interface EligibilityChannel {
  readonly instance: string
  request (step: string, workers: readonly string[], timeoutMilliseconds: number): Promise<EligibilityOutcome>
}

/** Result of one request. */
export interface EligibilityRequestResult {
  readonly step: string
  readonly instance: string
  /** Number of workers in the request. */
  readonly requestedCount: number
  /** Number of workers that the response names as eligible. */
  readonly eligibleCount: number
  readonly durationMilliseconds: number
  /** Reason for a missing response; empty if there is a response. */
  readonly reason: string
}

interface EligibilityRequest {
  readonly step: Step
  readonly workers: readonly string[]
  readonly expectedMilliseconds: number
}

/** Requests eligible workers and their tickets for the active scheduler, in placement order of the steps and through the channels of all instances. */
export class EligibilityRequester {
  private readonly busyInstances = new Set<string>()
  private readonly health = new ChannelHealth()
  private pendingLongRequests = 0

  constructor (
    private readonly scheduler: ClusterScheduler,
    private readonly channels: () => readonly EligibilityChannel[],
    private readonly onResult: (result: EligibilityRequestResult) => void,
    private readonly now: () => number
  ) {}

  /** Sends requests on all free channels. */
  sendRequests (): void {
    const channels = this.channels()
    const isFree = ({ instance }: EligibilityChannel): boolean => !this.busyInstances.has(instance)
    const free = this.health.selectUsable(channels, isFree, this.now())
    if (free.length === 0) return
    const maximumLongRequests = Math.max(1, Math.floor(channels.length * (1 - SHORT_REQUEST_CHANNEL_SHARE)))
    for (const request of this.selectRequests()) {
      if (isLong(request) && this.pendingLongRequests >= maximumLongRequests) continue
      const channel = free.pop()
      if (channel === undefined) return
      this.send(channel, request)
    }
  }

  private * selectRequests (): Generator<EligibilityRequest> {
    const now = this.now()
    const steps = [...new Set([...this.scheduler.readySteps, ...this.scheduler.departingSteps])]
    sortByPlacementOrder(steps, now, this.scheduler.organisations.createFairOrder(steps, now))
    const cappedOrganisations = new Set<string | undefined>()
    for (const step of steps) {
      // Only the first step of an organisation at its cap needs tickets soon.
      if (this.scheduler.organisations.isAtCap(step)) {
        const { organisation } = step.job.submission
        if (cappedOrganisations.has(organisation)) continue
        cappedOrganisations.add(organisation)
      }
      const policy = this.scheduler.policyOf(step.job)
      const { eligibility } = step
      if (policy.eligibility === undefined || eligibility.isRequestPending || now < eligibility.retryNotBefore) continue
      const workers = this.selectWorkers(step, policy, now)
      if (workers.length === 0) {
        if (policy.priority !== URGENT_PRIORITY) eligibility.retryNotBefore = now + RECHECK_PERIOD_MILLISECONDS
        continue
      }
      yield { step, workers, expectedMilliseconds: policy.eligibility.decisionMilliseconds + workers.length * policy.eligibility.perWorkerMilliseconds }
    }
  }

  /**
   * Returns the workers to request for a step now; empty if none is needed. A step is asked for as soon as it is ready, whatever waits before it:
   * a step that waits for room must not delay the requests of others that find room at once. Tickets are renewed only where the step has room.
   */
  private selectWorkers (step: Step, policy: QueuePolicy, now: number): string[] {
    const { tickets, requestedWorkers } = step.eligibility
    // A step of which a run is to be moved may have no waiting task yet.
    const needed = Math.max(1, step.waitingCount)
    const isSuitable = (worker: WorkerState | undefined): worker is WorkerState => worker !== undefined && worker.entry.pool === policy.pool && worker.isUsable(now) && worker.fitsWhenEmpty(step.specification)
    const named = [...tickets.keys()].map(identity => this.scheduler.workers.get(identity)).filter(isSuitable)
    // Further workers may have reported since the first request, in particular after a takeover.
    if (!tasksFitWhenEmpty(named, step, needed, this.scheduler.headroom)) {
      const unrequested = [...this.scheduler.workers.values()].filter(worker => !requestedWorkers.has(worker.identity)).filter(isSuitable)
      if (unrequested.length > 0) return selectIdentities([...unrequested, ...named])
      // A step may ignore the headroom if it could never be placed otherwise.
      if (!tasksFitWhenEmpty(named, step, step.specification.gang ? needed : 1)) return []
    }
    const isStale = (worker: WorkerState): boolean => (tickets.get(worker.identity)?.validUntil ?? 0) - REFRESH_MARGIN_MILLISECONDS <= now
    if (!tasksFitNow(named, step, step.specification.gang ? needed : 1)) {
      if (step.reservation !== undefined && named.some(isStale)) return selectIdentities(named)
      return this.selectFurtherWorkers(step, named, needed, isSuitable, now)
    }
    const remaining = remainingPerWorker(step)
    const withRoom = step.specification.gang ? named : named.filter(worker => worker.fits(step.specification) && remaining(worker) > 0)
    const isRenewalNeeded = step.specification.gang ? withRoom.some(isStale) : withRoom.every(isStale)
    return isRenewalNeeded ? selectIdentities(withRoom) : []
  }

  /** Returns workers with free capacity that were not requested before, for a step that has found no room on its eligible workers for a while. */
  private selectFurtherWorkers (step: Step, named: readonly WorkerState[], needed: number, isSuitable: (worker: WorkerState) => boolean, now: number): string[] {
    if (step.waitingSince === undefined || now - step.waitingSince < WAIT_BEFORE_EXTENSION_MILLISECONDS) return []
    const { requestedWorkers } = step.eligibility
    const further = [...this.scheduler.workers.values()].filter(worker => !requestedWorkers.has(worker.identity) && isSuitable(worker) && worker.fits(step.specification))
    if (!step.specification.gang) return selectIdentities(further)
    // The tickets of a gang must be valid at the same time.
    return further.length > 0 && tasksFitNow([...further, ...named], step, needed) ? selectIdentities([...further, ...named]) : []
  }

  private async send (channel: EligibilityChannel, request: EligibilityRequest): Promise<void> {
    const eligibility = request.step.eligibility
    eligibility.isRequestPending = true
    this.busyInstances.add(channel.instance)
    if (isLong(request)) this.pendingLongRequests += 1
    const sentAt = this.now()
    const outcome = await channel.request(request.step.name, request.workers, request.expectedMilliseconds + RESPONSE_SLACK_MILLISECONDS)
    this.busyInstances.delete(channel.instance)
    if (isLong(request)) this.pendingLongRequests -= 1
    this.health.onOutcome(channel.instance, outcome.kind === 'failed', this.now())
    eligibility.isRequestPending = false
    if (outcome.kind === 'failed') {
      eligibility.retryNotBefore = this.now() + RETRY_PAUSE_MILLISECONDS
    } else {
      // A ticket is valid from the service's decision, which comes no earlier than the expected duration after the request.
      const validFrom = Math.min(this.now(), sentAt + request.expectedMilliseconds)
      for (const worker of request.workers) eligibility.requestedWorkers.add(worker)
      for (const { worker, ticket } of outcome.workers) eligibility.tickets.set(worker, { ticket, validUntil: validFrom + outcome.validMilliseconds })
      if (outcome.workers.length === 0) eligibility.retryNotBefore = this.now() + RETRY_PAUSE_MILLISECONDS
    }
    this.onResult({
      step: request.step.name,
      instance: channel.instance,
      requestedCount: request.workers.length,
      eligibleCount: outcome.kind === 'failed' ? 0 : outcome.workers.length,
      durationMilliseconds: Math.round(this.now() - sentAt),
      reason: outcome.kind === 'failed' ? outcome.reason : ''
    })
  }
}

function isLong ({ expectedMilliseconds }: EligibilityRequest): boolean {
  return expectedMilliseconds >= LONG_REQUEST_MILLISECONDS
}

function selectIdentities (workers: readonly WorkerState[]): string[] {
  return [...workers]
    .sort((left, right) => right.freeProcessors - left.freeProcessors)
    .slice(0, MAXIMUM_WORKERS_PER_REQUEST)
    .map(worker => worker.identity)
}
