import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

const NONCE_BYTES = 24

/** Identity that an entry instance proves on a link. */
export interface PeerIdentity {
  readonly instance: string
  readonly incarnation: string
  readonly failureDomain: string
}

export function createNonce (): string {
  return randomBytes(NONCE_BYTES).toString('base64')
}

/** Proof that the sender holds `key`, bound to its role, both nonces and both identities. */
export function createProof (key: string, role: 'dialer' | 'acceptor', dialerNonce: string, acceptorNonce: string, dialer: PeerIdentity, acceptor: PeerIdentity): string {
  const statement = JSON.stringify([role, dialerNonce, acceptorNonce, identityFields(dialer), identityFields(acceptor)])
  return createHmac('sha256', key).update(statement).digest('base64')
}

/** Whether the proof was made with one of the keys. */
export function isValidProof (proof: string, candidates: readonly string[]): boolean {
  const given = Buffer.from(proof)
  return candidates.some(candidate => {
    const expected = Buffer.from(candidate)
    return expected.length === given.length && timingSafeEqual(expected, given)
  })
}

function identityFields (identity: PeerIdentity): string[] {
  return [identity.instance, identity.incarnation, identity.failureDomain]
}
