import fc from 'fast-check'
import { INSTANCES, type FakeCluster } from '../fakes/fakeCluster.js'
import type { CommandFault } from '../fakes/fakeClusterWorkers.js'
import type { ChannelFault } from '../fakes/fakeEligibilityService.js'
import { COMMANDS, command, index, step, verifyCluster, workerAt, type ClusterCommand } from './clusterFuzzer.js'
import { checkTraces, DEFAULT_COMMANDS, type FuzzFailure, type TraceOptions } from './fuzzer.js'
import { StartOracle } from './startOracle.js'

/** Retention of the state of a finished job, in milliseconds; longer than a whole trace. */
const STATE_RETENTION_MILLISECONDS = 3_600_000
/** Workers in addition to the usual ones, so that most steps find the room that they need twice over. */
const FURTHER_WORKERS = 6

/** Steps whose workers the eligibility service names: gangs, tasks that are kept apart, and gangs that no set of workers can hold. */
const SHAPES: ReadonlyArray<readonly object[]> = [
  [step(3, { gang: true })],
  [step(3, { gang: true })],
  [step(5, { gang: true })],
  [step(2, { gang: true }), step(3, { gang: true, after: [0] })],
  [step(3, { maximumPerWorker: 1 })],
  [step(3, { gang: true, maximumPerWorker: 1 })],
  [step(1)]
]

const instance = fc.constantFrom(...INSTANCES)

const GANG_COMMANDS: Array<fc.WeightedArbitrary<ClusterCommand>> = [
  { weight: 12, arbitrary: command<[number]>('submitRestricted', [fc.nat({ max: SHAPES.length - 1 })], (cluster, shape) => { cluster.submit('restricted', SHAPES[shape] as readonly object[]) }) },
  { weight: 3, arbitrary: command<[string, ChannelFault]>('channelFault', [instance, fc.constantFrom<ChannelFault>('none', 'silent', 'refused')], (cluster, name, fault) => { cluster.eligibility.faults.set(name, fault) }) },
  { weight: 2, arbitrary: command<[number, CommandFault]>('commandFault', [index, fc.constantFrom<CommandFault>('none', 'unhealthy', 'ticket', 'answerLost')], (cluster, worker, fault) => { workerAt(cluster, worker).fault = fault }) },
  { weight: 3, arbitrary: command<[number]>('calm', [fc.constantFrom(10_000, 25_000)], async (cluster, milliseconds) => await cluster.advance(milliseconds)) }
]

/** Names about half of the workers for a step, and at least three of the usual ones. */
function isEligible (cluster: FakeCluster, stepName: string, worker: string): boolean {
  const position = [...cluster.workers.keys()].indexOf(worker)
  const seed = [...stepName].reduce((sum, character) => sum * 31 + character.charCodeAt(0) & 0xffff, 7)
  return (position * 7 + seed) % 10 < 6
}

/** Like `fuzzCluster`, with gangs whose workers the eligibility service names, and with a check that steps that could run start. */
export async function fuzzGangs (options: TraceOptions): Promise<FuzzFailure | undefined> {
  const { commands = DEFAULT_COMMANDS } = options
  const arbitraries = [...COMMANDS, ...GANG_COMMANDS].flatMap(({ weight, arbitrary }) => Array.from({ length: weight }, () => arbitrary))
  return await checkTraces(options, 'cluster', fc.commands(arbitraries, { maxCommands: commands, size: 'max' }), async (seed, trace) => {
    await verifyCluster(seed, async (cluster, oracle) => {
      const decided = new Map<string, boolean>()
      cluster.eligibility.isEligible = (stepName, worker) => {
        const key = `${stepName}/${worker}`
        const eligible = decided.get(key) ?? isEligible(cluster, stepName, worker)
        decided.set(key, eligible)
        return eligible
      }
      for (let count = 0; count < FURTHER_WORKERS; count += 1) cluster.addWorker()
      await fc.asyncModelRun(() => ({ model: {}, real: { cluster, oracle } }), trace)
      for (const worker of cluster.workers.values()) worker.fault = 'none'
    }, STATE_RETENTION_MILLISECONDS, new StartOracle())
  })
}
