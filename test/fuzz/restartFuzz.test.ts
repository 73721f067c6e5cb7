import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { INJECTED_RESTART_FAULTS } from './clusterFaults.js'
import { fuzzRestarts } from './restartFuzzer.js'

const SEED = 51
const RUNS = 15

describe('fuzzing workers that restart while ends are acknowledged', () => {
  it(`finds no violation with seed ${SEED} in ${RUNS} runs`, async () => {
    const failure = await fuzzRestarts({ seed: SEED, runs: RUNS })
    assert.equal(failure, undefined, failure === undefined ? '' : `${failure.problem}\n${failure.trace}`)
  })

  for (const { name, checks, seed, runs, injectFault } of INJECTED_RESTART_FAULTS) {
    it(`finds the injected fault: ${name} (seed ${seed}, ${runs} runs)`, async () => {
      const failure = await fuzzRestarts({ seed, runs, shrink: false, injectFault })
      assert.ok(failure !== undefined && checks.some(check => failure.problem.startsWith(check)), failure?.problem)
    })
  }
})
