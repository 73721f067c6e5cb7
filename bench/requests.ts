import type { Random } from '../src/base/random.js'
import { LeastExpectedTimeChooser, LeastInFlightChooser, PowerOfTwoChoicesChooser, RandomChooser, RoundRobinChooser, type ExecutorChooser } from '../src/requests/executorChooser.js'
import { RequestSimulation, type SlotSharing, type SimulationOptions, type SimulationResult } from './requestSimulation.js'

const LOADS = [0.5, 0.8, 0.95]
const INSTANCE_COUNTS = [3, 9]
const SHARINGS: readonly SlotSharing[] = ['grants', 'owner', 'static']
const CHOOSERS: ReadonlyArray<readonly [name: string, create: (random: Random) => ExecutorChooser]> = [
  ['least expected time', () => new LeastExpectedTimeChooser()],
  ['round robin', () => new RoundRobinChooser()],
  ['random', random => new RandomChooser(random)],
  ['least in flight', () => new LeastInFlightChooser()],
  ['power of two choices', random => new PowerOfTwoChoicesChooser(random)]
]

/** Ten executors whose speeds differ by a factor of 8. */
const UNLIKE_SERVICE_MILLISECONDS = Array.from({ length: 10 }, (_, index) => 30 * 8 ** (index / 9))

const BASE: Omit<SimulationOptions, 'seed'> = {
  sharing: 'grants',
  instances: 3,
  serviceMilliseconds: UNLIKE_SERVICE_MILLISECONDS,
  load: 0.8,
  mix: { urgent: 0.3, normal: 0.3, deferrable: 0.4 },
  deadlineMilliseconds: { urgent: 3000, normal: 5000, deferrable: 20_000 },
  arrivalSkew: 1,
  durationMilliseconds: 30_000,
  createChooser: () => new LeastExpectedTimeChooser()
}

/** Prints waiting times of urgent requests by way of sharing slots, by executor choice, and goodput in overload. */
export function runRequestsBench (seed: number): void {
  write('slots: waiting of urgent requests in ms, and control bytes a second of the failure domain; 10 executors, uneven arrival')
  for (const instances of INSTANCE_COUNTS) {
    for (const load of LOADS) {
      for (const sharing of SHARINGS) {
        const result = new RequestSimulation({ ...BASE, seed, sharing, instances, load }).run()
        write(`${instances} instances, load ${percent(load)}, ${sharing}: ${waitingOf(result)}, answer p99 ${at(result, 'answer', 99)}, ${Math.round(result.controlBytesPerSecond)} B/s, most in flight ${result.peakInFlight}`)
      }
    }
  }
  write('executor choice: waiting and answer times of urgent requests in ms; 3 instances, 10 executors of unlike speed')
  for (const load of LOADS) {
    for (const [name, createChooser] of CHOOSERS) {
      const result = new RequestSimulation({ ...BASE, seed, load, createChooser }).run()
      write(`load ${percent(load)}, ${name}: ${waitingOf(result)}, answer p50 ${at(result, 'answer', 50)} p99 ${at(result, 'answer', 99)}, normal answer p99 ${(result.responseTimes.normal.getValueAtPercentile(99) / 1000).toFixed(1)}, deferrable answer p99 ${(result.responseTimes.deferrable.getValueAtPercentile(99) / 1000).toFixed(1)}`)
    }
  }
  write('fast errors: share of urgent requests that failed while 2 of 10 executors answer an error within 1 ms; load 50 %')
  for (const [name, createChooser] of CHOOSERS) {
    const result = new RequestSimulation({ ...BASE, seed, load: 0.5, createChooser, failingExecutors: new Set([0, 5]) }).run()
    write(`${name}: ${result.failed} failed of ${sum(result.offered)}`)
  }
  write('overload: share of offered requests answered in time, and share refused')
  for (const mix of [BASE.mix, { urgent: 1, normal: 0, deferrable: 0 }]) {
    for (const load of [0.95, 3]) {
      const result = new RequestSimulation({ ...BASE, seed, load, mix }).run()
      const seconds = BASE.durationMilliseconds * 0.8 / 1000
      const parts = (['urgent', 'normal', 'deferrable'] as const).filter(urgency => mix[urgency] > 0).map(urgency => `${urgency} ${percent(result.answeredInTime[urgency] / result.offered[urgency])} answered in time (${Math.round(result.answeredInTime[urgency] / seconds)}/s), ${percent(result.refused[urgency] / result.offered[urgency])} refused`)
      write(`load ${percent(load)}, ${mix.urgent === 1 ? 'urgent only' : 'mixed'}: ${parts.join('; ')}`)
    }
  }
}

function waitingOf (result: SimulationResult): string {
  return `p50 ${at(result, 'waiting', 50)} p99 ${at(result, 'waiting', 99)} p99.9 ${at(result, 'waiting', 99.9)}`
}

function at (result: SimulationResult, kind: 'waiting' | 'answer', percentile: number): string {
  return (result[kind].urgent.getValueAtPercentile(percentile) / 1000).toFixed(2)
}

function percent (share: number): string {
  return `${(share * 100).toFixed(0)} %`
}

function sum (values: Readonly<Record<string, number>>): number {
  return Object.values(values).reduce((left, right) => left + right, 0)
}

function write (line: string): void {
  process.stdout.write(`${line}\n`)
}
