import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import createHashing from 'xxhash-wasm'
import { createPeerProof, isValidPeerProof, PROOF_VALIDITY_MILLISECONDS } from '../../src/links/peerProof.js'
import { homeFailureDomain, IdempotencyKeys, type KeyRecord } from '../../src/requests/idempotencyKeys.js'

const WINDOW = 600_000

function started (request: string, atMilliseconds = 0): KeyRecord {
  return { type: 'keyStarted', key: 'k', request, atMilliseconds }
}

function ended (request: string, body?: string): KeyRecord {
  return { type: 'keyEnded', key: 'k', request, status: 201, body, atMilliseconds: 0 }
}

function notRun (request: string): KeyRecord {
  return { type: 'keyNotRun', key: 'k', request }
}

/** Each case guards against a second run of a request with the same key, or a wrong response to a resubmission. */
const CASES: ReadonlyArray<{ readonly name: string, readonly records: readonly KeyRecord[], readonly now?: number, readonly request: string, readonly decision: string }> = [
  { name: 'an unknown key may run', records: [], request: 'a', decision: 'run' },
  { name: 'the same request may run when it is submitted again', records: [started('a')], request: 'a', decision: 'run' },
  { name: 'for another request the outcome is unknown', records: [started('a')], request: 'b', decision: 'outcomeUnknown' },
  { name: 'the first record in the log wins', records: [started('a'), started('b')], request: 'b', decision: 'outcomeUnknown' },
  { name: 'a recorded response is returned again', records: [started('a'), ended('a', 'eA==')], request: 'b', decision: 'recorded' },
  { name: 'a response without a recorded body yields alreadyRan', records: [started('a'), ended('a')], request: 'b', decision: 'alreadyRan' },
  { name: 'a request that was not run frees the key', records: [started('a'), notRun('a')], request: 'b', decision: 'run' },
  { name: 'the loser cannot free the key', records: [started('a'), started('b'), notRun('b')], request: 'c', decision: 'outcomeUnknown' },
  { name: 'the loser cannot end the key', records: [started('a'), started('b'), ended('b', 'eA==')], request: 'c', decision: 'outcomeUnknown' },
  { name: 'a request that has ended cannot be declared not run', records: [started('a'), ended('a'), notRun('a')], request: 'b', decision: 'alreadyRan' },
  { name: 'a key is kept to the end of its window', records: [started('a')], now: WINDOW - 1, request: 'b', decision: 'outcomeUnknown' },
  { name: 'a key may be used again after its window', records: [started('a'), ended('a')], now: WINDOW, request: 'b', decision: 'run' }
]

describe('IdempotencyKeys', () => {
  for (const { name, records, now, request, decision } of CASES) {
    it(name, () => {
      const keys = new IdempotencyKeys()
      for (const record of records) keys.apply(record, WINDOW)
      assert.equal(keys.decide('k', request, now ?? 1, WINDOW).kind, decision)
    })
  }

  it('a reserved key whose record is not yet read back is held for its request', () => {
    const keys = new IdempotencyKeys()
    keys.reserve('k', 'a', 0)
    assert.equal(keys.decide('k', 'b', 1, WINDOW).kind, 'outcomeUnknown')
    assert.equal(keys.decide('k', 'a', 1, WINDOW).kind, 'run')
    keys.apply(started('a'), WINDOW)
    assert.equal(keys.isHeldBy('k', 'a'), true)
  })

  it('the record of an earlier owner that is read first wins over a reservation', () => {
    const keys = new IdempotencyKeys()
    keys.reserve('k', 'b', 0)
    keys.apply(started('a'), WINDOW)
    assert.equal(keys.isHeldBy('k', 'b'), false)
    assert.notEqual(keys.decide('k', 'b', 1, WINDOW).kind, 'run')
  })

  it('bounds the recorded responses and evicts the oldest bodies first', () => {
    const keys = new IdempotencyKeys()
    const body = 'x'.repeat(1024 * 1024)
    for (let index = 0; index < 40; index += 1) {
      keys.apply({ type: 'keyStarted', key: `k${index}`, request: 'a', atMilliseconds: 0 }, WINDOW)
      keys.apply({ type: 'keyEnded', key: `k${index}`, request: 'a', status: 200, body, atMilliseconds: 0 }, WINDOW)
    }
    assert.equal(keys.decide('k0', 'b', 1, WINDOW).kind, 'alreadyRan')
    assert.equal(keys.decide('k39', 'b', 1, WINDOW).kind, 'recorded')
  })
})

describe('homeFailureDomain', () => {
  it('spreads keys, does not depend on order, and moves only the keys of a removed domain', async () => {
    const { h64 } = await createHashing()
    const hash = (text: string): bigint => h64(text)
    const counts = new Map<string, number>()
    for (let index = 0; index < 3000; index += 1) {
      const home = homeFailureDomain(`key-${index}`, ['a', 'b', 'c'], hash) as string
      counts.set(home, (counts.get(home) ?? 0) + 1)
      assert.equal(homeFailureDomain(`key-${index}`, ['c', 'a', 'b'], hash), home)
      if (home !== 'b') assert.equal(homeFailureDomain(`key-${index}`, ['a', 'c'], hash), home)
    }
    for (const count of counts.values()) assert.ok(count > 850 && count < 1150, `${count} of 3000 keys`)
  })
})

describe('peer proof', () => {
  const request = { method: 'POST', path: '/p', identity: 'r', from: 'i' }
  const proof = createPeerProof('key-one', request, 1000)
  const table: ReadonlyArray<readonly [name: string, valid: boolean]> = [
    ['the same request with either valid key', isValidPeerProof(proof, ['key-two', 'key-one'], request, 2000)],
    ['another key', !isValidPeerProof(proof, ['key-two'], request, 2000)],
    ['another path', !isValidPeerProof(proof, ['key-one'], { ...request, path: '/q' }, 2000)],
    ['another identity', !isValidPeerProof(proof, ['key-one'], { ...request, identity: 's' }, 2000)],
    ['an old proof', !isValidPeerProof(proof, ['key-one'], request, 1001 + PROOF_VALIDITY_MILLISECONDS)],
    ['a changed time', !isValidPeerProof(proof.replace('1000.', '1001.'), ['key-one'], request, 2000)],
    ['a malformed proof', !isValidPeerProof('nonsense', ['key-one'], request, 2000)]
  ]
  for (const [name, passes] of table) it(name, () => assert.ok(passes))
})
