import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CallerServer } from '../../platform/callerServer.js'
import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import type { JobStatus } from '../../src/cluster/activeScheduler.js'
import { ClusterMetrics } from '../../src/cluster/clusterMetrics.js'
import { JobService } from '../../src/cluster/jobService.js'
import { AccessControl } from '../../src/cluster/organisations/accessControl.js'
import { TOPICS } from '../../src/cluster/recordLog.js'
import type { ClusterConfiguration, Queue } from '../../src/contracts/clusterConfiguration.js'
import { decodeSubmission } from '../../src/contracts/clusterRecords.js'
import { HttpClient } from '../../src/links/httpClient.js'
import { FakeRecordLog } from '../fakes/fakeRecordLog.js'
import { RawCaller, untilTrue } from '../fakes/rawCaller.js'

const REVOKE_MILLISECONDS = 5000
const BODY = JSON.stringify({ spec: 's', steps: [{ count: 1, millicpus: 1000, memMb: 100, estMs: 100 }] })
const NEW_JOB = '00000000000000aa'
/** Jobs that the active scheduler knows. */
const JOB_OF_ACME = '00000000000000a1'
const JOB_OF_BOLT = '00000000000000b1'
const FINISHED_JOB_OF_BOLT = '00000000000000b2'
const JOB_OF_NOBODY = '00000000000000c1'

function queueOf (name: string, isPublic: boolean): Queue {
  return { name, host: 'h', routePrefix: `/${name}/`, pool: 'pool', priority: 0, attempts: 2, stretch: 2, targetMilliseconds: 500, isPublic }
}

function configurationOf (revision: number, keysOfAcme: readonly string[]): ClusterConfiguration {
  const cap = { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }
  return {
    revision,
    queues: [queueOf('keyed', false), queueOf('public', true)],
    organisations: [{ name: 'acme', apiKeys: keysOfAcme, weight: 1, cap }, { name: 'bolt', apiKeys: ['key-of-bolt'], weight: 1, cap }],
    pools: [],
    maximumBodyBytes: 10_000
  }
}

/** A caller server with real keys and a real job service; the active scheduler is a table of states. */
class Fixture {
  configuration = configurationOf(1, ['key-of-acme'])
  /** Age of the last reading of the configuration, in milliseconds. */
  age = 0
  readonly statuses = new Map<string, JobStatus>([
    [JOB_OF_ACME, { state: 'running', organisation: 'acme' }],
    [JOB_OF_BOLT, { state: 'running', organisation: 'bolt' }],
    [FINISHED_JOB_OF_BOLT, { state: 'completed', organisation: 'bolt' }],
    [JOB_OF_NOBODY, { state: 'running' }]
  ])

  /** Called when the scheduler is asked. */
  onQuery: () => void = () => {}
  readonly lines: string[] = []
  readonly log = new FakeRecordLog(1)
  readonly metrics = new ClusterMetrics()
  private readonly logger = new Logger('test', 'info', line => this.lines.push(line))
  private readonly http = new HttpClient(2)
  private readonly jobService: JobService
  private readonly server: CallerServer
  port = 0

  constructor () {
    const now = (): number => performance.now()
    const readConfiguration = (): ClusterConfiguration => this.configuration
    const readAt = (): number => now() - this.age
    const source = { get configuration () { return readConfiguration() }, get configurationReadAt () { return readAt() } }
    const answer = <T>(value: T): T => {
      this.onQuery()
      return value
    }
    this.jobService = new JobService(this.log, {
      getJobStatus: async identity => answer(this.statuses.get(identity) ?? { state: 'unknown' }),
      getCurrentJobStatus: async identity => answer(this.statuses.get(identity) ?? { state: 'unknown' }),
      countWaitingJobs: async () => answer(3)
    }, this.logger, new Random(1), now)
    const accessControl = new AccessControl(source, { milliseconds: REVOKE_MILLISECONDS, appliesToReads: false }, now)
    const jobService = this.jobService
    this.server = new CallerServer({ get configuration () { return readConfiguration() }, accessControl, jobService }, this.metrics, this.logger, now)
  }

  async listen (): Promise<void> {
    this.port = await this.server.listen({ host: '127.0.0.1', port: 0 })
  }

  /** Sends a call on a kept connection and returns the status with the body. */
  async call (method: 'GET' | 'POST' | 'DELETE', path: string, key?: string): Promise<string> {
    const headers = { host: 'h', ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) }
    const outcome = await this.http.request(`127.0.0.1:${this.port}`, { method, path, headers, timeoutMilliseconds: 10_000, ...(method === 'POST' ? { body: BODY } : {}) })
    return outcome.kind === 'answer' ? `${outcome.status} ${outcome.body.toString()}` : outcome.kind
  }

  get activeRequests (): number {
    return this.server.activeRequests
  }

  get isJobStored (): boolean {
    return this.log.latestValue(TOPICS.submissions, NEW_JOB) !== undefined
  }

  get organisationOfStoredJob (): string | undefined {
    const value = this.log.latestValue(TOPICS.submissions, NEW_JOB)
    return value === undefined ? undefined : decodeSubmission(value)?.organisation
  }

  dispose (): void {
    this.http.dispose()
    this.server.dispose()
    this.jobService.dispose()
  }
}

async function withFixture (body: (fixture: Fixture) => Promise<void>): Promise<void> {
  const fixture = new Fixture()
  await fixture.listen()
  try {
    await body(fixture)
  } finally {
    fixture.dispose()
  }
}

/** All calls on a queue. */
const VERBS: ReadonlyArray<{ readonly method: 'GET' | 'POST' | 'DELETE', readonly name: string, readonly stores: boolean }> = [
  { method: 'POST', name: NEW_JOB, stores: true },
  { method: 'GET', name: JOB_OF_ACME, stores: false },
  { method: 'DELETE', name: JOB_OF_ACME, stores: true },
  { method: 'GET', name: '', stores: false }
]

describe('API keys of callers', () => {
  for (const { method, name, stores } of VERBS) {
    const call = `${method} /keyed/${name}`
    const KEYS: ReadonlyArray<{ readonly name: string, readonly key?: string, readonly change?: (fixture: Fixture) => void, readonly status: number }> = [
      { name: 'a known key', key: 'key-of-acme', status: 200 },
      { name: 'no key', status: 401 },
      { name: 'an unknown key', key: 'key-of-nobody', status: 401 },
      { name: 'a withdrawn key', key: 'key-of-acme', change: fixture => { fixture.configuration = configurationOf(2, []) }, status: 401 },
      { name: 'an added key', key: 'second-key', change: fixture => { fixture.configuration = configurationOf(2, ['key-of-acme', 'second-key']) }, status: 200 },
      { name: 'a rotated key', key: 'second-key', change: fixture => { fixture.configuration = configurationOf(2, ['second-key']) }, status: 200 },
      { name: 'a known key while the configuration has not been read for too long', key: 'key-of-acme', change: fixture => { fixture.age = REVOKE_MILLISECONDS + 1 }, status: stores ? 503 : 200 }
    ]
    for (const { name: keyName, key, change, status } of KEYS) {
      it(`answers ${call} with ${keyName} by ${status}`, async () => await withFixture(async fixture => {
        change?.(fixture)
        const response = await fixture.call(method, `/keyed/${name}`, key)
        assert.match(response, new RegExp(`^${status} `))
        if (method === 'POST') assert.equal(fixture.isJobStored, status === 200)
      }))
    }

    it(`answers ${call} on an open connection by 401 once the key is withdrawn`, async () => await withFixture(async fixture => {
      assert.match(await fixture.call(method, `/keyed/${name}`, 'key-of-acme'), /^200 /)
      fixture.configuration = configurationOf(2, [])
      assert.match(await fixture.call(method, `/keyed/${name}`, 'key-of-acme'), /^401 /)
    }))
  }

  it('answers an unknown route by 404 whatever the key', async () => await withFixture(async fixture => {
    for (const key of [undefined, 'key-of-nobody', 'key-of-acme']) assert.match(await fixture.call('GET', '/nowhere/', key), /^404 /)
  }))

  const ACCESSES: ReadonlyArray<{ readonly name: string, readonly method: 'GET' | 'DELETE', readonly job: string, readonly queue?: string, readonly key?: string, readonly status: number }> = [
    { name: 'its own job', method: 'GET', job: JOB_OF_ACME, key: 'key-of-acme', status: 200 },
    { name: 'the job of another organisation', method: 'GET', job: JOB_OF_BOLT, key: 'key-of-acme', status: 410 },
    { name: 'the finished job of another organisation', method: 'GET', job: FINISHED_JOB_OF_BOLT, key: 'key-of-acme', status: 410 },
    { name: 'the job of another organisation on a public queue', method: 'GET', job: JOB_OF_BOLT, queue: 'public', status: 410 },
    { name: 'a cancel of another organisation\'s job', method: 'DELETE', job: JOB_OF_BOLT, key: 'key-of-acme', status: 410 },
    { name: 'a job without an organisation', method: 'GET', job: JOB_OF_NOBODY, key: 'key-of-acme', status: 200 },
    { name: 'a job without an organisation on a public queue', method: 'GET', job: JOB_OF_NOBODY, queue: 'public', status: 200 },
    { name: 'a cancel of a job without an organisation', method: 'DELETE', job: JOB_OF_NOBODY, key: 'key-of-acme', status: 200 }
  ]
  for (const { name, method, job, queue = 'keyed', key, status } of ACCESSES) {
    it(`answers ${name} by ${status}`, async () => await withFixture(async fixture => {
      const ownerFirst = await fixture.call('GET', `/keyed/${job}`, 'key-of-bolt')
      const response = await fixture.call(method, `/${queue}/${job}`, key)
      assert.match(response, new RegExp(`^${status} `))
      if (status !== 410) return
      assert.match(ownerFirst, /^200 /)
      assert.equal(response, await fixture.call(method, `/${queue}/00000000000000ff`, key))
    }))
  }

  it('hides a job that this instance has accepted and the scheduler does not know yet from other organisations', async () => await withFixture(async fixture => {
    assert.match(await fixture.call('POST', `/keyed/${NEW_JOB}`, 'key-of-acme'), /^200 /)
    assert.equal(fixture.organisationOfStoredJob, 'acme')
    assert.match(await fixture.call('GET', `/keyed/${NEW_JOB}`, 'key-of-bolt'), /^410 /)
    assert.match(await fixture.call('DELETE', `/keyed/${NEW_JOB}`, 'key-of-bolt'), /^410 /)
    assert.match(await fixture.call('POST', `/keyed/${NEW_JOB}`, 'key-of-bolt'), /^409 /)
    assert.equal(fixture.organisationOfStoredJob, 'acme')
    assert.equal(await fixture.call('GET', `/keyed/${NEW_JOB}`, 'key-of-acme'), '200 {"state":"pending"}')
    fixture.configuration = configurationOf(2, ['second-key'])
    assert.match(await fixture.call('POST', `/keyed/${NEW_JOB}`, 'second-key'), /^200 /)
    assert.equal(await fixture.call('GET', `/keyed/${NEW_JOB}`, 'second-key'), '200 {"state":"pending"}')
  }))

  const PUBLIC: ReadonlyArray<{ readonly key?: string, readonly organisation: string | undefined }> = [
    { organisation: undefined },
    { key: 'key-of-nobody', organisation: undefined },
    { key: 'key-of-acme', organisation: 'acme' }
  ]
  for (const { key, organisation } of PUBLIC) {
    it(`attributes a job on a public queue with ${key ?? 'no key'} to ${organisation ?? 'nobody'}`, async () => await withFixture(async fixture => {
      assert.match(await fixture.call('POST', `/public/${NEW_JOB}`, key), /^200 /)
      assert.equal(fixture.organisationOfStoredJob, organisation)
    }))
  }

  /** A body that is still arriving must not carry the permission of its head. */
  const BODIES: ReadonlyArray<{ readonly name: string, readonly change: (fixture: Fixture) => void, readonly status: number }> = [
    { name: 'nothing changes', change: () => {}, status: 200 },
    { name: 'the key is withdrawn', change: fixture => { fixture.configuration = configurationOf(2, []) }, status: 401 },
    { name: 'the process is paused or cut off for too long', change: fixture => { fixture.age = REVOKE_MILLISECONDS + 1 }, status: 503 }
  ]
  for (const { name, change, status } of BODIES) {
    it(`answers a submission by ${status} if ${name} while its body arrives`, async () => await withFixture(async fixture => {
      const caller = new RawCaller(fixture.port)
      try {
        caller.write(`POST /keyed/${NEW_JOB} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-of-acme\r\ncontent-type: application/json\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY.slice(0, 10)}`)
        await untilTrue(() => fixture.activeRequests === 1)
        change(fixture)
        caller.write(BODY.slice(10))
        await untilTrue(() => caller.statuses.length === 1)
        assert.deepEqual(caller.statuses, [status])
        assert.equal(fixture.isJobStored, status === 200)
      } finally {
        caller.socket.destroy()
      }
    }))
  }

  it('takes no more submissions of an organisation that fills an instance, without reading them, and those of others', async () => await withFixture(async fixture => {
    const headOf = (job: string, key: string): string => `POST /keyed/${job} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${key}\r\ncontent-length: ${BODY.length}\r\n\r\n`
    const callers = Array.from({ length: 100 }, () => new RawCaller(fixture.port))
    try {
      callers.forEach((caller, index) => caller.write(headOf(String(index).padStart(16, '0'), 'key-of-acme')))
      await untilTrue(() => callers.filter(({ statuses }) => statuses.length > 0).length > 10 && fixture.activeRequests + callers.filter(({ statuses }) => statuses.length > 0).length === callers.length)
      const refused = callers.filter(({ statuses }) => statuses.length > 0)
      for (const { received } of refused) assert.match(received, /^HTTP\/1\.1 503 [^]*\r\nretry-after: [123]\r\n/i)
      assert.match(await fixture.call('POST', `/keyed/${JOB_OF_ACME}`, 'key-of-acme'), /^200 /, 'the job is stored already')
      assert.match(await fixture.call('POST', `/keyed/${NEW_JOB}`, 'key-of-bolt'), /^200 /)
      assert.equal(fixture.organisationOfStoredJob, 'bolt')
    } finally {
      for (const { socket } of callers) socket.destroy()
    }
  }))

  it('answers a submission by 401 if the key is withdrawn while the record waits for an append', async () => await withFixture(async fixture => {
    fixture.log.appendMilliseconds = 100
    const first = fixture.call('POST', '/public/00000000000000ab')
    await untilTrue(() => fixture.log.appends === 1)
    const second = fixture.call('POST', `/keyed/${NEW_JOB}`, 'key-of-acme')
    await untilTrue(() => fixture.activeRequests === 2)
    setTimeout(() => { fixture.configuration = configurationOf(2, []) }, 40)
    assert.match(await first, /^200 /)
    assert.match(await second, /^401 /)
    assert.ok(!fixture.isJobStored)
  }))

  for (const { method, name } of VERBS.filter(verb => verb.method !== 'POST')) {
    it(`answers ${method} /keyed/${name} by 401 if the key is withdrawn while the scheduler is asked`, async () => await withFixture(async fixture => {
      fixture.onQuery = () => { fixture.configuration = configurationOf(2, []) }
      assert.match(await fixture.call(method, `/keyed/${name}`, 'key-of-acme'), /^401 /)
      assert.equal(fixture.log.latestValue(TOPICS.submissions, `${name}/cancel`), undefined)
    }))
  }

  it('logs and counts each refusal with its reason, and never a key', async () => await withFixture(async fixture => {
    await fixture.call('GET', `/keyed/${JOB_OF_ACME}`)
    await fixture.call('GET', '/keyed/', 'key-of-nobody')
    await fixture.call('GET', `/keyed/${JOB_OF_ACME}`, 'key-of-acme')
    const refusals = fixture.lines.map(line => JSON.parse(line)).filter(({ message }) => message === 'call refused')
    assert.deepEqual(refusals.map(({ queue, job, reason }) => ({ queue, job, reason })), [
      { queue: 'keyed', job: JOB_OF_ACME, reason: 'the call carries no API key' },
      { queue: 'keyed', job: undefined, reason: 'the API key is not known' }
    ])
    const metrics = await fixture.metrics.text()
    assert.match(metrics, /vanillaturn_access_refusals_total\{reason="missing"\} 1\n/)
    assert.match(metrics, /vanillaturn_access_refusals_total\{reason="unknown"\} 1\n/)
    assert.doesNotMatch(fixture.lines.join('\n') + metrics, /key-of-/)
  }))
})
