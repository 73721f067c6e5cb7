import { Random } from '../../src/base/random.js'
import type { PausedClock, SimulatedProcess } from './pausedClock.js'

/** Name of the platform as an end of a connection. */
export const PLATFORM = 'platform'

/** Faults of a call that the receiver decides. */
export interface CallOptions {
  readonly timeoutMilliseconds: number
  readonly loseResponse?: boolean
  readonly extraMilliseconds?: number
  readonly signal?: AbortSignal
}

/** Connections between failure domains and the platform: delay, partitions and lost answers. */
export class Network {
  readonly random: Random
  private readonly cuts = new Map<string, number>()

  constructor (readonly clock: PausedClock, seed: number) {
    this.random = new Random(seed)
  }

  cut (left: string, right: string): void {
    this.cuts.set(pair(left, right), Infinity)
  }

  heal (): void {
    for (const [key, end] of this.cuts) this.cuts.set(key, Math.min(end, performance.now()))
  }

  isOpen (left: string, right: string): boolean {
    return this.cuts.get(pair(left, right)) !== Infinity
  }

  /** Monotonic time from which the two ends have been connected without a break; Infinity while cut. */
  openSince (left: string, right: string): number {
    return this.cuts.get(pair(left, right)) ?? -Infinity
  }

  /** Whether a process reaches a far end; it may be cut off alone or with its failure domain. */
  reaches (from: SimulatedProcess, to: string): boolean {
    return this.isOpen(from.failureDomain, to) && this.isOpen(from.name, to)
  }

  /** One-way delay in milliseconds. */
  delayMilliseconds (): number {
    return 1 + this.random.integerBelow(4)
  }

  /** Calls a far end. Rejects at the timeout when the call or its answer is lost; the work may then have been done. */
  async call<T> (from: SimulatedProcess, to: string, work: () => T | Promise<T>, options: CallOptions): Promise<T> {
    return await new Promise<T>((resolve, reject) => {
      const settle = (finish: () => void): void => {
        clearTimeout(timer)
        options.signal?.removeEventListener('abort', abort)
        from.deliver(finish)
      }
      const timer = this.clock.after(options.timeoutMilliseconds, () => settle(() => reject(new Error('timed out'))))
      const abort = (): void => settle(() => reject(new Error('aborted')))
      options.signal?.addEventListener('abort', abort, { once: true })
      const answer = (finish: () => void): void => {
        this.clock.after(this.delayMilliseconds(), () => {
          if (options.loseResponse !== true && this.reaches(from, to)) settle(finish)
        })
      }
      this.clock.after(this.delayMilliseconds() + (options.extraMilliseconds ?? 0), () => {
        if (!this.reaches(from, to)) return
        Promise.resolve().then(work).then(value => answer(() => resolve(value)), error => answer(() => reject(error)))
      })
    })
  }
}

function pair (left: string, right: string): string {
  return [left, right].sort().join('|')
}
