import type { Job, Step, Task } from '../job.js'

/**
 * Why a worker is in doubt. `failing`: its runs fail more often than elsewhere. `slow`: its runs progress much more slowly than expected.
 * `stalled`: they make no progress. `mute`: commands get no response or are refused as unhealthy. `flapping`: it has gone away repeatedly.
 */
export type DoubtCause = 'failing' | 'slow' | 'stalled' | 'mute' | 'flapping'

/** Causes that a fault of the path to the worker explains as well. */
export type PathCause = 'mute' | 'flapping'

export function isPathCause (cause: DoubtCause): cause is PathCause {
  return cause === 'mute' || cause === 'flapping'
}

/** Evidence from which a worker is ejected: the natural logarithm of how much likelier the observations are if the worker is unsound. */
export const EJECTION_EVIDENCE = 4.5
/** Bound on the evidence of one cause, so that a worker that has recovered is not held back by old evidence. */
const MAXIMUM_EVIDENCE = 9
/** Share of that evidence from which a worker counts as doubtful. */
const DOUBTFUL_SHARE = 0.4
/** Time in which evidence decays to a half, in milliseconds. */
const HALF_LIFE_MILLISECONDS = 6000
/** The same for flapping: a worker that flaps is away for seconds at a time. */
const FLAPPING_HALF_LIFE_MILLISECONDS = 15_000

/** Evidence of a job whose runs progress slowly: nine of ten do on a slow worker, one of twenty on a sound one. Tasks of one job share the error of its estimate. */
const SLOW_JOB_EVIDENCE = Math.log(0.9 / 0.05)
/** Evidence of a job whose runs progress as expected. */
const USUAL_JOB_EVIDENCE = Math.log(0.1 / 0.95)
/** Time for which the pace of a run counts, in milliseconds; two long polls. */
const PACE_VALIDITY_MILLISECONDS = 4000

/** Doubt about a worker on its return, relative to that from which it is ejected. */
const DOUBT_AFTER_RETURN = 0.5
const RETURN_HALF_LIFE_MILLISECONDS = 5000

/** Evidence that decays exponentially with time. It does not fall below zero, so that a long sound past does not delay the detection of a fault. */
class Evidence {
  private value = 0
  private updatedAt = 0

  constructor (private readonly halfLifeMilliseconds: number) {}

  at (now: number): number {
    return this.value * 0.5 ** (Math.max(0, now - this.updatedAt) / this.halfLifeMilliseconds)
  }

  add (amount: number, now: number): void {
    this.value = Math.min(MAXIMUM_EVIDENCE, Math.max(0, this.at(now) + amount))
    this.updatedAt = now
  }

  clear (): void {
    this.value = 0
  }
}

/** Pace of a run relative to what is expected of it. */
export type RunPace = 'usual' | 'slow' | 'stalled'

/** Phase of the ejection of a worker. `trial`: it may take one run, whose outcome decides on its return. */
export type EjectionPhase = 'none' | 'ejected' | 'trial'

/** Evidence for and against the soundness of one worker, and whether it is ejected. Kept across restarts of the worker's process. */
export class WorkerSoundness {
  phase: EjectionPhase = 'none'
  cause: DoubtCause | undefined
  /** Time of the latest ejection, and time at which the trial begins, in milliseconds of the monotonic clock. */
  ejectedAt = -Infinity
  trialNotBefore = 0
  trialSince = 0
  /** Task whose run is the trial; undefined while none is placed. */
  trialTask: Task | undefined
  /** Number of recent ejections; determines the back-off. */
  ejectionLevel = 0
  private readonly counted = {
    failing: new Evidence(HALF_LIFE_MILLISECONDS),
    mute: new Evidence(HALF_LIFE_MILLISECONDS),
    flapping: new Evidence(FLAPPING_HALF_LIFE_MILLISECONDS)
  }

  /** Latest pace of each recent run. */
  private readonly paces = new Map<Task, { readonly pace: RunPace, readonly at: number }>()
  private readonly returned = new Evidence(RETURN_HALF_LIFE_MILLISECONDS)

  add (cause: 'failing' | 'mute' | 'flapping', amount: number, now: number): void {
    this.counted[cause].add(amount, now)
  }

  setPace (task: Task, pace: RunPace, now: number): void {
    this.paces.set(task, { pace, at: now })
  }

  paceOf (task: Task): RunPace | undefined {
    return this.paces.get(task)?.pace
  }

  /** Returns the evidence that the worker slows all its runs down, and whether most of the slow ones are stalled. */
  paceEvidence (now: number): { readonly evidence: number, readonly cause: 'slow' | 'stalled' } {
    let slow = 0
    let stalled = 0
    /** Slow runs less usual runs, by job. */
    const balances = new Map<Job, number>()
    for (const [task, { pace, at }] of this.paces) {
      if (now - at > PACE_VALIDITY_MILLISECONDS) {
        this.paces.delete(task)
        continue
      }
      const { job } = task.step
      balances.set(job, (balances.get(job) ?? 0) + (pace === 'usual' ? -1 : 1))
      if (pace !== 'usual') slow += 1
      if (pace === 'stalled') stalled += 1
    }
    let evidence = 0
    for (const balance of balances.values()) evidence += balance > 0 ? SLOW_JOB_EVIDENCE : USUAL_JOB_EVIDENCE
    return { evidence: Math.max(0, evidence), cause: 2 * stalled > slow ? 'stalled' : 'slow' }
  }

  /** Returns the cause with the most evidence. */
  strongest (now: number): { readonly cause: DoubtCause, readonly evidence: number } {
    const pace = this.paceEvidence(now)
    let strongest: { readonly cause: DoubtCause, readonly evidence: number } = pace
    for (const cause of ['failing', 'mute', 'flapping'] as const) {
      const evidence = this.counted[cause].at(now)
      if (evidence > strongest.evidence) strongest = { cause, evidence }
    }
    return strongest
  }

  /** Returns true if the worker was ejected for the cause or much of the evidence for an ejection has been found. */
  isDoubtedFor (cause: PathCause, now: number): boolean {
    return (this.phase !== 'none' && this.cause === cause) || this.counted[cause].at(now) >= DOUBTFUL_SHARE * EJECTION_EVIDENCE
  }

  /** Returns the doubt about the worker, from 0 (none) to 1 (it is or would be ejected). */
  doubt (now: number): number {
    if (this.phase !== 'none') return 1
    return Math.min(1, Math.max(this.strongest(now).evidence / EJECTION_EVIDENCE, this.returned.at(now)))
  }

  /** Returns true if a run of the step, or of one task of it, may be placed on the worker. A trial is one run of work whose delay or failure costs little. */
  admits ({ specification, job }: Step, task?: Task): boolean {
    if (this.phase !== 'trial') return this.phase === 'none'
    return this.trialTask === undefined && !job.isUrgent && !specification.gang && !specification.longRunning && !specification.filler && (task?.failures ?? 0) === 0
  }

  /** Takes note of a run that is placed on the worker. */
  onAssigned (task: Task): void {
    if (this.phase === 'trial') this.trialTask = task
  }

  /** Discards the evidence at the beginning of an ejection or a trial: what follows is judged by new observations. */
  clearEvidence (): void {
    for (const evidence of [this.counted.failing, this.counted.mute]) evidence.clear()
    this.paces.clear()
  }

  onReturned (now: number): void {
    this.phase = 'none'
    this.trialTask = undefined
    this.clearEvidence()
    this.returned.clear()
    this.returned.add(DOUBT_AFTER_RETURN, now)
  }
}
