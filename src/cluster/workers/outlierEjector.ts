import type { WorkerState } from '../workerState.js'
import { EJECTION_EVIDENCE, isPathCause, type DoubtCause, type PathCause } from './workerSoundness.js'

/** Largest share of the workers of a pool that is ejected at one time. */
export const MAXIMUM_EJECTED_SHARE = 0.3
/** Share of the workers of a failure domain from which simultaneous doubt is attributed to the path to it. */
const PATH_SHARE = 0.5
/** First and longest back-off before a trial, and its growth with each further ejection, in milliseconds. */
const FIRST_BACK_OFF_MILLISECONDS = 4000
const LONGEST_BACK_OFF_MILLISECONDS = 16_000
const BACK_OFF_GROWTH = 1.6
/** Time without an ejection after which one level of back-off is forgotten, in milliseconds. */
const LEVEL_DECAY_MILLISECONDS = 10_000
/** Longest time for which a worker waits for its trial run, and longest duration of a trial, in milliseconds. */
const MAXIMUM_WAIT_FOR_TRIAL_MILLISECONDS = 3000
const MAXIMUM_TRIAL_MILLISECONDS = 8000
/** Bound on the time for which a sound worker stays ejected, in milliseconds. */
export const MAXIMUM_EJECTION_MILLISECONDS = LONGEST_BACK_OFF_MILLISECONDS + MAXIMUM_TRIAL_MILLISECONDS

/** A change of the ejection of a worker, with the figures that decided. */
export interface EjectionChange {
  readonly kind: 'ejected' | 'trial' | 'returned'
  readonly cause: DoubtCause
  readonly reason: string
}

/**
 * Ejects workers that are outliers, up to a share of their pool, and lets them return by trial runs. Faults that a path explains do
 * not eject workers of a failure domain in which most are in doubt.
 */
export class OutlierEjector {
  constructor (private readonly workers: ReadonlyMap<string, WorkerState>, private readonly onDidChange: (worker: WorkerState, change: EjectionChange) => void) {}

  get ejectedCount (): number {
    let count = 0
    for (const { soundness, isListed } of this.workers.values()) count += soundness.phase === 'none' || !isListed ? 0 : 1
    return count
  }

  /** Ejects the worker if the evidence against it suffices; must be called after new evidence. */
  evaluate (worker: WorkerState, now: number): void {
    const { soundness } = worker
    if (soundness.phase === 'ejected') return
    const { cause, evidence } = soundness.strongest(now)
    if (evidence < EJECTION_EVIDENCE) return
    if (soundness.phase === 'none' && !this.hasRoom(worker)) return
    if (isPathCause(cause) && this.isPathFault(worker, cause, now)) {
      this.returnAll(worker.entry.failureDomain, now)
      return
    }
    this.eject(worker, cause, `evidence ${evidence.toFixed(1)} of ${EJECTION_EVIDENCE}`, now)
  }

  /** Ejects a worker again whose trial has failed. */
  onTrialFailed (worker: WorkerState, reason: string, now: number): void {
    this.eject(worker, worker.soundness.cause ?? 'failing', `its trial has failed: ${reason}`, now)
  }

  onTrialPassed (worker: WorkerState, reason: string, now: number): void {
    this.return(worker, `its trial has passed: ${reason}`, now)
  }

  /** Begins trials that are due and ends those that have taken too long; must be called about every 100 ms. */
  onTick (now: number): void {
    for (const worker of this.workers.values()) {
      const { soundness } = worker
      if (soundness.phase === 'ejected' && now >= soundness.trialNotBefore) this.beginTrial(worker, now)
      else if (soundness.phase === 'trial') this.checkTrial(worker, now)
    }
  }

  private checkTrial (worker: WorkerState, now: number): void {
    const { trialTask, trialSince } = worker.soundness
    if (trialTask !== undefined && (!trialTask.hasRun || trialTask.worker !== worker.identity)) worker.soundness.trialTask = undefined
    const limit = worker.soundness.trialTask === undefined ? MAXIMUM_WAIT_FOR_TRIAL_MILLISECONDS : MAXIMUM_TRIAL_MILLISECONDS
    if (now - trialSince >= limit) this.return(worker, trialTask === undefined ? 'no work suited a trial' : 'its trial run shows no fault', now)
  }

  private beginTrial (worker: WorkerState, now: number): void {
    const { soundness } = worker
    soundness.phase = 'trial'
    soundness.trialSince = now
    soundness.trialTask = undefined
    soundness.clearEvidence()
    this.onDidChange(worker, { kind: 'trial', cause: soundness.cause ?? 'failing', reason: `ejected for ${Math.round(now - soundness.ejectedAt)} ms` })
  }

  private eject (worker: WorkerState, cause: DoubtCause, reason: string, now: number): void {
    const { soundness } = worker
    const forgotten = Math.floor((now - soundness.ejectedAt) / LEVEL_DECAY_MILLISECONDS)
    soundness.ejectionLevel = Math.max(0, soundness.ejectionLevel - forgotten)
    const backOff = Math.min(LONGEST_BACK_OFF_MILLISECONDS, FIRST_BACK_OFF_MILLISECONDS * BACK_OFF_GROWTH ** soundness.ejectionLevel)
    soundness.ejectionLevel += 1
    soundness.phase = 'ejected'
    soundness.cause = cause
    soundness.ejectedAt = now
    soundness.trialNotBefore = now + backOff
    soundness.trialTask = undefined
    soundness.clearEvidence()
    this.onDidChange(worker, { kind: 'ejected', cause, reason: `${reason}; trial in ${Math.round(backOff)} ms` })
  }

  private return (worker: WorkerState, reason: string, now: number): void {
    const { soundness } = worker
    soundness.onReturned(now)
    this.onDidChange(worker, { kind: 'returned', cause: soundness.cause ?? 'failing', reason: `${reason}; away for ${Math.round(now - soundness.ejectedAt)} ms` })
  }

  /** Returns true if one more worker of the pool may be ejected. */
  private hasRoom ({ entry }: WorkerState): boolean {
    let total = 0
    let ejected = 0
    for (const other of this.workers.values()) {
      if (!other.isListed || other.entry.pool !== entry.pool) continue
      total += 1
      if (other.soundness.phase !== 'none') ejected += 1
    }
    return ejected + 1 <= MAXIMUM_EJECTED_SHARE * total
  }

  /** Returns true if half of the workers of the failure domain or more are in doubt for causes that their path explains. */
  private isPathFault ({ entry }: WorkerState, cause: PathCause, now: number): boolean {
    let total = 0
    let doubtful = 0
    for (const other of this.workers.values()) {
      if (!other.isListed || other.entry.pool !== entry.pool || other.entry.failureDomain !== entry.failureDomain) continue
      total += 1
      if (other.isUnresponsive || other.soundness.isDoubtedFor(cause, now)) doubtful += 1
    }
    return doubtful >= PATH_SHARE * total
  }

  /** Returns the workers of a failure domain that were ejected for causes that its path explains. */
  private returnAll (failureDomain: string, now: number): void {
    for (const worker of this.workers.values()) {
      const { phase, cause } = worker.soundness
      if (phase !== 'none' && cause !== undefined && isPathCause(cause) && worker.entry.failureDomain === failureDomain) this.return(worker, 'most workers of its failure domain are in doubt, so its path is the cause', now)
    }
  }
}
