import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import type { ClusterMetrics } from './clusterMetrics.js'
import type { ClusterScheduler } from './clusterScheduler.js'
import type { WorkerPort, WorkerReport } from './workerPort.js'
import { MAXIMUM_CLOCK_DRIFT, WorkerSession, type WorkerLossCause } from './workerSession.js'
import type { WorkerState } from './workerState.js'

/** Outage of the log during which runs go on, in milliseconds; longer than the known outages. */
const TOLERATED_LOG_OUTAGE_MILLISECONDS = 10_000
/** Shortest time after the last renewal of the role for which leases are renewed, in milliseconds; several renewals of the role. */
const MINIMUM_RENEWAL_WITHOUT_LOG_MILLISECONDS = 2000

/**
 * Returns the time after the last renewal of the role in the log for which leases of workers are renewed, in milliseconds. A successor
 * that cannot reach a worker waits for this time and a lease, so that the time is no longer than the tolerated outage requires.
 */
export function leaseRenewalWithoutLog (leaseMilliseconds: number): number {
  return Math.max(MINIMUM_RENEWAL_WITHOUT_LOG_MILLISECONDS, TOLERATED_LOG_OUTAGE_MILLISECONDS - leaseMilliseconds)
}

export interface WorkerSessionsOptions {
  readonly term: number
  readonly leaseMilliseconds: number
  /** Returns when the last stored renewal of the role was sent, in milliseconds of the monotonic clock. */
  readonly renewedAt: () => number
  /** Called when something has changed that may allow tasks to be placed. */
  readonly onDidChange: () => void
  /** Called when a worker has accepted a later term. */
  readonly onSuperseded: () => void
}

/** The sessions of the active scheduler with all workers. Forwards their reports to the scheduler. */
export class WorkerSessions extends DisposableObject {
  private readonly sessions = new Map<string, WorkerSession>()
  private readonly startedAt: number

  constructor (
    private readonly scheduler: ClusterScheduler,
    private readonly workers: WorkerPort,
    private readonly options: WorkerSessionsOptions,
    private readonly metrics: ClusterMetrics,
    private readonly logger: Logger,
    private readonly now: () => number
  ) {
    super()
    this.startedAt = now()
    this.register(toDisposable(() => {
      for (const session of this.sessions.values()) session.dispose()
    }))
  }

  /** Whether the role was renewed recently enough for leases of workers to be extended: a successor that cannot reach a worker counts on it that they are not. */
  get isRoleCertain (): boolean {
    return this.now() - this.options.renewedAt() < leaseRenewalWithoutLog(this.options.leaseMilliseconds)
  }

  get (identity: string): WorkerSession | undefined {
    return this.sessions.get(identity)
  }

  /** Starts polling a worker, unless a session with it is open. */
  open (worker: WorkerState): void {
    if (this.sessions.has(worker.identity)) return
    const identity = worker.identity
    const { term, leaseMilliseconds } = this.options
    const session = new WorkerSession(
      { identity, address: worker.entry.address },
      this.workers,
      {
        onReport: (report, sentAt, acknowledgedEnd) => this.onReport(identity, report, sentAt, acknowledgedEnd),
        onPollFailed: reason => this.onPollFailed(identity, reason),
        onWorkerLost: cause => this.onWorkerLost(identity, cause),
        onFenced: () => this.onFenced(identity),
        onStopConfirmed: (task, run) => this.scheduler.onStopConfirmed(identity, task, run, this.now()),
        hasUnrecordedEnds: () => this.hasUnrecordedEnds(identity),
        getEndToAcknowledge: () => this.scheduler.workers.get(identity)?.endToAcknowledge ?? 0,
        needsPolling: () => this.needsPolling(identity),
        getPollWait: () => this.scheduler.pollWaitMilliseconds(identity)
      },
      { term, leaseMilliseconds, formerLeasesEndAt: this.startedAt + leaseRenewalWithoutLog(leaseMilliseconds) + leaseMilliseconds / (1 - MAXIMUM_CLOCK_DRIFT) },
      () => this.isRoleCertain,
      this.now
    )
    this.sessions.set(identity, session)
    session.open()
  }

  /** Closes the session with a worker that the scheduler no longer tracks. */
  closeIfUnknown (identity: string): void {
    if (this.scheduler.workers.has(identity)) return
    this.sessions.get(identity)?.dispose()
    this.sessions.delete(identity)
  }

  private needsPolling (identity: string): boolean {
    const worker = this.scheduler.workers.get(identity)
    if (worker === undefined) return false
    return worker.runs.size > 0 || worker.hasUnrecordedEnds || worker.endToAcknowledge > 0 || worker.hasOrphanedRuns || (worker.isUnresponsive && worker.isListed)
  }

  private hasUnrecordedEnds (identity: string): boolean {
    return this.scheduler.workers.get(identity)?.hasUnrecordedEnds === true
  }

  private onReport (identity: string, report: WorkerReport, sentAt: number, acknowledgedEnd: number): void {
    const worker = this.scheduler.workers.get(identity)
    if (worker === undefined) return
    if (worker.isUnresponsive) this.logger.info('worker answers again', { worker: identity })
    this.metrics.pollCompleted(report.mayOmitEnds ? 'partialReport' : 'report')
    if (report.processStartedAt === worker.processStartedAt) worker.acknowledgedEnd = Math.max(worker.acknowledgedEnd, acknowledgedEnd)
    const hadOmittedEnds = worker.hasOmittedEnds
    this.scheduler.onReport(identity, report, sentAt, this.now())
    if (worker.hasOmittedEnds !== hadOmittedEnds) this.logOmittedEnds(worker, report)
    this.options.onDidChange()
  }

  private logOmittedEnds (worker: WorkerState, { ended }: WorkerReport): void {
    const awaited = [...worker.runs.values()].filter(task => task.isAwaitingEnd).length
    const message = worker.hasOmittedEnds ? 'worker may have more ends than its report lists; runs that it does not list are not taken as lost' : 'worker lists all ends again'
    this.logger.info(message, { worker: worker.identity, count: ended.length, reason: `${awaited} runs are no longer running and have no end yet` })
  }

  private onPollFailed (identity: string, reason: string): void {
    this.metrics.pollCompleted('failed')
    const worker = this.scheduler.workers.get(identity)
    if (worker === undefined) return
    if (!worker.isUnresponsive) this.logger.warn('worker does not answer', { worker: identity, reason, count: worker.runs.size })
    this.scheduler.onPollFailed(identity)
  }

  private onWorkerLost (identity: string, cause: WorkerLossCause): void {
    const worker = this.scheduler.workers.get(identity)
    if (worker === undefined) return
    this.logger.info('nothing can run on a worker any more', { worker: identity, count: worker.runs.size, code: cause })
    this.scheduler.onPollFailed(identity)
    this.scheduler.onWorkerLost(identity, cause, this.now())
    this.closeIfUnknown(identity)
    this.options.onDidChange()
  }

  private onFenced (identity: string): void {
    if (this.isDisposed) return
    this.logger.warn('a worker has accepted a later term', { worker: identity, term: this.options.term })
    this.options.onSuperseded()
  }
}
