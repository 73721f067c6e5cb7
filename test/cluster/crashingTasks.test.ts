import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { CrashOptions, FakeCluster, SubmittedStepJob, TaskCrashes } from '../fakes/fakeCluster.js'
import { step, verifyCluster } from '../fuzz/clusterFuzzer.js'
import { itUnlessKnownRed } from '../knownRed.js'

/** Index of the only task of a job. */
const ONLY_TASK = [0]
const REFUSED: CrashOptions = { identity: 'new', outage: 'refused', downMilliseconds: 4000 }
/** Retention of the state of a finished job, in milliseconds; longer than a whole test. */
const STATE_RETENTION_MILLISECONDS = 3_600_000
/** Longer than a lease: the run is given up before anything shows that its worker has crashed. */
const DOWN_FOR_LONG_MILLISECONDS = 9000

function crashes (fields: Partial<TaskCrashes> = {}): TaskCrashes {
  return { ...REFUSED, tasks: ONLY_TASK, afterMilliseconds: 50, ...fields }
}

function stateOf (cluster: FakeCluster, job: SubmittedStepJob): string | undefined {
  return cluster.runningSchedulers.at(-1)?.activeScheduler.stateOf(job.identity)
}

/**
 * Guards against a task that crashes worker after worker: a run that ended with its worker was not counted, and its task was started
 * again for as long as there were workers.
 */
describe('a task that crashes its workers', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly steps: readonly object[], readonly crashes: TaskCrashes }> = [
    { name: 'that come back under new identities', steps: [step(1)], crashes: crashes() },
    { name: 'that come back under the same identities', steps: [step(1)], crashes: crashes({ identity: 'same' }) },
    { name: 'that are silent until they are back', steps: [step(1)], crashes: crashes({ outage: 'silent' }) },
    { name: 'that are back only after the lease has expired', steps: [step(1)], crashes: crashes({ outage: 'silent', downMilliseconds: DOWN_FOR_LONG_MILLISECONDS }) },
    { name: 'that are back under the same identities only after the lease has expired', steps: [step(1)], crashes: crashes({ identity: 'same', downMilliseconds: DOWN_FOR_LONG_MILLISECONDS }) },
    { name: 'before they confirm the start', steps: [step(1)], crashes: crashes({ afterMilliseconds: 0 }) },
    { name: 'late in its run', steps: [step(3)], crashes: crashes({ tasks: [2], afterMilliseconds: 1500 }) },
    { name: 'beside all other tasks of its job', steps: [step(4)], crashes: crashes({ tasks: [0, 1, 2, 3] }) },
    { name: 'as a member of a gang', steps: [step(3, { gang: true })], crashes: crashes({ tasks: [1] }) },
    { name: 'and would last', steps: [step(1, { longRunning: true })], crashes: crashes() }
  ]
  for (const { name, steps, crashes } of CASES) {
    itUnlessKnownRed(`a task that crashes workers ${name} is given up`, async () => {
      await verifyCluster(1, async cluster => {
        const job = cluster.submit('batch', steps, crashes)
        await cluster.advance(60_000)
        assert.equal(stateOf(cluster, job), 'failed')
      }, STATE_RETENTION_MILLISECONDS)
    })
  }

  itUnlessKnownRed('a task that crashes workers is given up although the scheduler changes after each crash', async () => {
    await verifyCluster(2, async cluster => {
      const job = cluster.submit('batch', [step(1)], crashes())
      for (let count = 0; count < 12; count += 1) {
        await cluster.advance(5000)
        cluster.startScheduler()
      }
      await cluster.advance(1000)
      assert.equal(stateOf(cluster, job), 'failed')
    }, STATE_RETENTION_MILLISECONDS)
  })

  itUnlessKnownRed('a task that crashes workers is given up without the tasks beside it', async () => {
    await verifyCluster(3, async cluster => {
      const neighbours = Array.from({ length: 4 }, () => cluster.submit('batch', [step(5)]))
      const job = cluster.submit('batch', [step(2)], crashes({ tasks: [0], afterMilliseconds: 200 }))
      await cluster.advance(60_000)
      assert.equal(stateOf(cluster, job), 'failed')
      assert.deepEqual(neighbours.map(neighbour => stateOf(cluster, neighbour)), neighbours.map(() => 'completed'))
    }, STATE_RETENTION_MILLISECONDS)
  })
})

/** Guards against a silent worker that is taken for a crashed one: a task that lost contact three times would be given up although it works. */
describe('a task on workers that are silent', () => {
  const SILENCES: ReadonlyArray<{ readonly name: string, readonly milliseconds: number }> = [
    { name: 'for less than a lease', milliseconds: 3000 },
    { name: 'for longer than a lease', milliseconds: 9000 }
  ]
  for (const { name, milliseconds } of SILENCES) {
    it(`is not given up after silences ${name}`, async () => {
      await verifyCluster(4, async cluster => {
        const job = cluster.submit('batch', [step(1, { longRunning: true })])
        for (let count = 0; count < 5; count += 1) {
          await cluster.advance(4000)
          const scheduler = cluster.runningSchedulers.at(-1)
          const worker = [...cluster.workers.values()].find(candidate => candidate.running.size > 0)
          assert.ok(scheduler !== undefined && worker !== undefined)
          scheduler.pathTo(worker.identity).fault = 'cut'
          await cluster.advance(milliseconds)
          scheduler.pathTo(worker.identity).fault = 'none'
        }
        await cluster.advance(8000)
        assert.equal(stateOf(cluster, job), 'running')
        cluster.cancel(job)
      }, STATE_RETENTION_MILLISECONDS)
    })
  }
})
