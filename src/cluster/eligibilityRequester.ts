import type { QueuePolicy } from '../contracts/clusterConfiguration.js'
import type { ClusterScheduler } from './clusterScheduler.js'
import type { Step } from './job.js'
import { tasksFitWhenEmpty, sortByPlacementOrder } from './placementPass.js'
import { UrgentHeadroom } from './urgentHeadroom.js'
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
/** Number of non-urgent steps, in placement order, for which tickets are requested before capacity is free. */
const MAXIMUM_PREFETCHED_STEPS = 12
/** Headroom of zero, for steps that fit only if they ignore the headroom for urgent work. */
const NO_HEADROOM = new UrgentHeadroom()

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

  constructor (
    private readonly scheduler: ClusterScheduler,
    private readonly channels: () => readonly EligibilityChannel[],
    private readonly onResult: (result: EligibilityRequestResult) => void,
    private readonly now: () => number
  ) {}

  /** Sends requests on all free channels. */
  sendRequests (): void {
    const channels = this.channels()
    const free = channels.filter(channel => !this.busyInstances.has(channel.instance))
    if (free.length === 0) return
    let remainingLongRequests = Math.max(1, Math.floor(channels.length * (1 - SHORT_REQUEST_CHANNEL_SHARE))) - (channels.length - free.length)
    for (const request of this.selectRequests()) {
      const isLong = request.expectedMilliseconds >= LONG_REQUEST_MILLISECONDS
      if (isLong && remainingLongRequests <= 0) continue
      const channel = free.pop()
      if (channel === undefined) return
      if (isLong) remainingLongRequests -= 1
      this.send(channel, request)
    }
  }

  private * selectRequests (): Generator<EligibilityRequest> {
    const now = this.now()
    const steps = [...new Set([...this.scheduler.readySteps, ...this.scheduler.departingSteps])]
    sortByPlacementOrder(steps, now)
    let prefetched = 0
    for (const step of steps) {
      const policy = this.scheduler.policyOf(step.job)
      if (policy.eligibility === undefined) continue
      const workers = this.selectWorkers(step, policy, now)
      if (workers === undefined) continue
      if (policy.priority > 0) prefetched += 1
      if (prefetched > MAXIMUM_PREFETCHED_STEPS) return
      if (workers.length === 0 || step.eligibility.isRequestPending || now < step.eligibility.retryNotBefore) continue
      yield { step, workers, expectedMilliseconds: policy.eligibility.decisionMilliseconds + workers.length * policy.eligibility.perWorkerMilliseconds }
    }
  }

  /** Returns the workers to request for a step now; undefined if the step can be placed on none of the known workers, so that it does not count as prefetched. */
  private selectWorkers (step: Step, policy: QueuePolicy, now: number): string[] | undefined {
    const { tickets, requestedWorkers } = step.eligibility
    // A step of which a run is to be moved may have no waiting task yet.
    const needed = Math.max(1, step.waitingCount)
    const isSuitable = (worker: WorkerState | undefined): worker is WorkerState => worker !== undefined && worker.entry.pool === policy.pool && worker.isUsable() && worker.fitsWhenEmpty(step.specification)
    const named = [...tickets.keys()].map(identity => this.scheduler.workers.get(identity)).filter(isSuitable)
    // Further workers may have reported since the first request, in particular after a takeover.
    if (!tasksFitWhenEmpty(named, step, needed, this.scheduler.headroom)) {
      const unrequested = [...this.scheduler.workers.values()].filter(worker => !requestedWorkers.has(worker.identity)).filter(isSuitable)
      if (unrequested.length > 0) return selectIdentities([...unrequested, ...named])
      if (!tasksFitWhenEmpty(named, step, step.specification.gang ? needed : 1, NO_HEADROOM)) return undefined
    }
    const stale = named.filter(worker => (tickets.get(worker.identity)?.validUntil ?? 0) - REFRESH_MARGIN_MILLISECONDS <= now)
    if (step.specification.gang) return stale.length > 0 && (step.reservation !== undefined || stale.some(worker => worker.fits(step.specification))) ? selectIdentities(named) : []
    const valid = named.filter(worker => !stale.includes(worker) && worker.fits(step.specification))
    if (valid.length > 0) return []
    return selectIdentities(stale.filter(worker => worker.fits(step.specification)))
  }

  private async send (channel: EligibilityChannel, request: EligibilityRequest): Promise<void> {
    const eligibility = request.step.eligibility
    eligibility.isRequestPending = true
    this.busyInstances.add(channel.instance)
    const sentAt = this.now()
    const outcome = await channel.request(request.step.name, request.workers, request.expectedMilliseconds + RESPONSE_SLACK_MILLISECONDS)
    this.busyInstances.delete(channel.instance)
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

function selectIdentities (workers: readonly WorkerState[]): string[] {
  return [...workers]
    .sort((left, right) => right.freeProcessors - left.freeProcessors)
    .slice(0, MAXIMUM_WORKERS_PER_REQUEST)
    .map(worker => worker.identity)
}
