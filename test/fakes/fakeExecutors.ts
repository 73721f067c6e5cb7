import { Readable } from 'node:stream'
import { ExecutorClient, NOT_RUN_HEADER, type ExecutorResult } from '../../src/links/executorClient.js'
import type { OutgoingRequest } from '../../src/links/outgoingRequest.js'
import type { Network } from './network.js'
import type { SimulatedProcess } from './pausedClock.js'

/** Header with which tests identify a submission of a request; it is forwarded end to end. */
export const SUBMISSION_HEADER = 'test-submission'
/** Fault of an executor for one request. */
export type ExecutorFault = 'refuse' | 'loseAnswer' | 'cutBody' | 'late'
/** Longest run time of a request on an executor, in milliseconds. */
export const MAXIMUM_RUN_MILLISECONDS = 2000

const IDLE_CONNECTION_MILLISECONDS = 4000
const BODY_PADDING = '.'.repeat(500)

/** One request that an executor ran; `endedAt` is undefined while it runs. */
export interface RequestRun {
  readonly submission: string
  readonly from: SimulatedProcess
  readonly startedAt: number
  readonly fault: ExecutorFault | undefined
  endedAt: number | undefined
}

/** The arrival of a request at an executor, which may refuse it. */
export interface RequestArrival {
  readonly from: SimulatedProcess
  readonly at: number
}

/** Returns the response body for a submission, which contains its name. */
export function expectedBody (submission: string): string {
  return `answer to ${submission} ${BODY_PADDING}`
}

/** An executor that runs requests on arrival and records the runs. */
export class FakeExecutor {
  readonly runs: RequestRun[] = []
  readonly arrivals: RequestArrival[] = []
  readonly faults: ExecutorFault[] = []
  serviceMilliseconds = 50
  concurrent = 0
  maximumConcurrent = 0
  connections = 0
  maximumConnections = 0

  constructor (readonly name: string, readonly failureDomain: string) {}

  openConnection (): void {
    this.connections += 1
    this.maximumConnections = Math.max(this.maximumConnections, this.connections)
  }

  /** Runs a request and calls `onEnd` when the run has ended. */
  run (network: Network, submission: string, from: SimulatedProcess, fault: ExecutorFault | undefined, onEnd: () => void): void {
    const run: RequestRun = { submission, from, startedAt: performance.now(), fault, endedAt: undefined }
    this.runs.push(run)
    this.concurrent += 1
    this.maximumConcurrent = Math.max(this.maximumConcurrent, this.concurrent)
    const duration = fault === 'late' ? MAXIMUM_RUN_MILLISECONDS : Math.min(MAXIMUM_RUN_MILLISECONDS, 1 + network.random.integerBelow(2 * this.serviceMilliseconds))
    network.clock.after(duration, () => {
      this.concurrent -= 1
      run.endedAt = performance.now()
      onEnd()
    })
  }
}

/** The connections of one process to the executors. The address of an executor is its name. */
export class FakeExecutorClient extends ExecutorClient {
  private readonly idle = new Map<FakeExecutor, Set<NodeJS.Timeout>>()
  private readonly open = new Map<FakeExecutor, number>()

  constructor (private readonly executors: ReadonlyMap<string, FakeExecutor>, private readonly network: Network, private readonly process: SimulatedProcess) {
    super()
    this.register({ dispose: () => this.closeAll() })
  }

  override async send (address: string, request: OutgoingRequest, timeoutMilliseconds: number, connections: number, signal: AbortSignal, mayStart: () => boolean): Promise<ExecutorResult> {
    const executor = this.executors.get(address) as FakeExecutor
    const submission = String(request.headers[SUBMISSION_HEADER])
    if (!this.takeConnection(executor, address, connections)) return { kind: 'notSent', reason: 'no connection is free' }
    if (!mayStart()) {
      this.returnConnection(executor, true)
      return { kind: 'notSent', reason: 'not started' }
    }
    return await new Promise<ExecutorResult>(resolve => {
      let settled = false
      const settle = (result: ExecutorResult, isReusable: boolean): void => {
        if (settled) return
        settled = true
        clearTimeout(timer)
        this.returnConnection(executor, isReusable)
        this.process.deliver(() => resolve(result))
      }
      const fail = (reason: string, timedOut: boolean): void => settle({ kind: 'mayHaveRun', reason, timedOut }, false)
      const timer = this.network.clock.after(timeoutMilliseconds, () => fail('timed out', true))
      signal.addEventListener('abort', () => fail('aborted', false), { once: true })
      this.network.clock.after(this.network.delayMilliseconds(), () => {
        executor.arrivals.push({ from: this.process, at: performance.now() })
        const fault = executor.faults.shift()
        if (fault === 'refuse') {
          settle({ kind: 'answer', response: { status: 503, headers: { [NOT_RUN_HEADER]: '1' }, body: Readable.from([]) } }, true)
          return
        }
        executor.run(this.network, submission, this.process, fault, () => {
          this.network.clock.after(this.network.delayMilliseconds(), () => {
            if (fault === 'loseAnswer') fail('the connection broke', false)
            else if (!settled) settle({ kind: 'answer', response: { status: 200, headers: { 'content-type': 'text/plain' }, body: this.body(expectedBody(submission), fault) } }, fault !== 'cutBody')
          })
        })
      })
    })
  }

  /** Closes all connections at once, as when the process exits. */
  closeAll (): void {
    for (const [executor, count] of this.open) executor.connections -= count
    this.open.clear()
    for (const timers of this.idle.values()) for (const timer of timers) clearTimeout(timer)
    this.idle.clear()
  }

  private body (text: string, fault: ExecutorFault | undefined): Readable {
    const body = new Readable({ read () {} })
    const half = Math.floor(text.length / 2)
    body.push(text.slice(0, half))
    this.network.clock.after(this.network.delayMilliseconds(), () => this.process.deliver(() => {
      if (fault === 'cutBody') {
        body.destroy(new Error('other side closed'))
        return
      }
      body.push(text.slice(half))
      body.push(null)
    }))
    return body
  }

  override limitConnections (address: string, connections: number): void {
    const executor = this.executors.get(address)
    if (executor === undefined) return
    for (const timer of this.idle.get(executor) ?? []) {
      if ((this.open.get(executor) ?? 0) <= connections) return
      clearTimeout(timer)
      this.idle.get(executor)?.delete(timer)
      this.closeConnection(executor)
    }
  }

  private takeConnection (executor: FakeExecutor, address: string, connections: number): boolean {
    const idle = this.idle.get(executor)
    const [reused] = idle ?? []
    if (reused !== undefined) {
      clearTimeout(reused)
      idle?.delete(reused)
      return true
    }
    if ((this.open.get(executor) ?? 0) >= connections) return false
    executor.openConnection()
    this.open.set(executor, (this.open.get(executor) ?? 0) + 1)
    this.didChangeConnections.fire({ address, open: this.open.get(executor) ?? 0 })
    return true
  }

  private returnConnection (executor: FakeExecutor, isReusable: boolean): void {
    if ((this.open.get(executor) ?? 0) === 0) return
    if (!isReusable) {
      this.closeConnection(executor)
      return
    }
    const idle = this.idle.get(executor) ?? new Set()
    this.idle.set(executor, idle)
    const timer = this.network.clock.after(IDLE_CONNECTION_MILLISECONDS, () => {
      idle.delete(timer)
      this.closeConnection(executor)
    })
    idle.add(timer)
  }

  private closeConnection (executor: FakeExecutor): void {
    executor.connections -= 1
    const open = (this.open.get(executor) ?? 0) - 1
    this.open.set(executor, open)
    const address = [...this.executors].find(([, candidate]) => candidate === executor)?.[0]
    if (address !== undefined) this.process.deliver(() => this.didChangeConnections.fire({ address, open }))
  }
}

/** A client whose peers, the entry instances of other failure domains, are all unreachable. */
export class UnreachablePeers extends ExecutorClient {
  override async send (): Promise<ExecutorResult> {
    return { kind: 'notSent', reason: 'unreachable', unreachable: true }
  }
}
