import { divideProportionally } from './proportionalDivision.js'
import type { ExecutorLimits, HolderState } from './slotCommitments.js'

/** Share of its entitlement that a holder without waiting requests may lack. */
const IDLE_HYSTERESIS = 0.25

interface HolderNeed {
  readonly name: string
  readonly state: HolderState
  /** Slots of the pool that its demand entitles it to. */
  readonly entitled: number
  granted: number
  inFlight: number
  /** Requests that wait and that its granted slots do not cover. */
  unmet: number
}

/**
 * Which holders of a pool should get free slots and which should give some up. Slots stay where they are unless
 * a holder with waiting requests gains, so that shares that vary a little cause no messages and no idle slots.
 */
export class PoolBalancer {
  private readonly needs: HolderNeed[]

  constructor (private readonly executors: readonly ExecutorLimits[], live: ReadonlyArray<[string, HolderState]>) {
    const pool = executors[0]?.pool ?? ''
    const slots = executors.reduce((sum, executor) => sum + executor.slots, 0)
    const sorted = [...live].sort(([left], [right]) => left < right ? -1 : 1)
    const entitled = divideProportionally(slots, sorted.map(([, state]) => 1 + (state.demand[pool] ?? 0)), 0)
    this.needs = sorted.map(([name, state], index) => {
      let granted = 0
      let inFlight = 0
      for (const executor of executors) {
        granted += state.commitments.get(executor.name)?.granted.slots ?? 0
        inFlight += state.commitments.get(executor.name)?.inFlight ?? 0
      }
      return { name, state, entitled: entitled[index] ?? 0, granted, inFlight, unmet: (state.demand[pool] ?? 0) - Math.max(granted, inFlight) }
    })
  }

  /** Name of the holder that gets the next free slot, counted as given; holders with waiting requests come first. */
  takeRecipient (): string | undefined {
    let best: HolderNeed | undefined
    for (const need of this.needs) {
      if (best === undefined || comesBefore(need, best)) best = need
    }
    if (best === undefined) return undefined
    best.granted += 1
    best.unmet -= 1
    return best.name
  }

  /**
   * Slots to be taken from their holders for those with waiting requests; `pending` have been taken already.
   * Idle slots of holders without need come first, then slots of holders above their entitlement.
   */
  revocations (pending: number): Array<{ holder: string, executor: string }> {
    let wanted = -pending
    for (const need of this.needs) wanted += wantedBy(need)
    const revocations: Array<{ holder: string, executor: string }> = []
    while (revocations.length < wanted) {
      const donor = this.takeDonor()
      if (donor === undefined) break
      const executor = this.executorToGiveUp(donor, revocations)
      if (executor === undefined) break
      revocations.push({ holder: donor.name, executor })
    }
    return revocations
  }

  private takeDonor (): HolderNeed | undefined {
    let best: HolderNeed | undefined
    for (const need of this.needs) {
      if (need.granted - need.entitled < 1) continue
      if (best === undefined || need.granted - need.entitled > best.granted - best.entitled) best = need
    }
    if (best !== undefined) best.granted -= 1
    return best
  }

  /** The executor where the donor has the most idle slots, by its last report. */
  private executorToGiveUp (donor: HolderNeed, revocations: ReadonlyArray<{ holder: string, executor: string }>): string | undefined {
    let best: string | undefined
    let mostIdle = -Infinity
    for (const { name } of this.executors) {
      const commitment = donor.state.commitments.get(name)
      const taken = revocations.filter(revocation => revocation.holder === donor.name && revocation.executor === name).length
      if (commitment === undefined || commitment.granted.slots - taken <= 0) continue
      const idle = commitment.granted.slots - taken - commitment.inFlight
      if (idle <= mostIdle) continue
      best = name
      mostIdle = idle
    }
    return best
  }
}

/** What its waiting requests need; without any, a holder far below its entitlement is raised to it, for requests to come. */
function wantedBy (need: HolderNeed): number {
  const missing = Math.max(0, need.entitled - need.granted)
  if (need.unmet > 0) return Math.min(need.unmet, missing)
  return missing >= Math.max(2, need.entitled * IDLE_HYSTERESIS) ? missing : 0
}

function comesBefore (left: HolderNeed, right: HolderNeed): boolean {
  const leftWaits = left.unmet > 0
  const rightWaits = right.unmet > 0
  if (leftWaits !== rightWaits) return leftWaits
  return left.entitled - left.granted > right.entitled - right.granted
}
