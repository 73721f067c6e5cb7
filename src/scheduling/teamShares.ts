import { addResources, NO_RESOURCES, subtractResources, type Resources } from '../contracts/resources.js'

/** Resources that the tasks of a team hold at present. */
export class TeamUsage {
  used = NO_RESOURCES

  adjust (resources: Resources, sign: 1 | -1): void {
    this.used = sign === 1 ? addResources(this.used, resources) : subtractResources(this.used, resources)
  }
}

/** Quotas of teams and their usage. A team may use more than its quota while others leave theirs unused. */
export class TeamShares {
  private readonly usages = new Map<string, TeamUsage>()
  private quotas: Readonly<Record<string, { quota: Resources }>> = {}

  setQuotas (quotas: Readonly<Record<string, { quota: Resources }>>): void {
    this.quotas = quotas
  }

  usageOf (team: string): TeamUsage {
    let usage = this.usages.get(team)
    if (usage === undefined) {
      usage = new TeamUsage()
      this.usages.set(team, usage)
    }
    return usage
  }

  /** Returns the greatest share of its quota that a team uses over the three resources; 1 is the whole quota. */
  dominantShare (team: string): number {
    const { used } = this.usageOf(team)
    const quota = this.quotas[team]?.quota ?? NO_RESOURCES
    return Math.max(share(used.processorsThousandths, quota.processorsThousandths), share(used.memoryBytes, quota.memoryBytes), share(used.accelerators, quota.accelerators))
  }
}

function share (used: number, quota: number): number {
  if (used <= 0) return 0
  return quota === 0 ? Number.MAX_VALUE : used / quota
}
