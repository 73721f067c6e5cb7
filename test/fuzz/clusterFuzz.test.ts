import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { INJECTED_CLUSTER_FAULTS, INJECTED_SERVING_FAULTS } from './clusterFaults.js'
import { fuzzCluster, type ClusterFuzzOptions } from './clusterFuzzer.js'
import type { TraceOptions } from './fuzzer.js'
import { fuzzServing } from './servingFuzzer.js'

const CASES: ReadonlyArray<Pick<ClusterFuzzOptions, 'seed' | 'runs' | 'firstRun' | 'maximumReportedEnds'>> = [
  { seed: 51, runs: 25 },
  // Runs whose ends did not fit into a report were taken as lost, and their tasks were started again.
  { seed: 61, runs: 25, maximumReportedEnds: 1 },
  // A run was started on a worker whose restart had not been detected; the first report of the new process abandoned it.
  { seed: 1, runs: 1, firstRun: 25 },
  // An end was acknowledged to a process that had restarted since the report that contained it.
  { seed: 2, runs: 1, firstRun: 328 },
  { seed: 3, runs: 1, firstRun: 206 }
]
const SERVING_CASES: ReadonlyArray<Pick<TraceOptions, 'seed' | 'runs' | 'firstRun'>> = [
  { seed: 1, runs: 12 },
  // Filler work that had been moved away came back to the same worker at full pace, again and again.
  { seed: 2, runs: 1, firstRun: 79 },
  // A task on a worker that did not respond counted as in service when another one of its step was moved.
  { seed: 3, runs: 1, firstRun: 82 }
]
/** Faults that need more runs are only covered by `npm run fuzz:faults`. */
const MAXIMUM_FAULT_RUNS = 25

describe('fuzzing the cluster scheduler', () => {
  for (const { seed, runs, firstRun, maximumReportedEnds } of CASES) {
    it(`finds no violation with seed ${seed} in ${runs} runs from run ${firstRun ?? 1}`, async () => {
      const failure = await fuzzCluster({ seed, runs, firstRun, maximumReportedEnds, shrink: firstRun === undefined })
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

describe('fuzzing tasks that last', () => {
  for (const { seed, runs, firstRun } of SERVING_CASES) {
    it(`finds no violation with seed ${seed} in ${runs} runs from run ${firstRun ?? 1}`, async () => {
      const failure = await fuzzServing({ seed, runs, firstRun, shrink: firstRun === undefined })
      assert.equal(failure, undefined, failure === undefined ? '' : `${failure.problem}\n${failure.trace}`)
    })
  }

  for (const { name, checks, seed, runs, injectFault } of INJECTED_SERVING_FAULTS) {
    it(`finds the injected fault: ${name} (seed ${seed}, ${runs} runs)`, async () => {
      const failure = await fuzzServing({ seed, runs, shrink: false, injectFault })
      assert.ok(failure !== undefined && checks.some(check => failure.problem.startsWith(check)), failure?.problem)
    })
  }
})
