import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RecordBody, StoredRecord } from '../../src/contracts/records.js'
import { ConfigurationHistory } from '../../src/zones/configurationHistory.js'

function configurationSource (site: string): string {
  return JSON.stringify({ site, failureDomains: { 'zone-a': { region: 'north' } }, services: {}, executorPools: {}, workerPools: {}, teams: {} })
}

function stored (offset: number, body: RecordBody): StoredRecord {
  return { offset, identity: `record-${offset}`, writer: 'tester', logicalTime: offset, body }
}

function published (baseRevision: number, site: string): RecordBody {
  return { type: 'configurationPublished', baseRevision, text: configurationSource(site), publisher: site }
}

function restated (revision: number, site: string, throughOffset: number): RecordBody {
  return { type: 'configurationRestated', revision, text: configurationSource(site), throughOffset }
}

/** Each case guards against a lost or reverted configuration after the given records. */
const CASES: ReadonlyArray<{ readonly name: string, readonly truncated?: boolean, readonly records: readonly RecordBody[], readonly revision: number, readonly site: string | undefined }> = [
  { name: 'consecutive publishes are accepted', records: [published(0, 'one'), published(1, 'two')], revision: 2, site: 'two' },
  { name: 'the second of two concurrent publishes loses', records: [published(0, 'one'), published(0, 'two')], revision: 1, site: 'one' },
  { name: 'an invalid configuration is not accepted', records: [published(0, 'one'), { type: 'configurationPublished', baseRevision: 1, text: '{}', publisher: 'x' }], revision: 1, site: 'one' },
  { name: 'an older restatement does not revert the configuration', records: [published(0, 'one'), published(1, 'two'), { type: 'configurationRestated', revision: 1, text: configurationSource('one'), throughOffset: 1 }], revision: 2, site: 'two' },
  { name: 'after truncation a publish is undecided', truncated: true, records: [published(4, 'five')], revision: 0, site: undefined },
  { name: 'after truncation a restatement is the base', truncated: true, records: [restated(4, 'four', 0), published(4, 'five')], revision: 5, site: 'five' },
  { name: 'after truncation publishes that the restatement does not cover are decided', truncated: true, records: [published(4, 'five'), restated(4, 'four', 0)], revision: 5, site: 'five' },
  { name: 'after truncation a losing publish that the restatement covers does not win', truncated: true, records: [published(4, 'loser'), restated(4, 'four', 1), published(4, 'five')], revision: 5, site: 'five' }
]

describe('ConfigurationHistory', () => {
  for (const { name, truncated, records, revision, site } of CASES) {
    it(name, () => {
      const history = new ConfigurationHistory(truncated)
      records.forEach((body, offset) => history.apply(stored(offset, body)))
      assert.equal(history.inForce?.revision ?? 0, revision)
      assert.equal(history.inForce?.configuration.site, site)
    })
  }

  it('keeps a greater revision learned from a peer while older records are read', () => {
    const history = new ConfigurationHistory()
    assert.equal(history.learn(3, configurationSource('three')), true)
    history.apply(stored(0, published(0, 'one')))
    assert.equal(history.inForce?.revision, 3)
    assert.equal(history.learn(2, configurationSource('two')), false)
  })

  it('a reader that lags behind the retention waits for a restatement after the gap', () => {
    const history = new ConfigurationHistory()
    history.apply(stored(0, published(0, 'one')))
    history.markTruncated(5)
    history.apply(stored(5, published(1, 'loser')))
    history.apply(stored(6, restated(1, 'one', 4)))
    assert.deepEqual([history.inForce?.revision, history.restatement()], [1, undefined])
    history.apply(stored(7, restated(2, 'two', 5)))
    assert.deepEqual([history.inForce?.configuration.site, history.restatement()?.throughOffset], ['two', 8])
  })
})
