import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { ClusterScheduler } from '../../../src/cluster/clusterScheduler.js'
import type { Task } from '../../../src/cluster/job.js'
import { RestoreEstimator } from '../../../src/cluster/preemption/restoreEstimator.js'
import type { EndReport } from '../../../src/cluster/workerPort.js'
import type { WorkerState } from '../../../src/cluster/workerState.js'
import { stepJobSchema } from '../../../src/contracts/stepJob.js'
import { FakeClusterWorker } from '../../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../../fakes/silentObserver.js'

const WORKER = 'w1'
const QUEUE = { host: 'host', pool: 'pool', attempts: 2, targetMilliseconds: 0 }
const QUEUES = [{ ...QUEUE, name: 'urgent', routePrefix: '/u/', priority: 0, stretch: 2.5 }, { ...QUEUE, name: 'batch', routePrefix: '/b/', priority: 2, stretch: 30 }]
const BATCH = { estimateMilliseconds: 20_000, checkpointable: true }
const INITIAL_MILLISECONDS = 600
const MAXIMUM_MILLISECONDS = 5000

/** A worker with one core, whose runs the test controls. */
class Site {
  preemptions = 0
  readonly scheduler = new ClusterScheduler({ ...SILENT_OBSERVER, onDidPreemptRun: () => { this.preemptions += 1 } })
  private jobCount = 0
  private readonly ends: EndReport[] = []

  constructor () {
    this.scheduler.configure({ revision: 1, queues: QUEUES, organisations: [], pools: [], maximumBodyBytes: 1000 })
    this.scheduler.upsertWorker(new FakeClusterWorker(WORKER, 1, () => 0).entry, 0)
    this.report(0)
  }

  get worker (): WorkerState {
    return this.scheduler.workers.get(WORKER) as WorkerState
  }

  add (queue: string, step: object, now: number): Task {
    this.jobCount += 1
    const job = stepJobSchema.parse({ specification: queue, steps: [{ count: 1, processorsThousandths: 1000, estimateMilliseconds: 1000, ...step }] })
    const [task] = this.scheduler.addJob(`job${this.jobCount}`, { queue, pool: 'pool', organisation: undefined, job, acceptedAt: Date.now() }, now).tasks()
    return task as Task
  }

  place (now: number): void {
    for (const { task, run } of this.scheduler.place(now)) {
      if (this.scheduler.beginStart(task, run, now)) this.scheduler.onStartOutcome(task, run, 'started', now)
    }
  }

  /** Reports what runs, with a progress in percent, and the end of one run. */
  report (now: number, percent = 0, ended?: { readonly task: Task, readonly kind: EndReport['kind'] }): void {
    if (ended !== undefined) this.ends.push({ number: this.ends.length + 1, task: ended.task.name, run: ended.task.run, kind: ended.kind, checkpoint: ended.kind === 'stopped' ? 'saved' : '' })
    const running = [...this.worker.runs.values()].filter(task => task !== ended?.task).map(task => ({ task: task.name, run: task.run, checkpoint: '', percent, load: 0 }))
    this.scheduler.onReport(WORKER, { clockMilliseconds: now, processStartedAt: 1, running, ended: [...this.ends], mayOmitEnds: false }, now, now)
  }

  /** Preempts batch work that has done a tenth, starts it again, and lets the restart take longer than the work that was left. Returns whether it was preempted. */
  cycle (from: number, restoreMilliseconds: number): boolean {
    const batch = this.add('batch', BATCH, from)
    this.place(from)
    this.report(from + 2000, 10)
    const urgent = this.add('urgent', {}, from + 2000)
    const before = this.preemptions
    this.place(from + 2000)
    if (this.preemptions === before) return false
    this.scheduler.onStopConfirmed(WORKER, batch.name, batch.run, from + 2000)
    this.report(from + 2300, 0, { task: batch, kind: 'stopped' })
    this.place(from + 2300)
    this.report(from + 3300, 0, { task: urgent, kind: 'done' })
    this.place(from + 3300)
    assert.deepEqual([batch.run, batch.phase], [2, 'running'])
    this.report(from + 3300 + 18_000 + restoreMilliseconds, 0, { task: batch, kind: 'done' })
    return true
  }
}

/** Lets an estimator observe a run that is stopped at a tenth of 10 s of work, and its restart. Returns the estimate. */
function observe (estimator: RestoreEstimator, { duration, stopped = {}, restarted = {}, step = {} }: { readonly duration: number, readonly stopped?: object, readonly restarted?: object, readonly step?: object }): number {
  const site = new Site()
  const task = site.add('batch', { ...BATCH, ...step }, 0)
  Object.assign(task, { run: 1, startedAt: 1000, progressedAt: 2000, percent: 10, stopConfirmedAt: 2000, ...stopped })
  estimator.onStopped(task, site.worker, 2100)
  Object.assign(task, { run: 2, startedAt: 3000, ...restarted })
  estimator.onDone(task, site.worker, 3000 + duration)
  return estimator.milliseconds
}

describe('RestoreEstimator', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly observed: Parameters<typeof observe>[1], readonly estimate: number }> = [
    { name: 'is raised quickly by a restart that costs more', observed: { duration: 10_600 }, estimate: INITIAL_MILLISECONDS + 0.2 * 1000 },
    { name: 'is lowered slowly by a restart that costs less', observed: { duration: 9100 }, estimate: INITIAL_MILLISECONDS - 0.05 * 500 },
    { name: 'counts a restart that takes much too long as the upper bound', observed: { duration: 1_000_000 }, estimate: INITIAL_MILLISECONDS + 0.2 * (MAXIMUM_MILLISECONDS - INITIAL_MILLISECONDS) },
    { name: 'counts a restart that is faster than the work left as free', observed: { duration: 1 }, estimate: INITIAL_MILLISECONDS * 0.95 },
    { name: 'ignores a run that itself was a restart', observed: { duration: 20_000, stopped: { run: 2 }, restarted: { run: 3 } }, estimate: INITIAL_MILLISECONDS },
    { name: 'ignores a run whose progress is not known', observed: { duration: 20_000, stopped: { percent: 5 } }, estimate: INITIAL_MILLISECONDS },
    { name: 'ignores a run of a former scheduler', observed: { duration: 20_000, stopped: { startedAt: 0 } }, estimate: INITIAL_MILLISECONDS },
    { name: 'ignores a restart of a former scheduler', observed: { duration: 20_000, restarted: { startedAt: 0 } }, estimate: INITIAL_MILLISECONDS },
    { name: 'ignores a later run than the one after the stop', observed: { duration: 20_000, restarted: { run: 3 } }, estimate: INITIAL_MILLISECONDS },
    { name: 'ignores runs without checkpoints', observed: { duration: 20_000, step: { checkpointable: false } }, estimate: INITIAL_MILLISECONDS },
    { name: 'ignores gangs, whose members wait for each other', observed: { duration: 20_000, step: { gang: true } }, estimate: INITIAL_MILLISECONDS }
  ]
  for (const { name, observed, estimate } of CASES) {
    it(name, () => { assert.equal(Math.round(observe(new RestoreEstimator(), observed)), Math.round(estimate)) })
  }

  it('stays within its bounds', () => {
    const estimator = new RestoreEstimator()
    for (let count = 0; count < 100; count += 1) observe(estimator, { duration: 1_000_000 })
    assert.ok(estimator.milliseconds <= MAXIMUM_MILLISECONDS)
    for (let count = 0; count < 1000; count += 1) observe(estimator, { duration: 1 })
    assert.ok(estimator.milliseconds >= 0 && estimator.milliseconds < 1)
  })
})

describe('preemption of work that restarts from checkpoints', () => {
  beforeEach(() => mock.timers.enable({ apis: ['Date'] }))
  afterEach(() => mock.timers.reset())

  for (const { restoreMilliseconds, isKept } of [{ restoreMilliseconds: 0, isKept: true }, { restoreMilliseconds: MAXIMUM_MILLISECONDS, isKept: false }]) {
    it(`${isKept ? 'goes on' : 'ends'} after restarts that cost ${restoreMilliseconds} ms`, () => {
      const site = new Site()
      const preempted = Array.from({ length: 12 }, (_, index) => site.cycle(1000 + index * 60_000, restoreMilliseconds))
      assert.equal(preempted[0], true)
      assert.equal(preempted.at(-1), isKept)
    })
  }
})
