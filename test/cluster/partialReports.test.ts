import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import type { WorkerReport } from '../../src/cluster/workerPort.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import type { FakeCluster, PathFault } from '../fakes/fakeCluster.js'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../fakes/silentObserver.js'
import { step, verifyCluster } from '../fuzz/clusterFuzzer.js'

const TASKS_PER_WORKER = 8
const TASKS = 4 * TASKS_PER_WORKER
/** Number of ends in a report; fewer than end on a worker during a fault. */
const REPORTED_ENDS = 1
/** Time in which all started tasks end; the workers are reached again well before their leases expire, in milliseconds. */
const FAULT_MILLISECONDS = 3500

/** Returns all starts, as `task/run`. */
function startsOf (cluster: FakeCluster): string[] {
  return [...cluster.workers.values()].flatMap(({ started }) => started)
}

/** Sets the fault of all paths between schedulers and workers. */
function setWorkerFault (cluster: FakeCluster, fault: PathFault): void {
  for (const scheduler of cluster.runningSchedulers) {
    for (const worker of cluster.workers.keys()) scheduler.pathTo(worker).fault = fault
  }
}

function cutWorkers (cluster: FakeCluster): void {
  setWorkerFault(cluster, 'cut')
}

/** Makes room for many runs on each worker, whose ends then need several reports. */
function enlargeWorkers (cluster: FakeCluster): void {
  cluster.limitReportedEnds(REPORTED_ENDS)
  for (const worker of cluster.workers.values()) {
    worker.resize(TASKS_PER_WORKER)
    cluster.publishEntry(worker)
  }
}

/**
 * Guards against runs that are taken as lost because a report omits their ends: a worker lists only a limited number of ends that
 * are not acknowledged. Their tasks were done twice.
 */
describe('ends that do not fit into one report', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly steps: readonly object[], readonly disturb?: (cluster: FakeCluster) => void }> = [
    { name: 'that come at once', steps: [step(TASKS)] },
    { name: 'while the workers are cut off', steps: [step(TASKS)], disturb: cutWorkers },
    { name: 'while the log is unreachable', steps: [step(TASKS)], disturb: cluster => { for (const { log } of cluster.runningSchedulers) log.fault = 'cut' } },
    {
      name: 'while the workers are cut off and the scheduler changes',
      steps: [step(TASKS)],
      disturb: cluster => {
        cutWorkers(cluster)
        cluster.startScheduler()
        cutWorkers(cluster)
      }
    },
    { name: 'of gangs, while the workers are cut off', steps: [step(TASKS / 2, { gang: true }), step(TASKS / 2, { gang: true })], disturb: cutWorkers }
  ]
  for (const { name, steps, disturb } of CASES) {
    it(`no task is started again after ends ${name}`, async () => {
      await verifyCluster(1, async cluster => {
        enlargeWorkers(cluster)
        cluster.submit('batch', steps)
        await cluster.advance(300)
        assert.equal(startsOf(cluster).length, TASKS)
        disturb?.(cluster)
        await cluster.advance(FAULT_MILLISECONDS)
        cluster.heal()
        await cluster.advance(3000)
        assert.equal(startsOf(cluster).length, TASKS)
      })
    })
  }

  it('no task is started again after its end if its start got no response', async () => {
    await verifyCluster(1, async cluster => {
      enlargeWorkers(cluster)
      setWorkerFault(cluster, 'answerLost')
      cluster.submit('batch', [step(TASKS)])
      await cluster.advance(600)
      cluster.heal()
      await cluster.advance(FAULT_MILLISECONDS)
      assert.ok(startsOf(cluster).length >= TASKS)
    })
  })

  /** The first report after a takeover is what shows that a run was never started: another one has to do so if the first omits ends. */
  it('runs that a former scheduler recorded and never started are started although the first report omits ends', async () => {
    await verifyCluster(1, async cluster => {
      enlargeWorkers(cluster)
      const [worker, ...others] = cluster.workers.values()
      for (const other of others) cluster.removeWorker(other)
      cluster.submit('batch', [step(TASKS_PER_WORKER / 2)])
      await cluster.advance(300)
      cutWorkers(cluster)
      const waiting = cluster.submit('batch', [step(TASKS_PER_WORKER / 2)])
      await cluster.advance(FAULT_MILLISECONDS)
      assert.ok(worker !== undefined && worker.ended.length > worker.maximumReportedEnds)
      cluster.startScheduler()
      await cluster.advance(1000)
      assert.equal(startsOf(cluster).filter(start => start.startsWith(`${waiting.identity}.`)).length, TASKS_PER_WORKER / 2)
    })
  })

  /** A run whose end is to come is not running, so that it has not stopped making progress. */
  it('no stop is sent for a run whose end is not listed yet', async () => {
    await verifyCluster(1, async cluster => {
      enlargeWorkers(cluster)
      cluster.submit('batch', [step(TASKS)])
      await cluster.advance(300)
      for (const { log } of cluster.runningSchedulers) log.fault = 'cut'
      await cluster.advance(2 * FAULT_MILLISECONDS)
      cluster.heal()
      await cluster.advance(1000)
      assert.deepEqual([...cluster.workers.values()].map(({ stopCount }) => stopCount), [0, 0, 0, 0])
    })
  })
})

/** Guards against a crash that counts against a task whose run had ended before it, or that counts for none because of a report that omits ends. */
describe('the crash of a worker after a report that omits ends', () => {
  const JOB = '00000000000000aa'
  const RUNNING = [{ task: `${JOB}.0.0.0`, run: 1, checkpoint: '', percent: 10 }]
  const CASES: ReadonlyArray<{ readonly name: string, readonly reports: ReadonlyArray<Partial<WorkerReport>>, readonly proven: number }> = [
    { name: 'does not count against a run that was no longer running', reports: [{ mayOmitEnds: true }, { processStartedAt: 2 }], proven: 0 },
    { name: 'counts against a run that was running', reports: [{ running: RUNNING, mayOmitEnds: true }, { processStartedAt: 2 }], proven: 5 },
    { name: 'counts although the first report of the new process omits ends, too', reports: [{ running: RUNNING }, { processStartedAt: 2, mayOmitEnds: true }, { processStartedAt: 2 }], proven: 5 }
  ]
  for (const { name, reports, proven } of CASES) {
    it(name, () => {
      const scheduler = new ClusterScheduler(SILENT_OBSERVER)
      const report = (fields: Partial<WorkerReport>, at: number): void => scheduler.onReport('w1', { clockMilliseconds: at, processStartedAt: 1, running: [], ended: [], mayOmitEnds: false, ...fields }, at, at)
      scheduler.upsertWorker(new FakeClusterWorker('w1', 1, () => 0).entry, 0)
      report({}, 0)
      const job = scheduler.addJob(JOB, { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [step(1)] }), acceptedAt: 0 }, 0)
      const [task] = job.tasks()
      assert.ok(task)
      assert.equal(scheduler.place(0).length, 1)
      scheduler.beginStart(task, 1, 0)
      scheduler.onStartOutcome(task, 1, 'started', 0)
      for (const [index, fields] of reports.entries()) report(fields, 1000 * (index + 1))
      assert.equal(task.crashEvidence.proven, proven)
    })
  }
})
