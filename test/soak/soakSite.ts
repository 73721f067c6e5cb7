import { randomBytes } from 'node:crypto'
import { delay } from '../../src/base/delay.js'
import { TOPICS, type StoredRecord } from '../../src/cluster/recordLog.js'
import { decodeRecord, encodeRecord, type LeadershipRecord } from '../../src/contracts/clusterRecords.js'
import { HttpCaller } from '../../src/links/httpCaller.js'
import { ATTEMPTS, GangMembers, SLOW_CLOCK_RATE, type ClusterView, type SubmittedStepJob } from '../fakes/fakeCluster.js'
import { FakeWorker } from '../fakes/fakeClusterWorkers.js'
import { FakeRecordLog } from '../fakes/fakeRecordLog.js'
import { CONFIGURATION_KEY, OPERATOR_TOPIC, WORKER_TOPIC } from '../../platform/registry.js'
import { FaultyPath, type PathFault } from './faultyPath.js'
import { InstanceProcess, type InstanceObserver } from './instanceProcess.js'
import { LogStandin } from './logStandin.js'
import { SoakChecks, STABLE_WINDOW_MILLISECONDS } from './soakChecks.js'
import { WorkerStandin } from './workerStandin.js'

/** Processor shares of the instances, in cores; the role goes to large ones. */
const PROCESSOR_SHARES = [1, 0.5, 0.25]
const ROOM_OF_WORKER = 3
const HEARTBEAT_MILLISECONDS = 1500
/** Time of an append and of an answer of the log, in milliseconds. */
export const APPEND_MILLISECONDS = 4
const ANSWER_MILLISECONDS = 1
const READY_POLL_MILLISECONDS = 50
/** Period in which the machine's slowness is watched, and the lateness from which it counts as slowed, in milliseconds. */
const WATCH_MILLISECONDS = 50
const SLOW_LATENESS_MILLISECONDS = 100
const ROUTE = { host: 'jobs.example', service: 'pool', attempts: ATTEMPTS, stretch: 2, targetDurationMs: 500 }
export const QUEUES = ['urgent', 'batch'] as const

/** A job as its caller knows it. */
export interface SoakJob extends SubmittedStepJob {
  readonly queue: string
  readonly body: string
  /** When the first acceptance was read, on the monotonic clock in milliseconds. */
  acceptedAt: number | undefined
  /** At least one attempt was not refused. */
  mayRun: boolean
  cancelledAt: number | undefined
}

/** A whole site on one machine: instances as processes, stand-ins of the platform in this process, and faulty paths between them. */
export class SoakSite implements ClusterView, InstanceObserver {
  readonly log = new FakeRecordLog(ANSWER_MILLISECONDS)
  readonly workers = new Map<string, FakeWorker>()
  readonly jobs: SoakJob[] = []
  readonly instances: InstanceProcess[] = []
  readonly checks: SoakChecks
  /** Faults, and ends of processes. */
  readonly history: string[] = []
  private readonly gangs: GangMembers
  private readonly standins = new Map<string, WorkerStandin>()
  private readonly logs: LogStandin[] = []
  /** Paths by instance and by address of the target. */
  private readonly paths = new Map<InstanceProcess, Map<string, FaultyPath>>()
  private readonly disturbedUntil = new Map<InstanceProcess, number>()
  private readonly heartbeat = setInterval(() => this.writeRegistry(), HEARTBEAT_MILLISECONDS)
  private readonly watch = setInterval(() => this.watchSlowness(), WATCH_MILLISECONDS)
  private watchedAt = performance.now()
  /** When this process last ran late, as the others on this machine may have. */
  private slowAt = -Infinity
  /** Leaves no process behind if this one ends first. */
  private readonly endProcesses = (): void => { for (const instance of this.instances) instance.kill(0) }
  private sequence = 0

  constructor (private readonly directory: string) {
    this.checks = new SoakChecks(this)
    this.gangs = new GangMembers({ after: (milliseconds, work) => setTimeout(work, milliseconds) }, this, this.checks)
    this.log.appendMilliseconds = APPEND_MILLISECONDS
    process.once('exit', this.endProcesses)
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
    const routes = QUEUES.map((name, priority) => ({ ...ROUTE, name, pathPrefix: `/${name}/`, priority }))
    this.log.write(OPERATOR_TOPIC, CONFIGURATION_KEY, Buffer.from(JSON.stringify({ version: 1, routes, services: [{ name: 'pool', enforcesCapacity: false }], limits: { maxBodyBytes: 100_000 } })))
    for (let index = 0; index < workerCount; index += 1) await this.addWorker()
    for (const instance of this.instances) {
      for (const other of this.instances) await this.openPath(instance, other.linkAddress)
      const log = await new LogStandin(this.log, (topic, record) => this.translate(instance, topic, record)).listen()
      this.logs.push(log)
      instance.writeSettings((await this.openPath(instance, log.hostAndPort)).address)
      instance.start()
    }
  }

  /** Waits until every instance is ready for callers; throws if one is not in time. */
  async untilReady (milliseconds: number): Promise<void> {
    const http = new HttpCaller(1)
    const latest = performance.now() + milliseconds
    for (const { name, readinessAddress } of this.instances) {
      const isReady = async (): Promise<boolean> => {
        const outcome = await http.call(readinessAddress, { method: 'GET', path: '/v1/ready', timeoutMilliseconds: milliseconds })
        return outcome.kind === 'answer' && outcome.status === 200
      }
      while (!await isReady()) {
        if (performance.now() > latest) throw new Error(`${name} is not ready after ${milliseconds} ms`)
        await delay(READY_POLL_MILLISECONDS)
      }
    }
    http.dispose()
  }

  /** The instance that holds the role of acting scheduler as the log says, or else the first one. */
  get holder (): InstanceProcess {
    const value = this.log.latestValue(TOPICS.leadership, 'scheduler')
    const name = value === undefined ? undefined : decodeRecord<LeadershipRecord>(value).instance
    return this.instances.find(instance => instance.name === name) ?? this.instances[0] as InstanceProcess
  }

  get isRunningAnything (): boolean {
    for (const worker of this.workers.values()) worker.expire()
    return [...this.workers.values()].some(worker => worker.running.size > 0)
  }

  async addWorker (): Promise<void> {
    const identity = `i-${this.standins.size + 1}`
    const worker = new FakeWorker(identity, ROOM_OF_WORKER, task => this.gangs.membersOf(task).length > 0 ? Infinity : 150 + 350 * (Number(task.at(-1)) % 5))
    worker.bornAt = Date.now()
    worker.clockRate = this.standins.size % 2 === 0 ? 1 : SLOW_CLOCK_RATE
    worker.observer = this.gangs
    const standin = await new WorkerStandin(worker).listen()
    for (const instance of this.instances) await this.openPath(instance, standin.hostAndPort)
    this.standins.set(identity, standin)
    this.workers.set(identity, worker)
    this.writeRegistry()
  }

  /** The worker's process ends. It starts again under its identity once its paths are open again. */
  endWorker (worker: FakeWorker): void {
    for (const instance of this.instances) this.setWorkerPath(instance, worker, 'reset')
    worker.restart()
  }

  /** The worker starts again. */
  startWorker (worker: FakeWorker): void {
    worker.restart()
    for (const instance of this.instances) this.setWorkerPath(instance, worker, 'none')
    this.writeRegistry()
  }

  /** The worker ends for good, and another one joins. */
  async replaceWorker (worker: FakeWorker): Promise<void> {
    this.endWorker(worker)
    this.workers.delete(worker.identity)
    this.standins.get(worker.identity)?.dispose()
    this.log.write(WORKER_TOPIC, worker.identity, undefined)
    await this.addWorker()
  }

  setLogPath (instance: InstanceProcess, fault: PathFault): void {
    const log = this.logs[this.instances.indexOf(instance)]
    this.setPath(instance, String(log?.hostAndPort), fault)
  }

  setWorkerPath (instance: InstanceProcess, worker: FakeWorker, fault: PathFault): void {
    this.setPath(instance, String(this.standins.get(worker.identity)?.hostAndPort), fault)
  }

  setLinkPath (instance: InstanceProcess, other: InstanceProcess, fault: PathFault): void {
    this.setPath(instance, other.linkAddress, fault)
  }

  /** Notes that instances are out of touch for some time. */
  disturb (instances: readonly InstanceProcess[], milliseconds: number): void {
    for (const instance of instances) this.disturbedUntil.set(instance, Math.max(this.disturbedUntil.get(instance) ?? 0, performance.now() + milliseconds + STABLE_WINDOW_MILLISECONDS))
  }

  /** Whether an instance and its paths have been without faults for the stable window. */
  isInTouch (instance: InstanceProcess): boolean {
    return !this.isSlow && performance.now() > (this.disturbedUntil.get(instance) ?? 0)
  }

  /** Whether the machine was too slow, within the stable window, for bounds in time to hold. */
  get isSlow (): boolean {
    return performance.now() < this.slowAt + STABLE_WINDOW_MILLISECONDS
  }

  onStarted (instance: InstanceProcess): void {
    this.disturb([instance], 0)
  }

  onEnded (instance: InstanceProcess, how: string): void {
    this.history.push(`${new Date().toISOString()} ${instance.name} ended with ${how}`)
    this.disturb([instance], 0)
  }

  onProblem (problem: string): void {
    this.checks.addProblem(problem)
  }

  onLate (problem: string): void {
    this.checks.noteLate(problem)
  }

  async dispose (): Promise<void> {
    clearInterval(this.heartbeat)
    clearInterval(this.watch)
    process.off('exit', this.endProcesses)
    await Promise.all(this.instances.map(async instance => await instance.close()))
    for (const paths of this.paths.values()) for (const path of paths.values()) path.dispose()
    for (const standin of [...this.standins.values(), ...this.logs]) standin.dispose()
  }

  private watchSlowness (): void {
    const now = performance.now()
    if (now - this.watchedAt > WATCH_MILLISECONDS + SLOW_LATENESS_MILLISECONDS) this.slowAt = now
    this.watchedAt = now
  }

  private async openPath (instance: InstanceProcess, target: string): Promise<FaultyPath> {
    const path = await new FaultyPath(target).listen()
    this.paths.get(instance)?.set(target, path)
    return path
  }

  private setPath (instance: InstanceProcess, target: string, fault: PathFault): void {
    this.paths.get(instance)?.get(target)?.setFault(fault)
  }

  /** Each instance reads the addresses of its own paths. */
  private translate (instance: InstanceProcess, topic: string, { value }: StoredRecord): Uint8Array | undefined {
    const pathTo = (address: string): string => this.paths.get(instance)?.get(address)?.address ?? address
    if (value === undefined) return undefined
    if (topic === WORKER_TOPIC) {
      const entry = JSON.parse(Buffer.from(value).toString())
      return Buffer.from(JSON.stringify({ ...entry, addr: pathTo(entry.addr) }))
    }
    if (topic !== TOPICS.leadership) return value
    const record = decodeRecord<LeadershipRecord>(value)
    return encodeRecord({ ...record, address: pathTo(record.address) })
  }

  private writeRegistry (): void {
    this.sequence += 1
    for (const identity of this.workers.keys()) this.log.write(WORKER_TOPIC, identity, this.standins.get(identity)?.entry(this.sequence))
  }
}
