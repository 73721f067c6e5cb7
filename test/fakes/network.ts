import { Random } from '../../src/base/random.js'
import type { PausedClock, SimulatedProcess } from './pausedClock.js'

/** Name of the platform as an endpoint. */
export const PLATFORM = 'platform'

/** Timeout of a call, and the faults that the receiver injects. */
export interface CallOptions {
  readonly timeoutMilliseconds: number
  readonly loseResponse?: boolean
  readonly extraMilliseconds?: number
  readonly signal?: AbortSignal
}

/** Connections between failure domains, processes and the platform, with delays, partitions and lost responses. */
export class Network {
  readonly random: Random
  /** Time at which each partition ended, by its pair of endpoints; Infinity while it lasts. */
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

  /** Returns the monotonic time since which the two endpoints have been connected without interruption; Infinity during a partition. */
  openSince (left: string, right: string): number {
    return this.cuts.get(pair(left, right)) ?? -Infinity
  }

  /** Returns whether a process can reach an endpoint. The process may be partitioned alone or with its failure domain. */
  reaches (from: SimulatedProcess, to: string): boolean {
    return this.isOpen(from.failureDomain, to) && this.isOpen(from.name, to)
  }

  /** Draws a one-way delay in milliseconds. */
  delayMilliseconds (): number {
    return 1 + this.random.integerBelow(4)
  }

  /** Calls an endpoint. Rejects at the timeout when the call or its response is lost; the work may have been done in that case. */
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
      const respond = (finish: () => void): void => {
        this.clock.after(this.delayMilliseconds(), () => {
          if (options.loseResponse !== true && this.reaches(from, to)) settle(finish)
        })
      }
      this.clock.after(this.delayMilliseconds() + (options.extraMilliseconds ?? 0), () => {
        if (!this.reaches(from, to)) return
        Promise.resolve().then(work).then(value => respond(() => resolve(value)), error => respond(() => reject(error)))
      })
    })
  }
}

function pair (left: string, right: string): string {
  return [left, right].sort().join('|')
}
