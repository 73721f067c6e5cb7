import { runSchedulingBench } from './scheduling.js'

const SEED = 1

process.stdout.write(`seed ${SEED}\n`)
runSchedulingBench(SEED)
