import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Random } from '../../src/base/random.js'
import { addResources, fitsWithin, NO_RESOURCES, type Resources } from '../../src/contracts/resources.js'
import type { Job } from '../../src/contracts/jobs.js'
import type { Attempt, ReportedTask } from '../../src/contracts/workerProtocol.js'
import { compareAttempts } from '../../src/scheduling/jobState.js'
import { BestFitPolicy } from '../../src/scheduling/placementPolicy.js'
import type { SchedulingDecision } from '../../src/scheduling/decisions.js'
import { Scheduler } from '../../src/scheduling/scheduler.js'

const LEASE_MILLISECONDS = 30_000
const CALL_TIMEOUT_MILLISECONDS = 2000
const STEP_MILLISECONDS = 250
/** Time after a takeover by which tasks on silent workers must have ended: the ownership lease and its margin (4500 ms), then the task lease and its margin (1000 ms). */
const TAKEOVER_BOUND_MILLISECONDS = 4500 + LEASE_MILLISECONDS + 1000

interface FakeTask { reported: ReportedTask, leaseUntil: number, endsAt: number }

/** Worker that carries out every start, checks terms, and keeps ended tasks until they are acknowledged. */
class FakeWorker {
  tasks = new Map<string, FakeTask>()
  term = 0
  incarnation = 1
  silentUntil = 0

  constructor (readonly name: string, public capacity: Resources) {}

  get running (): FakeTask[] {
    return [...this.tasks.values()].filter(({ reported }) => reported.state === 'running')
  }

  advance (now: number): void {
    for (const task of this.running) {
      if (task.leaseUntil <= now) task.reported = { ...task.reported, state: 'leaseLapsed' }
      else if (task.endsAt <= now) task.reported = { ...task.reported, state: 'finished' }
    }
  }

  start (decision: Extract<SchedulingDecision, { kind: 'start' }>, now: number, runFor: number): 'done' | 'refused' | 'stale' {
    const { task, attempt, job } = decision
    if (attempt.term < this.term) return 'stale'
    this.term = attempt.term
    const known = this.tasks.get(task)
    const order = known === undefined ? 1 : compareAttempts(attempt, known.reported.attempt)
    if (order < 0) return 'refused'
    if (order > 0) this.tasks.set(task, { reported: { task, attempt, job: job.identity, taskIndex: decision.taskIndex, state: 'running', resources: job.resources, usage: job.resources, checkpointMilliseconds: 0 }, leaseUntil: now + LEASE_MILLISECONDS, endsAt: now + runFor })
    return 'done'
  }

  stop (task: string, attempt: Attempt): void {
    const known = this.tasks.get(task)
    if (known?.reported.state === 'running' && compareAttempts(known.reported.attempt, attempt) === 0) known.reported = { ...known.reported, state: 'stopped' }
  }
}

/** One seeded run: random delays, lost responses, silent and restarted workers, cancellations and changes of owner. */
class Run {
  readonly workers: FakeWorker[]
  private readonly random: Random
  private readonly jobs = new Map<string, { job: Job, cancelled: boolean, ended: boolean, progress: Set<number> }>()
  private readonly queue: Array<{ at: number, act: () => void }> = []
  private scheduler: Scheduler
  private term = 1
  private now = 0

  constructor (readonly seed: number) {
    this.random = new Random(seed)
    this.workers = Array.from({ length: 4 }, (_, index) => new FakeWorker(`worker-${index}`, { processorsThousandths: 4000, memoryBytes: 1000, accelerators: index % 2 }))
    this.scheduler = new Scheduler(1, 0, new BestFitPolicy())
    this.listWorkers()
  }

  get openJobs (): string[] {
    return [...this.jobs.values()].filter(entry => !entry.ended).map(({ job }) => job.identity)
  }

  /** Runs `steps` steps with faults, then as many without, and checks the invariants after each. */
  run (steps: number): void {
    for (let step = 0; step < steps * 2; step += 1) {
      const faulty = step < steps
      this.now += STEP_MILLISECONDS
      if (faulty) this.injectFault()
      if (step === steps) this.listWorkers()
      for (const worker of this.workers) worker.advance(this.now)
      this.renew(faulty)
      for (const decision of this.scheduler.decide(this.now, 20)) this.perform(decision, faulty)
      for (const [job, finished] of this.scheduler.takeProgress()) this.after(this.random.integerBelow(500), () => this.logProgress(job, finished))
      this.runDueEvents()
      this.checkInvariants()
    }
  }

  private injectFault (): void {
    const chance = this.random.integerBelow(100)
    const worker = this.random.pick(this.workers)
    if (chance < 12 && this.jobs.size < 60) this.submit()
    else if (chance < 14) this.cancel()
    else if (chance < 15) worker.silentUntil = this.now + this.random.integerBelow(60_000)
    else if (chance < 16) { worker.tasks.clear(); worker.term = 0; worker.incarnation += 1 } else if (chance === 20 && this.random.integerBelow(4) === 0) this.changeOwner()
    else if (chance === 21) this.listWorkers(worker)
    else if (chance === 22) this.listWorkers()
  }

  private submit (): void {
    const identity = `job-${this.jobs.size}`
    const kind = this.random.pick(['batch', 'gang'] as const)
    const resources = { processorsThousandths: 500 + 500 * this.random.integerBelow(4), memoryBytes: 100 + this.random.integerBelow(300), accelerators: this.random.integerBelow(8) === 0 ? 1 : 0 }
    const job: Job = { identity, name: identity, team: 'one', kind, urgency: 'normal', tasks: 1 + this.random.integerBelow(kind === 'gang' ? 2 : 4), resources, checkpointable: false, acceptedAtMilliseconds: 0 }
    this.jobs.set(identity, { job, cancelled: false, ended: false, progress: new Set() })
    this.scheduler.addJob(job, this.now)
  }

  private cancel (): void {
    const entry = this.jobs.get(this.openJobs[0] ?? '')
    if (entry === undefined) return
    entry.cancelled = true
    this.scheduler.cancelJob(entry.job.identity)
  }

  private changeOwner (): void {
    this.term += 1
    this.scheduler = new Scheduler(this.term, this.now + TAKEOVER_BOUND_MILLISECONDS, new BestFitPolicy())
    this.listWorkers()
    for (const { job, cancelled, ended, progress } of this.jobs.values()) {
      if (ended) continue
      const addedAfter = this.random.integerBelow(3) * 400
      this.after(addedAfter, () => {
        this.scheduler.addJob(job, this.now, true)
        this.scheduler.onProgress(job.identity, progress, this.now)
        if (cancelled) this.scheduler.cancelJob(job.identity)
      })
    }
  }

  private listWorkers (without?: FakeWorker): void {
    this.scheduler.setWorkers(this.workers.filter(worker => worker !== without).map(({ name, capacity }) => ({ name, failureDomain: 'zone', rack: 'rack', pool: 'pool', address: '', capacity, leaving: false })))
  }

  private perform (decision: SchedulingDecision, faulty: boolean): void {
    const { scheduler, term } = this
    if (decision.kind === 'jobEnded') this.after(this.random.integerBelow(300), () => this.endJob(decision.job))
    if (decision.kind === 'stop') {
      this.send(decision.worker.name, faulty, worker => worker.stop(decision.task, decision.attempt), () => {})
    }
    if (decision.kind !== 'start') return
    assert.ok(this.jobs.get(decision.job.identity)?.progress.has(decision.taskIndex) !== true, `seed ${this.seed} at ${this.now}: ${decision.task} is started again although the log records it as finished`)
    const runFor = 500 + this.random.integerBelow(20_000)
    this.send(decision.worker.name, faulty, worker => worker.start(decision, this.now, runFor), outcome => {
      if (scheduler === this.scheduler && term === this.term) scheduler.onStartOutcome(decision.task, decision.attempt, outcome ?? 'unknown', this.now)
    })
  }

  private renew (faulty: boolean): void {
    const { scheduler } = this
    const requestedAt = this.now
    for (const plan of scheduler.planRenewals(requestedAt)) {
      this.send(plan.worker.name, faulty, worker => {
        if (worker.term > this.term) return undefined
        worker.term = this.term
        for (const { task, attempt } of plan.tasks) {
          const known = worker.tasks.get(task)
          if (known?.reported.state === 'running' && compareAttempts(known.reported.attempt, attempt) === 0) known.leaseUntil = this.now + LEASE_MILLISECONDS
        }
        for (const { task, attempt } of plan.acknowledged) {
          const known = worker.tasks.get(task)
          if (known !== undefined && known.reported.state !== 'running' && compareAttempts(known.reported.attempt, attempt) === 0) worker.tasks.delete(task)
        }
        return { worker: worker.name, incarnation: String(worker.incarnation), term: worker.term, tasks: [...worker.tasks.values()].map(({ reported }) => reported), logicalTime: 0 }
      }, report => {
        if (report !== undefined && scheduler === this.scheduler) scheduler.onReport(plan.worker.name, report, this.now, requestedAt)
      })
    }
  }

  /** Delivers a request after a random delay. The response may be lost; a silent worker receives nothing and sends none. Messages may be reordered. */
  private send<T> (name: string, faulty: boolean, deliver: (worker: FakeWorker) => T, respond: (result: T | undefined) => void): void {
    const worker = this.workers.find(candidate => candidate.name === name) as FakeWorker
    const { term } = this
    const delay = faulty ? this.random.integerBelow(700) : 10
    const responseLost = faulty && this.random.integerBelow(10) === 0
    this.after(delay, () => {
      const reached = worker.silentUntil <= this.now && term === this.term
      const result = reached ? deliver(worker) : undefined
      if (!reached || responseLost) this.after(CALL_TIMEOUT_MILLISECONDS - delay, () => respond(undefined))
      else this.after(faulty ? this.random.integerBelow(700) : 10, () => respond(result))
    })
  }

  private endJob (identity: string): void {
    const entry = this.jobs.get(identity)
    if (entry !== undefined) entry.ended = true
    this.scheduler.forgetJob(identity)
  }

  private logProgress (identity: string, finished: readonly number[]): void {
    for (const index of finished) this.jobs.get(identity)?.progress.add(index)
    this.scheduler.onProgress(identity, finished, this.now)
  }

  private after (delay: number, act: () => void): void {
    this.queue.push({ at: this.now + delay, act })
  }

  private runDueEvents (): void {
    const until = this.now
    for (;;) {
      this.queue.sort((left, right) => left.at - right.at)
      const next = this.queue[0]
      if (next === undefined || next.at > until + STEP_MILLISECONDS - 1) return
      this.queue.shift()
      this.now = Math.max(until, next.at)
      next.act()
      this.now = until
    }
  }

  private checkInvariants (): void {
    const workerOfTask = new Map<string, string>()
    for (const worker of this.workers) {
      const used = worker.running.reduce((sum, { reported }) => addResources(sum, reported.resources), NO_RESOURCES)
      assert.ok(fitsWithin(used, worker.capacity), `seed ${this.seed} at ${this.now}: ${worker.name} is overcommitted`)
      for (const { reported } of worker.running) {
        assert.equal(workerOfTask.get(reported.task), undefined, `seed ${this.seed} at ${this.now}: ${reported.task} runs on ${workerOfTask.get(reported.task)} and ${worker.name}`)
        workerOfTask.set(reported.task, worker.name)
      }
    }
  }
}

describe('Scheduler on random interleavings', () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    it(`seed ${seed}: no worker is overcommitted, no task runs in two places, and every job ends`, () => {
      const run = new Run(seed)
      run.run(800)
      assert.deepEqual(run.openJobs, [])
    })
  }
})
