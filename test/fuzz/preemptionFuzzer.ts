import fc from 'fast-check'
import type { FakeCluster } from '../fakes/fakeCluster.js'
import { COMMANDS, command, step, verifyCluster, type ClusterCommand } from './clusterFuzzer.js'
import { checkTraces, DEFAULT_COMMANDS, type FuzzFailure, type TraceOptions } from './fuzzer.js'

/** Retention of the state of a finished job, in milliseconds; longer than a whole trace. */
const STATE_RETENTION_MILLISECONDS = 3_600_000

/** Batch work that fills the site; the fifth task of each step takes longest. */
const BATCH = step(10, { estimateMilliseconds: 4000, checkpointable: true })
const BATCH_JOBS = 3
const BATCH_GANG = step(4, { gang: true, checkpointable: true })
/** Steps of urgent bursts. */
const URGENT_STEPS: readonly object[] = [step(1), step(3), step(6), step(4, { gang: true })]
/** Time from the start of batch work until its runs may be preempted. */
const HEAD_START_MILLISECONDS = 1100

/** Fills the site with batch work, and submits urgent jobs once it runs. */
export async function submitBurst (cluster: FakeCluster, urgentSteps: readonly object[], hasGang = false): Promise<void> {
  for (let count = 0; count < BATCH_JOBS; count += 1) cluster.submit('batch', [BATCH])
  if (hasGang) cluster.submit('batch', [BATCH_GANG])
  await cluster.advance(HEAD_START_MILLISECONDS)
  for (const urgent of urgentSteps) cluster.submit('urgent', [urgent])
  await cluster.advance(HEAD_START_MILLISECONDS)
}

const PREEMPTION_COMMANDS: Array<fc.WeightedArbitrary<ClusterCommand>> = [
  {
    weight: 6,
    arbitrary: command('burst', [fc.nat({ max: URGENT_STEPS.length - 1 }), fc.nat({ max: 3 }), fc.boolean()], async (cluster, shape, further, hasGang) => {
      await submitBurst(cluster, Array.from({ length: 1 + further }, () => URGENT_STEPS[shape] as object), hasGang)
    })
  },
  { weight: 3, arbitrary: command('slowAllStops', [fc.constantFrom(0, 300, 800)], (cluster, milliseconds) => { for (const worker of cluster.workers.values()) worker.stopMilliseconds = milliseconds }) }
]

/** Like `fuzzCluster`, with bursts of urgent jobs on a site full of batch work that can be preempted. */
export async function fuzzPreemption (options: TraceOptions): Promise<FuzzFailure | undefined> {
  const { commands = DEFAULT_COMMANDS } = options
  const weighted = [...COMMANDS, ...PREEMPTION_COMMANDS].flatMap(({ weight, arbitrary }) => Array.from({ length: weight }, () => arbitrary))
  return await checkTraces(options, 'preemption', fc.commands(weighted, { maxCommands: commands, size: 'max' }), async (seed, trace) => {
    await verifyCluster(seed, async (cluster, oracle) => {
      await fc.asyncModelRun(() => ({ model: {}, real: { cluster, oracle } }), trace)
    }, STATE_RETENTION_MILLISECONDS)
  })
}
