import type { Job } from '../src/contracts/jobs.js'
import type { Resources } from '../src/contracts/resources.js'
import type { ReportedTask } from '../src/contracts/workerProtocol.js'
import { Random } from '../src/base/random.js'
import type { PlacementPolicy } from '../src/scheduling/placementPolicy.js'
import type { SchedulingDecision } from '../src/scheduling/decisions.js'
import { Scheduler } from '../src/scheduling/scheduler.js'

const GIGABYTE = 2 ** 30

/** Scheduler with simulated workers that execute commands immediately. Only calls of the scheduler are timed. */
export class SchedulingSite {
  readonly scheduler: Scheduler
  readonly random: Random
  readonly workers: string[]
  now = 0
  placed = 0
  private nextJobNumber = 0
  private readonly running = new Map<string, Map<string, ReportedTask>>()

  constructor (workers: number, policy: PlacementPolicy, seed: number) {
    this.random = new Random(seed)
    this.scheduler = new Scheduler(1, 0, policy)
    this.workers = Array.from({ length: workers }, (_, index) => `worker-${index}`)
    this.scheduler.setWorkers(this.workers.map((name, index) => ({ name, failureDomain: 'zone', rack: `rack-${index >> 3}`, pool: 'general', address: '', capacity: capacityOf(index), leaving: false })))
    for (const name of this.workers) {
      this.running.set(name, new Map())
      this.report(name)
    }
  }

  /** Adds jobs of one task each, with random sizes in steps of 0.1 processors and 128 MB. Returns their identities. */
  submit (count: number): string[] {
    return Array.from({ length: count }, () => {
      const identity = `job-${this.nextJobNumber++}`
      const resources: Resources = { processorsThousandths: 100 * (1 + this.random.integerBelow(40)), memoryBytes: 2 ** 27 * (1 + this.random.integerBelow(100)), accelerators: this.random.integerBelow(20) === 0 ? 1 : 0 }
      const job: Job = { identity, name: identity, team: `team-${this.random.integerBelow(10)}`, kind: 'batch', urgency: this.random.pick(['normal', 'deferrable'] as const), tasks: 1, resources, checkpointable: false, acceptedAtMilliseconds: 0 }
      this.scheduler.addJob(job, this.now)
      return identity
    })
  }

  /** Decides once, executes the decisions and returns the processor time of the decision in milliseconds, which a busy machine distorts less than elapsed time. */
  decide (limit: number): number {
    this.now += 100
    const before = process.cpuUsage()
    const decisions = this.scheduler.decide(this.now, limit)
    const { user, system } = process.cpuUsage(before)
    const elapsed = (user + system) / 1000
    for (const decision of decisions) this.perform(decision)
    return elapsed
  }

  /** Finishes running tasks of random workers. */
  finish (count: number): void {
    for (let index = 0; index < count; index += 1) {
      const name = this.random.pick(this.workers)
      const tasks = this.running.get(name) as Map<string, ReportedTask>
      const [first] = tasks.values()
      if (first === undefined) continue
      tasks.set(first.task, { ...first, state: 'finished' })
      this.report(name)
      tasks.delete(first.task)
    }
  }

  private report (name: string): void {
    const tasks = [...(this.running.get(name) as Map<string, ReportedTask>).values()]
    this.scheduler.onReport(name, { worker: name, incarnation: '1', term: 1, tasks, logicalTime: 0 }, this.now)
  }

  private perform (decision: SchedulingDecision): void {
    if (decision.kind === 'jobEnded') this.scheduler.forgetJob(decision.job)
    if (decision.kind !== 'start') return
    this.placed += 1
    const { task, attempt, job, worker } = decision
    this.running.get(worker.name)?.set(task, { task, attempt, job: job.identity, taskIndex: 0, state: 'running', resources: job.resources, usage: job.resources, checkpointMilliseconds: 0 })
    this.scheduler.onStartOutcome(task, attempt, 'done', this.now)
  }
}

/** Returns one of three worker sizes; a fifth of the workers have accelerators. */
function capacityOf (index: number): Resources {
  if (index % 5 === 0) return { processorsThousandths: 64_000, memoryBytes: 128 * GIGABYTE, accelerators: 2 }
  return index % 2 === 0 ? { processorsThousandths: 16_000, memoryBytes: 64 * GIGABYTE, accelerators: 0 } : { processorsThousandths: 32_000, memoryBytes: 64 * GIGABYTE, accelerators: 0 }
}
