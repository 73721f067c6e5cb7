import fc from 'fast-check'
import type { FakeCluster } from '../fakes/fakeCluster.js'
import { COMMANDS, command, verifyCluster, type ClusterCommand } from './clusterFuzzer.js'
import { checkTraces, DEFAULT_COMMANDS, type FuzzFailure, type TraceOptions } from './fuzzer.js'

/** Longest wait for the end of a run, in milliseconds. */
const END_WAIT_MILLISECONDS = 2000
const WAIT_STEP_MILLISECONDS = 10

/** Restarts the process of a worker a short time after one of its runs has ended, while the end is being reported, recorded and acknowledged. */
async function restartAfterEnd (cluster: FakeCluster, milliseconds: number): Promise<void> {
  const findEnded = (): ReturnType<FakeCluster['addWorker']> | undefined => [...cluster.workers.values()].find(({ ended, acknowledgedEnd }) => ended.some(({ number }) => number > acknowledgedEnd))
  for (let waited = 0; waited < END_WAIT_MILLISECONDS && findEnded() === undefined; waited += WAIT_STEP_MILLISECONDS) await cluster.advance(WAIT_STEP_MILLISECONDS)
  const worker = findEnded()
  await cluster.advance(milliseconds)
  worker?.restart()
}

const RESTART_COMMANDS: Array<fc.WeightedArbitrary<ClusterCommand>> = [
  { weight: 6, arbitrary: command<[number]>('restartAfterEnd', [fc.constantFrom(10, 20, 30, 50)], restartAfterEnd) }
]

/** Like `fuzzCluster`, with workers whose processes restart while the ends of their runs are being acknowledged. */
export async function fuzzRestarts (options: TraceOptions): Promise<FuzzFailure | undefined> {
  const { commands = DEFAULT_COMMANDS } = options
  const arbitraries = [...COMMANDS, ...RESTART_COMMANDS].flatMap(({ weight, arbitrary }) => Array.from({ length: weight }, () => arbitrary))
  return await checkTraces(options, 'cluster', fc.commands(arbitraries, { maxCommands: commands, size: 'max' }), async (seed, trace) => {
    await verifyCluster(seed, async (cluster, oracle) => {
      await fc.asyncModelRun(() => ({ model: {}, real: { cluster, oracle } }), trace)
    })
  })
}
