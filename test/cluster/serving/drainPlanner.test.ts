import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Task } from '../../../src/cluster/job.js'
import { planDeparture, type Departure } from '../../../src/cluster/serving/drainPlanner.js'
import type { JobStep } from '../../../src/contracts/stepJob.js'
import { createStep, createWorker, run } from '../../fakes/runningTasks.js'

/** Without a departure, a run ends with its worker, and its task waits until the lease has certainly expired. */
describe('planDeparture', () => {
  /** A run that started at 0, at time 2000. `percent` is its progress, `left` the time until the worker may exit. */
  const CASES: ReadonlyArray<{ readonly name: string, readonly step: Partial<JobStep>, readonly percent?: number, readonly left: number, readonly isDraining?: boolean, readonly departure: Departure }> = [
    { name: 'stays on a worker that does not drain', step: { estimateMilliseconds: 60_000 }, left: 100, isDraining: false, departure: 'stay' },
    { name: 'stays if it ends in time', step: { estimateMilliseconds: 3000 }, percent: 50, left: 3000, departure: 'stay' },
    { name: 'leaves if its progress shows that it ends too late', step: { estimateMilliseconds: 3000 }, percent: 20, left: 3000, departure: 'whenPlaceable' },
    { name: 'leaves if its estimate shows that it ends too late', step: { estimateMilliseconds: 10_000 }, left: 3000, departure: 'whenPlaceable' },
    { name: 'without checkpoints stays if it ends a little too late', step: { estimateMilliseconds: 3000 }, percent: 38, left: 3000, departure: 'stay' },
    { name: 'with checkpoints leaves if it ends a little too late', step: { estimateMilliseconds: 3000, checkpointable: true }, percent: 38, left: 3000, departure: 'whenPlaceable' },
    { name: 'is stopped at the last moment even if it cannot start elsewhere', step: { estimateMilliseconds: 10_000 }, left: 1000, departure: 'now' },
    { name: 'that lasts leaves at once', step: { longRunning: true }, percent: 100, left: 60_000, departure: 'whenPlaceable' },
    { name: 'that lasts is stopped at the last moment', step: { longRunning: true }, percent: 100, left: 1000, departure: 'now' },
    { name: 'of a gang stays until the last moment', step: { estimateMilliseconds: 10_000, gang: true }, left: 5000, departure: 'stay' },
    { name: 'of a gang is stopped at the last moment', step: { estimateMilliseconds: 10_000, gang: true }, left: 1000, departure: 'now' },
    { name: 'stays if the end of the drain is not known', step: { estimateMilliseconds: 10_000 }, left: Infinity, departure: 'stay' }
  ]
  for (const { name, step, percent = 0, left, isDraining = true, departure } of CASES) {
    it(`a run ${name}`, () => {
      const worker = createWorker('w1', 4)
      worker.update({ ...worker.entry, state: isDraining ? 'draining' : 'ready', drainRemainingMilliseconds: left }, 2000)
      const task = run(createStep('job', step).tasks[0] as Task, worker, { percent })
      if (percent > 0) task.progressedAt = 2000
      assert.equal(planDeparture(task, worker, 2000), departure)
    })
  }

  it('counts the remaining time from the earliest statement', () => {
    const worker = createWorker('w1', 4)
    worker.update({ ...worker.entry, state: 'draining', drainRemainingMilliseconds: 3000 }, 0)
    worker.update({ ...worker.entry, state: 'draining', drainRemainingMilliseconds: 3000 }, 1500)
    const task = run(createStep('job', { longRunning: true }).tasks[0] as Task, worker, { percent: 100 })
    assert.equal(planDeparture(task, worker, 1800), 'now')
  })
})
