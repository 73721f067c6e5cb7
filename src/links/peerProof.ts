import { createHmac } from 'node:crypto'
import { isValidProof } from './handshake.js'

/** Header with the proof of an HTTP request between instances. */
export const PEER_PROOF_HEADER = 'vanillaturn-peer-proof'
/** Allows for clock skew and network latency. Receivers remember request identities for at least this long, to reject replayed proofs. */
export const PROOF_VALIDITY_MILLISECONDS = 30_000

/** The fields that a proof is bound to. */
export interface SignedRequest {
  readonly method: string
  readonly path: string
  /** Identity of the request, or the hash of its body if the proof covers a small body. */
  readonly identity: string
  /** Name of the sending instance. */
  readonly from: string
}

/** Returns a proof that the sender holds a link key. `now` is in milliseconds since the Unix epoch. */
export function createPeerProof (key: string, request: SignedRequest, now: number): string {
  return `${now}.${sign(key, request, now)}`
}

/** Returns whether a proof was created recently, for this request and with one of the keys. */
export function isValidPeerProof (proof: string, keys: readonly string[], request: SignedRequest, now: number): boolean {
  const separator = proof.indexOf('.')
  const time = Number(proof.slice(0, separator))
  if (separator < 1 || !Number.isInteger(time) || Math.abs(now - time) > PROOF_VALIDITY_MILLISECONDS) return false
  return isValidProof(proof.slice(separator + 1), keys.map(key => sign(key, request, time)))
}

function sign (key: string, { method, path, identity, from }: SignedRequest, time: number): string {
  return createHmac('sha256', key).update(JSON.stringify(['peer', method, path, identity, from, time])).digest('base64url')
}
