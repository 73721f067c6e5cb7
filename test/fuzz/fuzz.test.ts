import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FakeSite } from '../fakes/fakeSite.js'
import { itUnlessKnownRed } from '../knownRed.js'
import { INJECTED_FAULTS } from './faults.js'
import { fuzz, verifySite, type FuzzOptions } from './fuzzer.js'
import { assertChecks, recordTransientViolations } from './oracle.js'

const CASES: ReadonlyArray<Pick<FuzzOptions, 'seed' | 'runs' | 'firstRun' | 'keys'>> = [
  { seed: 21, runs: 12 },
  { seed: 22, runs: 12 },
  // A slot was released before the executor, which measures the run time from the arrival of the request, had ended the run.
  { seed: 14, runs: 1, firstRun: 34, keys: true }
]
/** Faults that need more runs are only covered by `npm run fuzz:faults`. */
const MAXIMUM_FAULT_RUNS = 8

describe('fuzzing', () => {
  for (const { seed, runs, firstRun, keys } of CASES) {
    it(`finds no violation with seed ${seed} in ${runs} runs from run ${firstRun ?? 1}`, async () => {
      const failure = await fuzz({ seed, runs, firstRun, keys, shrink: firstRun === undefined })
      assert.equal(failure, undefined, failure === undefined ? '' : `${failure.problem}\n${failure.trace}`)
    })
  }

  for (const { name, checks, seed, runs, options } of INJECTED_FAULTS) {
    if (runs > MAXIMUM_FAULT_RUNS) continue
    it(`finds the injected fault: ${name} (seed ${seed}, ${runs} runs)`, async () => {
      const failure = await fuzz({ seed, runs, shrink: false, ...options })
      assert.ok(failure !== undefined && checks.some(check => failure.problem.startsWith(check)), failure?.problem)
    })
  }

  itUnlessKnownRed('a keyed booking that is submitted again to another instance runs once', async () => {
    await verifySite({ seed: 0 }, async site => {
      site.request(site.instanceAt(0), 'booking', { key: 'parcel-1' })
      site.request(site.instanceAt(1), 'booking', { key: 'parcel-1' })
      await site.advance(4000)
    })
  })

  itUnlessKnownRed('executors carry at most their slots when demand moves between instances', async () => {
    const site = new FakeSite({ seed: 107267 }, recordTransientViolations)
    try {
      await site.start()
      await site.advance(50)
      for (const executor of [...site.executors.values()].slice(2)) executor.serviceMilliseconds = 2000
      for (let count = 0; count < 30; count += 1) site.request(site.instanceAt(3), 'booking')
      for (let count = 0; count < 12; count += 1) site.request(site.instanceAt(6), 'booking')
      await site.advance(4000)
      assertChecks(site)
    } finally {
      await site.dispose()
    }
  })

  // Guards against timers and listeners that outlive an instance, in particular after faults.
  it('leaves no timer after every instance has been disposed', async () => {
    const site = new FakeSite({ seed: 1 })
    await site.start()
    for (let count = 0; count < 20; count += 1) site.request(site.instanceAt(count), 'lookup')
    site.submitJob(site.instanceAt(0), 'batch')
    site.log.down = true
    await site.advance(500)
    assert.equal(await site.dispose(), 0)
  })
})
