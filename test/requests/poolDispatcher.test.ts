import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Urgency } from '../../src/contracts/siteConfiguration.js'
import { Executor } from '../../src/machines/executor.js'
import { LeastExpectedTimeChooser } from '../../src/requests/executorChooser.js'
import { PoolDispatcher, type DispatchableRequest } from '../../src/requests/poolDispatcher.js'
import { RetryBudget } from '../../src/requests/retryBudget.js'
import { WaitingQueue } from '../../src/requests/waitingQueue.js'
import { RequestSimulation, type SimulationOptions } from '../../bench/requestSimulation.js'

function request (identity: string, urgency: Urgency, deadline: number, tried: string[] = []): DispatchableRequest {
  return { identity, urgency, deadline, tried: new Set(tried) }
}

/** A pool of executors with 100 ms service time and `slots` slots each. */
function dispatcher (executors: number, slots: number, capacity = 100): PoolDispatcher<DispatchableRequest> {
  const used = new Map<string, number>()
  const view = {
    free: (name: string) => slots - (used.get(name) ?? 0),
    inFlight: (name: string) => used.get(name) ?? 0,
    acquire: (name: string) => {
      used.set(name, (used.get(name) ?? 0) + 1)
      return true
    }
  }
  const created = new PoolDispatcher<DispatchableRequest>(view, new LeastExpectedTimeChooser(), capacity)
  created.setExecutors(Array.from({ length: executors }, (_, index) => {
    const executor = new Executor(`e${index}`, 'pool', 'zone', '')
    for (let success = 0; success < 5; success += 1) executor.recordSuccess(100)
    return executor
  }))
  return created
}

function drain (from: PoolDispatcher<DispatchableRequest>): string[] {
  const taken: string[] = []
  for (let next = from.next(0); next !== undefined; next = from.next(0)) taken.push(next.request.identity)
  return taken
}

describe('PoolDispatcher', () => {
  it('rejects a request that cannot meet its deadline, with a time to retry after', () => {
    const pool = dispatcher(1, 1)
    for (let index = 0; index < 10; index += 1) assert.equal(pool.admit(request(`r${index}`, 'urgent', 5000), 0).refusal, undefined)
    assert.deepEqual(pool.admit(request('late', 'urgent', 500), 0).refusal, { code: 'deadlineUnreachable', retryAfterSeconds: 1 })
    assert.equal(pool.length, 10)
  })

  it('an urgent request is not rejected because of queued requests that are less urgent', () => {
    const pool = dispatcher(1, 1)
    for (let index = 0; index < 40; index += 1) pool.admit(request(`r${index}`, 'deferrable', 60_000), 0)
    assert.equal(pool.admit(request('urgent', 'urgent', 500), 0).refusal, undefined)
  })

  it('rejects a request when there is no executor', () => {
    const pool = dispatcher(0, 1)
    assert.equal(pool.admit(request('r', 'urgent', 5000), 0).refusal?.code, 'noExecutor')
  })

  it('holds requests for a bounded time while no slot is held', () => {
    const pool = dispatcher(1, 0)
    pool.admit(request('r', 'urgent', 60_000), 0)
    assert.deepEqual(pool.takeExpired(0), [])
    assert.deepEqual(pool.takeExpired(2999), [])
    assert.equal(pool.takeExpired(3000).length, 1)
  })

  it('does not retry a request on the same executor while another is free', () => {
    const pool = dispatcher(2, 1)
    pool.admit(request('again', 'urgent', 5000, ['e0']), 0)
    assert.equal(pool.next(0)?.executor.name, 'e1')
  })

  it('sends nothing to a leaving or ejected executor', () => {
    const pool = dispatcher(1, 4)
    const executor = new Executor('leaving', 'pool', 'zone', '')
    executor.leaving = true
    const ejected = new Executor('ejected', 'pool', 'zone', '')
    ejected.eject(0)
    pool.setExecutors([executor, ejected])
    pool.admit(request('r', 'urgent', 5000), 0)
    assert.equal(pool.next(1), undefined)
  })

  it('reserves the last of 16 free slots for requests that are not deferrable', () => {
    const pool = dispatcher(2, 8)
    for (let index = 0; index < 20; index += 1) pool.admit(request(`d${index}`, 'deferrable', 60_000), 0)
    assert.equal(drain(pool).length, 15)
    pool.admit(request('urgent', 'urgent', 5000), 0)
    assert.deepEqual(drain(pool), ['urgent'])
  })
})

describe('WaitingQueue', () => {
  it('orders by urgency class, then deadline', () => {
    const queue = new WaitingQueue<DispatchableRequest>(10)
    for (const [identity, urgency, deadline] of [['d', 'deferrable', 1], ['n', 'normal', 2], ['u2', 'urgent', 9], ['u1', 'urgent', 3]] as const) queue.push(request(identity, urgency, deadline))
    assert.deepEqual([1, 2, 3, 4, 5].map(() => queue.take()?.identity), ['u1', 'u2', 'n', 'd', undefined])
  })

  it('when full, evicts the least urgent request with the latest deadline, but none that is as urgent as the new one', () => {
    const queue = new WaitingQueue<DispatchableRequest>(3)
    for (const [identity, urgency, deadline] of [['n', 'normal', 1], ['d1', 'deferrable', 2], ['d2', 'deferrable', 3]] as const) queue.push(request(identity, urgency, deadline))
    assert.equal(queue.push(request('u1', 'urgent', 9))?.identity, 'd2')
    assert.equal(queue.push(request('u2', 'urgent', 9))?.identity, 'd1')
    const refused = request('n2', 'normal', 0)
    assert.equal(queue.push(refused), refused)
    assert.equal(queue.length, 3)
  })

  it('starves no class while more urgent requests are always queued', () => {
    const queue = new WaitingQueue<DispatchableRequest>(1000)
    for (let index = 0; index < 100; index += 1) {
      queue.push(request('normal', 'normal', 1))
      queue.push(request('deferrable', 'deferrable', 1))
    }
    const taken = { urgent: 0, normal: 0, deferrable: 0 }
    for (let index = 0; index < 320; index += 1) {
      queue.push(request('urgent', 'urgent', 1))
      taken[queue.take('normal')?.urgency ?? 'urgent'] += 1
    }
    assert.deepEqual(taken, { urgent: 300, normal: 10, deferrable: 10 })
  })

  it('stays consistent and small when most requests are removed before their turn', () => {
    const queue = new WaitingQueue<DispatchableRequest>(10)
    for (let index = 0; index < 10_000; index += 1) {
      const waiting = request(`r${index}`, 'normal', index)
      queue.push(waiting)
      queue.remove(waiting)
    }
    assert.equal(queue.length, 0)
    assert.equal(queue.take(), undefined)
    assert.deepEqual(queue.takeExpired(Infinity), [])
  })
})

describe('RetryBudget', () => {
  it('allows at most 1.1 attempts per request when every attempt fails', () => {
    for (const requests of [1, 9, 10, 100, 10_000]) {
      const budget = new RetryBudget()
      let attempts = 0
      for (let index = 0; index < requests; index += 1) {
        budget.onFirstAttempt()
        attempts += 1
        while (budget.take()) attempts += 1
      }
      assert.ok(attempts <= requests * 1.1 + 1e-6, `${attempts} attempts of ${requests} requests`)
      if (requests >= 10) assert.ok(attempts > requests)
    }
  })
})

describe('overload', () => {
  const options: Omit<SimulationOptions, 'load' | 'mix'> = {
    seed: 1, sharing: 'grants', instances: 3, serviceMilliseconds: [20, 40, 80, 160], deadlineMilliseconds: { urgent: 3000, normal: 5000, deferrable: 20_000 }, arrivalSkew: 1, durationMilliseconds: 15_000, createChooser: () => new LeastExpectedTimeChooser()
  }

  for (const mix of [{ urgent: 0.3, normal: 0.3, deferrable: 0.4 }, { urgent: 1, normal: 0, deferrable: 0 }]) {
    it(`urgent goodput at three times the capacity is within 10 % of the goodput without overload (${mix.urgent * 100} % urgent)`, () => {
      const baseline = new RequestSimulation({ ...options, mix, load: 0.95 }).run()
      const overloaded = new RequestSimulation({ ...options, mix, load: 3 }).run()
      assert.ok(overloaded.answeredInTime.urgent >= baseline.answeredInTime.urgent * 0.9, `${overloaded.answeredInTime.urgent} against ${baseline.answeredInTime.urgent}`)
      assert.ok(overloaded.peakInFlight <= 8)
    })
  }
})
