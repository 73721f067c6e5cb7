import type { Readable } from 'node:stream'

/** A request as it goes to an executor: hop-by-hop headers are removed. */
export interface OutgoingRequest {
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Buffer | Readable | undefined
}
