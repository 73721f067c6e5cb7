/** One record of a keyed topic. A missing value removes the key. */
export interface KeyedRecord {
  readonly key: string
  readonly value?: Uint8Array
}

export interface StoredRecord extends KeyedRecord {
  readonly offset: number
}

/** Outcome of an append. `refused` and `conflict` mean that nothing was stored; `unknown` that the records may be stored, now or later. */
export type AppendOutcome =
  | { readonly kind: 'stored', readonly end: number }
  | { readonly kind: 'refused', readonly reason: string }
  /** The partition does not end at the expected offset. */
  | { readonly kind: 'conflict', readonly end: number }
  /** A writer with a greater term has written. */
  | { readonly kind: 'fenced' }
  /** The writer's sequence number is not the next one. */
  | { readonly kind: 'outOfSequence', readonly expected: number }
  | { readonly kind: 'unknown', readonly reason: string }

/** Outcome of a read. `expired` means that the requested records are no longer retained. */
export type ReadOutcome =
  | { readonly kind: 'records', readonly records: readonly StoredRecord[], readonly next: number }
  | { readonly kind: 'expired', readonly first: number }
  | { readonly kind: 'unavailable', readonly reason: string }

/** Outcome of reading the latest record of each key. Reading on from `end` misses no record. */
export type SnapshotOutcome =
  | { readonly kind: 'snapshot', readonly records: readonly StoredRecord[], readonly end: number }
  | { readonly kind: 'unavailable', readonly reason: string }

export interface AppendOptions {
  /** Expected end of the partition; the append fails with a conflict if it ends elsewhere. */
  readonly atOffset?: number
  /** Fenced writer: retries with the same sequence number are stored once, and a lower term is refused. */
  readonly writer?: { readonly name: string, readonly term: number, readonly sequence: number }
}

/** Topics that the instances write. */
export const TOPICS = {
  leadership: 'keyed.leadership',
  submissions: 'keyed.submissions',
  progress: 'keyed.progress'
} as const

/** Keyed topics of the platform's log. No method rejects; failures are outcomes. */
export abstract class RecordLog {
  abstract append (topic: string, partition: number, records: readonly KeyedRecord[], options?: AppendOptions): Promise<AppendOutcome>
  /** Reads from an offset; waits up to `waitMilliseconds` for a record if there is none. */
  abstract read (topic: string, partition: number, from: number, waitMilliseconds: number): Promise<ReadOutcome>
  abstract snapshot (topic: string, partition: number): Promise<SnapshotOutcome>
}
