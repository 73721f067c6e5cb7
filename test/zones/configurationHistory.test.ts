import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RecordBody, StoredRecord } from '../../src/contracts/records.js'
import { ConfigurationHistory } from '../../src/zones/configurationHistory.js'

function text (site: string): string {
  return JSON.stringify({ site, failureDomains: { 'zone-a': { region: 'north' } }, services: {}, executorPools: {}, workerPools: {}, teams: {} })
}

function stored (offset: number, body: RecordBody): StoredRecord {
  return { offset, identity: `record-${offset}`, writer: 'tester', logicalTime: offset, body }
}

function published (baseRevision: number, site: string): RecordBody {
  return { type: 'configurationPublished', baseRevision, text: text(site), publisher: site }
}

/** Each case guards against a lost or reverted configuration after the given records. */
const CASES: ReadonlyArray<{ readonly name: string, readonly truncated?: boolean, readonly records: readonly RecordBody[], readonly revision: number, readonly site: string | undefined }> = [
  { name: 'publishes in sequence', records: [published(0, 'one'), published(1, 'two')], revision: 2, site: 'two' },
  { name: 'the second of two racing publishes loses', records: [published(0, 'one'), published(0, 'two')], revision: 1, site: 'one' },
  { name: 'an invalid text is not accepted', records: [published(0, 'one'), { type: 'configurationPublished', baseRevision: 1, text: '{}', publisher: 'x' }], revision: 1, site: 'one' },
  { name: 'an older restatement does not revert', records: [published(0, 'one'), published(1, 'two'), { type: 'configurationRestated', revision: 1, text: text('one') }], revision: 2, site: 'two' },
  { name: 'after truncation a publish is undecided', truncated: true, records: [published(4, 'five')], revision: 0, site: undefined },
  { name: 'after truncation a restatement is the base', truncated: true, records: [{ type: 'configurationRestated', revision: 4, text: text('four') }, published(4, 'five')], revision: 5, site: 'five' }
]

describe('ConfigurationHistory', () => {
  for (const { name, truncated, records, revision, site } of CASES) {
    it(name, () => {
      const history = new ConfigurationHistory(truncated)
      records.forEach((body, offset) => history.apply(stored(offset, body)))
      assert.equal(history.inForce?.revision ?? 0, revision)
      assert.equal(history.inForce?.text.site, site)
    })
  }

  it('keeps a greater revision learned from a peer while older records are read', () => {
    const history = new ConfigurationHistory()
    assert.equal(history.learn(3, text('three')), true)
    history.apply(stored(0, published(0, 'one')))
    assert.equal(history.inForce?.revision, 3)
    assert.equal(history.learn(2, text('two')), false)
  })
})
