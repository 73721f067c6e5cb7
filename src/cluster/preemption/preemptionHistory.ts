import type { Task } from '../job.js'

/** Number of preemptions after which a task is not preempted again. */
const MAXIMUM_PREEMPTIONS = 2
/** Time for which an organisation that has preempted by share is not preempted by share, in milliseconds. */
const SHARE_PAUSE_MILLISECONDS = 10_000

/** Remembers preemptions, so that tasks make progress and organisations do not take turns. */
export class PreemptionHistory {
  private readonly counts = new WeakMap<Task, number>()
  private readonly sharePreemptions = new Map<string, number>()

  record (task: Task): void {
    this.counts.set(task, this.countOf(task) + 1)
  }

  countOf (task: Task): number {
    return this.counts.get(task) ?? 0
  }

  /** Returns true if a task has been preempted too often to be preempted again. */
  isExempt (task: Task): boolean {
    return this.countOf(task) >= MAXIMUM_PREEMPTIONS
  }

  recordByShare (organisation: string, now: number): void {
    for (const [other, time] of this.sharePreemptions) {
      if (now - time >= SHARE_PAUSE_MILLISECONDS) this.sharePreemptions.delete(other)
    }
    this.sharePreemptions.set(organisation, now)
  }

  /** Returns true if an organisation has preempted by share a short time ago. */
  hasPreemptedByShare (organisation: string, now: number): boolean {
    return now - (this.sharePreemptions.get(organisation) ?? -Infinity) < SHARE_PAUSE_MILLISECONDS
  }
}
