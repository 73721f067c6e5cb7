import FlatQueue from 'flatqueue'
import { URGENCY_CLASSES, urgencyRank, type Urgency } from '../contracts/siteText.js'

/** A request that waits for a slot. Times are monotonic milliseconds. */
export interface WaitingRequest {
  readonly identity: string
  readonly urgency: Urgency
  readonly deadline: number
}

/** One of this many dispatches goes to the least urgent class that waits, so that it is never starved. */
const LEAST_URGENT_SHARE = 16

/** Bounded queue ordered by urgency class, then deadline. */
export class WaitingQueue<T extends WaitingRequest> {
  private readonly classes = URGENCY_CLASSES.map(() => new FlatQueue<T>())
  private readonly members = new Set<T>()
  private dispatches = 0

  constructor (private capacity: number) {}

  get length (): number {
    return this.members.size
  }

  setCapacity (capacity: number): void {
    this.capacity = capacity
  }

  /** Number of waiting requests at least as urgent as `urgency`. */
  countAhead (urgency: Urgency): number {
    return this.classes.slice(0, urgencyRank(urgency) + 1).reduce((sum, queue) => sum + queue.length, 0)
  }

  /**
   * Adds a request. When the queue is full, the least urgent request with the latest deadline gives way
   * if it is less urgent than the new one; it is returned as evicted. Returns the request itself when it is refused.
   */
  push (request: T): T | undefined {
    if (this.members.size < this.capacity) {
      this.insert(request)
      return undefined
    }
    const evicted = this.evictLessUrgent(request.urgency)
    if (evicted === undefined) return request
    this.insert(request)
    return evicted
  }

  /** Removes a request, such as one whose caller has gone. */
  remove (request: T): void {
    this.members.delete(request)
  }

  /** Takes the next request to dispatch. */
  take (): T | undefined {
    this.dispatches += 1
    const order = this.dispatches % LEAST_URGENT_SHARE === 0 ? [...this.classes].reverse() : this.classes
    for (const queue of order) {
      const request = this.takeFrom(queue)
      if (request !== undefined) return request
    }
    return undefined
  }

  /** Removes and returns the requests whose deadline has passed. */
  takeExpired (now: number): T[] {
    const expired: T[] = []
    for (const queue of this.classes) {
      while (queue.length > 0 && (queue.peekValue() as number) <= now) {
        const request = queue.pop() as T
        if (this.members.delete(request)) expired.push(request)
      }
    }
    return expired
  }

  /** All waiting requests in no particular order. */
  all (): T[] {
    return [...this.members]
  }

  private insert (request: T): void {
    this.members.add(request)
    this.classes[urgencyRank(request.urgency)]?.push(request, request.deadline)
  }

  private takeFrom (queue: FlatQueue<T>): T | undefined {
    while (queue.length > 0) {
      const request = queue.pop() as T
      if (this.members.delete(request)) return request
    }
    return undefined
  }

  private evictLessUrgent (urgency: Urgency): T | undefined {
    let candidate: T | undefined
    for (const request of this.members) {
      if (urgencyRank(request.urgency) <= urgencyRank(urgency)) continue
      if (candidate === undefined || isLessUrgent(request, candidate)) candidate = request
    }
    if (candidate !== undefined) this.members.delete(candidate)
    return candidate
  }
}

function isLessUrgent (left: WaitingRequest, right: WaitingRequest): boolean {
  const difference = urgencyRank(left.urgency) - urgencyRank(right.urgency)
  return difference > 0 || (difference === 0 && left.deadline > right.deadline)
}
