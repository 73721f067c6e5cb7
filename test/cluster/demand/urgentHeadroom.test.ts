import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Random } from '../../../src/base/random.js'
import { UrgentHeadroom } from '../../../src/cluster/urgentHeadroom.js'
import { WorkerState } from '../../../src/cluster/workerState.js'
import { FakeClusterWorker } from '../../fakes/fakeClusterWorkers.js'

const CAPACITY = 1000
const SAMPLES = 1200
/** Samples before the costs are counted. */
const LEARNING_SAMPLES = 400
/** Duration of a batch task, in samples. */
const BATCH_SAMPLES = 30
/** Seeds of the noise. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]
/** Urgent work earns about this multiple of what batch work earns in the same processor time, see the site files. */
const URGENT_VALUE = 3

interface Costs { missed: number, idle: number }

/** Decides the share of the capacity that batch work leaves free. */
interface Policy { observe (demand: number): void, share (): number }

/** The rule without a forecast: 1.5 times the moving average of the use. */
class MovingAverage implements Policy {
  private average = 0
  observe (demand: number): void { this.average += 0.03 * (demand / CAPACITY - this.average) }
  share (): number { return Math.min(0.4, Math.max(0.05, 1.5 * this.average)) }
}

class Forecast implements Policy {
  private readonly worker = new WorkerState(new FakeClusterWorker('fast', CAPACITY / 1000, () => 0).entry)
  readonly headroom = new UrgentHeadroom()
  constructor () { this.worker.speed = 1.5 }
  observe (demand: number): void {
    this.worker.urgentProcessors = demand
    this.headroom.observe([this.worker], [], 0)
  }

  share (): number { return this.headroom.reservedShare(BATCH_SAMPLES * 100) }
}

/** Batch work fills what the policy leaves. Returns processor-seconds, in shares of the capacity. */
function play (demands: readonly number[], policy: Policy): Costs {
  const ends: number[] = []
  let batch = 0
  let missed = 0
  let idle = 0
  demands.forEach((demand, time) => {
    batch -= ends[time] ?? 0
    const urgent = Math.min(demand, CAPACITY - batch)
    policy.observe(demand)
    const started = Math.max(0, CAPACITY - batch - Math.max(urgent, policy.share() * CAPACITY))
    batch += started
    ends[time + BATCH_SAMPLES] = started
    if (time < LEARNING_SAMPLES) return
    missed += (demand - urgent) / CAPACITY / 10
    idle += (CAPACITY - batch - urgent) / CAPACITY / 10
  })
  return { missed, idle }
}

function swing (time: number, phase: number, share = 0.55): number {
  return 250 * (1 + share * Math.sin(2 * Math.PI * (time / 170 + phase)))
}

function add (total: Costs, costs: Costs): void {
  total.missed += costs.missed
  total.idle += costs.idle
}

function costOf ({ missed, idle }: Costs): number {
  return URGENT_VALUE * missed + idle
}

function describeCosts (before: Costs, after: Costs): string {
  return `processor-seconds missed ${before.missed.toFixed(2)} -> ${after.missed.toFixed(2)}, idle ${before.idle.toFixed(2)} -> ${after.idle.toFixed(2)}, cost ${costOf(before).toFixed(2)} -> ${costOf(after).toFixed(2)}`
}

/** Plays a demand with the moving average and with the forecast; with noise, once for each seed. */
function compare (demandAt: (time: number) => number, noise: number): { before: Costs, after: Costs } {
  const before = { missed: 0, idle: 0 }
  const after = { missed: 0, idle: 0 }
  for (const seed of noise === 0 ? [0] : SEEDS) {
    const demands = sampleDemands(demandAt, noise, new Random(seed))
    add(before, play(demands, new MovingAverage()))
    add(after, play(demands, new Forecast()))
  }
  return { before, after }
}

/** Adds noise that lasts about a second, as the tasks that cause it do. `noise` is its standard deviation, relative to the demand. */
function sampleDemands (demandAt: (time: number) => number, noise: number, random: Random): number[] {
  let deviation = 0
  return Array.from({ length: SAMPLES }, (_, time) => {
    deviation += 0.1 * (noise * 7.5 * (2 * random.fraction() - 1) - deviation)
    return Math.max(0, demandAt(time) * (1 + deviation))
  })
}

interface Pattern {
  readonly name: string
  readonly demandAt: (time: number) => number
  /** Bound on the cost, relative to that of the moving average. */
  readonly maximumCost: number
}

/** A foreseeable swing must cost less than with the moving average; what cannot be foreseen, and noise, may cost a tenth more. */
const MAXIMUM_COST_OF_WRONG_FORECASTS = 1.1
const PHASES = [0, 0.25, 0.5, 0.75]

const PATTERNS: readonly Pattern[] = [
  ...PHASES.map((phase): Pattern => ({ name: `a swing of 55 % of 17 s, phase ${phase}`, demandAt: time => swing(time, phase), maximumCost: 1 })),
  { name: 'a swing of 55 % that stops', demandAt: time => time < 800 ? swing(time, 0) : 250, maximumCost: 1 },
  { name: 'a swing of 55 % with a burst', demandAt: time => swing(time, 0) * (time >= 700 && time < 740 ? 2 : 1), maximumCost: MAXIMUM_COST_OF_WRONG_FORECASTS },
  { name: 'a steady demand', demandAt: () => 200, maximumCost: MAXIMUM_COST_OF_WRONG_FORECASTS },
  { name: 'a step up', demandAt: time => time < 600 ? 120 : 240, maximumCost: MAXIMUM_COST_OF_WRONG_FORECASTS },
  { name: 'a step down', demandAt: time => time < 600 ? 240 : 120, maximumCost: MAXIMUM_COST_OF_WRONG_FORECASTS },
  { name: 'a ramp', demandAt: time => 80 + 0.2 * time, maximumCost: MAXIMUM_COST_OF_WRONG_FORECASTS }
]

describe('UrgentHeadroom', () => {
  for (const noise of [0, 0.2]) {
    for (const { name, demandAt, maximumCost } of PATTERNS) {
      it(`copes with ${name}${noise === 0 ? '' : `, with ${noise * 100} % noise`}`, context => {
        const { before, after } = compare(demandAt, noise)
        context.diagnostic(describeCosts(before, after))
        const bound = noise === 0 ? maximumCost : MAXIMUM_COST_OF_WRONG_FORECASTS
        assert.ok(costOf(after) <= bound * costOf(before), describeCosts(before, after))
      })
    }
  }

  /** The failure domains of a site swing out of step, so what counts is the cost over all phases. */
  it('costs less than the moving average over four phases of a swing of 55 % with 20 % noise', context => {
    const before = { missed: 0, idle: 0 }
    const after = { missed: 0, idle: 0 }
    for (const phase of PHASES) {
      const costs = compare(time => swing(time, phase), 0.2)
      add(before, costs.before)
      add(after, costs.after)
    }
    context.diagnostic(describeCosts(before, after))
    assert.ok(costOf(after) < costOf(before) && after.missed < before.missed, describeCosts(before, after))
  })

  /** Batch work yields as the swing rises: a task that ends before the crest may start where one that lies over it may not. */
  const DURATIONS: ReadonlyArray<{ readonly name: string, readonly phase: number, readonly longNeedsMore: boolean }> = [
    { name: 'on the rise', phase: 0, longNeedsMore: true },
    { name: 'on the fall', phase: 0.5, longNeedsMore: false }
  ]
  for (const { name, phase, longNeedsMore } of DURATIONS) {
    it(`reserves ${longNeedsMore ? 'more' : 'no more'} against long tasks than against short ones ${name}`, () => {
      const forecast = new Forecast()
      for (let time = 0; time <= 680; time += 1) forecast.observe(swing(time, phase))
      const [short, long] = [500, 4000].map(duration => forecast.headroom.reservedShare(duration)) as [number, number]
      assert.equal(long > 1.2 * short, longNeedsMore, `${short} and ${long}`)
    })
  }
})
