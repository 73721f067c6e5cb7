/** Bandwidth that the acting scheduler uses for each core of processor time, in megabits per second: half a core of its work fills a link of 7 Mbit/s. */
const LINK_MEGABITS_PER_CORE = 14

/** What an instance may use. */
export interface InstanceResources {
  /** Processor time, in cores. */
  readonly processorShare: number
  /** Bandwidth of its own link, in megabits per second. */
  readonly linkMegabits: number
}

/** Work of the acting scheduler that an instance can carry, in cores: what its processor share allows, or less where its link is full before. */
export function schedulingCapacityOf ({ processorShare, linkMegabits }: InstanceResources): number {
  return Math.min(processorShare, linkMegabits / LINK_MEGABITS_PER_CORE)
}
