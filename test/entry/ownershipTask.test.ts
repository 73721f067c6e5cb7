import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { FakeSite } from '../fakes/fakeSite.js'
import { prove } from '../fuzz/fuzzer.js'

const TAKEOVER_MILLISECONDS = 10_000

/** Each way of replacing instances left a failure domain without an owner for good, because the list showed their names on. */
const REPLACEMENTS: ReadonlyArray<{ readonly name: string, readonly act: (site: FakeSite) => void }> = [
  { name: 'all instances restart at once', act: site => { for (const instance of [...site.current.values()]) site.restart(instance) } },
  {
    name: 'all instances crash and restart one after the other',
    act: site => {
      for (const instance of [...site.current.values()]) site.crash(instance)
      for (const instance of [...site.current.values()]) site.restart(instance)
    }
  }
]

describe('OwnershipTask', () => {
  for (const { name, act } of REPLACEMENTS) {
    it(`each failure domain has an owner again after ${name}`, async () => {
      await prove({ seed: 0 }, async site => {
        act(site)
        await site.advance(TAKEOVER_MILLISECONDS)
        for (const failureDomain of site.failureDomains) {
          assert.equal(site.alive().filter(({ entry, ...instance }) => instance.failureDomain === failureDomain && entry.parts.ownership.isOwner()).length, 1, failureDomain)
        }
      })
    })
  }
})
