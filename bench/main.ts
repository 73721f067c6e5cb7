import { runPolicyBench } from './policy.js'
import { measureCancellations, runSchedulingBench } from './scheduling.js'

const SEED = 1

/** Runs the parts that are named on the command line, or all: cancellations, policy, decisions. */
const chosen = process.argv.slice(2)
const wanted = (part: string): boolean => chosen.length === 0 || chosen.includes(part)

process.stdout.write(`seed ${SEED}\n`)
if (wanted('cancellations')) measureCancellations(SEED)
if (wanted('policy')) runPolicyBench([1, 2, 3])
if (wanted('decisions')) runSchedulingBench(SEED)
