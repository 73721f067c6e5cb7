import type { OrganisationBacklog, QueuedWork } from '../../contracts/clusterMessages.js'
import type { ClusterScheduler } from '../clusterScheduler.js'
import type { Job } from '../job.js'

/** Wait of a step from which its organisation counts as waiting for room, in milliseconds; shorter waits are usual. */
const ROOM_WAIT_MILLISECONDS = 300
/** Time for which work that has become worth nothing shows that late work is not served, in milliseconds. */
const OVERDUE_EVIDENCE_MILLISECONDS = 2000
/** Weight of a new sample in the mean of the processors in use. */
const SAMPLE_WEIGHT = 0.25
/** Maximum number of organisations, and of priorities of each, in a summary. */
const MAXIMUM_ORGANISATIONS = 16
const MAXIMUM_PRIORITIES = 4

/** The parts of the scheduler that the backlog is computed from. */
export type BacklogSource = Pick<ClusterScheduler, 'jobs' | 'readySteps' | 'organisations' | 'policyOf'>

/** Measures the queued work of the organisations that wait for room, and how fast they are served. */
export class BacklogMeter {
  /** Mean of the processors in use by organisation, in thousandths of a core. */
  private readonly used = new Map<string, number>()

  constructor (private readonly source: BacklogSource) {}

  /** Samples the processors in use; must be called at a constant period. */
  sampleUse (): void {
    const { ledger } = this.source.organisations
    for (const name of ledger.organisations) {
      const { processorsThousandths } = ledger.usageOf(name)
      const mean = this.used.get(name) ?? processorsThousandths
      this.used.set(name, mean + SAMPLE_WEIGHT * (processorsThousandths - mean))
    }
  }

  /** Returns the organisations that wait for room, those with the most queued work first. */
  measure (now: number): OrganisationBacklog[] {
    const waiting = this.findWaiting(now)
    if (waiting.size === 0) return []
    const backlogs = [...this.queuedWork(waiting, now, Infinity)].map(([organisation, rows]) => this.backlogOf(organisation, rows, now))
    return backlogs.sort((left, right) => totalWorkOf(right) - totalWorkOf(left)).slice(0, MAXIMUM_ORGANISATIONS)
  }

  /** Returns the work of an organisation that goes before a job: of the work in time, only what has an earlier objective. `objectiveAt` is that of the job. */
  workBefore (organisation: string, objectiveAt: number, now: number): QueuedWork[] {
    return [...this.queuedWork(new Set([organisation]), now, objectiveAt).values()].flatMap(rows => [...rows.values()])
  }

  private findWaiting (now: number): Set<string> {
    const waiting = new Set<string>()
    for (const step of this.source.readySteps) {
      const { organisation } = step.job.submission
      if (organisation === undefined || waiting.has(organisation) || step.waitingSince === undefined || now - step.waitingSince < ROOM_WAIT_MILLISECONDS) continue
      if (this.source.organisations.isWithoutRoom(step)) waiting.add(organisation)
    }
    return waiting
  }

  private queuedWork (organisations: ReadonlySet<string>, now: number, objectiveAt: number): Map<string, Map<number, QueuedWork>> {
    const found = new Map<string, Map<number, QueuedWork>>([...organisations].map(name => [name, new Map()]))
    for (const job of this.source.jobs.values()) {
      const rows = found.get(job.submission.organisation ?? '')
      if (rows === undefined || job.submission.organisation === undefined || job.isFinal) continue
      const kind = this.kindOf(job, now)
      if (kind === undefined || (kind === 'inTime' && job.objectiveAt > objectiveAt)) continue
      const work = queuedWorkOf(job)
      if (work === 0) continue
      const { priority } = this.source.policyOf(job)
      const row = rows.get(priority) ?? { priority, inTime: 0, late: 0, overdue: 0, beyondRate: 0 }
      row[kind] += work
      rows.set(priority, row)
    }
    return found
  }

  private kindOf (job: Job, now: number): Exclude<keyof QueuedWork, 'priority'> | undefined {
    if (now > job.lateUntil) return now - job.lateUntil <= OVERDUE_EVIDENCE_MILLISECONDS ? 'overdue' : undefined
    if (this.source.organisations.isBeyondRate(job)) return 'beyondRate'
    return now > job.objectiveAt ? 'late' : 'inTime'
  }

  private backlogOf (organisation: string, rows: ReadonlyMap<number, QueuedWork>, now: number): OrganisationBacklog {
    const { limitThousandths, entitledThousandths, rate, spentMilliseconds } = this.source.organisations.entitlementOf(organisation, now)
    const queued = [...rows.values()].sort((left, right) => left.priority - right.priority).slice(0, MAXIMUM_PRIORITIES)
    return { organisation, limitThousandths, servedThousandths: Math.round(Math.min(limitThousandths, Math.max(entitledThousandths, this.used.get(organisation) ?? 0))), rate, spentMilliseconds: Math.round(spentMilliseconds), queued, returning: [] }
  }
}

/** Returns the work of the tasks of a job that have neither ended nor a run, in thousandths of a core times milliseconds. */
function queuedWorkOf (job: Job): number {
  let work = 0
  for (const occurrence of job.occurrences.values()) {
    for (const { specification, waitingCount } of occurrence.steps) {
      if (!specification.longRunning) work += waitingCount * specification.estimateMilliseconds * specification.processorsThousandths
    }
  }
  return work
}

/** Returns the work of an organisation that is still worth something, in thousandths of a core times milliseconds. */
export function totalWorkOf ({ queued }: OrganisationBacklog): number {
  return queued.reduce((sum, { inTime, late, beyondRate }) => sum + inTime + late + beyondRate, 0)
}
