/** Bandwidth that the active scheduler uses for each core of processor time, in megabits per second: half a core of its work saturates a link of 7 Mbit/s. */
const LINK_MEGABITS_PER_CORE = 14

/** Resources that an instance may use. */
export interface InstanceResources {
  /** Processor time, in cores. */
  readonly processorShare: number
  /** Bandwidth of its own link, in megabits per second. */
  readonly linkMegabits: number
}

/** Returns how much work of the active scheduler an instance can handle, in cores: its processor share, or less if its link saturates first. */
export function schedulingCapacityOf ({ processorShare, linkMegabits }: InstanceResources): number {
  return Math.min(processorShare, linkMegabits / LINK_MEGABITS_PER_CORE)
}
