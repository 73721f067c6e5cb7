import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import type { Organisation } from '../../src/contracts/clusterConfiguration.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../fakes/silentObserver.js'

// The age of a job, by which jobs are ordered, is measured on the wall clock.
beforeEach(() => mock.timers.enable({ apis: ['Date'] }))
afterEach(() => mock.timers.reset())

const CORES = 12
const QUEUE = { host: 'host', routePrefix: '/q/', pool: 'pool', attempts: 3, stretch: 4, targetMilliseconds: 5000 }
const QUEUES = [{ ...QUEUE, name: 'urgent', priority: 0 }, { ...QUEUE, name: 'batch', priority: 1 }]
const NO_LIMIT = { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }

/** A scheduler with one worker of twelve cores. Tasks take a core, and end when told. */
class SharedCluster {
  readonly explained: string[] = []
  readonly scheduler = new ClusterScheduler({ ...SILENT_OBSERVER, onDidExplainWait: (step, reason) => { this.explained.push(`${step.name} ${reason}`) } })
  now = 0
  private jobCount = 0
  private endCount = 0

  constructor (weights: Readonly<Record<string, number>>, caps: Readonly<Record<string, number>> = {}) {
    const organisations = Object.entries(weights).map(([name, weight]): Organisation => ({ name, apiKeys: [], weight, cap: { ...NO_LIMIT, processorsThousandths: 1000 * (caps[name] ?? 0) } }))
    this.scheduler.configure({ revision: 1, queues: QUEUES, organisations, pools: [], maximumBodyBytes: 1000 })
    this.scheduler.upsertWorker(new FakeClusterWorker('w1', CORES, () => 0).entry, 0)
    this.report([])
  }

  submit (organisation: string | undefined, count: number, { queue = 'batch', ...fields }: { readonly queue?: string, readonly gang?: boolean } = {}): string {
    this.jobCount += 1
    const identity = `j${this.jobCount}`
    const job = stepJobSchema.parse({ specification: '', steps: [{ count, processorsThousandths: 1000, memoryMegabytes: 10, estimateMilliseconds: 1000, ...fields }] })
    this.scheduler.addJob(identity, { queue, pool: 'pool', organisation, job, acceptedAt: Date.now() }, this.now)
    return identity
  }

  /** Places and starts what can be, and returns the number of running tasks of each organisation. */
  run (milliseconds = 20): Record<string, number> {
    this.now += milliseconds
    for (const { task, run } of this.scheduler.place(this.now)) {
      this.scheduler.beginStart(task, run, this.now)
      this.scheduler.onStartOutcome(task, run, 'started', this.now)
    }
    return this.running()
  }

  running (): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { step } of this.tasks()) {
      const { organisation = '' } = step.job.submission
      counts[organisation] = (counts[organisation] ?? 0) + 1
    }
    return counts
  }

  /** Ends the oldest running tasks of an organisation. */
  end (organisation: string, count: number): void {
    this.report(this.tasks().filter(({ step }) => step.job.submission.organisation === organisation).slice(0, count).map(({ name, run }) => ({ name, run })))
  }

  private tasks (): Array<{ name: string, run: number, step: { job: { submission: { organisation?: string } } } }> {
    return [...this.scheduler.workers.get('w1')?.runs.values() ?? []]
  }

  private report (ends: ReadonlyArray<{ readonly name: string, readonly run: number }>): void {
    const running = [...this.scheduler.workers.get('w1')?.runs.values() ?? []].filter(({ name }) => !ends.some(end => end.name === name)).map(({ name, run }) => ({ task: name, run, checkpoint: '', percent: 10, load: undefined }))
    const ended = ends.map(({ name, run }) => ({ number: ++this.endCount, task: name, run, kind: 'done' as const, checkpoint: '' }))
    this.scheduler.onReport('w1', { clockMilliseconds: this.now, processStartedAt: 1, running, ended, mayOmitEnds: false }, this.now, this.now)
  }
}

describe('the fair order of organisations', () => {
  it('gives each organisation its weighted share when one sends seven times as much, first come or not', () => {
    const cluster = new SharedCluster({ hot: 1, calm: 1, large: 2 })
    for (let job = 0; job < 7; job += 1) cluster.submit('hot', 3)
    cluster.submit('calm', 3)
    for (let job = 0; job < 2; job += 1) cluster.submit('large', 3)
    assert.deepEqual(cluster.run(), { hot: 3, calm: 3, large: 6 })
  })

  it('keeps the order by objective while there is room for all', () => {
    const cluster = new SharedCluster({ hot: 1, calm: 1 })
    const first = cluster.submit('hot', 3)
    cluster.now += 10
    const second = cluster.submit('calm', 1)
    const planned = cluster.scheduler.place(cluster.now).map(({ task }) => task.step.job.identity)
    assert.deepEqual(planned, [first, first, first, second])
  })

  it('lends an idle share, and gives it back as tasks end', () => {
    const cluster = new SharedCluster({ busy: 1, other: 1 })
    for (let job = 0; job < 10; job += 1) cluster.submit('busy', 4)
    assert.deepEqual(cluster.run(), { busy: 12 })
    for (let job = 0; job < 3; job += 1) cluster.submit('other', 4)
    for (let ended = 0; ended < 3; ended += 1) {
      cluster.end('busy', 2)
      cluster.run()
    }
    assert.deepEqual(cluster.running(), { busy: 6, other: 6 })
  })

  it('does not let an organisation that was idle monopolise afterwards', () => {
    // The weights also are rates, which these jobs must not exceed.
    const cluster = new SharedCluster({ steady: 50, idle: 50 })
    for (let job = 0; job < 30; job += 1) cluster.submit('steady', 4)
    cluster.run()
    for (let round = 0; round < 5; round += 1) {
      cluster.end('steady', 12)
      assert.deepEqual(cluster.run(1000), { steady: 12 })
    }
    for (let job = 0; job < 10; job += 1) cluster.submit('idle', 4)
    cluster.end('steady', 12)
    const { steady = 0, idle = 0 } = cluster.run()
    assert.equal(steady + idle, 12)
    assert.ok(Math.abs(steady - idle) <= 4, `half each within the width of a job: steady ${steady}, idle ${idle}`)
  })

  it('uses all room although every organisation is beyond its share or rate', () => {
    const cluster = new SharedCluster({ hot: 1, absent: 100 })
    for (let job = 0; job < 20; job += 1) cluster.submit('hot', 1)
    assert.deepEqual(cluster.run(), { hot: 12 })
  })

  it('places urgent work of an organisation beyond its share before other work of one within it', () => {
    const cluster = new SharedCluster({ hot: 1, calm: 1 })
    for (let job = 0; job < 3; job += 1) cluster.submit('hot', 4, { queue: 'urgent' })
    for (let job = 0; job < 3; job += 1) cluster.submit('calm', 4)
    assert.deepEqual(cluster.run(), { hot: 12 })
  })

  it('does not place a large job after small ones because of its own size', () => {
    const cluster = new SharedCluster({ large: 1, small: 1 })
    const large = cluster.submit('large', 10, { gang: true })
    cluster.now += 10
    for (let job = 0; job < 10; job += 1) cluster.submit('small', 1)
    const { large: running = 0 } = cluster.run()
    assert.equal(running, 10, `${large} is within its share when it starts`)
  })

  it('leaves the room that a capped organisation may not use to the others', () => {
    const cluster = new SharedCluster({ capped: 10, other: 1 }, { capped: 2 })
    for (let job = 0; job < 5; job += 1) cluster.submit('capped', 4)
    for (let job = 0; job < 5; job += 1) cluster.submit('other', 4)
    assert.deepEqual(cluster.run(), { capped: 2, other: 10 })
  })

  it('names the cap, the share or the rate for which a step waits, once for each change', () => {
    const cluster = new SharedCluster({ capped: 1, hot: 1, calm: 1 }, { capped: 2 })
    cluster.submit('capped', 5)
    for (let job = 0; job < 12; job += 1) cluster.submit('hot', 3)
    for (let job = 0; job < 3; job += 1) cluster.submit('calm', 3)
    for (let pass = 0; pass < 60; pass += 1) cluster.run()
    assert.ok(cluster.explained.some(line => /^j1\.0\.0 waits for the cap of capped \(2000\/2000 thousandths of a core\)$/.test(line)), cluster.explained.join('\n'))
    assert.ok(cluster.explained.some(line => line.includes('waits behind the share of the others: hot uses')), cluster.explained.join('\n'))
    assert.ok(cluster.explained.some(line => line.includes('hot submits more than its rate')), cluster.explained.join('\n'))
    assert.equal(new Set(cluster.explained).size, cluster.explained.length)
  })

  it('summarises the largest organisations and sums up the rest', () => {
    const names = Array.from({ length: 14 }, (_, index) => `o${index}`)
    const cluster = new SharedCluster(Object.fromEntries(names.map(name => [name, 1])))
    for (const name of names) cluster.submit(name, 1)
    cluster.submit('o3', 4)
    cluster.run()
    const summaries = cluster.scheduler.organisations.summarise(cluster.scheduler.readySteps)
    assert.equal(summaries.length, 11)
    assert.equal(summaries.at(-1)?.name, '(others)')
    assert.equal(summaries.reduce((sum, { processorsThousandths }) => sum + processorsThousandths, 0), 12_000)
    assert.equal(summaries.reduce((sum, { waitingTasks }) => sum + waitingTasks, 0), 6)
  })
})

describe('the rate of submissions', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly weight: number, readonly periodMilliseconds: number, readonly jobs: number, readonly beyond: number }> = [
    { name: 'jobs at the rate', weight: 2, periodMilliseconds: 500, jobs: 40, beyond: 0 },
    { name: 'a burst within the allowance', weight: 2, periodMilliseconds: 0, jobs: 4, beyond: 0 },
    { name: 'a longer burst', weight: 2, periodMilliseconds: 0, jobs: 10, beyond: 6 },
    { name: 'twice the rate', weight: 2, periodMilliseconds: 250, jobs: 43, beyond: 18 },
    { name: 'an organisation without a rate', weight: 0, periodMilliseconds: 0, jobs: 50, beyond: 0 }
  ]
  for (const { name, weight, periodMilliseconds, jobs, beyond } of CASES) {
    it(`marks ${beyond} of ${jobs} jobs: ${name}`, () => {
      const cluster = new SharedCluster({ acme: weight })
      const identities: string[] = []
      for (let job = 0; job < jobs; job += 1) {
        identities.push(cluster.submit('acme', 1))
        cluster.now += periodMilliseconds
      }
      const marked = identities.filter(identity => cluster.scheduler.organisations.isBeyondRate(cluster.scheduler.jobs.get(identity) as never))
      assert.equal(marked.length, beyond)
    })
  }

  const ORDERS: ReadonlyArray<{ readonly name: string, readonly ageMilliseconds: number, readonly jobsBefore: number }> = [
    { name: 'late work of others precedes urgent work beyond the rate', ageMilliseconds: 20_000, jobsBefore: 4 },
    { name: 'overdue work of others follows it', ageMilliseconds: 60_000, jobsBefore: 8 }
  ]
  for (const { name, ageMilliseconds, jobsBefore } of ORDERS) {
    it(name, () => {
      const cluster = new SharedCluster({ hot: 1, calm: 4 })
      const old = cluster.submit('calm', 10)
      cluster.now += ageMilliseconds
      const identities = Array.from({ length: 8 }, () => cluster.submit('hot', 1, { queue: 'urgent' }))
      const planned = [...new Set(cluster.scheduler.place(cluster.now).map(({ task }) => task.step.job.identity))]
      assert.deepEqual(planned, [...identities.slice(0, jobsBefore), old])
    })
  }
})
