import { DisposableObject } from '../base/disposable.js'
import { describeError } from '../base/logger.js'
import type { InstanceList } from '../links/instanceList.js'
import type { LinkTransport } from '../links/linkHub.js'
import { Membership, type ListedEntry } from '../machines/membership.js'
import { monotonicNow, type EntryContext } from './entryContext.js'

const FETCH_PERIOD_MILLISECONDS = 500
const HEARTBEAT_PERIOD_MILLISECONDS = 1000

/** Follows the platform's instance list and keeps links to the entry instances of the own failure domain. */
export class MembershipTask extends DisposableObject {
  readonly membership = new Membership()
  private leaving = false
  private fetching = false
  private failing = false

  constructor (private readonly context: EntryContext, private readonly list: InstanceList, private readonly links: LinkTransport) {
    super()
    this.registerInterval(() => this.refresh(), FETCH_PERIOD_MILLISECONDS)
    this.registerInterval(() => this.sendHeartbeats(), HEARTBEAT_PERIOD_MILLISECONDS)
    this.register(links.onDidReceive(({ from, message }) => {
      if (message.type === 'heartbeat') this.membership.recordHeartbeat(from.instance, from.incarnation, message.leaving, monotonicNow())
    }))
    this.register(links.onDidOpen(peer => this.sendHeartbeat(peer.instance)))
  }

  /** Tells every peer at once that this instance leaves, so that a lagging list does not matter. */
  announceLeaving (): void {
    this.leaving = true
    this.sendHeartbeats()
  }

  private sendHeartbeats (): void {
    for (const peer of this.links.peers()) this.sendHeartbeat(peer.instance)
  }

  private sendHeartbeat (peer: string): void {
    this.links.send(peer, { type: 'heartbeat', logicalTime: this.context.events.clock.tick(), leaving: this.leaving })
  }

  /** Fetches the list once; keeps the last one when the platform is away. */
  async refresh (): Promise<void> {
    if (this.fetching) return
    this.fetching = true
    try {
      const instances = await this.list.fetch()
      if (this.isDisposed) return
      this.membership.update(instances, monotonicNow())
      this.failing = false
      this.connectPeers()
    } catch (error) {
      if (this.isDisposed) return
      if (!this.failing) this.context.logger.warn('fetching the instance list failed; the last one stays in use', { reason: describeError(error) })
      this.failing = true
    } finally {
      this.fetching = false
    }
  }

  /** Inside the failure domain one side of each pair dials: the one whose name sorts first. Of each other failure domain one instance is linked. */
  private connectPeers (): void {
    const { instance, failureDomain } = this.context.settings
    const others = new Map<string, ListedEntry[]>()
    for (const entry of this.membership.entries()) {
      if (entry.failureDomain === failureDomain) {
        if (entry.name > instance) this.links.connect(entry.name, entry.address)
      } else if (entry.state === 'live') others.set(entry.failureDomain, [...others.get(entry.failureDomain) ?? [], entry])
    }
    const linked = new Set(this.links.peers().map(peer => peer.failureDomain))
    for (const [domain, entries] of others) {
      if (linked.has(domain)) continue
      const { name, address } = this.context.random.pick(entries)
      this.links.connect(name, address)
    }
  }
}
