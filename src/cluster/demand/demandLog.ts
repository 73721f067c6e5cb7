import type { Logger } from '../../base/logger.js'
import type { UrgentHeadroom } from '../urgentHeadroom.js'

/** Minimum time between two log lines, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 5000

/** Logs the demand of urgent work beside what was forecast for it, while there is any. */
export class DemandLog {
  private loggedAt = -Infinity

  constructor (private readonly headroom: UrgentHeadroom, private readonly logger: Logger) {}

  /** Must be called after each sample of the demand. `now` is the monotonic clock in milliseconds. */
  onSample (now: number): void {
    if (now - this.loggedAt < LOG_INTERVAL_MILLISECONDS) return
    const { demand, forecast: { method, value, error }, reserved, periodMilliseconds } = this.headroom.state
    if (demand === 0 && value === 0) return
    this.loggedAt = now
    this.logger.info('demand of urgent work', { code: method, count: Math.round(demand), durationMilliseconds: periodMilliseconds === undefined ? undefined : Math.round(periodMilliseconds), reason: `${Math.round(value)} forecast with an error of ${Math.round(error)}, ${reserved} reserved, in thousandths of a core` })
  }
}
