import { checkSiteText, type SiteText } from '../contracts/siteText.js'
import type { StoredRecord } from '../contracts/records.js'
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

/**
 * Decides publish records by their order in the log. A record whose base is the decided revision
 * becomes the next revision; any other has lost. The revision in force never decreases.
 */
export class ConfigurationHistory {
  private decided = 0
  private decidedBy = ''
  private current: ConfigurationRevision | undefined

  /** @param truncated Whether older records are gone; publish records are then undecided until a restated text is read. */
  constructor (private truncated = false) {}

  get inForce (): ConfigurationRevision | undefined {
    return this.current
  }

  /** Revision decided by the records read so far. */
  get decidedRevision (): number {
    return this.decided
  }

  /** Notes that records before the first one to be read are gone. */
  markTruncated (): void {
    if (this.decided === 0) this.truncated = true
  }

  apply (record: StoredRecord): PublishOutcome {
    const { body } = record
    if (body.type === 'configurationRestated') {
      if (body.revision > this.decided) {
        this.decided = body.revision
        this.decidedBy = record.writer
      }
      this.truncated = false
      this.learn(body.revision, body.text)
      return { kind: 'undecided' }
    }
    if (body.type !== 'configurationPublished' || this.truncated) return { kind: 'undecided' }
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
