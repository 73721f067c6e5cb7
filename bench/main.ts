import { runPolicyBench } from './policy.js'
import { runRequestsBench } from './requests.js'
import { runCancellationBench, runSchedulingBench } from './scheduling.js'

const SEED = 1
const POLICY_SEEDS = [1, 2, 3]

const BENCHES: Readonly<Record<string, () => void>> = {
  requests: () => runRequestsBench(SEED),
  cancellations: () => runCancellationBench(SEED),
  policy: () => runPolicyBench(POLICY_SEEDS),
  decisions: () => runSchedulingBench(SEED)
}

/** Runs the benchmarks named on the command line, or all of them. */
const selected = process.argv.slice(2)
process.stdout.write(`seed ${SEED}\n`)
for (const [name, run] of Object.entries(BENCHES)) {
  if (selected.length === 0 || selected.includes(name)) run()
}
