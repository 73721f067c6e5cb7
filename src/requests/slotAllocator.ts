import type { SlotGrant, SlotUse } from '../contracts/linkMessages.js'
import { PoolBalancer } from './poolBalancer.js'
import type { ExecutorCapacity, Commitment, ExecutorLimits, HolderState } from './slotCommitments.js'

/** A holder's report as the allocator reads it. */
export interface HolderReport {
  readonly sequence: number
  /** Sequence of the grants that were applied last; -1 if none of this owner. */
  readonly appliedGrant: number
  /** Waiting and running requests by pool. */
  readonly demand: Readonly<Record<string, number>>
  readonly uses: readonly SlotUse[]
  readonly leaving: boolean
}

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

const NOTHING: ExecutorCapacity = { slots: 0, connections: 0 }

/**
 * The owner's division of executor slots and connections among the entry instances of its failure domain.
 * The sum of what holders may be using never exceeds an executor's limits. Times are monotonic milliseconds.
 */
export class SlotAllocator {
  private readonly holders = new Map<string, HolderState>()
  /** Slots and connections by executor that holders carried over from an earlier owner's grants. */
  private readonly carriedOver = new Map<string, ExecutorCapacity>()
  /** Holders that have reported; a holder carries over earlier grants only with its first report. */
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
    const state = known ?? { commitments: new Map<string, Commitment>(), demand: {}, leaving: false, lastReportAt: now, lastReport: 0 }
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
    for (const executor of new Set([...state.commitments.keys(), ...uses.keys()])) {
      const use = uses.get(executor) ?? { executor, held: 0, inFlight: 0, connections: 0 }
      const commitment = this.noteUse(state, use, report.appliedGrant, isFirst, now)
      if (isFirst) this.noteCarriedOver(executor, commitment)
    }
  }

  /** A leaving holder has returned everything and applies no grant any more. Another may use what it reports and whatever grant it has not confirmed; confirmed older grants no longer count. */
  private noteUse (state: HolderState, use: SlotUse, appliedGrant: number, isFirst: boolean, now: number): Commitment {
    const commitment = state.commitments.get(use.executor) ?? this.emptyCommitment(use.executor, now)
    state.commitments.set(use.executor, commitment)
    commitment.unconfirmed = state.leaving ? [] : commitment.unconfirmed.filter(grant => grant.sequence > appliedGrant)
    commitment.slots = Math.max(use.held, use.inFlight, ...commitment.unconfirmed.map(grant => grant.slots))
    commitment.inFlight = use.inFlight
    const decided = commitment.granted.slots
    commitment.granted = { slots: isFirst ? use.held : Math.min(decided, commitment.slots), connections: commitment.granted.connections }
    commitment.connections = Math.max(use.connections, ...commitment.unconfirmed.map(grant => grant.connections))
    commitment.expiresAt = now + GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS
    commitment.maximumRunMilliseconds = Math.max(commitment.maximumRunMilliseconds, this.executors.get(use.executor)?.maximumRunMilliseconds ?? 0)
    return commitment
  }

  private emptyCommitment (executor: string, now: number): Commitment {
    return { slots: 0, connections: 0, unconfirmed: [], inFlight: 0, granted: NOTHING, expiresAt: now, maximumRunMilliseconds: this.executors.get(executor)?.maximumRunMilliseconds ?? 0 }
  }

  private noteCarriedOver (executor: string, commitment: Commitment): void {
    const before = this.carriedOver.get(executor) ?? NOTHING
    this.carriedOver.set(executor, { slots: before.slots + commitment.slots, connections: before.connections + commitment.connections })
  }

  /** Answers the reporter; others get new grants only when that moves a slot. */
  private decide (reporter: string, now: number): HolderGrants[] {
    const live = [...this.holders].filter(([, state]) => !state.leaving && now - state.lastReportAt < SILENT_MILLISECONDS)
    const changed = new Set([reporter])
    for (const executors of this.executorsByPool()) {
      const division = new PoolBalancer(executors, live)
      for (const executor of executors) {
        this.lowerToLimit(executor, live, changed)
        const free = this.usable(executor, now).slots - this.committed(executor.name).slots
        for (let slot = 0; slot < free; slot += 1) this.raise(executor, division, changed, now)
      }
      for (const { holder, executor } of division.revocations(this.pendingSlots(executors, now))) {
        lower(this.holders.get(holder)?.commitments.get(executor))
        changed.add(holder)
      }
    }
    const names = live.map(([name]) => name).filter(name => changed.has(name))
    return names.map(name => this.grantTo(name, this.holders.get(name) as HolderState, live.length, now))
  }

  private executorsByPool (): ExecutorLimits[][] {
    const pools = new Map<string, ExecutorLimits[]>()
    for (const executor of this.executors.values()) pools.set(executor.pool, [...pools.get(executor.pool) ?? [], executor])
    return [...pools.values()]
  }

  /** Gives a free slot to the holder that needs it most. */
  private raise (executor: ExecutorLimits, division: PoolBalancer, changed: Set<string>, now: number): void {
    const holder = division.takeRecipient()
    const state = holder === undefined ? undefined : this.holders.get(holder)
    if (holder === undefined || state === undefined) return
    const commitment = state.commitments.get(executor.name) ?? this.emptyCommitment(executor.name, now)
    state.commitments.set(executor.name, commitment)
    // A slot that was taken away and not yet confirmed is given back without using up a free one.
    const slots = commitment.granted.slots + 1
    commitment.granted = { ...commitment.granted, slots }
    commitment.slots = Math.max(commitment.slots, slots)
    changed.add(holder)
  }

  /** After the site text lowered a limit, takes slots from the holders with the most. */
  private lowerToLimit (executor: ExecutorLimits, live: ReadonlyArray<[string, HolderState]>, changed: Set<string>): void {
    const held = live.flatMap(([name, state]) => {
      const commitment = state.commitments.get(executor.name)
      return commitment === undefined ? [] : [{ name, commitment }]
    })
    let excess = held.reduce((sum, { commitment }) => sum + commitment.granted.slots, 0) - executor.slots
    while (excess > 0) {
      held.sort((left, right) => right.commitment.granted.slots - left.commitment.granted.slots)
      const most = held[0]
      if (most === undefined) return
      lower(most.commitment)
      changed.add(most.name)
      excess -= 1
    }
  }

  /** Slots of a pool that have been taken from a holder and will become free. */
  private pendingSlots (executors: readonly ExecutorLimits[], now: number): number {
    let pending = 0
    for (const [, state] of this.holders) {
      if (now - state.lastReportAt >= SILENT_MILLISECONDS) continue
      for (const { name } of executors) {
        const commitment = state.commitments.get(name)
        if (commitment !== undefined) pending += Math.max(0, commitment.slots - commitment.granted.slots)
      }
    }
    return pending
  }

  private grantTo (holder: string, state: HolderState, holders: number, now: number): HolderGrants {
    this.sequence += 1
    const grants: SlotGrant[] = []
    for (const executor of this.executors.values()) {
      const commitment = state.commitments.get(executor.name) ?? this.emptyCommitment(executor.name, now)
      state.commitments.set(executor.name, commitment)
      const slots = commitment.granted.slots
      const connections = this.connectionsFor(executor, commitment, holders, now)
      commitment.granted = { slots, connections }
      commitment.connections = Math.max(commitment.connections, connections)
      commitment.unconfirmed.push({ sequence: this.sequence, slots, connections })
      if (commitment.unconfirmed.length > MAXIMUM_UNCONFIRMED) mergeOldest(commitment.unconfirmed)
      commitment.expiresAt = state.lastReportAt + GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS
      commitment.maximumRunMilliseconds = Math.max(commitment.maximumRunMilliseconds, executor.maximumRunMilliseconds)
      if (slots > 0 || connections > 0) grants.push({ executor: executor.name, slots, connections })
    }
    return { holder, sequence: this.sequence, answersReport: state.lastReport, grants }
  }

  /** A connection for each slot, and an equal part of those beyond the slots. */
  private connectionsFor (executor: ExecutorLimits, own: Commitment, holders: number, now: number): number {
    const spare = Math.max(0, Math.floor((executor.connections - executor.slots) / Math.max(1, holders)))
    const available = this.usable(executor, now).connections - this.committed(executor.name).connections
    return Math.max(0, Math.min(own.granted.slots + spare, own.connections + available))
  }

  /** While requests of an earlier owner's grants may run, only what holders carried over is divided. */
  private usable (executor: ExecutorLimits, now: number): ExecutorCapacity {
    if (now >= this.earlierGrantsEnd + executor.maximumRunMilliseconds) return executor
    const carriedOver = this.carriedOver.get(executor.name) ?? NOTHING
    return { slots: Math.min(executor.slots, carriedOver.slots), connections: Math.min(executor.connections, carriedOver.connections) }
  }

  private committed (executor: string): ExecutorCapacity {
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
        if (now >= commitment.expiresAt + commitment.maximumRunMilliseconds) {
          commitment.slots = 0
          commitment.granted = NOTHING
        }
        if (commitment.slots === 0 && commitment.connections === 0 && now >= commitment.expiresAt) state.commitments.delete(executor)
      }
      if (state.commitments.size === 0 && now - state.lastReportAt > GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS) this.holders.delete(name)
    }
  }
}

function lower (commitment: Commitment | undefined): void {
  if (commitment !== undefined) commitment.granted = { ...commitment.granted, slots: Math.max(0, commitment.granted.slots - 1) }
}

function mergeOldest (unconfirmed: Array<ExecutorCapacity & { sequence: number }>): void {
  const first = unconfirmed.shift()
  const second = unconfirmed[0]
  if (first === undefined || second === undefined) return
  unconfirmed[0] = { sequence: second.sequence, slots: Math.max(first.slots, second.slots), connections: Math.max(first.connections, second.connections) }
}
