import { DisposableObject } from '../base/disposable.js'
import { CONFIGURATION_STREAM } from '../contracts/records.js'
import type { LogAppender } from '../links/logAppender.js'
import type { LogFollower } from '../links/logFollower.js'
import { isReappendDue, REAPPEND_SHARE, FALLBACK_REAPPEND_SHARE, type RecordPosition, type Retention } from '../zones/retention.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow, type EntryContext } from './entryContext.js'
import type { JobTask } from './jobTask.js'

/** The part of the ownership state that the task depends on. */
export interface OwnershipStatus {
  isOwner (): boolean
}

const DEFAULT_RETENTION_RECORDS = 20_000
const DEFAULT_RETENTION_MILLISECONDS = 86_400_000
/** Interval of the check for records that are due. At most one batch of records becomes due by age in each interval. */
export const RETENTION_CHECK_INTERVAL_MILLISECONDS = 5000
const APPEND_TIMEOUT_MILLISECONDS = 3000

/**
 * As owner of the failure domain, re-appends records before they leave the retention period: the open jobs of its stream,
 * and the configuration in force. The owner of the first failure domain by name restates the configuration; if it does
 * not, another owner does so later. Ownership needs no re-append, because each renewal restates it.
 */
export class RetentionTask extends DisposableObject {
  private readonly jobPositions = new Map<string, RecordPosition>()
  /** Position of the latest restated configuration, or the start of the stream. A publish record does not count, because an instance that starts later cannot derive the revision from it alone. */
  private configurationPosition: RecordPosition = { offset: 0, seenAt: monotonicNow() }
  private reappending = false
  private readonly appender: LogAppender

  constructor (
    private readonly context: EntryContext,
    private readonly ownership: OwnershipStatus,
    private readonly configuration: ConfigurationTask,
    private readonly jobs: JobTask,
    private readonly configurationFollower: LogFollower,
    private readonly jobFollower: LogFollower,
    createAppender: (stream: string) => LogAppender
  ) {
    super()
    this.appender = this.register(createAppender(CONFIGURATION_STREAM))
    this.register(configurationFollower.onDidReadIdentity(identity => this.appender.confirm(identity)))
    this.register(configurationFollower.onDidReadRecord(({ offset, body }) => {
      if (body.type === 'configurationRestated') this.configurationPosition = { offset, seenAt: monotonicNow() }
    }))
    this.register(jobFollower.onDidReadRecord(({ offset, body }) => {
      if (body.type === 'jobAccepted') this.jobPositions.set(body.job.identity, { offset, seenAt: monotonicNow() })
      if (body.type === 'jobEnded') this.jobPositions.delete(body.job)
    }))
    this.registerInterval(() => this.reappendDue(), RETENTION_CHECK_INTERVAL_MILLISECONDS)
  }

  /** Re-appends the records that are due. */
  async reappendDue (): Promise<void> {
    if (this.reappending || !this.ownership.isOwner() || !this.jobFollower.reachable || !this.configurationFollower.reachable) return
    this.reappending = true
    try {
      await Promise.all([this.reappendConfiguration(), this.reappendJobs()])
    } finally {
      this.reappending = false
    }
  }

  private async reappendConfiguration (): Promise<void> {
    const position = this.configurationPosition
    const restatement = this.configuration.restatement()
    if (restatement === undefined) return
    const domains = Object.keys(this.configuration.inForce?.configuration.failureDomains ?? {}).sort()
    const share = domains[0] === this.context.settings.failureDomain ? REAPPEND_SHARE : FALLBACK_REAPPEND_SHARE
    if (!isReappendDue(position, this.retentionOf(this.configurationFollower), share, monotonicNow())) return
    await this.appender.append(restatement, APPEND_TIMEOUT_MILLISECONDS)
  }

  private async reappendJobs (): Promise<void> {
    const retention = this.retentionOf(this.jobFollower)
    const now = monotonicNow()
    await Promise.all([...this.jobPositions].map(async ([job, position]) => {
      if (!isReappendDue(position, retention, REAPPEND_SHARE, now)) return
      const offset = this.jobFollower.position
      if (await this.jobs.reappend(job)) this.jobPositions.set(job, { offset, seenAt: now })
    }))
  }

  private retentionOf (follower: LogFollower): Retention {
    const { logRetentionRecords, logRetentionMilliseconds } = this.context.settings
    return { records: logRetentionRecords ?? DEFAULT_RETENTION_RECORDS, milliseconds: logRetentionMilliseconds ?? DEFAULT_RETENTION_MILLISECONDS, retainedFrom: follower.retainedFrom, position: follower.position }
  }
}
