import fc from 'fast-check'
import type { Organisation } from '../../src/contracts/clusterConfiguration.js'
import type { FakeCluster } from '../fakes/fakeCluster.js'
import { COMMANDS, command, step, verifyCluster, type ClusterCommand } from './clusterFuzzer.js'
import { checkTraces, DEFAULT_COMMANDS, type FuzzFailure, type TraceOptions } from './fuzzer.js'
import { OrganisationOracle } from './organisationOracle.js'

/** Retention of the state of a finished job, in milliseconds; longer than a whole trace. */
const STATE_RETENTION_MILLISECONDS = 3_600_000
const INITIAL_CAPS: Readonly<Record<string, number>> = { acme: 3, other: 2 }
/** Time after which a changed cap is in force for certain, in milliseconds. */
const SETTLING_MILLISECONDS = 4000
/** Cap below which every job can finish, in cores. */
const SUFFICIENT_CAP = 8

const SHAPES: ReadonlyArray<readonly object[]> = [
  [step(4)],
  [step(2, { gang: true })],
  [step(3, { gang: true })],
  [step(5, { gang: true })],
  [step(2), step(3, { after: [0] })],
  [step(2, { processorsThousandths: 2000 })],
  [step(10)]
]

const organisation = fc.constantFrom('acme', 'acme', 'other')

const ORGANISATION_COMMANDS: Array<fc.WeightedArbitrary<ClusterCommand>> = [
  {
    weight: 16,
    arbitrary: command<[string, 'urgent' | 'batch', number]>('submitFor', [organisation, fc.constantFrom('urgent', 'batch'), fc.nat({ max: SHAPES.length - 1 })], (cluster, name, queue, shape) => {
      cluster.submit(queue, SHAPES[shape] as readonly object[], undefined, name)
    })
  },
  {
    weight: 10,
    // A lower cap binds only once no scheduler can still act by a former one.
    arbitrary: command<[string, number, number]>('changeCap', [organisation, fc.constantFrom(1, 1, 2, 3, 5, 0), fc.constantFrom(0, SETTLING_MILLISECONDS, SETTLING_MILLISECONDS)], async (cluster, name, cores, milliseconds) => {
      changeCap(cluster, name, cores)
      await cluster.advance(milliseconds)
    })
  },
  {
    weight: 4,
    arbitrary: command<[string]>('cancelAllAndTakeOver', [organisation], async (cluster, name) => {
      for (const worker of cluster.workers.values()) worker.stopMilliseconds = 800
      for (const job of cluster.jobs) {
        if (job.organisation === name) cluster.cancel(job)
      }
      // The former scheduler records the cancellations, so its successor learns of the runs only from their workers.
      await cluster.advance(80)
      cluster.startScheduler()
      cluster.submit('urgent', [step(10)], undefined, name)
      await cluster.advance(1000)
    })
  }
]

function changeCap (cluster: FakeCluster, name: string, cores: number): void {
  cluster.configureOrganisations(cluster.configuration.organisations.map(entry => entry.name === name ? toOrganisation(name, cores) : entry))
}

function toOrganisation (name: string, cores: number): Organisation {
  return { name, apiKeys: [], weight: 1, cap: { processorsThousandths: cores * 1000, memoryMegabytes: 0, accelerators: 0 } }
}

/** Like `fuzzCluster`, with jobs of organisations whose caps change. */
export async function fuzzOrganisations (options: TraceOptions): Promise<FuzzFailure | undefined> {
  const { commands = DEFAULT_COMMANDS } = options
  const arbitraries = [...COMMANDS, ...ORGANISATION_COMMANDS].flatMap(({ weight, arbitrary }) => Array.from({ length: weight }, () => arbitrary))
  return await checkTraces(options, 'cluster', fc.commands(arbitraries, { maxCommands: commands, size: 'max' }), async (seed, trace) => {
    await verifyCluster(seed, async (cluster, oracle) => {
      cluster.configureOrganisations(Object.entries(INITIAL_CAPS).map(([name, cores]) => toOrganisation(name, cores)))
      await cluster.advance(SETTLING_MILLISECONDS)
      await fc.asyncModelRun(() => ({ model: {}, real: { cluster, oracle } }), trace)
      for (const name of Object.keys(INITIAL_CAPS)) changeCap(cluster, name, SUFFICIENT_CAP)
    }, STATE_RETENTION_MILLISECONDS, new OrganisationOracle())
  })
}
