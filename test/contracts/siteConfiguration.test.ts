import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatFinding } from '../../src/base/jsonWithComments.js'
import { checkSiteConfiguration } from '../../src/contracts/siteConfiguration.js'

const VALID = {
  site: 'test',
  failureDomains: { 'zone-a': { region: 'north' } },
  services: {
    order: { urgency: 'urgent', dependsOn: ['lookup'], executorPool: 'pool', idempotent: false, deadlineMilliseconds: 1000, maximumRunMilliseconds: 1000 },
    lookup: { urgency: 'normal', executorPool: 'pool', idempotent: true, deadlineMilliseconds: 1000, maximumRunMilliseconds: 1000 }
  },
  executorPools: { pool: { slots: 8, connections: 60, executors: { 'zone-a': 2 } } },
  workerPools: { general: { processorsThousandths: 16000, memoryBytes: 64, workersPerRack: 8, workers: { 'zone-a': 2 } } },
  teams: { one: { quota: { processorsThousandths: 32000, memoryBytes: 128 } } }
}

type Mutable = Record<string, Record<string, Record<string, unknown>>>

/** Each case guards against an invalid configuration that is accepted, or reported without its position. */
const CASES: ReadonlyArray<{ readonly name: string, readonly change: (configuration: Mutable) => void, readonly expected: RegExp | undefined }> = [
  { name: 'a valid configuration', change: () => {}, expected: undefined },
  { name: 'an unknown key', change: configuration => { configuration.services!.order!.colour = 1 }, expected: /^text:18:7: services\.order\.colour: unknown key/ },
  { name: 'an unknown dependency', change: configuration => { configuration.services!.order!.dependsOn = ['missing'] }, expected: /services\.order\.dependsOn\.0: unknown service 'missing'/ },
  { name: 'an unknown executor pool', change: configuration => { configuration.services!.order!.executorPool = 'missing' }, expected: /unknown executor pool 'missing'; expected one of 'pool'/ },
  { name: 'an unknown failure domain', change: configuration => { configuration.workerPools!.general!.workers = { 'zone-b': 1 } }, expected: /unknown failure domain 'zone-b'/ },
  { name: 'a dependency cycle', change: configuration => { configuration.services!.lookup!.dependsOn = ['order'] }, expected: /dependency cycle: order -> lookup -> order/ },
  { name: 'an urgent service on a deferrable one', change: configuration => { configuration.services!.lookup!.urgency = 'deferrable' }, expected: /urgent service 'order' depends on deferrable service 'lookup'/ },
  { name: 'a quota above the capacity', change: configuration => { configuration.teams!.one!.quota = { processorsThousandths: 32001, memoryBytes: 1 } }, expected: /quota 32001 is above the site's capacity of 32000/ }
]

describe('checkSiteConfiguration', () => {
  for (const { name, change, expected } of CASES) {
    it(name, () => {
      const configuration = structuredClone(VALID) as unknown as Mutable
      change(configuration)
      const checked = checkSiteConfiguration('text', JSON.stringify(configuration, undefined, 2))
      if (expected === undefined) assert.equal(checked.kind, 'valid')
      else assert.match(checked.kind === 'invalid' ? checked.findings.map(formatFinding).join('\n') : '', expected)
    })
  }

  it('reports the line and column of a syntax error', () => {
    const checked = checkSiteConfiguration('text', '{\n  "site": ,\n}')
    assert.match(checked.kind === 'invalid' ? checked.findings.map(formatFinding)[0] ?? '' : '', /^text:2:11: /)
  })
})
