/** What is known of how long a stream keeps its records. */
export interface Retention {
  /** Records that the settings promise. */
  readonly records: number
  /** Time that the settings promise, in milliseconds. */
  readonly milliseconds: number
  /** First retained offset of the last read. */
  readonly retainedFrom: number
  /** Offset after the last record read. */
  readonly position: number
}

/** Where a record that must last was last seen in its stream. */
export interface RecordPosition {
  readonly offset: number
  /** Monotonic milliseconds at which this instance read it. */
  readonly seenAt: number
}

/** Shares of the retention after which the instance that is responsible, and any other owner in its place, re-appends. */
export const REAPPEND_SHARE = 0.5
export const FALLBACK_REAPPEND_SHARE = 0.75
/** Share of the time kept after which a record is re-appended; small, because a starter does not know a record's age. */
const TIME_SHARE = 0.25

/** Whether a record must be re-appended now, so that a late starter still finds it. */
export function isReappendDue (anchor: RecordPosition, retention: Retention, share: number, now: number): boolean {
  const { position, retainedFrom, records, milliseconds } = retention
  if (position - anchor.offset >= records * share) return true
  if (retainedFrom > 0 && anchor.offset < retainedFrom + (position - retainedFrom) * (1 - share)) return true
  return now - anchor.seenAt >= milliseconds * TIME_SHARE * share / REAPPEND_SHARE
}
