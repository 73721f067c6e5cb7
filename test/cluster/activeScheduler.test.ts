import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import FakeTimers from '@sinonjs/fake-timers'
import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { ActiveScheduler } from '../../src/cluster/activeScheduler.js'
import { ClusterMetrics } from '../../src/cluster/clusterMetrics.js'
import type { EligibilityChannel } from '../../src/cluster/eligibilityRequester.js'
import { TOPICS } from '../../src/cluster/recordLog.js'
import { cancelKey } from '../../src/cluster/submissions.js'
import type { ClusterConfiguration } from '../../src/contracts/clusterConfiguration.js'
import { encodeRecord } from '../../src/contracts/clusterRecords.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { FakeWorker, FakeWorkerPort, type OrderFault } from '../fakes/fakeClusterWorkers.js'
import { FakeRecordLog, type LogFault } from '../fakes/fakeRecordLog.js'
import { itUnlessKnownRed } from '../knownRed.js'

const BOUNDS = { workerLeaseMilliseconds: 6000, graceMilliseconds: 6000, stateRetentionMilliseconds: 120_000 }

const CONFIGURATION: ClusterConfiguration = {
  revision: 1,
  queues: [
    { name: 'queue', host: 'host', routePrefix: '/q/', pool: 'pool', priority: 0, attempts: 3, stretch: 2, targetMilliseconds: 500 },
    { name: 'batch', host: 'host', routePrefix: '/b/', pool: 'pool', priority: 1, attempts: 3, stretch: 2, targetMilliseconds: 500 },
    { name: 'asked', host: 'host', routePrefix: '/a/', pool: 'pool', priority: 0, attempts: 3, stretch: 2, targetMilliseconds: 500, eligibility: { decisionMilliseconds: 1, perWorkerMilliseconds: 0, ticketMilliseconds: 2000 } }
  ],
  maximumBodyBytes: 100_000
}

const JOB = '00000000000000aa'

/** A service that names all workers that it is asked about. */
const ALL_ELIGIBLE: EligibilityChannel = {
  instance: 'own',
  request: async (_step, workers) => ({ kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2000 })
}

interface Site {
  readonly clock: ReturnType<typeof FakeTimers.install>
  readonly log: FakeRecordLog
  readonly port: FakeWorkerPort
  deposed: number
  renewedAt: number
}

/** Runs a body with a paused clock; disposes what it made. */
async function withSite (body: (site: Site, act: (term: number) => ActiveScheduler) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install({ now: 1_000_000 })
  const site: Site = { clock, log: new FakeRecordLog(), port: new FakeWorkerPort(), deposed: 0, renewedAt: 0 }
  const acting: ActiveScheduler[] = []
  const act = (term: number): ActiveScheduler => {
    const scheduler = new ActiveScheduler(site.log, site.port, {
      term, bounds: BOUNDS, renewedAt: () => site.renewedAt === 0 ? performance.now() : site.renewedAt, eligibilityChannels: () => [ALL_ELIGIBLE], onSuperseded: () => { site.deposed += 1 }
    }, new ClusterMetrics(), new Logger('test', 'error', () => {}), new Random(1), () => performance.now())
    acting.push(scheduler)
    scheduler.takeOver(CONFIGURATION, [...site.port.workers.values()].map(worker => worker.entry))
    return scheduler
  }
  try {
    await body(site, act)
  } finally {
    for (const scheduler of acting) scheduler.dispose()
    clock.uninstall()
  }
}

function submit (log: FakeRecordLog, identity: string, steps: object[], fields: { readonly queue?: string, readonly acceptedAt?: number } = {}): void {
  const job = stepJobSchema.parse({ specification: 'text', steps })
  log.write(TOPICS.submissions, identity, encodeRecord({ queue: 'queue', pool: 'pool', job, acceptedAt: Date.now(), ...fields }))
}

function step (fields: object = {}): object {
  return { count: 1, processorsThousandths: 1000, memoryMegabytes: 10, estimateMilliseconds: 1000, ...fields }
}

describe('ActingScheduler', () => {
  /** A job of any shape ends completed, each task runs once, and no worker gets more than it can carry. */
  const SHAPES: ReadonlyArray<{ readonly name: string, readonly steps: object[], readonly starts: number }> = [
    { name: 'one task', steps: [step()], starts: 1 },
    { name: 'more tasks than room', steps: [step({ count: 9 })], starts: 9 },
    { name: 'steps in a row', steps: [step({ count: 2 }), step({ count: 2, after: [0] })], starts: 4 },
    { name: 'a gang', steps: [step({ count: 3, gang: true })], starts: 3 },
    { name: 'two gangs that share the room', steps: [step({ count: 3, gang: true }), step({ count: 3, gang: true })], starts: 6 }
  ]
  for (const shape of SHAPES) {
    it(`completes ${shape.name}`, async () => await withSite(async (site, act) => {
      const workers = [site.port.add(new FakeWorker('w1', 2, () => 1000)), site.port.add(new FakeWorker('w2', 2, () => 1000))]
      const scheduler = act(1)
      submit(site.log, JOB, shape.steps)
      await site.clock.tickAsync(9000)
      assert.equal(scheduler.stateOf(JOB), 'completed')
      const starts = workers.flatMap(worker => worker.started)
      assert.equal(starts.length, shape.starts)
      assert.equal(new Set(starts).size, shape.starts)
      assert.deepEqual(workers.flatMap(worker => worker.overcommitted), [])
    }))
  }

  /** Orders of unknown outcome: the run is found out about before its room or its task is used again. */
  const ORDER_FAULTS: readonly OrderFault[] = ['answerLost', 'notDelivered', 'late', 'unhealthy']
  for (const fault of ORDER_FAULTS) {
    it(`neither overcommits nor runs a task twice after orders of fault ${fault}`, async () => await withSite(async (site, act) => {
      const workers = ['w1', 'w2'].map(name => site.port.add(new FakeWorker(name, 1, () => 5000)))
      act(1)
      await site.clock.tickAsync(100)
      for (const worker of workers) worker.fault = fault
      submit(site.log, JOB, [step({ count: 2 })])
      await site.clock.tickAsync(1000)
      for (const worker of workers) worker.fault = 'none'
      let alive = 0
      for (let second = 0; second < 20; second += 1) {
        await site.clock.tickAsync(1000)
        for (const task of [`${JOB}.0.0.0`, `${JOB}.0.0.1`]) alive = Math.max(alive, workers.filter(worker => worker.running.has(task)).length)
      }
      assert.deepEqual(workers.flatMap(worker => worker.overcommitted), [])
      assert.ok(alive <= 1, 'a task ran on two workers at once')
    }))
  }

  /** A log that is slow lets tickets end before the orders go out; a worker that was never asked about again would be lost to the step. */
  it('asks again about a worker that has refused a ticket', async () => await withSite(async (site, act) => {
    const worker = site.port.add(new FakeWorker('w1', 1, () => 100))
    const scheduler = act(1)
    worker.fault = 'ticket'
    submit(site.log, JOB, [step()], { queue: 'asked' })
    await site.clock.tickAsync(500)
    worker.fault = 'none'
    await site.clock.tickAsync(2000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
  }))

  /** A stop that an unhealthy worker refuses has not been carried out: the start before it may still come. */
  it('repeats a stop that was refused as unhealthy', async () => await withSite(async (site, act) => {
    const first = site.port.add(new FakeWorker('w1', 1, () => 5000))
    act(1)
    await site.clock.tickAsync(100)
    first.fault = 'late'
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(300)
    first.fault = 'unhealthy'
    await site.clock.tickAsync(1500)
    const second = site.port.add(new FakeWorker('w2', 1, () => 5000))
    first.fault = 'none'
    await site.clock.tickAsync(4000)
    assert.deepEqual(first.overcommitted, [])
    assert.ok(first.started.length + second.started.length <= 1, `starts: ${[...first.started, ...second.started].join(' ')}`)
  }))

  /** What is recorded before an order goes out lets a successor know what may be running. */
  const TAKEOVERS: ReadonlyArray<{ readonly name: string, readonly unreachable: boolean, readonly waits: boolean }> = [
    { name: 'adopts what runs on workers that answer', unreachable: false, waits: false },
    { name: 'waits for the end of leases on workers that do not answer', unreachable: true, waits: true }
  ]
  for (const { name, unreachable, waits } of TAKEOVERS) {
    it(`${name}`, async () => await withSite(async (site, act) => {
      const workers = ['w1', 'w2'].map(identity => site.port.add(new FakeWorker(identity, 1, () => 4000)))
      const former = act(1)
      submit(site.log, JOB, [step()])
      await site.clock.tickAsync(500)
      const holder = workers.find(worker => worker.running.size === 1)
      assert.ok(holder)
      former.dispose()
      holder.isReachable = !unreachable
      const successor = act(2)
      await site.clock.tickAsync(5000)
      const starts = workers.flatMap(worker => worker.started)
      assert.deepEqual(starts, [`${JOB}.0.0.0/1`])
      assert.equal(successor.stateOf(JOB), waits ? 'running' : 'completed')
      if (!waits) return
      await site.clock.tickAsync(20_000)
      assert.equal(successor.stateOf(JOB), 'completed')
    }))
  }

  /** A placement is recorded before it is ordered: the record does not show that a task has started (MIXED: jobs that wait were not counted). */
  interface RestoredJob {
    readonly name: string
    readonly hasHappened: (site: Site, worker: FakeWorker) => boolean
    readonly isWorkerSilent?: boolean
    readonly waiting: number
    readonly state: string
  }
  const hasRecord = (site: Site): boolean => site.log.latestValue(TOPICS.progress, JOB) !== undefined
  const RESTORED_JOBS: readonly RestoredJob[] = [
    { name: 'whose placement was recorded but never ordered', hasHappened: hasRecord, waiting: 1, state: 'pending' },
    { name: 'whose placement was recorded but never ordered, on a worker that does not answer', hasHappened: hasRecord, isWorkerSilent: true, waiting: 1, state: 'pending' },
    { name: 'whose first task runs', hasHappened: (_, worker) => worker.running.size > 0, waiting: 0, state: 'running' },
    { name: 'whose first task has ended meanwhile', hasHappened: (_, worker) => worker.ended.length > 0, waiting: 0, state: 'running' }
  ]
  for (const { name, hasHappened, isWorkerSilent, waiting, state } of RESTORED_JOBS) {
    itUnlessKnownRed(`counts ${waiting} waiting jobs after a takeover with a job ${name}`, async () => await withSite(async (site, act) => {
      const worker = site.port.add(new FakeWorker('w1', 1, () => 1000))
      const former = act(1)
      await site.clock.tickAsync(100)
      site.log.answerMilliseconds = 200
      submit(site.log, JOB, [step(), step({ after: [0] })])
      while (!hasHappened(site, worker)) {
        await site.clock.tickAsync(10)
        if (worker.started.length > 0) former.dispose()
      }
      former.dispose()
      site.log.answerMilliseconds = 5
      worker.state = 'draining'
      worker.isReachable = isWorkerSilent !== true
      const successor = act(2)
      await site.clock.tickAsync(1000)
      assert.equal(successor.countWaitingJobs('queue'), waiting)
      assert.equal(successor.stateOf(JOB), state)
    }))
  }

  /** Looks go on after a worker has fallen silent; they must not put off the end of its leases for ever. */
  it('runs tasks elsewhere once the leases of a worker that never answers again have ended', async () => await withSite(async (site, act) => {
    const workers = ['w1', 'w2'].map(identity => site.port.add(new FakeWorker(identity, 2, () => 3000)))
    const scheduler = act(1)
    submit(site.log, JOB, [step({ count: 3, gang: true })])
    await site.clock.tickAsync(1000)
    const [lost] = workers
    assert.ok(lost)
    lost.isReachable = false
    submit(site.log, '00000000000000bb', [step({ count: 1 })])
    await site.clock.tickAsync(30_000)
    assert.equal(scheduler.stateOf('00000000000000bb'), 'completed')
    lost.isReachable = true
    await site.clock.tickAsync(8000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
  }))

  it('gives up a worker that is gone for good', async () => await withSite(async (site, act) => {
    const workers = ['w1', 'w2'].map(identity => site.port.add(new FakeWorker(identity, 1, () => 3000)))
    const scheduler = act(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(1000)
    const lost = workers.find(worker => worker.running.size === 1)
    assert.ok(lost)
    lost.isReachable = false
    await site.clock.tickAsync(12_000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
  }))

  it('fails a job once one task has failed as often as its queue allows', async () => await withSite(async (site, act) => {
    const workers = ['w1', 'w2', 'w3'].map(identity => site.port.add(new FakeWorker(identity, 2, () => 200)))
    for (const worker of workers) worker.endKind = 'failed'
    const scheduler = act(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(20_000)
    assert.equal(scheduler.stateOf(JOB), 'failed')
    assert.deepEqual(workers.flatMap(worker => worker.started).sort(), [1, 2, 3].map(run => `${JOB}.0.0.0/${run}`))
  }))

  /** The clocks of instances differ and jump: by the time of day alone, new urgent work looks overdue, which is placed after all other work. */
  const CLOCK_OFFSETS: readonly number[] = [-20_000, 0, 20_000]
  for (const offset of CLOCK_OFFSETS) {
    it(`places urgent work before batch work when the clock of the accepting instance is off by ${offset} ms`, async () => await withSite(async (site, act) => {
      const worker = site.port.add(new FakeWorker('w1', 1, () => 1000))
      act(1)
      await site.clock.tickAsync(100)
      submit(site.log, '00000000000000bb', [step({ count: 4 })], { queue: 'batch' })
      await site.clock.tickAsync(500)
      submit(site.log, JOB, [step()], { acceptedAt: Date.now() + offset })
      await site.clock.tickAsync(2000)
      assert.equal(worker.started[1], `${JOB}.0.0.0/1`)
    }))
  }

  /** Two members of one gang run fail, the second under another scheduler: counted twice, the job is shown as failed too early (LOST). */
  it('counts a failed run of a gang once over a takeover', async () => await withSite(async (site, act) => {
    const workers = ['w1', 'w2'].map(identity => site.port.add(new FakeWorker(identity, 1, () => Infinity)))
    const holderOf = (task: string): FakeWorker => workers.find(worker => worker.running.has(task)) as FakeWorker
    const [member, other] = [`${JOB}.0.0.0`, `${JOB}.0.0.1`]
    const former = act(1)
    submit(site.log, JOB, [step({ count: 2, gang: true })])
    await site.clock.tickAsync(500)
    const unreachable = holderOf(other)
    unreachable.isReachable = false
    holderOf(member).endIfRunning(member, 1, 'failed')
    await site.clock.tickAsync(200)
    unreachable.endIfRunning(other, 1, 'failed')
    former.dispose()
    unreachable.isReachable = true
    const successor = act(2)
    for (const run of [2, 3]) {
      await site.clock.tickAsync(1000)
      assert.equal(successor.stateOf(JOB), 'running')
      holderOf(member).endIfRunning(member, run, 'failed')
    }
    await site.clock.tickAsync(1000)
    assert.equal(successor.stateOf(JOB), 'failed')
  }))

  it('places nothing on a worker that is leaving, and runs of a restarted one again', async () => await withSite(async (site, act) => {
    const leaving = site.port.add(new FakeWorker('w1', 2, () => 1000))
    const staying = site.port.add(new FakeWorker('w2', 2, () => 1000))
    const scheduler = act(1)
    await site.clock.tickAsync(100)
    leaving.state = 'draining'
    scheduler.setWorker(leaving.entry)
    submit(site.log, JOB, [step({ count: 4 })])
    await site.clock.tickAsync(500)
    assert.deepEqual(leaving.started, [])
    staying.restart()
    await site.clock.tickAsync(6000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
    assert.deepEqual(staying.overcommitted, [])
  }))

  /** Nothing is asked of an idle worker, so that its restart is noticed only after the next start. */
  it('keeps a run that it started on a worker which had been restarted while it was idle', async () => await withSite(async (site, act) => {
    const worker = site.port.add(new FakeWorker('w1', 2, () => 500))
    const scheduler = act(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(3000)
    worker.restart()
    worker.started.length = 0
    submit(site.log, '00000000000000bb', [step()])
    await site.clock.tickAsync(3000)
    assert.equal(scheduler.stateOf('00000000000000bb'), 'completed')
    assert.deepEqual(worker.started, ['00000000000000bb.0.0.0/1'])
    assert.equal(worker.stops, 0)
  }))

  /** A former scheduler goes on placing until it is shut out, also jobs that its successor has not read yet. */
  it('adopts the runs of a job that was accepted and placed while it took over', async () => await withSite(async (site, act) => {
    const worker = site.port.add(new FakeWorker('w1', 4, () => 4000))
    act(1)
    await site.clock.tickAsync(100)
    site.log.appendMilliseconds = 100
    const successor = act(2)
    await site.clock.tickAsync(10)
    submit(site.log, JOB, [step()])
    site.log.appendMilliseconds = 0
    await site.clock.tickAsync(6000)
    assert.deepEqual(worker.started, [`${JOB}.0.0.0/1`])
    assert.equal(worker.stops, 0)
    assert.equal(successor.stateOf(JOB), 'completed')
  }))

  /** A job that its successor has not read yet may even be done when the former scheduler is shut out. */
  it('does not run a job again that was accepted and completed while it took over', async () => await withSite(async (site, act) => {
    const worker = site.port.add(new FakeWorker('w1', 4, () => 20))
    act(1)
    await site.clock.tickAsync(100)
    site.log.appendMilliseconds = 200
    const successor = act(2)
    await site.clock.tickAsync(10)
    site.log.appendMilliseconds = 0
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(6000)
    assert.deepEqual(worker.started, [`${JOB}.0.0.0/1`])
    assert.equal(successor.stateOf(JOB), 'completed')
  }))

  it('drops a finished job from the log once its state need not be kept, beside other writes', async () => await withSite(async (site, act) => {
    site.port.add(new FakeWorker('w1', 2, () => 500))
    const scheduler = act(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(119_000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
    submit(site.log, '00000000000000bb', [step({ count: 40 })])
    await site.clock.tickAsync(15_000)
    assert.equal(scheduler.stateOf(JOB), 'unknown')
    assert.equal(site.log.latestValue(TOPICS.progress, JOB), undefined)
    assert.equal(site.log.latestValue(TOPICS.submissions, JOB), undefined)
    assert.equal(scheduler.stateOf('00000000000000bb'), 'completed')
  }))

  /** Retention counts from the takeover; a job that had finished before was evicted at once (LOST: an accepted job is unknown). */
  it('keeps the state of a job that finished before a takeover', async () => await withSite(async (site, act) => {
    site.port.add(new FakeWorker('w1', 1, () => 500))
    await site.clock.tickAsync(2 * BOUNDS.stateRetentionMilliseconds)
    const former = act(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(3000)
    assert.equal(former.stateOf(JOB), 'completed')
    former.dispose()
    const successor = act(2)
    await site.clock.tickAsync(30_000)
    assert.equal(successor.stateOf(JOB), 'completed')
  }))

  /** A submission that is left in the log without its progress is a new job for the next scheduler (TWICE: a finished task is started again). */
  const LEFT_COPIES: ReadonlyArray<{ readonly name: string, readonly hasCopy: boolean, readonly isRefused: boolean }> = [
    { name: 'which was handed in at two instances', hasCopy: true, isRefused: false },
    { name: 'whose submission the log would not drop at first', hasCopy: false, isRefused: true }
  ]
  for (const { name, hasCopy, isRefused } of LEFT_COPIES) {
    it(`does not run a job again after its retention and a takeover ${name}`, async () => await withSite(async (site, act) => {
      const worker = site.port.add(new FakeWorker('w1', 2, () => 500))
      const former = act(1)
      const partitions = hasCopy ? [0, 1] : [0]
      const value = encodeRecord({ queue: 'queue', pool: 'pool', job: stepJobSchema.parse({ specification: 'text', steps: [step()] }), acceptedAt: Date.now() })
      for (const partition of partitions) site.log.append(TOPICS.submissions, partition, [{ key: JOB, value }])
      await site.clock.tickAsync(121_000)
      assert.equal(former.stateOf(JOB), 'completed')
      if (isRefused) site.log.fault = 'refused'
      await site.clock.tickAsync(10_000)
      site.log.fault = 'none'
      await site.clock.tickAsync(10_000)
      assert.equal(site.log.latestValue(TOPICS.progress, JOB), undefined)
      former.dispose()
      act(2)
      await site.clock.tickAsync(3000)
      assert.deepEqual(worker.started, [`${JOB}.0.0.0/1`])
    }))
  }

  it('is deposed by a later term and orders nothing more', async () => await withSite(async (site, act) => {
    const worker = site.port.add(new FakeWorker('w1', 4, () => 1000))
    act(1)
    await site.clock.tickAsync(100)
    act(2)
    await site.clock.tickAsync(100)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(3000)
    assert.ok(site.deposed > 0)
    assert.equal(worker.started.length, 1)
  }))

  /** Runs of a job that is final in the log still take room until they have stopped. */
  it('places nothing beside the runs of a cancelled job that it takes over', async () => await withSite(async (site, act) => {
    const worker = site.port.add(new FakeWorker('w1', 1, () => 10_000))
    const former = act(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(500)
    worker.fault = 'unhealthy'
    site.log.write(TOPICS.submissions, cancelKey(JOB), Buffer.from([1]))
    await site.clock.tickAsync(200)
    former.dispose()
    submit(site.log, '00000000000000bb', [step()])
    const successor = act(2)
    await site.clock.tickAsync(300)
    worker.fault = 'none'
    await site.clock.tickAsync(2000)
    assert.equal(successor.stateOf(JOB), 'cancelled')
    assert.deepEqual(worker.overcommitted, [])
    assert.deepEqual(worker.started, [`${JOB}.0.0.0/1`, '00000000000000bb.0.0.0/1'])
  }))

  /** A stop takes up to a second; the run is listed meanwhile, which is no reason to repeat the stop or to look again at once. */
  it('tells a worker once to stop a stray run', async () => await withSite(async (site, act) => {
    const worker = site.port.add(new FakeWorker('w1', 1, () => 10_000))
    const former = act(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(500)
    worker.stopMilliseconds = 800
    site.log.write(TOPICS.submissions, cancelKey(JOB), Buffer.from([1]))
    await site.clock.tickAsync(100)
    former.dispose()
    worker.looks = 0
    worker.stops = 0
    act(2)
    await site.clock.tickAsync(3000)
    assert.equal(worker.running.size, 0)
    assert.equal(worker.stops, 1)
    assert.ok(worker.looks < 40, `${worker.looks} looks`)
  }))

  it('stops the runs of a cancelled job and shows it as cancelled', async () => await withSite(async (site, act) => {
    const worker = site.port.add(new FakeWorker('w1', 2, () => 10_000))
    const scheduler = act(1)
    submit(site.log, JOB, [step({ count: 3 })])
    await site.clock.tickAsync(500)
    site.log.write(TOPICS.submissions, cancelKey(JOB), Buffer.from([1]))
    await site.clock.tickAsync(500)
    assert.equal(worker.running.size, 0)
    assert.equal(scheduler.stateOf(JOB), 'cancelled')
    assert.equal(worker.started.length, 2)
  }))

  /** Nothing is started that the log does not hold. */
  const LOG_FAULTS: readonly LogFault[] = ['silent', 'refused']
  for (const fault of LOG_FAULTS) {
    it(`starts nothing while the log is ${fault}, and goes on afterwards`, async () => await withSite(async (site, act) => {
      const worker = site.port.add(new FakeWorker('w1', 1, () => 1000))
      const scheduler = act(1)
      submit(site.log, JOB, [step({ count: 2 })])
      await site.clock.tickAsync(500)
      site.log.fault = fault
      await site.clock.tickAsync(4000)
      assert.equal(worker.started.length, 1)
      site.log.fault = 'none'
      await site.clock.tickAsync(4000)
      assert.equal(scheduler.stateOf(JOB), 'completed')
    }))
  }

  /** Until an end is acknowledged, every look is answered at once with it; each look costs processor time on both sides. */
  it('looks again only once the log holds the ends that a look has shown', async () => await withSite(async (site, act) => {
    site.log.answerMilliseconds = 130
    const worker = site.port.add(new FakeWorker('w1', 1, () => 500))
    const scheduler = act(1)
    submit(site.log, JOB, [step({ count: 10 })])
    await site.clock.tickAsync(15_000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
    assert.ok(worker.looks <= 3 * 10, `${worker.looks} looks`)
  }))

  it('gives no number of waiting jobs while it cannot read what has been accepted', async () => await withSite(async (site, act) => {
    const scheduler = act(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(1000)
    assert.equal(scheduler.countWaitingJobs('queue'), 1)
    site.log.fault = 'silent'
    await site.clock.tickAsync(6000)
    assert.equal(scheduler.countWaitingJobs('queue'), undefined)
    site.log.fault = 'none'
    await site.clock.tickAsync(6000)
    assert.equal(scheduler.countWaitingJobs('queue'), 1)
  }))

  /** The reads of an idle topic wait: what was stored before the last answered read is up to two waits old. */
  it('knows at any time which jobs exist while nothing is handed in', async () => await withSite(async (site, act) => {
    const scheduler = act(1)
    await site.clock.tickAsync(500)
    for (let time = 0; time < 10_000; time += 50) {
      await site.clock.tickAsync(50)
      assert.equal(scheduler.stateOf(JOB), 'unknown', `after ${time} ms`)
      assert.equal(scheduler.countWaitingJobs('queue'), 0, `after ${time} ms`)
    }
  }))

  it('shows a job as completed only once the log holds it, while the log answers', async () => await withSite(async (site, act) => {
    site.log.answerMilliseconds = 150
    const worker = site.port.add(new FakeWorker('w1', 1, () => 1000))
    const scheduler = act(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(1000)
    while (worker.ended.length === 0) await site.clock.tickAsync(5)
    await site.clock.tickAsync(100)
    assert.equal(scheduler.stateOf(JOB), 'running')
    await site.clock.tickAsync(300)
    assert.equal(scheduler.stateOf(JOB), 'completed')
  }))

  /** An end that the log does not hold is lost with its worker and the scheduler: the task runs again, so nothing may have been shown. */
  for (const fault of LOG_FAULTS) {
    it(`shows a job as completed only once the log holds it, while the log is ${fault}`, async () => await withSite(async (site, act) => {
      const worker = site.port.add(new FakeWorker('w1', 1, () => 1000))
      const scheduler = act(1)
      submit(site.log, JOB, [step()])
      await site.clock.tickAsync(900)
      site.log.fault = fault
      for (let elapsed = 0; elapsed < 4000; elapsed += 100) {
        await site.clock.tickAsync(100)
        assert.equal(scheduler.stateOf(JOB), 'running')
      }
      assert.equal(worker.ended.length, 1)
      assert.equal(worker.acknowledgedEnd, 0)
      site.log.fault = 'none'
      await site.clock.tickAsync(3000)
      assert.equal(scheduler.stateOf(JOB), 'completed')
      assert.equal(worker.started.length, 1)
    }))

    it(`runs a task again that ended unrecorded on a worker that has gone, without having shown it as completed, after the log was ${fault}`, async () => await withSite(async (site, act) => {
      const first = site.port.add(new FakeWorker('w1', 1, () => 1000))
      const scheduler = act(1)
      submit(site.log, JOB, [step()])
      await site.clock.tickAsync(900)
      site.log.fault = fault
      await site.clock.tickAsync(1500)
      assert.equal(first.ended.length, 1)
      const shown = scheduler.stateOf(JOB)
      scheduler.dispose()
      first.isReachable = false
      const second = site.port.add(new FakeWorker('w2', 1, () => 1000))
      site.log.fault = 'none'
      const successor = act(2)
      await site.clock.tickAsync(25_000)
      assert.equal(successor.stateOf(JOB), 'completed')
      assert.deepEqual(second.started, [`${JOB}.0.0.0/2`])
      assert.equal(shown, 'running')
    }))
  }

  it('counts the ends that it could not record yet', async () => await withSite(async (site, act) => {
    site.port.add(new FakeWorker('w1', 2, () => 1000))
    const scheduler = act(1)
    submit(site.log, JOB, [step({ count: 2 })])
    await site.clock.tickAsync(900)
    site.log.fault = 'silent'
    await site.clock.tickAsync(1500)
    assert.equal(scheduler.counts.unrecordedEnds, 2)
    site.log.fault = 'none'
    await site.clock.tickAsync(3000)
    assert.equal(scheduler.counts.unrecordedEnds, 0)
  }))

  it('completes a job without running it again whose end its former scheduler could not record', async () => await withSite(async (site, act) => {
    const worker = site.port.add(new FakeWorker('w1', 1, () => 1000))
    const scheduler = act(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(900)
    site.log.fault = 'silent'
    await site.clock.tickAsync(1500)
    assert.equal(worker.acknowledgedEnd, 0)
    scheduler.dispose()
    site.log.fault = 'none'
    const successor = act(2)
    await site.clock.tickAsync(1500)
    assert.equal(successor.stateOf(JOB), 'completed')
    assert.equal(worker.started.length, 1)
  }))
})
