import { addResources, equalResources, fitsWithin, NO_RESOURCES, subtractResources, type Resources } from '../contracts/resources.js'
import type { Attempt } from '../contracts/workerProtocol.js'

/** State of a task's resources on a worker. All of them count against its capacity. */
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
  /** Time at which the worker was first known to have the attempt; a report requested later must list it. */
  confirmedAt: number | undefined
  /** Time at which the latest answer to a start was lost. A refusal of a repeated start proves nothing from then on. */
  uncertainAt: number | undefined
  /** Whether the first command to stop it is a checkpoint. A worker that does not carry it out is told to stop it after that. */
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

/** Accounting of one worker: the sum of all holds never exceeds its capacity through `hold`. */
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

  /** What is left; negative where adopted attempts or a smaller capacity exceed it. */
  get free (): Resources {
    return this.freeResources
  }

  get holds (): Iterable<Hold> {
    return this.holdsByTask.values()
  }

  get holdCount (): number {
    return this.holdsByTask.size
  }

  /** Takes over a changed size or address; what is held stays held. */
  updateDescription (description: WorkerDescription): void {
    this.description = description
    this.freeResources = subtractResources(description.capacity, this.usedResources)
  }

  /** Reserves resources for an attempt. Returns undefined, and changes nothing, if they do not fit or the task is held already. */
  hold (task: string, job: string, attempt: Attempt, resources: Resources, now: number): Hold | undefined {
    if (this.holdsByTask.has(task) || !fitsWithin(resources, this.freeResources)) return undefined
    return this.adopt(task, job, attempt, resources, 'starting', now)
  }

  /** Counts an attempt that is already on the worker, whether it fits or not. */
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

  /** Gives back what a task holds. Returns whether it held anything. */
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

/** Whether two descriptions name the same address, place and capacity. */
export function equalDescriptions (left: WorkerDescription, right: WorkerDescription): boolean {
  return left.address === right.address && left.rack === right.rack && left.pool === right.pool && equalResources(left.capacity, right.capacity)
}
