import type { JobDemand, QueuedWork } from '../../contracts/clusterMessages.js'
import { durationOf, toQueuedWork } from './admissionDecision.js'

/** Maximum number of refused jobs that are remembered of one organisation. */
const MAXIMUM_REMEMBERED_JOBS = 500
/** Bounds on the time after which a refused caller returns, in milliseconds. */
const MINIMUM_RETURN_MILLISECONDS = 1000
const MAXIMUM_RETURN_MILLISECONDS = 60_000
/** Maximum number of priorities by which the work of refused callers is told apart. */
const MAXIMUM_PRIORITIES = 4
/** Part of the service of an organisation that is given to refused callers; not all of them return. */
const RETURN_SHARE = 0.5
/** Time before and after its time of return in which room is left for a refused caller, in milliseconds. */
const RESERVED_MILLISECONDS = 500
/** Time after its time of return until which a refused caller is remembered, in milliseconds. */
const REMEMBERED_MILLISECONDS = 3000

interface ExpectedReturn {
  readonly priority: number
  readonly work: number
  readonly at: number
}

/** The refused callers of one organisation. */
class OrganisationReturns {
  /** By the identity of the job, the one refused longest ago first. */
  readonly expected = new Map<string, ExpectedReturn>()
  /** End of the time that has been given to refused callers. */
  assignedUntil = -Infinity
}

/** Spreads the returns of refused callers at the rate at which capacity becomes free, and remembers which of them are expected. Times are in milliseconds of the monotonic clock. */
export class ReturnSchedule {
  private readonly organisations = new Map<string, OrganisationReturns>()

  /**
   * Returns the time after which a refused caller should return: when the excess of the backlog is worked off, and after those who were
   * refused before. `servedThousandths`: processors by which its organisation is served, in thousandths of a core.
   */
  assign (job: string, organisation: string, { priority, work }: JobDemand, excessMilliseconds: number, servedThousandths: number, now: number): number {
    const returns = this.organisations.get(organisation) ?? new OrganisationReturns()
    this.organisations.set(organisation, returns)
    const earliest = Math.max(now + MINIMUM_RETURN_MILLISECONDS, now + excessMilliseconds)
    const former = returns.expected.get(job)
    // A caller that returns keeps its place before those who were refused after it.
    const at = Math.min(Math.max(earliest, former?.at ?? returns.assignedUntil), now + MAXIMUM_RETURN_MILLISECONDS)
    if (former === undefined) returns.assignedUntil = at + durationOf(work, RETURN_SHARE * servedThousandths)
    returns.expected.delete(job)
    returns.expected.set(job, { priority, work, at })
    this.discard(returns, now)
    return at - now
  }

  /** Returns whether a caller with this job was refused and is remembered. */
  isReturning (job: string, organisation: string): boolean {
    return this.organisations.get(organisation)?.expected.has(job) === true
  }

  /** Forgets a job that is admitted or stored. */
  forget (job: string, organisation: string): void {
    this.organisations.get(organisation)?.expected.delete(job)
  }

  /** Returns the work of the callers of an organisation that are due back between two times, or little before or after that. */
  dueWork (organisation: string, from: number, until: number): QueuedWork[] {
    const returns = this.organisations.get(organisation)
    if (returns === undefined) return []
    const works = new Map<number, number>()
    for (const { priority, work, at } of returns.expected.values()) {
      if (at >= from - RESERVED_MILLISECONDS && at <= until + RESERVED_MILLISECONDS) works.set(priority, (works.get(priority) ?? 0) + work)
    }
    return [...works].map(([priority, work]) => toQueuedWork({ priority, work }, false)).slice(0, MAXIMUM_PRIORITIES)
  }

  private discard (returns: OrganisationReturns, now: number): void {
    for (const [job, { at }] of returns.expected) {
      if (now > at + REMEMBERED_MILLISECONDS || returns.expected.size > MAXIMUM_REMEMBERED_JOBS) returns.expected.delete(job)
    }
  }
}
