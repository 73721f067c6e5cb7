import type { StepJob } from '../../contracts/stepJob.js'

/** Length of a block of the series, in milliseconds. */
export const BLOCK_MILLISECONDS = 500
/** Number of blocks that are kept; jobs of unknown age count as older than these. */
const SERIES_BLOCKS = 100

/**
 * Demand of jobs over time, from their acceptance times and estimates: the processors that they would use if they started at once. It does not depend on
 * what was placed, and can be computed again from the log. Times are milliseconds of the monotonic clock.
 */
export class DemandSeries {
  /** Demand in each block, in thousandths of a core times milliseconds. */
  private readonly blocks = new Map<number, number>()

  /** Adds the demand of a job that was accepted at a time. */
  addJob (job: StepJob, acceptedAt: number, now: number): void {
    const ends: number[] = []
    for (const step of job.steps) {
      const start = step.after.reduce((latest, earlier) => Math.max(latest, ends[earlier] ?? 0), acceptedAt)
      ends.push(start + step.estimateMilliseconds)
      if (!step.filler) this.add(step.count * step.processorsThousandths, start, step.estimateMilliseconds, now)
    }
  }

  /** Adds a demand for processors, in thousandths of a core, from a time on. */
  add (processors: number, start: number, durationMilliseconds: number, now: number): void {
    const current = blockOf(now)
    const end = Math.min(start + durationMilliseconds, (current + SERIES_BLOCKS) * BLOCK_MILLISECONDS)
    for (let block = Math.max(blockOf(start), current - SERIES_BLOCKS); block * BLOCK_MILLISECONDS < end; block += 1) {
      const overlap = Math.min(end, (block + 1) * BLOCK_MILLISECONDS) - Math.max(start, block * BLOCK_MILLISECONDS)
      if (overlap > 0) this.blocks.set(block, (this.blocks.get(block) ?? 0) + processors * overlap)
    }
  }

  /** Returns the mean demand in each complete block since the first demand, in thousandths of a core; the last value is that of the latest complete block. */
  completeBlocks (now: number): number[] {
    const current = blockOf(now)
    let first = current
    for (const block of this.blocks.keys()) {
      if (block < current - SERIES_BLOCKS) this.blocks.delete(block)
      else first = Math.min(first, block)
    }
    return Array.from({ length: current - first }, (_, index) => (this.blocks.get(first + index) ?? 0) / BLOCK_MILLISECONDS)
  }
}

/** Returns the number of the block that contains a time. */
export function blockOf (time: number): number {
  return Math.floor(time / BLOCK_MILLISECONDS)
}
