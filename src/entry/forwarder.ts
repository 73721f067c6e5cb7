import type { SiteConfiguration } from '../contracts/siteConfiguration.js'
import { servingErrorSchema, type ServingError } from '../contracts/verdict.js'
import type { ExecutorResponse, ExecutorClient } from '../links/executorClient.js'
import { createPeerProof, isValidPeerProof, PEER_PROOF_HEADER, PROOF_VALIDITY_MILLISECONDS } from '../links/peerProof.js'
import type { ListedEntry, Membership } from '../machines/membership.js'
import { CALLER_HEADERS, endToEndHeaders } from '../requests/headers.js'
import { errorResult, type ServingResult, type PendingRequest } from './callerRequest.js'
import { monotonicNow, type EntryContext } from './entryContext.js'

/** Connection limit for each instance of another failure domain. */
const PEER_CONNECTIONS = 32
const MAXIMUM_ERROR_CHARACTERS = 16 * 1024

const UNREACHABLE: ServingError = { code: 'noExecutor', verdict: 'notRun', message: 'no executor serves this failure domain, and no other failure domain could be reached', retryAfterSeconds: 1 }
const TIMED_OUT: ServingError = { code: 'executorTimeout', verdict: 'mayHaveRun', message: 'another failure domain did not answer in time' }
const OUTCOME_UNKNOWN: ServingError = { code: 'executorFailed', verdict: 'mayHaveRun', message: 'the connection to another failure domain broke' }

/** Forwards requests to instances of other failure domains, and authenticates requests forwarded from them. */
export class Forwarder {
  /** Identities of received forwarded requests, with the time at which their proofs expire; guards against replay. */
  private readonly seenUntil = new Map<string, number>()

  constructor (
    private readonly context: EntryContext,
    private readonly membership: Membership,
    private readonly client: ExecutorClient
  ) {}

  /** Selects a random live instance in another failure domain that has a live executor for the request. Returns undefined if there is none, or if the request was already forwarded. */
  selectTarget (pending: PendingRequest, siteConfiguration: SiteConfiguration): ListedEntry | undefined {
    if (pending.request.isForwarded) return undefined
    const pool = pending.service.executorPool
    const otherDomains = Object.keys(siteConfiguration.executorPools[pool]?.executors ?? {}).filter(domain => domain !== this.context.settings.failureDomain)
    const usableDomains = new Set(otherDomains.filter(domain => this.membership.executors(domain).some(executor => executor.pool === pool && executor.state === 'live')))
    const entries = this.membership.entries().filter(entry => entry.state === 'live' && usableDomains.has(entry.failureDomain))
    return entries.length === 0 ? undefined : this.context.random.pick(entries)
  }

  /** Forwards a request to an instance of another failure domain. The verdict follows the same rules as for an executor. */
  async forward (pending: PendingRequest, peer: ListedEntry): Promise<ServingResult> {
    const { request } = pending
    const path = `/services/${request.service}${request.path}`
    const from = this.context.settings.instance
    const headers = endToEndHeaders(request.headers, ['host', 'content-length', 'expect'])
    const remaining = Math.floor(request.deadline - monotonicNow())
    if (remaining <= 0) return errorResult({ code: 'deadlineExpired', verdict: 'notRun', message: 'the deadline passed before the request could be forwarded' })
    headers[CALLER_HEADERS.request] = request.identity
    headers[CALLER_HEADERS.urgency] = request.urgency
    headers[CALLER_HEADERS.deadlineMilliseconds] = String(remaining)
    headers[CALLER_HEADERS.forwardedFrom] = from
    headers[CALLER_HEADERS.logicalTime] = String(this.context.events.clock.tick())
    headers[PEER_PROOF_HEADER] = createPeerProof(this.context.settings.linkKeys[0] as string, { method: request.method, path, identity: request.identity, from }, Date.now())
    this.context.events.record('requestForwarded', { request: request.identity, peer: peer.name })
    const result = await this.client.send(peer.callerAddress, { method: request.method, path, headers, body: request.body.open() }, remaining, PEER_CONNECTIONS, request.signal, () => monotonicNow() < request.deadline)
    if (result.kind === 'notSent') return errorResult(UNREACHABLE)
    if (result.kind === 'mayHaveRun') return errorResult(result.timedOut ? TIMED_OUT : OUTCOME_UNKNOWN)
    return await this.relayResponse(pending, result.response)
  }

  /** Returns true if a forwarded request carries a valid proof and its identity has not been received before. */
  acceptOnce (request: { readonly method: string, readonly path: string, readonly identity: string, readonly from: string, readonly proof: string }): boolean {
    const now = Date.now()
    if (!isValidPeerProof(request.proof, this.context.settings.linkKeys, request, now)) return false
    for (const [identity, until] of this.seenUntil) {
      if (now < until) break
      this.seenUntil.delete(identity)
    }
    if (this.seenUntil.has(request.identity)) return false
    // The peer's clock may be ahead by the whole tolerance, so that its proof stays valid for twice the time.
    this.seenUntil.set(request.identity, now + 2 * PROOF_VALIDITY_MILLISECONDS)
    return true
  }

  /** Passes on an error of the peer with its verdict; treats any other response as the executor's. */
  private async relayResponse (pending: PendingRequest, response: ExecutorResponse): Promise<ServingResult> {
    response.body.on('error', () => {})
    this.context.events.clock.observe(Number(response.headers[CALLER_HEADERS.logicalTime] ?? 0))
    if (response.headers[CALLER_HEADERS.verdict] === undefined) {
      const headers = endToEndHeaders(Object.entries(response.headers))
      headers[CALLER_HEADERS.request] = pending.identity
      return { kind: 'answer', status: response.status, headers, body: response.body }
    }
    try {
      let text = ''
      for await (const chunk of response.body) {
        text += String(chunk)
        if (text.length > MAXIMUM_ERROR_CHARACTERS) return errorResult(OUTCOME_UNKNOWN)
      }
      return errorResult(servingErrorSchema.parse((JSON.parse(text) as { error?: unknown }).error))
    } catch {
      return errorResult(OUTCOME_UNKNOWN)
    }
  }
}
