import type { Random } from '../src/base/random.js'
import { LeastExpectedTimeChooser, LeastInFlightChooser, PowerOfTwoChoicesChooser, RandomChooser, RoundRobinChooser, type ExecutorChooser } from '../src/requests/executorChooser.js'
import { RequestSimulation, type SlotSharing, type SimulationOptions, type SimulationResult } from './requestSimulation.js'

const LOADS = [0.5, 0.8, 0.95]
const INSTANCE_COUNTS = [3, 9]
const SHARINGS: readonly SlotSharing[] = ['grants', 'owner', 'static']
const CHOOSER_FACTORIES: ReadonlyArray<readonly [name: string, create: (random: Random) => ExecutorChooser]> = [
  ['least expected time', () => new LeastExpectedTimeChooser()],
  ['round robin', () => new RoundRobinChooser()],
  ['random', random => new RandomChooser(random)],
  ['least in flight', () => new LeastInFlightChooser()],
  ['power of two choices', random => new PowerOfTwoChoicesChooser(random)]
]

/** Mean service times of ten executors, whose speeds differ by a factor of up to 8. */
const SERVICE_MILLISECONDS = Array.from({ length: 10 }, (_, index) => 30 * 8 ** (index / 9))

const BASE_OPTIONS: Omit<SimulationOptions, 'seed'> = {
  sharing: 'grants',
  instances: 3,
  serviceMilliseconds: SERVICE_MILLISECONDS,
  load: 0.8,
  mix: { urgent: 0.3, normal: 0.3, deferrable: 0.4 },
  deadlineMilliseconds: { urgent: 3000, normal: 5000, deferrable: 20_000 },
  arrivalSkew: 1,
  durationMilliseconds: 30_000,
  createChooser: () => new LeastExpectedTimeChooser()
}

/** Prints the waiting times of urgent requests by slot sharing strategy and by executor choice, and the goodput under overload. */
export function runRequestsBench (seed: number): void {
  printLine('slots: waiting time of urgent requests in ms, and control bytes per second in the failure domain; 10 executors, uneven arrivals')
  for (const instances of INSTANCE_COUNTS) {
    for (const load of LOADS) {
      for (const sharing of SHARINGS) {
        const result = new RequestSimulation({ ...BASE_OPTIONS, seed, sharing, instances, load }).run()
        printLine(`${instances} instances, load ${formatPercent(load)}, ${sharing}: ${formatWaitingTimes(result)}, response p99 ${formatPercentile(result, 'responseTimes', 99)}, ${Math.round(result.controlBytesPerSecond)} B/s, peak in flight ${result.peakInFlight}`)
      }
    }
  }
  printLine('executor choice: waiting and response times of urgent requests in ms; 3 instances, 10 executors of different speeds')
  for (const load of LOADS) {
    for (const [name, createChooser] of CHOOSER_FACTORIES) {
      const result = new RequestSimulation({ ...BASE_OPTIONS, seed, load, createChooser }).run()
      printLine(`load ${formatPercent(load)}, ${name}: ${formatWaitingTimes(result)}, response p50 ${formatPercentile(result, 'responseTimes', 50)} p99 ${formatPercentile(result, 'responseTimes', 99)}, normal response p99 ${(result.responseTimes.normal.getValueAtPercentile(99) / 1000).toFixed(1)}, deferrable response p99 ${(result.responseTimes.deferrable.getValueAtPercentile(99) / 1000).toFixed(1)}`)
    }
  }
  printLine('fast errors: share of urgent requests that failed while 2 of 10 executors respond with an error within 1 ms; load 50 %')
  for (const [name, createChooser] of CHOOSER_FACTORIES) {
    const result = new RequestSimulation({ ...BASE_OPTIONS, seed, load: 0.5, createChooser, failingExecutors: new Set([0, 5]) }).run()
    printLine(`${name}: ${result.failed} failed of ${sum(result.offered)}`)
  }
  printLine('overload: share of offered requests answered in time, and share refused')
  for (const mix of [BASE_OPTIONS.mix, { urgent: 1, normal: 0, deferrable: 0 }]) {
    for (const load of [0.95, 3]) {
      const result = new RequestSimulation({ ...BASE_OPTIONS, seed, load, mix }).run()
      const seconds = BASE_OPTIONS.durationMilliseconds * 0.8 / 1000
      const parts = (['urgent', 'normal', 'deferrable'] as const).filter(urgency => mix[urgency] > 0).map(urgency => `${urgency} ${formatPercent(result.answeredInTime[urgency] / result.offered[urgency])} answered in time (${Math.round(result.answeredInTime[urgency] / seconds)}/s), ${formatPercent(result.refused[urgency] / result.offered[urgency])} refused`)
      printLine(`load ${formatPercent(load)}, ${mix.urgent === 1 ? 'urgent only' : 'mixed'}: ${parts.join('; ')}`)
    }
  }
}

function formatWaitingTimes (result: SimulationResult): string {
  return `p50 ${formatPercentile(result, 'waitingTimes', 50)} p99 ${formatPercentile(result, 'waitingTimes', 99)} p99.9 ${formatPercentile(result, 'waitingTimes', 99.9)}`
}

function formatPercentile (result: SimulationResult, kind: 'waitingTimes' | 'responseTimes', percentile: number): string {
  return (result[kind].urgent.getValueAtPercentile(percentile) / 1000).toFixed(2)
}

function formatPercent (share: number): string {
  return `${(share * 100).toFixed(0)} %`
}

function sum (values: Readonly<Record<string, number>>): number {
  return Object.values(values).reduce((left, right) => left + right, 0)
}

function printLine (line: string): void {
  process.stdout.write(`${line}\n`)
}
