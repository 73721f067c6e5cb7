import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import { POSSIBLE_CRASH } from '../../src/cluster/crashEvidence.js'
import type { Task } from '../../src/cluster/job.js'
import type { ProgressRecord } from '../../src/contracts/clusterRecords.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../fakes/silentObserver.js'

const QUEUES = [
  { name: 'urgent', host: 'host', routePrefix: '/u/', pool: 'pool', priority: 0, attempts: 3, stretch: 1.5, targetMilliseconds: 60_000 },
  { name: 'batch', host: 'host', routePrefix: '/b/', pool: 'pool', priority: 1, attempts: 3, stretch: 4, targetMilliseconds: 60_000 }
]

/** A site of two workers with four cores each. */
class Site {
  readonly scheduler = new ClusterScheduler(SILENT_OBSERVER)
  private jobCount = 0
  /** Number of processes of each worker so far. */
  private readonly processes = new Map<string, number>()

  constructor () {
    this.scheduler.configure({ revision: 1, queues: QUEUES, organisations: [], pools: [], maximumBodyBytes: 1000 })
    for (const name of ['w1', 'w2']) {
      this.scheduler.upsertWorker(new FakeClusterWorker(name, 4, () => 0).entry, 0)
      this.processes.set(name, 1)
      this.report(name, [])
    }
  }

  add (queue: 'urgent' | 'batch', step: object, progress?: ProgressRecord): Task[] {
    this.jobCount += 1
    const job = stepJobSchema.parse({ specification: '', steps: [{ count: 1, processorsThousandths: 1000, estimateMilliseconds: 1000, ...step }] })
    return [...this.scheduler.addJob(`job${this.jobCount}`, { queue, pool: 'pool', job, acceptedAt: Date.now() }, 0, { progress }).tasks()]
  }

  /** Adds a task under which two workers crashed during an earlier term. */
  addIsolatedTask (): Task {
    const [task] = this.add('batch', {}, { state: 'running', occurrences: [[0, [[[], [[0, 2, '', 0, '', 2 * POSSIBLE_CRASH, 0]]]]]] })
    assert.ok(task)
    return task
  }

  /** Places what can be placed and lets it run. Returns the workers of the placed runs by task. */
  place (now: number): Map<Task, string> {
    const planned = this.scheduler.place(now)
    for (const { task, run } of planned) {
      this.scheduler.beginStart(task, run, now)
      this.scheduler.onStartOutcome(task, run, 'started', now)
    }
    return new Map(planned.map(({ task, worker }) => [task, worker.identity]))
  }

  /** Crashes the worker of a task, which runs a new process at once. */
  crash (task: Task, now: number): void {
    const worker = task.worker
    this.processes.set(worker, (this.processes.get(worker) ?? 0) + 1)
    this.report(worker, [], now)
  }

  finish (task: Task, now: number): void {
    const { worker, run, name } = task
    const others = [...this.scheduler.workers.get(worker)?.runs.values() ?? []].filter(other => other !== task)
    const number = 1 + (this.scheduler.workers.get(worker)?.processedEnd ?? 0)
    this.scheduler.onReport(worker, { clockMilliseconds: now, processStartedAt: this.processes.get(worker) ?? 0, running: others.map(other => ({ task: other.name, run: other.run, checkpoint: '', percent: 10 })), ended: [{ number, task: name, run, kind: 'done', checkpoint: '' }], mayOmitEnds: false }, now, now)
  }

  private report (worker: string, running: [], now = 0): void {
    this.scheduler.onReport(worker, { clockMilliseconds: now, processStartedAt: this.processes.get(worker) ?? 0, running, ended: [], mayOmitEnds: false }, now, now)
  }
}

/** Pattern: a task takes worker after worker down, on a site whose workers are shared by other work. */
describe('placement of tasks under which workers have crashed', () => {
  // The age of a job, by which jobs are ordered, is measured on the wall clock.
  beforeEach(() => mock.timers.enable({ apis: ['Date'] }))
  afterEach(() => mock.timers.reset())

  it('keeps other work away from a task under which two workers have crashed', () => {
    const site = new Site()
    const task = site.addIsolatedTask()
    const worker = site.place(300).get(task)
    assert.ok(worker)
    const others = site.add('urgent', { count: 8 })
    const placed = site.place(310)
    assert.deepEqual(others.map(other => placed.get(other)).filter(name => name === worker), [])
    assert.equal(placed.size, 4, 'the other worker takes what it can')
  })

  it('shares workers again after one crash only', () => {
    const site = new Site()
    const [task] = site.add('batch', {})
    assert.ok(task)
    site.place(100)
    site.crash(task, 150)
    site.place(200)
    const placed = new Set(site.add('batch', { count: 7 }).map(other => site.place(210).get(other)))
    assert.equal(placed.size > 0 && site.scheduler.readySteps.size, 0)
  })

  it('keeps a worker free on a busy site until it is empty, also from urgent work', () => {
    const site = new Site()
    const running = site.add('batch', { count: 2, maximumPerWorker: 1 })
    site.place(300)
    const task = site.addIsolatedTask()
    const urgent = site.add('urgent', { count: 6 })
    const placed = site.place(310)
    assert.equal(placed.get(task), undefined)
    const taken = new Set(urgent.flatMap(other => placed.get(other) ?? []))
    assert.equal(taken.size, 1, 'urgent work leaves one worker to become empty')
    const kept = running.find(other => !taken.has(other.worker))
    assert.ok(kept)
    const worker = kept.worker
    site.finish(kept, 400)
    assert.equal(site.place(410).get(task), worker)
  })

  it('takes the worker with the fewest runs after a while if none becomes empty', () => {
    const site = new Site()
    const long = site.add('batch', { count: 2, maximumPerWorker: 1, longRunning: true })
    site.place(300)
    assert.ok(long.every(other => other.phase === 'running'))
    const task = site.addIsolatedTask()
    assert.equal(site.place(400).get(task), undefined)
    assert.equal(site.place(2300).get(task), undefined)
    assert.notEqual(site.place(2500).get(task), undefined)
  })

  it('places two tasks under which a worker has crashed apart', () => {
    const site = new Site()
    const tasks = ['batch', 'batch'].flatMap(queue => site.add(queue as 'batch', {}))
    site.place(100)
    assert.equal(new Set(tasks.map(({ worker }) => worker)).size, 1, 'they share a worker at first')
    site.crash(tasks[0] as Task, 150)
    site.place(200)
    assert.equal(new Set(tasks.map(({ worker }) => worker)).size, 2)
  })

  /** Pattern: all tasks of a job crash their workers. One at a time shows it. */
  it('runs one suspect task of a step at a time until one has ended', () => {
    const site = new Site()
    const tasks = site.add('batch', { count: 3 })
    site.place(100)
    site.crash(tasks[0] as Task, 150)
    assert.equal(site.place(200).size, 1)
    const probe = tasks.find(({ phase }) => phase === 'running') as Task
    assert.equal(site.place(300).size, 0)
    site.finish(probe, 400)
    assert.equal(site.place(410).size, 2)
  })
})
