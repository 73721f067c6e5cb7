import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FakeCluster } from '../fakes/fakeCluster.js'
import { ClusterOracle } from '../fuzz/clusterOracle.js'
import { step } from '../fuzz/clusterFuzzer.js'

/** Time in which work for 1 s completes beside workers that refuse all commands, in milliseconds. */
const COMPLETION_MILLISECONDS = 6000

/** Refusing workers run nothing, so they have the most room. */
const CASES: ReadonlyArray<{ readonly name: string, readonly refusing: number, readonly steps: readonly object[] }> = [
  { name: 'a task beside one refusing worker', refusing: 1, steps: [step(1)] },
  { name: 'a gang beside one refusing worker', refusing: 1, steps: [step(3, { gang: true })] },
  { name: 'a gang beside two refusing workers', refusing: 2, steps: [step(4, { gang: true })] }
]

describe('workers that refuse commands as unhealthy', () => {
  for (const { name, refusing, steps } of CASES) {
    it(`starts ${name}`, async () => {
      const oracle = new ClusterOracle()
      const cluster = new FakeCluster(1, oracle)
      try {
        for (let count = 0; count < 4; count += 1) cluster.addWorker()
        for (const worker of [...cluster.workers.values()].slice(0, refusing)) worker.fault = 'unhealthy'
        const scheduler = cluster.startScheduler()
        await cluster.advance(200)
        const job = cluster.submit('batch', steps)
        await cluster.advance(COMPLETION_MILLISECONDS)
        assert.equal(scheduler.activeScheduler.stateOf(job.identity), 'completed')
        assert.deepEqual(oracle.problems, [])
      } finally {
        cluster.dispose()
      }
    })
  }
})
