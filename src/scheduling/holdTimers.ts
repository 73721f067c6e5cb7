import FlatQueue from 'flatqueue'
import type { Hold } from '../machines/worker.js'
import type { WorkerEntry } from './workerEntry.js'

/** Length of a task's lease on its worker, in milliseconds. */
export const TASK_LEASE_MILLISECONDS = 30_000
/** Margin added when waiting for a task's lease to end, for clock drift of the worker over one lease and scheduling delay, in milliseconds. */
export const TASK_LEASE_MARGIN_MILLISECONDS = 1000
/** Interval at which a stop is repeated until the attempt has ended, in milliseconds. */
const REPEAT_STOP_MILLISECONDS = 2000

/** An attempt and the worker that holds resources for it. */
export interface HeldAttempt {
  readonly entry: WorkerEntry
  readonly hold: Hold
}

/** Lease ends, and commands to send or to repeat, ordered by time. Entries of released holds are dropped when they are due. */
export class HoldTimers {
  private readonly lapses = new FlatQueue<HeldAttempt>()
  private readonly commands = new FlatQueue<HeldAttempt>()

  /** Tracks the lease of an attempt. */
  track (entry: WorkerEntry, hold: Hold): void {
    this.lapses.push({ entry, hold }, lapseTime(hold))
  }

  /** Schedules the command that the state of the hold requires: a stop if it is stopping, a start if it is starting. */
  scheduleCommand (entry: WorkerEntry, hold: Hold, at: number): void {
    this.commands.push({ entry, hold }, at)
  }

  /** Returns the next attempt whose lease must have lapsed, or undefined. */
  takeLapsed (now: number): HeldAttempt | undefined {
    while ((this.lapses.peekValue() ?? Infinity) <= now) {
      const held = this.lapses.pop() as HeldAttempt
      if (held.hold.released) continue
      const lapsesAt = lapseTime(held.hold)
      if (lapsesAt <= now) return held
      this.lapses.push(held, lapsesAt)
    }
    return undefined
  }

  /** Returns at most `limit` attempts whose stop or start must be sent now. A stop is repeated until it has taken effect. */
  takeCommands (now: number, limit: number): HeldAttempt[] {
    const due: HeldAttempt[] = []
    while (due.length < limit && (this.commands.peekValue() ?? Infinity) <= now) {
      const held = this.commands.pop() as HeldAttempt
      const { hold } = held
      if (hold.released || (hold.state !== 'stopping' && hold.state !== 'starting')) continue
      due.push(held)
      if (hold.state === 'stopping') this.commands.push(held, now + REPEAT_STOP_MILLISECONDS)
      else hold.renewedAt = now
    }
    return due
  }
}

function lapseTime (hold: Hold): number {
  return hold.renewedAt + TASK_LEASE_MILLISECONDS + TASK_LEASE_MARGIN_MILLISECONDS
}
