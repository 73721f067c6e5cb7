import { randomUUID } from 'node:crypto'
import { Agent, request } from 'undici'
import { delay } from '../base/delay.js'
import { LogicalClock } from '../base/logicalClock.js'
import { describeError } from '../base/logger.js'
import { RECORD_SCHEMA_VERSION, CONFIGURATION_STREAM, recordBodySchema, type RecordEnvelope, type StoredRecord } from '../contracts/records.js'
import { AppendRefusedError, HttpPlatformLog } from '../links/platformLog.js'
import { ConfigurationHistory, type PublishOutcome } from '../zones/configurationHistory.js'
import { instanceStatusSchema, type StatusResponse } from './statusReport.js'

const READ_LIMIT = 500
const APPEND_ATTEMPTS = 10
const RETRY_MILLISECONDS = 300
const CALL_TIMEOUT_MILLISECONDS = 3000
const IN_FORCE_POLL_MILLISECONDS = 200

/** What became of a publish that was asked for. `notSent` means that the log has certainly not taken the record; `unknown` that the record may be in it. */
export type PublishResult = PublishOutcome | { readonly kind: 'notSent' | 'unknown', readonly reason: string }

/** Answer of one entry instance; `body` is undefined and `reason` says why if there is none. */
export interface InstanceResponse {
  readonly address: string
  readonly status: number
  readonly body: Record<string, unknown> | undefined
  readonly reason?: string
}

/** A site text by its revision. Revision 0 has no text. */
export interface PublishedConfiguration {
  readonly revision: number
  readonly source: string
}

/** The platform's log did not answer. */
export class LogUnavailableError extends Error {}

/** Operators' access to the platform's log and to entry instances. */
export class OperatorClient {
  private readonly agent = new Agent({ connections: 4 })
  private readonly log: HttpPlatformLog
  private readonly clock = new LogicalClock()

  constructor (private readonly platformAddress: string, private readonly entryAddresses: readonly string[], private readonly token: string) {
    this.log = new HttpPlatformLog(platformAddress, this.agent)
  }

  /** Publishes a text made from `baseRevision` and returns what the order of the log decided. */
  async publish (text: string, baseRevision: number, publisher: string): Promise<PublishResult> {
    const identity = randomUUID()
    // Reading first gives the record a logical time after those of the records that the operator may have seen.
    await this.readHistory('').catch(() => undefined)
    const body = { type: 'configurationPublished' as const, baseRevision, text, publisher }
    const record: RecordEnvelope = { identity, schemaVersion: RECORD_SCHEMA_VERSION, writer: publisher, logicalTime: this.clock.tick(), body }
    const failure = await this.append(record)
    if (failure?.sent === false) return { kind: 'notSent', reason: failure.reason }
    const outcome = await this.readHistory(identity).then(history => history.outcome, () => undefined)
    return outcome ?? { kind: 'unknown', reason: failure?.reason ?? 'the record was not found in the log' }
  }

  /** Reads the text that the log has decided, or that of an earlier revision; undefined if the log no longer keeps that revision. Throws `LogUnavailableError`. */
  async readConfiguration (revision?: number): Promise<PublishedConfiguration | undefined> {
    const { history, texts } = await this.readHistory('')
    if (revision !== undefined) return texts.get(revision)
    return { revision: history.inForce?.revision ?? 0, source: history.inForce?.source ?? '' }
  }

  /** Asks every entry instance. */
  async queryAll (path: string): Promise<InstanceResponse[]> {
    return await Promise.all(this.entryAddresses.map(async address => {
      try {
        const answer = await request(`${address}${path}`, { headers: { authorization: `Bearer ${this.token}` }, dispatcher: this.agent, headersTimeout: CALL_TIMEOUT_MILLISECONDS, bodyTimeout: CALL_TIMEOUT_MILLISECONDS })
        return { address, status: answer.statusCode, body: await answer.body.json() as Record<string, unknown> }
      } catch (error) {
        return { address, status: 0, body: undefined, reason: `unreachable (${describeError(error)})` }
      }
    }))
  }

  /** Asks every entry instance for its status. */
  async readStatus (): Promise<StatusResponse[]> {
    return (await this.queryAll('/operator/status')).map(({ address, status, body, reason }) => {
      if (body === undefined) return { address, status: undefined, reason }
      if (status === 401) return { address, status: undefined, reason: 'the operator token is refused' }
      const parsed = instanceStatusSchema.safeParse(body)
      return parsed.success ? { address, status: parsed.data } : { address, status: undefined, reason: 'the answer is not understood; is it an entry instance of this version?' }
    })
  }

  /** Waits up to `waitMilliseconds` until every instance that can be reached has `revision` in force; returns the last answers. */
  async waitUntilInForce (revision: number, waitMilliseconds: number): Promise<StatusResponse[]> {
    const deadline = performance.now() + waitMilliseconds
    for (;;) {
      const answers = await this.readStatus()
      const reached = answers.flatMap(answer => answer.status ?? [])
      if (reached.length > 0 && reached.every(status => status.revision >= revision)) return answers
      if (performance.now() >= deadline) return answers
      await delay(IN_FORCE_POLL_MILLISECONDS)
    }
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  /** Appends until confirmed; returns undefined, or why it failed and whether the record may have been taken. */
  private async append (record: RecordEnvelope): Promise<{ reason: string, sent: boolean } | undefined> {
    let reason = ''
    let sent = false
    for (let attempt = 0; attempt < APPEND_ATTEMPTS; attempt += 1) {
      try {
        await this.log.append(CONFIGURATION_STREAM, [record])
        return undefined
      } catch (error) {
        reason = describeError(error)
        sent = sent || !(error instanceof AppendRefusedError)
        await delay(RETRY_MILLISECONDS)
      }
    }
    return { reason: `the platform's log at ${this.platformAddress} has not confirmed the record: ${reason}`, sent }
  }

  private async readHistory (identity: string): Promise<{ history: ConfigurationHistory, outcome: PublishOutcome | undefined, texts: ReadonlyMap<number, PublishedConfiguration> }> {
    const history = new ConfigurationHistory()
    const texts = new Map<number, PublishedConfiguration>()
    const seen = new Set<string>()
    let outcome: PublishOutcome | undefined
    for (let from = 0; ;) {
      const answer = await this.read(from)
      if (answer.retainedFrom > from) history.markTruncated(answer.retainedFrom)
      for (const { offset, record } of answer.records) {
        from = offset + 1
        this.clock.observe(record.logicalTime)
        const body = recordBodySchema.safeParse(record.body)
        if (seen.has(record.identity) || !body.success) continue
        seen.add(record.identity)
        const stored: StoredRecord = { offset, identity: record.identity, writer: record.writer, logicalTime: record.logicalTime, body: body.data }
        const decided = history.apply(stored)
        if (record.identity === identity) outcome = decided
        const { inForce } = history
        if (inForce !== undefined && !texts.has(inForce.revision)) texts.set(inForce.revision, { revision: inForce.revision, source: inForce.source })
      }
      if (from >= answer.nextOffset || answer.records.length === 0) return { history, outcome, texts }
    }
  }

  private async read (from: number): ReturnType<HttpPlatformLog['read']> {
    try {
      return await this.log.read(CONFIGURATION_STREAM, from, READ_LIMIT, 0)
    } catch (error) {
      throw new LogUnavailableError(`the platform's log at ${this.platformAddress} does not answer: ${describeError(error)}`)
    }
  }
}
