import FlatQueue from 'flatqueue'
import { URGENCY_CLASSES, urgencyRank, type Urgency } from '../contracts/siteConfiguration.js'

/** A request that waits for a slot. Times are monotonic milliseconds. */
export interface WaitingRequest {
  readonly identity: string
  readonly urgency: Urgency
  readonly deadline: number
}

/** One of this many dispatches prefers each of the less urgent classes, so that none is starved. */
export const DISPATCHES_PER_LESS_URGENT_TURN = 32
/** The heaps are rebuilt without removed requests once they hold this many times the number of waiting requests. */
const COMPACTION_FACTOR = 2
const MINIMUM_COMPACTION_LENGTH = 64

/** Requests of one urgency class, in one heap by earliest and one by latest deadline. Removed requests are skipped when they reach the top. */
class UrgencyClassQueue<T extends WaitingRequest> {
  readonly members = new Set<T>()
  private earliest = new FlatQueue<T>()
  private latest = new FlatQueue<T>()

  push (request: T): void {
    this.members.add(request)
    this.earliest.push(request, request.deadline)
    this.latest.push(request, -request.deadline)
  }

  takeEarliest (): T | undefined {
    return this.takeFrom(this.earliest)
  }

  takeLatest (): T | undefined {
    return this.takeFrom(this.latest)
  }

  /** Returns the earliest deadline; Infinity if no request waits. */
  earliestDeadline (): number {
    while (this.earliest.length > 0 && !this.members.has(this.earliest.peek() as T)) this.earliest.pop()
    return this.earliest.peekValue() ?? Infinity
  }

  remove (request: T): boolean {
    const removed = this.members.delete(request)
    if (removed) this.compact()
    return removed
  }

  private takeFrom (queue: FlatQueue<T>): T | undefined {
    while (queue.length > 0) {
      const request = queue.pop() as T
      if (this.remove(request)) return request
    }
    return undefined
  }

  private compact (): void {
    const longest = Math.max(this.earliest.length, this.latest.length)
    if (longest < MINIMUM_COMPACTION_LENGTH || longest < this.members.size * COMPACTION_FACTOR) return
    const members = [...this.members]
    this.earliest = new FlatQueue<T>()
    this.latest = new FlatQueue<T>()
    this.members.clear()
    for (const member of members) this.push(member)
  }
}

/** Bounded priority queue, ordered by urgency class, then by deadline. Operations take amortized logarithmic time. */
export class WaitingQueue<T extends WaitingRequest> {
  private readonly classes = URGENCY_CLASSES.map(() => new UrgencyClassQueue<T>())
  private dispatches = 0

  constructor (private capacity: number) {}

  get length (): number {
    return this.classes.reduce((sum, queue) => sum + queue.members.size, 0)
  }

  setCapacity (capacity: number): void {
    this.capacity = capacity
  }

  /** Returns the number of waiting requests of one class. */
  count (urgency: Urgency): number {
    return this.classes[urgencyRank(urgency)]?.members.size ?? 0
  }

  /** Returns the number of waiting requests that are at least as urgent as `urgency`. */
  countAhead (urgency: Urgency): number {
    return this.classes.slice(0, urgencyRank(urgency) + 1).reduce((sum, queue) => sum + queue.members.size, 0)
  }

  /**
   * Adds a request. If the queue is full, evicts and returns the least urgent request with the latest deadline, if that is
   * less urgent than the new one. Otherwise returns the new request itself, which is not added.
   */
  push (request: T): T | undefined {
    const rank = urgencyRank(request.urgency)
    if (this.length < this.capacity) {
      this.classes[rank]?.push(request)
      return undefined
    }
    for (let index = this.classes.length - 1; index > rank; index -= 1) {
      const evicted = this.classes[index]?.takeLatest()
      if (evicted === undefined) continue
      this.classes[rank]?.push(request)
      return evicted
    }
    return request
  }

  /** Removes a request, such as one whose caller has disconnected. */
  remove (request: T): void {
    this.classes[urgencyRank(request.urgency)]?.remove(request)
  }

  /**
   * Takes the next request to dispatch from the classes that are at least as urgent as `leastUrgent`. A less urgent class
   * whose turn it is comes first, even below that limit.
   */
  take (leastUrgent: Urgency = 'deferrable'): T | undefined {
    if (this.length === 0) return undefined
    this.dispatches += 1
    const preferred = this.classWithTurn()?.takeEarliest()
    if (preferred !== undefined) return preferred
    for (const queue of this.classes.slice(0, urgencyRank(leastUrgent) + 1)) {
      const request = queue.takeEarliest()
      if (request !== undefined) return request
    }
    this.dispatches -= 1
    return undefined
  }

  /** Removes and returns the requests whose deadline is not after `limit`. */
  takeExpired (limit: number): T[] {
    const expired: T[] = []
    for (const queue of this.classes) {
      while (queue.members.size > 0 && queue.earliestDeadline() <= limit) expired.push(queue.takeEarliest() as T)
    }
    return expired
  }

  /** Removes and returns all waiting requests. */
  takeAll (): T[] {
    return this.takeExpired(Infinity)
  }

  /** Returns the less urgent class whose turn it is, if any. */
  private classWithTurn (): UrgencyClassQueue<T> | undefined {
    const turn = this.dispatches % DISPATCHES_PER_LESS_URGENT_TURN
    if (turn === 0) return this.classes[urgencyRank('deferrable')]
    return turn === DISPATCHES_PER_LESS_URGENT_TURN / 2 ? this.classes[urgencyRank('normal')] : undefined
  }
}
