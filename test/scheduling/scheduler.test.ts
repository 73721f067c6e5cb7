import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Job } from '../../src/contracts/jobs.js'
import type { WorkerReport } from '../../src/contracts/workerProtocol.js'
import { BestFitPolicy } from '../../src/scheduling/placementPolicy.js'
import type { SchedulingDecision } from '../../src/scheduling/decisions.js'
import { Scheduler } from '../../src/scheduling/scheduler.js'

function job (identity: string, change: Partial<Job>): Job {
  return {
    identity, name: identity, team: 'one', kind: 'batch', urgency: 'normal', tasks: 1, resources: { processorsThousandths: 1000, memoryBytes: 100, accelerators: 0 }, checkpointable: false, acceptedAtMilliseconds: 0, ...change
  }
}

function schedulerWith (workers: number): Scheduler {
  const scheduler = new Scheduler(1, 0, new BestFitPolicy())
  const names = Array.from({ length: workers }, (_, index) => `worker-${index}`)
  scheduler.setWorkers(names.map(name => ({ name, failureDomain: 'zone-a', rack: 'rack-0', pool: 'general', address: '', capacity: { processorsThousandths: 4000, memoryBytes: 1000, accelerators: 0 }, leaving: false })))
  const report: Omit<WorkerReport, 'worker'> = { incarnation: '1', term: 1, tasks: [], logicalTime: 0 }
  for (const name of names) scheduler.onReport(name, { worker: name, ...report }, 0)
  return scheduler
}

function starts (decisions: readonly SchedulingDecision[]): string[] {
  return decisions.flatMap(decision => decision.kind === 'start' ? [decision.job.identity] : [])
}

/** Each case guards against overcommitted workers, half-placed gangs or a wrong order. */
const CASES: ReadonlyArray<{ readonly name: string, readonly workers: number, readonly jobs: readonly Job[], readonly started: readonly string[] }> = [
  { name: 'fills workers up to their processor capacity', workers: 1, jobs: [job('batch', { tasks: 6 })], started: ['batch', 'batch', 'batch', 'batch'] },
  { name: 'a gang that does not fit starts no task', workers: 1, jobs: [job('gang', { kind: 'gang', tasks: 5 })], started: [] },
  { name: 'a gang that fits starts every task', workers: 2, jobs: [job('gang', { kind: 'gang', tasks: 5 })], started: ['gang', 'gang', 'gang', 'gang', 'gang'] },
  { name: 'urgent jobs come first', workers: 1, jobs: [job('late', { urgency: 'deferrable', tasks: 4 }), job('now', { urgency: 'urgent', tasks: 4 })], started: ['now', 'now', 'now', 'now'] }
]

describe('Scheduler', () => {
  for (const { name, workers, jobs, started } of CASES) {
    it(name, () => {
      const scheduler = schedulerWith(workers)
      for (const entry of jobs) scheduler.addJob(entry, 0)
      assert.deepEqual(starts(scheduler.decide(0, 100)), started)
    })
  }

  it('keeps the resources of a start whose outcome is unknown until its lease has lapsed', () => {
    const scheduler = schedulerWith(1)
    scheduler.addJob(job('first', { resources: { processorsThousandths: 4000, memoryBytes: 1, accelerators: 0 } }), 0)
    const [start] = scheduler.decide(0, 10)
    assert.equal(start?.kind, 'start')
    if (start?.kind !== 'start') return
    scheduler.onStartOutcome(start.task, start.attempt, 'unknown', 100)
    assert.deepEqual(starts(scheduler.decide(30_000, 10)), [])
    assert.deepEqual(starts(scheduler.decide(32_000, 10)), ['first'])
  })

  it('repeats a start that never arrived as the same attempt while its worker reports', () => {
    const scheduler = schedulerWith(1)
    scheduler.addJob(job('first', {}), 0)
    const [start] = scheduler.decide(0, 10)
    if (start?.kind !== 'start') return assert.fail('nothing was started')
    scheduler.onStartOutcome(start.task, start.attempt, 'unknown', 2000)
    const attempts = new Set<string>()
    for (let now = 2500; now < 33_000; now += 500) {
      scheduler.planRenewals(now)
      scheduler.onReport('worker-0', { worker: 'worker-0', incarnation: '1', term: 1, tasks: [], logicalTime: 0 }, now)
      for (const decision of scheduler.decide(now, 10)) {
        if (decision.kind !== 'start') continue
        attempts.add(JSON.stringify(decision.attempt))
        scheduler.onStartOutcome(decision.task, decision.attempt, 'unknown', now)
      }
    }
    assert.deepEqual([...attempts], [JSON.stringify(start.attempt)])
  })

  it('lets the lease of a start that never arrived lapse when its worker is silent', () => {
    const scheduler = schedulerWith(1)
    scheduler.addJob(job('first', {}), 0)
    const [start] = scheduler.decide(0, 10)
    if (start?.kind !== 'start') return assert.fail('nothing was started')
    scheduler.onStartOutcome(start.task, start.attempt, 'unknown', 2000)
    let placedAt = 0
    for (let now = 2500; now < 60_000 && placedAt === 0; now += 500) {
      scheduler.planRenewals(now)
      if (starts(scheduler.decide(now, 10)).length > 0) placedAt = now
    }
    // Renewals end 10 s after the last report; the lease of 30 s and its margin of 1 s follow.
    assert.ok(placedAt >= 33_000 && placedAt <= 41_500, `placed again at ${placedAt}`)
  })
})
