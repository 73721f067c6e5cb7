import type { Organisation, ResourceAmounts } from '../../contracts/clusterConfiguration.js'
import type { Step } from '../job.js'
import { processorsOf, type WorkerState } from '../workerState.js'
import { resourcesOf, type OrganisationLedger } from './organisationLedger.js'

/** Share of the free processors that the waiting work may need before room counts as short: not every free worker is suitable. */
const AMPLE_ROOM_SHARE = 0.5

/** Steps that wait, as seen by the fair order. */
export interface ShareContext {
  readonly workers: Iterable<WorkerState>
  readonly now: number
  /** Returns true if a step waits for the cap of its organisation, so that it needs no room. */
  readonly isAtCap: (step: Step) => boolean
}

/**
 * Weighted fair shares of organisations by dominant resource, after Ghodsi et al., "Dominant Resource Fairness" (NSDI 2011).
 * The share of an organisation is the largest of its shares of the processors, the memory and the accelerators. It is taken from what
 * the organisation has running now, so that one that was idle has no credit. Shares that others leave idle are lent until they are needed.
 */
export class OrganisationShares {
  private readonly weights = new Map<string, number>()
  private total: ResourceAmounts = { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }
  /** Sum of the weights of the organisations that have work running or waiting. */
  private activeWeight = 0
  /** Whether the waiting work may need more room than is free. */
  isRoomShort = false
  /** Steps that go after others of their class, because their organisation has its share, and the share that each of them builds on. */
  private readonly stepsBeyondShare = new Map<Step, number>()

  constructor (private readonly ledger: OrganisationLedger) {}

  /** Applies newer weights. */
  configure (organisations: readonly Organisation[]): void {
    for (const { name, weight } of organisations) this.weights.set(name, weight)
  }

  /** Returns the dominant share of an organisation relative to the share that its weight entitles it to; 1 means all of it. */
  weightedShareOf (organisation: string): number {
    return this.relativeShare(organisation, this.ledger.usageOf(organisation))
  }

  /** Returns the processors that an organisation is entitled to by its weight among those that have work, in thousandths of a core. */
  entitledProcessorsOf (organisation: string): number {
    return this.activeWeight <= 0 ? this.total.processorsThousandths : this.total.processorsThousandths * Math.min(1, this.weightOf(organisation) / this.activeWeight)
  }

  /** Processors of all usable workers, in thousandths of a core. */
  get totalProcessors (): number {
    return this.total.processorsThousandths
  }

  /** Returns true if a step goes after others of its class, because its organisation has its share. */
  isBeyondShare (step: Step): boolean {
    return this.stepsBeyondShare.has(step)
  }

  /** Measures the room and the waiting work before a pass. */
  measure (steps: readonly Step[], { workers, now, isAtCap }: ShareContext): void {
    const total = { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }
    let freeProcessors = 0
    for (const worker of workers) {
      if (!worker.isUsable(now)) continue
      total.processorsThousandths += worker.entry.processorsThousandths
      total.memoryMegabytes += worker.entry.memoryMegabytes
      total.accelerators += worker.entry.accelerators
      freeProcessors += Math.max(0, worker.freeProcessors)
    }
    this.total = total
    const active = new Set(this.ledger.organisations)
    let neededProcessors = 0
    for (const step of steps) {
      active.add(nameOf(step))
      if (!isAtCap(step)) neededProcessors += step.waitingCount * processorsOf(step.specification)
    }
    this.activeWeight = 0
    for (const name of active) this.activeWeight += this.weightOf(name)
    this.isRoomShort = neededProcessors > AMPLE_ROOM_SHARE * freeProcessors
  }

  /**
   * Puts the steps of organisations that have their share after those of the others, where room is short. `steps` must be in the order by
   * class and objective, which remains among the steps within the shares; those beyond come in the order of the share that they build on.
   */
  reorder (steps: Step[], classOf: (step: Step) => number, isAtCap: (step: Step) => boolean): void {
    this.stepsBeyondShare.clear()
    if (!this.isRoomShort) return
    const expected = new Map<string, { -readonly [Name in keyof ResourceAmounts]: ResourceAmounts[Name] }>()
    for (const step of steps) {
      if (isAtCap(step)) continue
      const name = nameOf(step)
      let usage = expected.get(name)
      if (usage === undefined) expected.set(name, usage = { ...this.ledger.usageOf(name) })
      const share = this.relativeShare(name, usage)
      if (share >= 1) this.stepsBeyondShare.set(step, share)
      const needed = resourcesOf(step.specification)
      usage.processorsThousandths += step.waitingCount * needed.processorsThousandths
      usage.memoryMegabytes += step.waitingCount * needed.memoryMegabytes
      usage.accelerators += step.waitingCount * needed.accelerators
    }
    if (this.stepsBeyondShare.size > 0) steps.sort((left, right) => classOf(left) - classOf(right) || this.positionOf(left) - this.positionOf(right))
  }

  private positionOf (step: Step): number {
    return this.stepsBeyondShare.get(step) ?? 0
  }

  private relativeShare (organisation: string, usage: ResourceAmounts): number {
    const { total } = this
    const dominant = Math.max(shareOf(usage.processorsThousandths, total.processorsThousandths), shareOf(usage.memoryMegabytes, total.memoryMegabytes), shareOf(usage.accelerators, total.accelerators))
    const weight = this.weightOf(organisation)
    return weight <= 0 || this.activeWeight <= 0 ? dominant : dominant * this.activeWeight / weight
  }

  /** Jobs without an organisation share like one organisation of average weight. */
  private weightOf (organisation: string): number {
    const weight = this.weights.get(organisation)
    if (weight !== undefined) return weight
    let sum = 0
    for (const other of this.weights.values()) sum += other
    return sum / Math.max(1, this.weights.size)
  }
}

function nameOf (step: Step): string {
  return step.job.submission.organisation ?? ''
}

function shareOf (used: number, total: number): number {
  return total === 0 ? 0 : used / total
}
