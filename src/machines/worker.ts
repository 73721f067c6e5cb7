import { addResources, fitsWithin, NO_RESOURCES, subtractResources, type Resources } from '../contracts/resources.js'
import type { Attempt } from '../contracts/workerProtocol.js'

/** State of a task's resources on a worker. All of them count against its capacity. */
export type HoldState = 'starting' | 'running' | 'stopping' | 'unknown'

/** Resources that one attempt of a task holds on a worker. */
export interface Hold {
  readonly task: string
  readonly attempt: Attempt
  readonly resources: Resources
  state: HoldState
}

/** Static description of a worker. */
export interface WorkerDescription {
  readonly name: string
  readonly failureDomain: string
  readonly rack: string
  readonly pool: string
  readonly address: string
  readonly capacity: Resources
}

/** Accounting of one worker: the sum of all holds never exceeds its capacity through `hold`. */
export class Worker {
  private readonly holds = new Map<string, Hold>()
  private usedResources = NO_RESOURCES
  leaving = false

  constructor (readonly description: WorkerDescription) {}

  get name (): string {
    return this.description.name
  }

  get used (): Resources {
    return this.usedResources
  }

  get free (): Resources {
    return subtractResources(this.description.capacity, this.usedResources)
  }

  get held (): readonly Hold[] {
    return [...this.holds.values()]
  }

  /** Reserves resources for an attempt. Returns false, and changes nothing, if they do not fit or the task is held already. */
  hold (task: string, attempt: Attempt, resources: Resources): boolean {
    if (this.holds.has(task) || !fitsWithin(resources, this.free)) return false
    this.adopt(task, attempt, resources, 'starting')
    return true
  }

  /** Counts an attempt that is already on the worker, whether it fits or not. */
  adopt (task: string, attempt: Attempt, resources: Resources, state: HoldState): void {
    this.release(task)
    this.holds.set(task, { task, attempt, resources, state })
    this.usedResources = addResources(this.usedResources, resources)
  }

  find (task: string): Hold | undefined {
    return this.holds.get(task)
  }

  /** Gives back what a task holds. Returns whether it held anything. */
  release (task: string): boolean {
    const hold = this.holds.get(task)
    if (hold === undefined) return false
    this.holds.delete(task)
    this.usedResources = subtractResources(this.usedResources, hold.resources)
    return true
  }
}
