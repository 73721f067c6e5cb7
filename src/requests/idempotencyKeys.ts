import type { RecordBody } from '../contracts/records.js'

/** What is decided about a request that carries an idempotency key. */
export type KeyDecision =
  /** No request with the key has run; this one may. `unlogged` says that its record is not known to be in the log. */
  | { readonly kind: 'run', readonly unlogged: boolean }
  | { readonly kind: 'recorded', readonly status: number, readonly contentType?: string | undefined, readonly bodyBase64: string }
  /** A request with the key has run; its answer was too large to be kept. */
  | { readonly kind: 'alreadyRan' }
  /** A request with the key is running, or its outcome is unknown. */
  | { readonly kind: 'outcomeUnknown' }
  /** Nothing can be said; the request must not run. */
  | { readonly kind: 'unavailable' }

/** Bytes of recorded answers that are kept; of the oldest answers beyond them only the fact that they ran is kept. */
const MAXIMUM_RECORDED_BYTES = 32 * 1024 * 1024

/** Records of a failure domain's keys. */
export type KeyRecord = Extract<RecordBody, { type: 'keyStarted' | 'keyEnded' | 'keyNotRun' }>

interface KeyEntry {
  readonly request: string
  readonly atMilliseconds: number
  end: Extract<KeyRecord, { type: 'keyEnded' }> | undefined
}

/**
 * Keys of one failure domain as the log orders them: the first `keyStarted` of a key wins until a `keyNotRun` of the
 * same request frees it or the window has passed. Times are milliseconds since 1970.
 */
export class IdempotencyKeys {
  /** In order of their records, so that the oldest come first. */
  private readonly entries = new Map<string, KeyEntry>()
  /** Requests whose `keyStarted` has been decided on but not read back from the log. */
  private readonly reserved = new Map<string, { readonly request: string, readonly atMilliseconds: number }>()

  private recordedBytes = 0

  get size (): number {
    return this.entries.size + this.reserved.size
  }

  /** Applies a record in log order. */
  apply (record: KeyRecord, windowMilliseconds: number): void {
    const entry = this.entries.get(record.key)
    switch (record.type) {
      case 'keyStarted':
        if (this.reserved.get(record.key)?.request === record.request) this.reserved.delete(record.key)
        if (entry !== undefined && record.atMilliseconds - entry.atMilliseconds < windowMilliseconds) return
        this.forget(record.key)
        this.entries.set(record.key, { request: record.request, atMilliseconds: record.atMilliseconds, end: undefined })
        return
      case 'keyEnded':
        if (entry?.request === record.request && entry.end === undefined) this.noteEnd(entry, record)
        return
      case 'keyNotRun':
        if (entry?.request === record.request && entry.end === undefined) this.forget(record.key)
        if (this.reserved.get(record.key)?.request === record.request) this.reserved.delete(record.key)
    }
  }

  /** Decides about a request; a request that asks again gets the same answer. `run` must be followed by `reserve`. */
  decide (key: string, request: string, now: number, windowMilliseconds: number): KeyDecision {
    this.dropOld(now, windowMilliseconds)
    const reserved = this.reserved.get(key)
    if (reserved !== undefined && reserved.request !== request) return { kind: 'outcomeUnknown' }
    const entry = this.entries.get(key)
    if (entry === undefined || (entry.request === request && entry.end === undefined)) return { kind: 'run', unlogged: true }
    if (entry.end === undefined) return { kind: 'outcomeUnknown' }
    const { status, body, contentType } = entry.end
    return body === undefined ? { kind: 'alreadyRan' } : { kind: 'recorded', status, contentType, bodyBase64: body }
  }

  /** Holds the key for a request until its record has been read back. */
  reserve (key: string, request: string, now: number): void {
    this.reserved.set(key, { request, atMilliseconds: now })
  }

  /** Whether the record of this request has been read back and won. */
  isHeldBy (key: string, request: string): boolean {
    return this.entries.get(key)?.request === request
  }

  private dropOld (now: number, windowMilliseconds: number): void {
    for (const [key, { atMilliseconds }] of this.entries) {
      if (now - atMilliseconds < windowMilliseconds) break
      this.forget(key)
    }
    for (const [key, { atMilliseconds }] of this.reserved) {
      if (now - atMilliseconds < windowMilliseconds) break
      this.reserved.delete(key)
    }
  }

  private noteEnd (entry: KeyEntry, end: Extract<KeyRecord, { type: 'keyEnded' }>): void {
    entry.end = end
    this.recordedBytes += end.body?.length ?? 0
    for (const other of this.entries.values()) {
      if (this.recordedBytes <= MAXIMUM_RECORDED_BYTES) return
      if (other.end?.body === undefined) continue
      this.recordedBytes -= other.end.body.length
      other.end = { ...other.end, body: undefined }
    }
  }

  private forget (key: string): void {
    this.recordedBytes -= this.entries.get(key)?.end?.body?.length ?? 0
    this.entries.delete(key)
  }
}

/** The failure domain that decides about a key: the one with the greatest hash, so that a removed domain moves only its own keys. */
export function homeFailureDomain (key: string, failureDomains: readonly string[], hash: (text: string) => bigint): string | undefined {
  let home: string | undefined
  let greatest = -1n
  for (const failureDomain of [...failureDomains].sort()) {
    const value = hash(`${failureDomain}\n${key}`)
    if (value <= greatest) continue
    home = failureDomain
    greatest = value
  }
  return home
}
