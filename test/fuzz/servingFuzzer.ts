import fc from 'fast-check'
import type { EndKind } from '../../src/cluster/workerPort.js'
import { FakeCluster } from '../fakes/fakeCluster.js'
import type { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { assertNoProblem, COMMANDS, command, index, step, workerAt, type ClusterCommand } from './clusterFuzzer.js'
import { checkTraces, DEFAULT_COMMANDS, type FuzzFailure, type TraceOptions } from './fuzzer.js'
import { ServingOracle } from './servingOracle.js'

const WORKERS = 4
/** Time after which every task that lasts must run again after all faults are healed, in milliseconds. */
const RECOVERY_MILLISECONDS = 30_000
/** Time for all other jobs to finish, in milliseconds. */
const COMPLETION_MILLISECONDS = 90_000
/** Retention of the state of a finished job, in milliseconds; longer than a whole trace. */
const STATE_RETENTION_MILLISECONDS = 3_600_000
const TARGET_MILLISECONDS = 200
/** Steps of the time during which load and filler work act undisturbed, in milliseconds. */
const CALM_MILLISECONDS = 16_000

const SERVING_SHAPES: ReadonlyArray<readonly object[]> = [
  [step(1, { longRunning: true, image: 'web', targetMilliseconds: TARGET_MILLISECONDS })],
  [step(2, { longRunning: true, image: 'web', targetMilliseconds: TARGET_MILLISECONDS, maximumUnavailable: 1, maximumPerWorker: 1 })],
  [step(2, { longRunning: true })]
]
const FILLER_SHAPES: ReadonlyArray<readonly object[]> = [
  [step(8, { filler: true, image: 'noisy' })],
  [step(3, { filler: true, image: 'noisy', checkpointable: true }), step(1, { filler: true, image: 'calm' })],
  [step(2, { filler: true, image: 'calm', after: [] })]
]

const SERVING_COMMANDS: Array<fc.WeightedArbitrary<ClusterCommand>> = [
  { weight: 4, arbitrary: command('submitServing', [fc.nat({ max: SERVING_SHAPES.length - 1 })], (cluster, shape) => { if (countServing(cluster) < WORKERS) cluster.submit('batch', SERVING_SHAPES[shape] as readonly object[]) }) },
  { weight: 6, arbitrary: command('submitFillers', [fc.nat({ max: FILLER_SHAPES.length - 1 })], (cluster, shape) => { cluster.submit('batch', FILLER_SHAPES[shape] as readonly object[]) }) },
  { weight: 4, arbitrary: command('servingLoad', [fc.constantFrom(0.3, 0.6, 0.95, 1.3)], (cluster, share) => { cluster.sharedLoad.servingShare = share }) },
  { weight: 3, arbitrary: command('drainWorker', [index, fc.constantFrom(2000, 4000)], (cluster, worker, milliseconds) => drain(cluster, worker, milliseconds)) },
  { weight: 3, arbitrary: command('endServing', [index, fc.constantFrom<EndKind>('failed', 'done')], (cluster, worker, kind) => endServing(cluster, workerAt(cluster, worker), kind)) },
  {
    weight: 4,
    arbitrary: command('runCalm', [], async cluster => {
      cluster.heal()
      await cluster.advance(CALM_MILLISECONDS)
    })
  }
]

function countServing (cluster: FakeCluster): number {
  return cluster.jobs.filter(({ job, isCancelled }) => !isCancelled && job.steps.some(({ longRunning }) => longRunning)).length
}

/** Ends the runs of a worker that last. */
function endServing (cluster: FakeCluster, worker: FakeClusterWorker, kind: EndKind): void {
  for (const { task, run } of [...worker.running.values()]) {
    if (cluster.sharedLoad.stepOf(task)?.longRunning === true) worker.endIfRunning(task, run, kind)
  }
}

/** Drains a worker and adds another one in its place. */
function drain (cluster: FakeCluster, position: number, milliseconds: number): void {
  cluster.drainWorker(workerAt(cluster, position), milliseconds)
  if (cluster.workers.size < 2 * WORKERS) cluster.addWorker()
}

/** Runs traces with tasks that last, filler work beside them, changes of load, and draining workers. */
export async function fuzzServing (options: TraceOptions): Promise<FuzzFailure | undefined> {
  const { commands = DEFAULT_COMMANDS } = options
  const weighted = [...COMMANDS, ...SERVING_COMMANDS].flatMap(({ weight, arbitrary }) => Array.from({ length: weight }, () => arbitrary))
  return await checkTraces(options, 'serving', fc.commands(weighted, { maxCommands: commands, size: 'max' }), async (seed, trace) => {
    await verifyServing(seed, async (cluster, oracle) => {
      await fc.asyncModelRun(() => ({ model: {}, real: { cluster, oracle } }), trace)
    })
  })
}

/** Starts a cluster, runs `act` on it, heals all faults, and checks that what lasts runs and everything else finishes. */
export async function verifyServing (seed: number, act: (cluster: FakeCluster, oracle: ServingOracle) => Promise<void>): Promise<void> {
  const oracle = new ServingOracle()
  const cluster = new FakeCluster(seed, oracle, STATE_RETENTION_MILLISECONDS)
  try {
    for (let count = 0; count < WORKERS; count += 1) cluster.addWorker()
    cluster.startScheduler()
    await cluster.advance(200)
    await act(cluster, oracle)
    cluster.heal()
    cluster.startScheduler()
    await cluster.advance(RECOVERY_MILLISECONDS)
    oracle.checkKeptRunning(cluster)
    for (const job of cluster.jobs) {
      if (job.job.steps.some(({ longRunning }) => longRunning)) cluster.cancel(job)
    }
    await cluster.advance(COMPLETION_MILLISECONDS)
    oracle.checkFinalState(cluster)
    assertNoProblem(oracle)
  } finally {
    cluster.dispose()
  }
}
