import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { findEarliestClaims } from '../../../src/cluster/organisations/contestedIdentities.js'
import { encodeRecord } from '../../../src/contracts/clusterRecords.js'
import { stepJobSchema } from '../../../src/contracts/stepJob.js'

const job = stepJobSchema.parse({ specification: '', steps: [{ count: 1 }] })

interface Copy {
  readonly partition: number
  readonly organisation?: string
  readonly acceptedAt: number
}

function batchOf ({ partition, organisation, acceptedAt }: Copy): { partition: number, records: Array<{ key: string, value: Uint8Array, offset: number }> } {
  return { partition, records: [{ key: 'job', value: encodeRecord({ queue: 'q', pool: 'p', job, acceptedAt, ...(organisation === undefined ? {} : { organisation }) }), offset: acceptedAt }] }
}

/** Submissions of one identity in several partitions, and the partition of the one that must win in any order of reading; undefined if any may. */
const CASES: ReadonlyArray<{ readonly name: string, readonly copies: readonly Copy[], readonly winner: number | undefined }> = [
  { name: 'one submission', copies: [{ partition: 0, organisation: 'acme', acceptedAt: 1 }], winner: undefined },
  { name: 'retries of one organisation', copies: [{ partition: 0, organisation: 'acme', acceptedAt: 2 }, { partition: 1, organisation: 'acme', acceptedAt: 1 }], winner: undefined },
  { name: 'a later submission of another organisation', copies: [{ partition: 0, organisation: 'bolt', acceptedAt: 2 }, { partition: 1, organisation: 'acme', acceptedAt: 1 }], winner: 1 },
  { name: 'a later submission without an organisation', copies: [{ partition: 3, acceptedAt: 2 }, { partition: 1, organisation: 'acme', acceptedAt: 1 }], winner: 1 },
  { name: 'submissions of the same time', copies: [{ partition: 0, organisation: 'bolt', acceptedAt: 1 }, { partition: 1, organisation: 'acme', acceptedAt: 1 }], winner: 1 },
  { name: 'retries of both organisations', copies: [{ partition: 0, organisation: 'bolt', acceptedAt: 2 }, { partition: 1, organisation: 'acme', acceptedAt: 1 }, { partition: 2, organisation: 'bolt', acceptedAt: 3 }], winner: 1 }
]

describe('findEarliestClaims', () => {
  for (const { name, copies, winner } of CASES) {
    it(`resolves ${name}`, () => {
      for (const ordered of [copies, [...copies].reverse()]) {
        const claims = findEarliestClaims(ordered.map(batchOf))
        assert.deepEqual(claims.map(({ partition, records }) => [partition, records.length]), winner === undefined ? [] : [[winner, 1]])
      }
    })
  }

  it('leaves out copies that cannot be decoded', () => {
    const malformed = { partition: 1, records: [{ key: 'job', value: Buffer.from([255, 0, 1]), offset: 0 }] }
    assert.deepEqual(findEarliestClaims([malformed, batchOf({ partition: 0, organisation: 'acme', acceptedAt: 1 })]), [])
  })
})
