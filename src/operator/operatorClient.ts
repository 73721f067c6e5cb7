import { randomUUID } from 'node:crypto'
import { Agent, request } from 'undici'
import { delay } from '../base/delay.js'
import { RECORD_SCHEMA_VERSION, CONFIGURATION_STREAM, recordBodySchema, type RecordEnvelope, type StoredRecord } from '../contracts/records.js'
import { HttpPlatformLog } from '../links/platformLog.js'
import { ConfigurationHistory, type PublishOutcome } from '../zones/configurationHistory.js'

const READ_LIMIT = 500
const APPEND_ATTEMPTS = 10
const RETRY_MILLISECONDS = 300

/** What became of a publish that was asked for. */
export type PublishResult = PublishOutcome | { readonly kind: 'unknown', readonly reason: string }

/** Operators' access to the platform's log and to entry instances. */
export class OperatorClient {
  private readonly agent = new Agent({ connections: 4 })
  private readonly log: HttpPlatformLog

  constructor (platformAddress: string, private readonly entryAddresses: readonly string[], private readonly token: string) {
    this.log = new HttpPlatformLog(platformAddress, this.agent)
  }

  /** Publishes a text made from `baseRevision` and returns what the order of the log decided. */
  async publish (text: string, baseRevision: number, publisher: string): Promise<PublishResult> {
    const identity = randomUUID()
    const body = { type: 'configurationPublished' as const, baseRevision, text, publisher }
    const record: RecordEnvelope = { identity, schemaVersion: RECORD_SCHEMA_VERSION, writer: publisher, logicalTime: 0, body }
    const reason = await this.append(record)
    const { outcome } = await this.readHistory(identity).catch(() => ({ outcome: undefined }))
    if (outcome !== undefined) return outcome
    return { kind: 'unknown', reason: reason ?? 'the record was not found in the log' }
  }

  /** Reads the text that the log has decided. */
  async readConfiguration (): Promise<{ revision: number, source: string }> {
    const { history } = await this.readHistory('')
    return { revision: history.inForce?.revision ?? 0, source: history.inForce?.source ?? '' }
  }

  /** Asks every entry instance; an unreachable one answers undefined. */
  async askAll (path: string): Promise<Array<{ address: string, status: number, body: Record<string, unknown> | undefined }>> {
    return await Promise.all(this.entryAddresses.map(async address => {
      try {
        const answer = await request(`${address}${path}`, { headers: { authorization: `Bearer ${this.token}` }, dispatcher: this.agent, headersTimeout: 3000, bodyTimeout: 3000 })
        return { address, status: answer.statusCode, body: await answer.body.json() as Record<string, unknown> }
      } catch {
        return { address, status: 0, body: undefined }
      }
    }))
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  /** Appends until confirmed; returns the reason of the last failure, or undefined. */
  private async append (record: RecordEnvelope): Promise<string | undefined> {
    let reason: string | undefined
    for (let attempt = 0; attempt < APPEND_ATTEMPTS; attempt += 1) {
      try {
        await this.log.append(CONFIGURATION_STREAM, [record])
        return undefined
      } catch (error) {
        reason = error instanceof Error ? error.message : String(error)
        await delay(RETRY_MILLISECONDS)
      }
    }
    return reason
  }

  private async readHistory (identity: string): Promise<{ history: ConfigurationHistory, outcome: PublishOutcome | undefined }> {
    const history = new ConfigurationHistory()
    const seen = new Set<string>()
    let outcome: PublishOutcome | undefined
    for (let from = 0; ;) {
      const answer = await this.log.read(CONFIGURATION_STREAM, from, READ_LIMIT, 0)
      if (answer.retainedFrom > from) history.markTruncated(answer.retainedFrom)
      for (const { offset, record } of answer.records) {
        from = offset + 1
        const body = recordBodySchema.safeParse(record.body)
        if (seen.has(record.identity) || !body.success) continue
        seen.add(record.identity)
        const stored: StoredRecord = { offset, identity: record.identity, writer: record.writer, logicalTime: record.logicalTime, body: body.data }
        const decided = history.apply(stored)
        if (record.identity === identity) outcome = decided
      }
      if (from >= answer.nextOffset || answer.records.length === 0) return { history, outcome }
    }
  }
}
