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

/** Largest answer, in bytes, that is recorded for re-submissions. */
export const RECORDED_ANSWER_BYTES = 4 * 1024
const PEER_PATH = '/peer/keys'
const PEER_TIMEOUT_MILLISECONDS = 2500
/** Time for an append and for reading it back, after which the log counts as away. */
export const LOG_TIMEOUT_MILLISECONDS = 1000
const READ_BACK_POLL_MILLISECONDS = 5
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

/** Decides about idempotency keys whose home is the own failure domain, and asks the owner of the home about others. */
export class KeyTask extends DisposableObject {
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

  /** Asks whether a request with a key may run. To be asked before the first byte goes to an executor. */
  async begin (key: string, request: string, deadline: number): Promise<KeyDecision> {
    let decision = await within(this.handle({ key, request, hops: 0 }), deadline - monotonicNow()) ?? UNAVAILABLE
    if (decision.kind === 'unavailable' && monotonicNow() + LOG_TIMEOUT_MILLISECONDS < deadline) {
      decision = await within(this.handle({ key, request, hops: 0 }), deadline - monotonicNow()) ?? UNAVAILABLE
    }
    // A decision to run may have been taken although its answer was lost.
    if (decision.kind === 'unavailable') this.end(key, request, { kind: 'notRun' })
    // The second memory of a key whose record is not in the log yet; the same identity counts once.
    if (decision.kind === 'run' && decision.unlogged) this.appendStarted(key, request)
    return decision
  }

  /** Records the outcome of a request that was allowed to run. */
  async end (key: string, request: string, outcome: KeyOutcome): Promise<void> {
    const home = this.homeOf(key)
    if (home === undefined) return
    const body: KeyRecord = outcome.kind === 'notRun'
      ? { type: 'keyNotRun', key, request }
      : { type: 'keyEnded', key, request, status: outcome.status, contentType: outcome.contentType, body: outcome.bodyBase64, atMilliseconds: Date.now() }
    await this.appenderOf(home).append(body, this.windowMilliseconds(), `key:${body.type}:${request}`)
  }

  /** Answers a peer's question; undefined if it proves no link key. */
  async onPeer (request: Request): Promise<KeyDecision | undefined> {
    if (Number(request.headers.get('content-length') ?? Infinity) > MAXIMUM_MESSAGE_BYTES) return undefined
    const body = await request.text()
    const from = request.headers.get(FROM_HEADER) ?? ''
    const proven = { method: 'POST', path: PEER_PATH, identity: hashOf(body), from }
    if (!isValidPeerProof(request.headers.get(PEER_PROOF_HEADER) ?? '', this.context.settings.linkKeys, proven, Date.now())) return undefined
    const message = messageSchema.safeParse(JSON.parse(body))
    return message.success ? await this.handle(message.data) : undefined
  }

  private async handle (message: KeyMessage): Promise<KeyDecision> {
    const home = this.homeOf(message.key)
    if (home === undefined || message.hops > MAXIMUM_HOPS) return { kind: 'unavailable' }
    if (home !== this.context.settings.failureDomain) return await this.ask(this.addressIn(home), message)
    if (this.ownership.isOwner()) return await this.decide(message.key, message.request)
    return await this.ask(this.ownerAddress(), message)
  }

  /** Decides as owner: the log orders records of successive owners, so the request runs only if its record is read back first. */
  private async decide (key: string, request: string): Promise<KeyDecision> {
    if (!this.follower.hasCaughtUp) return { kind: 'unavailable' }
    const decision = this.keys.decide(key, request, Date.now(), this.windowMilliseconds())
    if (decision.kind !== 'run') return decision
    if (this.keys.isHeldBy(key, request)) return { kind: 'run', unlogged: false }
    this.keys.reserve(key, request, Date.now())
    const until = monotonicNow() + LOG_TIMEOUT_MILLISECONDS
    const confirmed = await within(this.appendStarted(key, request), LOG_TIMEOUT_MILLISECONDS)
    if (confirmed === true) await this.readBack(key, request, until)
    if (!this.ownership.isOwner()) return { kind: 'unavailable' }
    if (this.keys.isHeldBy(key, request)) return { kind: 'run', unlogged: false }
    // Without the log the key is held in two memories: this one and that of the asking instance.
    if (confirmed !== true && !this.follower.reachable) return this.keys.decide(key, request, Date.now(), this.windowMilliseconds())
    const now = this.keys.decide(key, request, Date.now(), this.windowMilliseconds())
    return now.kind === 'run' ? { kind: 'unavailable' } : now
  }

  /** Waits until the record of a key has been read from the log, whoever wrote it. */
  private async readBack (key: string, request: string, until: number): Promise<void> {
    while (!this.keys.isHeldBy(key, request) && monotonicNow() < until) {
      if (this.keys.decide(key, request, Date.now(), this.windowMilliseconds()).kind !== 'run') return
      await delay(READ_BACK_POLL_MILLISECONDS)
    }
  }

  private async appendStarted (key: string, request: string): Promise<boolean> {
    const home = this.homeOf(key)
    if (home === undefined) return false
    return await this.appenderOf(home).append({ type: 'keyStarted', key, request, atMilliseconds: Date.now() }, this.windowMilliseconds(), `key:keyStarted:${request}`)
  }

  private async ask (address: string | undefined, message: KeyMessage): Promise<KeyDecision> {
    if (address === undefined) return { kind: 'unavailable' }
    const body = JSON.stringify({ ...message, hops: message.hops + 1 })
    const from = this.context.settings.instance
    const proof = createPeerProof(this.context.settings.linkKeys[0] as string, { method: 'POST', path: PEER_PATH, identity: hashOf(body), from }, Date.now())
    try {
      const answer = await sendHttp(`${address}${PEER_PATH}`, {
        method: 'POST',
        body,
        dispatcher: this.agent,
        headersTimeout: PEER_TIMEOUT_MILLISECONDS,
        bodyTimeout: PEER_TIMEOUT_MILLISECONDS,
        headers: { 'content-type': 'application/json', [FROM_HEADER]: from, [PEER_PROOF_HEADER]: proof }
      })
      const text = await answer.body.text()
      const decision = decisionSchema.safeParse(answer.statusCode === 200 ? JSON.parse(text) : undefined)
      return decision.success ? decision.data : { kind: 'unavailable' }
    } catch {
      return { kind: 'unavailable' }
    }
  }

  private homeOf (key: string): string | undefined {
    return homeFailureDomain(key, Object.keys(this.configuration.inForce?.text.failureDomains ?? {}), this.hash)
  }

  private addressIn (failureDomain: string): string | undefined {
    const entries = this.membership.entries().filter(entry => entry.failureDomain === failureDomain && entry.state === 'live')
    return entries.length === 0 ? undefined : this.context.random.pick(entries).callerAddress
  }

  private ownerAddress (): string | undefined {
    const owner = this.ownership.owner?.instance
    return this.membership.entries().find(entry => entry.name === owner && owner !== this.context.settings.instance)?.callerAddress
  }

  private appenderOf (failureDomain: string): LogAppender {
    const stream = domainStreamName('keys', failureDomain)
    let appender = this.appenders.get(stream)
    if (appender === undefined) {
      appender = this.register(this.createAppender(stream))
      this.appenders.set(stream, appender)
    }
    return appender
  }

  private windowMilliseconds (): number {
    return this.configuration.inForce?.text.limits.idempotencyWindowMilliseconds ?? DEFAULT_WINDOW_MILLISECONDS
  }
}

const DEFAULT_WINDOW_MILLISECONDS = 600_000
const UNAVAILABLE: KeyDecision = { kind: 'unavailable' }

/** The value of a promise, or undefined when it does not come in time. */
async function within<T> (pending: Promise<T>, milliseconds: number): Promise<T | undefined> {
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
