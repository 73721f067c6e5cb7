/** Retention of a stream, as configured and as observed at the last read. */
export interface Retention {
  /** Number of records that the stream keeps according to the settings. */
  readonly records: number
  /** Time that the stream keeps records according to the settings, in milliseconds. */
  readonly milliseconds: number
  /** First retained offset at the last read. */
  readonly retainedFrom: number
  /** Offset after the last record read. */
  readonly position: number
}

/** Latest position of a record that must outlast the retention of its stream. */
export interface RecordPosition {
  readonly offset: number
  /** Time at which this instance read the record, in monotonic milliseconds. */
  readonly seenAt: number
}

/** Shares of the retention after which the responsible owner re-appends a record, and after which any other owner does so in its place. */
export const REAPPEND_SHARE = 0.5
export const FALLBACK_REAPPEND_SHARE = 0.75
/** Share of the retention time after which a record is re-appended; small, because an instance does not know how old a record was when it read it after its start. */
const REAPPEND_TIME_SHARE = 0.25

/** Returns whether a record must be re-appended now, so that an instance that starts later still finds it. */
export function isReappendDue (latest: RecordPosition, retention: Retention, share: number, now: number): boolean {
  const { position, retainedFrom, records, milliseconds } = retention
  if (position - latest.offset >= records * share) return true
  if (retainedFrom > 0 && latest.offset < retainedFrom + (position - retainedFrom) * (1 - share)) return true
  return now - latest.seenAt >= milliseconds * REAPPEND_TIME_SHARE * share / REAPPEND_SHARE
}
