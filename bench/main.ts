import { runRequestsBench } from './requests.js'
import { runSchedulingBench } from './scheduling.js'

const SEED = 1
const BENCHES = { requests: runRequestsBench, scheduling: runSchedulingBench }

const wanted = process.argv.slice(2)
process.stdout.write(`seed ${SEED}\n`)
for (const [name, run] of Object.entries(BENCHES)) {
  if (wanted.length === 0 || wanted.includes(name)) run(SEED)
}
