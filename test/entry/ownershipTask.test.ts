import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { FakeSite } from '../fakes/fakeSite.js'
import { PLATFORM } from '../fakes/network.js'
import { verifySite } from '../fuzz/fuzzer.js'

const TAKEOVER_MILLISECONDS = 10_000

const PARTITION_MILLISECONDS: readonly number[] = [4000, 15_000]

/** Each of these restarts left a failure domain without an owner forever, because the instance list still contained the names of the previous incarnations. */
const RESTARTS: ReadonlyArray<{ readonly name: string, readonly perform: (site: FakeSite) => void }> = [
  { name: 'all instances restart at once', perform: site => { for (const instance of [...site.instances.values()]) site.restart(instance) } },
  {
    name: 'all instances crash and then restart one after the other',
    perform: site => {
      for (const instance of [...site.instances.values()]) site.crash(instance)
      for (const instance of [...site.instances.values()]) site.restart(instance)
    }
  }
]

describe('OwnershipTask', () => {
  for (const { name, perform } of RESTARTS) {
    it(`each failure domain has an owner again after ${name}`, async () => {
      await verifySite({ seed: 0 }, async site => {
        perform(site)
        await site.advance(TAKEOVER_MILLISECONDS)
        assertOneOwnerEach(site)
      })
    })
  }

  // Abandoned renewals shifted every later confirmation, so that the owner of the term never acted as owner again.
  for (const milliseconds of PARTITION_MILLISECONDS) {
    it(`a successor that is cut off from the log for ${milliseconds} ms acts as owner afterwards`, async () => {
      await verifySite({ seed: 0 }, async site => {
        const elector = site.runningInstances().find(({ entry, failureDomain }) => failureDomain === 'gent-a' && !entry.components.ownership.isOwner())
        elector?.process.pause()
        await site.advance(5000)
        elector?.process.resume()
        await site.advance(50)
        site.network.cut('gent-a', PLATFORM)
        await site.advance(milliseconds)
        elector?.process.pause()
        await site.advance(1000)
        elector?.process.resume()
        site.network.heal()
        await site.advance(2 * TAKEOVER_MILLISECONDS)
        assertOneOwnerEach(site)
      })
    })
  }
})

function assertOneOwnerEach (site: FakeSite): void {
  for (const failureDomain of site.failureDomains) {
    const owners = site.runningInstances().filter(instance => instance.failureDomain === failureDomain && instance.entry.components.ownership.isOwner())
    assert.equal(owners.length, 1, failureDomain)
  }
}
