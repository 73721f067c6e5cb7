import type { Readable } from 'node:stream'

/** Request to an executor, without hop-by-hop headers. */
export interface OutgoingRequest {
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Buffer | Readable | undefined
}
