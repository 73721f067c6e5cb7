import type { Organisation } from '../../contracts/clusterConfiguration.js'
import type { Job, Step, Task } from '../job.js'
import type { WorkerState } from '../workerState.js'
import { CapGate, OrganisationCaps } from './organisationCaps.js'
import { OrganisationLedger } from './organisationLedger.js'
import { OrganisationShares } from './organisationShares.js'
import { SubmissionRates } from './submissionRates.js'
import { WaitReasons, type WaitReason } from './waitReasons.js'

/** Number of organisations that metrics name. */
const MAXIMUM_REPORTED_ORGANISATIONS = 10
/** Name under which metrics sum up the others; no organisation has it. */
const REST_NAME = '(others)'

/** A step with the reason for which it waits, as a text. */
export interface ExplainedWait {
  readonly step: Step
  readonly text: string
}

/** Use and waiting work of one organisation. */
export interface OrganisationSummary {
  readonly name: string
  processorsThousandths: number
  waitingTasks: number
  /** Waiting tasks that the cap keeps from starting. */
  tasksAtCap: number
}

/** What limits an organisation and what it is entitled to. */
export interface Entitlement {
  /** Processors that it may use: its cap, or else those of all workers. */
  readonly limitThousandths: number
  /** Processors of its share by weight. */
  readonly entitledThousandths: number
  /** Jobs a second that it may submit; 0 means no limit. */
  readonly rate: number
  readonly spentMilliseconds: number
}

/** Changes the order of steps by class and objective for the sake of organisations with little of their share. */
export interface FairOrder {
  /** Returns true if a step goes after all others that can still earn a benefit. */
  isDeferred (step: Step): boolean
  /** Reorders steps within their classes. */
  reorder (steps: Step[], classOf: (step: Step) => number): void
}

/** The organisations that share the workers: what they use, and what they may use. */
export class Organisations {
  readonly ledger = new OrganisationLedger()
  readonly caps = new OrganisationCaps(this.ledger)
  private readonly shares = new OrganisationShares(this.ledger)
  private readonly rates = new SubmissionRates()
  private readonly waitReasons = new WaitReasons()
  /** Whether the configuration has contained organisations. */
  private isEnabled = false
  private areRunsKnown = false

  constructor (private readonly workers: ReadonlyMap<string, WorkerState>) {}

  /** Applies a newer configuration. */
  configure (organisations: readonly Organisation[]): void {
    if (organisations.length > 0) this.isEnabled = true
    this.caps.configure(organisations)
    this.shares.configure(organisations)
    this.rates.configure(organisations)
  }

  /** Notes a new job. `acceptedAt` is its estimated time of acceptance, in milliseconds of the monotonic clock. */
  onDidAddJob (job: Job, acceptedAt: number): void {
    this.rates.onDidAddJob(job, acceptedAt)
  }

  /** Returns true if the organisation of the job had spent its rate of submissions when it submitted the job. */
  isBeyondRate (job: Job): boolean {
    return this.isEnabled && this.rates.isBeyondRate(job)
  }

  /** Returns the dominant share of an organisation relative to the share that its weight entitles it to, as of the latest placement. */
  weightedShareOf (organisation: string): number {
    return this.shares.weightedShareOf(organisation)
  }

  /** Returns true if a step waits for the cap of its organisation, or for room while that is short. */
  isWithoutRoom (step: Step): boolean {
    return this.isEnabled && this.shares.totalProcessors > 0 && (this.shares.isRoomShort || this.isAtCap(step))
  }

  /** Returns what limits an organisation and what it is entitled to; processors are in thousandths of a core, the rate is in jobs a second. */
  entitlementOf (organisation: string, now: number): Entitlement {
    const cap = this.caps.capOf(organisation)?.processorsThousandths ?? 0
    const limitThousandths = cap > 0 ? cap : this.shares.totalProcessors
    return {
      limitThousandths,
      entitledThousandths: Math.min(limitThousandths, this.shares.entitledProcessorsOf(organisation)),
      rate: this.rates.rateOf(organisation),
      spentMilliseconds: this.rates.spentMilliseconds(organisation, now)
    }
  }

  /** Returns the organisation of a job; undefined if it has none. */
  organisationOf (job: Job): string | undefined {
    return job.submission.organisation
  }

  /** Returns the fair order for one placement pass; undefined if there are no organisations. */
  createFairOrder (steps: readonly Step[], now: number): FairOrder | undefined {
    if (!this.isEnabled) return undefined
    const isAtCap = (step: Step): boolean => this.isAtCap(step)
    this.shares.measure(steps, { workers: this.workers.values(), now, isAtCap })
    return {
      isDeferred: step => this.shares.isRoomShort && this.rates.isBeyondRate(step.job),
      reorder: (sorted, classOf) => this.shares.reorder(sorted, classOf, isAtCap)
    }
  }

  /** Returns the gate for one placement pass; undefined if there are no organisations. */
  createCapGate (now: number): CapGate | undefined {
    if (!this.isEnabled) return undefined
    this.areRunsKnown ||= this.haveWorkersReported()
    return new CapGate(this.caps, this.areRunsKnown, now)
  }

  /** Returns true if a placed run may start below the cap that is in force now; recording its placement may have taken seconds. */
  mayStart (task: Task): boolean {
    return !this.isEnabled || this.caps.covers(task)
  }

  /** Returns true if tasks of the step cannot be placed now because of the cap of its organisation. */
  isAtCap (step: Step): boolean {
    return this.isEnabled && !this.caps.hasRoomFor(step, step.specification.gang ? step.tasks.length : 1)
  }

  /** Returns descriptions of why steps wait for their organisation, where the reason has changed since it was last returned. */
  explainWaits (steps: Iterable<Step>, now: number): ExplainedWait[] {
    if (!this.isEnabled) return []
    return this.waitReasons.selectChanged(steps, step => this.waitReasonOf(step), now).map(({ step, reason }) => ({ step, text: this.describeWait(step.job.submission.organisation ?? '', reason) }))
  }

  /**
   * Returns what the organisations use and what waits, the largest users first. At most `MAXIMUM_REPORTED_ORGANISATIONS` are named, the
   * others are summed up without a name.
   */
  summarise (steps: Iterable<Step>): OrganisationSummary[] {
    const summaries = new Map<string, OrganisationSummary>()
    const summaryOf = (name: string): OrganisationSummary => {
      const found = summaries.get(name) ?? { name, processorsThousandths: this.ledger.usageOf(name).processorsThousandths, waitingTasks: 0, tasksAtCap: 0 }
      summaries.set(name, found)
      return found
    }
    for (const name of this.ledger.organisations) summaryOf(name)
    for (const step of this.isEnabled ? steps : []) {
      const summary = summaryOf(step.job.submission.organisation ?? '')
      summary.waitingTasks += step.waitingCount
      if (this.isAtCap(step)) summary.tasksAtCap += step.waitingCount
    }
    const sorted = [...summaries.values()].sort((left, right) => right.processorsThousandths - left.processorsThousandths || right.waitingTasks - left.waitingTasks)
    const rest: OrganisationSummary = { name: REST_NAME, processorsThousandths: 0, waitingTasks: 0, tasksAtCap: 0 }
    for (const summary of sorted.splice(MAXIMUM_REPORTED_ORGANISATIONS)) {
      rest.processorsThousandths += summary.processorsThousandths
      rest.waitingTasks += summary.waitingTasks
      rest.tasksAtCap += summary.tasksAtCap
    }
    return [...sorted, rest]
  }

  private waitReasonOf (step: Step): WaitReason | undefined {
    if (this.isAtCap(step)) return 'cap'
    if (!this.shares.isRoomShort) return undefined
    if (this.rates.isBeyondRate(step.job)) return 'rate'
    return this.shares.isBeyondShare(step) ? 'share' : undefined
  }

  private describeWait (organisation: string, reason: WaitReason): string {
    if (reason === 'cap') return `waits for the cap of ${organisation} (${this.caps.describe(organisation)})`
    if (reason === 'rate') return `waits behind the others, because ${organisation} submits more than its rate`
    return `waits behind the share of the others: ${organisation} uses ${Math.round(100 * this.weightedShareOf(organisation))} percent of its own`
  }

  /** Returns the tasks that do not wait for a cap, so that nothing is kept free for the others. */
  withoutCapped (tasks: ReadonlySet<Task>): ReadonlySet<Task> {
    if (!this.isEnabled || tasks.size === 0) return tasks
    return new Set([...tasks].filter(task => task.hasRun || !this.isAtCap(task.step)))
  }

  /**
   * The record of a finished job names no runs, so a former scheduler may have been stopping some that only the reports of their workers
   * show. A worker that does not respond is not waited for.
   */
  private haveWorkersReported (): boolean {
    for (const worker of this.workers.values()) {
      if (worker.isListed && !worker.hasReported && !worker.isUnresponsive) return false
    }
    return true
  }
}
