import type { Logger } from '../../base/logger.js'
import type { ClusterMetrics } from '../clusterMetrics.js'

/** Maximum number of log lines within `PERIOD_MILLISECONDS`. */
const MAXIMUM_LINES = 20
const PERIOD_MILLISECONDS = 1000

/** Reports refused submissions in the metrics and, up to a bounded rate, one by one in the log. */
export class RefusalLog {
  private periodStartedAt = -Infinity
  private lines = 0

  constructor (private readonly logger: Logger, private readonly metrics: Pick<ClusterMetrics, 'submissionRefused'>, private readonly now: () => number) {}

  /** `cause`: a short code that the metrics count; `reason`: the text for the caller. */
  report (job: string, organisation: string, cause: string, reason: string, returnMilliseconds: number): void {
    this.metrics.submissionRefused(organisation, cause)
    const now = this.now()
    if (now - this.periodStartedAt >= PERIOD_MILLISECONDS) {
      if (this.lines > MAXIMUM_LINES) this.logger.info('jobs refused without a line of their own', { count: this.lines - MAXIMUM_LINES })
      this.periodStartedAt = now
      this.lines = 0
    }
    this.lines += 1
    if (this.lines <= MAXIMUM_LINES) this.logger.info('job refused', { job, code: cause, reason, durationMilliseconds: Math.round(returnMilliseconds) })
  }
}
