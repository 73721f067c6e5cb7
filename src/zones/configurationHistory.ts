import { checkSiteConfiguration, type SiteConfiguration } from '../contracts/siteConfiguration.js'
import type { RecordBody, StoredRecord } from '../contracts/records.js'
import { formatFinding } from '../base/jsonWithComments.js'

/** A site configuration with its revision. Revisions count from 1 without gaps. */
export interface ConfigurationRevision {
  readonly revision: number
  readonly source: string
  readonly configuration: SiteConfiguration
}

/** Outcome of a publish record. */
export type PublishOutcome =
  | { readonly kind: 'accepted', readonly revision: number }
  | { readonly kind: 'lostRace', readonly currentRevision: number, readonly wonBy: string }
  | { readonly kind: 'invalid', readonly reason: string }
  | { readonly kind: 'undecided' }

type PublishedBody = Extract<RecordBody, { type: 'configurationPublished' }>

/**
 * Resolves concurrent publishes by the order of their records in the log (optimistic concurrency): a record whose base is
 * the decided revision becomes the next revision, any other loses. The revision in force never decreases.
 */
export class ConfigurationHistory {
  private decided = 0
  private decidedBy = ''
  private appliedEnd = 0
  private current: ConfigurationRevision | undefined
  /** First offset after a gap of truncated records that no restated configuration has closed yet; undefined if there is no gap. */
  private gapEnd: number | undefined
  /** Publish records that are undecided until a restated configuration is read. */
  private undecided: Array<StoredRecord<PublishedBody>> = []

  /** @param truncated Whether older records were truncated; publish records are then undecided until a restated configuration is read. */
  constructor (truncated = false) {
    if (truncated) this.gapEnd = 0
  }

  get inForce (): ConfigurationRevision | undefined {
    return this.current
  }

  /** Latest revision decided by the records read so far. */
  get decidedRevision (): number {
    return this.decided
  }

  /** Registers a gap in the stream: records before `retainedFrom` were truncated before they were read. */
  markTruncated (retainedFrom: number): void {
    this.gapEnd = retainedFrom
    this.undecided = []
  }

  /** Returns the record that restates the configuration in force, or undefined while that is not known to be the decided one. */
  restatement (): Extract<RecordBody, { type: 'configurationRestated' }> | undefined {
    if (this.gapEnd !== undefined || this.current === undefined || this.current.revision !== this.decided) return undefined
    return { type: 'configurationRestated', revision: this.decided, text: this.current.source, throughOffset: this.appliedEnd }
  }

  apply (record: StoredRecord): PublishOutcome {
    const { body } = record
    this.appliedEnd = Math.max(this.appliedEnd, record.offset + 1)
    if (body.type === 'configurationRestated') {
      this.applyRestated(body, record.writer)
      return { kind: 'undecided' }
    }
    if (body.type !== 'configurationPublished') return { kind: 'undecided' }
    if (this.gapEnd === undefined) return this.decide(body)
    this.undecided.push({ ...record, body })
    return { kind: 'undecided' }
  }

  /** Applies a restated configuration. It takes effect only for a reader with a gap, and only if no record after it is missing. */
  private applyRestated (body: Extract<RecordBody, { type: 'configurationRestated' }>, writer: string): void {
    if (this.gapEnd === undefined || body.throughOffset < this.gapEnd) return
    this.decided = body.revision
    this.decidedBy = writer
    this.gapEnd = undefined
    this.learn(body.revision, body.text)
    for (const record of this.undecided) if (record.offset >= body.throughOffset) this.decide(record.body)
    this.undecided = []
  }

  private decide (body: PublishedBody): PublishOutcome {
    if (body.baseRevision !== this.decided) return { kind: 'lostRace', currentRevision: this.decided, wonBy: this.decidedBy }
    const checked = checkSiteConfiguration('published text', body.text)
    if (checked.kind === 'invalid') return { kind: 'invalid', reason: checked.findings.map(formatFinding).join('; ') }
    this.decided += 1
    this.decidedBy = body.publisher
    this.activate({ revision: this.decided, source: body.text, configuration: checked.configuration })
    return { kind: 'accepted', revision: this.decided }
  }

  /** Learns a decided revision from a peer that relays it. Returns whether it came into force. */
  learn (revision: number, source: string): boolean {
    if (revision <= (this.current?.revision ?? 0)) return false
    const checked = checkSiteConfiguration('relayed text', source)
    if (checked.kind === 'invalid') return false
    this.activate({ revision, source, configuration: checked.configuration })
    return true
  }

  private activate (next: ConfigurationRevision): void {
    if (next.revision > (this.current?.revision ?? 0)) this.current = next
  }
}
