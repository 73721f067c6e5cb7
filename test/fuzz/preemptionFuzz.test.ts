import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { FakeCluster } from '../fakes/fakeCluster.js'
import { INJECTED_PREEMPTION_FAULTS } from './clusterFaults.js'
import { step, verifyCluster } from './clusterFuzzer.js'
import { fuzzPreemption, submitBurst } from './preemptionFuzzer.js'

/** Sets the fault of the path from the newest scheduler to each worker that is stopping a run. */
function silenceStoppingWorkers (cluster: FakeCluster): void {
  const scheduler = cluster.runningSchedulers.at(-1)
  for (const worker of cluster.workers.values()) {
    if (scheduler !== undefined && worker.stopCount > 0) scheduler.pathTo(worker.identity).fault = 'cut'
  }
}

function countStops (cluster: FakeCluster): number {
  return [...cluster.workers.values()].reduce((count, worker) => count + worker.stopCount, 0)
}

describe('preemption that is interrupted while runs are being stopped', () => {
  const INTERRUPTIONS: ReadonlyArray<{ readonly name: string, readonly interrupt: (cluster: FakeCluster) => void }> = [
    { name: 'nothing', interrupt: () => {} },
    { name: 'a slow store', interrupt: cluster => { for (const { log } of cluster.runningSchedulers) log.fault = 'slow' } },
    { name: 'a store that does not answer', interrupt: cluster => { for (const { log } of cluster.runningSchedulers) log.fault = 'cut' } },
    { name: 'a takeover', interrupt: cluster => { cluster.startScheduler() } },
    {
      name: 'the end of the scheduler, and a takeover',
      interrupt: cluster => {
        for (const scheduler of cluster.runningSchedulers) cluster.crashScheduler(scheduler)
        cluster.startScheduler()
      }
    },
    { name: 'silence of the workers that stop runs', interrupt: silenceStoppingWorkers }
  ]
  for (const { name, interrupt } of INTERRUPTIONS) {
    it(`by ${name}: every job is completed, and no rule is broken`, async () => {
      await verifyCluster(1, async cluster => {
        for (const worker of cluster.workers.values()) worker.stopMilliseconds = 800
        await submitBurst(cluster, [step(4), step(4, { gang: true })])
        assert.ok(countStops(cluster) > 0, 'runs are being stopped')
        interrupt(cluster)
        await cluster.advance(8000)
      }, 3_600_000)
    })
  }
})

describe('fuzzing preemption', () => {
  it('finds no violation with seed 51 in 20 runs', async () => {
    const failure = await fuzzPreemption({ seed: 51, runs: 20 })
    assert.equal(failure, undefined, failure === undefined ? '' : `${failure.problem}\n${failure.trace}`)
  })

  for (const { name, checks, seed, runs, injectFault } of INJECTED_PREEMPTION_FAULTS) {
    it(`finds the injected fault: ${name} (seed ${seed}, ${runs} runs)`, async () => {
      const failure = await fuzzPreemption({ seed, runs, shrink: false, injectFault })
      assert.ok(failure !== undefined && checks.some(check => failure.problem.startsWith(check)), failure?.problem)
    })
  }
})
