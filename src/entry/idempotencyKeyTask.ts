import { createHash } from 'node:crypto'
import { request as sendHttp, type Agent } from 'undici'
import { z } from 'zod'
import { delay } from '../base/delay.js'
import { DisposableObject } from '../base/disposable.js'
import { domainStreamName } from '../contracts/records.js'
import type { LogAppender } from '../links/logAppender.js'
import type { LogFollower } from '../links/logFollower.js'
import { createPeerProof, isValidPeerProof, PEER_PROOF_HEADER } from '../links/peerProof.js'
import type { Membership } from '../machines/membership.js'
import { homeFailureDomain, IdempotencyKeys, type KeyDecision, type KeyRecord } from '../requests/idempotencyKeys.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow, type EntryContext } from './entryContext.js'
import type { OwnershipTask } from './ownershipTask.js'

/** Maximum size of a response that is recorded for repeated submissions, in bytes. */
export const MAXIMUM_RECORDED_RESPONSE_BYTES = 4 * 1024
const PEER_PATH = '/peer/keys'
const PEER_TIMEOUT_MILLISECONDS = 2500
/** Time for an append and for reading it back, after which the log is considered unavailable. */
export const LOG_TIMEOUT_MILLISECONDS = 1000
const READ_BACK_POLL_INTERVAL_MILLISECONDS = 5
const MAXIMUM_HOPS = 2
const MAXIMUM_MESSAGE_BYTES = 64 * 1024
const FROM_HEADER = 'vanillaturn-peer'

const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('notRun') }),
  z.object({ kind: z.literal('ended'), status: z.number().int(), contentType: z.string().optional(), bodyBase64: z.string().optional() })
])
export type KeyOutcome = z.infer<typeof outcomeSchema>

const messageSchema = z.object({ key: z.string().max(1000), request: z.string().max(100), hops: z.number().int(), outcome: outcomeSchema.optional() })
type KeyMessage = z.infer<typeof messageSchema>

const decisionSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('run'), unlogged: z.boolean() }), z.object({ kind: z.literal('alreadyRan') }), z.object({ kind: z.literal('outcomeUnknown') }), z.object({ kind: z.literal('unavailable') }),
  z.object({ kind: z.literal('recorded'), status: z.number().int(), contentType: z.string().optional(), bodyBase64: z.string() })
])

/** Decides whether requests with idempotency keys may run. The owner of a key's home failure domain decides; other instances request the decision from it, those of other failure domains through any entry instance of the home. */
export class IdempotencyKeyTask extends DisposableObject {
  private readonly keys = new IdempotencyKeys()
  private readonly appenders = new Map<string, LogAppender>()

  constructor (
    private readonly context: EntryContext,
    private readonly configuration: ConfigurationTask,
    private readonly membership: Membership,
    private readonly ownership: OwnershipTask,
    private readonly follower: LogFollower,
    private readonly createAppender: (stream: string) => LogAppender,
    private readonly agent: Agent,
    private readonly hash: (text: string) => bigint
  ) {
    super()
    this.register(follower.onDidReadRecord(({ body }) => {
      if (body.type === 'keyStarted' || body.type === 'keyEnded' || body.type === 'keyNotRun') this.keys.apply(body, this.windowMilliseconds())
    }))
  }

  /** Acquires a key for a request, and returns whether the request may run. Must be called before the first byte is sent to an executor. */
  async acquire (key: string, request: string, deadline: number): Promise<KeyDecision> {
    let decision = await withTimeout(this.handle({ key, request, hops: 0 }), deadline - monotonicNow()) ?? UNAVAILABLE
    if (decision.kind === 'unavailable' && monotonicNow() + LOG_TIMEOUT_MILLISECONDS < deadline) {
      decision = await withTimeout(this.handle({ key, request, hops: 0 }), deadline - monotonicNow()) ?? UNAVAILABLE
    }
    // The owner may have let the request run although its response was lost; this record then frees the key.
    if (decision.kind === 'unavailable') this.recordOutcome(key, request, { kind: 'notRun' })
    // This instance holds the key in memory as well until its record is in the log. Records with the same identity are applied once.
    if (decision.kind === 'run' && decision.unlogged) this.appendStarted(key, request)
    return decision
  }

  /** Records the outcome of a request that was allowed to run. */
  async recordOutcome (key: string, request: string, outcome: KeyOutcome): Promise<void> {
    const home = this.homeOf(key)
    if (home === undefined) return
    const body: KeyRecord = outcome.kind === 'notRun'
      ? { type: 'keyNotRun', key, request }
      : { type: 'keyEnded', key, request, status: outcome.status, contentType: outcome.contentType, body: outcome.bodyBase64, atMilliseconds: Date.now() }
    await this.getAppender(home).append(body, this.windowMilliseconds(), `key:${body.type}:${request}`)
  }

  /** Returns the decision that a peer requests, or undefined if the request is too large, malformed or without a valid proof. */
  async handlePeerRequest (request: Request): Promise<KeyDecision | undefined> {
    if (Number(request.headers.get('content-length') ?? Infinity) > MAXIMUM_MESSAGE_BYTES) return undefined
    const body = await request.text()
    const from = request.headers.get(FROM_HEADER) ?? ''
    const signed = { method: 'POST', path: PEER_PATH, identity: hashOf(body), from }
    if (!isValidPeerProof(request.headers.get(PEER_PROOF_HEADER) ?? '', this.context.settings.linkKeys, signed, Date.now())) return undefined
    const message = messageSchema.safeParse(JSON.parse(body))
    return message.success ? await this.handle(message.data) : undefined
  }

  private async handle (message: KeyMessage): Promise<KeyDecision> {
    const home = this.homeOf(message.key)
    if (home === undefined || message.hops > MAXIMUM_HOPS) return { kind: 'unavailable' }
    if (home !== this.context.settings.failureDomain) return await this.requestDecision(this.selectAddress(home), message)
    if (this.ownership.isOwner()) return await this.decide(message.key, message.request)
    return await this.requestDecision(this.ownerAddress(), message)
  }

  /** Decides as owner. The log orders the records of successive owners, so that while it is available a request runs only after its record has been read back as the first of its key. */
  private async decide (key: string, request: string): Promise<KeyDecision> {
    if (!this.follower.hasCaughtUp) return { kind: 'unavailable' }
    const decision = this.keys.decide(key, request, Date.now(), this.windowMilliseconds())
    if (decision.kind !== 'run') return decision
    if (this.keys.isHeldBy(key, request)) return { kind: 'run', unlogged: false }
    this.keys.reserve(key, request, Date.now())
    const readBackDeadline = monotonicNow() + LOG_TIMEOUT_MILLISECONDS
    const confirmed = await withTimeout(this.appendStarted(key, request), LOG_TIMEOUT_MILLISECONDS)
    if (confirmed === true) await this.waitForReadBack(key, request, readBackDeadline)
    if (!this.ownership.isOwner()) return { kind: 'unavailable' }
    if (this.keys.isHeldBy(key, request)) return { kind: 'run', unlogged: false }
    // While the log is unavailable, the key is held in memory by two instances: this one and the requesting one.
    if (confirmed !== true && !this.follower.reachable) return this.keys.decide(key, request, Date.now(), this.windowMilliseconds())
    const latestDecision = this.keys.decide(key, request, Date.now(), this.windowMilliseconds())
    return latestDecision.kind === 'run' ? { kind: 'unavailable' } : latestDecision
  }

  /** Waits until a record of the key has been read from the log, whichever instance wrote it, or until the deadline. */
  private async waitForReadBack (key: string, request: string, deadline: number): Promise<void> {
    while (!this.keys.isHeldBy(key, request) && monotonicNow() < deadline) {
      if (this.keys.decide(key, request, Date.now(), this.windowMilliseconds()).kind !== 'run') return
      await delay(READ_BACK_POLL_INTERVAL_MILLISECONDS)
    }
  }

  private async appendStarted (key: string, request: string): Promise<boolean> {
    const home = this.homeOf(key)
    if (home === undefined) return false
    return await this.getAppender(home).append({ type: 'keyStarted', key, request, atMilliseconds: Date.now() }, this.windowMilliseconds(), `key:keyStarted:${request}`)
  }

  private async requestDecision (address: string | undefined, message: KeyMessage): Promise<KeyDecision> {
    if (address === undefined) return { kind: 'unavailable' }
    const body = JSON.stringify({ ...message, hops: message.hops + 1 })
    const from = this.context.settings.instance
    const proof = createPeerProof(this.context.settings.linkKeys[0] as string, { method: 'POST', path: PEER_PATH, identity: hashOf(body), from }, Date.now())
    try {
      const response = await sendHttp(`${address}${PEER_PATH}`, {
        method: 'POST',
        body,
        dispatcher: this.agent,
        headersTimeout: PEER_TIMEOUT_MILLISECONDS,
        bodyTimeout: PEER_TIMEOUT_MILLISECONDS,
        headers: { 'content-type': 'application/json', [FROM_HEADER]: from, [PEER_PROOF_HEADER]: proof }
      })
      const text = await response.body.text()
      const decision = decisionSchema.safeParse(response.statusCode === 200 ? JSON.parse(text) : undefined)
      return decision.success ? decision.data : { kind: 'unavailable' }
    } catch {
      return { kind: 'unavailable' }
    }
  }

  private homeOf (key: string): string | undefined {
    return homeFailureDomain(key, Object.keys(this.configuration.inForce?.configuration.failureDomains ?? {}), this.hash)
  }

  private selectAddress (failureDomain: string): string | undefined {
    const entries = this.membership.entries().filter(entry => entry.failureDomain === failureDomain && entry.state === 'live')
    return entries.length === 0 ? undefined : this.context.random.pick(entries).callerAddress
  }

  private ownerAddress (): string | undefined {
    const owner = this.ownership.owner?.instance
    return this.membership.entries().find(entry => entry.name === owner && owner !== this.context.settings.instance)?.callerAddress
  }

  private getAppender (failureDomain: string): LogAppender {
    const stream = domainStreamName('keys', failureDomain)
    let appender = this.appenders.get(stream)
    if (appender === undefined) {
      appender = this.register(this.createAppender(stream))
      this.appenders.set(stream, appender)
    }
    return appender
  }

  private windowMilliseconds (): number {
    return this.configuration.inForce?.configuration.limits.idempotencyWindowMilliseconds ?? DEFAULT_WINDOW_MILLISECONDS
  }
}

const DEFAULT_WINDOW_MILLISECONDS = 600_000
const UNAVAILABLE: KeyDecision = { kind: 'unavailable' }

/** Resolves with the value of a promise, or with undefined after a timeout. */
async function withTimeout<T> (pending: Promise<T>, milliseconds: number): Promise<T | undefined> {
  const settled = new AbortController()
  try {
    return await Promise.race([pending, delay(Math.max(0, milliseconds), settled.signal).then(() => undefined)])
  } finally {
    settled.abort()
  }
}

function hashOf (text: string): string {
  return createHash('sha256').update(text).digest('base64url')
}
