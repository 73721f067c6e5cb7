import { build, type Histogram } from 'hdr-histogram-js'
import type { Step, Task } from '../job.js'

/** Unit of the recorded ratios: a ratio of 1 is recorded as this value. */
const RATIO_UNIT = 100
const HIGHEST_RATIO = 1000
/** Number of runs of a kind after which its distribution is replaced by a new one, so that it follows changes of the load. */
const RUNS_PER_DISTRIBUTION = 1000
/** Number of runs from which the distribution of a kind, and of workers from which that of a step, is relied upon. */
const MINIMUM_RUNS_OF_KIND = 20
const MINIMUM_WORKERS_OF_STEP = 5

/** Distribution of the ratio of run time to estimate for one kind of work. */
class KindTimes {
  private current = createHistogram()
  private former: Histogram | undefined

  record (ratio: number): void {
    if (this.current.totalCount >= RUNS_PER_DISTRIBUTION) {
      this.former = this.current
      this.current = createHistogram()
    }
    this.current.recordValue(Math.min(HIGHEST_RATIO * RATIO_UNIT, Math.max(1, Math.round(ratio * RATIO_UNIT))))
  }

  /** Returns the median ratio; undefined before enough runs have ended. */
  get median (): number | undefined {
    const histogram = this.current.totalCount >= MINIMUM_RUNS_OF_KIND ? this.current : this.former
    return histogram === undefined ? undefined : histogram.getValueAtPercentile(50) / RATIO_UNIT
  }
}

/**
 * Learns how long runs take relative to their estimates, by kind of work and by step: an error of an estimate applies to all tasks of
 * its step, while runs with a long tail differ from the others of their step. Times are those of a worker of speed 1, in milliseconds.
 */
export class RunTimes {
  private readonly kinds = new Map<string, KindTimes>()
  /** Latest ratio that each worker has shown for a step; a step whose tasks share one slow worker is not taken for a long one. */
  private readonly steps = new WeakMap<Step, Map<string, number>>()

  /** Records the run time of a task that was not resumed from a checkpoint, on a worker that is not itself in doubt. */
  recordEnd ({ step }: Task, milliseconds: number): void {
    const estimate = step.specification.estimateMilliseconds
    if (estimate <= 0 || milliseconds <= 0) return
    const ratio = milliseconds / estimate
    const kind = kindOf(step)
    let times = this.kinds.get(kind)
    if (times === undefined) this.kinds.set(kind, times = new KindTimes())
    times.record(ratio)
  }

  /** Records the run time of a task as its progress or its end on a worker shows it. */
  recordOfStep (step: Step, worker: string, milliseconds: number): void {
    const estimate = step.specification.estimateMilliseconds
    if (estimate <= 0 || milliseconds <= 0) return
    const ratios = this.steps.get(step) ?? new Map<string, number>()
    this.steps.set(step, ratios.set(worker, milliseconds / estimate))
  }

  /** Returns the expected run time of a task of the step; 0 if its job states no estimate. */
  expectedMilliseconds (step: Step): number {
    const ratios = this.steps.get(step)
    const ratio = ratios !== undefined && ratios.size >= MINIMUM_WORKERS_OF_STEP ? medianOf(ratios.values()) : this.kinds.get(kindOf(step))?.median
    return step.specification.estimateMilliseconds * (ratio ?? 1)
  }
}

/** The members of a gang take as long as the slowest of them, so that gangs are a kind of their own. */
function kindOf ({ job, specification }: Step): string {
  return specification.gang ? `${job.submission.queue}/gang` : job.submission.queue
}

function medianOf (values: Iterable<number>): number | undefined {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[sorted.length >> 1]
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, highestTrackableValue: HIGHEST_RATIO * RATIO_UNIT, numberOfSignificantValueDigits: 2 })
}
