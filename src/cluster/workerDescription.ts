import type { WorkerEntry } from './workerPort.js'
import type { WorkerState } from './workerState.js'

/** Formats what is in use of the capacity of a worker. */
export function describeUse ({ entry, usedProcessors, usedMemory, usedAccelerators }: WorkerState): string {
  return `${usedProcessors}/${usedMemory}/${usedAccelerators} of ${describeCapacity(entry)} in use`
}

/** Formats the processors in thousandths, the memory in megabytes and the accelerators of a worker. */
export function describeCapacity ({ processorsThousandths, memoryMegabytes, accelerators }: WorkerEntry): string {
  return `${processorsThousandths}/${memoryMegabytes}/${accelerators}`
}
