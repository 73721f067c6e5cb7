import fc from 'fast-check'
import type { CrashOptions, FakeCluster, TaskCrashes } from '../fakes/fakeCluster.js'
import { COMMANDS, command, index, step, verifyCluster, workerAt, type ClusterCommand } from './clusterFuzzer.js'
import { checkTraces, DEFAULT_COMMANDS, type FuzzFailure, type TraceOptions } from './fuzzer.js'

/** Retention of the state of a finished job, in milliseconds; longer than a whole trace. */
const STATE_RETENTION_MILLISECONDS = 3_600_000
const USUAL_CAPACITY = 2

/** Jobs with a task that crashes its workers. */
const CRASHING_SHAPES: ReadonlyArray<{ readonly steps: readonly object[], readonly tasks: readonly number[] }> = [
  { steps: [step(1)], tasks: [0] },
  { steps: [step(3)], tasks: [1] },
  { steps: [step(3)], tasks: [0, 1, 2] },
  { steps: [step(3, { gang: true })], tasks: [2] },
  { steps: [step(1), step(2, { after: [0] })], tasks: [1] }
]

const crashOptions: fc.Arbitrary<CrashOptions> = fc.record({
  identity: fc.constantFrom<CrashOptions['identity']>('same', 'new'),
  outage: fc.constantFrom<CrashOptions['outage']>('refused', 'silent'),
  downMilliseconds: fc.constantFrom(500, 2000, 4000, 8000)
})

const CRASH_COMMANDS: Array<fc.WeightedArbitrary<ClusterCommand>> = [
  {
    weight: 3,
    arbitrary: command<['urgent' | 'batch', number, CrashOptions, number]>('submitCrashing', [fc.constantFrom('urgent', 'batch'), fc.nat({ max: CRASHING_SHAPES.length - 1 }), crashOptions, fc.constantFrom(0, 40, 250)], (cluster, queue, shape, options, afterMilliseconds) => {
      const { steps, tasks } = CRASHING_SHAPES[shape] as typeof CRASHING_SHAPES[number]
      const crashes: TaskCrashes = { ...options, tasks, afterMilliseconds }
      cluster.submit(queue, steps, crashes)
    })
  },
  { weight: 2, arbitrary: command<[number, CrashOptions]>('crashWorker', [index, crashOptions], (cluster, worker, options) => cluster.crashWorker(workerAt(cluster, worker), options)) },
  { weight: 4, arbitrary: command<[number, number]>('resizeWorker', [index, fc.constantFrom(0, 1, 2, 3)], (cluster, worker, capacity) => cluster.resizeWorker(workerAt(cluster, worker), capacity)) }
]

/** Restores the capacity of all workers, so that every job can finish. */
function restoreCapacity (cluster: FakeCluster): void {
  for (const worker of cluster.workers.values()) {
    if (worker.capacity !== USUAL_CAPACITY) cluster.resizeWorker(worker, USUAL_CAPACITY)
  }
}

/** Like `fuzzCluster`, with tasks that crash their workers, other crashes of workers, and capacities that shrink and grow. */
export async function fuzzCrashes (options: TraceOptions): Promise<FuzzFailure | undefined> {
  const { commands = DEFAULT_COMMANDS } = options
  const arbitraries = [...COMMANDS, ...CRASH_COMMANDS].flatMap(({ weight, arbitrary }) => Array.from({ length: weight }, () => arbitrary))
  return await checkTraces(options, 'cluster', fc.commands(arbitraries, { maxCommands: commands, size: 'max' }), async (seed, trace) => {
    await verifyCluster(seed, async (cluster, oracle) => {
      await fc.asyncModelRun(() => ({ model: {}, real: { cluster, oracle } }), trace)
      restoreCapacity(cluster)
    }, STATE_RETENTION_MILLISECONDS)
  })
}
