import { build, type Histogram } from 'hdr-histogram-js'
import type { Step, Task } from '../job.js'

/** Unit of the recorded ratios: a ratio of 1 is recorded as this value. */
const RATIO_UNIT = 100
const HIGHEST_RATIO = 1000
/** Number of runs of a kind after which its distribution is replaced by a new one, so that it follows changes of the load. */
const RUNS_PER_DISTRIBUTION = 1000
/** Number of runs from which a distribution is relied upon. */
const MINIMUM_RUNS_OF_KIND = 20
const MINIMUM_RUNS_OF_STEP = 3

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
  /** Ratios of the ended runs of each step, in ascending order. */
  private readonly steps = new WeakMap<Step, number[]>()

  /** Records the run time of a task that was not resumed from a checkpoint, on a worker that is not itself in doubt. */
  recordEnd ({ step }: Task, milliseconds: number): void {
    const estimate = step.specification.estimateMilliseconds
    if (estimate <= 0 || milliseconds <= 0) return
    const ratio = milliseconds / estimate
    const kind = kindOf(step)
    let times = this.kinds.get(kind)
    if (times === undefined) this.kinds.set(kind, times = new KindTimes())
    times.record(ratio)
    const ratios = this.steps.get(step)
    if (ratios === undefined) this.steps.set(step, [ratio])
    else ratios.splice(ratios.findLastIndex(other => other <= ratio) + 1, 0, ratio)
  }

  /** Returns the expected run time of a task of the step; 0 if its job states no estimate. */
  expectedMilliseconds (step: Step): number {
    const ratios = this.steps.get(step)
    const ratio = ratios !== undefined && ratios.length >= MINIMUM_RUNS_OF_STEP ? ratios[ratios.length >> 1] : this.kinds.get(kindOf(step))?.median
    return step.specification.estimateMilliseconds * (ratio ?? 1)
  }
}

/** The members of a gang take as long as the slowest of them, so that gangs are a kind of their own. */
function kindOf ({ job, specification }: Step): string {
  return specification.gang ? `${job.submission.queue}/gang` : job.submission.queue
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, highestTrackableValue: HIGHEST_RATIO * RATIO_UNIT, numberOfSignificantValueDigits: 2 })
}
