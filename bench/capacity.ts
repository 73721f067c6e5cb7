import { runConfigurationBench, runLogBench, runSlotBench } from './capacityMessages.js'
import { runLeaseBench, runMemoryBench, runRecoveryBench } from './capacityPlacement.js'
import { runClusterBench } from './capacityCluster.js'
import { cpus } from 'node:os'

const SEED = 1
/** Runs of each measurement; the median is printed. */
const RUNS = 3

process.stdout.write(`seed ${SEED}, ${RUNS} runs each (median), ${cpus().length} cores, Node.js ${process.version}\n`)
await runLeaseBench(SEED, RUNS)
runSlotBench(RUNS)
await runLogBench(RUNS)
runConfigurationBench(RUNS)
runMemoryBench(SEED)
runRecoveryBench(SEED, RUNS)
runClusterBench(SEED, RUNS)
