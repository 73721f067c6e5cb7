import { Emitter, type Event } from '../base/emitter.js'
import { Task } from '../base/task.js'
import { describeError } from '../base/logger.js'
import type { StoredRecord } from '../contracts/records.js'
import type { LogFollower } from '../links/logFollower.js'
import type { LinkTransport } from '../links/linkHub.js'
import { ConfigurationHistory, type ConfigurationRevision } from '../zones/configurationHistory.js'
import type { EntryContext } from './entryContext.js'

type ConfigurationMessage =
  | { readonly kind: 'record', readonly record: StoredRecord }
  | { readonly kind: 'truncated', readonly retainedFrom: number }
  | { readonly kind: 'announced', readonly revision: number, readonly source: string, readonly from: string }

/** Owns the site text in force: follows the log, learns from peers, and announces new revisions to them. */
export class ConfigurationTask extends Task<ConfigurationMessage> {
  private readonly history = new ConfigurationHistory()
  private readonly didChange = new Emitter<ConfigurationRevision>()
  /** Fires after a greater revision has come into force. */
  readonly onDidChangeRevision: Event<ConfigurationRevision> = this.didChange.event

  constructor (private readonly context: EntryContext, follower: LogFollower, private readonly links: LinkTransport) {
    super()
    this.register(this.didChange)
    this.register(follower.onDidReadRecord(record => this.post({ kind: 'record', record })))
    this.register(follower.onDidTruncate(retainedFrom => this.post({ kind: 'truncated', retainedFrom })))
    this.register(links.onDidReceive(({ from, message }) => {
      if (message.type === 'configurationAnnouncement') this.post({ kind: 'announced', revision: message.revision, source: message.text, from: from.instance })
    }))
    this.register(links.onDidOpen(peer => this.announceTo(peer.instance)))
  }

  get inForce (): ConfigurationRevision | undefined {
    return this.history.inForce
  }

  /** Returns the record that restates the text in force, if it is known to be the decided one. */
  restatement (): ReturnType<ConfigurationHistory['restatement']> {
    return this.history.restatement()
  }

  protected override handle (message: ConfigurationMessage): void {
    const before = this.inForce?.revision ?? 0
    switch (message.kind) {
      case 'truncated':
        this.history.markTruncated(message.retainedFrom)
        break
      case 'record':
        this.applyRecord(message.record)
        break
      case 'announced':
        if (this.history.learn(message.revision, message.source)) this.context.logger.info('learned a configuration from a peer', { peer: message.from, revision: message.revision })
    }
    const current = this.inForce
    if (current === undefined || current.revision === before) return
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

  private announceTo (peer: string): void {
    const current = this.inForce
    if (current === undefined) return
    this.links.send(peer, { type: 'configurationAnnouncement', logicalTime: this.context.events.clock.tick(), revision: current.revision, text: current.source })
  }
}
