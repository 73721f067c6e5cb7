import { setMaxListeners } from 'node:events'
import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { PollOutcome, CommandOutcome, StartCommand, WorkerAddress, WorkerPort, WorkerReport } from './workerPort.js'

/** How long a worker may wait for an end before it answers a look, in milliseconds; a quarter of the longest lease, so that three looks may fail. */
const LOOK_WAIT_MILLISECONDS = 1500
/** Least time from one look to the next, in milliseconds; ends that come close together share an answer. */
const LOOK_PERIOD_MILLISECONDS = 40
/** Longest wait for the record of ends before the next look, in milliseconds; some appends to a log that is well. */
const RECORD_WAIT_MILLISECONDS = 150
/** Pause after a failed look or stop, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 200
/** Part by which a worker's clock may be slow. */
export const MAXIMUM_CLOCK_DRIFT = 0.02
/** Added to the latest end of a lease before it counts as certain, in milliseconds. */
const LAPSE_MARGIN_MILLISECONDS = 150

/** What a session learns about its worker. */
export interface WorkerSessionObserver {
  /** `acknowledgedEnd` is the end up to which the look allowed the worker to forget. */
  onReport (report: WorkerReport, sentAt: number, getEndToAcknowledge: number): void
  onPollFailed (reason: string): void
  /** Nothing can run on the worker any more. */
  onWorkerEnded (): void
  /** The worker obeys a greater term. */
  onFenced (): void
  /** A stop was confirmed; a look sent from now on shows whether the run is gone. */
  onStopConfirmed (task: string, run: number): void
  /** Ends were reported that the log does not hold yet: a look would be answered at once with the same ends. */
  hasUnrecordedEnds (): boolean
  /** Up to which end the worker may forget. */
  getEndToAcknowledge (): number
  /** Whether the worker must be looked at: something may run there, or ends wait for an acknowledgement. */
  needsPolling (): boolean
}

export interface WorkerSessionOptions {
  readonly term: number
  readonly leaseMilliseconds: number
  /** Local time by which leases that former schedulers gave have ended, in milliseconds of the monotonic clock. */
  readonly formerLeasesEndAt: number
}

/** Looks at one worker while something may run there, keeps its lease, and carries orders to it. */
export class WorkerSession extends DisposableObject {
  private readonly abort = new AbortController()
  /** Latest report: the worker's clock, and the local time before which it was read. */
  private clock: { readonly worker: number, readonly local: number } | undefined
  /** Latest end of a lease that the worker may have been given, on its clock. */
  private latestLease = 0
  private leasesEndAt: number
  private wake: (() => void) | undefined
  private wakeOnRecord: (() => void) | undefined
  private hasEnded = false
  /** The latest look has failed. Until one succeeds, none extends the lease: otherwise the end of the leases would never be certain. */
  private isSilent = false
  /** Start of the worker's process that reported last; undefined before the first report. */
  private bornAt: number | undefined

  constructor (
    private worker: WorkerAddress,
    private readonly port: WorkerPort,
    private readonly observer: WorkerSessionObserver,
    private readonly options: WorkerSessionOptions,
    private readonly mayRenew: () => boolean,
    private readonly now: () => number
  ) {
    super()
    this.leasesEndAt = options.formerLeasesEndAt
    // Each stop that is being repeated listens, and a worker may have to stop all its runs at once.
    setMaxListeners(Infinity, this.abort.signal)
    this.register(toDisposable(() => {
      this.abort.abort()
      this.wake?.()
    }))
  }

  /** Takes over the worker's present address. */
  setAddress (address: string): void {
    this.worker = { identity: this.worker.identity, address }
  }

  /** Starts looking; the first look is sent at once. */
  open (): void {
    this.lookWhileNeeded()
  }

  /** Something has been placed here or waits for an acknowledgement. */
  wake (): void {
    this.wake?.()
  }

  /** The ends that were reported are in the log. */
  onEndsRecorded (): void {
    this.wakeOnRecord?.()
    this.wake()
  }

  async start (order: Omit<StartCommand, 'leaseUntil' | 'term'>): Promise<CommandOutcome> {
    const leaseUntil = this.nextLeaseEnd()
    if (leaseUntil === undefined) return { kind: 'notSent', reason: 'the clock of the worker is not known' }
    this.wake()
    const outcome = await this.port.start(this.worker, { ...order, leaseUntil, term: this.options.term })
    this.onOrderOutcome(outcome)
    return outcome
  }

  /** Sends a stop until the worker confirms it, has ended or the session is disposed. */
  async stop (task: string, run: number): Promise<void> {
    while (!this.isDisposed && !this.hasEnded) {
      const outcome = await this.port.stop(this.worker, task, run, this.options.term)
      this.onOrderOutcome(outcome)
      if (this.isDisposed || outcome.kind === 'fenced') return
      // An unhealthy worker has done nothing: a start that it was sent before may still come.
      if (outcome.kind === 'done' || (outcome.kind === 'refused' && outcome.reason === 'old')) {
        this.observer.onStopConfirmed(task, run)
        await this.pollOnce()
        return
      }
      await delay(RETRY_PAUSE_MILLISECONDS, this.abort.signal)
    }
  }

  /** Looks once, without waiting for an end or for a look that waits. */
  async pollOnce (): Promise<boolean> {
    return await this.look(0, false)
  }

  private async lookWhileNeeded (): Promise<void> {
    let isFirst = true
    while (!this.isDisposed) {
      if (!isFirst && !this.observer.needsPolling()) await this.untilPoked()
      if (this.isDisposed) return
      const sentAt = this.now()
      const succeeded = await this.look(isFirst ? 0 : LOOK_WAIT_MILLISECONDS, true)
      if (this.isDisposed) return
      if (succeeded) isFirst = false
      if (!succeeded) this.checkLapse()
      const pause = succeeded ? LOOK_PERIOD_MILLISECONDS - (this.now() - sentAt) : RETRY_PAUSE_MILLISECONDS
      if (pause > 0) await delay(pause, this.abort.signal)
      if (succeeded && this.observer.hasUnrecordedEnds()) await this.untilRecorded()
    }
  }

  private async untilRecorded (): Promise<void> {
    const recorded = new Promise<void>(resolve => { this.wakeOnRecord = resolve })
    await Promise.race([recorded, delay(RECORD_WAIT_MILLISECONDS, this.abort.signal)])
    this.wakeOnRecord = undefined
  }

  private async untilPoked (): Promise<void> {
    await new Promise<void>(resolve => {
      this.wake = resolve
    })
    this.wake = undefined
  }

  private async look (waitMilliseconds: number, isInSequence: boolean): Promise<boolean> {
    const sentAt = this.now()
    const leaseUntil = this.mayRenew() && !this.isSilent ? this.nextLeaseEnd() : undefined
    // After a failed look another process may answer, which counts its ends anew.
    const acknowledgedEnd = isInSequence && !this.isSilent ? this.observer.getEndToAcknowledge() : 0
    const order = { term: this.options.term, acknowledgedEnd, isInSequence, leaseUntil, waitMilliseconds }
    const outcome = await this.port.poll(this.worker, order, this.abort.signal)
    if (this.isDisposed) return false
    this.isSilent = outcome.kind !== 'report'
    this.onLookOutcome(outcome, sentAt)
    return outcome.kind === 'report'
  }

  private onLookOutcome (outcome: PollOutcome, sentAt: number): void {
    switch (outcome.kind) {
      case 'report':
        this.onReport(outcome.report, sentAt, outcome.acknowledgedEnd)
        return
      case 'fenced':
        this.observer.onFenced()
        return
      case 'replaced':
        this.onEnded()
        return
      case 'failed':
        this.observer.onPollFailed(outcome.reason)
    }
  }

  private onReport (report: WorkerReport, sentAt: number, acknowledgedEnd: number): void {
    this.hasEnded = false
    const isNewProcess = report.bornAt !== this.bornAt
    if (isNewProcess || this.clock === undefined || report.clockMilliseconds > this.clock.worker) {
      this.clock = { worker: report.clockMilliseconds, local: this.now() }
    }
    // Leases that former schedulers gave, or that were given by the clock of a former process, end at the latest a full lease from now.
    if (isNewProcess) this.latestLease = report.clockMilliseconds + this.options.leaseMilliseconds
    this.bornAt = report.bornAt
    this.updateLeaseExpiry()
    this.observer.onReport(report, sentAt, acknowledgedEnd)
  }

  /** A full lease from now on the worker's clock, or undefined before the first report. */
  private nextLeaseEnd (): number | undefined {
    if (this.clock === undefined) return undefined
    const end = this.clock.worker + (this.now() - this.clock.local) + this.options.leaseMilliseconds
    this.latestLease = Math.max(this.latestLease, end)
    this.updateLeaseExpiry()
    return end
  }

  private updateLeaseExpiry (): void {
    if (this.clock === undefined) return
    this.leasesEndAt = this.clock.local + (this.latestLease - this.clock.worker) / (1 - MAXIMUM_CLOCK_DRIFT) + LAPSE_MARGIN_MILLISECONDS
  }

  private checkLapse (): void {
    if (this.hasEnded || this.now() < this.leasesEndAt) return
    this.onEnded()
  }

  private onEnded (): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.observer.onWorkerEnded()
  }

  private onOrderOutcome (outcome: CommandOutcome): void {
    if (this.isDisposed) return
    if (outcome.kind === 'fenced') this.observer.onFenced()
    if (outcome.kind === 'replaced') this.onEnded()
  }
}
