import type { AppendOptions, AppendOutcome, StoredRecord } from '../../src/cluster/recordLog.js'
import type { FakeRecordLog } from '../fakes/fakeRecordLog.js'
import { decodeRecords, encodeRecords, READ_HEADER_BYTES } from '../../platform/logClient.js'
import { LoopbackStandin, type StandinResponse, type StandinRequest } from './loopbackStandin.js'

/** Largest number of items on a page of newest records. */
const PAGE_ITEMS = 500
const DEFAULT_READ_KILOBYTES = 1024
const UNAVAILABLE: StandinResponse = { status: 503, body: {} }

/** Rewrites the value of a record for one reader. */
export type RewriteValue = (topic: string, record: StoredRecord) => Uint8Array | undefined

/** Stand-in of the platform's log over HTTP for one instance. */
export class LogStandin extends LoopbackStandin {
  constructor (private readonly log: FakeRecordLog, private readonly rewriteValue: RewriteValue) {
    super()
  }

  protected override async handle ({ url, body }: StandinRequest): Promise<StandinResponse> {
    const topic = url.searchParams.get('topic') ?? ''
    const partition = Number(url.searchParams.get('part'))
    switch (url.pathname) {
      case '/v1/log-append': return encodeAppendOutcome(await this.log.append(topic, partition, decodeRecords(body, 0), appendOptions(url.searchParams)))
      case '/v1/log-read': return await this.read(topic, partition, url.searchParams)
      case '/v1/log-newest': return await this.newest(topic, partition, url.searchParams.get('after') ?? '')
      default: return { status: 404, body: {} }
    }
  }

  private async read (topic: string, partition: number, query: URLSearchParams): Promise<StandinResponse> {
    const outcome = await this.log.read(topic, partition, Number(query.get('from')), Number(query.get('waitMs')))
    if (outcome.kind === 'unavailable') return UNAVAILABLE
    if (outcome.kind === 'expired') return { status: 410, body: { first: outcome.first } }
    const header = Buffer.alloc(READ_HEADER_BYTES)
    header.writeBigUInt64BE(BigInt(outcome.next))
    const parts: Buffer[] = [header]
    let remainingBytes = 1024 * Number(query.get('maxKb') ?? DEFAULT_READ_KILOBYTES)
    for (const record of outcome.records) {
      const bytes = encodeRecords([{ key: record.key, value: this.rewriteValue(topic, record) }])
      remainingBytes -= bytes.length
      if (remainingBytes < 0) break
      parts.push(bytes)
    }
    return { status: 200, body: Buffer.concat(parts) }
  }

  private async newest (topic: string, partition: number, after: string): Promise<StandinResponse> {
    const outcome = await this.log.snapshot(topic, partition)
    if (outcome.kind === 'unavailable') return UNAVAILABLE
    const records = outcome.records.filter(record => record.key > after).sort((left, right) => left.key < right.key ? -1 : 1)
    const items = records.slice(0, PAGE_ITEMS).map(record => ({ key: record.key, value: Buffer.from(this.rewriteValue(topic, record) ?? []).toString('base64'), offset: record.offset }))
    return { status: 200, body: { items, more: records.length > PAGE_ITEMS, end: outcome.end } }
  }
}

function appendOptions (query: URLSearchParams): AppendOptions {
  const at = query.get('at')
  const name = query.get('producer')
  return {
    atOffset: at === null ? undefined : Number(at),
    writer: name === null ? undefined : { name, term: Number(query.get('epoch')), sequence: Number(query.get('sequence')) }
  }
}

function encodeAppendOutcome (outcome: AppendOutcome): StandinResponse {
  switch (outcome.kind) {
    case 'stored': return { status: 200, body: { end: outcome.end } }
    case 'conflict': return { status: 412, body: { end: outcome.end } }
    case 'fenced': return { status: 409, body: { reason: 'fenced' } }
    case 'outOfSequence': return { status: 409, body: { reason: 'seq', sequence: outcome.expected } }
    case 'unknown': return { status: 504, body: {} }
    case 'refused': return UNAVAILABLE
  }
}
