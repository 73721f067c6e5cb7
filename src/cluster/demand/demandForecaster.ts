import { evaluateSine, fitSine, type Sine } from './sineFit.js'

/** Period of the samples, in milliseconds. */
export const SAMPLE_MILLISECONDS = 100
/** Horizons of the forecasts, in samples. */
const HORIZONS = [5, 10, 20, 40, 80] as const
/** Weight of the latest sample in the moving average; the average covers the last few seconds. */
const AVERAGE_RATE = 0.03
/** Weight of the latest sample in the double exponential smoothing that yields the trend. */
const TREND_RATE = 0.15
/** Time over which a trend is extrapolated at most, in samples. */
const TREND_DAMPING_SAMPLES = 25
/** Weight of the latest sample in the mean error of a forecast; covers the last few seconds, so that a forecast that has turned wrong is dropped soon. */
const ERROR_RATE = 0.03
/** Multiple of the mean error, and share of the demand, beyond which a single error counts as no larger, so that one burst does not dominate. */
const OUTLIER_ERRORS = 3
const SMALL_ERROR_SHARE = 0.1

/** Number of samples that are averaged to one value of the series in which a season is looked for. */
const SEASON_BLOCK = 5
/** Length of that series, in blocks: a minute. */
const SEASON_BLOCKS = 120
/** Time constant of the weights of its values, in blocks. */
const SEASON_WEIGHT_BLOCKS = 60
/** Bounds of the candidate periods, in blocks, and the ratio of two that follow each other. */
const SHORTEST_PERIOD_BLOCKS = 10
const PERIOD_RATIO = 1.06
/** Period of the fits, in blocks. */
const FIT_INTERVAL_BLOCKS = 2
/** Number of periods that must have been seen before a season is used. */
const MINIMUM_PERIODS = 1.25
/** Share of the variance that a season must explain. */
const MINIMUM_EXPLAINED_SHARE = 0.6

const CANDIDATE_PERIODS: readonly number[] = Array.from({ length: 40 }, (_, index) => SHORTEST_PERIOD_BLOCKS * PERIOD_RATIO ** index)

/** How a forecast was made. `average`: the moving average goes on; `trend`: with the present trend; `season`: as in the periods before. */
export type ForecastMethod = 'average' | 'trend' | 'season'
const METHODS: readonly ForecastMethod[] = ['average', 'trend', 'season']

export interface Forecast {
  readonly method: ForecastMethod
  readonly value: number
  /** Mean absolute error of the latest forecasts by this method at this horizon. */
  readonly error: number
}

/** Compares the forecasts of one method at one horizon with what came. */
class ForecastTrack {
  error = Infinity
  private readonly pending: Array<number | undefined> = []

  constructor (private readonly horizon: number) {}

  /** Adds the forecast made now, and measures the one that was made for now. */
  observe (forecast: number | undefined, value: number): void {
    this.pending.push(forecast)
    if (this.pending.length <= this.horizon) return
    const due = this.pending.shift()
    // A method without forecasts starts anew.
    if (due === undefined) this.error = Infinity
    else if (this.error === Infinity) this.error = Math.abs(due - value)
    else this.error += ERROR_RATE * (Math.min(Math.abs(due - value), Math.max(OUTLIER_ERRORS * this.error, SMALL_ERROR_SHARE * value)) - this.error)
  }
}

/**
 * Forecasts a demand that is sampled every `SAMPLE_MILLISECONDS`. Several methods run side by side; at each horizon, the one with the smallest
 * error in the last few seconds is used, so that a wrong trend or a season that has ended is given up by itself.
 */
export class DemandForecaster {
  private average = 0
  private once = 0
  private twice = 0
  private hasDemand = false
  private blockSum = 0
  private blockCount = 0
  private readonly blocks: number[] = []
  private season: Sine | undefined
  private readonly tracks = HORIZONS.map(horizon => new Map(METHODS.map(method => [method, new ForecastTrack(horizon)])))
  private forecasts: Forecast[] = HORIZONS.map(() => ({ method: 'average', value: 0, error: 0 }))

  /** Adds a sample. */
  observe (value: number): void {
    if (!this.hasDemand && value === 0) return
    if (!this.hasDemand) {
      // Before the first demand nothing can be learned; a series that starts with zeros looks like a swing.
      this.hasDemand = true
      this.once = this.twice = value
    }
    this.average += AVERAGE_RATE * (value - this.average)
    this.once += TREND_RATE * (value - this.once)
    this.twice += TREND_RATE * (this.once - this.twice)
    this.addToBlock(value)
    this.forecasts = HORIZONS.map((horizon, index) => this.forecastAt(horizon, this.tracks[index] as Map<ForecastMethod, ForecastTrack>, value))
  }

  /** The moving average. */
  get averageDemand (): number {
    return this.average
  }

  /** The period of the season in use, in milliseconds; undefined if there is none. */
  get periodMilliseconds (): number | undefined {
    return this.season === undefined ? undefined : this.season.periodSamples * SEASON_BLOCK * SAMPLE_MILLISECONDS
  }

  /** The forecast for the nearest horizon. */
  get nearest (): Forecast {
    return this.forecasts[0] as Forecast
  }

  /** Returns the forecasts from now up to the first horizon that is not shorter than the duration, or all. */
  within (durationMilliseconds: number): readonly Forecast[] {
    const last = HORIZONS.findIndex(horizon => horizon * SAMPLE_MILLISECONDS >= durationMilliseconds)
    return last === -1 ? this.forecasts : this.forecasts.slice(0, last + 1)
  }

  private forecastAt (horizon: number, tracks: ReadonlyMap<ForecastMethod, ForecastTrack>, value: number): Forecast {
    let best: Forecast = { method: 'average', value: this.average, error: Infinity }
    for (const [method, track] of tracks) {
      const forecast = this.forecastBy(method, horizon)
      track.observe(forecast, value)
      if (forecast !== undefined && track.error < best.error) best = { method, value: Math.max(0, forecast), error: track.error }
    }
    return best.error === Infinity ? { ...best, error: 0 } : best
  }

  private forecastBy (method: ForecastMethod, horizon: number): number | undefined {
    switch (method) {
      case 'average': return this.average
      case 'trend': {
        const slope = TREND_RATE / (1 - TREND_RATE) * (this.once - this.twice)
        return 2 * this.once - this.twice + slope * TREND_DAMPING_SAMPLES * (1 - Math.exp(-horizon / TREND_DAMPING_SAMPLES))
      }
      case 'season':
        // The time of a block is the middle of its samples.
        return this.season === undefined ? undefined : evaluateSine(this.season, this.blocks.length - 0.5 + (this.blockCount + horizon) / SEASON_BLOCK)
    }
  }

  private addToBlock (value: number): void {
    this.blockSum += value
    this.blockCount += 1
    if (this.blockCount < SEASON_BLOCK) return
    this.blocks.push(this.blockSum / SEASON_BLOCK)
    this.blockSum = 0
    this.blockCount = 0
    if (this.blocks.length % FIT_INTERVAL_BLOCKS !== 0) return
    if (this.blocks.length > SEASON_BLOCKS) this.blocks.splice(0, FIT_INTERVAL_BLOCKS)
    this.fitSeason()
  }

  private fitSeason (): void {
    const count = this.blocks.length
    const periods = CANDIDATE_PERIODS.filter(period => period * MINIMUM_PERIODS <= count)
    const fitted = fitSine(this.blocks, this.blocks.map((_, index) => Math.exp((index - count) / SEASON_WEIGHT_BLOCKS)), periods)
    this.season = fitted !== undefined && fitted.explainedShare >= MINIMUM_EXPLAINED_SHARE ? fitted : undefined
  }
}
