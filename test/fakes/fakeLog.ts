import type { AppendAnswer, ReadAnswer } from '../../src/contracts/platformProtocol.js'
import type { RecordEnvelope } from '../../src/contracts/records.js'
import { PlatformLog } from '../../src/links/platformLog.js'
import { PLATFORM, type Network } from './network.js'
import type { SimulatedProcess } from './pausedClock.js'

const CALL_TIMEOUT_MILLISECONDS = 3000

/** State of the platform's log with its faults. */
export class FakeLog {
  /** All records ever appended, by stream. */
  readonly streams = new Map<string, RecordEnvelope[]>()
  down = false
  slowMilliseconds = 0
  /** Appends whose answer is lost after they took effect. */
  responsesToLose = 0
  retainedRecords = Infinity
  private readonly waiting = new Set<() => void>()

  append (stream: string, records: readonly RecordEnvelope[]): AppendAnswer {
    if (this.down) throw new Error('the log is down')
    const recordsOf = this.recordsOf(stream)
    const firstOffset = recordsOf.length
    recordsOf.push(...structuredClone(records) as RecordEnvelope[])
    for (const wake of [...this.waiting]) wake()
    return { firstOffset, nextOffset: recordsOf.length }
  }

  read (stream: string, from: number, limit: number): ReadAnswer {
    if (this.down) throw new Error('the log is down')
    const recordsOf = this.recordsOf(stream)
    const retainedFrom = Math.max(0, recordsOf.length - this.retainedRecords)
    const start = Math.max(from, retainedFrom)
    const records = recordsOf.slice(start, start + limit).map((record, index) => ({ offset: start + index, record: structuredClone(record) }))
    return { retainedFrom, nextOffset: recordsOf.length, records }
  }

  /** Resolves at the next append or after a time. */
  async waitForAppend (network: Network, milliseconds: number, signal?: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        this.waiting.delete(finish)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = network.clock.after(milliseconds, finish)
      this.waiting.add(finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  recordsOf (stream: string): RecordEnvelope[] {
    const records = this.streams.get(stream) ?? []
    this.streams.set(stream, records)
    return records
  }
}

/** One process's connection to the log. */
export class FakePlatformLog extends PlatformLog {
  constructor (private readonly log: FakeLog, private readonly network: Network, private readonly self: SimulatedProcess) {
    super()
  }

  override async append (stream: string, records: readonly RecordEnvelope[], signal?: AbortSignal): Promise<AppendAnswer> {
    const loseAnswer = this.log.responsesToLose > 0
    if (loseAnswer) this.log.responsesToLose -= 1
    return await this.network.call(this.self, PLATFORM, () => this.log.append(stream, records), {
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS, extraMilliseconds: this.log.slowMilliseconds, loseResponse: loseAnswer, signal
    })
  }

  override async read (stream: string, from: number, limit: number, waitMilliseconds: number, signal?: AbortSignal): Promise<ReadAnswer> {
    const until = performance.now() + waitMilliseconds
    return await this.network.call(this.self, PLATFORM, async () => {
      let answer = this.log.read(stream, from, limit)
      while (answer.records.length === 0 && performance.now() < until && signal?.aborted !== true) {
        await this.log.waitForAppend(this.network, until - performance.now(), signal)
        answer = this.log.read(stream, from, limit)
      }
      return answer
    }, { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS + waitMilliseconds, extraMilliseconds: this.log.slowMilliseconds, signal })
  }
}
