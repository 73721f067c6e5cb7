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
const TIME_LIMIT_MILLISECONDS = 4 * ARRIVALS_MILLISECONDS
/** Ratio of the offered processor time to the capacity while jobs arrive. */
const OFFERED_LOAD = 1.1

interface WorkloadMix {
  readonly name: string
  readonly capacity: Resources
  readonly workersPerRack: number
  readonly acceleratorShare: number
}

const MIXES: readonly WorkloadMix[] = [
  { name: '16 cores and 64 GB', capacity: { processorsThousandths: 16_000, memoryBytes: 64 * GIGABYTE, accelerators: 0 }, workersPerRack: 8, acceleratorShare: 0 },
  { name: '64 cores, 128 GB and 2 accelerators', capacity: { processorsThousandths: 64_000, memoryBytes: 128 * GIGABYTE, accelerators: 2 }, workersPerRack: 6, acceleratorShare: 0.15 }
]

interface Arrival {
  readonly at: number
  readonly job: Job
}

interface StartedTask {
  readonly task: string
  readonly job: Job
}

/** Scheduling system under comparison. It receives jobs and completions, and decides which tasks to start and to stop. */
interface ComparedSystem {
  addJob: (job: Job, now: number) => void
  /** Returns the tasks that start now, and calls `onPreempted` for each preempted task. */
  tick: (now: number, ended: readonly StartedTask[], onPreempted: (task: string) => void) => StartedTask[]
}

class SchedulerSystem implements ComparedSystem {
  private readonly scheduler = new Scheduler(1, 0, new BestFitPolicy())
  private readonly tasksByWorker = new Map<string, Map<string, ReportedTask>>()
  private readonly workerByTask = new Map<string, string>()

  constructor (mix: WorkloadMix) {
    const names = Array.from({ length: WORKERS }, (_, index) => `worker-${index}`)
    this.scheduler.setWorkers(names.map((name, index) => ({ name, failureDomain: 'zone', rack: `rack-${Math.floor(index / mix.workersPerRack)}`, pool: 'pool', address: '', capacity: mix.capacity, leaving: false })))
    const half = multiplyResources(mix.capacity, WORKERS / 2)
    this.scheduler.setQuotas({ a: { quota: half }, b: { quota: half } })
    for (const name of names) this.tasksByWorker.set(name, new Map())
    this.reportWorkers(0)
  }

  addJob (job: Job, now: number): void {
    this.scheduler.addJob(job, now)
  }

  tick (now: number, ended: readonly StartedTask[], onPreempted: (task: string) => void): StartedTask[] {
    for (const { task } of ended) this.setTaskState(task, 'finished')
    this.scheduler.planRenewals(now)
    this.reportWorkers(now)
    const started: StartedTask[] = []
    for (const decision of this.scheduler.decide(now, 500)) {
      if (decision.kind === 'jobEnded') this.scheduler.forgetJob(decision.job)
      if (decision.kind === 'stop' || decision.kind === 'checkpoint') {
        this.setTaskState(decision.task, decision.kind === 'stop' ? 'stopped' : 'checkpointed')
        onPreempted(decision.task)
      }
      if (decision.kind !== 'start') continue
      const { task, attempt, job, worker } = decision
      this.workerByTask.set(task, worker.name)
      this.tasksByWorker.get(worker.name)?.set(task, { task, attempt, job: job.identity, taskIndex: decision.taskIndex, state: 'running', resources: job.resources, usage: job.resources, checkpointMilliseconds: 0 })
      this.scheduler.onStartOutcome(task, attempt, 'done', now)
      started.push({ task, job })
    }
    return started
  }

  private setTaskState (task: string, state: ReportedTask['state']): void {
    const tasks = this.tasksByWorker.get(this.workerByTask.get(task) ?? '')
    const reported = tasks?.get(task)
    if (reported !== undefined) tasks?.set(task, { ...reported, state })
  }

  private reportWorkers (now: number): void {
    for (const [name, tasks] of this.tasksByWorker) {
      this.scheduler.onReport(name, { worker: name, incarnation: '1', term: 1, tasks: [...tasks.values()], logicalTime: 0 }, now)
      for (const [task, { state }] of tasks) {
        if (state !== 'running') tasks.delete(task)
      }
    }
  }
}

/** Baseline without urgency, preemption or reservation. A gang starts only as a whole. */
class BaselineSystem implements ComparedSystem {
  private readonly free: Resources[]
  private readonly workerByTask = new Map<string, number>()
  private waiting: Array<{ job: Job, next: number }> = []

  constructor (private readonly mix: WorkloadMix, private readonly fit: 'first' | 'best', private readonly isStrictOrder: boolean) {
    this.free = Array.from({ length: WORKERS }, () => mix.capacity)
  }

  addJob (job: Job): void {
    this.waiting.push({ job, next: 0 })
  }

  tick (_now: number, ended: readonly StartedTask[]): StartedTask[] {
    for (const { task, job } of ended) this.releaseTask(task, job)
    const started: StartedTask[] = []
    for (const entry of this.waiting) {
      this.place(entry, started)
      if (this.isStrictOrder && entry.next < entry.job.tasks) break
    }
    this.waiting = this.waiting.filter(({ job, next }) => next < job.tasks)
    return started
  }

  private place (entry: { job: Job, next: number }, started: StartedTask[]): void {
    const { job } = entry
    const placed: string[] = []
    while (entry.next + placed.length < job.tasks) {
      const index = this.chooseWorker(job.resources)
      if (index < 0) break
      const task = `${job.identity}#${entry.next + placed.length}`
      this.workerByTask.set(task, index)
      this.free[index] = subtractResources(this.free[index] as Resources, job.resources)
      placed.push(task)
    }
    if (job.kind === 'gang' && placed.length < job.tasks) {
      for (const task of placed) this.releaseTask(task, job)
      return
    }
    entry.next += placed.length
    for (const task of placed) started.push({ task, job })
  }

  private chooseWorker (demand: Resources): number {
    let best = -1
    let bestScore = Infinity
    for (const [index, free] of this.free.entries()) {
      if (!fitsWithin(demand, free)) continue
      if (this.fit === 'first') return index
      const score = (free.processorsThousandths - demand.processorsThousandths) / this.mix.capacity.processorsThousandths + (free.memoryBytes - demand.memoryBytes) / this.mix.capacity.memoryBytes
      if (score < bestScore) [best, bestScore] = [index, score]
    }
    return best
  }

  private releaseTask (task: string, job: Job): void {
    const index = this.workerByTask.get(task) as number
    this.free[index] = addResources(this.free[index] as Resources, job.resources)
  }
}

/** Prints waiting times, packing, lost work and processor time of the scheduler and of three baselines for the same arrivals. */
export function runPolicyBench (seeds: readonly number[]): void {
  for (const mix of MIXES) {
    process.stdout.write(`${WORKERS} workers of ${mix.name}; seeds ${seeds.join(', ')}; waiting time of tasks in seconds, p50 / p99\n`)
    process.stdout.write('system | urgent batch | normal batch | normal gang | deferrable batch | packing while work waits | lost work, core hours | decisions, processor s | unfinished tasks\n')
    for (const name of ['scheduler', 'first fit', 'best fit', 'first in, first out'] as const) {
      const total = new PolicyResult()
      for (const seed of seeds) {
        const system = name === 'scheduler' ? new SchedulerSystem(mix) : new BaselineSystem(mix, name === 'best fit' ? 'best' : 'first', name === 'first in, first out')
        simulate(mix, system, seed, total)
      }
      process.stdout.write(`${name} | ${total.format()}\n`)
    }
  }
}

class PolicyResult {
  readonly waitingTimes = new Map<string, Histogram>()
  usedShare = 0
  samples = 0
  lostCoreMilliseconds = 0
  decisionMilliseconds = 0
  unfinished = 0

  recordWait (job: Job, milliseconds: number): void {
    const key = `${job.urgency} ${job.kind}`
    const histogram = this.waitingTimes.get(key) ?? build()
    this.waitingTimes.set(key, histogram)
    histogram.recordValue(Math.max(1, Math.round(milliseconds)))
  }

  format (): string {
    const waitingTimes = ['urgent batch', 'normal batch', 'normal gang', 'deferrable batch'].map(key => {
      const histogram = this.waitingTimes.get(key)
      return histogram === undefined ? '-' : `${(histogram.getValueAtPercentile(50) / 1000).toFixed(1)} / ${(histogram.getValueAtPercentile(99) / 1000).toFixed(1)}`
    })
    return `${waitingTimes.join(' | ')} | ${(100 * this.usedShare / Math.max(1, this.samples)).toFixed(1)} % | ${(this.lostCoreMilliseconds / 3_600_000).toFixed(2)} | ${(this.decisionMilliseconds / 1000).toFixed(2)} | ${this.unfinished}`
  }
}

/** Runs one seeded workload on a simulated clock until all tasks have ended or the time limit is reached. */
function simulate (mix: WorkloadMix, system: ComparedSystem, seed: number, result: PolicyResult): void {
  const arrivals = createArrivals(mix, seed)
  const waiting = new Map<string, { job: Job, at: number }>()
  const running = new Map<string, { job: Job, startedAt: number, remaining: number, run: number }>()
  const remainingByTask = new Map<string, number>()
  const ends = new FlatQueue<{ task: string, run: number }>()
  let used = 0
  let runs = 0
  let next = 0
  for (let now = 0; now < TIME_LIMIT_MILLISECONDS && (next < arrivals.length || waiting.size > 0 || running.size > 0); now += TICK_MILLISECONDS) {
    for (let arrival = arrivals[next]; arrival !== undefined && arrival.at <= now; arrival = arrivals[++next]) {
      system.addJob(arrival.job, now)
      for (let index = 0; index < arrival.job.tasks; index += 1) waiting.set(`${arrival.job.identity}#${index}`, { job: arrival.job, at: now })
    }
    const ended: StartedTask[] = []
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
      if (entry.job.checkpointable) remainingByTask.set(task, entry.remaining - done)
      else result.lostCoreMilliseconds += done * entry.job.resources.processorsThousandths / 1000
    })
    const spent = process.cpuUsage(before)
    result.decisionMilliseconds += (spent.user + spent.system) / 1000
    for (const { task, job } of started) {
      const wait = waiting.get(task)
      if (wait !== undefined) result.recordWait(job, now - wait.at)
      waiting.delete(task)
      const remaining = remainingByTask.get(task) ?? job.runMilliseconds ?? 1
      runs += 1
      running.set(task, { job, startedAt: now, remaining, run: runs })
      used += job.resources.processorsThousandths
      ends.push({ task, run: runs }, now + remaining)
    }
    if (waiting.size === 0) continue
    result.samples += 1
    result.usedShare += used / (WORKERS * mix.capacity.processorsThousandths)
  }
  result.unfinished += waiting.size + running.size
}

/** Creates open-loop arrivals of two teams: small urgent jobs, normal jobs, gangs and large deferrable batches. */
function createArrivals (mix: WorkloadMix, seed: number): Arrival[] {
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
