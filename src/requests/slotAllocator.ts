import type { SlotGrant, SlotUse } from '../contracts/linkMessages.js'
import { PoolBalancer } from './poolBalancer.js'
import type { ExecutorCapacity, Commitment, ExecutorLimits, HolderState } from './slotCommitments.js'

/** Report of a holder about its demand and its use of slots. */
export interface HolderReport {
  readonly sequence: number
  /** Sequence number of the grants that were applied last; -1 if none of this owner was applied. */
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

/** Validity of a grant, which its holder counts from the time at which it started the report to which the grant responds. */
export const GRANT_VALID_MILLISECONDS = 10_000
/** Margin that the owner adds when it waits for a grant to expire: 1 % clock drift over a grant, and scheduling delay. */
export const GRANT_DRIFT_MARGIN_MILLISECONDS = 500
/** Time without a report after which a holder gets no share of free slots. */
const REPORT_TIMEOUT_MILLISECONDS = 2000
/** Unconfirmed grants that are tracked individually; older ones are merged into their maximum. */
const MAXIMUM_UNCONFIRMED = 32

const NO_CAPACITY: ExecutorCapacity = { slots: 0, connections: 0 }

/**
 * Allocates executor slots and connections to the entry instances of a failure domain, on behalf of its owner. The slots
 * and connections that all holders together may be using never exceed the limits of an executor. Times are monotonic milliseconds.
 */
export class SlotAllocator {
  private readonly holders = new Map<string, HolderState>()
  /** Slots and connections by executor that holders carried over from the grants of an earlier owner. */
  private readonly carriedOver = new Map<string, ExecutorCapacity>()
  /** Holders that have reported to this owner. Only the first report of a holder carries over earlier grants. */
  private readonly reported = new Set<string>()
  private executors = new Map<string, ExecutorLimits>()
  private sequence = 0

  /** @param earlierGrantsEnd Time at which all grants of an earlier owner have expired; -Infinity if there was none. */
  constructor (private readonly earlierGrantsEnd: number) {}

  setExecutors (executors: readonly ExecutorLimits[]): void {
    this.executors = new Map(executors.map(executor => [executor.name, executor]))
  }

  /**
   * Handles the report of a holder. Returns grants for the holder and for those others whose slots change at once. A
   * report that is not newer than the last one is ignored. `holder` differs between incarnations of an instance.
   */
  onReport (holder: string, report: HolderReport, now: number): HolderGrants[] {
    this.removeExpired(now)
    const known = this.holders.get(holder)
    if (known !== undefined && report.sequence <= known.lastReportSequence) return []
    const state = known ?? { commitments: new Map<string, Commitment>(), demand: {}, leaving: false, lastReportAt: now, lastReportSequence: 0 }
    this.holders.set(holder, state)
    state.demand = report.demand
    state.leaving = report.leaving
    state.lastReportAt = now
    state.lastReportSequence = report.sequence
    this.applyUses(state, report, !this.reported.has(holder), now)
    this.reported.add(holder)
    return this.rebalance(holder, now)
  }

  /** Releases the connections of a holder whose process has certainly ended, which closed them. */
  onProcessEnded (holder: string): void {
    for (const commitment of this.holders.get(holder)?.commitments.values() ?? []) commitment.connections = 0
  }

  /** Keys of the holders that are still tracked. */
  holderKeys (): string[] {
    return [...this.holders.keys()]
  }

  /** Returns how many slots of an executor the holders may be using at `now`. */
  committedSlots (executor: string, now: number): number {
    this.removeExpired(now)
    return this.committedCapacity(executor).slots
  }

  private applyUses (state: HolderState, report: HolderReport, isFirst: boolean, now: number): void {
    const uses = new Map(report.uses.map(use => [use.executor, use]))
    for (const executor of new Set([...state.commitments.keys(), ...uses.keys()])) {
      const use = uses.get(executor) ?? { executor, held: 0, inFlight: 0, connections: 0 }
      const commitment = this.applyUse(state, use, report.appliedGrant, isFirst, now)
      if (isFirst) this.addCarriedOver(executor, commitment)
    }
  }

  /**
   * Updates the commitment to a holder from its report. A holder may be using what it reports and every grant that it has
   * not confirmed; grants older than the confirmed one no longer count. A leaving holder has returned all grants and applies no more.
   */
  private applyUse (state: HolderState, use: SlotUse, appliedGrant: number, isFirst: boolean, now: number): Commitment {
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
    return { slots: 0, connections: 0, unconfirmed: [], inFlight: 0, granted: NO_CAPACITY, expiresAt: now, maximumRunMilliseconds: this.executors.get(executor)?.maximumRunMilliseconds ?? 0 }
  }

  private addCarriedOver (executor: string, commitment: Commitment): void {
    const before = this.carriedOver.get(executor) ?? NO_CAPACITY
    this.carriedOver.set(executor, { slots: before.slots + commitment.slots, connections: before.connections + commitment.connections })
  }

  /** Divides the slots again. Returns grants for the reporter, and for the other holders whose slots change. */
  private rebalance (reporter: string, now: number): HolderGrants[] {
    const live = [...this.holders].filter(([, state]) => !state.leaving && now - state.lastReportAt < REPORT_TIMEOUT_MILLISECONDS)
    const changed = new Set([reporter])
    for (const executors of this.executorsByPool()) {
      const balancer = new PoolBalancer(executors, live)
      for (const executor of executors) {
        this.revokeAboveLimit(executor, live, changed)
        const free = this.grantableCapacity(executor, now).slots - this.committedCapacity(executor.name).slots
        for (let slot = 0; slot < free; slot += 1) this.grantFreeSlot(executor, balancer, changed, now)
      }
      for (const { holder, executor } of balancer.revocations(this.pendingRevocations(executors, now))) {
        revokeSlot(this.holders.get(holder)?.commitments.get(executor))
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

  /** Grants a free slot to the holder that needs it most. */
  private grantFreeSlot (executor: ExecutorLimits, balancer: PoolBalancer, changed: Set<string>, now: number): void {
    const holder = balancer.takeRecipient()
    const state = holder === undefined ? undefined : this.holders.get(holder)
    if (holder === undefined || state === undefined) return
    const commitment = state.commitments.get(executor.name) ?? this.emptyCommitment(executor.name, now)
    state.commitments.set(executor.name, commitment)
    // A slot whose revocation is not confirmed yet is granted again without using up a free one.
    const slots = commitment.granted.slots + 1
    commitment.granted = { ...commitment.granted, slots }
    commitment.slots = Math.max(commitment.slots, slots)
    changed.add(holder)
  }

  /** Revokes slots from the holders with the most after the site configuration has lowered a limit. */
  private revokeAboveLimit (executor: ExecutorLimits, live: ReadonlyArray<[string, HolderState]>, changed: Set<string>): void {
    const commitments = live.flatMap(([name, state]) => {
      const commitment = state.commitments.get(executor.name)
      return commitment === undefined ? [] : [{ name, commitment }]
    })
    let excess = commitments.reduce((sum, { commitment }) => sum + commitment.granted.slots, 0) - executor.slots
    while (excess > 0) {
      commitments.sort((left, right) => right.commitment.granted.slots - left.commitment.granted.slots)
      const largest = commitments[0]
      if (largest === undefined) return
      revokeSlot(largest.commitment)
      changed.add(largest.name)
      excess -= 1
    }
  }

  /** Returns how many slots of a pool have been revoked but are still counted for their holder. */
  private pendingRevocations (executors: readonly ExecutorLimits[], now: number): number {
    let pending = 0
    for (const [, state] of this.holders) {
      if (now - state.lastReportAt >= REPORT_TIMEOUT_MILLISECONDS) continue
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
      const connections = this.connectionsToGrant(executor, commitment, holders, now)
      commitment.granted = { slots, connections }
      commitment.connections = Math.max(commitment.connections, connections)
      commitment.unconfirmed.push({ sequence: this.sequence, slots, connections })
      if (commitment.unconfirmed.length > MAXIMUM_UNCONFIRMED) mergeOldest(commitment.unconfirmed)
      commitment.expiresAt = state.lastReportAt + GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS
      commitment.maximumRunMilliseconds = Math.max(commitment.maximumRunMilliseconds, executor.maximumRunMilliseconds)
      if (slots > 0 || connections > 0) grants.push({ executor: executor.name, slots, connections })
    }
    return { holder, sequence: this.sequence, answersReport: state.lastReportSequence, grants }
  }

  /** Returns the connections to grant: one for each slot, and an equal part of those beyond the slots. */
  private connectionsToGrant (executor: ExecutorLimits, own: Commitment, holders: number, now: number): number {
    const spare = Math.max(0, Math.floor((executor.connections - executor.slots) / Math.max(1, holders)))
    const available = this.grantableCapacity(executor, now).connections - this.committedCapacity(executor.name).connections
    return Math.max(0, Math.min(own.granted.slots + spare, own.connections + available))
  }

  /** Returns the capacity that may be granted. While requests under an earlier owner's grants may run, that is only what holders carried over. */
  private grantableCapacity (executor: ExecutorLimits, now: number): ExecutorCapacity {
    if (now >= this.earlierGrantsEnd + executor.maximumRunMilliseconds) return executor
    const carriedOver = this.carriedOver.get(executor.name) ?? NO_CAPACITY
    return { slots: Math.min(executor.slots, carriedOver.slots), connections: Math.min(executor.connections, carriedOver.connections) }
  }

  private committedCapacity (executor: string): ExecutorCapacity {
    let slots = 0
    let connections = 0
    for (const state of this.holders.values()) {
      slots += state.commitments.get(executor)?.slots ?? 0
      connections += state.commitments.get(executor)?.connections ?? 0
    }
    return { slots, connections }
  }

  /** Removes commitments and holders that have expired. Connections outlast the grants until the holder reports or its process has ended, because a paused process keeps them open. */
  private removeExpired (now: number): void {
    for (const [name, state] of this.holders) {
      for (const [executor, commitment] of state.commitments) {
        if (now >= commitment.expiresAt + commitment.maximumRunMilliseconds) {
          commitment.slots = 0
          commitment.granted = NO_CAPACITY
        }
        if (commitment.slots === 0 && commitment.connections === 0 && now >= commitment.expiresAt) state.commitments.delete(executor)
      }
      if (state.commitments.size === 0 && now - state.lastReportAt > GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS) this.holders.delete(name)
    }
  }
}

function revokeSlot (commitment: Commitment | undefined): void {
  if (commitment !== undefined) commitment.granted = { ...commitment.granted, slots: Math.max(0, commitment.granted.slots - 1) }
}

function mergeOldest (unconfirmed: Array<ExecutorCapacity & { sequence: number }>): void {
  const first = unconfirmed.shift()
  const second = unconfirmed[0]
  if (first === undefined || second === undefined) return
  unconfirmed[0] = { sequence: second.sequence, slots: Math.max(first.slots, second.slots), connections: Math.max(first.connections, second.connections) }
}
