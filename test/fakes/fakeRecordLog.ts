import { RecordLog, type AppendOptions, type AppendOutcome, type KeyedRecord, type ReadOutcome, type SnapshotOutcome, type StoredRecord } from '../../src/cluster/recordLog.js'

/** Fault of the log: none, appends are stored without a response, calls time out without effect, or calls are refused. */
export type LogFault = 'none' | 'answerLost' | 'silent' | 'refused'

/** Number of a writer's latest appends for which a repeat is acknowledged without being stored again. */
const REMEMBERED_APPENDS = 5

interface FakePartition {
  readonly records: StoredRecord[]
  readonly waiters: Set<() => void>
  /** First retained offset. */
  first: number
}

/** Keyed topics in memory, with fenced writers. Responses take a fixed time on the paused clock. */
export class FakeRecordLog extends RecordLog {
  fault: LogFault = 'none'
  appends = 0
  /** Delay before an append takes effect, in milliseconds. */
  appendMilliseconds = 0
  private readonly partitions = new Map<string, FakePartition>()
  private readonly writers = new Map<string, { term: number, sequence: number }>()

  constructor (public responseMilliseconds = 5, private readonly timeoutMilliseconds = 1000) {
    super()
  }

  /** Returns the latest value of a key. */
  latestValue (topic: string, key: string): Uint8Array | undefined {
    return [...this.partitions].filter(([name]) => name.startsWith(`${topic}/`)).flatMap(([, partition]) => partition.records).findLast(record => record.key === key)?.value
  }

  /** Expires all records before the current end. The latest record of each key stays readable as a snapshot. */
  compactTopic (topic: string): void {
    const partition = this.partition(topic, 0)
    partition.first = partition.records.length
  }

  /** Writes a record without fencing, as an operator or a worker does. */
  write (topic: string, key: string, value: Uint8Array | undefined): void {
    this.store(this.partition(topic, 0), [{ key, value }])
  }

  override async append (topic: string, partitionNumber: number, records: readonly KeyedRecord[], options: AppendOptions = {}): Promise<AppendOutcome> {
    this.appends += 1
    if (this.fault === 'refused') return await this.respond({ kind: 'refused', reason: 'status 503' })
    if (this.fault === 'silent') return await after(this.timeoutMilliseconds, { kind: 'unknown', reason: 'timed out' })
    if (this.appendMilliseconds > 0) await after(this.appendMilliseconds, undefined)
    const outcome = this.appendNow(this.partition(topic, partitionNumber), topic, records, options)
    if (this.fault === 'answerLost') return await after(this.timeoutMilliseconds, { kind: 'unknown', reason: 'timed out' })
    return await this.respond(outcome)
  }

  override async read (topic: string, partitionNumber: number, from: number, waitMilliseconds: number): Promise<ReadOutcome> {
    if (this.fault === 'silent') return await after(this.timeoutMilliseconds + waitMilliseconds, { kind: 'unavailable', reason: 'timed out' })
    if (this.fault === 'refused') return await this.respond({ kind: 'unavailable', reason: 'status 503' })
    const partition = this.partition(topic, partitionNumber)
    if (from < partition.first) return await this.respond({ kind: 'expired', first: partition.first })
    if (from >= partition.records.length) await this.waitForRecord(partition, waitMilliseconds)
    const records = partition.records.slice(from)
    return await this.respond({ kind: 'records', records, next: from + records.length })
  }

  override async snapshot (topic: string, partitionNumber: number): Promise<SnapshotOutcome> {
    if (this.fault === 'silent') return await after(this.timeoutMilliseconds, { kind: 'unavailable', reason: 'timed out' })
    if (this.fault === 'refused') return await this.respond({ kind: 'unavailable', reason: 'status 503' })
    const partition = this.partition(topic, partitionNumber)
    const latest = new Map(partition.records.map(record => [record.key, record]))
    return await this.respond({ kind: 'snapshot', records: [...latest.values()].filter(record => record.value !== undefined), end: partition.records.length })
  }

  private appendNow (partition: FakePartition, topic: string, records: readonly KeyedRecord[], options: AppendOptions): AppendOutcome {
    if (options.atOffset !== undefined && options.atOffset !== partition.records.length) return { kind: 'conflict', end: partition.records.length }
    if (options.writer !== undefined) {
      const key = `${topic}/${options.writer.name}`
      const latest = this.writers.get(key)
      const { term, sequence } = options.writer
      if (latest !== undefined && term < latest.term) return { kind: 'fenced' }
      if (latest !== undefined && term === latest.term) {
        if (sequence <= latest.sequence && sequence > latest.sequence - REMEMBERED_APPENDS) return { kind: 'stored', end: partition.records.length }
        if (sequence !== latest.sequence + 1) return { kind: 'outOfSequence', expected: latest.sequence + 1 }
      }
      this.writers.set(key, { term, sequence })
    }
    this.store(partition, records)
    return { kind: 'stored', end: partition.records.length }
  }

  private store (partition: FakePartition, records: readonly KeyedRecord[]): void {
    for (const record of records) partition.records.push({ ...record, offset: partition.records.length })
    if (records.length === 0) return
    for (const wake of [...partition.waiters]) wake()
  }

  private partition (topic: string, number: number): FakePartition {
    const key = `${topic}/${number}`
    let partition = this.partitions.get(key)
    if (partition === undefined) {
      partition = { records: [], waiters: new Set(), first: 0 }
      this.partitions.set(key, partition)
    }
    return partition
  }

  private async waitForRecord (partition: FakePartition, milliseconds: number): Promise<void> {
    await new Promise<void>(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        partition.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, milliseconds)
      partition.waiters.add(wake)
    })
  }

  private async respond<T> (outcome: T): Promise<T> {
    return await after(this.responseMilliseconds, outcome)
  }
}

async function after<T> (milliseconds: number, value: T): Promise<T> {
  return await new Promise(resolve => setTimeout(() => resolve(value), milliseconds))
}
