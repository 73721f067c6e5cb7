import { BLOCK_MILLISECONDS, blockOf, DemandSeries } from './demandSeries.js'
import { findSeason, type Season } from './season.js'
import { evaluateSine } from './sineFit.js'

/** Number of blocks from one search for a season to the next. */
const SEARCH_BLOCKS = 2
/** Ratio of the error of a season to that of the moving average up to which it is evidence, and up to which a season in use stays in use. */
const MAXIMUM_ERROR_RATIO = 0.6
const MAXIMUM_ERROR_RATIO_IN_USE = 0.9
/** Numbers of blocks before the end of the series at which a season must have been evident as well before it is used. */
const EARLIER_EVIDENCE_BLOCKS = [2, 4]
/** Longest time ahead for which demand is forecast, in blocks. */
const HORIZON_BLOCKS = 8
/**
 * Ratio of the margin to the mean error of the forecast. Urgent work earns about three times what other work earns in the same processor time, so the
 * demand should exceed the forecast in one of four moments; for a normal distribution, that is 0.67 standard deviations or 0.85 mean errors.
 */
const MARGIN_ERRORS = 0.85
/** Weight of the latest sample in the averages of use and demand. */
const AVERAGE_RATE = 0.03
/** Bounds of the ratio of use to demand: estimates and speeds are off, and not all demand is served. */
const MINIMUM_USE_RATIO = 0.5
const MAXIMUM_USE_RATIO = 2

/** What was forecast beside what came, in thousandths of a core. */
export interface ForecastState {
  /** Demand in the latest complete block. */
  readonly demand: number
  /** What a season forecast for that block, at the longest horizon; undefined if there was none. */
  readonly forecast: number | undefined
  /** Mean absolute error of the season in use, and that of the moving average; undefined without a season. */
  readonly error: number | undefined
  readonly averageError: number | undefined
  readonly periodMilliseconds: number | undefined
}

interface DatedSeason extends Season {
  /** Number of the block at which the times of the season start. */
  readonly startBlock: number
}

/** Forecasts the use of processors by urgent work where its demand has a season. Times are milliseconds of the monotonic clock. */
export class DemandForecast {
  readonly series = new DemandSeries()
  private season: DatedSeason | undefined
  private latestBlock: number | undefined
  private averageUse = 0
  private averageDemand = 0
  private demand = 0
  /** Forecasts that were made for blocks to come. */
  private readonly made = new Map<number, number>()
  private forecast: number | undefined
  /** Highest use to be expected within each number of blocks from the latest sample on; empty without a season. */
  private peaks: number[] = []

  /** Samples the processors that urgent work uses, in thousandths of a core; must be called every 100 ms. */
  observe (used: number, now: number): void {
    const block = blockOf(now)
    if (block !== this.latestBlock) this.onBlock(block, now)
    this.averageUse += AVERAGE_RATE * (used - this.averageUse)
    this.averageDemand += AVERAGE_RATE * (this.demand - this.averageDemand)
    this.peaks = this.season === undefined ? [] : this.computePeaks(this.season, now)
  }

  /** Returns the highest use to be expected from the latest sample on for a duration, with a margin, in thousandths of a core; undefined while there is no season. */
  peakWithin (durationMilliseconds: number): number | undefined {
    return this.peaks[Math.min(HORIZON_BLOCKS, Math.ceil(durationMilliseconds / BLOCK_MILLISECONDS))]
  }

  get hasSeason (): boolean {
    return this.season !== undefined
  }

  get state (): ForecastState {
    const { demand, forecast, season } = this
    return { demand, forecast, error: season?.error, averageError: season?.averageError, periodMilliseconds: season === undefined ? undefined : season.sine.periodSamples * BLOCK_MILLISECONDS }
  }

  private onBlock (block: number, now: number): void {
    const blocks = this.series.completeBlocks(now)
    const isPaused = this.latestBlock !== undefined && block - this.latestBlock > SEARCH_BLOCKS
    this.latestBlock = block
    this.demand = blocks.at(-1) ?? 0
    this.forecast = this.made.get(block - 1)
    for (const made of this.made.keys()) {
      if (made < block) this.made.delete(made)
    }
    // Blocks of a time in which nothing was read are not known yet.
    if (isPaused) this.season = undefined
    if (block % SEARCH_BLOCKS === 0) this.search(blocks, block)
    if (this.season === undefined) return
    const ahead = block + HORIZON_BLOCKS
    this.made.set(ahead, this.evaluate(this.season, (ahead + 0.5) * BLOCK_MILLISECONDS))
  }

  private search (blocks: readonly number[], block: number): void {
    const found = findSeason(blocks)
    const isUsed = isEvident(found, this.season === undefined ? MAXIMUM_ERROR_RATIO : MAXIMUM_ERROR_RATIO_IN_USE) &&
      (this.season !== undefined || EARLIER_EVIDENCE_BLOCKS.every(count => isEvident(findSeason(blocks.slice(0, -count)), MAXIMUM_ERROR_RATIO)))
    this.season = found !== undefined && isUsed ? { ...found, startBlock: block - blocks.length } : undefined
  }

  private computePeaks (season: DatedSeason, now: number): number[] {
    let peak = 0
    return Array.from({ length: HORIZON_BLOCKS + 1 }, (_, ahead) => {
      peak = Math.max(peak, this.evaluate(season, now + ahead * BLOCK_MILLISECONDS))
      return this.useRatio * (peak + MARGIN_ERRORS * season.error)
    })
  }

  private evaluate ({ sine, startBlock }: DatedSeason, time: number): number {
    // The time of a block is its middle.
    return Math.max(0, evaluateSine(sine, time / BLOCK_MILLISECONDS - startBlock - 0.5))
  }

  private get useRatio (): number {
    if (this.averageDemand === 0) return 1
    return Math.min(MAXIMUM_USE_RATIO, Math.max(MINIMUM_USE_RATIO, this.averageUse / this.averageDemand))
  }
}

function isEvident (season: Season | undefined, maximumRatio: number): boolean {
  return season !== undefined && season.error <= maximumRatio * season.averageError
}
