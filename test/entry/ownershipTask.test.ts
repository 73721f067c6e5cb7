import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { FakeSite } from '../fakes/fakeSite.js'
import { PLATFORM } from '../fakes/network.js'
import { verifySite } from '../fuzz/fuzzer.js'

const TAKEOVER_MILLISECONDS = 10_000

const CUT_MILLISECONDS: readonly number[] = [4000, 15_000]

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
      await verifySite({ seed: 0 }, async site => {
        act(site)
        await site.advance(TAKEOVER_MILLISECONDS)
        assertOneOwnerEach(site)
      })
    })
  }

  // Renewals that were given up shifted every later confirmation, and the holder of the term never acted again.
  for (const milliseconds of CUT_MILLISECONDS) {
    it(`a successor that is cut off from the log for ${milliseconds} ms acts afterwards`, async () => {
      await verifySite({ seed: 0 }, async site => {
        const elector = site.alive().find(({ entry, failureDomain }) => failureDomain === 'gent-a' && !entry.components.ownership.isOwner())
        elector?.process.pause()
        await site.advance(5000)
        elector?.process.wake()
        await site.advance(50)
        site.network.cut('gent-a', PLATFORM)
        await site.advance(milliseconds)
        elector?.process.pause()
        await site.advance(1000)
        elector?.process.wake()
        site.network.heal()
        await site.advance(2 * TAKEOVER_MILLISECONDS)
        assertOneOwnerEach(site)
      })
    })
  }
})

function assertOneOwnerEach (site: FakeSite): void {
  for (const failureDomain of site.failureDomains) {
    const owners = site.alive().filter(instance => instance.failureDomain === failureDomain && instance.entry.components.ownership.isOwner())
    assert.equal(owners.length, 1, failureDomain)
  }
}
