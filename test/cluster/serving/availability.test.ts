import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { mayTakeOutOfService } from '../../../src/cluster/serving/availability.js'
import { createStep, createWorker, run } from '../../fakes/runningTasks.js'

/** Guards against a task that is taken out of service beside others of its step that are away already. */
describe('mayTakeOutOfService', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly other: { readonly percent?: number, readonly isAwaitingEnd?: boolean, readonly isUnresponsive?: boolean }, readonly expected: boolean }> = [
    { name: 'is in service', other: {}, expected: true },
    { name: 'is starting', other: { percent: 50 }, expected: false },
    { name: 'is on a worker that does not respond', other: { isUnresponsive: true }, expected: false },
    { name: 'has ended, and its end is not listed yet', other: { isAwaitingEnd: true }, expected: false }
  ]
  for (const { name, other: { percent = 100, isAwaitingEnd = false, isUnresponsive = false }, expected } of CASES) {
    it(`${expected ? 'allows' : 'does not allow'} it if the other task of the step ${name}`, () => {
      const [task, other] = createStep('aa', { count: 2, longRunning: true, maximumUnavailable: 1 }).tasks
      assert.ok(task !== undefined && other !== undefined)
      const workers = new Map(['w1', 'w2'].map(identity => [identity, createWorker(identity, 4)]))
      const [first, second] = workers.values()
      assert.ok(first !== undefined && second !== undefined)
      run(task, first, { percent: 100 })
      run(other, second, { percent })
      other.isAwaitingEnd = isAwaitingEnd
      second.isUnresponsive = isUnresponsive
      assert.equal(mayTakeOutOfService(task, workers), expected)
    })
  }
})
