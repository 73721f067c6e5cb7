import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { INJECTED_CRASH_FAULTS } from './clusterFaults.js'
import { fuzzCrashes } from './crashFuzzer.js'
import type { TraceOptions } from './fuzzer.js'

const CASES: ReadonlyArray<Pick<TraceOptions, 'seed' | 'runs' | 'firstRun'>> = [
  { seed: 51, runs: 20 },
  // A run whose start was in flight when its worker crashed counted as much as a confirmed one: an innocent job was given up.
  { seed: 3, runs: 1, firstRun: 48 },
  { seed: 1, runs: 1, firstRun: 13 },
  // The machine of a lost worker had come back before its lease expired, which explained nothing, and the task was started again for ever.
  { seed: 2, runs: 1, firstRun: 71 },
  { seed: 6, runs: 1, firstRun: 81 },
  // A task was started again before it was known that its latest worker had crashed.
  { seed: 4, runs: 1, firstRun: 64 },
  { seed: 1, runs: 1, firstRun: 24 },
  { seed: 7, runs: 1, firstRun: 46 }
]
/** Faults that need more runs are only covered by `npm run fuzz:faults`. */
const MAXIMUM_FAULT_RUNS = 25

describe('fuzzing tasks that crash their workers and capacities that change', () => {
  for (const { seed, runs, firstRun } of CASES) {
    it(`finds no violation with seed ${seed} in ${runs} runs from run ${firstRun ?? 1}`, async () => {
      const failure = await fuzzCrashes({ seed, runs, firstRun, shrink: firstRun === undefined })
      assert.equal(failure, undefined, failure === undefined ? '' : `${failure.problem}\n${failure.trace}`)
    })
  }

  for (const { name, checks, seed, runs, injectFault } of INJECTED_CRASH_FAULTS) {
    if (runs > MAXIMUM_FAULT_RUNS) continue
    it(`finds the injected fault: ${name} (seed ${seed}, ${runs} runs)`, async () => {
      const failure = await fuzzCrashes({ seed, runs, shrink: false, injectFault })
      assert.ok(failure !== undefined && checks.some(check => failure.problem.startsWith(check)), failure?.problem)
    })
  }
})
