import { createHmac } from 'node:crypto'
import { isValidProof } from './handshake.js'

/** Header that carries the proof of an HTTP request between instances. */
export const PEER_PROOF_HEADER = 'vanillaturn-peer-proof'
/** Longest difference of clocks plus time on the way; identities are remembered for as long, so that no proof is used twice. */
export const PROOF_VALIDITY_MILLISECONDS = 30_000

/** What a proof is bound to. */
export interface SignedRequest {
  readonly method: string
  readonly path: string
  /** Identity of the request; with a small body that is part of it, its hash. */
  readonly identity: string
  /** Instance that sends. */
  readonly from: string
}

/** Proof that the sender holds a link key. `now` is milliseconds since 1970. */
export function createPeerProof (key: string, request: SignedRequest, now: number): string {
  return `${now}.${signature(key, request, now)}`
}

/** Whether a proof was made with one of the keys, for this request and recently. */
export function isValidPeerProof (proof: string, keys: readonly string[], request: SignedRequest, now: number): boolean {
  const dot = proof.indexOf('.')
  const time = Number(proof.slice(0, dot))
  if (dot < 1 || !Number.isInteger(time) || Math.abs(now - time) > PROOF_VALIDITY_MILLISECONDS) return false
  return isValidProof(proof.slice(dot + 1), keys.map(key => signature(key, request, time)))
}

function signature (key: string, { method, path, identity, from }: SignedRequest, time: number): string {
  return createHmac('sha256', key).update(JSON.stringify(['peer', method, path, identity, from, time])).digest('base64url')
}
