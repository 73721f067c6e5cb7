import { Emitter, type Event } from '../base/emitter.js'
import { describeError } from '../base/logger.js'
import { Task } from '../base/task.js'
import type { LinkMessageOf } from '../contracts/linkMessages.js'
import type { StoredRecord } from '../contracts/records.js'
import type { LogAppender } from '../links/logAppender.js'
import type { LogFollower } from '../links/logFollower.js'
import type { LinkTransport } from '../links/linkHub.js'
import type { PeerIdentity } from '../links/handshake.js'
import type { Membership } from '../machines/membership.js'
import { instanceKey, Ownership, OWNERSHIP_TIMINGS, type InstanceIdentity, type OwnershipAction } from '../zones/ownership.js'
import { monotonicNow, type EntryContext } from './entryContext.js'

type OwnershipMessage =
  | { readonly kind: 'record', readonly record: StoredRecord }
  | { readonly kind: 'truncated', readonly retainedFrom: number }
  | { readonly kind: 'caughtUp' }
  | { readonly kind: 'tick' }
  | { readonly kind: 'renewalSettled' }
  | { readonly kind: 'probed', readonly startedAt: number, readonly current: boolean }
  | { readonly kind: 'promiseRequest', readonly from: PeerIdentity, readonly message: LinkMessageOf<'promiseRequest'> }
  | { readonly kind: 'promise', readonly from: PeerIdentity, readonly message: LinkMessageOf<'promise'> }

const TICK_MILLISECONDS = 100
/** Time after which an unconfirmed renewal or claim is abandoned; the next one replaces it. */
const APPEND_TIMEOUT_MILLISECONDS = 1000
const JOIN_TIMEOUT_MILLISECONDS = 5000
/** Maximum age of the instance list, in addition to its own lag, at which an instance that is not listed is considered gone. */
const MAXIMUM_LIST_AGE_MILLISECONDS = 3000

/** Runs the ownership protocol of the failure domain on behalf of this instance. */
export class OwnershipTask extends Task<OwnershipMessage> {
  private readonly ownership: Ownership
  private wasOwner = false
  private joined = false
  private joining = false
  private probing = false
  private hasOwnershipRecord = false
  private logCurrentAt = -Infinity
  private readonly didChange = new Emitter<boolean>()
  /** Fires when this instance becomes owner (true) or ceases to be (false). */
  readonly onDidChangeOwner: Event<boolean> = this.didChange.event

  constructor (
    private readonly context: EntryContext,
    private readonly follower: LogFollower,
    private readonly appender: LogAppender,
    private readonly links: LinkTransport,
    private readonly membership: Membership
  ) {
    super()
    this.ownership = new Ownership(context.settings.failureDomain, { instance: context.settings.instance, incarnation: context.incarnation })
    this.register(this.didChange)
    this.register(follower.onDidReadRecord(record => this.post({ kind: 'record', record })))
    this.register(follower.onDidTruncate(retainedFrom => this.post({ kind: 'truncated', retainedFrom })))
    this.register(follower.onDidCatchUp(() => this.post({ kind: 'caughtUp' })))
    this.register(links.onDidReceive(({ from, message }) => {
      if (message.type === 'promiseRequest') this.post({ kind: 'promiseRequest', from, message })
      if (message.type === 'promise') this.post({ kind: 'promise', from, message })
    }))
    this.registerInterval(() => this.post({ kind: 'tick' }), TICK_MILLISECONDS)
  }

  /** Returns whether this instance may act as owner now. Must be checked right before each such action. */
  isOwner (): boolean {
    return this.ownership.isOwner(monotonicNow())
  }

  get term (): number {
    return this.ownership.term
  }

  get owner (): InstanceIdentity | undefined {
    return this.ownership.currentOwner
  }

  /** Releases ownership on a graceful shutdown. Resolves when the record is in the log or `timeoutMilliseconds` have passed. */
  async release (timeoutMilliseconds: number): Promise<void> {
    const body = this.ownership.release()
    if (body === undefined) return
    this.notifyOwnerChange()
    this.context.events.record('ownershipReleased', { failureDomain: this.context.settings.failureDomain, term: this.ownership.term })
    await this.appender.append(body, timeoutMilliseconds)
  }

  protected override handle (message: OwnershipMessage): void {
    const now = monotonicNow()
    switch (message.kind) {
      case 'record':
        this.onRecord(message.record, now)
        break
      case 'promiseRequest':
        this.onPromiseRequest(message.from, message.message, now)
        break
      case 'promise':
        this.ownership.onPromise({ instance: message.from.instance, incarnation: message.from.incarnation }, message.message.request, message.message.granted)
        break
      case 'truncated':
        this.ownership.markTruncated(message.retainedFrom)
        break
      case 'caughtUp':
        this.ownership.markCaughtUp(this.hasOwnershipRecord)
        break
      case 'renewalSettled':
        this.ownership.renewalSettled()
        break
      case 'probed':
        this.probing = false
        if (message.current) this.logCurrentAt = message.startedAt
        this.onTick(now)
        break
      case 'tick':
        this.onTick(now)
    }
    this.notifyOwnerChange()
  }

  protected override handleFailure (message: OwnershipMessage, error: unknown): void {
    this.context.logger.error('handling an ownership message failed', { code: message.kind, reason: describeError(error) })
  }

  private onRecord (record: StoredRecord, now: number): void {
    const previousTerm = this.ownership.term
    this.ownership.onRecord(record, now)
    if (record.body.type !== 'instanceJoined') this.hasOwnershipRecord = true
    if (record.body.type === 'instanceJoined' && record.body.incarnation === this.context.incarnation) this.joined = true
    if (this.ownership.term === previousTerm || this.ownership.currentOwner?.incarnation !== this.context.incarnation) return
    this.context.logger.info('claimed the failure domain', { failureDomain: this.context.settings.failureDomain, term: this.ownership.term })
    this.context.events.record('ownershipClaimed', { failureDomain: this.context.settings.failureDomain, term: this.ownership.term })
  }

  private onTick (now: number): void {
    if (!this.follower.hasCaughtUp) return
    if (!this.joined) {
      this.join()
      return
    }
    const view = { isGone: (identity: InstanceIdentity) => this.isGone(identity, now), logCurrentAt: this.logCurrentAt }
    for (const action of this.ownership.tick(now, view)) this.perform(action)
  }

  private async join (): Promise<void> {
    if (this.joining) return
    this.joining = true
    const { instance, failureDomain } = this.context.settings
    const body = { type: 'instanceJoined' as const, failureDomain, instance, incarnation: this.context.incarnation }
    await this.appender.append(body, JOIN_TIMEOUT_MILLISECONDS, `join:${this.context.incarnation}`)
    this.joining = false
  }

  private perform (action: OwnershipAction): void {
    switch (action.kind) {
      case 'requestPromises':
        this.requestPromises(action)
        return
      case 'probeLog':
        this.probe()
        return
      case 'claim':
        this.appender.appendWithoutRetry(action.body, APPEND_TIMEOUT_MILLISECONDS, action.identity)
        return
      case 'renew':
        this.renew(action)
    }
  }

  private async renew (action: Extract<OwnershipAction, { kind: 'renew' }>): Promise<void> {
    await this.appender.appendWithoutRetry(action.body, APPEND_TIMEOUT_MILLISECONDS)
    this.post({ kind: 'renewalSettled' })
  }

  private async probe (): Promise<void> {
    if (this.probing) return
    this.probing = true
    const startedAt = monotonicNow()
    const current = await this.follower.probe()
    this.post({ kind: 'probed', startedAt, current })
  }

  private requestPromises (action: Extract<OwnershipAction, { kind: 'requestPromises' }>): void {
    for (const elector of action.electors) {
      this.links.send(elector.instance, {
        type: 'promiseRequest',
        logicalTime: this.context.events.clock.tick(),
        failureDomain: this.context.settings.failureDomain,
        term: this.ownership.term,
        request: action.request,
        durationMilliseconds: action.durationMilliseconds
      })
    }
  }

  private onPromiseRequest (from: PeerIdentity, message: LinkMessageOf<'promiseRequest'>, now: number): void {
    const owner = this.ownership.currentOwner
    const fromOwner = owner !== undefined && instanceKey(owner) === instanceKey(from)
    const granted = fromOwner && message.failureDomain === this.context.settings.failureDomain && this.ownership.onPromiseRequest(message.term, message.durationMilliseconds, now)
    this.links.send(from.instance, { type: 'promise', logicalTime: this.context.events.clock.tick(), failureDomain: message.failureDomain, term: message.term, request: message.request, granted })
  }

  private isGone (identity: InstanceIdentity, now: number): boolean {
    if (this.links.peers().some(peer => instanceKey(peer) === instanceKey(identity))) return false
    return this.membership.listAgeMilliseconds(now) < MAXIMUM_LIST_AGE_MILLISECONDS && this.membership.find(identity.instance) === undefined
  }

  private notifyOwnerChange (): void {
    const isOwner = this.isOwner()
    if (isOwner === this.wasOwner) return
    this.wasOwner = isOwner
    const fields = { failureDomain: this.context.settings.failureDomain, term: this.ownership.term }
    this.context.logger.info(isOwner ? 'acting as owner of the failure domain' : 'no longer owner of the failure domain', fields)
    this.context.events.record(isOwner ? 'ownershipTaken' : 'ownershipLost', fields)
    this.didChange.fire(isOwner)
  }
}

/** Returns the time from a takeover until tasks that an earlier owner may have started on silent workers have certainly ended, in milliseconds. */
export function silentWorkerBoundMilliseconds (taskLeaseMilliseconds: number, marginMilliseconds: number): number {
  return OWNERSHIP_TIMINGS.leaseDuration + OWNERSHIP_TIMINGS.driftMargin + taskLeaseMilliseconds + marginMilliseconds
}
