import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DisposableStore } from '../../src/base/disposable.js'
import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { ClusterInstance } from '../../src/cluster/clusterInstance.js'
import { ClusterMetrics } from '../../src/cluster/clusterMetrics.js'
import type { ClusterConfiguration } from '../../src/contracts/clusterConfiguration.js'
import { stepJobSchema } from '../../src/contracts/stepJob.js'
import { HttpClient } from '../../src/links/httpClient.js'
import { decodeWorker, WORKER_TOPIC } from '../../platform/registry.js'
import { PlatformEligibilityClient, PlatformWorkerClient } from '../../platform/workerClient.js'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { FakeRecordLog } from '../fakes/fakeRecordLog.js'
import { WorkerStandin } from '../soak/workerStandin.js'

const JOB = '00000000000000aa'
const LOOPBACK = '127.0.0.1'
const QUEUE = { name: 'queue', host: 'host', routePrefix: '/q/', pool: 'pool', priority: 1, attempts: 2, stretch: 2, targetMilliseconds: 500 }
const CONFIGURATION: ClusterConfiguration = { revision: 1, queues: [QUEUE], organisations: [], pools: [], maximumBodyBytes: 1000 }
const CONFIGURATION_TOPIC = 'configuration'
const REQUEST_TIMEOUT_MILLISECONDS = 3000
/** Longest wait for a job, in milliseconds; only a failing test waits that long. */
const TIMEOUT_MILLISECONDS = 20_000

const ENTRY = { service: 'pool', addr: '127.0.0.1:9', zone: 'a', state: 'ready', room: { millicpus: 4000, memMb: 4000 }, labels: ['kind', 'rack'], machine: 'm', born: 1 }
const NESTED = '['.repeat(100_000) + ']'.repeat(100_000)

function write (value: object): string {
  return JSON.stringify({ ...ENTRY, ...value })
}

/** Entries by their keys: some cannot be decoded or hold values out of range, the others name workers that do not exist. */
const ENTRIES: ReadonlyArray<readonly [key: string, value: string | Uint8Array]> = [
  ['i-nested', NESTED],
  ['i-nested-address', write({}).replace('"127.0.0.1:9"', NESTED)],
  ['i-nested-labels', write({}).replace('["kind","rack"]', NESTED)],
  ['i-nested-beside', write({}).replace('{', `{"beside":${NESTED},`)],
  ['i-infinite', write({}).replace('4000', '1e999')],
  ['i-huge', write({ room: { millicpus: 1e308, memMb: 1e308 }, born: 1e308, drainRemainingMs: 1e308, sequence: 1e308 })],
  ['i-huge-drain', write({ state: 'draining', drainRemainingMs: 1e308 })],
  ['i-port', write({ addr: '127.0.0.1:70000' })],
  ['i-negative-port', write({ addr: '127.0.0.1:-1' })],
  ['i-closed-port', write({ room: { millicpus: 1e9, memMb: 1e9 } })],
  ['i-no-host', write({ addr: ':1' })],
  ['i-spaces', write({ addr: '127.0.0.1 :1' })],
  ['i-labels', write({ labels: Array.from({ length: 50_000 }, () => '') })],
  ['__proto__', write({})],
  ['constructor', write({ machine: '__proto__', zone: 'constructor', labels: ['__proto__', 'toString'] })],
  ['', write({})],
  ['i\r\nx: y', write({})],
  ['i-\u20ac', write({})],
  ['i-null', 'null'],
  ['i-bytes', Uint8Array.of(255, 254, 0, 128)]
]

/** An instance that reads the registry through the platform's adapter, and a worker that it reaches over HTTP. */
class Site extends DisposableStore {
  readonly log = new FakeRecordLog(1)
  readonly lines: string[] = []
  readonly worker = new WorkerStandin(new FakeClusterWorker('i-good', 4, () => 20))

  async listWorker (): Promise<void> {
    await this.worker.listen()
    this.add(this.worker)
    this.list('i-good', this.worker.entry(1))
  }

  list (key: string, value: string | Uint8Array): void {
    this.log.write(WORKER_TOPIC, key, Buffer.from(value))
  }

  async start (): Promise<ClusterInstance> {
    this.log.write(CONFIGURATION_TOPIC, 'config', Buffer.from(JSON.stringify(CONFIGURATION)))
    const http = this.add(new HttpClient(4))
    const instance = this.add(new ClusterInstance({
      instance: 'one',
      failureDomain: 'a',
      callers: { host: LOOPBACK, port: 0 },
      readiness: { host: LOOPBACK, port: 0 },
      link: { host: LOOPBACK, port: 0 },
      metrics: { host: LOOPBACK, port: 0 },
      processorShare: 1,
      linkMegabits: 1000,
      bounds: { workerLeaseMilliseconds: 6000, graceMilliseconds: 6000, capacityGraceMilliseconds: 3000, stateRetentionMilliseconds: 120_000 },
      keyRevocation: { milliseconds: 5000, appliesToReads: false }
    }, this.log, new PlatformWorkerClient(http), new PlatformEligibilityClient('', http), {
      configurationTopic: CONFIGURATION_TOPIC,
      workerTopic: WORKER_TOPIC,
      decodeConfiguration: record => JSON.parse(Buffer.from(record.value ?? []).toString()),
      decodeWorker: record => record.value === undefined ? undefined : decodeWorker(record.key, record.value)
    }, new ClusterMetrics(), new Logger('one', 'info', line => this.lines.push(line)), new Random(1), () => performance.now()))
    await instance.start()
    return instance
  }
}

/** Submits a job and waits until it is completed. */
async function complete (instance: ClusterInstance): Promise<void> {
  const endsAt = performance.now() + TIMEOUT_MILLISECONDS
  const job = stepJobSchema.parse({ specification: '', steps: [{ count: 6, processorsThousandths: 1000, memoryMegabytes: 10, requiredLabel: 'rack' }] })
  let state: unknown
  let isAccepted = false
  while (state !== 'completed') {
    assert.ok(performance.now() < endsAt, `the job is ${String(state)} after ${TIMEOUT_MILLISECONDS} ms`)
    isAccepted ||= (await instance.jobService.submit(JOB, QUEUE, job, REQUEST_TIMEOUT_MILLISECONDS)).kind === 'accepted'
    state = isAccepted ? await instance.jobService.getState(JOB, REQUEST_TIMEOUT_MILLISECONDS) : undefined
    await new Promise(resolve => setTimeout(resolve, 10))
  }
}

/** Guards against an entry of another writer that ends the instances which read the registry, or keeps them from following it. */
describe('entries of other writers in the worker registry', () => {
  const TIMES: ReadonlyArray<{ readonly name: string, readonly isBefore: boolean }> = [
    { name: 'before the instance starts', isBefore: true },
    { name: 'while the instance follows the registry', isBefore: false }
  ]
  for (const { name, isBefore } of TIMES) {
    it(`the other workers are used if such entries are written ${name}`, async () => {
      const site = new Site()
      const listOthers = (): void => { for (const [key, value] of ENTRIES) site.list(key, value) }
      try {
        if (isBefore) listOthers()
        const instance = await site.start()
        if (!isBefore) listOthers()
        await site.listWorker()
        await complete(instance)
        assert.equal(site.worker.worker.started.length, 6)
        assert.ok(instance.isReady)
        assert.ok(site.lines.some(line => line.includes('unusable entry in the worker registry') && line.includes('i-port')))
      } finally {
        site.dispose()
      }
    })
  }
})
