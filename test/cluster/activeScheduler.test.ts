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
import { leaseRenewalWithoutLog } from '../../src/cluster/workerSessions.js'
import type { ClusterConfiguration } from '../../src/contracts/clusterConfiguration.js'
import { encodeRecord, type ProgressRecord, type SubmissionRecord } from '../../src/contracts/clusterRecords.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker, FakeWorkerPort, type CommandFault } from '../fakes/fakeClusterWorkers.js'
import { FakeRecordLog, type LogFault } from '../fakes/fakeRecordLog.js'
import { itUnlessKnownRed } from '../knownRed.js'

const BOUNDS = { workerLeaseMilliseconds: 6000, graceMilliseconds: 6000, capacityGraceMilliseconds: 3000, stateRetentionMilliseconds: 120_000 }

const CONFIGURATION: ClusterConfiguration = {
  revision: 1,
  queues: [
    { name: 'queue', host: 'host', routePrefix: '/q/', pool: 'pool', priority: 0, attempts: 3, stretch: 2, targetMilliseconds: 500 },
    { name: 'batch', host: 'host', routePrefix: '/b/', pool: 'pool', priority: 1, attempts: 3, stretch: 2, targetMilliseconds: 500 },
    { name: 'restricted', host: 'host', routePrefix: '/a/', pool: 'pool', priority: 0, attempts: 3, stretch: 2, targetMilliseconds: 500, eligibility: { decisionMilliseconds: 1, perWorkerMilliseconds: 0, ticketMilliseconds: 2000 } }
  ],
  organisations: [],
  pools: [],
  maximumBodyBytes: 100_000
}

const JOB = '00000000000000aa'

/** An eligibility service that names all requested workers as eligible. */
const ALL_ELIGIBLE: EligibilityChannel = {
  instance: 'own',
  request: async (_step, workers) => ({ kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2000 })
}

interface Site {
  readonly clock: ReturnType<typeof FakeTimers.install>
  readonly log: FakeRecordLog
  readonly port: FakeWorkerPort
  /** Number of times that a scheduler was superseded. */
  superseded: number
  renewedAt: number
  /** Time of the last read of the registry; undefined for now. */
  registryReadAt: number | undefined
}

/** Runs a body on a fake clock, and disposes the schedulers that it started. `start` starts a scheduler with a term. */
async function withSite (body: (site: Site, start: (term: number) => ActiveScheduler) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install({ now: 1_000_000 })
  const site: Site = { clock, log: new FakeRecordLog(), port: new FakeWorkerPort(), superseded: 0, renewedAt: 0, registryReadAt: undefined }
  const schedulers: ActiveScheduler[] = []
  const start = (term: number): ActiveScheduler => {
    const scheduler = new ActiveScheduler(site.log, site.port, {
      term, bounds: BOUNDS, renewedAt: () => site.renewedAt === 0 ? performance.now() : site.renewedAt, registryReadAt: () => site.registryReadAt ?? performance.now(), eligibilityChannels: () => [ALL_ELIGIBLE], onBacklog: () => {}, onSuperseded: () => { site.superseded += 1 }
    }, new ClusterMetrics(), new Logger('test', 'error', () => {}), new Random(1), () => performance.now())
    schedulers.push(scheduler)
    scheduler.takeOver(CONFIGURATION, [...site.port.workers.values()].map(worker => worker.entry))
    return scheduler
  }
  try {
    await body(site, start)
  } finally {
    for (const scheduler of schedulers) scheduler.dispose()
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

describe('ActiveScheduler', () => {
  /** A job of any shape completes, each task runs once, and no worker is overcommitted. */
  const SHAPES: ReadonlyArray<{ readonly name: string, readonly steps: object[], readonly starts: number }> = [
    { name: 'one task', steps: [step()], starts: 1 },
    { name: 'more tasks than capacity', steps: [step({ count: 9 })], starts: 9 },
    { name: 'sequential steps', steps: [step({ count: 2 }), step({ count: 2, after: [0] })], starts: 4 },
    { name: 'a gang', steps: [step({ count: 3, gang: true })], starts: 3 },
    { name: 'two gangs that share the capacity', steps: [step({ count: 3, gang: true }), step({ count: 3, gang: true })], starts: 6 }
  ]
  for (const shape of SHAPES) {
    it(`completes ${shape.name}`, async () => await withSite(async (site, start) => {
      const workers = [site.port.add(new FakeClusterWorker('w1', 2, () => 1000)), site.port.add(new FakeClusterWorker('w2', 2, () => 1000))]
      const scheduler = start(1)
      submit(site.log, JOB, shape.steps)
      await site.clock.tickAsync(9000)
      assert.equal(scheduler.stateOf(JOB), 'completed')
      const starts = workers.flatMap(worker => worker.started)
      assert.equal(starts.length, shape.starts)
      assert.equal(new Set(starts).size, shape.starts)
      assert.deepEqual(workers.flatMap(worker => worker.overcommitted), [])
    }))
  }

  /** Commands of unknown outcome: the state of the run is determined before its capacity or its task is used again. */
  const COMMAND_FAULTS: readonly CommandFault[] = ['answerLost', 'notDelivered', 'late', 'unhealthy']
  for (const fault of COMMAND_FAULTS) {
    it(`neither overcommits nor runs a task twice after commands with fault ${fault}`, async () => await withSite(async (site, start) => {
      const workers = ['w1', 'w2'].map(name => site.port.add(new FakeClusterWorker(name, 1, () => 5000)))
      start(1)
      await site.clock.tickAsync(100)
      for (const worker of workers) worker.fault = fault
      submit(site.log, JOB, [step({ count: 2 })])
      await site.clock.tickAsync(1000)
      for (const worker of workers) worker.fault = 'none'
      let concurrentRuns = 0
      for (let second = 0; second < 20; second += 1) {
        await site.clock.tickAsync(1000)
        for (const task of [`${JOB}.0.0.0`, `${JOB}.0.0.1`]) concurrentRuns = Math.max(concurrentRuns, workers.filter(worker => worker.running.has(task)).length)
      }
      assert.deepEqual(workers.flatMap(worker => worker.overcommitted), [])
      assert.ok(concurrentRuns <= 1, 'a task ran on two workers at once')
    }))
  }

  /** Guards against a long poll that is still waiting for a response when the worker can be reached again, until its lease expires. */
  for (const offset of [0, 400, 800, 1200]) {
    itUnlessKnownRed(`keeps the runs of a worker that cannot be reached for less than a lease, ${offset} ms after the start of a long poll`, async () => await withSite(async (site, start) => {
      const worker = site.port.add(new FakeClusterWorker('w1', 2, () => 20_000))
      const scheduler = start(1)
      submit(site.log, JOB, [step({ count: 2 })])
      await site.clock.tickAsync(2000)
      const { pollCount } = worker
      while (worker.pollCount === pollCount) await site.clock.tickAsync(10)
      await site.clock.tickAsync(offset)
      worker.isReachable = false
      await site.clock.tickAsync(3500)
      worker.isReachable = true
      await site.clock.tickAsync(20_000)
      assert.deepEqual(worker.ended.map(({ kind }) => kind), ['done', 'done'])
      assert.equal(worker.started.length, 2)
      assert.equal(scheduler.stateOf(JOB), 'completed')
    }))
  }

  /** Guards against a start that relies on the capacity that a worker had before a slow append of its placement. */
  it('starts no run beyond a capacity that has shrunk while the placement was being recorded', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 2, () => 1000))
    const scheduler = start(1)
    await site.clock.tickAsync(100)
    site.log.appendMilliseconds = 6000
    submit(site.log, JOB, [step({ count: 2 })])
    await site.clock.tickAsync(500)
    worker.resize(1)
    scheduler.setWorker(worker.entry)
    await site.clock.tickAsync(6000)
    assert.deepEqual(worker.overcommitted, [])
    site.log.appendMilliseconds = 0
    await site.clock.tickAsync(15_000)
    assert.deepEqual(worker.overcommitted, [])
    assert.equal(scheduler.stateOf(JOB), 'completed')
  }))

  /** Guards against starts by a registry that can no longer be read: the capacity of a worker may have shrunk since. */
  const REGISTRY_AGES: ReadonlyArray<{ readonly name: string, readonly milliseconds: number, readonly isStarted: boolean }> = [
    { name: 'a recent', milliseconds: 2400, isStarted: true },
    { name: 'an old', milliseconds: 2700, isStarted: false }
  ]
  for (const { name, milliseconds, isStarted } of REGISTRY_AGES) {
    it(`${isStarted ? 'starts' : 'does not start'} a task by ${name} reading of the registry`, async () => await withSite(async (site, start) => {
      const worker = site.port.add(new FakeClusterWorker('w1', 2, () => 1000))
      const scheduler = start(1)
      await site.clock.tickAsync(100)
      site.registryReadAt = performance.now() - milliseconds
      submit(site.log, JOB, [step()])
      await site.clock.tickAsync(50)
      assert.equal(worker.started.length > 0, isStarted)
      site.registryReadAt = undefined
      await site.clock.tickAsync(3000)
      assert.equal(scheduler.stateOf(JOB), 'completed')
    }))
  }

  it('does not start a recorded run once the reading of the registry has become old', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 2, () => 1000))
    const scheduler = start(1)
    await site.clock.tickAsync(100)
    site.log.appendMilliseconds = 4000
    site.registryReadAt = performance.now()
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(4500)
    assert.deepEqual(worker.started, [])
    site.log.appendMilliseconds = 0
    site.registryReadAt = undefined
    await site.clock.tickAsync(9000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
  }))

  /**
   * Guards against a start by a process that was paused while its placement was being recorded: the start would extend the worker's lease
   * beyond the time after which a successor that cannot reach the worker starts the task elsewhere.
   */
  it('sends no start once the role may have passed to another instance', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 2, () => 1000))
    const scheduler = start(1)
    await site.clock.tickAsync(100)
    site.renewedAt = performance.now()
    site.log.appendMilliseconds = leaseRenewalWithoutLog(BOUNDS.workerLeaseMilliseconds) + 500
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(site.log.appendMilliseconds + 200)
    assert.deepEqual(worker.started, [])
    site.log.appendMilliseconds = 0
    site.renewedAt = 0
    await site.clock.tickAsync(10_000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
  }))

  /** Guards against one malformed record that ends the process of every instance that reads it. */
  const MALFORMED: ReadonlyArray<{ readonly name: string, readonly bytes: Buffer }> = [
    { name: 'cannot be unpacked', bytes: Buffer.from([0xc1, 0xff]) },
    { name: 'is truncated', bytes: encodeRecord({ state: 'running', occurrences: [] }).subarray(0, 5) },
    { name: 'holds no object', bytes: Buffer.from([0x07]) },
    { name: 'lacks its fields', bytes: Buffer.from([0x80]) }
  ]
  const VALID_JOB = stepJobSchema.parse({ specification: '', steps: [{ count: 1 }] })
  const submissionOf = (job: object): Buffer => encodeRecord({ queue: 'urgent', pool: 'pool', job, acceptedAt: 0 } as unknown as SubmissionRecord)
  const progressOf = (occurrences: unknown): Buffer => encodeRecord({ state: 'running', occurrences } as unknown as ProgressRecord)
  const MALFORMED_SUBMISSIONS: typeof MALFORMED = [
    ...MALFORMED,
    { name: 'has no job', bytes: encodeRecord({ queue: 'urgent', pool: 'pool', acceptedAt: 0 } as unknown as SubmissionRecord) },
    { name: 'has no time of acceptance', bytes: encodeRecord({ queue: 'urgent', pool: 'pool', job: VALID_JOB } as unknown as SubmissionRecord) },
    { name: 'has a step that is no object', bytes: submissionOf({ ...VALID_JOB, steps: [null] }) },
    { name: 'has a step without fields', bytes: submissionOf({ ...VALID_JOB, steps: [{}] }) },
    { name: 'has a step with a negative count', bytes: submissionOf({ ...VALID_JOB, steps: [{ ...VALID_JOB.steps[0], count: -1 }] }) },
    { name: 'has a step after one that does not exist', bytes: submissionOf({ ...VALID_JOB, steps: [{ ...VALID_JOB.steps[0], after: [7] }] }) }
  ]
  const MALFORMED_PROGRESS: typeof MALFORMED = [
    ...MALFORMED,
    { name: 'has an occurrence that is no list', bytes: progressOf([null]) },
    { name: 'has an occurrence without steps', bytes: progressOf([[0]]) },
    { name: 'has a step that is no list', bytes: progressOf([[0, [null]]]) },
    { name: 'has a step without tasks', bytes: progressOf([[0, [[[]]]]]) },
    { name: 'has a task that is no list', bytes: progressOf([[0, [[[], [null]]]]]) },
    { name: 'has a task whose worker is no name', bytes: progressOf([[0, [[[], [[0, 1, { id: 'w1' }, 0, '']]]]]]) }
  ]
  for (const { name, bytes } of MALFORMED_SUBMISSIONS) {
    it(`skips a submission that ${name}`, async () => await withSite(async (site, start) => {
      site.port.add(new FakeClusterWorker('w1', 2, () => 1000))
      site.log.write(TOPICS.submissions, 'bad1', bytes)
      const scheduler = start(1)
      await site.clock.tickAsync(100)
      site.log.write(TOPICS.submissions, 'bad2', bytes)
      submit(site.log, JOB, [step()])
      await site.clock.tickAsync(3000)
      assert.equal(scheduler.stateOf(JOB), 'completed')
    }))
  }
  for (const { name, bytes } of MALFORMED_PROGRESS) {
    it(`leaves a job alone whose progress ${name}`, async () => await withSite(async (site, start) => {
      const worker = site.port.add(new FakeClusterWorker('w1', 2, () => 1000))
      submit(site.log, 'bad1', [step()])
      site.log.write(TOPICS.progress, 'bad1', bytes)
      submit(site.log, JOB, [step()])
      const scheduler = start(1)
      await site.clock.tickAsync(3000)
      assert.equal(scheduler.stateOf(JOB), 'completed')
      assert.equal(scheduler.stateOf('bad1'), 'unsure')
      assert.deepEqual(worker.started, [`${JOB}.0.0.0/1`])
    }))
  }

  /** With a slow log, tickets expire before the commands are sent. Without another request, the step could never use the worker again. */
  it('requests a new ticket for a worker that has refused one', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 1, () => 100))
    const scheduler = start(1)
    worker.fault = 'ticket'
    submit(site.log, JOB, [step()], { queue: 'restricted' })
    await site.clock.tickAsync(500)
    worker.fault = 'none'
    await site.clock.tickAsync(2000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
  }))

  /** A stop refused by an unhealthy worker has no effect: an earlier start may still be executed. */
  it('repeats a stop that was refused as unhealthy', async () => await withSite(async (site, start) => {
    const first = site.port.add(new FakeClusterWorker('w1', 1, () => 5000))
    start(1)
    await site.clock.tickAsync(100)
    first.fault = 'late'
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(300)
    first.fault = 'unhealthy'
    await site.clock.tickAsync(1500)
    const second = site.port.add(new FakeClusterWorker('w2', 1, () => 5000))
    first.fault = 'none'
    await site.clock.tickAsync(4000)
    assert.deepEqual(first.overcommitted, [])
    assert.ok(first.started.length + second.started.length <= 1, `starts: ${[...first.started, ...second.started].join(' ')}`)
  }))

  /** Placements are recorded before their commands are sent, so that a successor knows which runs may exist. */
  const TAKEOVERS: ReadonlyArray<{ readonly name: string, readonly unreachable: boolean, readonly waits: boolean }> = [
    { name: 'adopts the runs of responsive workers', unreachable: false, waits: false },
    { name: 'waits for the expiry of the leases on unresponsive workers', unreachable: true, waits: true }
  ]
  for (const { name, unreachable, waits } of TAKEOVERS) {
    it(`${name}`, async () => await withSite(async (site, start) => {
      const workers = ['w1', 'w2'].map(identity => site.port.add(new FakeClusterWorker(identity, 1, () => 4000)))
      const former = start(1)
      submit(site.log, JOB, [step()])
      await site.clock.tickAsync(500)
      const busy = workers.find(worker => worker.running.size === 1)
      assert.ok(busy)
      former.dispose()
      busy.isReachable = !unreachable
      const successor = start(2)
      await site.clock.tickAsync(5000)
      const starts = workers.flatMap(worker => worker.started)
      assert.deepEqual(starts, [`${JOB}.0.0.0/1`])
      assert.equal(successor.stateOf(JOB), waits ? 'running' : 'completed')
      if (!waits) return
      await site.clock.tickAsync(20_000)
      assert.equal(successor.stateOf(JOB), 'completed')
    }))
  }

  /**
   * A run on a worker that was lost before a takeover: the former scheduler may have renewed the lease until its own permission ended.
   * The wait is no longer than the outage of the log that runs survive requires.
   */
  it('starts the run of a lost worker again no later than 12 s after a takeover', async () => await withSite(async (site, start) => {
    const workers = ['w1', 'w2'].map(identity => site.port.add(new FakeClusterWorker(identity, 1, () => 2000)))
    const former = start(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(500)
    const lost = workers.find(worker => worker.running.size === 1)
    assert.ok(lost)
    former.dispose()
    lost.isReachable = false
    start(2)
    await site.clock.tickAsync(12_000)
    assert.deepEqual(workers.filter(worker => worker !== lost).flatMap(worker => worker.started), [`${JOB}.0.0.0/2`])
  }))

  /** Runs go on while the log is away for as long as the known outages, whatever the length of a lease. */
  for (const leaseMilliseconds of [2000, 6000, 10_000]) {
    it(`renews leases of ${leaseMilliseconds} ms long enough without the log`, () => {
      assert.ok(leaseRenewalWithoutLog(leaseMilliseconds) + leaseMilliseconds >= 10_000)
    })
  }

  /** A placement is recorded before the start command is sent, so the record does not prove a start. Guards against jobs that still wait and are not counted. */
  interface RestoredJob {
    readonly name: string
    readonly hasHappened: (site: Site, worker: FakeClusterWorker) => boolean
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
    itUnlessKnownRed(`counts ${waiting} waiting jobs after a takeover with a job ${name}`, async () => await withSite(async (site, start) => {
      const worker = site.port.add(new FakeClusterWorker('w1', 1, () => 1000))
      const former = start(1)
      await site.clock.tickAsync(100)
      site.log.responseMilliseconds = 200
      submit(site.log, JOB, [step(), step({ after: [0] })])
      while (!hasHappened(site, worker)) {
        await site.clock.tickAsync(10)
        if (worker.started.length > 0) former.dispose()
      }
      former.dispose()
      site.log.responseMilliseconds = 5
      worker.state = 'draining'
      worker.isReachable = isWorkerSilent !== true
      const successor = start(2)
      await site.clock.tickAsync(1000)
      assert.equal(successor.countWaitingJobs('queue'), waiting)
      assert.equal(successor.stateOf(JOB), state)
    }))
  }

  /** Polls of an unresponsive worker continue; they must not extend its leases forever. */
  it('runs tasks elsewhere once the leases of a worker that never responds again have expired', async () => await withSite(async (site, start) => {
    const workers = ['w1', 'w2'].map(identity => site.port.add(new FakeClusterWorker(identity, 2, () => 3000)))
    const scheduler = start(1)
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

  it('abandons the runs of a worker that stays unreachable', async () => await withSite(async (site, start) => {
    const workers = ['w1', 'w2'].map(identity => site.port.add(new FakeClusterWorker(identity, 1, () => 3000)))
    const scheduler = start(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(1000)
    const lost = workers.find(worker => worker.running.size === 1)
    assert.ok(lost)
    lost.isReachable = false
    await site.clock.tickAsync(12_000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
  }))

  it('fails a job once one task has failed as often as its queue allows', async () => await withSite(async (site, start) => {
    const workers = ['w1', 'w2', 'w3'].map(identity => site.port.add(new FakeClusterWorker(identity, 2, () => 200)))
    for (const worker of workers) worker.endKind = 'failed'
    const scheduler = start(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(20_000)
    assert.equal(scheduler.stateOf(JOB), 'failed')
    assert.deepEqual(workers.flatMap(worker => worker.started).sort(), [1, 2, 3].map(run => `${JOB}.0.0.0/${run}`))
  }))

  /** The wall clocks of instances differ and jump: judged by them alone, new urgent work seems overdue and is placed after all other work. */
  const CLOCK_OFFSETS: readonly number[] = [-20_000, 0, 20_000]
  for (const offset of CLOCK_OFFSETS) {
    it(`places urgent work before batch work when the clock of the accepting instance is off by ${offset} ms`, async () => await withSite(async (site, start) => {
      const worker = site.port.add(new FakeClusterWorker('w1', 1, () => 1000))
      start(1)
      await site.clock.tickAsync(100)
      submit(site.log, '00000000000000bb', [step({ count: 4 })], { queue: 'batch' })
      await site.clock.tickAsync(500)
      submit(site.log, JOB, [step()], { acceptedAt: Date.now() + offset })
      await site.clock.tickAsync(2000)
      assert.equal(worker.started[1], `${JOB}.0.0.0/1`)
    }))
  }

  /** Two members of one gang run fail, the second one after a takeover. Guards against a run that is counted twice, which shows the job as failed too early. */
  it('counts a failed run of a gang once across a takeover', async () => await withSite(async (site, start) => {
    const workers = ['w1', 'w2'].map(identity => site.port.add(new FakeClusterWorker(identity, 1, () => Infinity)))
    const workerRunning = (task: string): FakeClusterWorker => workers.find(worker => worker.running.has(task)) as FakeClusterWorker
    const [member, other] = [`${JOB}.0.0.0`, `${JOB}.0.0.1`]
    const former = start(1)
    submit(site.log, JOB, [step({ count: 2, gang: true })])
    await site.clock.tickAsync(500)
    const unreachable = workerRunning(other)
    unreachable.isReachable = false
    workerRunning(member).endIfRunning(member, 1, 'failed')
    await site.clock.tickAsync(200)
    unreachable.endIfRunning(other, 1, 'failed')
    former.dispose()
    unreachable.isReachable = true
    const successor = start(2)
    for (const run of [2, 3]) {
      await site.clock.tickAsync(1000)
      assert.equal(successor.stateOf(JOB), 'running')
      workerRunning(member).endIfRunning(member, run, 'failed')
    }
    await site.clock.tickAsync(1000)
    assert.equal(successor.stateOf(JOB), 'failed')
  }))

  it('places nothing on a draining worker, and repeats the runs of a restarted one', async () => await withSite(async (site, start) => {
    const draining = site.port.add(new FakeClusterWorker('w1', 2, () => 1000))
    const remaining = site.port.add(new FakeClusterWorker('w2', 2, () => 1000))
    const scheduler = start(1)
    await site.clock.tickAsync(100)
    draining.state = 'draining'
    scheduler.setWorker(draining.entry)
    submit(site.log, JOB, [step({ count: 4 })])
    await site.clock.tickAsync(500)
    assert.deepEqual(draining.started, [])
    remaining.restart()
    await site.clock.tickAsync(6000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
    assert.deepEqual(remaining.overcommitted, [])
  }))

  /** An idle worker is not polled, so its restart is detected only after the next start. */
  it('keeps a run started on a worker that was restarted while idle', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 2, () => 500))
    const scheduler = start(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(3000)
    worker.restart()
    worker.started.length = 0
    submit(site.log, '00000000000000bb', [step()])
    await site.clock.tickAsync(3000)
    assert.equal(scheduler.stateOf('00000000000000bb'), 'completed')
    assert.deepEqual(worker.started, ['00000000000000bb.0.0.0/1'])
    assert.equal(worker.stopCount, 0)
  }))

  /** A former scheduler continues to place jobs until it is fenced, including jobs that its successor has not read yet. */
  it('adopts the runs of a job that was accepted and placed during the takeover', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 4, () => 4000))
    start(1)
    await site.clock.tickAsync(100)
    site.log.appendMilliseconds = 100
    const successor = start(2)
    await site.clock.tickAsync(10)
    submit(site.log, JOB, [step()])
    site.log.appendMilliseconds = 0
    await site.clock.tickAsync(6000)
    assert.deepEqual(worker.started, [`${JOB}.0.0.0/1`])
    assert.equal(worker.stopCount, 0)
    assert.equal(successor.stateOf(JOB), 'completed')
  }))

  /** A job that the successor has not read yet may already be completed when the former scheduler is fenced. */
  it('does not repeat a job that was accepted and completed during the takeover', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 4, () => 20))
    start(1)
    await site.clock.tickAsync(100)
    site.log.appendMilliseconds = 200
    const successor = start(2)
    await site.clock.tickAsync(10)
    site.log.appendMilliseconds = 0
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(6000)
    assert.deepEqual(worker.started, [`${JOB}.0.0.0/1`])
    assert.equal(successor.stateOf(JOB), 'completed')
  }))

  it('deletes a finished job from the log after its retention period, beside other writes', async () => await withSite(async (site, start) => {
    site.port.add(new FakeClusterWorker('w1', 2, () => 500))
    const scheduler = start(1)
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

  /** Retention starts at the takeover. Guards against a job that had finished before and is evicted at once, which makes an accepted job unknown. */
  it('keeps the state of a job that finished before a takeover', async () => await withSite(async (site, start) => {
    site.port.add(new FakeClusterWorker('w1', 1, () => 500))
    await site.clock.tickAsync(2 * BOUNDS.stateRetentionMilliseconds)
    const former = start(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(3000)
    assert.equal(former.stateOf(JOB), 'completed')
    former.dispose()
    const successor = start(2)
    await site.clock.tickAsync(30_000)
    assert.equal(successor.stateOf(JOB), 'completed')
  }))

  /** The next scheduler treats a submission without progress in the log as a new job and starts a finished task again. */
  const REMAINING_COPIES: ReadonlyArray<{ readonly name: string, readonly hasCopy: boolean, readonly isRefused: boolean }> = [
    { name: 'that was submitted through two instances', hasCopy: true, isRefused: false },
    { name: 'whose deletion the log refused at first', hasCopy: false, isRefused: true }
  ]
  for (const { name, hasCopy, isRefused } of REMAINING_COPIES) {
    it(`does not repeat, after its retention period and a takeover, a job ${name}`, async () => await withSite(async (site, start) => {
      const worker = site.port.add(new FakeClusterWorker('w1', 2, () => 500))
      const former = start(1)
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
      start(2)
      await site.clock.tickAsync(3000)
      assert.deepEqual(worker.started, [`${JOB}.0.0.0/1`])
    }))
  }

  it('is superseded by a later term and sends no more commands', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 4, () => 1000))
    start(1)
    await site.clock.tickAsync(100)
    start(2)
    await site.clock.tickAsync(100)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(3000)
    assert.ok(site.superseded > 0)
    assert.equal(worker.started.length, 1)
  }))

  /** Runs of a job that is final in the log still use capacity until they have stopped. */
  it('places nothing beside the runs of a cancelled job that it takes over', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 1, () => 10_000))
    const former = start(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(500)
    worker.fault = 'unhealthy'
    site.log.write(TOPICS.submissions, cancelKey(JOB), Buffer.from([1]))
    await site.clock.tickAsync(200)
    former.dispose()
    submit(site.log, '00000000000000bb', [step()])
    const successor = start(2)
    await site.clock.tickAsync(300)
    worker.fault = 'none'
    await site.clock.tickAsync(2000)
    assert.equal(successor.stateOf(JOB), 'cancelled')
    assert.deepEqual(worker.overcommitted, [])
    assert.deepEqual(worker.started, [`${JOB}.0.0.0/1`, '00000000000000bb.0.0.0/1'])
  }))

  /** A stop takes up to a second. Although the run is listed meanwhile, the stop must not be repeated, nor the worker polled in a tight loop. */
  it('sends one stop command for an orphaned run', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 1, () => 10_000))
    const former = start(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(500)
    worker.stopMilliseconds = 800
    site.log.write(TOPICS.submissions, cancelKey(JOB), Buffer.from([1]))
    await site.clock.tickAsync(100)
    former.dispose()
    worker.pollCount = 0
    worker.stopCount = 0
    start(2)
    await site.clock.tickAsync(3000)
    assert.equal(worker.running.size, 0)
    assert.equal(worker.stopCount, 1)
    assert.ok(worker.pollCount < 40, `${worker.pollCount} polls`)
  }))

  it('stops the runs of a cancelled job and shows it as cancelled', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 2, () => 10_000))
    const scheduler = start(1)
    submit(site.log, JOB, [step({ count: 3 })])
    await site.clock.tickAsync(500)
    site.log.write(TOPICS.submissions, cancelKey(JOB), Buffer.from([1]))
    await site.clock.tickAsync(500)
    assert.equal(worker.running.size, 0)
    assert.equal(scheduler.stateOf(JOB), 'cancelled')
    assert.equal(worker.started.length, 2)
  }))

  /** No run starts unless its placement is in the log. */
  const LOG_FAULTS: readonly LogFault[] = ['silent', 'refused']
  for (const fault of LOG_FAULTS) {
    it(`starts nothing while the log is ${fault}, and resumes afterwards`, async () => await withSite(async (site, start) => {
      const worker = site.port.add(new FakeClusterWorker('w1', 1, () => 1000))
      const scheduler = start(1)
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

  /** Until an end is acknowledged, the worker responds to every poll at once with it, and each poll costs processor time on both sides. */
  it('polls again only once the log holds the ends reported by a poll', async () => await withSite(async (site, start) => {
    site.log.responseMilliseconds = 130
    const worker = site.port.add(new FakeClusterWorker('w1', 1, () => 500))
    const scheduler = start(1)
    submit(site.log, JOB, [step({ count: 10 })])
    await site.clock.tickAsync(15_000)
    assert.equal(scheduler.stateOf(JOB), 'completed')
    assert.ok(worker.pollCount <= 3 * 10, `${worker.pollCount} polls`)
  }))

  it('returns no number of waiting jobs while submissions cannot be read', async () => await withSite(async (site, start) => {
    const scheduler = start(1)
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

  /** Reads of an idle topic are long polls, so the last completed read is up to two long-poll durations old. */
  it('knows at any time which jobs exist while nothing is submitted', async () => await withSite(async (site, start) => {
    const scheduler = start(1)
    await site.clock.tickAsync(500)
    for (let time = 0; time < 10_000; time += 50) {
      await site.clock.tickAsync(50)
      assert.equal(scheduler.stateOf(JOB), 'unknown', `after ${time} ms`)
      assert.equal(scheduler.countWaitingJobs('queue'), 0, `after ${time} ms`)
    }
  }))

  it('shows a job as completed only once the log holds it, while the log is available', async () => await withSite(async (site, start) => {
    site.log.responseMilliseconds = 150
    const worker = site.port.add(new FakeClusterWorker('w1', 1, () => 1000))
    const scheduler = start(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(1000)
    while (worker.ended.length === 0) await site.clock.tickAsync(5)
    await site.clock.tickAsync(100)
    assert.equal(scheduler.stateOf(JOB), 'running')
    await site.clock.tickAsync(300)
    assert.equal(scheduler.stateOf(JOB), 'completed')
  }))

  /** An unrecorded end is lost with its worker and the scheduler, and the task runs again; so the job must not have been shown as completed. */
  for (const fault of LOG_FAULTS) {
    it(`shows a job as completed only once the log holds it, while the log is ${fault}`, async () => await withSite(async (site, start) => {
      const worker = site.port.add(new FakeClusterWorker('w1', 1, () => 1000))
      const scheduler = start(1)
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

    it(`repeats a task whose end was lost unrecorded with its worker, without having shown it as completed, after the log was ${fault}`, async () => await withSite(async (site, start) => {
      const first = site.port.add(new FakeClusterWorker('w1', 1, () => 1000))
      const scheduler = start(1)
      submit(site.log, JOB, [step()])
      await site.clock.tickAsync(900)
      site.log.fault = fault
      await site.clock.tickAsync(1500)
      assert.equal(first.ended.length, 1)
      const shown = scheduler.stateOf(JOB)
      scheduler.dispose()
      first.isReachable = false
      const second = site.port.add(new FakeClusterWorker('w2', 1, () => 1000))
      site.log.fault = 'none'
      const successor = start(2)
      await site.clock.tickAsync(25_000)
      assert.equal(successor.stateOf(JOB), 'completed')
      assert.deepEqual(second.started, [`${JOB}.0.0.0/2`])
      assert.equal(shown, 'running')
    }))
  }

  it('counts the ends that are not recorded yet', async () => await withSite(async (site, start) => {
    site.port.add(new FakeClusterWorker('w1', 2, () => 1000))
    const scheduler = start(1)
    submit(site.log, JOB, [step({ count: 2 })])
    await site.clock.tickAsync(900)
    site.log.fault = 'silent'
    await site.clock.tickAsync(1500)
    assert.equal(scheduler.counts.unrecordedEnds, 2)
    site.log.fault = 'none'
    await site.clock.tickAsync(3000)
    assert.equal(scheduler.counts.unrecordedEnds, 0)
  }))

  it('completes a job whose end the former scheduler could not record, without repeating it', async () => await withSite(async (site, start) => {
    const worker = site.port.add(new FakeClusterWorker('w1', 1, () => 1000))
    const scheduler = start(1)
    submit(site.log, JOB, [step()])
    await site.clock.tickAsync(900)
    site.log.fault = 'silent'
    await site.clock.tickAsync(1500)
    assert.equal(worker.acknowledgedEnd, 0)
    scheduler.dispose()
    site.log.fault = 'none'
    const successor = start(2)
    await site.clock.tickAsync(1500)
    assert.equal(successor.stateOf(JOB), 'completed')
    assert.equal(worker.started.length, 1)
  }))
})
