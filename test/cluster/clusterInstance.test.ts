import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { ClusterInstance, type PlatformTopics } from '../../src/cluster/clusterInstance.js'
import { ClusterMetrics } from '../../src/cluster/clusterMetrics.js'
import type { CallAccess } from '../../src/cluster/organisations/accessControl.js'
import type { InstanceResources } from '../../src/cluster/schedulingCapacity.js'
import { EligibilityPort, type EligibilityOutcome } from '../../src/cluster/workerPort.js'
import { TOPICS } from '../../src/cluster/recordLog.js'
import type { ClusterConfiguration, Organisation } from '../../src/contracts/clusterConfiguration.js'
import { decodeLeadership, encodeRecord } from '../../src/contracts/clusterRecords.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker, FakeWorkerPort } from '../fakes/fakeClusterWorkers.js'
import { FakeRecordLog } from '../fakes/fakeRecordLog.js'
import { PausedClock } from '../fakes/pausedClock.js'

const JOB = '00000000000000aa'
/** Longest wait for a condition, in milliseconds; only a failing test waits that long. */
const TIMEOUT_MILLISECONDS = 30_000
/** Step by which a paused clock advances, in milliseconds. */
const CLOCK_STEP_MILLISECONDS = 5

const SMALL: InstanceResources = { processorShare: 0.25, linkMegabits: 1000 }

const CONFIGURATION: ClusterConfiguration = {
  revision: 5,
  queues: [{ name: 'queue', host: 'host', routePrefix: '/q/', pool: 'pool', priority: 0, attempts: 2, stretch: 2, targetMilliseconds: 500, eligibility: { decisionMilliseconds: 1, perWorkerMilliseconds: 0, ticketMilliseconds: 2000 } }],
  organisations: [],
  pools: [],
  maximumBodyBytes: 1000
}

const platformTopics: PlatformTopics = {
  configurationTopic: 'configuration',
  workerTopic: 'workers',
  decodeConfiguration: record => JSON.parse(Buffer.from(record.value ?? []).toString()),
  decodeWorker: record => JSON.parse(Buffer.from(record.value ?? []).toString())
}

class AllEligible extends EligibilityPort {
  queryCount = 0

  override async query (_step: string, workers: readonly string[]): Promise<EligibilityOutcome> {
    this.queryCount += 1
    return { kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2000 }
  }
}

class Cluster {
  readonly log = new FakeRecordLog(1)
  readonly port = new FakeWorkerPort()
  readonly instances: ClusterInstance[] = []

  async start (name: string, resources: InstanceResources = { processorShare: 1, linkMegabits: 1000 }): Promise<ClusterInstance> {
    const instance = new ClusterInstance({
      instance: name,
      failureDomain: 'a',
      callers: { host: '127.0.0.1', port: 0 },
      readiness: { host: '127.0.0.1', port: 0 },
      link: { host: '127.0.0.1', port: 0 },
      metrics: { host: '127.0.0.1', port: 0 },
      ...resources,
      bounds: { workerLeaseMilliseconds: 6000, graceMilliseconds: 6000, capacityGraceMilliseconds: 3000, stateRetentionMilliseconds: 120_000 },
      keyRevocation: { milliseconds: 5000, appliesToReads: false }
    }, this.log, this.port, new AllEligible(), platformTopics, new ClusterMetrics(), new Logger(name, 'error', () => {}), new Random(this.instances.length), () => performance.now())
    this.instances.push(instance)
    await instance.start()
    return instance
  }

  publish (revision: number, organisations: readonly Organisation[] = []): void {
    this.log.write('configuration', 'config', Buffer.from(JSON.stringify({ ...CONFIGURATION, revision, organisations })))
  }

  addWorker (name: string, durationMilliseconds: number): FakeClusterWorker {
    const worker = this.port.add(new FakeClusterWorker(name, 4, () => durationMilliseconds))
    this.log.write('workers', name, Buffer.from(JSON.stringify(worker.entry)))
    return worker
  }

  dispose (): void {
    for (const instance of this.instances) instance.dispose()
  }
}

async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + TIMEOUT_MILLISECONDS
  while (!await condition()) {
    assert.ok(performance.now() < endsAt, `timed out waiting for: ${condition.toString()}`)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

async function withCluster (body: (cluster: Cluster) => Promise<void>): Promise<void> {
  const cluster = new Cluster()
  try {
    await body(cluster)
  } finally {
    cluster.dispose()
  }
}

describe('ClusterInstance', () => {
  const queue = CONFIGURATION.queues[0]
  assert.ok(queue)
  const job = stepJobSchema.parse({ specification: '', steps: [{ count: 2, processorsThousandths: 1000 }] })

  it('applies newer configurations and never an older one', async () => await withCluster(async cluster => {
    const instance = await cluster.start('one')
    assert.equal(instance.isReady, false)
    cluster.publish(5)
    await waitUntil(() => instance.configuration?.revision === 5)
    cluster.publish(3)
    cluster.publish(9)
    cluster.publish(8)
    await waitUntil(() => instance.configuration?.revision === 9)
    cluster.log.compactTopic('configuration')
    cluster.publish(12)
    await waitUntil(() => instance.configuration?.revision === 12)
    assert.ok(instance.isReady)
  }))

  it('completes a job submitted at any instance and reports a job that was never submitted as unknown', async () => await withCluster(async cluster => {
    cluster.publish(5)
    cluster.addWorker('w1', 20)
    const instances = [await cluster.start('one'), await cluster.start('two'), await cluster.start('three')]
    const [, second, third] = instances
    assert.ok(second !== undefined && third !== undefined)
    await waitUntil(async () => (await second.jobService.submit(JOB, queue, job, 3000)).kind === 'accepted')
    assert.equal((await third.jobService.submit(JOB, queue, job, 3000)).kind, 'accepted')
    await waitUntil(async () => await third.jobService.getState(JOB, 3000) === 'completed')
    await waitUntil(async () => await third.jobService.getState('00000000000000bb', 3000) === 'unknownJob')
    assert.equal(await second.jobService.countWaitingJobs('queue', 3000), 0)
    assert.equal(cluster.port.workers.get('w1')?.started.length, 2)
  }))

  /** All instances receive the first configuration at the same time, long after their start. */
  const FIRST_CLAIMS: ReadonlyArray<{ readonly name: string, readonly others: InstanceResources, readonly largest: InstanceResources }> = [
    { name: 'the instance with the largest processor share', others: SMALL, largest: { processorShare: 2, linkMegabits: 1000 } },
    { name: 'the instance whose link can handle the work', others: { processorShare: 0.8, linkMegabits: 5 }, largest: { processorShare: 0.7, linkMegabits: 140 } }
  ]
  for (const { name, others, largest } of FIRST_CLAIMS) {
    it(`lets ${name} claim first in a new system`, async () => await withCluster(async cluster => {
      // The differences between the delays of claims are shorter than a busy machine may hold up a process.
      const clock = new PausedClock()
      try {
        const small = [await cluster.start('one', others), await cluster.start('two', others), await cluster.start('three', others)]
        const large = await cluster.start('four', largest)
        await clock.advance(1000, CLOCK_STEP_MILLISECONDS)
        cluster.publish(5)
        const isClaimed = (): boolean => [...small, large].some(instance => instance.isSchedulerActive())
        for (let waited = 0; !isClaimed() && waited < TIMEOUT_MILLISECONDS; waited += CLOCK_STEP_MILLISECONDS) await clock.advance(CLOCK_STEP_MILLISECONDS, CLOCK_STEP_MILLISECONDS)
        assert.ok(large.isSchedulerActive())
      } finally {
        cluster.dispose()
        clock.uninstall()
      }
    }))
  }

  /** An instance that cannot keep up with the work may have to take the role over; if it kept the role, no more tasks would be placed. */
  const HANDOVERS: ReadonlyArray<{ readonly name: string, readonly first: InstanceResources, readonly similar: InstanceResources, readonly larger: InstanceResources }> = [
    { name: 'a small instance over to a much larger one', first: SMALL, similar: { processorShare: 0.4, linkMegabits: 1000 }, larger: { processorShare: 1.2, linkMegabits: 1000 } },
    { name: 'an instance whose link the work fills over to one with a wide link', first: { processorShare: 0.81, linkMegabits: 7 }, similar: { processorShare: 0.81, linkMegabits: 7 }, larger: { processorShare: 1.35, linkMegabits: 140 } }
  ]
  for (const { name, first, similar, larger } of HANDOVERS) {
    it(`hands the role from ${name}`, async () => await withCluster(async cluster => {
      cluster.publish(5)
      const small = await cluster.start('one', first)
      await waitUntil(() => small.isSchedulerActive())
      const medium = await cluster.start('two', similar)
      const large = await cluster.start('three', larger)
      await waitUntil(() => large.isSchedulerActive() && !small.isSchedulerActive())
      assert.ok(!medium.isSchedulerActive())
    }))
  }

  it('names one of the largest instances as its successor when it stops', async () => await withCluster(async cluster => {
    cluster.publish(5)
    const first = await cluster.start('one', { processorShare: 1.3, linkMegabits: 1000 })
    await waitUntil(() => first.isSchedulerActive())
    const small = [await cluster.start('two', SMALL), await cluster.start('three', SMALL), await cluster.start('four', SMALL)]
    const large = await cluster.start('five', { processorShare: 1.2, linkMegabits: 1000 })
    for (const instance of [...small, large]) await waitUntil(async () => await instance.jobService.getState('00000000000000bb', 3000) === 'unknownJob')
    await first.prepareShutdown()
    await waitUntil(() => !first.isSchedulerActive())
    assert.ok(large.isSchedulerActive())
  }))

  /** Appends on two connections may be stored out of order. */
  it('does not revoke its resignation with a renewal that was in flight', async () => await withCluster(async cluster => {
    cluster.publish(5)
    const first = await cluster.start('one')
    await waitUntil(() => first.isSchedulerActive())
    cluster.log.appendMilliseconds = 300
    const appends = cluster.log.appends
    await waitUntil(() => cluster.log.appends > appends)
    cluster.log.appendMilliseconds = 0
    await first.prepareShutdown()
    await new Promise(resolve => setTimeout(resolve, 400))
    const latest = cluster.log.latestValue(TOPICS.leadership, 'scheduler')
    assert.ok(latest !== undefined && decodeLeadership(latest)?.resigned)
  }))

  /** A renewal in flight while another instance claims the role can be stored after that claim. An instance that starts then reads only the renewal, because a snapshot holds the latest record of each key. */
  it('claims an unused term although a late renewal hides the latest claim', async () => await withCluster(async cluster => {
    cluster.publish(5)
    cluster.addWorker('w1', 20)
    const former = { instance: 'former', incarnation: 'x', address: '127.0.0.1:1', resigned: false }
    const hidden = { ...former, instance: 'hidden', incarnation: 'y' }
    for (const record of [{ ...former, term: 1 }, { ...former, term: 1 }, { ...hidden, term: 3 }, { ...former, term: 1 }]) {
      cluster.log.write(TOPICS.leadership, 'scheduler', encodeRecord(record))
    }
    for (let sequence = 0; sequence < 9; sequence += 1) {
      await cluster.log.append(TOPICS.progress, 0, [], { writer: { name: 'scheduler', term: 3, sequence } })
    }
    const instance = await cluster.start('one')
    await waitUntil(async () => (await instance.jobService.submit(JOB, queue, job, 3000)).kind === 'accepted')
    await waitUntil(async () => await instance.jobService.getState(JOB, 3000) === 'completed')
  }))

  it('continues with another scheduler when the active one ends, and runs nothing twice', async () => await withCluster(async cluster => {
    cluster.publish(5)
    const worker = cluster.addWorker('w1', 1500)
    const instances = [await cluster.start('one'), await cluster.start('two')]
    const [first, second] = instances
    assert.ok(first !== undefined && second !== undefined)
    await waitUntil(async () => (await first.jobService.submit(JOB, queue, job, 3000)).kind === 'accepted')
    await waitUntil(() => worker.running.size === 2)
    const active = first.isSchedulerActive() ? first : second
    active.dispose()
    const survivor = active === first ? second : first
    await waitUntil(async () => await survivor.jobService.getState(JOB, 3000) === 'completed')
    assert.equal(worker.started.length, 2)
  }))

  it('shows a job to its organisation only, at each instance, with a rotated key and after a change of scheduler', async () => await withCluster(async cluster => {
    const cap = { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }
    const organisationsOf = (key: string): Organisation[] => [{ name: 'acme', apiKeys: [key], weight: 1, cap }, { name: 'bolt', apiKeys: ['bolt-key'], weight: 1, cap }]
    const keyed = (instance: ClusterInstance, key: string): CallAccess => instance.accessControl.accessOf(`Bearer ${key}`, ({ queues }) => queues[0] ?? queue)
    const stateFor = async (instance: ClusterInstance, key: string): Promise<unknown> => await instance.jobService.getState(JOB, 3000, keyed(instance, key))
    const denied = { kind: 'denied', reason: 'unknown' }
    cluster.publish(5, organisationsOf('first-key'))
    cluster.addWorker('w1', 20)
    const instances = [await cluster.start('one'), await cluster.start('two'), await cluster.start('three')]
    const [first] = instances
    assert.ok(first !== undefined)
    await waitUntil(async () => (await first.jobService.submit(JOB, queue, job, 3000, keyed(first, 'first-key'))).kind === 'accepted')
    await waitUntil(async () => await stateFor(first, 'first-key') === 'completed')
    for (const instance of instances) {
      await waitUntil(async () => await stateFor(instance, 'bolt-key') === 'unknownJob')
      assert.equal(await stateFor(instance, 'first-key'), 'completed')
    }
    cluster.publish(6, organisationsOf('second-key'))
    for (const instance of instances) await waitUntil(async () => await stateFor(instance, 'second-key') === 'completed')
    for (const instance of instances) assert.deepEqual(await stateFor(instance, 'first-key'), denied)
    instances.find(instance => instance.isSchedulerActive())?.dispose()
    const restarted = await cluster.start('four')
    await waitUntil(async () => await stateFor(restarted, 'second-key') === 'completed')
    assert.equal(await stateFor(restarted, 'bolt-key'), 'unknownJob')
    assert.deepEqual(await stateFor(restarted, 'first-key'), denied)
  }))

  /** Guards against state from before a restart of all instances: snapshots of the log show neither withdrawn keys nor workers that have left. */
  it('uses neither a key that was withdrawn nor a worker that left while no instance was running', async () => await withCluster(async cluster => {
    const cap = { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }
    const accessOf = (instance: ClusterInstance, key: string): CallAccess => instance.accessControl.accessOf(`Bearer ${key}`, ({ queues }) => queues[0] ?? queue)
    cluster.publish(5, [{ name: 'acme', apiKeys: ['first-key'], weight: 1, cap }])
    const left = cluster.addWorker('left', 20)
    const first = await cluster.start('one')
    await waitUntil(async () => (await first.jobService.submit(JOB, queue, job, 3000, accessOf(first, 'first-key'))).kind === 'accepted')
    await waitUntil(async () => await first.jobService.getState(JOB, 3000) === 'completed')
    first.dispose()
    cluster.publish(6, [{ name: 'acme', apiKeys: ['second-key'], weight: 1, cap }])
    cluster.log.write('workers', 'left', undefined)
    const startsBefore = left.started.length
    const stayed = cluster.addWorker('stayed', 20)
    const restarted = await cluster.start('one')
    const decisions = new Set<string>()
    await waitUntil(async () => {
      const decision = accessOf(restarted, 'first-key').check('write')
      decisions.add(decision.kind === 'refused' ? decision.reason : decision.kind)
      return (await restarted.jobService.submit('00000000000000cc', queue, job, 3000, accessOf(restarted, 'second-key'))).kind === 'accepted'
    })
    await waitUntil(async () => await restarted.jobService.getState('00000000000000cc', 3000) === 'completed')
    assert.ok(!decisions.has('granted'))
    assert.deepEqual(accessOf(restarted, 'first-key').check('write'), { kind: 'refused', reason: 'unknown' })
    assert.deepEqual([left.started.length, stayed.started.length], [startsBefore, 2])
  }))

  it('refuses submissions while its reading of the keys is too old, and accepts them at once when the log is back', async () => await withCluster(async cluster => {
    const cap = { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }
    cluster.publish(5, [{ name: 'acme', apiKeys: ['key'], weight: 1, cap }])
    const instance = await cluster.start('one')
    const check = (): string => {
      const decision = instance.accessControl.accessOf('Bearer key', ({ queues }) => queues[0] ?? queue).check('write')
      return decision.kind === 'refused' ? decision.reason : 'granted'
    }
    await waitUntil(() => check() === 'granted')
    cluster.log.fault = 'refused'
    await waitUntil(() => check() === 'stale')
    cluster.publish(6, [{ name: 'acme', apiKeys: ['other-key'], weight: 1, cap }])
    cluster.log.fault = 'none'
    await waitUntil(() => check() === 'unknown')
  }))

  it('keeps placing tasks while it stops, until its successor does', async () => await withCluster(async cluster => {
    cluster.publish(5)
    const worker = cluster.addWorker('w1', 50)
    const first = await cluster.start('one')
    await waitUntil(() => first.isSchedulerActive())
    const second = await cluster.start('two')
    await waitUntil(async () => await second.jobService.getState('00000000000000bb', 3000) === 'unknownJob')
    await first.prepareShutdown()
    assert.equal(first.isReady, false)
    await waitUntil(() => second.isSchedulerActive() && !first.isSchedulerActive())
    await waitUntil(async () => (await first.jobService.submit(JOB, queue, job, 3000)).kind === 'accepted')
    await waitUntil(async () => await first.jobService.getState(JOB, 3000) === 'completed')
    assert.equal(worker.started.length, 2)
  }))
})
