import { randomBytes } from 'node:crypto'
import { delay } from '../../src/base/delay.js'
import { TOPICS, type StoredRecord } from '../../src/cluster/recordLog.js'
import { decodeLeadership, encodeRecord } from '../../src/contracts/clusterRecords.js'
import { HttpClient } from '../../src/links/httpClient.js'
import { MAXIMUM_ATTEMPTS, GangSimulator, SLOW_CLOCK_RATE, type ClusterView, type SubmittedStepJob } from '../fakes/fakeCluster.js'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { FakeRecordLog } from '../fakes/fakeRecordLog.js'
import { CONFIGURATION_KEY, OPERATOR_TOPIC, WORKER_TOPIC } from '../../platform/registry.js'
import { FaultyPath, type PathFault } from './faultyPath.js'
import { InstanceProcess, type InstanceObserver } from './instanceProcess.js'
import { LogStandin } from './logStandin.js'
import { SoakChecks, STABLE_WINDOW_MILLISECONDS } from './soakChecks.js'
import { WorkerStandin } from './workerStandin.js'

/** Processor shares of the instances, in cores. Instances with a large share are preferred as active scheduler. */
const PROCESSOR_SHARES = [1, 0.5, 0.25]
const WORKER_CAPACITY = 3
const HEARTBEAT_MILLISECONDS = 1500
/** Time that the log takes for an append and for a response, in milliseconds. */
export const APPEND_MILLISECONDS = 4
const RESPONSE_MILLISECONDS = 1
const READY_POLL_MILLISECONDS = 50
/** Period of the timer that measures its own lateness, and the lateness above which the machine counts as slow, in milliseconds. */
const LATENESS_CHECK_MILLISECONDS = 50
const SLOW_LATENESS_MILLISECONDS = 100
const ROUTE = { host: 'jobs.example', service: 'pool', attempts: MAXIMUM_ATTEMPTS, stretch: 2, targetDurationMs: 500 }
/** Keys of the callers' organisation. The second one is withdrawn during a run. */
export const KEYS = { kept: 'kept-key', withdrawn: 'withdrawn-key' }
export const QUEUES = ['urgent', 'batch'] as const

/** A job with the outcomes that its caller received. */
export interface SoakJob extends SubmittedStepJob {
  readonly body: string
  /** Monotonic time in milliseconds at which the first acceptance was received. */
  acceptedAt: number | undefined
  /** Whether at least one attempt to submit the job was not refused. */
  mayRun: boolean
  cancelledAt: number | undefined
}

/** A complete site on one machine: instances as separate processes, stand-ins of the platform in this process, and faulty paths between them. */
export class SoakSite implements ClusterView, InstanceObserver {
  readonly log = new FakeRecordLog(RESPONSE_MILLISECONDS)
  readonly workers = new Map<string, FakeClusterWorker>()
  readonly jobs: SoakJob[] = []
  readonly instances: InstanceProcess[] = []
  readonly checks: SoakChecks
  /** Injected faults and exits of processes, one a line. */
  readonly history: string[] = []
  private readonly gangSimulator: GangSimulator
  private readonly workerStandins = new Map<string, WorkerStandin>()
  private readonly logStandins: LogStandin[] = []
  /** Paths by instance and target address. */
  private readonly paths = new Map<InstanceProcess, Map<string, FaultyPath>>()
  private readonly unstableUntil = new Map<InstanceProcess, number>()
  private readonly heartbeat = setInterval(() => this.writeRegistry(), HEARTBEAT_MILLISECONDS)
  private readonly latenessCheck = setInterval(() => this.checkLateness(), LATENESS_CHECK_MILLISECONDS)
  private latenessCheckedAt = performance.now()
  /** Monotonic time at which this process last ran late, as the other processes on this machine may have done. */
  private slowAt = -Infinity
  /** Kills the instances if this process exits first. */
  private readonly killInstances = (): void => { for (const instance of this.instances) instance.kill(0) }
  private sequence = 0
  /** Monotonic time in milliseconds at which a key was withdrawn; Infinity before. */
  keyWithdrawnAt = Infinity

  constructor (private readonly directory: string) {
    this.checks = new SoakChecks(this)
    this.gangSimulator = new GangSimulator({ after: (milliseconds, work) => setTimeout(work, milliseconds) }, this, this.checks)
    this.log.appendMilliseconds = APPEND_MILLISECONDS
    process.once('exit', this.killInstances)
  }

  async start (instanceCount: number, workerCount: number): Promise<void> {
    const network = randomBytes(2)
    for (let index = 0; index < instanceCount; index += 1) {
      const host = `127.${64 + Number(network[0]) % 128}.${network[1]}.${index + 1}`
      const share = PROCESSOR_SHARES[index % PROCESSOR_SHARES.length] as number
      const instance = new InstanceProcess(`entry-${index + 1}`, host, this.directory, share, this)
      this.instances.push(instance)
      this.paths.set(instance, new Map())
    }
    this.writeConfiguration(1, Object.values(KEYS))
    for (let index = 0; index < workerCount; index += 1) await this.addWorker()
    for (const instance of this.instances) {
      for (const other of this.instances) await this.openPath(instance, other.linkAddress)
      const log = await new LogStandin(this.log, (topic, record) => this.rewriteAddresses(instance, topic, record)).listen()
      this.logStandins.push(log)
      instance.writeSettings((await this.openPath(instance, log.hostAndPort)).address)
      instance.start()
    }
  }

  /** Waits until every instance is ready for callers. Throws if one is not ready in time. */
  async waitUntilReady (milliseconds: number): Promise<void> {
    const http = new HttpClient(1)
    const deadline = performance.now() + milliseconds
    for (const { name, readinessAddress } of this.instances) {
      const isReady = async (): Promise<boolean> => {
        const outcome = await http.request(readinessAddress, { method: 'GET', path: '/v1/ready', timeoutMilliseconds: milliseconds })
        return outcome.kind === 'answer' && outcome.status === 200
      }
      while (!await isReady()) {
        if (performance.now() > deadline) throw new Error(`${name} is not ready after ${milliseconds} ms`)
        await delay(READY_POLL_MILLISECONDS)
      }
    }
    http.dispose()
  }

  /** The instance that is the active scheduler according to the log, or the first instance if there is none. */
  get activeSchedulerInstance (): InstanceProcess {
    const value = this.log.latestValue(TOPICS.leadership, 'scheduler')
    const name = value === undefined ? undefined : decodeLeadership(value)?.instance
    return this.instances.find(instance => instance.name === name) ?? this.instances[0] as InstanceProcess
  }

  get hasRunningTasks (): boolean {
    for (const worker of this.workers.values()) worker.expire()
    return [...this.workers.values()].some(worker => worker.running.size > 0)
  }

  async addWorker (): Promise<void> {
    const identity = `i-${this.workerStandins.size + 1}`
    const worker = new FakeClusterWorker(identity, WORKER_CAPACITY, task => this.gangSimulator.membersOf(task).length > 0 ? Infinity : 150 + 350 * (Number(task.at(-1)) % 5))
    worker.processStartedAt = Date.now()
    worker.clockRate = this.workerStandins.size % 2 === 0 ? 1 : SLOW_CLOCK_RATE
    worker.observer = this.gangSimulator
    const standin = await new WorkerStandin(worker).listen()
    for (const instance of this.instances) await this.openPath(instance, standin.hostAndPort)
    this.workerStandins.set(identity, standin)
    this.workers.set(identity, worker)
    this.writeRegistry()
  }

  /** Crashes the worker's process and resets its connections. It restarts under the same identity with `startWorker`. */
  crashWorker (worker: FakeClusterWorker): void {
    for (const instance of this.instances) this.setWorkerPath(instance, worker, 'reset')
    this.workerStandins.get(worker.identity)?.restart()
  }

  /** Restarts a worker after a crash. */
  startWorker (worker: FakeClusterWorker): void {
    this.workerStandins.get(worker.identity)?.restart()
    for (const instance of this.instances) this.setWorkerPath(instance, worker, 'none')
    this.writeRegistry()
  }

  /** Removes a worker permanently and adds another one. */
  async replaceWorker (worker: FakeClusterWorker): Promise<void> {
    this.crashWorker(worker)
    this.workers.delete(worker.identity)
    this.workerStandins.get(worker.identity)?.dispose()
    this.log.write(WORKER_TOPIC, worker.identity, undefined)
    await this.addWorker()
  }

  setLogPath (instance: InstanceProcess, fault: PathFault): void {
    const log = this.logStandins[this.instances.indexOf(instance)]
    this.setPath(instance, String(log?.hostAndPort), fault)
  }

  setWorkerPath (instance: InstanceProcess, worker: FakeClusterWorker, fault: PathFault): void {
    this.setPath(instance, String(this.workerStandins.get(worker.identity)?.hostAndPort), fault)
  }

  setLinkPath (instance: InstanceProcess, other: InstanceProcess, fault: PathFault): void {
    this.setPath(instance, other.linkAddress, fault)
  }

  /** Marks instances as unstable for the given time and the stable window after it. */
  markUnstable (instances: readonly InstanceProcess[], milliseconds: number): void {
    for (const instance of instances) this.unstableUntil.set(instance, Math.max(this.unstableUntil.get(instance) ?? 0, performance.now() + milliseconds + STABLE_WINDOW_MILLISECONDS))
  }

  /** Returns whether an instance and its paths have been without faults for the stable window. */
  isStable (instance: InstanceProcess): boolean {
    return !this.isMachineSlow && performance.now() > (this.unstableUntil.get(instance) ?? 0)
  }

  /** Whether the machine was too slow for time bounds to hold at some point in the stable window. */
  get isMachineSlow (): boolean {
    return performance.now() < this.slowAt + STABLE_WINDOW_MILLISECONDS
  }

  onStarted (instance: InstanceProcess): void {
    this.markUnstable([instance], 0)
  }

  onEnded (instance: InstanceProcess, exitStatus: string): void {
    this.history.push(`${new Date().toISOString()} ${instance.name} ended with ${exitStatus}`)
    this.markUnstable([instance], 0)
  }

  onProblem (problem: string): void {
    this.checks.addProblem(problem)
  }

  onMissedBound (problem: string): void {
    this.checks.noteMissedBound(problem)
  }

  async dispose (): Promise<void> {
    clearInterval(this.heartbeat)
    clearInterval(this.latenessCheck)
    process.off('exit', this.killInstances)
    await Promise.all(this.instances.map(async instance => await instance.close()))
    for (const paths of this.paths.values()) for (const path of paths.values()) path.dispose()
    for (const standin of [...this.workerStandins.values(), ...this.logStandins]) standin.dispose()
  }

  /** Withdraws one of the callers' keys. */
  withdrawKey (): void {
    this.writeConfiguration(2, [KEYS.kept])
    this.keyWithdrawnAt = performance.now()
  }

  private writeConfiguration (version: number, apiKeys: readonly string[]): void {
    const routes = QUEUES.map((name, priority) => ({ ...ROUTE, name, pathPrefix: `/${name}/`, priority }))
    this.log.write(OPERATOR_TOPIC, CONFIGURATION_KEY, Buffer.from(JSON.stringify({ version, routes, services: [{ name: 'pool', enforcesCapacity: false }], tenants: [{ name: 'organisation', apiKeys }], limits: { maxBodyBytes: 100_000 } })))
  }

  private checkLateness (): void {
    const now = performance.now()
    if (now - this.latenessCheckedAt > LATENESS_CHECK_MILLISECONDS + SLOW_LATENESS_MILLISECONDS) this.slowAt = now
    this.latenessCheckedAt = now
  }

  private async openPath (instance: InstanceProcess, target: string): Promise<FaultyPath> {
    const path = await new FaultyPath(target).listen()
    this.paths.get(instance)?.set(target, path)
    return path
  }

  private setPath (instance: InstanceProcess, target: string, fault: PathFault): void {
    this.paths.get(instance)?.get(target)?.setFault(fault)
  }

  /** Replaces the addresses in a record by those of the reading instance's paths. */
  private rewriteAddresses (instance: InstanceProcess, topic: string, { value }: StoredRecord): Uint8Array | undefined {
    const pathTo = (address: string): string => this.paths.get(instance)?.get(address)?.address ?? address
    if (value === undefined) return undefined
    if (topic === WORKER_TOPIC) {
      const entry = JSON.parse(Buffer.from(value).toString())
      return Buffer.from(JSON.stringify({ ...entry, addr: pathTo(entry.addr) }))
    }
    if (topic !== TOPICS.leadership) return value
    const record = decodeLeadership(value)
    return record === undefined ? value : encodeRecord({ ...record, address: pathTo(record.address) })
  }

  private writeRegistry (): void {
    this.sequence += 1
    for (const identity of this.workers.keys()) this.log.write(WORKER_TOPIC, identity, this.workerStandins.get(identity)?.entry(this.sequence))
  }
}
