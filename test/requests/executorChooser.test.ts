import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Urgency } from '../../src/contracts/siteConfiguration.js'
import { ejectOutlier, Executor } from '../../src/machines/executor.js'
import { LeastExpectedTimeChooser, type ExecutorCandidate } from '../../src/requests/executorChooser.js'

function executor (name: string, service: number | undefined, failures = 0): Executor {
  const created = new Executor(name, 'pool', 'zone', '')
  if (service !== undefined) created.recordSuccess(service)
  for (let index = 0; index < failures; index += 1) created.recordFailure()
  return created
}

function candidate (of: Executor, inFlight = 0): ExecutorCandidate {
  return { executor: of, inFlight, free: 1 }
}

/** Each case guards against sending a request to the wrong one of several different executors. */
const CASES: ReadonlyArray<{ readonly name: string, readonly candidates: readonly ExecutorCandidate[], readonly urgency: Urgency, readonly chosen: string | undefined }> = [
  { name: 'an urgent request takes the fastest executor', candidates: [candidate(executor('slow', 200)), candidate(executor('fast', 20))], urgency: 'urgent', chosen: 'fast' },
  { name: 'a deferrable request leaves the fastest executor free', candidates: [candidate(executor('slow', 200)), candidate(executor('fast', 20))], urgency: 'deferrable', chosen: 'slow' },
  { name: 'of two equally fast executors the less loaded is chosen', candidates: [candidate(executor('full', 50), 7), candidate(executor('empty', 50), 1)], urgency: 'urgent', chosen: 'empty' },
  { name: 'fast errors do not attract requests', candidates: [candidate(executor('failing', 20, 3)), candidate(executor('slow', 80))], urgency: 'urgent', chosen: 'slow' },
  { name: 'fast errors do not attract deferrable requests either', candidates: [candidate(executor('failing', 80, 3)), candidate(executor('fast', 20))], urgency: 'deferrable', chosen: 'fast' },
  { name: 'a failing executor without a completed request is not assumed to be fast', candidates: [candidate(executor('failing', undefined, 1)), candidate(executor('known', 50))], urgency: 'urgent', chosen: 'known' },
  { name: 'without candidates none is chosen', candidates: [], urgency: 'urgent', chosen: undefined }
]

describe('LeastExpectedTimeChooser', () => {
  for (const { name, candidates, urgency, chosen } of CASES) {
    it(name, () => assert.equal(new LeastExpectedTimeChooser().choose(candidates, urgency)?.executor.name, chosen))
  }
})

describe('outlier ejection', () => {
  it('ejects at most half of a pool, even if all fail', () => {
    for (const count of [1, 2, 3, 10]) {
      const pool = Array.from({ length: count }, (_, index) => executor(`e${index}`, 10, 20))
      for (const member of pool) ejectOutlier(member, pool, 0)
      assert.equal(pool.filter(member => member.isEjected(1)).length, Math.floor(count / 2))
    }
  })

  it('an ejected executor returns within 30 s with a slow start, even after repeated ejections', () => {
    const pool = [executor('bad', 10), executor('good', 10)]
    const [bad] = pool as [Executor, Executor]
    let now = 0
    for (let round = 0; round < 12; round += 1) {
      for (let failure = 0; failure < 5; failure += 1) bad.recordFailure()
      assert.equal(ejectOutlier(bad, pool, now), true)
      assert.equal(bad.isEjected(now + 999), true)
      assert.equal(bad.isEjected(now + 30_000), false)
      assert.equal(bad.rampLimit, 1)
      now += 30_000
    }
    for (const limit of [2, 4, 8]) {
      bad.recordSuccess(10)
      assert.equal(bad.rampLimit, limit)
    }
  })

  it('single failures among successes do not eject an executor', () => {
    const pool = [executor('some', 10), executor('good', 10)]
    const [some] = pool as [Executor, Executor]
    for (let index = 0; index < 50; index += 1) {
      some.recordSuccess(10)
      if (index % 3 === 0) some.recordFailure()
      assert.equal(ejectOutlier(some, pool, index), false)
    }
  })
})
