import FlatQueue from 'flatqueue'
import { build, type Histogram } from 'hdr-histogram-js'
import { Random } from '../src/base/random.js'
import { addResources, fitsWithin, multiplyResources, subtractResources, type Resources } from '../src/contracts/resources.js'
import type { Job } from '../src/contracts/jobs.js'
import type { ReportedTask } from '../src/contracts/workerProtocol.js'
import { BestFitPolicy } from '../src/scheduling/placementPolicy.js'
import { Scheduler } from '../src/scheduling/scheduler.js'

const GIGABYTE = 2 ** 30
const WORKERS = 30
const TICK_MILLISECONDS = 500
const ARRIVALS_MILLISECONDS = 3_600_000
const END_MILLISECONDS = 4 * ARRIVALS_MILLISECONDS
/** Offered processor time over capacity while jobs arrive. */
const OFFERED_LOAD = 1.1

interface Mix {
  readonly name: string
  readonly capacity: Resources
  readonly rack: number
  readonly acceleratorShare: number
}

const MIXES: readonly Mix[] = [
  { name: '16 cores and 64 GB', capacity: { processorsThousandths: 16_000, memoryBytes: 64 * GIGABYTE, accelerators: 0 }, rack: 8, acceleratorShare: 0 },
  { name: '64 cores, 128 GB and 2 accelerators', capacity: { processorsThousandths: 64_000, memoryBytes: 128 * GIGABYTE, accelerators: 2 }, rack: 6, acceleratorShare: 0.15 }
]

interface Arrival {
  readonly at: number
  readonly job: Job
}

interface Started {
  readonly task: string
  readonly job: Job
}

/** A system under comparison: is told of jobs and ends, and says what it starts and stops. */
interface System {
  add: (job: Job, now: number) => void
  /** Returns tasks that start now; `stopped` is called for each that is preempted. */
  tick: (now: number, ended: readonly Started[], stopped: (task: string) => void) => Started[]
}

class OurSystem implements System {
  private readonly scheduler = new Scheduler(1, 0, new BestFitPolicy())
  private readonly tasks = new Map<string, Map<string, ReportedTask>>()
  private readonly places = new Map<string, string>()

  constructor (mix: Mix) {
    const names = Array.from({ length: WORKERS }, (_, index) => `worker-${index}`)
    this.scheduler.setWorkers(names.map((name, index) => ({ name, failureDomain: 'zone', rack: `rack-${Math.floor(index / mix.rack)}`, pool: 'pool', address: '', capacity: mix.capacity, leaving: false })))
    const half = multiplyResources(mix.capacity, WORKERS / 2)
    this.scheduler.setQuotas({ a: { quota: half }, b: { quota: half } })
    for (const name of names) this.tasks.set(name, new Map())
    this.report(0)
  }

  add (job: Job, now: number): void {
    this.scheduler.addJob(job, now)
  }

  tick (now: number, ended: readonly Started[], stopped: (task: string) => void): Started[] {
    for (const { task } of ended) this.change(task, 'finished')
    this.scheduler.planRenewals(now)
    this.report(now)
    const started: Started[] = []
    for (const decision of this.scheduler.decide(now, 500)) {
      if (decision.kind === 'jobEnded') this.scheduler.forgetJob(decision.job)
      if (decision.kind === 'stop' || decision.kind === 'checkpoint') {
        this.change(decision.task, decision.kind === 'stop' ? 'stopped' : 'checkpointed')
        stopped(decision.task)
      }
      if (decision.kind !== 'start') continue
      const { task, attempt, job, worker } = decision
      this.places.set(task, worker.name)
      this.tasks.get(worker.name)?.set(task, { task, attempt, job: job.identity, taskIndex: decision.taskIndex, state: 'running', resources: job.resources, usage: job.resources, checkpointMilliseconds: 0 })
      this.scheduler.onStartOutcome(task, attempt, 'done', now)
      started.push({ task, job })
    }
    return started
  }

  private change (task: string, state: ReportedTask['state']): void {
    const tasks = this.tasks.get(this.places.get(task) ?? '')
    const known = tasks?.get(task)
    if (known !== undefined) tasks?.set(task, { ...known, state })
  }

  private report (now: number): void {
    for (const [name, tasks] of this.tasks) {
      this.scheduler.onReport(name, { worker: name, incarnation: '1', term: 1, tasks: [...tasks.values()], logicalTime: 0 }, now)
      for (const [task, { state }] of tasks) {
        if (state !== 'running') tasks.delete(task)
      }
    }
  }
}

/** Baselines without urgency, preemption or reservation. A gang starts only as a whole. */
class BaselineSystem implements System {
  private readonly free: Resources[]
  private readonly places = new Map<string, number>()
  private waiting: Array<{ job: Job, next: number }> = []

  constructor (private readonly mix: Mix, private readonly choice: 'first' | 'best', private readonly strictOrder: boolean) {
    this.free = Array.from({ length: WORKERS }, () => mix.capacity)
  }

  add (job: Job): void {
    this.waiting.push({ job, next: 0 })
  }

  tick (_now: number, ended: readonly Started[]): Started[] {
    for (const { task, job } of ended) this.give(task, job)
    const started: Started[] = []
    for (const entry of this.waiting) {
      this.place(entry, started)
      if (this.strictOrder && entry.next < entry.job.tasks) break
    }
    this.waiting = this.waiting.filter(({ job, next }) => next < job.tasks)
    return started
  }

  private place (entry: { job: Job, next: number }, started: Started[]): void {
    const { job } = entry
    const placed: string[] = []
    while (entry.next + placed.length < job.tasks) {
      const index = this.choose(job.resources)
      if (index < 0) break
      const task = `${job.identity}#${entry.next + placed.length}`
      this.places.set(task, index)
      this.free[index] = subtractResources(this.free[index] as Resources, job.resources)
      placed.push(task)
    }
    if (job.kind === 'gang' && placed.length < job.tasks) {
      for (const task of placed) this.give(task, job)
      return
    }
    entry.next += placed.length
    for (const task of placed) started.push({ task, job })
  }

  private choose (demand: Resources): number {
    let best = -1
    let bestScore = Infinity
    for (const [index, free] of this.free.entries()) {
      if (!fitsWithin(demand, free)) continue
      if (this.choice === 'first') return index
      const score = (free.processorsThousandths - demand.processorsThousandths) / this.mix.capacity.processorsThousandths + (free.memoryBytes - demand.memoryBytes) / this.mix.capacity.memoryBytes
      if (score < bestScore) [best, bestScore] = [index, score]
    }
    return best
  }

  private give (task: string, job: Job): void {
    const index = this.places.get(task) as number
    this.free[index] = addResources(this.free[index] as Resources, job.resources)
  }
}

/** Prints waiting times, packing, lost work and processor time of our decisions and of three baselines on the same arrivals. */
export function runPolicyBench (seeds: readonly number[]): void {
  for (const mix of MIXES) {
    process.stdout.write(`${WORKERS} workers of ${mix.name}; seeds ${seeds.join(', ')}; waiting time of tasks in seconds, p50 / p99\n`)
    process.stdout.write('system | urgent batch | normal batch | normal gang | deferrable batch | packing while work waits | lost work, core hours | decisions, s of processor | unfinished tasks\n')
    for (const name of ['ours', 'first fit', 'best fit', 'first in, first out'] as const) {
      const total = new Result()
      for (const seed of seeds) {
        const system = name === 'ours' ? new OurSystem(mix) : new BaselineSystem(mix, name === 'best fit' ? 'best' : 'first', name === 'first in, first out')
        simulate(mix, system, seed, total)
      }
      process.stdout.write(`${name} | ${total.describe()}\n`)
    }
  }
}

class Result {
  readonly waits = new Map<string, Histogram>()
  usedShare = 0
  samples = 0
  lostCoreMilliseconds = 0
  decisionMilliseconds = 0
  unfinished = 0

  noteWait (job: Job, milliseconds: number): void {
    const key = `${job.urgency} ${job.kind}`
    const histogram = this.waits.get(key) ?? build()
    this.waits.set(key, histogram)
    histogram.recordValue(Math.max(1, Math.round(milliseconds)))
  }

  describe (): string {
    const waits = ['urgent batch', 'normal batch', 'normal gang', 'deferrable batch'].map(key => {
      const histogram = this.waits.get(key)
      return histogram === undefined ? '-' : `${(histogram.getValueAtPercentile(50) / 1000).toFixed(1)} / ${(histogram.getValueAtPercentile(99) / 1000).toFixed(1)}`
    })
    return `${waits.join(' | ')} | ${(100 * this.usedShare / Math.max(1, this.samples)).toFixed(1)} % | ${(this.lostCoreMilliseconds / 3_600_000).toFixed(2)} | ${(this.decisionMilliseconds / 1000).toFixed(2)} | ${this.unfinished}`
  }
}

/** Runs one seeded mix on a simulated clock until all tasks have ended or the time bound is reached. */
function simulate (mix: Mix, system: System, seed: number, result: Result): void {
  const arrivals = arrivalsOf(mix, seed)
  const waiting = new Map<string, { job: Job, at: number }>()
  const running = new Map<string, { job: Job, startedAt: number, remaining: number, run: number }>()
  const remaining = new Map<string, number>()
  const ends = new FlatQueue<{ task: string, run: number }>()
  let used = 0
  let runs = 0
  let next = 0
  for (let now = 0; now < END_MILLISECONDS && (next < arrivals.length || waiting.size > 0 || running.size > 0); now += TICK_MILLISECONDS) {
    for (let arrival = arrivals[next]; arrival !== undefined && arrival.at <= now; arrival = arrivals[++next]) {
      system.add(arrival.job, now)
      for (let index = 0; index < arrival.job.tasks; index += 1) waiting.set(`${arrival.job.identity}#${index}`, { job: arrival.job, at: now })
    }
    const ended: Started[] = []
    while ((ends.peekValue() ?? Infinity) <= now) {
      const { task, run } = ends.pop() as { task: string, run: number }
      const entry = running.get(task)
      if (entry === undefined || entry.run !== run) continue
      running.delete(task)
      used -= entry.job.resources.processorsThousandths
      ended.push({ task, job: entry.job })
    }
    const before = process.cpuUsage()
    const started = system.tick(now, ended, task => {
      const entry = running.get(task)
      if (entry === undefined) return
      running.delete(task)
      used -= entry.job.resources.processorsThousandths
      const done = now - entry.startedAt
      if (entry.job.checkpointable) remaining.set(task, entry.remaining - done)
      else result.lostCoreMilliseconds += done * entry.job.resources.processorsThousandths / 1000
    })
    const spent = process.cpuUsage(before)
    result.decisionMilliseconds += (spent.user + spent.system) / 1000
    for (const { task, job } of started) {
      const wait = waiting.get(task)
      if (wait !== undefined) result.noteWait(job, now - wait.at)
      waiting.delete(task)
      const left = remaining.get(task) ?? job.runMilliseconds ?? 1
      runs += 1
      running.set(task, { job, startedAt: now, remaining: left, run: runs })
      used += job.resources.processorsThousandths
      ends.push({ task, run: runs }, now + left)
    }
    if (waiting.size === 0) continue
    result.samples += 1
    result.usedShare += used / (WORKERS * mix.capacity.processorsThousandths)
  }
  result.unfinished += waiting.size + running.size
}

/** Open-loop arrivals: small urgent jobs, normal jobs, gangs, and large deferrable batches of two teams. */
function arrivalsOf (mix: Mix, seed: number): Arrival[] {
  const random = new Random(seed)
  const { capacity } = mix
  const target = OFFERED_LOAD * WORKERS * capacity.processorsThousandths * ARRIVALS_MILLISECONDS
  const arrivals: Arrival[] = []
  for (let offered = 0; offered < target;) {
    const kind = random.integerBelow(100)
    const urgency = kind < 30 ? 'urgent' : kind < 60 ? 'normal' : 'deferrable'
    const gang = urgency === 'normal' && kind < 35
    const share = gang ? 4 + random.integerBelow(5) : 1 + random.integerBelow(urgency === 'urgent' ? 2 : 6)
    const accelerators = capacity.accelerators > 0 && random.fraction() < mix.acceleratorShare ? 1 : 0
    const resources = { processorsThousandths: Math.round(capacity.processorsThousandths * share / 16), memoryBytes: Math.round(capacity.memoryBytes * (1 + random.integerBelow(6)) / 16), accelerators }
    const runMilliseconds = Math.round(1000 + random.exponential(urgency === 'urgent' ? 10_000 : urgency === 'normal' ? 120_000 : 400_000))
    const tasks = gang ? 4 + random.integerBelow(9) : urgency === 'deferrable' ? 1 + random.integerBelow(20) : 1 + random.integerBelow(3)
    const identity = `job-${arrivals.length}`
    const job: Job = { identity, name: identity, team: random.pick(['a', 'b']), kind: gang ? 'gang' : 'batch', urgency, tasks, resources, runMilliseconds, checkpointable: urgency === 'deferrable' && random.fraction() < 0.7, acceptedAtMilliseconds: 0 }
    arrivals.push({ at: random.integerBelow(ARRIVALS_MILLISECONDS), job })
    offered += tasks * runMilliseconds * resources.processorsThousandths
  }
  return arrivals.sort((left, right) => left.at - right.at)
}
