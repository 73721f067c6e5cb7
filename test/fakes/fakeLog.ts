import type { AppendResponse, ReadResponse } from '../../src/contracts/platformProtocol.js'
import type { RecordEnvelope } from '../../src/contracts/records.js'
import { PlatformLog } from '../../src/links/platformLog.js'
import { PLATFORM, type Network } from './network.js'
import type { SimulatedProcess } from './pausedClock.js'

const CALL_TIMEOUT_MILLISECONDS = 3000

/** The platform's log with injected faults. */
export class FakeLog {
  /** All records that were ever appended, by stream. */
  readonly streams = new Map<string, RecordEnvelope[]>()
  down = false
  slowMilliseconds = 0
  /** Number of next appends that are stored, but whose response is lost. */
  responsesToLose = 0
  retainedRecords = Infinity
  private readonly waiters = new Set<() => void>()

  append (stream: string, records: readonly RecordEnvelope[]): AppendResponse {
    if (this.down) throw new Error('the log is down')
    const all = this.recordsOf(stream)
    const firstOffset = all.length
    all.push(...structuredClone(records) as RecordEnvelope[])
    for (const wake of [...this.waiters]) wake()
    return { firstOffset, nextOffset: all.length }
  }

  read (stream: string, from: number, limit: number): ReadResponse {
    if (this.down) throw new Error('the log is down')
    const all = this.recordsOf(stream)
    const retainedFrom = Math.max(0, all.length - this.retainedRecords)
    const start = Math.max(from, retainedFrom)
    const records = all.slice(start, start + limit).map((record, index) => ({ offset: start + index, record: structuredClone(record) }))
    return { retainedFrom, nextOffset: all.length, records }
  }

  /** Resolves at the next append to any stream, at the timeout or when the signal aborts. */
  async waitForAppend (network: Network, milliseconds: number, signal?: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        this.waiters.delete(finish)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = network.clock.after(milliseconds, finish)
      this.waiters.add(finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  recordsOf (stream: string): RecordEnvelope[] {
    const records = this.streams.get(stream) ?? []
    this.streams.set(stream, records)
    return records
  }
}

/** The client of one process for the log. */
export class FakePlatformLog extends PlatformLog {
  constructor (private readonly log: FakeLog, private readonly network: Network, private readonly process: SimulatedProcess) {
    super()
  }

  override async append (stream: string, records: readonly RecordEnvelope[], signal?: AbortSignal): Promise<AppendResponse> {
    const loseResponse = this.log.responsesToLose > 0
    if (loseResponse) this.log.responsesToLose -= 1
    return await this.network.call(this.process, PLATFORM, () => this.log.append(stream, records), {
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS, extraMilliseconds: this.log.slowMilliseconds, loseResponse, signal
    })
  }

  override async read (stream: string, from: number, limit: number, waitMilliseconds: number, signal?: AbortSignal): Promise<ReadResponse> {
    const until = performance.now() + waitMilliseconds
    return await this.network.call(this.process, PLATFORM, async () => {
      let response = this.log.read(stream, from, limit)
      while (response.records.length === 0 && performance.now() < until && signal?.aborted !== true) {
        await this.log.waitForAppend(this.network, until - performance.now(), signal)
        response = this.log.read(stream, from, limit)
      }
      return response
    }, { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS + waitMilliseconds, extraMilliseconds: this.log.slowMilliseconds, signal })
  }
}
