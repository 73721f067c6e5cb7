import { Agent } from 'undici'
import { recordSchema, CONFIGURATION_STREAM } from '../../src/contracts/records.js'
import type { JobSubmission } from '../../src/contracts/jobs.js'
import type { ListedInstance } from '../../src/contracts/platformProtocol.js'
import { entrySettingsSchema } from '../../src/contracts/settings.js'
import { checkSiteConfiguration, type SiteConfiguration, type Urgency } from '../../src/contracts/siteConfiguration.js'
import type { Verdict } from '../../src/contracts/verdict.js'
import type { EntryInstance } from '../../src/entry/entryInstance.js'
import { RequestBody } from '../../src/entry/requestBody.js'
import type { JobRequestResult } from '../../src/entry/jobTask.js'
import { CALLER_HEADERS } from '../../src/requests/headers.js'
import { assembleEntryInstance, createEntryContext, type EntryConnections } from '../../src/programs/wiring.js'
import { FakeExecutor, FakeExecutorClient, UnreachablePeers, MAXIMUM_RUN_MILLISECONDS, SUBMISSION_HEADER } from './fakeExecutors.js'
import { FakeInstanceDirectory, FakeInstanceList } from './fakeInstanceList.js'
import { FakeLinkFabric, FakeLinks } from './fakeLinks.js'
import { FakeLog, FakePlatformLog } from './fakeLog.js'
import { FakeWorker, FakeWorkerClient } from './fakeWorkers.js'
import { Network } from './network.js'
import { PausedClock, SimulatedProcess } from './pausedClock.js'

/** Services of the fake site: one that is not idempotent, one that is, and one that is idempotent and deferrable. */
export type ServiceName = 'booking' | 'lookup' | 'sync'

/** Layout of the fake site. Counts are by failure domain. */
export interface FakeSiteOptions {
  readonly seed: number
  readonly entries?: Readonly<Record<string, number>>
  readonly executors?: Readonly<Record<string, number>>
  readonly workers?: Readonly<Record<string, number>>
  /** Wraps the connections of every instance that starts, to inject a fault. */
  readonly wrapConnections?: (connections: EntryConnections, process: SimulatedProcess) => EntryConnections
}

/** A caller's submission of a request and its outcome. Times are monotonic, in milliseconds. */
export interface SubmittedRequest {
  readonly submission: string
  readonly service: ServiceName
  readonly key: string | undefined
  readonly instance: StartedInstance
  readonly submittedAt: number
  readonly deadline: number
  /** `complete`: the whole body arrived. `broken`: the connection broke before the end of the body. */
  outcome: { kind: 'complete', status: number, body: string } | { kind: 'broken' } | { kind: 'error', code: string, verdict: Verdict, retryAfterSeconds: number | undefined } | undefined
  endedAt: number | undefined
}

/** A submitted job and the result of its submission. */
export interface SubmittedJob {
  readonly name: string
  readonly kind: JobSubmission['kind']
  readonly failureDomain: string
  result: JobRequestResult | undefined
  cancelled: boolean
}

/** One start of an entry instance. */
export interface StartedInstance {
  readonly name: string
  readonly failureDomain: string
  readonly incarnation: string
  readonly process: SimulatedProcess
  readonly entry: EntryInstance
  readonly startedAt: number
  readonly connections: EntryConnections
  /** Highest configuration revision that was in force in this incarnation. */
  highestRevision: number
  /** Monotonic time at which a graceful shutdown started. */
  stopStartedAt: number | undefined
  stoppedAt: number | undefined
  interruptedRequests: number
}

const STEP_MILLISECONDS = 10
const COARSE_STEP_MILLISECONDS = 50
const WORKER_CAPACITY = { processorsThousandths: 4000, memoryBytes: 8_000_000, accelerators: 0 }
const STOP_BOUND_MILLISECONDS = 30_000

/** Several entry instances of the real code on fake connections, executors, workers and platform, on a paused clock. */
export class FakeSite {
  readonly clock = new PausedClock()
  readonly network: Network
  readonly log = new FakeLog()
  readonly directory: FakeInstanceDirectory
  readonly fabric: FakeLinkFabric
  readonly executors = new Map<string, FakeExecutor>()
  readonly workers = new Map<string, FakeWorker>()
  /** The latest start of each instance, by name. */
  readonly instances = new Map<string, StartedInstance>()
  readonly startedInstances: StartedInstance[] = []
  readonly requests: SubmittedRequest[] = []
  readonly jobs: SubmittedJob[] = []
  /** Problems that were detected while the clock advances, by the name of the check. */
  readonly detectedProblems = new Map<string, string>()
  /** Log lines of all instances, shown with a failing trace. */
  readonly logLines: string[] = []
  readonly failureDomains: readonly string[]
  private publishCount = 0
  private allowedPercent = 100

  constructor (private readonly options: FakeSiteOptions, private readonly onStep: (site: FakeSite) => void = () => {}) {
    this.network = new Network(this.clock, options.seed)
    this.directory = new FakeInstanceDirectory(this.network)
    this.fabric = new FakeLinkFabric(this.network)
    const entries = options.entries ?? { 'gent-a': 3, 'gent-b': 2 }
    this.failureDomains = Object.keys(entries)
    for (const [failureDomain, count] of Object.entries(options.executors ?? { 'gent-a': 2, 'gent-b': 1 })) {
      for (const name of names(`${failureDomain}-executor`, count)) {
        this.executors.set(name, new FakeExecutor(name, failureDomain))
        this.listMachine(name, 'live')
      }
    }
    for (const [failureDomain, count] of Object.entries(options.workers ?? { 'gent-a': 3, 'gent-b': 2 })) {
      for (const [index, name] of names(`${failureDomain}-worker`, count).entries()) {
        this.workers.set(name, new FakeWorker(name, failureDomain, WORKER_CAPACITY, index !== 1, this.network))
        this.listMachine(name, 'live')
      }
    }
    for (const [failureDomain, count] of Object.entries(entries)) {
      for (const name of names(failureDomain, count)) this.startInstance(name, failureDomain)
    }
  }

  /** Publishes the first configuration and waits until every instance can serve. */
  async start (): Promise<void> {
    this.publish(0)
    for (let waited = 0; waited < 10_000 && !this.runningInstances().every(({ entry }) => entry.canServe); waited += 100) await this.advance(100)
  }

  /** Returns the instances whose process runs, including paused and stopping ones. */
  runningInstances (): StartedInstance[] {
    return [...this.instances.values()].filter(({ process, stoppedAt }) => !process.isCrashed && stoppedAt === undefined)
  }

  /** Returns an instance by index. An index out of range wraps around. */
  instanceAt (index: number): StartedInstance {
    const all = [...this.instances.values()]
    return all[index % all.length] as StartedInstance
  }

  /** Starts an instance, or restarts it after a crash or stop. */
  startInstance (name: string, failureDomain: string): void {
    const previousStarts = this.startedInstances.filter(instance => instance.name === name).length
    const incarnation = `${name}.${previousStarts}`
    const process = new SimulatedProcess(name, failureDomain)
    const settings = entrySettingsSchema.parse({
      instance: name, failureDomain, region: 'be-vl', callers: { port: 0 }, links: { port: 0 }, platformAddress: 'http://platform.invalid', linkKeys: ['fake-site-link-key'], operatorTokens: ['fake-site-operator-token'], logLevel: 'warn', stopBoundMilliseconds: STOP_BOUND_MILLISECONDS
    })
    process.run(() => {
      const links = new FakeLinks(this.fabric, process, { instance: name, incarnation, failureDomain })
      const baseConnections: EntryConnections = {
        log: new FakePlatformLog(this.log, this.network, process),
        instanceList: new FakeInstanceList(this.directory, this.network, process),
        workers: new FakeWorkerClient(this.workers, this.network, process),
        executors: new FakeExecutorClient(this.executors, this.network, process),
        peers: new UnreachablePeers(),
        links,
        agent: new Agent()
      }
      const connections = this.options.wrapConnections?.(baseConnections, process) ?? baseConnections
      const context = createEntryContext(settings, line => { this.logLines.push(`${Math.round(performance.now())} ${line}`) }, incarnation, this.options.seed + this.startedInstances.length)
      const entry = assembleEntryInstance(context, connections)
      // Requests are passed directly to the components; no socket is opened.
      entry.components.server.listen = async () => 1
      const instance: StartedInstance = { name, failureDomain, incarnation, process, entry, connections, startedAt: performance.now(), highestRevision: 0, stopStartedAt: undefined, stoppedAt: undefined, interruptedRequests: 0 }
      this.startedInstances.push(instance)
      this.instances.set(name, instance)
      entry.start()
    })
    this.directory.set({ kind: 'entry', name, failureDomain, address: 'ws://link.invalid', callerAddress: 'http://caller.invalid', state: 'live' })
  }

  /** Crashes an instance: its connections close and its timers and deliveries are dropped. */
  crash (instance: StartedInstance): void {
    if (instance.stoppedAt !== undefined || instance.process.isCrashed) return
    instance.process.crash()
    for (const connection of [instance.connections.executors, instance.connections.links]) (connection as FakeExecutorClient | FakeLinks).closeAll()
    this.directory.remove(instance.name)
  }

  restart (instance: StartedInstance): void {
    if (!instance.process.isCrashed && instance.stoppedAt === undefined) this.crash(instance)
    this.startInstance(instance.name, instance.failureDomain)
  }

  /** Starts the graceful shutdown of an instance, which continues while the clock advances. */
  stop (instance: StartedInstance): void {
    if (instance.stopStartedAt !== undefined || instance.process.isCrashed || instance.process.isPaused) return
    instance.stopStartedAt = performance.now()
    this.directory.set({ kind: 'entry', name: instance.name, failureDomain: instance.failureDomain, address: 'ws://link.invalid', callerAddress: 'http://caller.invalid', state: 'leaving' })
    instance.process.run(async () => {
      instance.interruptedRequests = await instance.entry.stop()
      instance.stoppedAt = performance.now()
      this.directory.remove(instance.name)
    })
  }

  /** Submits a request to an instance. Returns undefined when the instance accepts no connections. */
  request (instance: StartedInstance, service: ServiceName, details: { key?: string, deadlineMilliseconds?: number } = {}): SubmittedRequest | undefined {
    if (instance.process.isCrashed || instance.stoppedAt !== undefined) return undefined
    const submission = `request-${this.requests.length}`
    const deadline = performance.now() + (details.deadlineMilliseconds ?? 3000)
    const submitted: SubmittedRequest = { submission, service, key: details.key, instance, submittedAt: performance.now(), deadline, outcome: undefined, endedAt: undefined }
    this.requests.push(submitted)
    instance.process.deliver(() => { this.serve(submitted) })
    return submitted
  }

  submitJob (instance: StartedInstance, kind: JobSubmission['kind'], details: Partial<JobSubmission> = {}): SubmittedJob | undefined {
    if (instance.process.isCrashed || instance.stoppedAt !== undefined) return undefined
    const name = `job-${this.jobs.length}`
    const failureDomain = details.failureDomain ?? instance.failureDomain
    const submission: JobSubmission = { name, team: 'one', kind, urgency: 'normal', tasks: 1, resources: { processorsThousandths: 1000, memoryBytes: 1_000_000, accelerators: 0 }, runMilliseconds: kind === 'service' ? undefined : 2000, checkpointable: false, ...details, failureDomain }
    const submitted: SubmittedJob = { name, kind, failureDomain, result: undefined, cancelled: false }
    this.jobs.push(submitted)
    instance.process.deliver(async () => { submitted.result = await instance.entry.components.jobs.submit(submission, name) })
    return submitted
  }

  cancelJob (instance: StartedInstance, job: SubmittedJob): void {
    const { result } = job
    if (result?.kind !== 'accepted' || instance.process.isCrashed || instance.stoppedAt !== undefined) return
    instance.process.deliver(async () => {
      const cancelled = await instance.entry.components.jobs.cancel(result.job)
      if (cancelled.kind === 'accepted') job.cancelled = true
    })
  }

  /** Appends a configuration record as the operators' tool does. Returns the configuration text, or undefined while the log is down. */
  publish (baseRevision: number, allowedPercent: number = this.allowedPercent): string | undefined {
    if (this.log.down) return undefined
    this.publishCount += 1
    this.allowedPercent = allowedPercent
    const text = this.createConfiguration(this.publishCount, allowedPercent)
    const body = { type: 'configurationPublished', baseRevision, text, publisher: `publisher-${this.publishCount}` }
    this.log.append(CONFIGURATION_STREAM, [recordSchema.parse({ identity: `publish-${this.publishCount}`, schemaVersion: 1, writer: 'operator', logicalTime: 0, body })])
    return text
  }

  /** Sets the state of an executor or worker in the platform's list. */
  listMachine (name: string, state: 'live' | 'leaving'): void {
    const executor = this.executors.get(name)
    const failureDomain = executor?.failureDomain ?? this.workers.get(name)?.failureDomain ?? ''
    const common = { name, failureDomain, address: name, state }
    const listed: ListedInstance = executor === undefined ? { kind: 'worker', ...common, pool: 'general', rack: 'rack-1' } : { kind: 'executor', ...common, pool: 'swatch' }
    this.directory.set(listed)
  }

  /** Removes all faults: outages, partitions, pauses and leaving machines. Restarts crashed and stopped instances. */
  heal (): void {
    this.network.heal()
    Object.assign(this.log, { down: false, slowMilliseconds: 0, responsesToLose: 0 })
    Object.assign(this.fabric, { dropPercent: 0, duplicatePercent: 0, reorderMilliseconds: 0 })
    for (const worker of this.workers.values()) Object.assign(worker, { silent: false, failsEverything: false, responsesToLose: 0 })
    for (const executor of this.executors.values()) executor.faults.length = 0
    for (const name of this.directory.leavingSince.keys()) if (this.executors.has(name) || this.workers.has(name)) this.listMachine(name, 'live')
    for (const instance of this.instances.values()) {
      instance.process.resume()
      if (instance.process.isCrashed || instance.stoppedAt !== undefined) this.startInstance(instance.name, instance.failureDomain)
    }
  }

  async advance (milliseconds: number, coarse = false): Promise<void> {
    await this.clock.advance(milliseconds, coarse ? COARSE_STEP_MILLISECONDS : STEP_MILLISECONDS, () => this.onStep(this))
  }

  /** Disposes all instances and workers. Returns the number of timers that remain although every instance was disposed. */
  async dispose (): Promise<number> {
    for (const { process, entry } of this.startedInstances) {
      process.resume()
      process.run(() => entry.dispose())
    }
    for (const worker of this.workers.values()) worker.dispose()
    await this.clock.settle()
    const processTimers = this.startedInstances.reduce((sum, { process }) => sum + process.timers.size, 0)
    // Pending calls in the fakes end within their timeouts.
    await this.clock.advance(20_000, 1000)
    const remaining = processTimers + this.clock.timerCount
    this.clock.uninstall()
    return remaining
  }

  private async serve (submitted: SubmittedRequest): Promise<void> {
    const { submission, service, key, deadline, instance } = submitted
    const finish = (outcome: SubmittedRequest['outcome']): void => {
      submitted.outcome = outcome
      submitted.endedAt = performance.now()
    }
    const headers: Array<[string, string]> = [[SUBMISSION_HEADER, submission]]
    if (key !== undefined) headers.push([CALLER_HEADERS.idempotencyKey, key])
    const urgency: Urgency = service === 'booking' ? 'urgent' : service === 'lookup' ? 'normal' : 'deferrable'
    const served = await instance.entry.components.requestDispatcher.serve({
      identity: submission, service, method: 'POST', path: `/${submission}`, headers, body: RequestBody.of(Buffer.from(submission)), urgency, deadline, signal: new AbortController().signal
    })
    if (served.kind === 'error') {
      finish({ kind: 'error', code: served.error.code, verdict: served.error.verdict, retryAfterSeconds: served.error.retryAfterSeconds })
      return
    }
    const chunks: Buffer[] = []
    served.body.on('data', (chunk: Buffer) => chunks.push(Buffer.from(chunk)))
    served.body.once('error', () => finish({ kind: 'broken' }))
    served.body.once('end', () => finish({ kind: 'complete', status: served.status, body: Buffer.concat(chunks).toString() }))
  }

  private createConfiguration (number: number, allowedCapacityPercent: number): string {
    const counts = (machines: Iterable<{ failureDomain: string }>): Record<string, number> => {
      const byDomain: Record<string, number> = {}
      for (const { failureDomain } of machines) byDomain[failureDomain] = (byDomain[failureDomain] ?? 0) + 1
      return byDomain
    }
    const service = (urgency: Urgency, idempotent: boolean): SiteConfiguration['services'][string] => ({ urgency, dependsOn: [], executorPool: 'swatch', idempotent, deadlineMilliseconds: 3000, maximumRunMilliseconds: MAXIMUM_RUN_MILLISECONDS })
    const text = JSON.stringify({
      site: `fake-${number}`,
      failureDomains: Object.fromEntries(this.failureDomains.map(name => [name, { region: 'be-vl', allowedCapacityPercent }])),
      services: { booking: service('urgent', false), lookup: service('normal', true), sync: service('deferrable', true) },
      executorPools: { swatch: { slots: 8, connections: 60, executors: counts(this.executors.values()) } },
      workerPools: { general: { ...WORKER_CAPACITY, workersPerRack: 8, workers: counts(this.workers.values()) } },
      teams: { one: { quota: { processorsThousandths: 4000, memoryBytes: 8_000_000, accelerators: 0 } } }
    })
    const checked = checkSiteConfiguration('fake site configuration', text)
    if (checked.kind === 'invalid') throw new Error(JSON.stringify(checked.findings))
    return text
  }
}

function names (prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`)
}
