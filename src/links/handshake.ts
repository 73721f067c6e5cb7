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

/** Returns an HMAC that proves possession of `key`, bound to the sender's role, both nonces and both identities. */
export function createProof (key: string, role: 'dialer' | 'acceptor', dialerNonce: string, acceptorNonce: string, dialer: PeerIdentity, acceptor: PeerIdentity): string {
  const payload = JSON.stringify([role, dialerNonce, acceptorNonce, identityFields(dialer), identityFields(acceptor)])
  return createHmac('sha256', key).update(payload).digest('base64')
}

/** Returns whether the proof equals one of the candidates. Each comparison takes constant time. */
export function isValidProof (proof: string, candidates: readonly string[]): boolean {
  const actual = Buffer.from(proof)
  return candidates.some(candidate => {
    const expected = Buffer.from(candidate)
    return expected.length === actual.length && timingSafeEqual(expected, actual)
  })
}

function identityFields (identity: PeerIdentity): string[] {
  return [identity.instance, identity.incarnation, identity.failureDomain]
}
