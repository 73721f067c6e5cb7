import { runPolicyBench } from './policy.js'
import { runRequestsBench } from './requests.js'
import { measureCancellations, runSchedulingBench } from './scheduling.js'

const SEED = 1
const POLICY_SEEDS = [1, 2, 3]

const BENCHES: Readonly<Record<string, () => void>> = {
  requests: () => runRequestsBench(SEED),
  cancellations: () => measureCancellations(SEED),
  policy: () => runPolicyBench(POLICY_SEEDS),
  decisions: () => runSchedulingBench(SEED)
}

/** Runs the parts that are named on the command line, or all. */
const chosen = process.argv.slice(2)
process.stdout.write(`seed ${SEED}\n`)
for (const [name, run] of Object.entries(BENCHES)) {
  if (chosen.length === 0 || chosen.includes(name)) run()
}
