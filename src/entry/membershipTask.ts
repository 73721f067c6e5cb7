import { DisposableObject } from '../base/disposable.js'
import { describeError } from '../base/logger.js'
import type { InstanceList } from '../links/instanceList.js'
import type { LinkTransport } from '../links/linkHub.js'
import { Membership, type ListedEntry } from '../machines/membership.js'
import { monotonicNow, type EntryContext } from './entryContext.js'

const FETCH_INTERVAL_MILLISECONDS = 500
const HEARTBEAT_INTERVAL_MILLISECONDS = 1000

/** Polls the platform's instance list, and maintains links to the entry instances of the own failure domain and to one of each other failure domain. */
export class MembershipTask extends DisposableObject {
  readonly membership = new Membership()
  private leaving = false
  private fetching = false
  private lastFetchFailed = false

  constructor (private readonly context: EntryContext, private readonly list: InstanceList, private readonly links: LinkTransport) {
    super()
    this.registerInterval(() => this.refresh(), FETCH_INTERVAL_MILLISECONDS)
    this.registerInterval(() => this.sendHeartbeats(), HEARTBEAT_INTERVAL_MILLISECONDS)
    this.register(links.onDidReceive(({ from, message }) => {
      if (message.type === 'heartbeat') this.membership.recordHeartbeat(from.instance, from.incarnation, message.leaving, monotonicNow())
    }))
    this.register(links.onDidOpen(peer => this.sendHeartbeat(peer.instance)))
  }

  /** Notifies every peer at once that this instance is leaving, so that they need not wait for the lagging list. */
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

  /** Fetches the list once. The previous one remains in use while the platform is unavailable. */
  async refresh (): Promise<void> {
    if (this.fetching) return
    this.fetching = true
    try {
      const instances = await this.list.fetch()
      if (this.isDisposed) return
      this.membership.update(instances, monotonicNow())
      this.lastFetchFailed = false
      this.connectPeers()
    } catch (error) {
      if (this.isDisposed) return
      if (!this.lastFetchFailed) this.context.logger.warn('fetching the instance list failed; the previous list remains in use', { reason: describeError(error) })
      this.lastFetchFailed = true
    } finally {
      this.fetching = false
    }
  }

  /** Connects to the instances of the own failure domain, where the instance of each pair whose name sorts first dials, and to one instance of each other failure domain. */
  private connectPeers (): void {
    const { instance, failureDomain } = this.context.settings
    const remoteEntries = new Map<string, ListedEntry[]>()
    for (const entry of this.membership.entries()) {
      if (entry.failureDomain === failureDomain) {
        if (entry.name > instance) this.links.connect(entry.name, entry.address)
      } else if (entry.state === 'live') remoteEntries.set(entry.failureDomain, [...remoteEntries.get(entry.failureDomain) ?? [], entry])
    }
    const linkedDomains = new Set(this.links.peers().map(peer => peer.failureDomain))
    for (const [domain, entries] of remoteEntries) {
      if (linkedDomains.has(domain)) continue
      const { name, address } = this.context.random.pick(entries)
      this.links.connect(name, address)
    }
  }
}
