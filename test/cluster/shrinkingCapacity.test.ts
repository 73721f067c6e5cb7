import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import type { PlannedRun } from '../../src/cluster/placementPass.js'
import type { WorkerEntry } from '../../src/cluster/workerPort.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../fakes/silentObserver.js'
import { itUnlessKnownRed } from '../knownRed.js'

const QUEUE = { name: 'queue', host: 'host', routePrefix: '/q/', pool: 'pool', priority: 0, attempts: 3, stretch: 2, targetMilliseconds: 500 }
const ENTRY: WorkerEntry = { ...new FakeClusterWorker('w1', 4, () => 0).entry, memoryMegabytes: 400, accelerators: 4 }
/** Each task uses a quarter of the worker. */
const TASK = { processorsThousandths: 1000, memoryMegabytes: 100, accelerators: 1, estimateMilliseconds: 1000 }

function createScheduler (): ClusterScheduler {
  const scheduler = new ClusterScheduler(SILENT_OBSERVER)
  scheduler.configure({ revision: 1, queues: [QUEUE], organisations: [], pools: [], maximumBodyBytes: 1000 })
  scheduler.upsertWorker(ENTRY, 0)
  scheduler.onReport('w1', { clockMilliseconds: 1, processStartedAt: 1, running: [], ended: [], mayOmitEnds: false }, 0, 0)
  return scheduler
}

function addJob (scheduler: ClusterScheduler, identity: string, count: number): void {
  scheduler.addJob(identity, { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ count, ...TASK }] }), acceptedAt: Date.now() }, 0)
}

/** Starts the planned runs that may still be started, and returns their number. */
function beginStarts (scheduler: ClusterScheduler, planned: readonly PlannedRun[], now: number): number {
  return planned.filter(({ task, run }) => scheduler.beginStart(task, run, now)).length
}

/** Guards against a start that relies on the capacity of a worker when the task was placed: recording the placement can take seconds, and the capacity may shrink meanwhile. */
describe('a worker whose capacity shrinks', () => {
  const CHANGES: ReadonlyArray<{ readonly name: string, readonly entry: Partial<WorkerEntry>, readonly starts: number }> = [
    { name: 'not at all', entry: {}, starts: 4 },
    { name: 'to more processors', entry: { processorsThousandths: 8000 }, starts: 4 },
    { name: 'to fewer processors', entry: { processorsThousandths: 2500 }, starts: 2 },
    { name: 'to less memory', entry: { memoryMegabytes: 100 }, starts: 1 },
    { name: 'to fewer accelerators', entry: { accelerators: 3 }, starts: 3 },
    { name: 'to nothing', entry: { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }, starts: 0 },
    { name: 'because it drains', entry: { state: 'draining' }, starts: 0 }
  ]
  for (const { name, entry, starts } of CHANGES) {
    itUnlessKnownRed(`runs placed on a worker that then changes ${name} are started only within its capacity`, async () => {
      const scheduler = createScheduler()
      addJob(scheduler, 'aa', 4)
      const planned = scheduler.place(0)
      assert.equal(planned.length, 4)
      scheduler.upsertWorker({ ...ENTRY, ...entry }, 100)
      assert.equal(beginStarts(scheduler, planned, 200), starts)
      scheduler.upsertWorker(ENTRY, 300)
      assert.equal(scheduler.place(300).length, 4 - starts, 'the other tasks wait for capacity')
    })
  }

  it('counts the runs that are being stopped until their ends are listed', () => {
    const scheduler = createScheduler()
    addJob(scheduler, 'aa', 2)
    const planned = scheduler.place(0)
    beginStarts(scheduler, planned, 0)
    for (const { task, run } of planned) scheduler.onStartOutcome(task, run, 'started', 10)
    scheduler.upsertWorker({ ...ENTRY, processorsThousandths: 3000 }, 20)
    scheduler.cancelJob('aa', 30)
    addJob(scheduler, 'bb', 4)
    assert.equal(scheduler.place(40).length, 1, 'one core is left beside the runs that are being stopped')
    scheduler.onReport('w1', { clockMilliseconds: 50, processStartedAt: 1, running: [], ended: planned.map(({ task, run }, index) => ({ number: index + 1, task: task.name, run, kind: 'stopped', checkpoint: '' })), mayOmitEnds: false }, 45, 50)
    assert.equal(scheduler.place(60).length, 2)
  })

  it('uses capacity that has grown', () => {
    const scheduler = createScheduler()
    scheduler.upsertWorker({ ...ENTRY, processorsThousandths: 1000 }, 0)
    addJob(scheduler, 'aa', 4)
    assert.equal(scheduler.place(0).length, 1)
    scheduler.upsertWorker(ENTRY, 10)
    assert.equal(scheduler.place(10).length, 3)
  })
})
