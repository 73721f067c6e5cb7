import type { JobEntry, TaskEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Rate at which the effective limit rises to a higher target, in percent per second, so that waiting work does not start in one surge. */
const RISE_PERCENT_PER_SECOND = 1
/** Share of its full speed to which a task that cannot be checkpointed is throttled, in percent. */
export const THROTTLE_PERCENT = 50

/** Tasks to checkpoint, to throttle and to restore to full speed, and the processors that may still be started. */
export interface ThermalPlan {
  readonly checkpoint: TaskEntry[]
  readonly throttle: TaskEntry[]
  readonly restore: TaskEntry[]
  /** Processors that may still be started, in thousandths; Infinity without a limit. */
  readonly headroomThousandths: number
}

const NO_LIMIT: ThermalPlan = { checkpoint: [], throttle: [], restore: [], headroomThousandths: Infinity }

/**
 * Keeps the processors in use below the share of the workers' capacity that the operator allows while a failure domain runs hot.
 * A lower share takes effect immediately; a higher one is approached gradually.
 */
export class ThermalLimit {
  private targetPercent = 100
  private currentPercent = 100
  private advancedAt: number | undefined
  private readonly throttled = new Set<TaskEntry>()

  constructor (private readonly findTask: (task: string) => TaskEntry | undefined) {}

  /** Share of the workers' capacity that may be used at present, in percent. */
  get effectivePercent (): number {
    return this.currentPercent
  }

  setTargetPercent (percent: number): void {
    this.targetPercent = percent
  }

  plan (workers: Iterable<WorkerEntry>, now: number): ThermalPlan {
    const elapsed = now - (this.advancedAt ?? now)
    this.advancedAt = now
    this.currentPercent = Math.min(this.targetPercent, this.currentPercent + elapsed * RISE_PERCENT_PER_SECOND / 1000)
    if (this.currentPercent >= 100 && this.throttled.size === 0) return NO_LIMIT
    for (const task of this.throttled) {
      if (task.phase !== 'running') this.throttled.delete(task)
    }
    let capacity = 0
    let used = 0
    const deferrable: TaskEntry[] = []
    for (const { worker, schedulable } of workers) {
      if (schedulable) capacity += worker.description.capacity.processorsThousandths
      for (const hold of worker.holds) {
        if (hold.state === 'stopping') continue
        const task = this.findTask(hold.task)
        used += hold.resources.processorsThousandths * (task !== undefined && this.throttled.has(task) ? THROTTLE_PERCENT / 100 : 1)
        if (task?.phase === 'running' && task.job.job.urgency === 'deferrable' && task.job.job.kind !== 'service') deferrable.push(task)
      }
    }
    return this.planFor(capacity * this.currentPercent / 100 - used, deferrable)
  }

  private planFor (headroom: number, deferrable: TaskEntry[]): ThermalPlan {
    let headroomThousandths = headroom
    const checkpoint: TaskEntry[] = []
    const throttle: TaskEntry[] = []
    const restore: TaskEntry[] = []
    for (const task of deferrable.filter(({ job }) => job.job.checkpointable)) {
      if (headroomThousandths >= 0) break
      headroomThousandths += processorsOf(task)
      checkpoint.push(task)
    }
    for (const task of deferrable) {
      if (headroomThousandths >= 0) break
      if (task.job.job.checkpointable || this.throttled.has(task)) continue
      headroomThousandths += processorsOf(task) * (1 - THROTTLE_PERCENT / 100)
      this.throttled.add(task)
      throttle.push(task)
    }
    for (const task of this.throttled) {
      const needed = processorsOf(task) * (1 - THROTTLE_PERCENT / 100)
      if (throttle.length > 0 || needed > headroomThousandths) break
      headroomThousandths -= needed
      this.throttled.delete(task)
      restore.push(task)
    }
    return { checkpoint, throttle, restore, headroomThousandths: this.currentPercent >= 100 ? Infinity : headroomThousandths }
  }
}

/** Returns whether tasks of a job start even if the allowed share is used up: urgent work and services are limited only by the workers. */
export function isExemptFromThermalLimit (job: JobEntry): boolean {
  return job.job.urgency === 'urgent' || job.job.kind === 'service'
}

function processorsOf (task: TaskEntry): number {
  return task.job.job.resources.processorsThousandths
}
