import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { INJECTED_GANG_FAULTS } from './clusterFaults.js'
import type { TraceOptions } from './fuzzer.js'
import { fuzzGangs } from './gangFuzzer.js'

const CASES: ReadonlyArray<Pick<TraceOptions, 'seed' | 'runs' | 'firstRun'>> = [
  { seed: 51, runs: 12 },
  // A step that waited alone was requested through the same instance again and again, which could not reach the eligibility service.
  { seed: 1, runs: 1, firstRun: 119 },
  { seed: 3, runs: 1, firstRun: 30 }
]

describe('fuzzing gangs whose workers the eligibility service names', () => {
  for (const { seed, runs, firstRun } of CASES) {
    it(`finds no violation with seed ${seed} in ${runs} runs from run ${firstRun ?? 1}`, async () => {
      const failure = await fuzzGangs({ seed, runs, firstRun, shrink: firstRun === undefined })
      assert.equal(failure, undefined, failure === undefined ? '' : `${failure.problem}\n${failure.trace}`)
    })
  }

  for (const { name, checks, seed, runs, injectFault } of INJECTED_GANG_FAULTS) {
    it(`finds the injected fault: ${name} (seed ${seed}, ${runs} runs)`, async () => {
      const failure = await fuzzGangs({ seed, runs, shrink: false, injectFault })
      assert.ok(failure !== undefined && checks.some(check => failure.problem.startsWith(check)), failure?.problem)
    })
  }
})
