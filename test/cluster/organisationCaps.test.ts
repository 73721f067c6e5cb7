import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import { toProgressRecord } from '../../src/cluster/job.js'
import { exceedsCap } from '../../src/cluster/organisations/organisationCaps.js'
import { resourcesOf } from '../../src/cluster/organisations/organisationLedger.js'
import type { PlannedRun } from '../../src/cluster/placementPass.js'
import type { WorkerReport } from '../../src/cluster/workerPort.js'
import type { ResourceAmounts } from '../../src/contracts/clusterConfiguration.js'
import { stepJobSchema, type StepJob } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../fakes/silentObserver.js'

const QUEUE = { name: 'queue', host: 'host', routePrefix: '/q/', pool: 'pool', priority: 1, attempts: 3, stretch: 2, targetMilliseconds: 500 }
const WORKERS = ['w1', 'w2', 'w3']
const CORES = 10

function cap (cores: number, memoryMegabytes = 0): ResourceAmounts {
  return { processorsThousandths: cores * 1000, memoryMegabytes, accelerators: 0 }
}

function step (count: number, fields: object = {}): object {
  return { count, processorsThousandths: 1000, memoryMegabytes: 10, estimateMilliseconds: 1000, ...fields }
}

function jobOf (...steps: object[]): StepJob {
  return stepJobSchema.parse({ specification: '', steps })
}

function emptyReport (at: number, fields: Partial<WorkerReport> = {}): WorkerReport {
  return { clockMilliseconds: at, processStartedAt: 1, running: [], ended: [], mayOmitEnds: false, ...fields }
}

/** A scheduler with three workers of ten cores. */
class CappedCluster {
  readonly scheduler = new ClusterScheduler(SILENT_OBSERVER)
  now = 0
  private revision = 0
  private readonly endCounts = new Map<string, number>()

  constructor (caps: Readonly<Record<string, ResourceAmounts>>, silentWorkers: readonly string[] = []) {
    this.configure(caps)
    for (const identity of WORKERS) {
      this.scheduler.upsertWorker(new FakeClusterWorker(identity, CORES, () => 0).entry, 0)
      if (!silentWorkers.includes(identity)) this.report(identity)
    }
  }

  configure (caps: Readonly<Record<string, ResourceAmounts>>): void {
    this.revision += 1
    const organisations = Object.entries(caps).map(([name, cap]) => ({ name, apiKeys: [], weight: 1, cap }))
    this.scheduler.configure({ revision: this.revision, queues: [QUEUE], organisations, pools: [], maximumBodyBytes: 1000 })
  }

  report (identity: string, fields: Partial<WorkerReport> = {}): void {
    this.scheduler.onReport(identity, emptyReport(this.now, fields), this.now, this.now)
  }

  submit (identity: string, organisation: string | undefined, ...steps: object[]): void {
    this.scheduler.addJob(identity, { queue: 'queue', pool: 'pool', organisation, job: jobOf(...steps), acceptedAt: Date.now() }, this.now)
  }

  place (): PlannedRun[] {
    this.now += 20
    return this.scheduler.place(this.now)
  }

  /** Places what can be placed and confirms the starts. Returns the names of the tasks. */
  start (): string[] {
    const started = this.place().filter(({ task, run }) => this.scheduler.beginStart(task, run, this.now))
    for (const { task, run } of started) this.scheduler.onStartOutcome(task, run, 'started', this.now)
    this.checkLedger()
    return started.map(({ task }) => task.name)
  }

  end (...tasks: string[]): void {
    for (const worker of [...this.scheduler.workers.values()]) {
      const ended = tasks.flatMap(name => worker.runs.get(name) ?? []).map(({ name, run }) => {
        const number = (this.endCounts.get(worker.identity) ?? 0) + 1
        this.endCounts.set(worker.identity, number)
        return { number, task: name, run, kind: 'done' as const, checkpoint: '' }
      })
      const running = [...worker.runs.values()].filter(({ name }) => !tasks.includes(name)).map(({ name, run }) => ({ task: name, run, checkpoint: '', percent: 10, load: undefined }))
      if (ended.length > 0) this.report(worker.identity, { running, ended })
    }
    this.checkLedger()
  }

  cores (organisation: string): number {
    return this.scheduler.organisations.ledger.usageOf(organisation).processorsThousandths / 1000
  }

  /** Checks that the ledger equals the sum over the runs of all workers. */
  checkLedger (): void {
    const sums = new Map<string, number>()
    for (const worker of this.scheduler.workers.values()) {
      for (const task of worker.runs.values()) {
        const { organisation = '' } = task.step.job.submission
        sums.set(organisation, (sums.get(organisation) ?? 0) + resourcesOf(task.step.specification).processorsThousandths)
      }
    }
    for (const organisation of this.scheduler.organisations.ledger.organisations) assert.equal(this.cores(organisation) * 1000, sums.get(organisation) ?? 0, `ledger of ${organisation}`)
  }
}

describe('caps of organisations', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly cap: ResourceAmounts, readonly organisation?: string, readonly steps: readonly object[], readonly started: number }> = [
    { name: 'a step within the cap starts at once', cap: cap(8), organisation: 'acme', steps: [step(5)], started: 5 },
    { name: 'a step wider than the cap starts in waves', cap: cap(8), organisation: 'acme', steps: [step(20)], started: 8 },
    { name: 'an amount of 0 is no limit', cap: cap(0), organisation: 'acme', steps: [step(20)], started: 20 },
    { name: 'jobs without an organisation have no cap', cap: cap(8), steps: [step(20)], started: 20 },
    { name: 'memory is limited as well', cap: cap(0, 30), organisation: 'acme', steps: [step(20)], started: 3 },
    { name: 'the processors of filler work count', cap: cap(8), organisation: 'acme', steps: [step(20, { filler: true })], started: 8 },
    { name: 'a task wider than the cap runs alone', cap: cap(4), organisation: 'acme', steps: [step(3, { processorsThousandths: 6000 })], started: 1 },
    { name: 'a gang as wide as the cap starts as a whole', cap: cap(8), organisation: 'acme', steps: [step(8, { gang: true })], started: 8 },
    { name: 'a gang wider than the cap does not start', cap: cap(8), organisation: 'acme', steps: [step(9, { gang: true })], started: 0 }
  ]
  for (const { name, cap: limit, organisation, steps, started } of CASES) {
    it(name, () => {
      const cluster = new CappedCluster({ acme: limit })
      cluster.submit('aa', organisation, ...steps)
      assert.equal(cluster.start().length, started)
    })
  }

  it('runs a wide step in waves without ever exceeding the cap, beside another organisation', () => {
    const cluster = new CappedCluster({ acme: cap(4), other: cap(0) })
    cluster.submit('aa', 'acme', step(10))
    cluster.submit('bb', 'other', step(6))
    const first = cluster.start()
    assert.equal(first.filter(task => task.startsWith('bb')).length, 6)
    let done = 0
    let running = first.filter(task => task.startsWith('aa'))
    while (running.length > 0) {
      assert.ok(cluster.cores('acme') <= 4)
      done += running.length
      cluster.end(...running)
      running = cluster.start()
    }
    assert.equal(done, 10)
    assert.equal(cluster.scheduler.jobs.get('aa')?.state, 'completed')
  })

  it('stops nothing when a cap is lowered below the use, and starts nothing until there is room', () => {
    const cluster = new CappedCluster({ acme: cap(8) })
    cluster.submit('aa', 'acme', step(12))
    const running = cluster.start()
    cluster.configure({ acme: cap(3) })
    assert.deepEqual(cluster.start(), [])
    assert.deepEqual(cluster.scheduler.takeStops(), [])
    cluster.end(...running.slice(0, 5))
    assert.deepEqual(cluster.start(), [], 'three are still running')
    cluster.end(...running.slice(5, 7))
    assert.equal(cluster.start().length, 2)
    cluster.configure({ acme: cap(8) })
    assert.equal(cluster.start().length, 2, 'two of twelve are left')
  })

  it('withdraws placed runs when the cap is lowered before their start', () => {
    const cluster = new CappedCluster({ acme: cap(8) })
    cluster.submit('aa', 'acme', step(6))
    cluster.submit('bb', 'acme', step(2, { gang: true }))
    const planned = cluster.place()
    assert.equal(planned.length, 8)
    cluster.configure({ acme: cap(3) })
    const begun = planned.filter(({ task, run }) => cluster.scheduler.beginStart(task, run, cluster.now))
    assert.ok(begun.length <= 3, `${begun.length} runs were started`)
    assert.ok([0, 2].includes(begun.filter(({ task }) => task.step.specification.gang).length), 'a gang starts as a whole')
    cluster.checkLedger()
  })

  it('counts runs that are being stopped, uncertain or on a worker that is gone', () => {
    const cluster = new CappedCluster({ acme: cap(4) })
    cluster.submit('aa', 'acme', step(4))
    const planned = cluster.place()
    planned.forEach(({ task, run }, index) => {
      cluster.scheduler.beginStart(task, run, cluster.now)
      cluster.scheduler.onStartOutcome(task, run, index === 0 ? 'uncertain' : 'started', cluster.now)
    })
    const worker = planned[0]?.worker.identity ?? ''
    cluster.scheduler.onPollFailed(worker)
    cluster.scheduler.unlistWorker(worker)
    cluster.scheduler.cancelJob('aa', cluster.now)
    cluster.submit('bb', 'acme', step(4))
    const onWorker = planned.filter(run => run.worker.identity === worker).length
    assert.deepEqual(cluster.start(), [])
    cluster.scheduler.onWorkerLost(worker, 'silent' as never, cluster.now)
    assert.equal(cluster.start().length, onWorker, 'the leases of the lost worker are over')
  })

  it('counts restored and orphaned runs at a takeover before the first start', () => {
    const former = new CappedCluster({ acme: cap(6) })
    former.submit('aa', 'acme', step(4))
    former.submit('cc', 'acme', step(2))
    former.start()
    const orphaned = [...former.scheduler.workers.values()].flatMap(worker => [...worker.runs.values()].filter(({ name }) => name.startsWith('cc')).map(({ name, run }) => ({ worker: worker.identity, task: name, run, checkpoint: '', percent: 5, load: undefined })))
    former.scheduler.cancelJob('cc', former.now)

    const successor = new CappedCluster({ acme: cap(6) }, WORKERS)
    for (const identity of ['aa', 'cc']) {
      const job = former.scheduler.jobs.get(identity)
      assert.ok(job !== undefined)
      successor.scheduler.addJob(identity, job.submission, 0, { progress: toProgressRecord(job) })
    }
    successor.submit('bb', 'acme', step(4))
    assert.equal(successor.cores('acme'), 4, 'restored runs')
    successor.report('w1', { running: listed(former, 'w1', orphaned) })
    assert.deepEqual(successor.place(), [], 'other workers may have orphaned runs')
    for (const identity of ['w2', 'w3']) successor.report(identity, { running: listed(former, identity, orphaned) })
    assert.equal(successor.cores('acme'), 6)
    assert.deepEqual(successor.place(), [], 'orphaned runs count until they have stopped')
    for (const identity of WORKERS) successor.report(identity, { running: listed(former, identity, []) })
    assert.equal(successor.start().length, 2)
  })

  it('places no later work of the organisation in front of a gang that waits for the cap, but that of others', () => {
    const cluster = new CappedCluster({ acme: cap(8), other: cap(0) })
    cluster.submit('aa', 'acme', step(5))
    const running = cluster.start()
    cluster.submit('bb', 'acme', step(6, { gang: true }))
    cluster.submit('cc', 'acme', step(3, { estimateMilliseconds: 9000 }))
    cluster.submit('dd', 'other', step(20))
    assert.deepEqual(new Set(cluster.start().map(task => task.slice(0, 2))), new Set(['dd']))
    assert.equal(cluster.scheduler.jobs.get('bb')?.occurrences.get(0)?.steps[0]?.reservation, undefined, 'reserves no workers')
    cluster.end(...running)
    assert.equal(cluster.start().filter(task => task.startsWith('bb')).length, 6)
  })

  it('lets a small job pass a blocked gang once it has waited, while little of the cap is in use', () => {
    const cluster = new CappedCluster({ acme: cap(8) })
    cluster.submit('aa', 'acme', step(2))
    cluster.start()
    cluster.submit('bb', 'acme', step(7, { gang: true }))
    cluster.submit('cc', 'acme', step(3, { estimateMilliseconds: 9000 }))
    assert.deepEqual(cluster.start(), [])
    cluster.now += 1600
    assert.equal(cluster.start().length, 2, 'up to half of the cap')
  })
})

describe('the refusal of jobs that can never run below a cap', () => {
  const organisation = { name: 'acme', apiKeys: [], weight: 1, cap: { processorsThousandths: 8000, memoryMegabytes: 100, accelerators: 0 } }
  const CASES: ReadonlyArray<{ readonly name: string, readonly steps: readonly object[], readonly exceeds: RegExp | undefined }> = [
    { name: 'a gang at the cap', steps: [step(8, { gang: true })], exceeds: undefined },
    { name: 'a gang over the cap in processors', steps: [step(9, { gang: true })], exceeds: /step 0 needs 9000 thousandths of a core, the cap of acme is 8000/ },
    { name: 'a later gang over the cap in memory', steps: [step(1), step(4, { gang: true, memoryMegabytes: 30 })], exceeds: /step 1 needs 120 MB/ },
    { name: 'a wide step', steps: [step(900)], exceeds: undefined },
    { name: 'a single wide task', steps: [step(1, { processorsThousandths: 9000 })], exceeds: undefined },
    { name: 'an amount without limit', steps: [step(2, { gang: true, accelerators: 50 })], exceeds: undefined }
  ]
  for (const { name, steps, exceeds } of CASES) {
    it(`${exceeds === undefined ? 'accepts' : 'refuses'} ${name}`, () => {
      const reason = exceedsCap(jobOf(...steps), organisation)
      if (exceeds === undefined) assert.equal(reason, undefined)
      else assert.match(reason ?? '', exceeds)
    })
  }
})

/** Returns the runs that a worker of a former scheduler lists: those of unfinished jobs, and the given orphaned ones. */
function listed (former: CappedCluster, worker: string, orphaned: ReadonlyArray<WorkerReport['running'][number] & { readonly worker: string }>): WorkerReport['running'] {
  const own = [...former.scheduler.workers.get(worker)?.runs.values() ?? []].filter(({ name }) => !name.startsWith('cc'))
  return [...own.map(({ name, run }) => ({ task: name, run, checkpoint: '', percent: 5, load: undefined })), ...orphaned.filter(run => run.worker === worker)]
}
