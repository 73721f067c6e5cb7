import assert from 'node:assert/strict'
import { describe, it, mock } from 'node:test'
import { Random } from '../../../src/base/random.js'
import { ClusterScheduler } from '../../../src/cluster/clusterScheduler.js'
import { UrgentHeadroom } from '../../../src/cluster/urgentHeadroom.js'
import { WorkerState } from '../../../src/cluster/workerState.js'
import { stepJobSchema } from '../../../src/contracts/stepJob.js'
import { FakeClusterWorker } from '../../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../../fakes/silentObserver.js'

const SAMPLES = 1200
const SAMPLES_PER_PERIOD = 170
const BATCH_SAMPLES = 30
const CORES = 1000
/** Urgent work earns about this multiple of what batch work earns in the same processor time, see the site files. */
const URGENT_VALUE = 3

type Demand = (sample: number) => number
/** Samples the use and the demand; returns the share of the capacity that batch work must leave free. */
type Rule = (used: number, demand: number, sample: number) => number

/** The rule without a forecast. */
function averageRule (): Rule {
  let average = 0
  return used => {
    average += 0.03 * (Math.min(1, 1000 * used / (1000 * CORES)) - average)
    return average === 0 ? 0 : Math.min(0.4, Math.max(0.05, 1.5 * average))
  }
}

/** `seasonal` receives the samples at which a season was in use. */
function forecastRule (seasonal: number[]): Rule {
  const worker = new WorkerState(new FakeClusterWorker('fast', CORES, () => 0).entry)
  worker.speed = 1.2
  const headroom = new UrgentHeadroom()
  return (used, demand, sample) => {
    headroom.forecast.series.add(1000 * demand, 100 * sample, 100, 100 * sample)
    worker.urgentProcessors = 1000 * used
    headroom.observe([worker], 100 * sample)
    if (headroom.forecast.hasSeason) seasonal.push(sample)
    return headroom.reservedShare(100 * BATCH_SAMPLES)
  }
}

/** Batch work fills what the rule leaves; urgent work without room is missed. Returns processor-seconds. */
function play (demands: readonly number[], rule: Rule): { missed: number, idle: number, shares: number[] } {
  const ends: number[] = []
  let [batch, missed, idle] = [0, 0, 0]
  const shares = demands.map((demand, sample) => {
    batch -= ends[sample] ?? 0
    const used = Math.min(demand, CORES - batch)
    const share = rule(used, demand, sample)
    const started = Math.max(0, CORES - batch - Math.max(used, share * CORES))
    batch += started
    ends[sample + BATCH_SAMPLES] = started
    missed += (demand - used) / 10
    idle += (CORES - batch - used) / 10
    return share
  })
  return { missed, idle, shares }
}

/** Adds noise that lasts about a second, as the tasks that cause it do. `noise` is its standard deviation, relative to the demand. */
function sampleDemands (demandAt: Demand, noise: number, seed: number): number[] {
  const random = new Random(seed)
  let deviation = 0
  return Array.from({ length: SAMPLES }, (_, sample) => {
    deviation += 0.1 * (noise * 7.5 * (2 * random.fraction() - 1) - deviation)
    return Math.max(0, demandAt(sample) * (1 + deviation))
  })
}

const swing = (phase: number): Demand => sample => 160 * (1 + 0.55 * Math.sin(2 * Math.PI * (sample / SAMPLES_PER_PERIOD + phase)))
const PHASES = [0.1, 0.18, 0.26, 0.34]
/** The demand of a site is that of its failure domains. */
const siteSwing: Demand = sample => PHASES.reduce((sum, phase) => sum + swing(phase)(sample) / PHASES.length, 0)
const isBurst: Demand = sample => Number([200, 410, 800].some(start => sample >= start && sample < start + 40))

/**
 * What can be foreseen must cost no more than without a forecast, what cannot a tenth more; without a season nothing may change.
 * `until`: sample at which the swing ends; after one more period, it must not be in use.
 */
const PATTERNS: ReadonlyArray<{ readonly name: string, readonly demandAt: Demand, readonly maximumCost?: number, readonly until?: number }> = [
  ...PHASES.map(phase => ({ name: `a swing of 55 %, phase ${phase}`, demandAt: swing(phase), maximumCost: 1, until: SAMPLES })),
  { name: 'a swing of 55 % in four failure domains', demandAt: siteSwing, maximumCost: 1, until: SAMPLES },
  { name: 'a swing that stops', demandAt: sample => sample < 800 ? siteSwing(sample) : 160, maximumCost: 1.1, until: 800 },
  { name: 'a swing with a burst', demandAt: sample => siteSwing(sample) * (sample >= 700 && sample < 740 ? 1.8 : 1), maximumCost: 1.1, until: SAMPLES },
  { name: 'a steady demand', demandAt: () => 160 },
  { name: 'a step up', demandAt: sample => sample < 600 ? 100 : 200 },
  { name: 'a step down', demandAt: sample => sample < 600 ? 200 : 100 },
  { name: 'a ramp', demandAt: sample => 80 + 0.15 * sample },
  { name: 'bursts', demandAt: sample => 160 + 130 * isBurst(sample) }
]

describe('UrgentHeadroom', () => {
  for (const { noise, seeds } of [{ noise: 0, seeds: [1] }, { noise: 0.2, seeds: [1, 2, 3, 4, 5, 6, 7, 8] }]) {
    for (const { name, demandAt, maximumCost, until } of PATTERNS) {
      it(`${maximumCost === undefined ? 'is what it was' : 'costs little'} with ${name} and noise of ${noise}`, context => {
        const totals = [0, 0, 0, 0]
        for (const seed of seeds) {
          const demands = sampleDemands(demandAt, noise, seed)
          const seasonal: number[] = []
          const [average, forecast] = [play(demands, averageRule()), play(demands, forecastRule(seasonal))]
          for (const [index, cost] of [average.missed, average.idle, forecast.missed, forecast.idle].entries()) totals[index] = (totals[index] as number) + cost
          if (until === undefined) assert.deepEqual(forecast.shares, average.shares, `seed ${seed}`)
          else assert.ok(Math.min(...seasonal) >= 1.5 * SAMPLES_PER_PERIOD && Math.max(...seasonal) <= until + SAMPLES_PER_PERIOD, `seed ${seed}: in use from ${seasonal[0]} to ${seasonal.at(-1)}`)
        }
        const [missedBefore, idleBefore, missedAfter, idleAfter] = totals.map(total => total / seeds.length) as [number, number, number, number]
        const [before, after] = [URGENT_VALUE * missedBefore + idleBefore, URGENT_VALUE * missedAfter + idleAfter]
        context.diagnostic(`processor-seconds missed ${missedBefore.toFixed()} -> ${missedAfter.toFixed()}, idle ${idleBefore.toFixed()} -> ${idleAfter.toFixed()}, cost ${before.toFixed()} -> ${after.toFixed()}`)
        assert.ok(after <= (noise === 0 ? maximumCost ?? 1 : 1.1) * before, `cost ${before} -> ${after}`)
      })
    }
  }

  it('knows the season within a second of a change of scheduler, and again within two after a pause', () => {
    mock.timers.enable({ apis: ['Date'], now: 1e12 })
    const scheduler = new ClusterScheduler(SILENT_OBSERVER)
    const policy = { priority: 0, attempts: 2, stretch: 1.5, targetMilliseconds: 250, pool: 'pool' }
    const submit = (from: number, to: number): void => {
      for (let time = from; time < to; time += 100) {
        const step = { count: 1, processorsThousandths: Math.round(1000 * siteSwing(time / 100)), estimateMilliseconds: 800 }
        scheduler.addJob(String(time).padStart(16, '0'), { queue: 'urgent', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [step] }), acceptedAt: Date.now() - (to - time), policy }, to)
      }
    }
    const findAt = (times: number[]): boolean => {
      for (const now of times) scheduler.observeLoad(now)
      return scheduler.headroom.forecast.hasSeason
    }
    submit(0, 40_000)
    assert.equal(findAt([40_000, 40_500, 41_000]), true)
    assert.equal(findAt([46_000]), false)
    submit(40_000, 46_000)
    assert.equal(findAt([46_500, 47_000, 47_500, 48_000]), true)
    mock.timers.reset()
  })
})
