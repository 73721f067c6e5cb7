import { evaluateSine, fitSine, type Sine } from './sineFit.js'

/** Bounds of the candidate periods, in blocks, and the ratio of two that follow each other. */
const SHORTEST_PERIOD_BLOCKS = 16
const LONGEST_PERIOD_BLOCKS = 66
const PERIOD_RATIO = 1.05
/** Number of periods, and of blocks, that must have been seen before a season is used. */
const MINIMUM_PERIODS = 1.5
const MINIMUM_BLOCKS = 48
/** Share of a period at the end of the series that the validated fit has not seen. */
const VALIDATION_PERIODS = 0.5
/** Share of the variance that a season must explain. */
const MINIMUM_EXPLAINED_SHARE = 0.6
/** Amplitude of a season that is worth acting on, relative to its mean. */
const MINIMUM_RELATIVE_AMPLITUDE = 0.25
/** Weight of the latest block in the moving average that a season is compared with; the average covers the last few seconds. */
const AVERAGE_RATE = 0.14
/** Time between a forecast of the moving average and the block that it is for, in blocks. */
const AVERAGE_HORIZON_BLOCKS = 4

const CANDIDATE_PERIODS: readonly number[] = Array.from({ length: 1 + Math.floor(Math.log(LONGEST_PERIOD_BLOCKS / SHORTEST_PERIOD_BLOCKS) / Math.log(PERIOD_RATIO)) }, (_, index) => SHORTEST_PERIOD_BLOCKS * PERIOD_RATIO ** index)

/** A season of a series. */
export interface Season {
  /** Fit to the whole series; times are blocks since the start of the series. */
  readonly sine: Sine
  /** Mean absolute error of a fit to the earlier part of the series over the validation window at its end. */
  readonly error: number
  /** Mean absolute error of the moving average over the same window. */
  readonly averageError: number
}

/** Finds the season of a series of blocks; undefined if there is none or too few periods have been seen. Does not judge the errors. */
export function findSeason (blocks: readonly number[]): Season | undefined {
  if (blocks.length < MINIMUM_BLOCKS) return undefined
  const sine = fitSine(blocks, CANDIDATE_PERIODS.filter(period => period * MINIMUM_PERIODS <= blocks.length))
  if (sine === undefined || sine.explainedShare < MINIMUM_EXPLAINED_SHARE) return undefined
  if (Math.hypot(sine.cosine, sine.sine) < MINIMUM_RELATIVE_AMPLITUDE * sine.mean) return undefined
  const start = blocks.length - Math.round(VALIDATION_PERIODS * sine.periodSamples)
  const earlier = fitSine(blocks.slice(0, start), CANDIDATE_PERIODS.filter(period => period <= start))
  if (earlier === undefined) return undefined
  return { sine, error: meanError(blocks, start, time => evaluateSine(earlier, time)), averageError: meanError(blocks, start, averageForecast(blocks)) }
}

/** Returns the moving average's forecast for each block of a series. */
function averageForecast (blocks: readonly number[]): (time: number) => number {
  let average = blocks[0] as number
  const averages = blocks.map(value => (average += AVERAGE_RATE * (value - average)))
  return time => averages[Math.max(0, time - AVERAGE_HORIZON_BLOCKS)] as number
}

function meanError (blocks: readonly number[], start: number, forecast: (time: number) => number): number {
  let sum = 0
  for (let time = start; time < blocks.length; time += 1) sum += Math.abs((blocks[time] as number) - forecast(time))
  return sum / (blocks.length - start)
}
