import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { ClusterInstance, type PlatformTopics } from '../../src/cluster/clusterInstance.js'
import { ClusterMetrics } from '../../src/cluster/clusterMetrics.js'
import type { InstanceResources } from '../../src/cluster/schedulingCapacity.js'
import { EligibilityPort, type EligibilityOutcome } from '../../src/cluster/workerPort.js'
import { TOPICS } from '../../src/cluster/recordLog.js'
import type { ClusterConfiguration } from '../../src/contracts/clusterConfiguration.js'
import { decodeRecord, encodeRecord, type LeadershipRecord } from '../../src/contracts/clusterRecords.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { FakeWorker, FakeWorkerPort } from '../fakes/fakeClusterWorkers.js'
import { FakeRecordLog } from '../fakes/fakeRecordLog.js'

const JOB = '00000000000000aa'
/** Longest wait for something that must come, in milliseconds; only a failing test waits that long. */
const LONGEST_WAIT_MILLISECONDS = 30_000

const SMALL: InstanceResources = { processorShare: 0.25, linkMegabits: 1000 }

const CONFIGURATION: ClusterConfiguration = {
  revision: 5,
  queues: [{ name: 'queue', host: 'host', routePrefix: '/q/', pool: 'pool', priority: 0, attempts: 2, stretch: 2, targetMilliseconds: 500, eligibility: { decisionMilliseconds: 1, perWorkerMilliseconds: 0, ticketMilliseconds: 2000 } }],
  maximumBodyBytes: 1000
}

const feeds: PlatformTopics = {
  configurationTopic: 'configuration',
  workerTopic: 'workers',
  decodeConfiguration: record => JSON.parse(Buffer.from(record.value ?? []).toString()),
  decodeWorker: record => JSON.parse(Buffer.from(record.value ?? []).toString())
}

class AllEligible extends EligibilityPort {
  asked = 0

  override async query (_step: string, workers: readonly string[]): Promise<EligibilityOutcome> {
    this.asked += 1
    return { kind: 'eligible', workers: workers.map(worker => ({ worker, ticket: 'ticket' })), validMilliseconds: 2000 }
  }
}

class Site {
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
      bounds: { workerLeaseMilliseconds: 6000, graceMilliseconds: 6000, stateRetentionMilliseconds: 120_000 }
    }, this.log, this.port, new AllEligible(), feeds, new ClusterMetrics(), new Logger(name, 'error', () => {}), new Random(this.instances.length), () => performance.now())
    this.instances.push(instance)
    await instance.start()
    return instance
  }

  publish (revision: number): void {
    this.log.write('configuration', 'config', Buffer.from(JSON.stringify({ ...CONFIGURATION, revision })))
  }

  addWorker (name: string, durationMilliseconds: number): FakeWorker {
    const worker = this.port.add(new FakeWorker(name, 4, () => durationMilliseconds))
    this.log.write('workers', name, Buffer.from(JSON.stringify(worker.entry)))
    return worker
  }

  dispose (): void {
    for (const instance of this.instances) instance.dispose()
  }
}

async function until (condition: () => boolean | Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + LONGEST_WAIT_MILLISECONDS
  while (!await condition()) {
    assert.ok(performance.now() < endsAt, `did not come true: ${condition.toString()}`)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

async function withSite (body: (site: Site) => Promise<void>): Promise<void> {
  const site = new Site()
  try {
    await body(site)
  } finally {
    site.dispose()
  }
}

describe('ClusterInstance', () => {
  const queue = CONFIGURATION.queues[0]
  assert.ok(queue)
  const job = stepJobSchema.parse({ specification: '', steps: [{ count: 2, processorsThousandths: 1000 }] })

  it('takes over newer configurations and never an older one', async () => await withSite(async site => {
    const instance = await site.start('one')
    assert.equal(instance.isReady, false)
    site.publish(5)
    await until(() => instance.configuration?.revision === 5)
    site.publish(3)
    site.publish(9)
    site.publish(8)
    await until(() => instance.configuration?.revision === 9)
    site.log.compactTopic('configuration')
    site.publish(12)
    await until(() => instance.configuration?.revision === 12)
    assert.ok(instance.isReady)
  }))

  it('completes a job handed in at any instance; a job that nobody handed in is unknown', async () => await withSite(async site => {
    site.publish(5)
    site.addWorker('w1', 20)
    const instances = [await site.start('one'), await site.start('two'), await site.start('three')]
    const [, second, third] = instances
    assert.ok(second !== undefined && third !== undefined)
    await until(async () => (await second.jobService.submit(JOB, queue, job, 3000)).kind === 'accepted')
    assert.equal((await third.jobService.submit(JOB, queue, job, 3000)).kind, 'accepted')
    await until(async () => await third.jobService.getState(JOB, 3000) === 'completed')
    await until(async () => await third.jobService.getState('00000000000000bb', 3000) === 'unknownJob')
    assert.equal(await second.jobService.countWaitingJobs('queue', 3000), 0)
    assert.equal(site.port.workers.get('w1')?.started.length, 2)
  }))

  /** All instances learn the first configuration at the same time, long after their start. */
  const FIRST_CLAIMS: ReadonlyArray<{ readonly name: string, readonly others: InstanceResources, readonly largest: InstanceResources }> = [
    { name: 'the instance with the largest processor share', others: SMALL, largest: { processorShare: 2, linkMegabits: 1000 } },
    { name: 'the instance whose link can carry the work', others: { processorShare: 0.8, linkMegabits: 5 }, largest: { processorShare: 0.7, linkMegabits: 140 } }
  ]
  for (const { name, others, largest } of FIRST_CLAIMS) {
    it(`lets ${name} claim first in a new system`, async () => await withSite(async site => {
      const small = [await site.start('one', others), await site.start('two', others), await site.start('three', others)]
      const large = await site.start('four', largest)
      await new Promise(resolve => setTimeout(resolve, 1000))
      site.publish(5)
      await until(() => [...small, large].some(instance => instance.isSchedulerActive()))
      assert.ok(large.isSchedulerActive())
    }))
  }

  /** An instance that cannot keep up with the work may have to take the role over; if it kept it, nothing more would be placed. */
  const HANDOVERS: ReadonlyArray<{ readonly name: string, readonly first: InstanceResources, readonly alike: InstanceResources, readonly larger: InstanceResources }> = [
    { name: 'a small instance over to a much larger one', first: SMALL, alike: { processorShare: 0.4, linkMegabits: 1000 }, larger: { processorShare: 1.2, linkMegabits: 1000 } },
    { name: 'an instance whose link the work fills over to one with a wide link', first: { processorShare: 0.81, linkMegabits: 7 }, alike: { processorShare: 0.81, linkMegabits: 7 }, larger: { processorShare: 1.35, linkMegabits: 140 } }
  ]
  for (const { name, first, alike, larger } of HANDOVERS) {
    it(`hands the role from ${name}`, async () => await withSite(async site => {
      site.publish(5)
      const small = await site.start('one', first)
      await until(() => small.isSchedulerActive())
      const medium = await site.start('two', alike)
      const large = await site.start('three', larger)
      await until(() => large.isSchedulerActive() && !small.isSchedulerActive())
      assert.ok(!medium.isSchedulerActive())
    }))
  }

  it('names one of the largest instances as its successor when it stops', async () => await withSite(async site => {
    site.publish(5)
    const first = await site.start('one', { processorShare: 1.3, linkMegabits: 1000 })
    await until(() => first.isSchedulerActive())
    const small = [await site.start('two', SMALL), await site.start('three', SMALL), await site.start('four', SMALL)]
    const large = await site.start('five', { processorShare: 1.2, linkMegabits: 1000 })
    for (const instance of [...small, large]) await until(async () => await instance.jobService.getState('00000000000000bb', 3000) === 'unknownJob')
    await first.prepareStop()
    await until(() => !first.isSchedulerActive())
    assert.ok(large.isSchedulerActive())
  }))

  /** Appends on two connections may overtake each other. */
  it('does not take its resignation back with a renewal that was under way', async () => await withSite(async site => {
    site.publish(5)
    const first = await site.start('one')
    await until(() => first.isSchedulerActive())
    site.log.appendMilliseconds = 300
    const appends = site.log.appends
    await until(() => site.log.appends > appends)
    site.log.appendMilliseconds = 0
    await first.prepareStop()
    await new Promise(resolve => setTimeout(resolve, 400))
    const latest = site.log.latestValue(TOPICS.leadership, 'scheduler')
    assert.ok(latest !== undefined && decodeRecord<LeadershipRecord>(latest).resigned)
  }))

  /** A renewal that was under way when another instance claimed the role hides that claim from whoever starts then: of each key only the latest record is read. */
  it('claims a term of its own although a late renewal hides the latest claim', async () => await withSite(async site => {
    site.publish(5)
    site.addWorker('w1', 20)
    const former = { instance: 'former', incarnation: 'x', address: '127.0.0.1:1', resigned: false }
    const hidden = { ...former, instance: 'hidden', incarnation: 'y' }
    for (const record of [{ ...former, term: 1 }, { ...former, term: 1 }, { ...hidden, term: 3 }, { ...former, term: 1 }]) {
      site.log.write(TOPICS.leadership, 'scheduler', encodeRecord(record))
    }
    for (let sequence = 0; sequence < 9; sequence += 1) {
      await site.log.append(TOPICS.progress, 0, [], { writer: { name: 'scheduler', term: 3, sequence } })
    }
    const instance = await site.start('one')
    await until(async () => (await instance.jobService.submit(JOB, queue, job, 3000)).kind === 'accepted')
    await until(async () => await instance.jobService.getState(JOB, 3000) === 'completed')
  }))

  it('goes on with another scheduler when the acting one ends, and runs nothing twice', async () => await withSite(async site => {
    site.publish(5)
    const worker = site.addWorker('w1', 1500)
    const instances = [await site.start('one'), await site.start('two')]
    const [first, second] = instances
    assert.ok(first !== undefined && second !== undefined)
    await until(async () => (await first.jobService.submit(JOB, queue, job, 3000)).kind === 'accepted')
    await until(() => worker.running.size === 2)
    const acting = first.isSchedulerActive() ? first : second
    acting.dispose()
    const survivor = acting === first ? second : first
    await until(async () => await survivor.jobService.getState(JOB, 3000) === 'completed')
    assert.equal(worker.started.length, 2)
  }))

  it('places on while it stops, until its successor does', async () => await withSite(async site => {
    site.publish(5)
    const worker = site.addWorker('w1', 50)
    const first = await site.start('one')
    await until(() => first.isSchedulerActive())
    const second = await site.start('two')
    await until(async () => await second.jobService.getState('00000000000000bb', 3000) === 'unknownJob')
    await first.prepareStop()
    assert.equal(first.isReady, false)
    await until(() => second.isSchedulerActive() && !first.isSchedulerActive())
    await until(async () => (await first.jobService.submit(JOB, queue, job, 3000)).kind === 'accepted')
    await until(async () => await first.jobService.getState(JOB, 3000) === 'completed')
    assert.equal(worker.started.length, 2)
  }))
})
