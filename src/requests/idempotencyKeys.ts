import type { RecordBody } from '../contracts/records.js'

/** Decision about a request with an idempotency key. */
export type KeyDecision =
  /** No other request with the key has run; this one may run. `unlogged` is set while its record is not known to be in the log. */
  | { readonly kind: 'run', readonly unlogged: boolean }
  | { readonly kind: 'recorded', readonly status: number, readonly contentType?: string | undefined, readonly bodyBase64: string }
  /** A request with the key has run, but its response is not kept: it was too large, or was evicted. */
  | { readonly kind: 'alreadyRan' }
  /** A request with the key is running, or its outcome is unknown. */
  | { readonly kind: 'outcomeUnknown' }
  /** No decision can be made now; the request must not run. */
  | { readonly kind: 'unavailable' }

/** Bytes of recorded responses that are kept. Beyond it the oldest lose their body, and only the fact that they ran remains. */
const MAXIMUM_RECORDED_BYTES = 32 * 1024 * 1024

/** Log records about the idempotency keys of a failure domain. */
export type KeyRecord = Extract<RecordBody, { type: 'keyStarted' | 'keyEnded' | 'keyNotRun' }>

interface KeyEntry {
  readonly request: string
  readonly atMilliseconds: number
  end: Extract<KeyRecord, { type: 'keyEnded' }> | undefined
}

/**
 * Idempotency keys of one failure domain, replayed from the log. The first `keyStarted` record of a key wins, until a
 * `keyNotRun` record of the same request frees the key or the idempotency window has passed. Times are milliseconds since 1970.
 */
export class IdempotencyKeys {
  /** In the order of their records, oldest first. */
  private readonly entries = new Map<string, KeyEntry>()
  /** Keys whose `keyStarted` record has not been read back from the log yet. */
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
        this.removeEntry(record.key)
        this.entries.set(record.key, { request: record.request, atMilliseconds: record.atMilliseconds, end: undefined })
        return
      case 'keyEnded':
        if (entry?.request === record.request && entry.end === undefined) this.recordEnd(entry, record)
        return
      case 'keyNotRun':
        if (entry?.request === record.request && entry.end === undefined) this.removeEntry(record.key)
        if (this.reserved.get(record.key)?.request === record.request) this.reserved.delete(record.key)
    }
  }

  /** Decides about a request. Repeated calls for the same request return the same decision. A `run` decision must be followed by `reserve`. */
  decide (key: string, request: string, now: number, windowMilliseconds: number): KeyDecision {
    this.evictExpired(now, windowMilliseconds)
    const reserved = this.reserved.get(key)
    if (reserved !== undefined && reserved.request !== request) return { kind: 'outcomeUnknown' }
    const entry = this.entries.get(key)
    if (entry === undefined || (entry.request === request && entry.end === undefined)) return { kind: 'run', unlogged: true }
    if (entry.end === undefined) return { kind: 'outcomeUnknown' }
    const { status, body, contentType } = entry.end
    return body === undefined ? { kind: 'alreadyRan' } : { kind: 'recorded', status, contentType, bodyBase64: body }
  }

  /** Reserves the key for a request until its record has been read back. */
  reserve (key: string, request: string, now: number): void {
    this.reserved.set(key, { request, atMilliseconds: now })
  }

  /** Returns whether the `keyStarted` record of this request has been read back and is the first for the key. */
  isHeldBy (key: string, request: string): boolean {
    return this.entries.get(key)?.request === request
  }

  private evictExpired (now: number, windowMilliseconds: number): void {
    for (const [key, { atMilliseconds }] of this.entries) {
      if (now - atMilliseconds < windowMilliseconds) break
      this.removeEntry(key)
    }
    for (const [key, { atMilliseconds }] of this.reserved) {
      if (now - atMilliseconds < windowMilliseconds) break
      this.reserved.delete(key)
    }
  }

  private recordEnd (entry: KeyEntry, end: Extract<KeyRecord, { type: 'keyEnded' }>): void {
    entry.end = end
    this.recordedBytes += end.body?.length ?? 0
    for (const other of this.entries.values()) {
      if (this.recordedBytes <= MAXIMUM_RECORDED_BYTES) return
      if (other.end?.body === undefined) continue
      this.recordedBytes -= other.end.body.length
      other.end = { ...other.end, body: undefined }
    }
  }

  private removeEntry (key: string): void {
    this.recordedBytes -= this.entries.get(key)?.end?.body?.length ?? 0
    this.entries.delete(key)
  }
}

/** Returns the failure domain that decides about a key, by rendezvous hashing, so that removing a domain moves only its own keys. */
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
