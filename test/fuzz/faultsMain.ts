import { cac } from 'cac'
import { INJECTED_CLUSTER_FAULTS, INJECTED_CRASH_FAULTS, INJECTED_GANG_FAULTS, INJECTED_ORGANISATION_FAULTS, INJECTED_PREEMPTION_FAULTS, INJECTED_RESTART_FAULTS, INJECTED_SERVING_FAULTS } from './clusterFaults.js'
import { fuzzCluster } from './clusterFuzzer.js'
import { fuzzCrashes } from './crashFuzzer.js'
import { INJECTED_FAULTS } from './faults.js'
import { fuzz, type FuzzFailure } from './fuzzer.js'
import { fuzzGangs } from './gangFuzzer.js'
import { fuzzOrganisations } from './organisationFuzzer.js'
import { fuzzPreemption } from './preemptionFuzzer.js'
import { fuzzRestarts } from './restartFuzzer.js'
import { fuzzServing } from './servingFuzzer.js'

const tool = cac('fuzz:faults')
/** An injected fault with the fuzzer that must find it. */
interface Trial {
  readonly name: string
  readonly checks: readonly string[]
  readonly seed: number
  readonly runs: number
  run (seed: number, runs: number): Promise<FuzzFailure | undefined>
}

const TRIALS: readonly Trial[] = [
  ...INJECTED_FAULTS.map((fault): Trial => ({ ...fault, run: async (seed, runs) => await fuzz({ seed, runs, shrink: false, ...fault.options }) })),
  ...INJECTED_CLUSTER_FAULTS.map((fault): Trial => ({ ...fault, run: async (seed, runs) => await fuzzCluster({ seed, runs, shrink: false, injectFault: fault.injectFault }) })),
  ...INJECTED_RESTART_FAULTS.map((fault): Trial => ({ ...fault, run: async (seed, runs) => await fuzzRestarts({ seed, runs, shrink: false, injectFault: fault.injectFault }) })),
  ...INJECTED_SERVING_FAULTS.map((fault): Trial => ({ ...fault, run: async (seed, runs) => await fuzzServing({ seed, runs, shrink: false, injectFault: fault.injectFault }) })),
  ...INJECTED_CRASH_FAULTS.map((fault): Trial => ({ ...fault, run: async (seed, runs) => await fuzzCrashes({ seed, runs, shrink: false, injectFault: fault.injectFault }) })),
  ...INJECTED_PREEMPTION_FAULTS.map((fault): Trial => ({ ...fault, run: async (seed, runs) => await fuzzPreemption({ seed, runs, shrink: false, injectFault: fault.injectFault }) })),
  ...INJECTED_GANG_FAULTS.map((fault): Trial => ({ ...fault, run: async (seed, runs) => await fuzzGangs({ seed, runs, shrink: false, injectFault: fault.injectFault }) })),
  ...INJECTED_ORGANISATION_FAULTS.map((fault): Trial => ({ ...fault, run: async (seed, runs) => await fuzzOrganisations({ seed, runs, shrink: false, injectFault: fault.injectFault }) }))
]

tool.command('', 'fuzz with each injected fault and report whether it is found')
  .option('--fault <text>', 'only faults whose name contains this text')
  .option('--seed <seed>', 'seed to use instead of the one in the table')
  .option('--runs <runs>', 'number of traces to use instead of the one in the table')
  .action(async (options: { fault?: string, seed?: number, runs?: number }) => {
    for (const trial of TRIALS.filter(({ name }) => name.includes(options.fault ?? ''))) {
      const { seed = trial.seed, runs = trial.runs } = options
      const failure = await trial.run(seed, runs)
      const expected = failure !== undefined && trial.checks.some(check => failure.problem.startsWith(check))
      const result = failure === undefined ? `not found in ${runs} runs` : `${expected ? 'found' : 'found by another check'} in run ${failure.runs}: ${failure.problem}`
      console.log(`${trial.name}: seed ${seed}, ${result}`)
      if (!expected) process.exitCode = 1
    }
  })
tool.help()
tool.parse()
