import { cac } from 'cac'
import { fuzzCluster } from './clusterFuzzer.js'
import { fuzzCrashes } from './crashFuzzer.js'
import { fuzz } from './fuzzer.js'
import { fuzzGangs } from './gangFuzzer.js'
import { fuzzOrganisations } from './organisationFuzzer.js'
import { fuzzPreemption } from './preemptionFuzzer.js'
import { fuzzRestarts } from './restartFuzzer.js'
import { fuzzServing } from './servingFuzzer.js'

const DEFAULT_SEED = 1
const DEFAULT_RUNS = 100

const tool = cac('fuzz')
tool.command('', 'fuzz the entry instances over fakes')
  .option('--seed <seed>', 'seed of the traces', { default: DEFAULT_SEED })
  .option('--runs <runs>', 'number of traces', { default: DEFAULT_RUNS })
  .option('--cluster', 'fuzz the active scheduler over a fake log and fake workers instead')
  .option('--serving', 'fuzz the active scheduler with tasks that last and filler work')
  .option('--crashes', 'fuzz the active scheduler with tasks that crash their workers and capacities that change')
  .option('--preemption', 'fuzz the active scheduler with urgent bursts on a site full of batch work')
  .option('--gangs', 'fuzz the active scheduler with gangs whose workers the eligibility service names, and check that they start')
  .option('--organisations', 'fuzz the active scheduler with organisations whose caps change')
  .option('--restarts', 'fuzz the active scheduler with workers that restart while ends are acknowledged')
  .option('--reported-ends <count>', 'with --cluster: maximum number of ends in a report of a worker')
  .option('--first-run <number>', 'number of the first run, to repeat a failed run')
  .option('--keys', 'also submit requests with idempotency keys')
  .option('--commands <commands>', 'maximum number of commands of a trace', { default: 40 })
  .option('--no-shrink', 'print the failing trace without shrinking it')
  .action(async ({ seed, runs, firstRun, cluster, serving, crashes, preemption, organisations, gangs, restarts, reportedEnds, keys, commands, shrink }: { seed: number, runs: number, firstRun?: number, cluster?: boolean, serving?: boolean, crashes?: boolean, preemption?: boolean, organisations?: boolean, gangs?: boolean, restarts?: boolean, reportedEnds?: number, keys?: boolean, commands: number, shrink: boolean }) => {
    console.log(`fuzzing with seed ${seed}, ${runs} runs`)
    const options = { seed, runs, firstRun, commands, shrink }
    const failure = restarts === true ? await fuzzRestarts(options) : gangs === true ? await fuzzGangs(options) : organisations === true ? await fuzzOrganisations(options) : preemption === true ? await fuzzPreemption(options) : crashes === true ? await fuzzCrashes(options) : serving === true ? await fuzzServing(options) : cluster === true ? await fuzzCluster({ ...options, maximumReportedEnds: reportedEnds }) : await fuzz({ ...options, keys })
    if (failure === undefined) {
      console.log('no violation found')
      return
    }
    console.log(`${failure.problem}\nfound with seed ${failure.seed} in run ${failure.runs}, path ${failure.counterexamplePath}\n${failure.trace}`)
    process.exitCode = 1
  })
tool.help()
tool.parse()
