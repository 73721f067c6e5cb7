import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { INJECTED_ORGANISATION_FAULTS } from './clusterFaults.js'
import { fuzzOrganisations } from './organisationFuzzer.js'

const RUNS = 10
/** Faults that need more runs are only covered by `npm run fuzz:faults`. */
const MAXIMUM_FAULT_RUNS = 25

describe('fuzzing organisations whose caps change', () => {
  it(`finds no violation with seed 51 in ${RUNS} runs`, async () => {
    const failure = await fuzzOrganisations({ seed: 51, runs: RUNS })
    assert.equal(failure, undefined, failure === undefined ? '' : `${failure.problem}\n${failure.trace}`)
  })

  for (const { name, checks, seed, runs, injectFault } of INJECTED_ORGANISATION_FAULTS) {
    if (runs > MAXIMUM_FAULT_RUNS) continue
    it(`finds the injected fault: ${name} (seed ${seed}, ${runs} runs)`, async () => {
      const failure = await fuzzOrganisations({ seed, runs, shrink: false, injectFault })
      assert.ok(failure !== undefined && checks.some(check => failure.problem.startsWith(check)), failure?.problem)
    })
  }
})
