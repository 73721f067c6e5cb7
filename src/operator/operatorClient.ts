import { randomUUID } from 'node:crypto'
import { Agent, request } from 'undici'
import { delay } from '../base/delay.js'
import { LogicalClock } from '../base/logicalClock.js'
import { describeError } from '../base/logger.js'
import { RECORD_SCHEMA_VERSION, CONFIGURATION_STREAM, recordBodySchema, type RecordEnvelope, type StoredRecord } from '../contracts/records.js'
import { AppendRefusedError, HttpPlatformLog } from '../links/platformLog.js'
import { ConfigurationHistory, type PublishOutcome } from '../zones/configurationHistory.js'
import { instanceStatusSchema, type StatusResponse } from './statusReport.js'

const READ_LIMIT_RECORDS = 500
const MAXIMUM_APPEND_ATTEMPTS = 10
const RETRY_DELAY_MILLISECONDS = 300
const CALL_TIMEOUT_MILLISECONDS = 3000
const IN_FORCE_POLL_INTERVAL_MILLISECONDS = 200

/** Result of a publish. `notSent` means that the log has certainly not stored the record, `unknown` that it may be stored. */
export type PublishResult = PublishOutcome | { readonly kind: 'notSent' | 'unknown', readonly reason: string }

/** Response of an entry instance. If there is none, `body` is undefined and `reason` holds the error. */
export interface InstanceResponse {
  readonly address: string
  readonly status: number
  readonly body: Record<string, unknown> | undefined
  readonly reason?: string
}

/** A site configuration with its revision. Revision 0 has an empty source. */
export interface PublishedConfiguration {
  readonly revision: number
  readonly source: string
}

/** Thrown when the platform's log does not respond. */
export class LogUnavailableError extends Error {}

/** Client of the operator's tools for the platform's log and the entry instances. */
export class OperatorClient {
  private readonly agent = new Agent({ connections: 4 })
  private readonly log: HttpPlatformLog
  private readonly clock = new LogicalClock()

  constructor (private readonly platformAddress: string, private readonly entryAddresses: readonly string[], private readonly token: string) {
    this.log = new HttpPlatformLog(platformAddress, this.agent)
  }

  /** Publishes a site configuration based on `baseRevision`. Concurrent publishes are resolved by the order of their records in the log. */
  async publish (source: string, baseRevision: number, publisher: string): Promise<PublishResult> {
    const identity = randomUUID()
    // Reading the log first gives the record a logical time after those of all records that the operator may have seen.
    await this.readHistory('').catch(() => undefined)
    const body = { type: 'configurationPublished' as const, baseRevision, text: source, publisher }
    const record: RecordEnvelope = { identity, schemaVersion: RECORD_SCHEMA_VERSION, writer: publisher, logicalTime: this.clock.tick(), body }
    const failure = await this.append(record)
    if (failure?.mayBeStored === false) return { kind: 'notSent', reason: failure.reason }
    const outcome = await this.readHistory(identity).then(history => history.outcome, () => undefined)
    return outcome ?? { kind: 'unknown', reason: failure?.reason ?? 'the record was not found in the log' }
  }

  /** Reads the site configuration in force, or that of the given revision; returns undefined if the log no longer retains that revision. Throws `LogUnavailableError`. */
  async readConfiguration (revision?: number): Promise<PublishedConfiguration | undefined> {
    const { history, revisions } = await this.readHistory('')
    if (revision !== undefined) return revisions.get(revision)
    return { revision: history.inForce?.revision ?? 0, source: history.inForce?.source ?? '' }
  }

  /** Sends a GET request to every entry instance. */
  async queryAll (path: string): Promise<InstanceResponse[]> {
    return await Promise.all(this.entryAddresses.map(async address => {
      try {
        const response = await request(`${address}${path}`, { headers: { authorization: `Bearer ${this.token}` }, dispatcher: this.agent, headersTimeout: CALL_TIMEOUT_MILLISECONDS, bodyTimeout: CALL_TIMEOUT_MILLISECONDS })
        return { address, status: response.statusCode, body: await response.body.json() as Record<string, unknown> }
      } catch (error) {
        return { address, status: 0, body: undefined, reason: `unreachable (${describeError(error)})` }
      }
    }))
  }

  /** Reads the status of every entry instance. */
  async readStatus (): Promise<StatusResponse[]> {
    return (await this.queryAll('/operator/status')).map(({ address, status, body, reason }) => {
      if (body === undefined) return { address, status: undefined, reason }
      if (status === 401) return { address, status: undefined, reason: 'the operator token is refused' }
      const parsed = instanceStatusSchema.safeParse(body)
      return parsed.success ? { address, status: parsed.data } : { address, status: undefined, reason: 'the answer is not understood; is it an entry instance of this version?' }
    })
  }

  /** Waits up to `waitMilliseconds` until every reachable instance has `revision` in force. Returns the latest responses. */
  async waitUntilInForce (revision: number, waitMilliseconds: number): Promise<StatusResponse[]> {
    const deadline = performance.now() + waitMilliseconds
    for (;;) {
      const responses = await this.readStatus()
      const reached = responses.flatMap(response => response.status ?? [])
      if (reached.length > 0 && reached.every(status => status.revision >= revision)) return responses
      if (performance.now() >= deadline) return responses
      await delay(IN_FORCE_POLL_INTERVAL_MILLISECONDS)
    }
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  /** Appends a record, with retries. Returns undefined once the append is confirmed, otherwise the reason and whether the record may be stored. */
  private async append (record: RecordEnvelope): Promise<{ reason: string, mayBeStored: boolean } | undefined> {
    let reason = ''
    let mayBeStored = false
    for (let attempt = 0; attempt < MAXIMUM_APPEND_ATTEMPTS; attempt += 1) {
      try {
        await this.log.append(CONFIGURATION_STREAM, [record])
        return undefined
      } catch (error) {
        reason = describeError(error)
        mayBeStored = mayBeStored || !(error instanceof AppendRefusedError)
        await delay(RETRY_DELAY_MILLISECONDS)
      }
    }
    return { reason: `the platform's log at ${this.platformAddress} has not confirmed the record: ${reason}`, mayBeStored }
  }

  /** Replays the configuration log. `outcome` is the outcome of the record with `identity`, undefined if the log does not hold it. */
  private async readHistory (identity: string): Promise<{ history: ConfigurationHistory, outcome: PublishOutcome | undefined, revisions: ReadonlyMap<number, PublishedConfiguration> }> {
    const history = new ConfigurationHistory()
    const revisions = new Map<number, PublishedConfiguration>()
    const seenIdentities = new Set<string>()
    let outcome: PublishOutcome | undefined
    for (let from = 0; ;) {
      const page = await this.read(from)
      if (page.retainedFrom > from) history.markTruncated(page.retainedFrom)
      for (const { offset, record } of page.records) {
        from = offset + 1
        this.clock.observe(record.logicalTime)
        const body = recordBodySchema.safeParse(record.body)
        if (seenIdentities.has(record.identity) || !body.success) continue
        seenIdentities.add(record.identity)
        const stored: StoredRecord = { offset, identity: record.identity, writer: record.writer, logicalTime: record.logicalTime, body: body.data }
        const decided = history.apply(stored)
        if (record.identity === identity) outcome = decided
        const { inForce } = history
        if (inForce !== undefined && !revisions.has(inForce.revision)) revisions.set(inForce.revision, { revision: inForce.revision, source: inForce.source })
      }
      if (from >= page.nextOffset || page.records.length === 0) return { history, outcome, revisions }
    }
  }

  private async read (from: number): ReturnType<HttpPlatformLog['read']> {
    try {
      return await this.log.read(CONFIGURATION_STREAM, from, READ_LIMIT_RECORDS, 0)
    } catch (error) {
      throw new LogUnavailableError(`the platform's log at ${this.platformAddress} does not answer: ${describeError(error)}`)
    }
  }
}
