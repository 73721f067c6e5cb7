import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import { EligibilityRequester, type EligibilityChannel } from '../../src/cluster/eligibilityRequester.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../fakes/silentObserver.js'

const QUEUE = { name: 'queue', host: 'host', routePrefix: '/q/', pool: 'pool', priority: 1, attempts: 2, stretch: 2, targetMilliseconds: 500, eligibility: { decisionMilliseconds: 100, perWorkerMilliseconds: 1, ticketMilliseconds: 2500 } }

function createScheduler (): ClusterScheduler {
  const scheduler = new ClusterScheduler(SILENT_OBSERVER)
  scheduler.configure({ revision: 1, queues: [QUEUE], organisations: [], pools: [], maximumBodyBytes: 1000 })
  return scheduler
}

function addWorkers (scheduler: ClusterScheduler, names: readonly string[], cores = 1): void {
  for (const name of names) {
    scheduler.upsertWorker(new FakeClusterWorker(name, cores, () => 0).entry, 0)
    scheduler.onReport(name, { clockMilliseconds: 1, processStartedAt: 1, running: [], ended: [], mayOmitEnds: false }, 0, 0)
  }
}

describe('EligibilityRequester', () => {
  /** The first request contains all known workers; later requests contain further workers only if the step does not fit on those named as eligible. */
  const CASES: ReadonlyArray<{ readonly name: string, readonly step: object, readonly later: readonly string[], readonly eligible: readonly string[], readonly requests: readonly string[][] }> = [
    { name: 'requests workers that became known later when a gang does not fit on the eligible ones', step: { count: 2, gang: true }, later: ['w2', 'w3'], eligible: ['w1', 'w2', 'w3'], requests: [['w1'], ['w1', 'w2', 'w3']] },
    { name: 'requests workers that became known later when none was eligible', step: { count: 1 }, later: ['w2'], eligible: ['w2'], requests: [['w1'], ['w2']] },
    { name: 'requests no more workers than a step needs', step: { count: 1 }, later: ['w2'], eligible: ['w1'], requests: [['w1']] }
  ]
  /** Otherwise a gang would wait forever for the only eligible worker, because part of its capacity is reserved for urgent work. */
  it('requests more workers when a gang fits on the eligible one only without the capacity reserved for urgent work', async () => {
    const scheduler = createScheduler()
    addWorkers(scheduler, ['w1'])
    const fast = scheduler.workers.get('w1')
    assert.ok(fast)
    fast.speed = 1.5
    fast.urgentProcessors = 200
    for (let observation = 0; observation < 200; observation += 1) scheduler.observeLoad()
    fast.urgentProcessors = 0
    scheduler.addJob('00000000000000aa', { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ count: 1, gang: true, processorsThousandths: 1000 }] }), acceptedAt: Date.now() }, 0)
    const requested: string[][] = []
    let now = 0
    const requester = new EligibilityRequester(scheduler, () => [{
      instance: 'own',
      request: async (_step, workers) => {
        requested.push([...workers].sort())
        return { kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2500 }
      }
    }], () => {}, () => now)
    requester.sendRequests()
    await Promise.resolve()
    await Promise.resolve()
    addWorkers(scheduler, ['w2'])
    now = 1000
    requester.sendRequests()
    assert.deepEqual(requested, [['w1'], ['w1', 'w2']])
  })

  /** Jobs that no worker can run may wait forever, but must not cause head-of-line blocking. */
  const UNPLACEABLE: ReadonlyArray<{ readonly name: string, readonly step: object }> = [
    { name: 'gangs that do not fit on the eligible workers together', step: { count: 2, gang: true } },
    { name: 'tasks that are larger than any worker', step: { count: 1, processorsThousandths: 2000 } },
    { name: 'tasks with a label that no worker has', step: { count: 1, requiredLabel: 'none' } }
  ]
  for (const { name, step } of UNPLACEABLE) {
    it(`requests workers for a step behind many ${name}`, async () => {
      const scheduler = createScheduler()
      addWorkers(scheduler, ['w1'])
      const add = (identity: string, specification: object): void => {
        scheduler.addJob(identity, { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ processorsThousandths: 1000, ...specification }] }), acceptedAt: Date.now() }, 0)
      }
      for (let job = 0; job < 40; job += 1) add(`unplaceable${job}`, step)
      add('placeable', { count: 1 })
      const requested = new Set<string>()
      let now = 0
      const requester = new EligibilityRequester(scheduler, () => [{
        instance: 'own',
        request: async (stepName, workers) => {
          requested.add(stepName)
          return { kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2500 }
        }
      }], () => {}, () => now)
      for (let round = 0; round < 100 && !requested.has('placeable.0.0'); round += 1) {
        requester.sendRequests()
        await Promise.resolve()
        await Promise.resolve()
        now += 200
      }
      assert.ok(requested.has('placeable.0.0'))
    })
  }

  /** A backlog that waits for room must not delay the requests of steps that find room at once. Load: a site full for all but small tasks, with a long backlog. */
  const BACKLOGS: ReadonlyArray<{ readonly name: string, readonly step: object }> = [
    { name: 'gangs that wait for room', step: { count: 2, gang: true } },
    { name: 'large tasks that wait for room', step: { count: 1 } }
  ]
  for (const { name, step } of BACKLOGS) {
    it(`requests workers for a small step behind many ${name}, and does not repeat their requests while there is no room`, async () => {
      const scheduler = createScheduler()
      addWorkers(scheduler, ['w1', 'w2'])
      for (const worker of scheduler.workers.values()) worker.usedProcessors = 900
      const add = (identity: string, specification: object): void => {
        scheduler.addJob(identity, { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ processorsThousandths: 1000, ...specification }] }), acceptedAt: Date.now() }, 0)
      }
      for (let job = 0; job < 40; job += 1) add(`waiting${job}`, step)
      add('small', { count: 1, processorsThousandths: 100 })
      const requests: string[] = []
      let now = 0
      const requester = new EligibilityRequester(scheduler, () => [{
        instance: 'own',
        request: async (stepName, workers) => {
          requests.push(stepName)
          return { kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2500 }
        }
      }], () => {}, () => now)
      for (let round = 0; round < 100; round += 1) {
        requester.sendRequests()
        await Promise.resolve()
        await Promise.resolve()
        now += 50
      }
      assert.ok(requests.includes('small.0.0'))
      assert.equal(requests.filter(name => name.startsWith('waiting')).length, 40)
    })
  }

  /** Otherwise a step waits for the workers that were the freest when it became ready, although others have room by now. */
  it('requests further workers that have room for a step that finds none on its eligible workers', async () => {
    const scheduler = createScheduler()
    addWorkers(scheduler, ['w1'])
    scheduler.addJob('00000000000000aa', { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ count: 1, processorsThousandths: 1000 }] }), acceptedAt: Date.now() }, 0)
    const requests: string[][] = []
    let now = 0
    const requester = new EligibilityRequester(scheduler, () => [{
      instance: 'own',
      request: async (_step, workers) => {
        requests.push([...workers])
        return { kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2500 }
      }
    }], () => {}, () => now)
    requester.sendRequests()
    await Promise.resolve()
    await Promise.resolve()
    const [eligible] = scheduler.workers.values()
    if (eligible !== undefined) eligible.usedProcessors = 1000
    addWorkers(scheduler, ['w2'])
    scheduler.place(0)
    for (now = 100; now < 1000; now += 100) requester.sendRequests()
    assert.deepEqual(requests, [['w1'], ['w2']])
  })

  /** Otherwise a step that waits alone is requested through the same instance for ever. A request to a silent instance fails after its timeout. */
  const FAILING: ReadonlyArray<{ readonly name: string, readonly failing: readonly string[], readonly timeoutMilliseconds: number, readonly used: readonly string[] }> = [
    { name: 'the last instance refuses', failing: ['c'], timeoutMilliseconds: 0, used: ['c', 'b'] },
    { name: 'the last instance is silent', failing: ['c'], timeoutMilliseconds: 700, used: ['c', 'b'] },
    { name: 'all instances but the own one are silent', failing: ['b', 'c'], timeoutMilliseconds: 700, used: ['c', 'b', 'own'] },
    { name: 'all instances fail', failing: ['own', 'b', 'c'], timeoutMilliseconds: 0, used: ['c', 'b', 'own', 'c', 'b', 'own'] }
  ]
  for (const { name, failing, timeoutMilliseconds, used } of FAILING) {
    it(`requests workers through another instance when ${name}`, async () => {
      const scheduler = createScheduler()
      addWorkers(scheduler, ['w1'])
      scheduler.addJob('00000000000000aa', { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ count: 1, processorsThousandths: 1000 }] }), acceptedAt: Date.now() }, 0)
      let now = 0
      const channelsUsed: string[] = []
      const channels = ['own', 'b', 'c'].map((instance): EligibilityChannel => ({
        instance,
        request: async (_step, workers) => {
          channelsUsed.push(instance)
          if (!failing.includes(instance)) return { kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2500 }
          now += timeoutMilliseconds
          return { kind: 'failed', reason: 'failed' }
        }
      }))
      const requester = new EligibilityRequester(scheduler, () => channels, () => {}, () => now)
      for (let request = 0; request < used.length; request += 1) {
        requester.sendRequests()
        await new Promise(resolve => setImmediate(resolve))
        now += 160
      }
      assert.deepEqual(channelsUsed, used)
    })
  }

  /** Short requests must not keep long ones from the share of the channels that those may use. */
  it('sends as many long requests while short requests are pending as otherwise', async () => {
    const scheduler = new ClusterScheduler(SILENT_OBSERVER)
    const short = { ...QUEUE, name: 'short', priority: 0, eligibility: { decisionMilliseconds: 10, perWorkerMilliseconds: 0, ticketMilliseconds: 2500 } }
    scheduler.configure({ revision: 1, queues: [QUEUE, short], organisations: [], pools: [], maximumBodyBytes: 1000 })
    addWorkers(scheduler, ['w1'])
    const add = (identity: string, queue: string): void => {
      scheduler.addJob(identity, { queue, pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ count: 1, processorsThousandths: 1000 }] }), acceptedAt: Date.now() }, 0)
    }
    const requested: string[] = []
    const channels = ['a', 'b', 'c', 'd'].map((instance): EligibilityChannel => ({
      instance,
      request: async stepName => {
        requested.push(stepName)
        return await new Promise(() => {})
      }
    }))
    const requester = new EligibilityRequester(scheduler, () => channels, () => {}, () => 0)
    for (const [identity, queue] of [['short1', 'short'], ['short2', 'short'], ['long1', 'queue'], ['long2', 'queue'], ['long3', 'queue']] as const) {
      add(identity, queue)
      requester.sendRequests()
    }
    assert.deepEqual(requested, ['short1.0.0', 'short2.0.0', 'long1.0.0', 'long2.0.0'])
  })

  /** A step whose tasks are kept apart may have room on workers that can take none of its tasks any more. After a takeover, few workers have reported at the first request. */
  const APART: ReadonlyArray<{ readonly name: string, readonly step: object, readonly placed: number, readonly placedLater: number }> = [
    { name: 'a gang', step: { count: 3, gang: true }, placed: 0, placedLater: 3 },
    { name: 'tasks', step: { count: 3 }, placed: 1, placedLater: 2 },
    { name: 'tasks that last', step: { count: 3, longRunning: true }, placed: 1, placedLater: 2 }
  ]
  for (const { name, step, placed, placedLater } of APART) {
    it(`requests further workers for ${name} of which each worker takes only one`, async () => {
      const scheduler = createScheduler()
      addWorkers(scheduler, ['w1'], 8)
      scheduler.addJob('00000000000000aa', { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ processorsThousandths: 1000, maximumPerWorker: 1, ...step }] }), acceptedAt: Date.now() }, 0)
      let now = 0
      const requester = new EligibilityRequester(scheduler, () => [{
        instance: 'own',
        request: async (_step, workers) => ({ kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2500 })
      }], () => {}, () => now)
      const advance = async (): Promise<number> => {
        let count = 0
        for (let round = 0; round < 10; round += 1) {
          requester.sendRequests()
          await new Promise(resolve => setImmediate(resolve))
          count += scheduler.place(now).length
          now += 100
        }
        return count
      }
      assert.equal(await advance(), placed)
      addWorkers(scheduler, ['w2', 'w3'], 8)
      assert.equal(await advance(), placedLater)
    })
  }

  for (const { name, step, later, eligible, requests } of CASES) {
    it(name, async () => {
      const scheduler = createScheduler()
      addWorkers(scheduler, ['w1'])
      scheduler.addJob('00000000000000aa', { queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: '', steps: [{ processorsThousandths: 1000, ...step }] }), acceptedAt: Date.now() }, 0)
      const requested: string[][] = []
      let now = 0
      const requester = new EligibilityRequester(scheduler, () => [{
        instance: 'own',
        request: async (_step, workers) => {
          requested.push([...workers].sort())
          return { kind: 'eligible', workers: workers.filter(worker => eligible.includes(worker)).map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2500 }
        }
      }], () => {}, () => now)
      requester.sendRequests()
      await Promise.resolve()
      await Promise.resolve()
      addWorkers(scheduler, later)
      now = 1000
      requester.sendRequests()
      assert.deepEqual(requested, requests)
    })
  }
})
