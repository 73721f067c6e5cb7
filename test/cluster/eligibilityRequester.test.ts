import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import { EligibilityRequester } from '../../src/cluster/eligibilityRequester.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { FakeWorker } from '../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../fakes/silentObserver.js'

const QUEUE = { name: 'queue', host: 'host', routePrefix: '/q/', pool: 'pool', priority: 1, attempts: 2, stretch: 2, targetMilliseconds: 500, eligibility: { decisionMilliseconds: 100, perWorkerMilliseconds: 1, ticketMilliseconds: 2500 } }

function createScheduler (): ClusterScheduler {
  const scheduler = new ClusterScheduler(SILENT_OBSERVER)
  scheduler.configure({ revision: 1, queues: [QUEUE], maximumBodyBytes: 1000 })
  return scheduler
}

function addWorkers (scheduler: ClusterScheduler, names: readonly string[]): void {
  for (const name of names) {
    scheduler.upsertWorker(new FakeWorker(name, 1, () => 0).entry)
    scheduler.onReport(name, { clockMilliseconds: 1, bornAt: 1, running: [], ended: [] }, 0, 0)
  }
}

describe('EligibilityDesk', () => {
  /** Which workers a question names: all that are known first, and later ones only if the named ones cannot carry the step. */
  const CASES: ReadonlyArray<{ readonly name: string, readonly step: object, readonly later: readonly string[], readonly named: readonly string[], readonly questions: readonly string[][] }> = [
    { name: 'asks about workers that became known later when the named ones cannot carry a gang', step: { count: 2, gang: true }, later: ['w2', 'w3'], named: ['w1', 'w2', 'w3'], questions: [['w1'], ['w1', 'w2', 'w3']] },
    { name: 'asks about workers that became known later when none was named', step: { count: 1 }, later: ['w2'], named: ['w2'], questions: [['w1'], ['w2']] },
    { name: 'asks about no more workers than a step needs', step: { count: 1 }, later: ['w2'], named: ['w1'], questions: [['w1']] }
  ]
  /** A gang would wait for the one named worker for ever if room is kept there for urgent work. */
  it('asks about more workers when the named one can carry a gang only without the room kept for urgent work', async () => {
    const scheduler = createScheduler()
    addWorkers(scheduler, ['w1'])
    const fast = scheduler.workers.get('w1')
    assert.ok(fast)
    fast.speed = 1.5
    fast.urgentProcessors = 200
    for (let observation = 0; observation < 200; observation += 1) scheduler.observeLoad()
    fast.urgentProcessors = 0
    scheduler.addJob('00000000000000aa', { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ count: 1, gang: true, processorsThousandths: 1000 }] }), acceptedAt: Date.now() }, 0)
    const asked: string[][] = []
    let now = 0
    const desk = new EligibilityRequester(scheduler, () => [{
      instance: 'own',
      request: async (_step, workers) => {
        asked.push([...workers].sort())
        return { kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2500 }
      }
    }], () => {}, () => now)
    desk.sendRequests()
    await Promise.resolve()
    await Promise.resolve()
    addWorkers(scheduler, ['w2'])
    now = 1000
    desk.sendRequests()
    assert.deepEqual(asked, [['w1'], ['w1', 'w2']])
  })

  /** Jobs that no worker can run may wait for ever: the jobs behind them must not. */
  const UNPLACEABLE: ReadonlyArray<{ readonly name: string, readonly step: object }> = [
    { name: 'gangs that the named workers cannot carry together', step: { count: 2, gang: true } },
    { name: 'tasks that are larger than any worker', step: { count: 1, processorsThousandths: 2000 } },
    { name: 'tasks with a label that no worker has', step: { count: 1, requiredLabel: 'none' } }
  ]
  for (const { name, step } of UNPLACEABLE) {
    it(`asks about a step behind many ${name}`, async () => {
      const scheduler = createScheduler()
      addWorkers(scheduler, ['w1'])
      const add = (identity: string, specification: object): void => {
        scheduler.addJob(identity, { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ processorsThousandths: 1000, ...specification }] }), acceptedAt: Date.now() }, 0)
      }
      for (let job = 0; job < 40; job += 1) add(`unplaceable${job}`, step)
      add('placeable', { count: 1 })
      const asked = new Set<string>()
      let now = 0
      const desk = new EligibilityRequester(scheduler, () => [{
        instance: 'own',
        request: async (name, workers) => {
          asked.add(name)
          return { kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2500 }
        }
      }], () => {}, () => now)
      for (let question = 0; question < 100 && !asked.has('placeable.0.0'); question += 1) {
        desk.sendRequests()
        await Promise.resolve()
        await Promise.resolve()
        now += 200
      }
      assert.ok(asked.has('placeable.0.0'))
    })
  }

  for (const { name, step, later, named, questions } of CASES) {
    it(name, async () => {
      const scheduler = createScheduler()
      addWorkers(scheduler, ['w1'])
      scheduler.addJob('00000000000000aa', { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ processorsThousandths: 1000, ...step }] }), acceptedAt: Date.now() }, 0)
      const asked: string[][] = []
      let now = 0
      const desk = new EligibilityRequester(scheduler, () => [{
        instance: 'own',
        request: async (_step, workers) => {
          asked.push([...workers].sort())
          return { kind: 'eligible', workers: workers.filter(worker => named.includes(worker)).map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2500 }
        }
      }], () => {}, () => now)
      desk.sendRequests()
      await Promise.resolve()
      await Promise.resolve()
      addWorkers(scheduler, later)
      now = 1000
      desk.sendRequests()
      assert.deepEqual(asked, questions)
    })
  }
})
