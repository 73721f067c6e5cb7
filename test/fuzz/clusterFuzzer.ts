import fc from 'fast-check'
import { FakeCluster, type PathFault, type StartedScheduler } from '../fakes/fakeCluster.js'
import type { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { ClusterOracle } from './clusterOracle.js'
import { checkTraces, DEFAULT_COMMANDS, type FuzzFailure, type TraceOptions } from './fuzzer.js'

const WORKERS = 4
/** Time for all jobs to finish after all faults are healed: two leases, and the jobs one after the other. */
const COMPLETION_MILLISECONDS = 90_000

export interface ClusterUnderTest {
  readonly cluster: FakeCluster
  readonly oracle: ClusterOracle
}

export class ClusterCommand implements fc.AsyncCommand<object, ClusterUnderTest> {
  constructor (private readonly description: string, private readonly act: (cluster: FakeCluster) => void | Promise<void>) {}

  check (): boolean {
    return true
  }

  async run (_model: object, { cluster, oracle }: ClusterUnderTest): Promise<void> {
    await this.act(cluster)
    assertNoProblem(oracle)
  }

  toString (): string {
    return this.description
  }
}

export const index = fc.nat({ max: 7 })
const PATH_FAULTS: readonly PathFault[] = ['none', 'cut', 'answerLost', 'late', 'slow']

/** Shapes of jobs: sequential steps, a gang, more tasks than free capacity. */
const JOB_SHAPES: ReadonlyArray<readonly object[]> = [
  [step(1)],
  [step(3)],
  [step(2), step(2, { after: [0] })],
  [step(3, { gang: true })],
  [step(2, { gang: true }), step(1, { after: [0] })],
  [step(10)]
]

export function step (count: number, fields: object = {}): object {
  return { count, processorsThousandths: 1000, memoryMegabytes: 10, estimateMilliseconds: 1500, ...fields }
}

export function command<Values extends unknown[]> (name: string, arbitraries: { [Key in keyof Values]: fc.Arbitrary<Values[Key]> }, act: (cluster: FakeCluster, ...values: Values) => void | Promise<void>): fc.Arbitrary<ClusterCommand> {
  return fc.tuple<Values>(...arbitraries).map(values => new ClusterCommand(`${name}(${values.map(value => JSON.stringify(value)).join(', ')})`, cluster => act(cluster, ...values)))
}

function schedulerAt (cluster: FakeCluster, position: number): StartedScheduler | undefined {
  return cluster.runningSchedulers.at(-1 - position % Math.max(1, cluster.runningSchedulers.length))
}

export function workerAt (cluster: FakeCluster, position: number): FakeClusterWorker {
  const all = [...cluster.workers.values()]
  return all[position % all.length] as FakeClusterWorker
}

export const COMMANDS: Array<fc.WeightedArbitrary<ClusterCommand>> = [
  { weight: 12, arbitrary: command('advance', [fc.constantFrom(20, 50, 300, 1000, 4000)], async (cluster, milliseconds) => { await cluster.advance(milliseconds) }) },
  {
    weight: 5,
    arbitrary: command('submit', [fc.constantFrom<'urgent' | 'batch'>('urgent', 'batch'), fc.nat({ max: JOB_SHAPES.length - 1 })], (cluster, queue, shape) => { cluster.submit(queue, JOB_SHAPES[shape] as readonly object[]) })
  },
  { weight: 1, arbitrary: command('cancel', [index], (cluster, position) => { if (cluster.jobs.length > 0) cluster.cancel(cluster.jobs[position % cluster.jobs.length] as FakeCluster['jobs'][number]) }) },
  { weight: 3, arbitrary: command('takeOver', [fc.constantFrom<PathFault>('none', 'none', 'slow')], (cluster, logFault) => { cluster.startScheduler(logFault) }) },
  { weight: 1, arbitrary: command('crashScheduler', [index], (cluster, position) => withScheduler(cluster, position, scheduler => cluster.crashScheduler(scheduler))) },
  { weight: 2, arbitrary: command('pauseScheduler', [index], (cluster, position) => withScheduler(cluster, position, scheduler => scheduler.process.pause())) },
  { weight: 3, arbitrary: command('wakeSchedulers', [], cluster => { for (const scheduler of cluster.schedulers) scheduler.process.resume() }) },
  { weight: 3, arbitrary: command('logFault', [index, fc.constantFrom(...PATH_FAULTS)], (cluster, position, fault) => withScheduler(cluster, position, scheduler => { scheduler.log.fault = fault })) },
  {
    weight: 5,
    arbitrary: command('workerFault', [index, index, fc.constantFrom(...PATH_FAULTS)], (cluster, position, worker, fault) => withScheduler(cluster, position, scheduler => { scheduler.pathTo(workerAt(cluster, worker).identity).fault = fault }))
  },
  { weight: 2, arbitrary: command('restartWorker', [index], (cluster, worker) => workerAt(cluster, worker).restart()) },
  {
    weight: 1,
    arbitrary: command('replaceWorker', [index], (cluster, worker) => {
      cluster.removeWorker(workerAt(cluster, worker))
      cluster.addWorker()
    })
  },
  { weight: 1, arbitrary: command('slowStops', [index, fc.constantFrom(0, 800)], (cluster, worker, milliseconds) => { workerAt(cluster, worker).stopMilliseconds = milliseconds }) },
  { weight: 1, arbitrary: command('failRuns', [index, fc.constantFrom<'done' | 'failed'>('done', 'failed')], (cluster, worker, kind) => { workerAt(cluster, worker).endKind = kind }) },
  { weight: 2, arbitrary: command('heal', [], cluster => cluster.heal()) }
]

function withScheduler (cluster: FakeCluster, position: number, act: (scheduler: StartedScheduler) => void): void {
  const scheduler = schedulerAt(cluster, position)
  if (scheduler !== undefined) act(scheduler)
}

/** Options for fuzzing the active scheduler. */
export interface ClusterFuzzOptions extends TraceOptions {
  /** Maximum number of ends in a report of a worker; by default more than a trace leads to. */
  readonly maximumReportedEnds?: number
}

/** Runs each trace of commands against a new cluster, and repeats the checks after all faults are healed. */
export async function fuzzCluster (options: ClusterFuzzOptions): Promise<FuzzFailure | undefined> {
  const { commands = DEFAULT_COMMANDS, maximumReportedEnds } = options
  const traces = fc.commands(COMMANDS.flatMap(({ weight, arbitrary }) => Array.from({ length: weight }, () => arbitrary)), { maxCommands: commands, size: 'max' })
  return await checkTraces(options, 'cluster', traces, async (seed, trace) => {
    await verifyCluster(seed, async (cluster, oracle) => {
      if (maximumReportedEnds !== undefined) cluster.limitReportedEnds(maximumReportedEnds)
      await fc.asyncModelRun(() => ({ model: {}, real: { cluster, oracle } }), trace)
    })
  })
}

/** Starts a cluster, runs `act` on it, heals all faults, and checks the final state. */
export async function verifyCluster (seed: number, act: (cluster: FakeCluster, oracle: ClusterOracle) => Promise<void>, stateRetentionMilliseconds?: number, oracle = new ClusterOracle()): Promise<void> {
  const cluster = new FakeCluster(seed, oracle, stateRetentionMilliseconds)
  try {
    for (let count = 0; count < WORKERS; count += 1) cluster.addWorker()
    cluster.startScheduler()
    await cluster.advance(200)
    await act(cluster, oracle)
    cluster.heal()
    cluster.startScheduler()
    await cluster.advance(COMPLETION_MILLISECONDS)
    oracle.checkFinalState(cluster)
    assertNoProblem(oracle)
  } finally {
    cluster.dispose()
  }
}

export function assertNoProblem (oracle: ClusterOracle): void {
  const [problem] = oracle.problems
  if (problem !== undefined) throw new Error(problem)
}
