import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../fakes/silentObserver.js'

const QUEUES = [
  { name: 'urgent', host: 'host', routePrefix: '/u/', pool: 'pool', priority: 0, attempts: 2, stretch: 1.5, targetMilliseconds: 250 },
  { name: 'batch', host: 'host', routePrefix: '/b/', pool: 'pool', priority: 1, attempts: 2, stretch: 4, targetMilliseconds: 3000 }
]

interface WorkerCase { readonly name: string, readonly cores: number, readonly speed: number }

function createSite (workers: readonly WorkerCase[]): ClusterScheduler {
  const scheduler = new ClusterScheduler(SILENT_OBSERVER)
  scheduler.configure({ revision: 1, queues: QUEUES, organisations: [], pools: [], maximumBodyBytes: 1000 })
  for (const { name, cores, speed } of workers) {
    scheduler.upsertWorker(new FakeClusterWorker(name, cores, () => 0).entry, 0).speed = speed
    scheduler.onReport(name, { clockMilliseconds: 1, processStartedAt: 1, running: [], ended: [], mayOmitEnds: false }, 0, 0)
  }
  return scheduler
}

let jobs = 0
function add (scheduler: ClusterScheduler, queue: string, step: object, now = 0): void {
  jobs += 1
  scheduler.addJob(jobs.toString(16).padStart(16, '0'), { queue, pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ count: 1, processorsThousandths: 1000, estimateMilliseconds: 1000, ...step }] }), acceptedAt: Date.now() }, now)
}

function place (scheduler: ClusterScheduler, now = 0): string[] {
  return scheduler.place(now).map(run => run.worker.identity).sort()
}

/** Lets the scheduler sample a fast worker of which urgent work uses a fifth, and empties the worker. */
function learnUrgentShare (scheduler: ClusterScheduler, name: string): void {
  const worker = scheduler.workers.get(name)
  assert.ok(worker)
  worker.urgentProcessors = worker.entry.processorsThousandths / 5
  for (let observation = 0; observation < 200; observation += 1) scheduler.observeLoad()
  worker.urgentProcessors = 0
}

describe('PlacementPass', () => {
  // The age of a job, by which jobs are ordered, is measured on the wall clock.
  beforeEach(() => mock.timers.enable({ apis: ['Date'] }))
  afterEach(() => mock.timers.reset())

  /** Urgent work that would be late on a slow worker waits for a fast one until it would be late there too. */
  const URGENT: ReadonlyArray<{ readonly name: string, readonly now: number, readonly fastIsFull: boolean, readonly gang: boolean, readonly placed: readonly string[] }> = [
    { name: 'takes the fast worker', now: 0, fastIsFull: false, gang: false, placed: ['fast', 'fast'] },
    { name: 'waits for the fast worker', now: 100, fastIsFull: true, gang: false, placed: [] },
    { name: 'takes the slow worker when all would be late', now: 1500, fastIsFull: true, gang: false, placed: ['slow', 'slow'] },
    { name: 'places a gang on the fast worker', now: 0, fastIsFull: false, gang: true, placed: ['fast', 'fast'] },
    { name: 'keeps a gang waiting for the fast worker', now: 100, fastIsFull: true, gang: true, placed: [] }
  ]
  for (const { name, now, fastIsFull, gang, placed } of URGENT) {
    it(`urgent work ${name}`, () => {
      const scheduler = createSite([{ name: 'slow', cores: 4, speed: 0.5 }, { name: 'fast', cores: 2, speed: 1.5 }])
      if (fastIsFull) {
        const fast = scheduler.workers.get('fast')
        assert.ok(fast)
        fast.usedProcessors = 2000
      }
      add(scheduler, 'urgent', { count: 2, gang })
      assert.deepEqual(place(scheduler, now), placed)
    })
  }

  /** Late urgent work, as after an outage, precedes other work while it still earns a benefit. The worker has capacity for one task. */
  const LATE: ReadonlyArray<{ readonly name: string, readonly now: number, readonly first: 'urgent' | 'batch' }> = [
    { name: 'in time before batch work', now: 0, first: 'urgent' },
    { name: 'late before batch work in time', now: 3000, first: 'urgent' },
    { name: 'that is overdue after batch work', now: 6000, first: 'batch' }
  ]
  for (const { name, now, first } of LATE) {
    it(`places urgent work ${name}`, () => {
      const scheduler = createSite([{ name: 'only', cores: 1, speed: 1 }])
      add(scheduler, 'batch', {})
      add(scheduler, 'urgent', {})
      assert.deepEqual(scheduler.place(now).map(run => run.task.step.job.submission.queue), [first])
    })
  }

  /** A burst of urgent work fits on the fast workers although batch work fills the site. */
  it('reserves capacity on fast workers for the usual amount of urgent work', () => {
    const scheduler = createSite([{ name: 'fast', cores: 10, speed: 1.5 }])
    add(scheduler, 'urgent', { count: 2 })
    place(scheduler)
    for (let observation = 0; observation < 200; observation += 1) scheduler.observeLoad()
    add(scheduler, 'batch', { count: 20 })
    assert.equal(place(scheduler).length, 7)
    add(scheduler, 'urgent', { count: 1 })
    assert.equal(place(scheduler).length, 1)
  })

  /** Work that could never be placed beside the reserved capacity. */
  const LARGE: ReadonlyArray<{ readonly name: string, readonly step: object, readonly placed: number }> = [
    { name: 'a task as large as the worker', step: { count: 1, processorsThousandths: 10_000 }, placed: 1 },
    { name: 'a gang that needs all of the worker', step: { count: 10, gang: true }, placed: 10 },
    { name: 'a gang that needs all unreserved capacity', step: { count: 6, gang: true }, placed: 6 }
  ]
  for (const { name, step, placed } of LARGE) {
    it(`places ${name} although capacity is reserved for urgent work`, () => {
      const scheduler = createSite([{ name: 'fast', cores: 10, speed: 1.5 }])
      learnUrgentShare(scheduler, 'fast')
      add(scheduler, 'batch', step)
      assert.equal(place(scheduler).length, placed)
    })
  }

  it('reserves no capacity where there is no urgent work', () => {
    const scheduler = createSite([{ name: 'fast', cores: 10, speed: 1.5 }])
    add(scheduler, 'batch', { count: 20 })
    assert.equal(place(scheduler).length, 10)
  })

  /** The members of a gang finish together, so fast workers would wait for slow ones. */
  it('places a gang on workers of one speed', () => {
    const scheduler = createSite([{ name: 'slow1', cores: 2, speed: 0.5 }, { name: 'fast1', cores: 3, speed: 1.5 }, { name: 'slow2', cores: 2, speed: 0.5 }])
    add(scheduler, 'batch', { count: 4, gang: true })
    assert.deepEqual(place(scheduler), ['slow1', 'slow1', 'slow2', 'slow2'])
  })

  /** A wide gang is not starved by narrow work that always fits. */
  it('reserves workers of a waiting gang against other batch work', () => {
    const scheduler = createSite([{ name: 'w1', cores: 2, speed: 1 }, { name: 'w2', cores: 2, speed: 1 }])
    for (const worker of scheduler.workers.values()) worker.usedProcessors = 1000
    add(scheduler, 'batch', { count: 4, gang: true })
    add(scheduler, 'batch', { count: 4 }, 1)
    assert.deepEqual(place(scheduler, 2), [])
    for (const worker of scheduler.workers.values()) worker.usedProcessors = 0
    assert.deepEqual(place(scheduler, 3), ['w1', 'w1', 'w2', 'w2'])
  })

  /** Otherwise a gang that can run nowhere keeps all its workers from other work for ever. */
  const UNPLACEABLE: ReadonlyArray<{ readonly name: string, readonly step: object }> = [
    { name: 'is wider than all workers', step: { count: 5 } },
    { name: 'needs more workers than there are, because each takes only one of its tasks', step: { count: 3, maximumPerWorker: 1 } },
    { name: 'needs a label that too few workers have', step: { count: 3, requiredLabel: 'w1' } }
  ]
  for (const { name, step } of UNPLACEABLE) {
    it(`reserves no workers for a gang that ${name}`, () => {
      const scheduler = createSite([{ name: 'w1', cores: 2, speed: 1 }, { name: 'w2', cores: 2, speed: 1 }])
      for (const worker of scheduler.workers.values()) scheduler.upsertWorker({ ...worker.entry, labels: [worker.identity] }, 0)
      add(scheduler, 'batch', { gang: true, ...step })
      add(scheduler, 'batch', { count: 4 }, 1)
      assert.deepEqual(place(scheduler, 2), ['w1', 'w1', 'w2', 'w2'])
    })
  }

  /** Tasks that last never make room for the gang. */
  it('reserves no workers for a gang that does not fit beside tasks that last', () => {
    const scheduler = createSite([{ name: 'w1', cores: 2, speed: 1 }, { name: 'w2', cores: 2, speed: 1 }, { name: 'w3', cores: 2, speed: 1 }])
    add(scheduler, 'batch', { count: 4, longRunning: true })
    assert.equal(place(scheduler).length, 4)
    add(scheduler, 'batch', { count: 4, gang: true })
    add(scheduler, 'batch', { count: 2 }, 1)
    assert.equal(place(scheduler, 2).length, 2)
  })

  it('reserves the workers on which fewer tasks last', () => {
    const scheduler = createSite([{ name: 'w1', cores: 2, speed: 1 }, { name: 'w2', cores: 2, speed: 1 }, { name: 'w3', cores: 2, speed: 1 }])
    add(scheduler, 'batch', { count: 2, longRunning: true })
    assert.deepEqual(place(scheduler), ['w1', 'w1'])
    for (const task of scheduler.workers.get('w1')?.runs.values() ?? []) task.percent = 100
    add(scheduler, 'batch', { count: 1, estimateMilliseconds: 500 })
    assert.deepEqual(place(scheduler), ['w2'])
    add(scheduler, 'batch', { count: 4, gang: true })
    add(scheduler, 'batch', { count: 1 }, 1)
    assert.deepEqual(place(scheduler, 2), [])
  })

  /** An entry of another writer may name a worker that does not exist. Work that could only run there must not keep other work waiting. */
  const UNREPORTED: ReadonlyArray<{ readonly name: string, readonly urgent?: boolean, readonly steps: ReadonlyArray<readonly [queue: string, step: object]>, readonly placed: number }> = [
    { name: 'reserves no workers for a gang that would fit only with it', steps: [['batch', { count: 30, gang: true }], ['batch', { count: 10 }]], placed: 10 },
    { name: 'places a task as large as the largest other worker', urgent: true, steps: [['batch', { processorsThousandths: 10_000 }]], placed: 1 },
    { name: 'places urgent work that would be in time only there', steps: [['urgent', { estimateMilliseconds: 1000 }]], placed: 1 }
  ]
  for (const { name, urgent = false, steps, placed } of UNREPORTED) {
    it(`${name}, while a listed worker has never reported`, () => {
      const scheduler = createSite([{ name: 'w1', cores: 10, speed: urgent ? 1.5 : 0.5 }])
      scheduler.upsertWorker(new FakeClusterWorker('w2', 100, () => 0).entry, 0)
      scheduler.onPollFailed('w2')
      if (urgent) learnUrgentShare(scheduler, 'w1')
      for (const [queue, step] of steps) add(scheduler, queue, step)
      assert.equal(place(scheduler, 1).length, placed)
    })
  }

  /** Capacity that accumulates on a worker without responses is of no use to the gang. */
  it('reserves workers that respond before one that does not', () => {
    const scheduler = createSite([{ name: 'w1', cores: 2, speed: 1 }, { name: 'w2', cores: 2, speed: 1 }, { name: 'w3', cores: 2, speed: 1 }])
    for (const worker of scheduler.workers.values()) worker.usedProcessors = worker.identity === 'w1' ? 0 : 1000
    scheduler.onPollFailed('w1')
    add(scheduler, 'batch', { count: 4, gang: true })
    add(scheduler, 'batch', { count: 4 }, 1)
    assert.deepEqual(place(scheduler, 2), [])
  })
})
