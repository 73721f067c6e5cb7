import { divideProportionally } from './proportionalDivision.js'
import type { ExecutorLimits, HolderState } from './slotCommitments.js'

/** Fraction of its entitlement that a holder without waiting requests may lack before slots are moved to it. */
const IDLE_HYSTERESIS = 0.25

interface HolderShare {
  readonly name: string
  readonly state: HolderState
  /** Slots of the pool that the holder is entitled to by its demand. */
  readonly entitled: number
  granted: number
  inFlight: number
  /** Demand that its slots do not cover. */
  unmet: number
}

/**
 * Balances the slots of one pool among its holders by demand: selects the holders that get free slots, and the slots to be
 * revoked. Slots are revoked only for holders with waiting requests or far below their entitlement, so that small
 * variations of demand cause no messages and no idle slots.
 */
export class PoolBalancer {
  private readonly shares: HolderShare[]

  constructor (private readonly executors: readonly ExecutorLimits[], live: ReadonlyArray<[string, HolderState]>) {
    const pool = executors[0]?.pool ?? ''
    const slots = executors.reduce((sum, executor) => sum + executor.slots, 0)
    const sorted = [...live].sort(([left], [right]) => left < right ? -1 : 1)
    const entitled = divideProportionally(slots, sorted.map(([, state]) => 1 + (state.demand[pool] ?? 0)), 0)
    this.shares = sorted.map(([name, state], index) => {
      let granted = 0
      let inFlight = 0
      for (const executor of executors) {
        granted += state.commitments.get(executor.name)?.granted.slots ?? 0
        inFlight += state.commitments.get(executor.name)?.inFlight ?? 0
      }
      return { name, state, entitled: entitled[index] ?? 0, granted, inFlight, unmet: (state.demand[pool] ?? 0) - Math.max(granted, inFlight) }
    })
  }

  /** Returns the name of the holder that gets the next free slot and counts the slot as granted. Holders with waiting requests come first. */
  takeRecipient (): string | undefined {
    let best: HolderShare | undefined
    for (const share of this.shares) {
      if (best === undefined || hasPrecedence(share, best)) best = share
    }
    if (best === undefined) return undefined
    best.granted += 1
    best.unmet -= 1
    return best.name
  }

  /**
   * Returns the slots to revoke for holders that need more, less the `pending` ones, which have been revoked already. The
   * holder with the greatest surplus over its entitlement loses a slot first, on the executor where it has the most idle.
   */
  revocations (pending: number): Array<{ holder: string, executor: string }> {
    let shortfall = -pending
    for (const share of this.shares) shortfall += shortfallOf(share)
    const revocations: Array<{ holder: string, executor: string }> = []
    while (revocations.length < shortfall) {
      const donor = this.takeDonor()
      if (donor === undefined) break
      const executor = this.executorToRevokeFrom(donor, revocations)
      if (executor === undefined) break
      revocations.push({ holder: donor.name, executor })
    }
    return revocations
  }

  private takeDonor (): HolderShare | undefined {
    let best: HolderShare | undefined
    for (const share of this.shares) {
      if (share.granted - share.entitled < 1) continue
      if (best === undefined || share.granted - share.entitled > best.granted - best.entitled) best = share
    }
    if (best !== undefined) best.granted -= 1
    return best
  }

  /** Returns the executor on which the donor has the most idle slots according to its last report. */
  private executorToRevokeFrom (donor: HolderShare, revocations: ReadonlyArray<{ holder: string, executor: string }>): string | undefined {
    let best: string | undefined
    let mostIdle = -Infinity
    for (const { name } of this.executors) {
      const commitment = donor.state.commitments.get(name)
      const revoked = revocations.filter(revocation => revocation.holder === donor.name && revocation.executor === name).length
      if (commitment === undefined || commitment.granted.slots - revoked <= 0) continue
      const idle = commitment.granted.slots - revoked - commitment.inFlight
      if (idle <= mostIdle) continue
      best = name
      mostIdle = idle
    }
    return best
  }
}

/** Returns how many more slots a holder should get. A holder without waiting requests is raised to its entitlement only if it is far below it, so that it has slots for later requests. */
function shortfallOf (share: HolderShare): number {
  const missing = Math.max(0, share.entitled - share.granted)
  if (share.unmet > 0) return Math.min(share.unmet, missing)
  return missing >= Math.max(2, share.entitled * IDLE_HYSTERESIS) ? missing : 0
}

function hasPrecedence (left: HolderShare, right: HolderShare): boolean {
  const leftWaits = left.unmet > 0
  const rightWaits = right.unmet > 0
  if (leftWaits !== rightWaits) return leftWaits
  return left.entitled - left.granted > right.entitled - right.granted
}
