import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import type { ClusterConfiguration, QueuePolicy } from '../../src/contracts/clusterConfiguration.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import type { EndReport } from '../../src/cluster/workerPort.js'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../fakes/silentObserver.js'

const JOB = '00000000000000aa'
const POLICY: Omit<QueuePolicy, 'pool'> = { priority: 0, attempts: 2, stretch: 2, targetMilliseconds: 500, eligibility: { decisionMilliseconds: 100, perWorkerMilliseconds: 1, ticketMilliseconds: 60_000 } }
const QUEUE = { name: 'queue', host: 'host', routePrefix: '/q/', pool: 'pool', ...POLICY }

function configuration (revision: number, queues: ClusterConfiguration['queues']): ClusterConfiguration {
  return { revision, queues, organisations: [], pools: [], maximumBodyBytes: 1000 }
}

function createScheduler (): ClusterScheduler {
  const scheduler = new ClusterScheduler(SILENT_OBSERVER)
  scheduler.upsertWorker(new FakeClusterWorker('w1', 1, () => 0).entry, 0)
  report(scheduler, [])
  return scheduler
}

function report (scheduler: ClusterScheduler, ended: readonly EndReport[]): void {
  scheduler.onReport('w1', { clockMilliseconds: 1, processStartedAt: 1, running: [], ended, mayOmitEnds: false }, 0, 0)
}

describe('ClusterScheduler', () => {
  /**
   * A job keeps the policy of its queue while the queue is not configured. Otherwise the job fails at the first failure of a task,
   * start commands without a ticket are sent repeatedly, and urgent work is placed last.
   */
  const CONFIGURATIONS: ReadonlyArray<{ readonly name: string, readonly before: ClusterConfiguration, readonly after: ClusterConfiguration }> = [
    { name: 'is configured', before: configuration(1, [QUEUE]), after: configuration(2, [QUEUE]) },
    { name: 'is no longer configured', before: configuration(1, [QUEUE]), after: configuration(2, []) },
    { name: 'is not configured yet', before: configuration(1, []), after: configuration(2, [QUEUE]) },
    { name: 'has been removed before a takeover', before: configuration(2, []), after: configuration(2, []) }
  ]
  for (const { name, before, after } of CONFIGURATIONS) {
    it(`keeps the policy of a job whose queue ${name}`, () => {
      const scheduler = createScheduler()
      scheduler.configure(before)
      const job = scheduler.addJob(JOB, { queue: 'queue', pool: 'pool', policy: POLICY, job: stepJobSchema.parse({ specification: '', steps: [{ count: 1, processorsThousandths: 1000, estimateMilliseconds: 1000 }] }), acceptedAt: Date.now() }, 0)
      scheduler.configure(after)
      assert.ok(job.isUrgent)
      assert.ok(job.objectiveAt > 2000, `objective at ${job.objectiveAt} ms`)
      assert.deepEqual(scheduler.place(0), [], 'was placed without a ticket')
      const [step] = scheduler.readySteps
      step?.eligibility.tickets.set('w1', { ticket: 'ticket', validUntil: 60_000 })
      for (const [number, state] of [[1, 'running'], [2, 'failed']] as const) {
        assert.equal(scheduler.place(0).length, 1)
        const task = [...job.tasks()][0]
        assert.ok(task)
        scheduler.beginStart(task, number, 0)
        scheduler.onStartOutcome(task, number, 'started', 0)
        report(scheduler, [{ number, task: task.name, run: number, kind: 'failed', checkpoint: '' }])
        assert.equal(job.state, state)
      }
    })
  }
})
