import { DisposableObject } from '../base/disposable.js'
import { CONFIGURATION_STREAM } from '../contracts/records.js'
import type { LogAppender } from '../links/logAppender.js'
import type { LogFollower } from '../links/logFollower.js'
import { isReappendDue, REAPPEND_SHARE, FALLBACK_REAPPEND_SHARE, type RecordPosition, type Retention } from '../zones/retention.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow, type EntryContext } from './entryContext.js'
import type { JobTask } from './jobTask.js'

/** What the task asks of ownership. */
export interface OwnershipStatus {
  isOwner (): boolean
}

const DEFAULT_RETENTION_RECORDS = 20_000
const DEFAULT_RETENTION_MILLISECONDS = 86_400_000
/** Period of the check for what is due; at most one batch of re-appends by time falls due in each. */
export const RETENTION_CHECK_MILLISECONDS = 5000
const APPEND_TIMEOUT_MILLISECONDS = 3000

/**
 * As owner of the failure domain, re-appends what must last before it leaves the retention period: open jobs of the own
 * stream, and the text in force. The owner of the first failure domain by name restates the text; another does so later
 * in its place. Ownership needs no re-append, because each renewal restates it.
 */
export class RetentionTask extends DisposableObject {
  private readonly jobAnchors = new Map<string, RecordPosition>()
  /** The last restated text, or the start of the stream: a publish record alone does not tell a late starter the revision. */
  private textAnchor: RecordPosition = { offset: 0, seenAt: monotonicNow() }
  private keeping = false
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
      if (body.type === 'configurationRestated') this.textAnchor = { offset, seenAt: monotonicNow() }
    }))
    this.register(jobFollower.onDidReadRecord(({ offset, body }) => {
      if (body.type === 'jobAccepted') this.jobAnchors.set(body.job.identity, { offset, seenAt: monotonicNow() })
      if (body.type === 'jobEnded') this.jobAnchors.delete(body.job)
    }))
    this.registerInterval(() => this.keep(), RETENTION_CHECK_MILLISECONDS)
  }

  /** Re-appends what is due. */
  async keep (): Promise<void> {
    if (this.keeping || !this.ownership.isOwner() || !this.jobFollower.reachable || !this.configurationFollower.reachable) return
    this.keeping = true
    try {
      await Promise.all([this.keepText(), this.keepJobs()])
    } finally {
      this.keeping = false
    }
  }

  private async keepText (): Promise<void> {
    const anchor = this.textAnchor
    const restatement = this.configuration.restatement()
    if (restatement === undefined) return
    const domains = Object.keys(this.configuration.inForce?.text.failureDomains ?? {}).sort()
    const share = domains[0] === this.context.settings.failureDomain ? REAPPEND_SHARE : FALLBACK_REAPPEND_SHARE
    if (!isReappendDue(anchor, this.retentionOf(this.configurationFollower), share, monotonicNow())) return
    await this.appender.append(restatement, APPEND_TIMEOUT_MILLISECONDS)
  }

  private async keepJobs (): Promise<void> {
    const retention = this.retentionOf(this.jobFollower)
    const now = monotonicNow()
    await Promise.all([...this.jobAnchors].map(async ([job, anchor]) => {
      if (!isReappendDue(anchor, retention, REAPPEND_SHARE, now)) return
      const offset = this.jobFollower.position
      if (await this.jobs.reappend(job)) this.jobAnchors.set(job, { offset, seenAt: now })
    }))
  }

  private retentionOf (follower: LogFollower): Retention {
    const { logRetentionRecords, logRetentionMilliseconds } = this.context.settings
    return { records: logRetentionRecords ?? DEFAULT_RETENTION_RECORDS, milliseconds: logRetentionMilliseconds ?? DEFAULT_RETENTION_MILLISECONDS, retainedFrom: follower.retainedFrom, position: follower.position }
  }
}
