import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { INJECTED_CLUSTER_FAULTS } from './clusterFaults.js'
import { fuzzCluster } from './clusterFuzzer.js'
import type { TraceOptions } from './fuzzer.js'

const CASES: ReadonlyArray<Pick<TraceOptions, 'seed' | 'runs' | 'firstRun'>> = [
  { seed: 51, runs: 25 },
  // A run was started on a worker whose restart had not been detected; the first report of the new process abandoned it.
  { seed: 1, runs: 1, firstRun: 25 },
  // An end was acknowledged to a process that had restarted since the report that contained it.
  { seed: 2, runs: 1, firstRun: 328 },
  { seed: 3, runs: 1, firstRun: 206 }
]
/** Faults that need more runs are only covered by `npm run fuzz:faults`. */
const MAXIMUM_FAULT_RUNS = 25

describe('fuzzing the cluster scheduler', () => {
  for (const { seed, runs, firstRun } of CASES) {
    it(`finds no violation with seed ${seed} in ${runs} runs from run ${firstRun ?? 1}`, async () => {
      const failure = await fuzzCluster({ seed, runs, firstRun, shrink: firstRun === undefined })
      assert.equal(failure, undefined, failure === undefined ? '' : `${failure.problem}\n${failure.trace}`)
    })
  }

  for (const { name, checks, seed, runs, injectFault } of INJECTED_CLUSTER_FAULTS) {
    if (runs > MAXIMUM_FAULT_RUNS) continue
    it(`finds the injected fault: ${name} (seed ${seed}, ${runs} runs)`, async () => {
      const failure = await fuzzCluster({ seed, runs, shrink: false, injectFault })
      assert.ok(failure !== undefined && checks.some(check => failure.problem.startsWith(check)), failure?.problem)
    })
  }
})
