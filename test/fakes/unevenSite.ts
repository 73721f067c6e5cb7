import { Random } from '../../src/base/random.js'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import type { CommandOutcome, EndReport } from '../../src/cluster/workerPort.js'
import type { EjectionChange } from '../../src/cluster/workers/outlierEjector.js'
import { stepJobSchema, type JobStep } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker } from './fakeClusterWorkers.js'
import { SILENT_OBSERVER } from './silentObserver.js'

const QUEUES = [
  { name: 'urgent', host: 'host', routePrefix: '/u/', pool: 'pool', priority: 0, attempts: 4, stretch: 3, targetMilliseconds: 5000 },
  { name: 'batch', host: 'host', routePrefix: '/b/', pool: 'pool', priority: 1, attempts: 4, stretch: 20, targetMilliseconds: 20_000 }
]
const STEP_MILLISECONDS = 100
/** Longest time between two reports of a worker without ends, in milliseconds. */
const REPORT_PERIOD_MILLISECONDS = 1500

interface SimulatedRun {
  readonly run: number
  readonly workMilliseconds: number
  doneMilliseconds: number
}

/** A worker whose faults a test sets. */
export class UnevenWorker {
  /** Share of its speed at which it works. */
  pace = 1
  failureShare = 0
  isUnhealthy = false
  readonly runs = new Map<string, SimulatedRun>()
  private readonly ended: EndReport[] = []
  private endCount = 0
  private reportedAt = -Infinity

  constructor (readonly name: string) {}

  end (task: string, run: number, kind: EndReport['kind']): void {
    this.runs.delete(task)
    this.endCount += 1
    this.ended.push({ number: this.endCount, task, run, kind, checkpoint: '' })
  }

  advance (random: Random): void {
    for (const [task, run] of this.runs) {
      run.doneMilliseconds += STEP_MILLISECONDS * this.pace
      if (run.doneMilliseconds >= run.workMilliseconds) this.end(task, run.run, random.fraction() < this.failureShare ? 'failed' : 'done')
    }
  }

  reportIfDue (scheduler: ClusterScheduler, now: number): void {
    if (this.ended.length === 0 && now - this.reportedAt < REPORT_PERIOD_MILLISECONDS) return
    this.reportedAt = now
    const running = [...this.runs].map(([task, { run, doneMilliseconds, workMilliseconds }]) => ({ task, run, checkpoint: '', percent: Math.floor(100 * doneMilliseconds / workMilliseconds) }))
    scheduler.onReport(this.name, { clockMilliseconds: now + 1, processStartedAt: 1, running, ended: this.ended.splice(0) }, now, now)
  }
}

/** Workers of 4 cores in failure domains of eight, driven without timers; records the decisions of the scheduler about them. */
export class UnevenSite {
  now = 1000
  readonly workers: UnevenWorker[] = []
  readonly changes: Array<{ readonly worker: string, readonly at: number } & EjectionChange> = []
  readonly moved: string[] = []
  largestEjectedCount = 0
  readonly scheduler: ClusterScheduler
  private readonly random = new Random(7)
  private jobCount = 0

  /** `workMilliseconds` returns the work of a run. */
  constructor (count: number, private readonly workMilliseconds: (random: Random) => number = () => 1000) {
    this.scheduler = new ClusterScheduler({
      ...SILENT_OBSERVER,
      onDidChangeEjection: (worker, change) => { this.changes.push({ worker: worker.identity, at: this.now, ...change }) },
      onWillMoveStraggler: (_, { task }) => { this.moved.push(task.name) }
    })
    this.scheduler.configure({ revision: 1, queues: QUEUES, organisations: [], pools: [], maximumBodyBytes: 1000 })
    for (let index = 0; index < count; index += 1) {
      const worker = new UnevenWorker(`w${index}`)
      this.workers.push(worker)
      this.scheduler.upsertWorker({ ...new FakeClusterWorker(worker.name, 4, () => 0).entry, failureDomain: this.domainOf(index) }, this.now)
      worker.reportIfDue(this.scheduler, this.now)
    }
  }

  domainOf (index: number): string {
    return `domain-${index >> 3}`
  }

  /** Submits a job of one step. Returns its identity. */
  submit (queue: 'urgent' | 'batch', step: Partial<JobStep> = {}): string {
    this.jobCount += 1
    const identity = this.jobCount.toString(16).padStart(16, '0')
    const job = stepJobSchema.parse({ specification: '', steps: [{ count: 2, processorsThousandths: 1000, estimateMilliseconds: 1000, ...step }] })
    this.scheduler.addJob(identity, { queue, pool: 'pool', job, acceptedAt: Date.now() }, this.now)
    return identity
  }

  /** Advances the time. `onStep` is called every 100 ms, and submits the load. */
  advance (milliseconds: number, onStep: (site: UnevenSite) => void = () => {}): void {
    const end = this.now + milliseconds
    while (this.now < end) {
      this.now += STEP_MILLISECONDS
      onStep(this)
      for (const worker of this.workers) {
        worker.advance(this.random)
        worker.reportIfDue(this.scheduler, this.now)
      }
      this.scheduler.moveDepartingRuns(this.now)
      this.deliverStops()
      this.startRuns()
      this.largestEjectedCount = Math.max(this.largestEjectedCount, this.scheduler.ejectedCount)
    }
  }

  ejectionsOf (index: number): EjectionChange[] {
    return this.changes.filter(({ worker, kind }) => worker === `w${index}` && kind === 'ejected')
  }

  runsOn (index: number): number {
    return this.workers[index]?.runs.size ?? 0
  }

  private startRuns (): void {
    for (const { task, run, worker } of this.scheduler.place(this.now)) {
      const target = this.workers.find(({ name }) => name === worker.identity)
      if (target === undefined || !this.scheduler.beginStart(task, run, this.now)) continue
      const outcome: CommandOutcome = target.isUnhealthy ? { kind: 'refused', reason: 'unhealthy' } : { kind: 'done' }
      this.scheduler.onStartCommandCompleted(worker, outcome, this.now)
      this.scheduler.onStartOutcome(task, run, target.isUnhealthy ? 'notStarted' : 'started', this.now)
      if (!target.isUnhealthy) target.runs.set(task.name, { run, workMilliseconds: this.workMilliseconds(this.random), doneMilliseconds: 0 })
    }
  }

  private deliverStops (): void {
    for (const { worker, task, run } of this.scheduler.takeStops()) {
      const target = this.workers.find(({ name }) => name === worker)
      if (target?.runs.get(task)?.run === run) target.end(task, run, 'stopped')
    }
  }
}
