import type { Organisation } from '../../contracts/clusterConfiguration.js'
import type { Job } from '../job.js'

/** Number of jobs, and of seconds at the full rate, that may come at once; the larger one applies. */
const MINIMUM_BURST_JOBS = 4
const BURST_SECONDS = 2

/** A job that is not classified yet. */
interface Arrival {
  readonly job: Job
  /** Estimated time of acceptance, in milliseconds of the monotonic clock. */
  readonly at: number
}

/**
 * Finds the jobs that an organisation submits beyond its rate, with a token bucket for each organisation. Jobs are classified in the order
 * of their acceptance, also those that a new scheduler reads from the log, so a takeover changes the class only of jobs near the limit.
 */
export class SubmissionRates {
  /** Jobs a second, by organisation. */
  private readonly rates = new Map<string, number>()
  /** Time until which the tokens of an organisation are spent, if they were spent at its rate, in milliseconds of the monotonic clock. */
  private readonly spentUntil = new Map<string, number>()
  private arrivals: Arrival[] = []
  private readonly jobsBeyondRate = new WeakSet<Job>()

  configure (organisations: readonly Organisation[]): void {
    for (const { name, weight } of organisations) this.rates.set(name, weight)
  }

  /** Notes a job that was accepted at about a time. */
  onDidAddJob (job: Job, acceptedAt: number): void {
    if (job.submission.organisation !== undefined) this.arrivals.push({ job, at: acceptedAt })
  }

  /** Returns true if the organisation of the job had spent its rate when the job was accepted. */
  isBeyondRate (job: Job): boolean {
    this.classifyArrivals()
    return this.jobsBeyondRate.has(job)
  }

  /** Returns the jobs a second that an organisation may submit; 0 means no limit. */
  rateOf (organisation: string): number {
    return this.rates.get(organisation) ?? 0
  }

  /** Returns the time in which the spent part of an organisation's rate becomes available again, in milliseconds. */
  spentMilliseconds (organisation: string, now: number): number {
    this.classifyArrivals()
    return Math.max(0, (this.spentUntil.get(organisation) ?? -Infinity) - now)
  }

  private classifyArrivals (): void {
    if (this.arrivals.length === 0) return
    const arrivals = this.arrivals.sort((left, right) => left.at - right.at)
    this.arrivals = []
    for (const { job, at } of arrivals) {
      const name = job.submission.organisation as string
      const rate = this.rates.get(name) ?? 0
      // Without a rate, there is nothing to exceed.
      if (rate <= 0) continue
      const burstMilliseconds = burstMillisecondsOf(rate)
      const spentUntil = Math.max(this.spentUntil.get(name) ?? at, at) + 1000 / rate
      if (spentUntil - at > burstMilliseconds) this.jobsBeyondRate.add(job)
      else this.spentUntil.set(name, spentUntil)
    }
  }
}

/** Returns the time that the largest burst of jobs takes at a rate, in milliseconds. `rate`: jobs a second, above 0. */
export function burstMillisecondsOf (rate: number): number {
  return 1000 * Math.max(BURST_SECONDS, MINIMUM_BURST_JOBS / rate)
}
