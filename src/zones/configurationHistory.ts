import { checkSiteText, type SiteText } from '../contracts/siteText.js'
import type { RecordBody, StoredRecord } from '../contracts/records.js'
import { formatFinding } from '../base/jsonWithComments.js'

/** A site text with its revision. Revisions count from 1 without gaps. */
export interface ConfigurationRevision {
  readonly revision: number
  readonly source: string
  readonly text: SiteText
}

/** What a publish record came to. */
export type PublishOutcome =
  | { readonly kind: 'accepted', readonly revision: number }
  | { readonly kind: 'lostRace', readonly currentRevision: number, readonly wonBy: string }
  | { readonly kind: 'invalid', readonly reason: string }
  | { readonly kind: 'undecided' }

type PublishedBody = Extract<RecordBody, { type: 'configurationPublished' }>

/**
 * Decides publish records by their order in the log. A record whose base is the decided revision
 * becomes the next revision; any other has lost. The revision in force never decreases.
 */
export class ConfigurationHistory {
  private decided = 0
  private decidedBy = ''
  private applied = 0
  private current: ConfigurationRevision | undefined
  /** First offset read without a gap while older records are gone and no restated text has closed the gap; otherwise undefined. */
  private readFrom: number | undefined
  /** Publish records that are undecided until a restated text is read. */
  private undecided: Array<StoredRecord<PublishedBody>> = []

  /** @param truncated Whether older records are gone; publish records are then undecided until a restated text is read. */
  constructor (truncated = false) {
    if (truncated) this.readFrom = 0
  }

  get inForce (): ConfigurationRevision | undefined {
    return this.current
  }

  /** Revision decided by the records read so far. */
  get decidedRevision (): number {
    return this.decided
  }

  /** Notes that records before `retainedFrom` are gone unread. */
  markTruncated (retainedFrom: number): void {
    this.readFrom = retainedFrom
    this.undecided = []
  }

  /** Returns the record that restates the text in force, or undefined while it is not known to be the decided one. */
  restatement (): Extract<RecordBody, { type: 'configurationRestated' }> | undefined {
    if (this.readFrom !== undefined || this.current === undefined || this.current.revision !== this.decided) return undefined
    return { type: 'configurationRestated', revision: this.decided, text: this.current.source, throughOffset: this.applied }
  }

  apply (record: StoredRecord): PublishOutcome {
    const { body } = record
    this.applied = Math.max(this.applied, record.offset + 1)
    if (body.type === 'configurationRestated') {
      this.applyRestated(body, record.writer)
      return { kind: 'undecided' }
    }
    if (body.type !== 'configurationPublished') return { kind: 'undecided' }
    if (this.readFrom === undefined) return this.decide(body)
    this.undecided.push({ ...record, body })
    return { kind: 'undecided' }
  }

  /** A restated text counts only for a reader with a gap, and only if nothing after it is missing. */
  private applyRestated (body: Extract<RecordBody, { type: 'configurationRestated' }>, writer: string): void {
    if (this.readFrom === undefined || body.throughOffset < this.readFrom) return
    this.decided = body.revision
    this.decidedBy = writer
    this.readFrom = undefined
    this.learn(body.revision, body.text)
    for (const record of this.undecided) if (record.offset >= body.throughOffset) this.decide(record.body)
    this.undecided = []
  }

  private decide (body: PublishedBody): PublishOutcome {
    if (body.baseRevision !== this.decided) return { kind: 'lostRace', currentRevision: this.decided, wonBy: this.decidedBy }
    const checked = checkSiteText('published text', body.text)
    if (checked.kind === 'invalid') return { kind: 'invalid', reason: checked.findings.map(formatFinding).join('; ') }
    this.decided += 1
    this.decidedBy = body.publisher
    this.putInForce({ revision: this.decided, source: body.text, text: checked.text })
    return { kind: 'accepted', revision: this.decided }
  }

  /** Takes over a revision that the log has decided and a peer relays. Returns whether it came into force. */
  learn (revision: number, source: string): boolean {
    if (revision <= (this.current?.revision ?? 0)) return false
    const checked = checkSiteText('relayed text', source)
    if (checked.kind === 'invalid') return false
    this.putInForce({ revision, source, text: checked.text })
    return true
  }

  private putInForce (next: ConfigurationRevision): void {
    if (next.revision > (this.current?.revision ?? 0)) this.current = next
  }
}
