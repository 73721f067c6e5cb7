import { randomBytes } from 'node:crypto'
import { serve } from './http.mjs'

const HOLD_MAX_MS = 6000
const STOP_MS = 200
const LISTED_ENDS = 500
const LONGEST_WAIT_MS = 2000
const SAVE_MS = 2000

/**
 * Stand-in of an executor with `orders = "rpc"`, as PROTOCOL.md describes it. `workMs(task, spec)` gives the work of a task in milliseconds.
 * It appends to `journal` what it does: { at, kind: 'start' | 'end' | 'noted' | 'lapse' | 'crash', executor, ... }.
 */
export class Executor {
  #server
  #waiters = new Set()
  #stopped = new Map()
  #fence = 0
  #endCount = 0
  #noted = 0
  #leaseEnd = 0
  #ended = []
  #bornAt = performance.now()
  running = new Map()
  isUp = true
  state = 'ready'
  sequence = 0

  constructor ({ machine, service, zone, room, labels, workMs, saves = () => false, journal }) {
    this.id = `i-${randomBytes(4).toString('hex')}`
    this.born = Date.now()
    Object.assign(this, { machine, service, zone, room, labels, workMs, saves, journal })
    this.leaseTimer = setInterval(() => this.#checkLease(), 20)
  }

  async listen () {
    this.#server = await serve(request => this.#handle(request))
    return this
  }

  get address () {
    return this.#server.address
  }

  get clockMs () {
    return performance.now() - this.#bornAt
  }

  /** The executor's entry in the store. */
  entry (address = this.address) {
    this.sequence += 1
    return { service: this.service, addr: address, zone: this.zone, version: 'v1', slots: 8, state: this.state, coldLeftMs: 0, room: this.room, labels: this.labels, machine: this.machine, born: this.born, clockMs: Math.round(this.clockMs), sequence: this.sequence }
  }

  /** The process crashes: everything that runs is lost, its address refuses connections. */
  crash () {
    if (!this.isUp) return
    this.isUp = false
    clearInterval(this.leaseTimer)
    for (const run of this.running.values()) clearTimeout(run.timer)
    this.#log({ kind: 'crash', running: [...this.running.values()].map(({ task, run }) => `${task}/${run}`) })
    this.running.clear()
    this.#server.close()
    for (const wake of [...this.#waiters]) wake()
  }

  close () {
    this.crash()
  }

  #log (entry) {
    this.journal.push({ at: performance.now(), executor: this.id, ...entry })
  }

  async #handle ({ url, headers, body }) {
    if (!this.isUp) return undefined
    if (headers['vanillaturn-target-instance'] !== this.id) return { status: 421, body: {} }
    if (url.pathname === '/healthz') return { status: 200, body: {} }
    const order = JSON.parse(body.toString())
    const fence = order.fence ?? 0
    if (fence < this.#fence) return this.#reject('fence')
    this.#fence = fence
    this.#checkLease()
    switch (url.pathname) {
      case '/v1/hold': return await this.#hold(order)
      case '/v1/run-start': return this.#start(order)
      case '/v1/run-stop': return this.#stop(order)
      case '/v1/pace': return { status: 200, body: { clockMs: this.#clock() } }
      default: return { status: 404, body: {} }
    }
  }

  #clock () {
    return Math.round(this.clockMs)
  }

  #reject (reason) {
    return { status: 409, body: { clockMs: this.#clock(), reason } }
  }

  async #hold ({ expiresAtMs, seenUpto = 0, waitMs = 0 }) {
    if (expiresAtMs !== undefined) this.#extend(expiresAtMs)
    if (seenUpto > this.#noted) {
      for (const end of this.#ended) if (end[0] <= seenUpto) this.#log({ kind: 'noted', task: end[1], run: end[2], how: end[3], number: end[0] })
      this.#ended = this.#ended.filter(([number]) => number > seenUpto)
      this.#noted = seenUpto
    }
    if (waitMs > 0 && this.#ended.length === 0) await this.#waitForEnd(Math.min(waitMs, LONGEST_WAIT_MS))
    if (!this.isUp) return undefined
    this.#checkLease()
    const running = [...this.running.values()].map(run => [run.task, run.run, this.#checkpointOf(run), Math.min(99, Math.floor(100 * this.#worked(run) / run.workMs)), 0])
    return { status: 200, body: { clockMs: this.#clock(), born: this.born, running, ended: this.#ended.slice(0, LISTED_ENDS) } }
  }

  #start ({ task, run, spec, expiresAtMs, checkpointId = '' }) {
    if (expiresAtMs <= this.clockMs) return this.#reject('late')
    this.#extend(expiresAtMs)
    const current = this.running.get(task)
    if (current?.run === run) return { status: 200, body: { clockMs: this.#clock() } }
    if (run <= (this.#stopped.get(task) ?? 0) || current !== undefined) return this.#reject('old')
    const workMs = this.workMs(task, spec)
    const resumedMs = checkpointId === '' ? 0 : Number.parseInt(checkpointId, 16)
    const state = { task, run, workMs, resumedMs, startedAt: performance.now() }
    state.timer = setTimeout(() => this.#end(state, 'done'), Math.max(0, workMs - resumedMs))
    this.running.set(task, state)
    this.#log({ kind: 'start', task, run, spec, checkpointId })
    return { status: 200, body: { clockMs: this.#clock() } }
  }

  #stop ({ task, run }) {
    this.#stopped.set(task, Math.max(run, this.#stopped.get(task) ?? 0))
    const state = this.running.get(task)
    if (state !== undefined && state.run <= run) setTimeout(() => this.#end(state, 'stopped'), STOP_MS)
    return { status: 200, body: { clockMs: this.#clock() } }
  }

  #worked (run) {
    return Math.min(run.workMs, run.resumedMs + performance.now() - run.startedAt)
  }

  /** The checkpoint of a run: the work that it has saved, in hexadecimal milliseconds. */
  #checkpointOf (run, isStop = false) {
    if (!this.saves(run.task)) return ''
    const worked = this.#worked(run)
    const saved = Math.max(run.resumedMs, isStop ? worked : worked - worked % SAVE_MS)
    return saved === 0 ? '' : Math.floor(saved).toString(16).padStart(16, '0')
  }

  #end (state, how) {
    if (this.running.get(state.task) !== state || !this.isUp) return
    clearTimeout(state.timer)
    this.running.delete(state.task)
    this.#stopped.set(state.task, Math.max(state.run, this.#stopped.get(state.task) ?? 0))
    this.#endCount += 1
    this.#ended.push([this.#endCount, state.task, state.run, how, how === 'done' ? '' : this.#checkpointOf(state, how === 'stopped')])
    this.#log({ kind: 'end', task: state.task, run: state.run, how, number: this.#endCount })
    for (const wake of [...this.#waiters]) wake()
  }

  #extend (expiresAtMs) {
    this.#leaseEnd = Math.max(this.#leaseEnd, Math.min(expiresAtMs, this.clockMs + HOLD_MAX_MS))
  }

  #checkLease () {
    if (!this.isUp || this.running.size === 0 || this.clockMs < this.#leaseEnd) return
    this.#log({ kind: 'lapse' })
    for (const state of [...this.running.values()]) this.#end(state, 'lapsed')
  }

  async #waitForEnd (milliseconds) {
    await new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this.#waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, milliseconds)
      this.#waiters.add(wake)
    })
  }
}
