import { describe, it } from 'node:test'
import type { FakeSite } from '../fakes/fakeSite.js'
import { verifySite } from '../fuzz/fuzzer.js'
import { assertChecks } from '../fuzz/oracle.js'

/** Each trace reproduces a past violation of an invariant. */
const TRACES: ReadonlyArray<{ readonly name: string, readonly act: (site: FakeSite) => Promise<void> }> = [
  {
    name: 'does not report notRun when the deadline passes in the queue after an attempt of unknown outcome',
    async act (site) {
      for (const executor of site.executors.values()) executor.serviceMilliseconds = 2000
      for (let count = 0; count < 20; count += 1) site.request(site.instanceAt(3), 'sync')
      await site.advance(6000)
      assertChecks(site)
    }
  },
  {
    name: 'does not report notRun when the retry of a request of unknown outcome is refused',
    async act (site) {
      site.executors.get('gent-b-executor-1')?.faults.push('loseAnswer', 'refuse', 'refuse')
      site.request(site.instanceAt(3), 'lookup')
      await site.advance(4000)
      assertChecks(site)
    }
  }
]

describe('RequestDispatcher', () => {
  for (const { name, act } of TRACES) it(name, async () => { await verifySite({ seed: 0 }, act) })
})
