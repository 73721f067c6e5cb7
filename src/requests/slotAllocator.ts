import type { LinkMessageOf, SlotGrant } from '../contracts/linkMessages.js'

/** Limits of one executor as the site text states them. */
export interface ExecutorLimits {
  readonly name: string
  readonly pool: string
  readonly slots: number
  readonly connections: number
  /** Longest time a request can run on the executor, in milliseconds. */
  readonly maximumRunMilliseconds: number
}

/** How long a grant is valid, measured by its holder from before it sent the report that the grant answers. */
export const GRANT_VALID_MILLISECONDS = 10_000
/** Added by the owner when it waits for a grant to end. */
const GRANT_DRIFT_MARGIN_MILLISECONDS = 500

interface Commitment {
  /** Slots that the holder may be using. */
  slots: number
  granted: number
  expiresAt: number
}

interface HolderState {
  readonly commitments: Map<string, Commitment>
  demand: Readonly<Record<string, number>>
  lastReportAt: number
  lastSequence: number
}

/**
 * The owner's division of executor slots among the entry instances of its failure domain.
 * The sum of what holders may be using never exceeds an executor's slots. Times are monotonic milliseconds.
 */
export class SlotAllocator {
  private readonly holders = new Map<string, HolderState>()
  private executors = new Map<string, ExecutorLimits>()
  private sequence = 0

  /** @param unknownHoldersUntilGrantEnd Time from which grants of an earlier owner have ended; -Infinity if there was none. */
  constructor (private readonly earlierGrantsEnd: number) {}

  setExecutors (executors: readonly ExecutorLimits[]): void {
    this.executors = new Map(executors.map(executor => [executor.name, executor]))
  }

  /** Handles a holder's report and returns its new grants. `holder` differs between incarnations. */
  onReport (holder: string, report: Pick<LinkMessageOf<'slotReport'>, 'appliedGrant' | 'demand' | 'uses'>, now: number): { sequence: number, grants: SlotGrant[] } {
    const state = this.holders.get(holder) ?? { commitments: new Map<string, Commitment>(), demand: {}, lastReportAt: now, lastSequence: -1 }
    this.holders.set(holder, state)
    state.demand = report.demand
    state.lastReportAt = now
    const acknowledged = report.appliedGrant === state.lastSequence
    for (const use of report.uses) this.noteUse(state, use.executor, use.held, use.inFlight, acknowledged, now)
    this.dropEnded(now)
    return this.grantTo(holder, state, now)
  }

  /** Forgets a holder that has returned all its grants on a planned stop. */
  onReturned (holder: string): void {
    this.holders.delete(holder)
  }

  /** Slots of an executor that holders may be using at `now`. */
  committedSlots (executor: string, now: number): number {
    this.dropEnded(now)
    let sum = 0
    for (const state of this.holders.values()) sum += state.commitments.get(executor)?.slots ?? 0
    return sum
  }

  private noteUse (state: HolderState, executor: string, held: number, inFlight: number, acknowledged: boolean, now: number): void {
    const commitment = state.commitments.get(executor)
    if (commitment === undefined) {
      state.commitments.set(executor, { slots: Math.max(held, inFlight), granted: held, expiresAt: now + GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS })
      return
    }
    commitment.slots = acknowledged ? Math.max(commitment.granted, inFlight) : Math.max(commitment.slots, held, inFlight)
  }

  private grantTo (holder: string, state: HolderState, now: number): { sequence: number, grants: SlotGrant[] } {
    this.sequence += 1
    state.lastSequence = this.sequence
    const grants: SlotGrant[] = []
    for (const executor of this.executors.values()) {
      const commitment = state.commitments.get(executor.name) ?? { slots: 0, granted: 0, expiresAt: now }
      const slots = Math.min(this.share(executor, holder), commitment.slots + this.available(executor, now))
      commitment.slots = Math.max(commitment.slots, slots)
      commitment.granted = slots
      commitment.expiresAt = now + GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS
      state.commitments.set(executor.name, commitment)
      grants.push({ executor: executor.name, slots, connections: Math.max(slots, Math.floor(executor.connections / Math.max(1, this.holders.size))) })
    }
    return { sequence: this.sequence, grants }
  }

  /** Slots that nobody may be using. While an earlier owner's grants may be valid, slots that no holder has reported are not available. */
  private available (executor: ExecutorLimits, now: number): number {
    if (now < this.earlierGrantsEnd + executor.maximumRunMilliseconds) return 0
    return executor.slots - this.committedSlots(executor.name, now)
  }

  /** The holder's share of an executor by reported demand, by largest remainder; the shares add up to the slots. */
  private share (executor: ExecutorLimits, holder: string): number {
    const names = [...this.holders.keys()].sort()
    const weights = names.map(name => 1 + (this.holders.get(name)?.demand[executor.pool] ?? 0))
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    const exact = weights.map(weight => executor.slots * weight / total)
    const shares = exact.map(Math.floor)
    const order = exact.map((value, index) => ({ index, remainder: value - Math.floor(value) })).sort((left, right) => right.remainder - left.remainder || left.index - right.index)
    const offset = hashOf(executor.name) % names.length
    let left = executor.slots - shares.reduce((sum, value) => sum + value, 0)
    for (let step = 0; left > 0; step += 1) {
      const { index } = order[(step + offset) % order.length] as { index: number }
      shares[index] = (shares[index] ?? 0) + 1
      left -= 1
    }
    return shares[names.indexOf(holder)] ?? 0
  }

  private dropEnded (now: number): void {
    for (const [name, state] of this.holders) {
      for (const [executor, commitment] of state.commitments) {
        const maximumRun = this.executors.get(executor)?.maximumRunMilliseconds ?? 0
        if (now >= commitment.expiresAt + maximumRun) state.commitments.delete(executor)
      }
      if (state.commitments.size === 0 && now - state.lastReportAt > GRANT_VALID_MILLISECONDS) this.holders.delete(name)
    }
  }
}

function hashOf (text: string): number {
  let hash = 0
  for (let index = 0; index < text.length; index += 1) hash = (hash * 31 + text.charCodeAt(index)) >>> 0
  return hash
}
