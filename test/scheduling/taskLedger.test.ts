import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Job } from '../../src/contracts/jobs.js'
import type { Attempt, ReportedTask, TaskState } from '../../src/contracts/workerProtocol.js'
import { BestFitPolicy } from '../../src/scheduling/placementPolicy.js'
import type { SchedulingDecision } from '../../src/scheduling/decisions.js'
import { Scheduler } from '../../src/scheduling/scheduler.js'

const SIZE = { processorsThousandths: 1000, memoryBytes: 100, accelerators: 1 }
const CAPACITY = { processorsThousandths: 1000, memoryBytes: 100, accelerators: 1 }
/** Time by which tasks of an earlier owner on silent workers must have ended, in milliseconds. */
const SILENT_WORKERS_LAPSE_AT = 40_000

/** Scheduler with workers that fit one task each, for jobs of one task. Decisions are returned in short form. */
class LedgerSite {
  readonly scheduler: Scheduler
  readonly started: Attempt[] = []
  now = 0

  constructor (readonly term: number, lapseAt: number, private readonly names: readonly string[]) {
    this.scheduler = new Scheduler(term, lapseAt, new BestFitPolicy())
    this.list(names)
  }

  list (names: readonly string[], capacity = CAPACITY): void {
    this.scheduler.setWorkers(names.map(name => ({ name, failureDomain: 'zone', rack: 'rack', pool: 'pool', address: '', capacity, leaving: false })))
  }

  reportEmptyInventories (): void {
    for (const name of this.names) this.report(name, [])
  }

  add (identity: string, mayAlreadyBePlaced = false): void {
    const job: Job = { identity, name: identity, team: 'one', kind: 'batch', urgency: 'normal', tasks: 1, resources: SIZE, checkpointable: false, acceptedAtMilliseconds: 0 }
    this.scheduler.addJob(job, this.now, mayAlreadyBePlaced)
  }

  report (name: string, tasks: ReadonlyArray<[task: string, attempt: Attempt, state: TaskState]>, requestedAt = this.now): void {
    const reported = tasks.map(([task, attempt, state]): ReportedTask => ({ task, attempt, job: task.slice(0, -2), taskIndex: 0, state, resources: SIZE, usage: SIZE, checkpointMilliseconds: 0 }))
    this.scheduler.onReport(name, { worker: name, incarnation: '1', term: this.term, tasks: reported, logicalTime: 0 }, this.now, requestedAt)
  }

  outcome (index: number, outcome: 'done' | 'refused' | 'notSent' | 'unknown' | 'stale', task = 'a#0'): void {
    this.scheduler.onStartOutcome(task, this.started[index] as Attempt, outcome, this.now)
  }

  decide (at: number): string[] {
    this.now = at
    return this.scheduler.decide(at, 10).map(decision => this.describe(decision))
  }

  acknowledged (): string[] {
    return this.scheduler.planRenewals(this.now).flatMap(plan => plan.acknowledged.map(({ task }) => `${task} at ${plan.worker.name}`))
  }

  private describe (decision: SchedulingDecision): string {
    if (decision.kind === 'jobEnded') return `end ${decision.job} ${decision.outcome}`
    if (decision.kind === 'start') this.started.push(decision.attempt)
    if (!('task' in decision)) return decision.kind
    return `${decision.kind} ${decision.task} at ${typeof decision.worker === 'string' ? decision.worker : decision.worker.name}`
  }
}

const LATER_ATTEMPT: Attempt = { term: 1, sequence: 7 }
const EARLIER_ATTEMPT: Attempt = { term: 1, sequence: 3 }

/** Each case guards against resources that are freed too early, a task in two places, or a command that is never repeated. */
const CASES: ReadonlyArray<readonly [name: string, run: (site: LedgerSite) => void, term?: number, lapseAt?: number]> = [
  ['a refusal after a report of the same attempt running frees nothing', site => {
    site.add('a')
    assert.deepEqual(site.decide(0), ['start a#0 at w1'])
    site.report('w1', [['a#0', site.started[0] as Attempt, 'running']])
    site.outcome(0, 'refused')
    site.add('b')
    assert.deepEqual(site.decide(100), ['start b#0 at w2'])
  }],
  ['a refusal of a repeated start frees nothing', site => {
    site.add('a')
    site.decide(0)
    site.outcome(0, 'unknown')
    site.decide(100)
    site.report('w1', [])
    assert.deepEqual(site.decide(200), ['start a#0 at w1'])
    assert.deepEqual(site.started[1], site.started[0])
    site.outcome(1, 'refused')
    assert.deepEqual(site.decide(5000), [])
  }],
  ['a start that was not sent goes to another worker', site => {
    site.add('a')
    site.decide(0)
    site.outcome(0, 'notSent')
    assert.deepEqual(site.decide(100), ['start a#0 at w2'])
  }],
  ['a stale term frees nothing and ends all decisions of this owner', site => {
    site.add('a')
    site.decide(0)
    site.outcome(0, 'stale')
    site.add('b')
    assert.deepEqual(site.decide(60_000), [])
    assert.equal(site.scheduler.utilization().used.accelerators, 1)
  }],
  ['a report requested before a start was confirmed does not lose the task', site => {
    site.add('a')
    site.decide(0)
    site.now = 50
    site.outcome(0, 'done')
    site.now = 100
    site.report('w1', [], 20)
    assert.deepEqual(site.decide(150), [])
  }],
  ['a report that arrives after a later one is ignored', site => {
    site.add('a')
    site.decide(0)
    site.outcome(0, 'done')
    site.now = 200
    site.report('w1', [['a#0', site.started[0] as Attempt, 'stopped']], 150)
    site.decide(200)
    site.report('w1', [['a#0', site.started[0] as Attempt, 'running']], 100)
    assert.equal(site.scheduler.utilization().used.accelerators, 1)
    assert.deepEqual(site.scheduler.stateOf('a')?.state, 'starting')
  }],
  ['a worker that restarted has lost its tasks', site => {
    site.add('a')
    site.decide(0)
    site.outcome(0, 'done')
    site.now = 1000
    site.report('w1', [])
    assert.deepEqual(site.decide(1000), ['taskLost a#0 at w1', 'start a#0 at w2'])
  }],
  ['a stop is repeated until its end is reported, and not renewed', site => {
    site.add('a')
    site.decide(0)
    site.outcome(0, 'done')
    site.scheduler.cancelJob('a')
    assert.deepEqual(site.decide(100), ['stop a#0 at w1'])
    assert.deepEqual(site.decide(1000), [])
    assert.deepEqual(site.decide(2200), ['stop a#0 at w1'])
    assert.deepEqual(site.scheduler.planRenewals(2200).flatMap(plan => plan.tasks), [])
    site.report('w1', [['a#0', site.started[0] as Attempt, 'stopped']])
    assert.deepEqual(site.decide(2300), ['end a cancelled'])
  }],
  ['a cancelled job whose worker never responds ends when the lease has lapsed', site => {
    site.add('a')
    site.decide(0)
    site.outcome(0, 'unknown')
    site.scheduler.cancelJob('a')
    site.decide(100)
    assert.ok(!site.decide(30_900).includes('end a cancelled'))
    assert.ok(site.decide(31_100).includes('end a cancelled'))
    assert.equal(site.scheduler.utilization().used.accelerators, 0)
  }],
  ['a failed attempt that is reported twice counts once', site => {
    site.list(['w1'])
    site.add('a')
    for (let round = 0; round < 2; round += 1) {
      site.decide(round * 5000)
      site.outcome(round, 'done')
      site.now += 1000
      site.report('w1', [['a#0', site.started[round] as Attempt, 'failed']])
      site.report('w1', [['a#0', site.started[round] as Attempt, 'failed']])
    }
    assert.deepEqual(site.decide(10_000), ['start a#0 at w1'])
  }],
  ['an ended attempt is not acknowledged while a command to start it is in flight', site => {
    site.add('a')
    site.decide(0)
    site.report('w1', [['a#0', site.started[0] as Attempt, 'failed']])
    assert.deepEqual(site.acknowledged(), [])
    site.outcome(0, 'unknown')
    assert.deepEqual(site.acknowledged(), ['a#0 at w1'])
  }],
  ['a worker that is removed and added again with a smaller capacity keeps its holds and receives nothing beyond the new capacity', site => {
    site.add('a')
    site.decide(0)
    site.outcome(0, 'done')
    site.list(['w2'])
    site.list(['w1', 'w2'], { processorsThousandths: 1000, memoryBytes: 50, accelerators: 1 })
    site.now = 100
    site.report('w1', [['a#0', site.started[0] as Attempt, 'finished']])
    site.add('b')
    site.add('c')
    assert.deepEqual(site.decide(200), ['end a finished'])
  }],
  ['after a change of owner the later of two attempts continues, the earlier is stopped, and both count against capacity', site => {
    site.add('a', true)
    site.report('w1', [['a#0', LATER_ATTEMPT, 'running']])
    site.report('w2', [['a#0', EARLIER_ATTEMPT, 'running']])
    assert.deepEqual(site.decide(100), ['stop a#0 at w2'])
    assert.equal(site.scheduler.utilization().used.accelerators, 2)
  }, 2, SILENT_WORKERS_LAPSE_AT],
  ['the same with the earlier attempt reported first', site => {
    site.add('a', true)
    site.report('w2', [['a#0', EARLIER_ATTEMPT, 'running']])
    site.report('w1', [['a#0', LATER_ATTEMPT, 'running']])
    assert.deepEqual(site.decide(100), ['stop a#0 at w2'])
  }, 2, SILENT_WORKERS_LAPSE_AT],
  ['a task is not placed while an earlier attempt of it still holds a worker', site => {
    site.add('a', true)
    site.report('w1', [['a#0', LATER_ATTEMPT, 'running']])
    site.report('w2', [['a#0', EARLIER_ATTEMPT, 'running']])
    site.decide(100)
    site.report('w1', [['a#0', LATER_ATTEMPT, 'failed']])
    assert.deepEqual(site.decide(200), [])
    site.report('w2', [['a#0', EARLIER_ATTEMPT, 'stopped']])
    assert.deepEqual(site.decide(300).length, 1)
  }, 2, SILENT_WORKERS_LAPSE_AT],
  ['a job that is added after its tasks were reported is not placed again', site => {
    site.report('w1', [['a#0', LATER_ATTEMPT, 'running']])
    site.report('w2', [['b#0', LATER_ATTEMPT, 'finished']])
    site.add('a', true)
    site.add('b', true)
    assert.deepEqual(site.decide(100), ['end b finished'])
    assert.equal(site.scheduler.stateOf('a')?.state, 'running')
  }, 2, SILENT_WORKERS_LAPSE_AT],
  ['one silent worker delays only jobs that may be on it', site => {
    site.report('w1', [])
    site.add('a', true)
    site.add('b')
    assert.deepEqual(site.decide(100), ['start b#0 at w1'])
    assert.deepEqual(site.decide(SILENT_WORKERS_LAPSE_AT - 1), ['taskLost b#0 at w1', 'start b#0 at w1'])
  }, 2, SILENT_WORKERS_LAPSE_AT],
  ['a worker that leaves the list without a report still delays jobs that may be on it', site => {
    site.report('w1', [])
    site.add('a', true)
    site.list(['w1'])
    assert.deepEqual(site.decide(SILENT_WORKERS_LAPSE_AT - 1), [])
    assert.deepEqual(site.decide(SILENT_WORKERS_LAPSE_AT), ['start a#0 at w1'])
  }, 2, SILENT_WORKERS_LAPSE_AT],
  ['the worker keeps the report of a finished task until the log contains it', site => {
    site.add('a', true)
    site.report('w1', [['a#0', LATER_ATTEMPT, 'finished']])
    assert.deepEqual([...site.scheduler.takeProgress()], [['a', [0]]])
    assert.deepEqual(site.acknowledged(), [])
    site.scheduler.onProgress('a', [0], 100)
    assert.deepEqual(site.acknowledged(), ['a#0 at w1'])
  }, 2, SILENT_WORKERS_LAPSE_AT],
  ['a task that the log records as finished does not run again', site => {
    site.add('a', true)
    site.scheduler.onProgress('a', [0], 0)
    site.report('w1', [])
    site.report('w2', [])
    assert.deepEqual(site.decide(100), ['end a finished'])
  }, 2, SILENT_WORKERS_LAPSE_AT],
  ['attempts of jobs that have ended are stopped, and their reports acknowledged', site => {
    site.report('w1', [['gone#0', LATER_ATTEMPT, 'running']])
    site.report('w2', [['gone#0', EARLIER_ATTEMPT, 'finished']])
    site.scheduler.resolveOrphans(100)
    assert.deepEqual(site.decide(100), ['stop gone#0 at w1'])
    assert.deepEqual(site.acknowledged(), ['gone#0 at w2'])
  }, 2, SILENT_WORKERS_LAPSE_AT]
]

describe('TaskLedger', () => {
  for (const [name, run, term = 1, lapseAt = 0] of CASES) {
    it(name, () => {
      const site = new LedgerSite(term, lapseAt, ['w1', 'w2'])
      if (term === 1) site.reportEmptyInventories()
      run(site)
    })
  }
})
