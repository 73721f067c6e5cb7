import { setMaxListeners } from 'node:events'
import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { PollOutcome, CommandOutcome, StartCommand, WorkerAddress, WorkerPort, WorkerReport } from './workerPort.js'

/** Longest time that a worker waits for an end before it responds to a poll, in milliseconds; a quarter of the longest lease, so that three polls may fail. */
const POLL_WAIT_MILLISECONDS = 1500
/** Minimum time from one poll to the next, in milliseconds; ends that occur close together share a response. */
const POLL_PERIOD_MILLISECONDS = 40
/** Longest wait for ends to be recorded before the next poll, in milliseconds; several appends to a healthy log. */
const RECORD_TIMEOUT_MILLISECONDS = 150
/** Delay after a failed poll or stop, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 200
/** Fraction by which a worker's clock may run slow. */
export const MAXIMUM_CLOCK_DRIFT = 0.02
/** Margin after the computed end of a lease before it counts as expired, in milliseconds. */
const LEASE_EXPIRY_MARGIN_MILLISECONDS = 150

/** Why nothing can run on a worker any more: all its leases have expired, or another process responds at its address. */
export type WorkerLossCause = 'leasesExpired' | 'processReplaced'

/** Receives the events of a session and provides the state that it depends on. */
export interface WorkerSessionObserver {
  /** Called with each report. `acknowledgedEnd` is the number of the last end that the poll acknowledged. */
  onReport (report: WorkerReport, sentAt: number, acknowledgedEnd: number): void
  onPollFailed (reason: string): void
  /** Called once nothing can run on the worker any more. */
  onWorkerLost (cause: WorkerLossCause): void
  /** Called when the worker has accepted a greater term. */
  onFenced (): void
  /** Called when a stop was confirmed; a poll sent from now on shows whether the run has ended. */
  onStopConfirmed (task: string, run: number): void
  /** Returns whether ends were reported that the log does not hold yet: a poll would return at once with the same ends. */
  hasUnrecordedEnds (): boolean
  /** Returns the number of the last end that may be acknowledged. */
  getEndToAcknowledge (): number
  /** Returns whether the worker must be polled: something may run there, or ends are to be acknowledged. */
  needsPolling (): boolean
  /** Returns the longest wait of the next poll, in milliseconds; undefined for the usual one. */
  getPollWait (): number | undefined
}

export interface WorkerSessionOptions {
  readonly term: number
  readonly leaseMilliseconds: number
  /** Local time by which leases granted by former schedulers have expired, in milliseconds of the monotonic clock. */
  readonly formerLeasesEndAt: number
}

/** Polls one worker while something may run there, renews its lease, and sends commands to it. */
export class WorkerSession extends DisposableObject {
  private readonly abort = new AbortController()
  /** The worker's clock in a report, and the local time when the report was received, which is no earlier than the reading. */
  private clock: { readonly worker: number, readonly local: number } | undefined
  /** Latest end of any lease that the worker may hold, on its clock. */
  private latestLeaseEnd = 0
  private leasesEndAt: number
  private wakePollLoop: (() => void) | undefined
  private resolveRecorded: (() => void) | undefined
  /** Whether nothing can run on the worker any more; reset by its next report. */
  private isWorkerLost = false
  /** Whether the latest poll failed. Until one succeeds, no poll extends the lease: otherwise its expiry would never be certain. */
  private hasPollFailed = false
  /** Start time of the worker process that sent the latest report; undefined before the first report. */
  private processStartedAt: number | undefined

  constructor (
    private worker: WorkerAddress,
    private readonly port: WorkerPort,
    private readonly observer: WorkerSessionObserver,
    private readonly options: WorkerSessionOptions,
    private readonly canRenewLeases: () => boolean,
    private readonly now: () => number
  ) {
    super()
    this.leasesEndAt = options.formerLeasesEndAt
    // Each stop that is being retried adds a listener, and a worker may have to stop all its runs at once.
    setMaxListeners(Infinity, this.abort.signal)
    this.register(toDisposable(() => {
      this.abort.abort()
      this.wakePollLoop?.()
    }))
  }

  /** Sets the worker's current address. */
  setAddress (address: string): void {
    this.worker = { identity: this.worker.identity, address }
  }

  /** Starts polling; the first poll is sent immediately. */
  open (): void {
    this.pollWhileNeeded()
  }

  /** Resumes polling: a run has been placed on the worker, or ends are to be acknowledged. */
  wake (): void {
    this.wakePollLoop?.()
  }

  /** Called when the ends that were reported have been stored in the log. */
  onEndsRecorded (): void {
    this.resolveRecorded?.()
    this.wake()
  }

  async start (command: Omit<StartCommand, 'leaseUntil' | 'term'>): Promise<CommandOutcome> {
    const leaseUntil = this.extendLease()
    if (leaseUntil === undefined) return { kind: 'notSent', reason: 'the clock of the worker is not known' }
    this.wake()
    const outcome = await this.port.start(this.worker, { ...command, leaseUntil, term: this.options.term })
    this.onCommandOutcome(outcome)
    return outcome
  }

  /** Sends a stop until the worker confirms it, nothing can run on the worker any more, or the session is disposed. */
  async stop (task: string, run: number): Promise<void> {
    while (!this.isDisposed && !this.isWorkerLost) {
      const outcome = await this.port.stop(this.worker, task, run, this.options.term)
      this.onCommandOutcome(outcome)
      if (this.isDisposed || outcome.kind === 'fenced') return
      // An unhealthy worker has not executed the stop: a start that was sent before may still arrive.
      if (outcome.kind === 'done' || (outcome.kind === 'refused' && outcome.reason === 'old')) {
        this.observer.onStopConfirmed(task, run)
        await this.pollOnce()
        return
      }
      await delay(RETRY_DELAY_MILLISECONDS, this.abort.signal)
    }
  }

  /** Sends the pace of a run once. Resolves with whether the worker has confirmed it. */
  async pace (task: string, run: number, percent: number): Promise<boolean> {
    const outcome = await this.port.pace(this.worker, task, run, percent, this.options.term)
    this.onCommandOutcome(outcome)
    return outcome.kind === 'done'
  }

  /** Polls once, without waiting for an end or behind a long poll. */
  async pollOnce (): Promise<boolean> {
    return await this.poll(0, false)
  }

  private async pollWhileNeeded (): Promise<void> {
    let isFirst = true
    while (!this.isDisposed) {
      if (!isFirst && !this.observer.needsPolling()) await this.waitUntilWoken()
      if (this.isDisposed) return
      const sentAt = this.now()
      const succeeded = await this.poll(isFirst ? 0 : this.observer.getPollWait() ?? POLL_WAIT_MILLISECONDS, true)
      if (this.isDisposed) return
      if (succeeded) isFirst = false
      if (!succeeded) this.checkLeaseExpiry()
      const delayMilliseconds = succeeded ? POLL_PERIOD_MILLISECONDS - (this.now() - sentAt) : RETRY_DELAY_MILLISECONDS
      if (delayMilliseconds > 0) await delay(delayMilliseconds, this.abort.signal)
      if (succeeded && this.observer.hasUnrecordedEnds()) await this.waitUntilRecorded()
    }
  }

  private async waitUntilRecorded (): Promise<void> {
    const recorded = new Promise<void>(resolve => { this.resolveRecorded = resolve })
    await Promise.race([recorded, delay(RECORD_TIMEOUT_MILLISECONDS, this.abort.signal)])
    this.resolveRecorded = undefined
  }

  private async waitUntilWoken (): Promise<void> {
    await new Promise<void>(resolve => {
      this.wakePollLoop = resolve
    })
    this.wakePollLoop = undefined
  }

  private async poll (waitMilliseconds: number, isInSequence: boolean): Promise<boolean> {
    const sentAt = this.now()
    const leaseUntil = this.canRenewLeases() && !this.hasPollFailed ? this.extendLease() : undefined
    // After a failed poll another process may respond, which numbers its ends from 1 again.
    const acknowledgedEnd = isInSequence && !this.hasPollFailed ? this.observer.getEndToAcknowledge() : 0
    const request = { term: this.options.term, acknowledgedEnd, isInSequence, leaseUntil, waitMilliseconds }
    const outcome = await this.port.poll(this.worker, request, this.abort.signal)
    if (this.isDisposed) return false
    this.hasPollFailed = outcome.kind !== 'report'
    this.onPollOutcome(outcome, sentAt)
    return outcome.kind === 'report'
  }

  private onPollOutcome (outcome: PollOutcome, sentAt: number): void {
    switch (outcome.kind) {
      case 'report':
        this.onReport(outcome.report, sentAt, outcome.acknowledgedEnd)
        return
      case 'fenced':
        this.observer.onFenced()
        return
      case 'replaced':
        this.markWorkerLost('processReplaced')
        return
      case 'failed':
        this.observer.onPollFailed(outcome.reason)
    }
  }

  private onReport (report: WorkerReport, sentAt: number, acknowledgedEnd: number): void {
    this.isWorkerLost = false
    const isNewProcess = report.processStartedAt !== this.processStartedAt
    if (isNewProcess || this.clock === undefined || report.clockMilliseconds > this.clock.worker) {
      this.clock = { worker: report.clockMilliseconds, local: this.now() }
    }
    // Leases granted by former schedulers, or on the clock of a former process, expire at the latest a full lease from now.
    if (isNewProcess) this.latestLeaseEnd = report.clockMilliseconds + this.options.leaseMilliseconds
    this.processStartedAt = report.processStartedAt
    this.updateLeaseExpiry()
    this.observer.onReport(report, sentAt, acknowledgedEnd)
  }

  /** Returns the end of a full lease from now on the worker's clock, or undefined before the first report. */
  private extendLease (): number | undefined {
    if (this.clock === undefined) return undefined
    const end = this.clock.worker + (this.now() - this.clock.local) + this.options.leaseMilliseconds
    this.latestLeaseEnd = Math.max(this.latestLeaseEnd, end)
    this.updateLeaseExpiry()
    return end
  }

  private updateLeaseExpiry (): void {
    if (this.clock === undefined) return
    this.leasesEndAt = this.clock.local + (this.latestLeaseEnd - this.clock.worker) / (1 - MAXIMUM_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MILLISECONDS
  }

  private checkLeaseExpiry (): void {
    if (this.isWorkerLost || this.now() < this.leasesEndAt) return
    this.markWorkerLost('leasesExpired')
  }

  private markWorkerLost (cause: WorkerLossCause): void {
    if (this.isWorkerLost) return
    this.isWorkerLost = true
    this.observer.onWorkerLost(cause)
  }

  private onCommandOutcome (outcome: CommandOutcome): void {
    if (this.isDisposed) return
    if (outcome.kind === 'fenced') this.observer.onFenced()
    if (outcome.kind === 'replaced') this.markWorkerLost('processReplaced')
  }
}
