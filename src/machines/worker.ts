import { addResources, equalResources, fitsWithin, NO_RESOURCES, subtractResources, type Resources } from '../contracts/resources.js'
import type { Attempt } from '../contracts/workerProtocol.js'

/** State of a hold. Holds in every state count against the worker's capacity. */
export type HoldState = 'starting' | 'running' | 'stopping' | 'unknown'

/** Resources that one attempt of a task holds on a worker. Times are monotonic milliseconds. */
export interface Hold {
  readonly task: string
  readonly job: string
  readonly attempt: Attempt
  readonly resources: Resources
  state: HoldState
  /** Latest time at which the attempt's lease may have been renewed. */
  renewedAt: number
  /** Time at which the worker first confirmed the attempt; a report requested later must list it. */
  confirmedAt: number | undefined
  /** Time at which the latest response to a start was lost. From then on, a refusal of a repeated start does not prove that the attempt is not running. */
  uncertainAt: number | undefined
  /** Whether the attempt is first sent a checkpoint command. It is sent a stop command if the worker does not carry that out. */
  checkpointFirst: boolean
  released: boolean
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

/** Resource accounting of one worker. `hold` never lets the sum of all holds exceed the capacity. */
export class Worker {
  private readonly holdsByTask = new Map<string, Hold>()
  private usedResources = NO_RESOURCES
  private freeResources: Resources
  leaving = false

  constructor (public description: WorkerDescription) {
    this.freeResources = description.capacity
  }

  get name (): string {
    return this.description.name
  }

  get used (): Resources {
    return this.usedResources
  }

  /** Free capacity; negative if adopted attempts or a reduced capacity exceed it. */
  get free (): Resources {
    return this.freeResources
  }

  get holds (): Iterable<Hold> {
    return this.holdsByTask.values()
  }

  get holdCount (): number {
    return this.holdsByTask.size
  }

  /** Replaces the description, such as after a change of capacity or address. The holds stay. */
  updateDescription (description: WorkerDescription): void {
    this.description = description
    this.freeResources = subtractResources(description.capacity, this.usedResources)
  }

  /** Reserves resources for an attempt. Returns undefined, and changes nothing, if they do not fit or the task already has a hold. */
  hold (task: string, job: string, attempt: Attempt, resources: Resources, now: number): Hold | undefined {
    if (this.holdsByTask.has(task) || !fitsWithin(resources, this.freeResources)) return undefined
    return this.adopt(task, job, attempt, resources, 'starting', now)
  }

  /** Adds a hold for an attempt that is already on the worker, whether or not it fits. Replaces an earlier hold of the task. */
  adopt (task: string, job: string, attempt: Attempt, resources: Resources, state: HoldState, now: number): Hold {
    this.release(task)
    const hold: Hold = { task, job, attempt, resources, state, renewedAt: now, confirmedAt: undefined, uncertainAt: undefined, checkpointFirst: false, released: false }
    this.holdsByTask.set(task, hold)
    this.setUsed(addResources(this.usedResources, resources))
    return hold
  }

  find (task: string): Hold | undefined {
    return this.holdsByTask.get(task)
  }

  /** Releases the hold of a task. Returns whether there was one. */
  release (task: string): boolean {
    const hold = this.holdsByTask.get(task)
    if (hold === undefined) return false
    hold.released = true
    this.holdsByTask.delete(task)
    this.setUsed(subtractResources(this.usedResources, hold.resources))
    return true
  }

  private setUsed (used: Resources): void {
    this.usedResources = used
    this.freeResources = subtractResources(this.description.capacity, used)
  }
}

/** Returns whether two descriptions have the same address, rack, pool and capacity. */
export function equalDescriptions (left: WorkerDescription, right: WorkerDescription): boolean {
  return left.address === right.address && left.rack === right.rack && left.pool === right.pool && equalResources(left.capacity, right.capacity)
}
