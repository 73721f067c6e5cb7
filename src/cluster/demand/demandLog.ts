import type { Logger } from '../../base/logger.js'
import type { HeadroomState } from '../urgentHeadroom.js'

/** Minimum time between two log lines while a season stays in use, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 5000

/** Logs the demand of urgent work beside what was forecast for it while it has a season, and when a season is found or given up. */
export class DemandLog {
  private loggedAt = -Infinity
  private hadSeason = false

  constructor (private readonly logger: Logger) {}

  /** Looks at the state of the acting scheduler here; undefined if there is none. `now` is the monotonic clock in milliseconds. */
  onSample (state: HeadroomState | undefined, now: number): void {
    const hasSeason = state?.periodMilliseconds !== undefined
    const hasChanged = hasSeason !== this.hadSeason
    this.hadSeason = hasSeason
    if (state === undefined || (!hasChanged && (!hasSeason || now - this.loggedAt < LOG_INTERVAL_MILLISECONDS))) return
    this.loggedAt = now
    const { demand, forecast, error, averageError, periodMilliseconds, used, reserved } = state
    const text = (value: number | undefined): string => value === undefined ? 'nothing' : String(Math.round(value))
    this.logger.info('season of urgent demand', {
      code: hasChanged ? hasSeason ? 'found' : 'givenUp' : 'inUse',
      durationMilliseconds: periodMilliseconds === undefined ? undefined : Math.round(periodMilliseconds),
      reason: `demand ${text(demand)}, ${text(forecast)} was forecast, error ${text(error)} beside ${text(averageError)} of the average, used ${text(used)}, reserved ${text(reserved)}; thousandths of a core`
    })
  }
}
