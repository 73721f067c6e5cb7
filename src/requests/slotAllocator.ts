import type { LinkMessageOf, SlotGrant, SlotUse } from '../contracts/linkMessages.js'
import { divideProportionally, hashOf } from './proportionalDivision.js'

/** Limits of one executor as the site text states them. */
export interface ExecutorLimits {
  readonly name: string
  readonly pool: string
  readonly slots: number
  readonly connections: number
  /** Longest time a request can run on the executor, in milliseconds. */
  readonly maximumRunMilliseconds: number
}

/** A holder's report as the allocator reads it. */
export type HolderReport = Pick<LinkMessageOf<'slotReport'>, 'sequence' | 'appliedGrant' | 'demand' | 'uses' | 'leaving'>

/** Grants to be sent to one holder. */
export interface HolderGrants {
  readonly holder: string
  readonly sequence: number
  readonly answersReport: number
  readonly grants: SlotGrant[]
}

/** How long a grant is valid, measured by its holder from before it sent the report that the grant answers. */
export const GRANT_VALID_MILLISECONDS = 10_000
/** Added by the owner when it waits for a grant to end: 1 % clock drift over a grant, and scheduling delay. */
export const GRANT_DRIFT_MARGIN_MILLISECONDS = 500
/** A holder that has not reported for this long gets no share of what becomes free. */
const SILENT_MILLISECONDS = 2000
/** Unconfirmed grants remembered one by one; older ones are merged into their maximum. */
const MAXIMUM_UNCONFIRMED = 32

interface Amount {
  readonly slots: number
  readonly connections: number
}

/** What a holder may be using of one executor. */
interface Commitment {
  slots: number
  connections: number
  /** Grants sent that the holder has not confirmed, oldest first. */
  unconfirmed: Array<Amount & { sequence: number }>
  /** Last amount sent. */
  granted: Amount
  expiresAt: number
  /** Greatest maximum run time while the commitment lasted. */
  maximumRunMilliseconds: number
}

interface HolderState {
  readonly commitments: Map<string, Commitment>
  demand: Readonly<Record<string, number>>
  running: Readonly<Record<string, number>>
  leaving: boolean
  lastReportAt: number
  lastReport: number
}

const NOTHING: Amount = { slots: 0, connections: 0 }

/**
 * The owner's division of executor slots and connections among the entry instances of its failure domain.
 * The sum of what holders may be using never exceeds an executor's limits. Times are monotonic milliseconds.
 */
export class SlotAllocator {
  private readonly holders = new Map<string, HolderState>()
  /** Slots and connections by executor that holders brought from an earlier owner's grants. */
  private readonly brought = new Map<string, Amount>()
  /** Holders that have reported; a holder brings earlier grants only with its first report. */
  private readonly seen = new Set<string>()
  private executors = new Map<string, ExecutorLimits>()
  private sequence = 0

  /** @param earlierGrantsEnd Time from which all grants of an earlier owner have ended; -Infinity if there was none. */
  constructor (private readonly earlierGrantsEnd: number) {}

  setExecutors (executors: readonly ExecutorLimits[]): void {
    this.executors = new Map(executors.map(executor => [executor.name, executor]))
  }

  /**
   * Handles a holder's report. Returns the grants that answer it, then new grants of other holders where slots
   * are to move at once. A report that is not newer than the last one is ignored. `holder` differs between incarnations.
   */
  onReport (holder: string, report: HolderReport, now: number): HolderGrants[] {
    this.dropEnded(now)
    const known = this.holders.get(holder)
    if (known !== undefined && report.sequence <= known.lastReport) return []
    const state = known ?? { commitments: new Map<string, Commitment>(), demand: {}, running: {}, leaving: false, lastReportAt: now, lastReport: 0 }
    this.holders.set(holder, state)
    state.demand = report.demand
    state.leaving = report.leaving
    state.lastReportAt = now
    state.lastReport = report.sequence
    this.noteUses(state, report, !this.seen.has(holder), now)
    this.seen.add(holder)
    return this.decide(holder, now)
  }

  /** Forgets the connections of holders whose process has certainly ended, which closed them. */
  onProcessEnded (holder: string): void {
    for (const commitment of this.holders.get(holder)?.commitments.values() ?? []) commitment.connections = 0
  }

  /** Holders that have not been forgotten. */
  holderKeys (): string[] {
    return [...this.holders.keys()]
  }

  /** Slots of an executor that holders may be using at `now`. */
  committedSlots (executor: string, now: number): number {
    this.dropEnded(now)
    return this.committed(executor).slots
  }

  private noteUses (state: HolderState, report: HolderReport, isFirst: boolean, now: number): void {
    const uses = new Map(report.uses.map(use => [use.executor, use]))
    const running: Record<string, number> = {}
    for (const executor of new Set([...state.commitments.keys(), ...uses.keys()])) {
      const use = uses.get(executor) ?? { executor, held: 0, inFlight: 0, connections: 0 }
      const commitment = this.noteUse(state, use, report.appliedGrant, now)
      if (isFirst) this.noteBrought(executor, commitment)
      const pool = this.executors.get(executor)?.pool
      if (pool !== undefined) running[pool] = (running[pool] ?? 0) + use.inFlight
    }
    state.running = running
  }

  /** A leaving holder has returned everything and applies no grant any more. Another may use what it reports and whatever grant it has not confirmed; confirmed older grants no longer count. */
  private noteUse (state: HolderState, use: SlotUse, appliedGrant: number, now: number): Commitment {
    const commitment = state.commitments.get(use.executor) ?? this.emptyCommitment(use.executor, now)
    state.commitments.set(use.executor, commitment)
    commitment.unconfirmed = state.leaving ? [] : commitment.unconfirmed.filter(grant => grant.sequence > appliedGrant)
    commitment.slots = Math.max(use.held, use.inFlight, ...commitment.unconfirmed.map(grant => grant.slots))
    commitment.connections = Math.max(use.connections, ...commitment.unconfirmed.map(grant => grant.connections))
    commitment.expiresAt = now + GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS
    commitment.maximumRunMilliseconds = Math.max(commitment.maximumRunMilliseconds, this.executors.get(use.executor)?.maximumRunMilliseconds ?? 0)
    return commitment
  }

  private emptyCommitment (executor: string, now: number): Commitment {
    return { slots: 0, connections: 0, unconfirmed: [], granted: NOTHING, expiresAt: now, maximumRunMilliseconds: this.executors.get(executor)?.maximumRunMilliseconds ?? 0 }
  }

  private noteBrought (executor: string, commitment: Commitment): void {
    const before = this.brought.get(executor) ?? NOTHING
    this.brought.set(executor, { slots: before.slots + commitment.slots, connections: before.connections + commitment.connections })
  }

  /** Answers the reporter; others get new grants only when a holder with waiting requests gains from it. */
  private decide (reporter: string, now: number): HolderGrants[] {
    const shares = new Map<string, Map<string, number>>()
    const live = [...this.holders].filter(([, state]) => !state.leaving && now - state.lastReportAt < SILENT_MILLISECONDS)
    for (const executor of this.executors.values()) shares.set(executor.name, shareOf(executor, live))
    const hungry = live.some(([, state]) => isHungry(state))
    const decisions: HolderGrants[] = []
    const others = live.filter(([name]) => name !== reporter)
    for (const [name, state] of [...live.filter(([name]) => name === reporter), ...others]) {
      if (name === reporter || (hungry && this.isChanged(state, name, shares, live.length, now))) decisions.push(this.grantTo(name, state, shares, live.length, now))
    }
    return decisions
  }

  /** Whether new grants take slots from a holder that does not need them or give slots to one that waits for them. */
  private isChanged (state: HolderState, holder: string, shares: ReadonlyMap<string, ReadonlyMap<string, number>>, holders: number, now: number): boolean {
    const hungry = isHungry(state)
    for (const executor of this.executors.values()) {
      const { slots } = this.amountFor(executor, state, shares.get(executor.name)?.get(holder) ?? 0, holders, now)
      const before = state.commitments.get(executor.name)?.granted.slots ?? 0
      if (hungry ? slots > before : slots < before) return true
    }
    return false
  }

  private grantTo (holder: string, state: HolderState, shares: ReadonlyMap<string, ReadonlyMap<string, number>>, holders: number, now: number): HolderGrants {
    this.sequence += 1
    const grants: SlotGrant[] = []
    for (const executor of this.executors.values()) {
      const amount = this.amountFor(executor, state, shares.get(executor.name)?.get(holder) ?? 0, holders, now)
      const commitment = state.commitments.get(executor.name) ?? this.emptyCommitment(executor.name, now)
      state.commitments.set(executor.name, commitment)
      commitment.slots = Math.max(commitment.slots, amount.slots)
      commitment.connections = Math.max(commitment.connections, amount.connections)
      commitment.granted = amount
      commitment.unconfirmed.push({ sequence: this.sequence, ...amount })
      if (commitment.unconfirmed.length > MAXIMUM_UNCONFIRMED) mergeOldest(commitment.unconfirmed)
      commitment.expiresAt = state.lastReportAt + GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS
      commitment.maximumRunMilliseconds = Math.max(commitment.maximumRunMilliseconds, executor.maximumRunMilliseconds)
      grants.push({ executor: executor.name, ...amount })
    }
    return { holder, sequence: this.sequence, answersReport: state.lastReport, grants }
  }

  private amountFor (executor: ExecutorLimits, state: HolderState, share: number, holders: number, now: number): Amount {
    const usable = this.usable(executor, now)
    const committed = this.committed(executor.name)
    const own = state.commitments.get(executor.name) ?? NOTHING
    const slots = Math.max(0, Math.min(share, own.slots + usable.slots - committed.slots))
    const spare = Math.max(0, Math.floor((executor.connections - executor.slots) / Math.max(1, holders)))
    const connections = Math.max(0, Math.min(slots + spare, own.connections + usable.connections - committed.connections))
    return { slots: Math.min(slots, connections), connections }
  }

  /** While requests of an earlier owner's grants may run, only what its holders have brought is divided. */
  private usable (executor: ExecutorLimits, now: number): Amount {
    if (now >= this.earlierGrantsEnd + executor.maximumRunMilliseconds) return executor
    const brought = this.brought.get(executor.name) ?? NOTHING
    return { slots: Math.min(executor.slots, brought.slots), connections: Math.min(executor.connections, brought.connections) }
  }

  private committed (executor: string): Amount {
    let slots = 0
    let connections = 0
    for (const state of this.holders.values()) {
      slots += state.commitments.get(executor)?.slots ?? 0
      connections += state.commitments.get(executor)?.connections ?? 0
    }
    return { slots, connections }
  }

  /** A paused process keeps its connections open, so that those outlast its grants until it reports or has ended. */
  private dropEnded (now: number): void {
    for (const [name, state] of this.holders) {
      for (const [executor, commitment] of state.commitments) {
        if (now >= commitment.expiresAt + commitment.maximumRunMilliseconds) commitment.slots = 0
        if (commitment.slots === 0 && commitment.connections === 0 && now >= commitment.expiresAt) state.commitments.delete(executor)
      }
      if (state.commitments.size === 0 && now - state.lastReportAt > GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS) this.holders.delete(name)
    }
  }
}

/** Whether requests wait at a holder for lack of slots. */
function isHungry (state: HolderState): boolean {
  return Object.entries(state.demand).some(([pool, demand]) => demand > (state.running[pool] ?? 0))
}

/** Shares of an executor's slots by reported demand. */
function shareOf (executor: ExecutorLimits, live: ReadonlyArray<[string, HolderState]>): Map<string, number> {
  const sorted = [...live].sort(([left], [right]) => left < right ? -1 : 1)
  const weights = sorted.map(([, state]) => 1 + (state.demand[executor.pool] ?? 0))
  const shares = divideProportionally(executor.slots, weights, hashOf(executor.name))
  return new Map(sorted.map(([name], index) => [name, shares[index] ?? 0]))
}

function mergeOldest (unconfirmed: Array<Amount & { sequence: number }>): void {
  const first = unconfirmed.shift()
  const second = unconfirmed[0]
  if (first === undefined || second === undefined) return
  unconfirmed[0] = { sequence: second.sequence, slots: Math.max(first.slots, second.slots), connections: Math.max(first.connections, second.connections) }
}
