import type { Organisation, ResourceAmounts } from '../../contracts/clusterConfiguration.js'
import type { StepJob } from '../../contracts/stepJob.js'
import type { Step, Task } from '../job.js'
import { resourcesOf, type OrganisationLedger } from './organisationLedger.js'

const RESOURCES = ['processorsThousandths', 'memoryMegabytes', 'accelerators'] as const
const RESOURCE_NAMES = { processorsThousandths: 'thousandths of a core', memoryMegabytes: 'MB of memory', accelerators: 'accelerators' } as const

/** Wait after which a step may start beside an earlier one that waits for the cap, while little of the cap is in use, in milliseconds. */
const MAXIMUM_HELD_MILLISECONDS = 1500
/** Share of the cap up to which it may do so. */
const HELD_STEP_SHARE = 0.5
/** Wait of the earlier step after which it may no longer do so, in milliseconds; longer than most tasks take. */
const MAXIMUM_OVERTAKEN_MILLISECONDS = 6000

/** Keeps the runs of each organisation within the cap of the newest configuration. */
export class OrganisationCaps {
  private readonly caps = new Map<string, ResourceAmounts>()

  constructor (private readonly ledger: OrganisationLedger) {}

  /** Applies newer caps. An organisation that is no longer configured keeps its last cap, as its accepted jobs still run. */
  configure (organisations: readonly Organisation[]): void {
    for (const { name, cap } of organisations) this.caps.set(name, cap)
  }

  /** Returns the cap of an organisation; undefined if it has none. */
  capOf (organisation: string | undefined): ResourceAmounts | undefined {
    return organisation === undefined ? undefined : this.caps.get(organisation)
  }

  /**
   * Returns true if further tasks of a step fit below the cap. A task that is wider than the cap fits only while its organisation uses
   * nothing of what it exceeds, because it could never run otherwise.
   */
  hasRoomFor (step: Step, count: number): boolean {
    const organisation = step.job.submission.organisation
    const cap = this.capOf(organisation)
    if (cap === undefined || organisation === undefined) return true
    const used = this.ledger.usageOf(organisation)
    return isWithin(resourcesOf(step.specification), count, used, cap)
  }

  /** Returns true if the cap covers a run that the ledger contains already. */
  covers ({ step }: Task): boolean {
    const organisation = step.job.submission.organisation
    const cap = this.capOf(organisation)
    if (cap === undefined || organisation === undefined) return true
    const used = this.ledger.usageOf(organisation)
    const own = resourcesOf(step.specification)
    return RESOURCES.every(name => own[name] === 0 || cap[name] === 0 || used[name] <= cap[name] || used[name] <= own[name])
  }

  /** Returns true if a task of the step would leave at most `HELD_STEP_SHARE` of the cap in use. */
  leavesMostOfCap (step: Step): boolean {
    const organisation = step.job.submission.organisation
    const cap = this.capOf(organisation)
    if (cap === undefined || organisation === undefined) return true
    const used = this.ledger.usageOf(organisation)
    const own = resourcesOf(step.specification)
    return RESOURCES.every(name => cap[name] === 0 || used[name] + own[name] <= HELD_STEP_SHARE * cap[name])
  }

  /** Formats what an organisation uses of its cap. */
  describe (organisation: string): string {
    const cap = this.capOf(organisation)
    const used = this.ledger.usageOf(organisation)
    const parts = RESOURCES.filter(name => cap !== undefined && cap[name] > 0).map(name => `${used[name]}/${cap?.[name]} ${RESOURCE_NAMES[name]}`)
    return parts.join(', ')
  }
}

/** Applies the caps to the steps of one placement pass, which must be asked about in placement order. */
export class CapGate {
  /** First step of each organisation that waits for the cap. */
  private readonly blockedSteps = new Map<string, Step>()

  /** `areRunsKnown`: all runs are known that may exist, also those that a former scheduler was stopping. */
  constructor (private readonly caps: OrganisationCaps, private readonly areRunsKnown: boolean, private readonly now: number) {}

  /**
   * Returns true if `count` more tasks of a step may be placed below the cap of its organisation. Once a step does not fit, the later
   * ones of its organisation wait as well, so that small tasks do not keep wide tasks and gangs out for ever.
   */
  admits (step: Step, count: number): boolean {
    const organisation = step.job.submission.organisation
    if (organisation === undefined || this.caps.capOf(organisation) === undefined) return true
    if (!this.areRunsKnown) return false
    const blocked = this.blockedSteps.get(organisation)
    if (blocked !== undefined && blocked !== step && !this.mayOvertake(step, blocked)) return false
    if (this.caps.hasRoomFor(step, count)) return true
    if (blocked === undefined) this.blockedSteps.set(organisation, step)
    return false
  }

  private mayOvertake (step: Step, blocked: Step): boolean {
    return this.waitOf(step) >= MAXIMUM_HELD_MILLISECONDS && this.waitOf(blocked) < MAXIMUM_OVERTAKEN_MILLISECONDS && this.caps.leavesMostOfCap(step)
  }

  private waitOf ({ waitingSince }: Step): number {
    return waitingSince === undefined ? 0 : this.now - waitingSince
  }
}

/** Returns why a job can never run below the cap of its organisation; undefined if it can. Its gangs start as a whole, so each must fit. */
export function exceedsCap (job: StepJob, { name, cap }: Pick<Organisation, 'name' | 'cap'>): string | undefined {
  for (const [index, step] of job.steps.entries()) {
    const exceeded = RESOURCES.find(resource => step.gang && cap[resource] > 0 && step.count * step[resource] > cap[resource])
    if (exceeded === undefined || isWithin(resourcesOf(step), step.count, NOTHING, cap)) continue
    return `the gang of step ${index} needs ${step.count * step[exceeded]} ${RESOURCE_NAMES[exceeded]}, the cap of ${name} is ${cap[exceeded]}`
  }
  return undefined
}

const NOTHING: ResourceAmounts = { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }

function isWithin (own: ResourceAmounts, count: number, used: ResourceAmounts, cap: ResourceAmounts): boolean {
  return RESOURCES.every(name => own[name] === 0 || cap[name] === 0 || used[name] + count * own[name] <= cap[name] || (count === 1 && used[name] <= 0))
}
