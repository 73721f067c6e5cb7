import createHasher from 'xxhash-wasm'
import { Emitter, type Event } from '../base/emitter.js'
import { Task } from '../base/task.js'
import { describeError } from '../base/logger.js'
import type { StoredRecord } from '../contracts/records.js'
import type { LogFollower } from '../links/logFollower.js'
import type { LinkTransport } from '../links/linkHub.js'
import { ConfigurationHistory, type ConfigurationRevision } from '../zones/configurationHistory.js'
import { monotonicNow, type EntryContext } from './entryContext.js'

type ConfigurationMessage =
  | { readonly kind: 'record', readonly record: StoredRecord }
  | { readonly kind: 'truncated', readonly retainedFrom: number }
  | { readonly kind: 'announced', readonly revision: number, readonly digest: string, readonly from: string }
  | { readonly kind: 'requested', readonly from: string }
  | { readonly kind: 'received', readonly revision: number, readonly source: string, readonly from: string }
  | { readonly kind: 'closed', readonly peer: string }
  | { readonly kind: 'tick' }

/** Delay before a configuration is requested from a peer, so that instances that can read the log transfer none over links. */
const RELAY_DELAY_MILLISECONDS = 500
const RELAY_CHECK_INTERVAL_MILLISECONDS = 500

interface Announcement {
  readonly revision: number
  readonly digest: string
  readonly receivedAt: number
}

/** Maintains the site configuration in force: follows the log, announces each revision to peers by its digest, and requests from a peer a configuration that the log does not deliver in time. */
export class ConfigurationTask extends Task<ConfigurationMessage> {
  private readonly history = new ConfigurationHistory()
  private readonly announcements = new Map<string, Announcement>()
  private readonly hasher = createHasher()
  private readonly didChange = new Emitter<ConfigurationRevision>()
  /** Fires after a greater revision has come into force. */
  readonly onDidChangeRevision: Event<ConfigurationRevision> = this.didChange.event

  constructor (private readonly context: EntryContext, follower: LogFollower, private readonly links: LinkTransport) {
    super()
    this.register(this.didChange)
    this.register(follower.onDidReadRecord(record => this.post({ kind: 'record', record })))
    this.register(follower.onDidTruncate(retainedFrom => this.post({ kind: 'truncated', retainedFrom })))
    this.register(links.onDidReceive(({ from, message }) => {
      if (message.type === 'configurationAnnouncement') this.post({ kind: 'announced', revision: message.revision, digest: message.digest, from: from.instance })
      if (message.type === 'configurationRequest') this.post({ kind: 'requested', from: from.instance })
      if (message.type === 'configurationText') this.post({ kind: 'received', revision: message.revision, source: message.text, from: from.instance })
    }))
    this.register(links.onDidClose(peer => this.post({ kind: 'closed', peer: peer.instance })))
    this.registerInterval(() => this.post({ kind: 'tick' }), RELAY_CHECK_INTERVAL_MILLISECONDS)
    this.register(links.onDidOpen(peer => this.announceTo(peer.instance)))
  }

  get inForce (): ConfigurationRevision | undefined {
    return this.history.inForce
  }

  /** Returns the record that restates the configuration in force, or undefined while that is not known to be the decided one. */
  restatement (): ReturnType<ConfigurationHistory['restatement']> {
    return this.history.restatement()
  }

  /** Resolves once the task can compute digests. Compiling the hash function takes real time, which a fake clock does not simulate. */
  async whenReady (): Promise<void> {
    await this.hasher
  }

  protected override async handle (message: ConfigurationMessage): Promise<void> {
    const previousRevision = this.inForce?.revision ?? 0
    switch (message.kind) {
      case 'truncated':
        this.history.markTruncated(message.retainedFrom)
        break
      case 'record':
        this.applyRecord(message.record)
        break
      case 'announced':
        this.announcements.set(message.from, { revision: message.revision, digest: message.digest, receivedAt: monotonicNow() })
        return
      case 'requested':
        this.sendConfigurationTo(message.from)
        return
      case 'closed':
        this.announcements.delete(message.peer)
        return
      case 'tick':
        this.requestMissingConfiguration()
        return
      case 'received':
        await this.applyRelayed(message)
    }
    const current = this.inForce
    if (current === undefined || current.revision === previousRevision) return
    this.context.logger.info('configuration in force', { revision: current.revision })
    this.context.events.record('configurationInForce', { revision: current.revision })
    this.didChange.fire(current)
    for (const peer of this.links.peers()) this.announceTo(peer.instance)
  }

  protected override handleFailure (message: ConfigurationMessage, error: unknown): void {
    this.context.logger.error('handling a configuration message failed', { code: message.kind, reason: describeError(error) })
  }

  private applyRecord (record: StoredRecord): void {
    const outcome = this.history.apply(record)
    if (outcome.kind === 'lostRace' || outcome.kind === 'invalid') {
      this.context.events.record('configurationRefused', { detail: outcome.kind, revision: this.history.decidedRevision })
    }
  }

  /** Applies a configuration that a peer relays, unless its digest differs from the one that the peer has announced for the revision. */
  private async applyRelayed (message: Extract<ConfigurationMessage, { kind: 'received' }>): Promise<void> {
    const announced = this.announcements.get(message.from)
    if (announced?.revision === message.revision && announced.digest !== (await this.hasher).h64ToString(message.source)) {
      this.context.logger.warn('a relayed configuration does not have the announced digest', { peer: message.from, revision: message.revision })
      return
    }
    if (this.history.learn(message.revision, message.source)) this.context.logger.info('learned a configuration from a peer', { peer: message.from, revision: message.revision })
  }

  /** Requests a configuration that the log has not delivered from one of the peers that have announced the greatest revision. */
  private requestMissingConfiguration (): void {
    const ownRevision = this.inForce?.revision ?? 0
    const latestReceipt = monotonicNow() - RELAY_DELAY_MILLISECONDS
    const candidates = [...this.announcements].filter(([, { revision, receivedAt }]) => revision > ownRevision && receivedAt <= latestReceipt)
    if (candidates.length === 0) return
    const greatestRevision = Math.max(...candidates.map(([, { revision }]) => revision))
    const announcers = candidates.filter(([, { revision }]) => revision === greatestRevision).map(([peer]) => peer)
    this.links.send(this.context.random.pick(announcers), { type: 'configurationRequest', logicalTime: this.context.events.clock.tick() })
  }

  private sendConfigurationTo (peer: string): void {
    const current = this.inForce
    if (current === undefined) return
    this.links.send(peer, { type: 'configurationText', logicalTime: this.context.events.clock.tick(), revision: current.revision, text: current.source })
  }

  private async announceTo (peer: string): Promise<void> {
    const hasher = await this.hasher
    const current = this.inForce
    if (current === undefined || this.isDisposed) return
    this.links.send(peer, { type: 'configurationAnnouncement', logicalTime: this.context.events.clock.tick(), revision: current.revision, digest: hasher.h64ToString(current.source) })
  }
}
