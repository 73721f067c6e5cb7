import { spawn } from 'node:child_process'
import { randomBytes } from 'node:crypto'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Worker } from 'node:worker_threads'
import { call, newAgent } from './http.mjs'
import { Executor } from './executor.mjs'
import { Path } from './path.mjs'
import { Store } from './store.mjs'

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
export const SERVICE = 'dispatch1'
export const HOST = 'jobs.example'
const HEARTBEAT_MS = 1500
const HEARTBEAT_PHASE_MS = 50
const ZONES = ['muscat-a', 'muscat-b', 'sohar']

export const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

/** The words of the command of the deploy file. */
function deployCommand () {
  const line = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').split('\n').find(text => /^run\s*=/.test(text))
  return line.slice(line.indexOf('"') + 1, line.lastIndexOf('"')).split(' ')
}

async function freePorts (host, count) {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer()
    await new Promise(resolve => server.listen(0, host, resolve))
    return server
  }))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

/** A small deployment on loopback addresses: the project's program as separate processes, and stand-ins of the store and of the executors in this process. */
export class Site {
  /** What executors did, in order. */
  journal = []
  /** What consumers sent and received, in order. */
  calls = []
  store = new Store()
  executors = []
  /** Threads with executors. */
  threads = []
  instances = []
  #lines = []
  #directory = mkdtempSync(join(tmpdir(), 'review-'))
  #agents = new Map()
  #phase = 0
  #startedAt = performance.now()
  #end = () => { for (const { child } of this.instances) child?.kill('SIGKILL') }

  /** `routes` are the operator's routes. */
  constructor ({ routes, recordPath }) {
    this.routes = routes
    this.recordPath = recordPath
    process.once('exit', this.#end)
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2))
  }

  /** Adds a line to the record. */
  note (text) {
    this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${text}`)
  }

  seconds (at) {
    return ((at - this.#startedAt) / 1000).toFixed(3)
  }

  /** Starts the store, `instanceCount` processes and waits until all of them are ready. Executors are added before or after. */
  async start (instanceCount, { cores = 1 } = {}) {
    await this.store.listen()
    this.store.put('keyed.op', 'config', {
      version: 7,
      routes: this.routes.map(route => ({ host: HOST, kind: 'unsafe', timeoutMs: 3000, service: SERVICE, attempts: 3, stretch: 4, targetDurationMs: 3000, priority: 1, ...route })),
      services: [{ name: SERVICE, healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, enforcesCapacity: false, spare: false }],
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
    })
    // The executors write at different times.
    this.heartbeat = setInterval(() => this.#writeNextEntries(), HEARTBEAT_PHASE_MS)
    const network = randomBytes(2)
    for (let index = 0; index < instanceCount; index += 1) {
      const host = `127.${64 + network[0] % 128}.${network[1]}.${index + 1}`
      const [front, ready, control, link] = await freePorts(host, 4)
      const storePath = await new Path(this.store.address).listen()
      const instance = { name: `front-${index + 1}`, host, front: `${host}:${front}`, ready: `${host}:${ready}`, storePath, settings: join(this.#directory, `front-${index + 1}.toml`), log: join(this.#directory, `front-${index + 1}.log`) }
      writeFileSync(instance.settings, settingsText(instance, { control, link, cores, zone: ZONES[index % ZONES.length], first: index === 0 }))
      this.instances.push(instance)
      this.#launch(instance)
    }
    for (const instance of this.instances) await this.#waitUntilReady(instance)
    this.note(`${instanceCount} processes are ready; the acting scheduler is ${await this.findActing()}`)
  }

  /** Adds an executor; `machine` names the machine that it is a life of. With `hasPath`, all calls to it pass a proxy. */
  async addExecutor (options) {
    const executor = await new Executor({ service: SERVICE, zone: ZONES[this.executors.length % ZONES.length], journal: this.journal, ...options }).listen()
    if (options.hasPath === true) executor.path = await new Path(executor.address).listen()
    this.executors.push(executor)
    this.writeEntry(executor)
    return executor
  }

  /** Starts a thread with executors of its own; the specification of a task names its work in milliseconds. */
  addExecutorThread (executors) {
    const thread = { running: 0, worker: new Worker(new URL('executorThread.mjs', import.meta.url), { workerData: { executors: executors.map(options => ({ service: SERVICE, ...options })) } }) }
    this.threads.push(thread)
    thread.worker.on('message', ({ kind, id, value, entries, running }) => {
      if (kind === 'entry') this.store.put('keyed.servers', id, value)
      else {
        thread.running = running
        for (const entry of entries) this.journal.push({ ...entry, at: entry.at - performance.timeOrigin })
      }
    })
  }

  writeEntry (executor) {
    if (executor.isUp && executor.isRegistered !== false) this.store.put('keyed.servers', executor.id, executor.entry(executor.path?.address))
  }

  #writeNextEntries () {
    const phases = HEARTBEAT_MS / HEARTBEAT_PHASE_MS
    this.#phase = (this.#phase + 1) % phases
    this.executors.forEach((executor, index) => {
      if (7 * index % phases === this.#phase) this.writeEntry(executor)
    })
  }

  /** Kills a process of the system; the platform starts it again after a short delay. */
  kill (instance, delayMs = 500) {
    instance.child.kill('SIGKILL')
    setTimeout(() => this.#launch(instance), delayMs)
  }

  /** Sends a consumer's request to a process. A consumer keeps a channel to each. */
  async request (instance, method, path, body) {
    const agent = this.#agents.get(instance) ?? newAgent()
    this.#agents.set(instance, agent)
    const sentAt = performance.now()
    const answer = await call(instance.front, { method, path, body, agent, timeoutMs: 4000, headers: { host: HOST, 'content-type': 'application/json', 'vanillaturn-deadline-ms': '3000' } })
    const entry = { sentAt, answeredAt: performance.now(), instance: instance.name, method, path, ...answer }
    this.calls.push(entry)
    return entry
  }

  /** Returns the name of the process whose metrics say that it acts as the scheduler; for the record and for the choice of processes only. */
  async findActing () {
    for (const instance of this.instances) {
      const { status, body } = await call(instance.metrics, { method: 'GET', path: '/metrics', timeoutMs: 1000 })
      if (status === 200 && /^\S*acting\S* 1$/m.test(body)) return instance.name
    }
    return 'none'
  }

  /** Waits until a process acts as the scheduler; returns it. */
  async acting (timeoutMs = 10_000) {
    const deadline = performance.now() + timeoutMs
    while (performance.now() < deadline) {
      const name = await this.findActing()
      const instance = this.instances.find(candidate => candidate.name === name)
      if (instance !== undefined) return instance
      await pause(50)
    }
    throw new Error('no process acts as the scheduler')
  }

  /** Writes record.txt and ends all processes. Returns the exit code. */
  finish (verdict, text) {
    clearInterval(this.heartbeat)
    this.note(text)
    const calls = this.calls.map(entry => [entry.answeredAt, `consumer ${entry.method} ${entry.path} at ${entry.instance}, sent ${this.seconds(entry.sentAt)}: ${entry.status === 0 ? `no answer (${entry.reason})` : `${entry.status} ${entry.body.slice(0, 80)}`}`])
    const runs = this.journal.map(entry => [entry.at, `executor ${entry.executor} ${entry.kind} ${entry.task === undefined ? '' : `${entry.task} run ${entry.run} ${entry.how ?? ''}`}${entry.running === undefined ? '' : entry.running.join(' ')}`])
    const lines = [...calls, ...runs].sort((left, right) => left[0] - right[0]).map(([at, line]) => `${this.seconds(at).padStart(8)} ${line}`)
    writeFileSync(this.recordPath, [...this.#lines, '', 'what was sent, answered and run', ...lines, ''].join('\n'))
    process.stdout.write(this.#lines.join('\n') + '\n')
    for (const instance of this.instances) {
      instance.isClosed = true
      instance.child.kill('SIGKILL')
      instance.storePath.close()
    }
    for (const executor of this.executors) {
      executor.path?.close()
      executor.close()
    }
    this.store.close()
    if (process.env.KEEP === undefined) rmSync(this.#directory, { recursive: true, force: true })
    else process.stdout.write(`logs: ${this.#directory}\n`)
    process.exit(verdict)
  }

  #launch (instance) {
    if (instance.isClosed) return
    const [program, ...words] = deployCommand()
    const output = openSync(instance.log, 'a')
    instance.child = spawn(program === 'node' ? process.execPath : program, words, { cwd: ROOT, stdio: ['ignore', output, output], env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C', VANILLATURN_BOOT: instance.settings } })
    closeSync(output)
    instance.child.once('exit', (code, signal) => {
      if (instance.isClosed) return
      instance.exits = (instance.exits ?? 0) + (signal === 'SIGKILL' ? 0 : 1)
      this.note(`${instance.name} has ended: ${signal ?? code}`)
      if (signal !== 'SIGKILL') setTimeout(() => this.#launch(instance), 500)
    })
  }

  async #waitUntilReady (instance) {
    const deadline = performance.now() + 20_000
    while (performance.now() < deadline) {
      const { status } = await call(instance.ready, { method: 'GET', path: '/v1/ready', timeoutMs: 1000 })
      if (status === 200) return
      await pause(50)
    }
    throw new Error(`${instance.name} is not ready`)
  }
}

function settingsText (instance, { control, link, cores, zone, first }) {
  instance.metrics = `${instance.host}:${link + 1}`
  return `node = "${instance.name}"
role = "entry"
class = "front"
serves = ["front"]
ip = "${instance.host}"
zone = "${zone}"
region = "oman-north"
portRange = [${link}, ${link + 15}]
seeds = []
bootstrap = ${first}
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = ${HEARTBEAT_MS}
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
advice = ""
[zones]
muscat-a = "oman-north"
muscat-b = "oman-north"
sohar = "oman-north"
[listen]
front = "${instance.front}"
ready = "${instance.ready}"
control = "${instance.host}:${control}"
[limits]
cpuShare = 0.675
cores = ${cores}
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
recoverS = 12
holdMaxMs = 6000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 1.5
saveS = 2
restoreMs = 600
noticeMs = 4500
moveS = 1.5
upkeepS = 2
fencing = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
[platform]
addr = "${instance.storePath.address}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`
}

export function newId () {
  return randomBytes(8).toString('hex')
}
