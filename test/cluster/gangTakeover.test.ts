import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FakeCluster, type QueueName, type StartedScheduler, type SubmittedStepJob } from '../fakes/fakeCluster.js'
import { step } from '../fuzz/clusterFuzzer.js'
import { StartOracle } from '../fuzz/startOracle.js'

const WORKERS = 4
const MEMBERS = 5
/** Longest time from the takeover to the completion of a gang that works for 1 s: a member that waits for the others in vain ends after 3 s. */
const COMPLETION_MILLISECONDS = 7000

interface Site {
  readonly cluster: FakeCluster
  readonly scheduler: StartedScheduler
  readonly job: SubmittedStepJob
}

/** Brings a gang into a phase. */
type Phase = (site: Site) => Promise<void>

async function advanceUntilRunning ({ cluster }: Site): Promise<void> {
  for (let waited = 0; waited < 3000 && countRunning(cluster) < MEMBERS; waited += 10) await cluster.advance(10)
  assert.equal(countRunning(cluster), MEMBERS)
}

function countRunning (cluster: FakeCluster): number {
  return [...cluster.workers.values()].reduce((count, worker) => count + worker.running.size, 0)
}

function cutWorkers ({ cluster, scheduler }: Site, count: number): void {
  for (const worker of [...cluster.workers.keys()].slice(0, count)) scheduler.pathTo(worker).fault = 'cut'
}

/** Ends one member; the others end with it. */
function breakGang ({ cluster }: Site): void {
  for (const worker of cluster.workers.values()) {
    const [run] = worker.running.values()
    if (run === undefined) continue
    worker.endIfRunning(run.task, run.run, 'failed')
    return
  }
}

const PHASES: ReadonlyArray<{ readonly name: string, readonly reach: Phase }> = [
  { name: 'not placed', reach: async () => {} },
  { name: 'placed, no start sent', reach: async site => { cutWorkers(site, WORKERS); await site.cluster.advance(600) } },
  { name: 'placed, some starts sent', reach: async site => { await site.cluster.advance(10); cutWorkers(site, 1); await site.cluster.advance(600) } },
  { name: 'starts without responses', reach: async site => { for (const worker of site.cluster.workers.keys()) site.scheduler.pathTo(worker).fault = 'answerLost'; await site.cluster.advance(600) } },
  { name: 'running', reach: advanceUntilRunning },
  { name: 'broken, not noticed', reach: async site => { await advanceUntilRunning(site); cutWorkers(site, WORKERS); breakGang(site) } },
  { name: 'broken, noticed', reach: async site => { await advanceUntilRunning(site); breakGang(site); await site.cluster.advance(60) } },
  { name: 'one worker restarted, stops in flight', reach: async site => { await advanceUntilRunning(site); for (const worker of site.cluster.workers.values()) worker.stopMilliseconds = 800; [...site.cluster.workers.values()][0]?.restart(); await site.cluster.advance(60) } }
]

const FORMER: ReadonlyArray<{ readonly name: string, readonly end: (scheduler: StartedScheduler, cluster: FakeCluster) => void }> = [
  { name: 'ended', end: (scheduler, cluster) => cluster.crashScheduler(scheduler) },
  { name: 'acting until it is fenced', end: () => {} },
  { name: 'paused and resumed', end: ({ process }, cluster) => { process.pause(); cluster.clock.after(1500, () => process.resume()) } },
  { name: 'paused for long', end: ({ process }) => process.pause() }
]

const QUEUES: readonly QueueName[] = ['urgent', 'batch', 'restricted']

describe('gangs over a change of scheduler', () => {
  for (const queue of QUEUES) {
    for (const { name, reach } of PHASES) {
      for (const former of FORMER) {
        it(`starts a gang that was ${name} (queue ${queue}, former scheduler ${former.name})`, async () => {
          const oracle = new StartOracle()
          const cluster = new FakeCluster(1, oracle)
          try {
            for (let count = 0; count < WORKERS; count += 1) cluster.addWorker()
            const scheduler = cluster.startScheduler()
            await cluster.advance(200)
            const job = cluster.submit(queue, [step(MEMBERS, { gang: true })])
            await cluster.advance(10)
            await reach({ cluster, scheduler, job })
            former.end(scheduler, cluster)
            const successor = cluster.startScheduler()
            await cluster.advance(COMPLETION_MILLISECONDS)
            assert.equal(successor.activeScheduler.stateOf(job.identity), 'completed')
            assert.deepEqual(oracle.problems, [])
          } finally {
            cluster.dispose()
          }
        })
      }
    }
  }
})
