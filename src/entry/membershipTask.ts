import { DisposableObject } from '../base/disposable.js'
import { describeError } from '../base/logger.js'
import type { InstanceList } from '../links/instanceList.js'
import type { LinkTransport } from '../links/linkHub.js'
import { Membership } from '../machines/membership.js'
import { monotonicNow, type EntryContext } from './entryContext.js'

const FETCH_PERIOD_MILLISECONDS = 500

/** Follows the platform's instance list and keeps links to the entry instances of the own failure domain. */
export class MembershipTask extends DisposableObject {
  readonly membership = new Membership()
  private fetching = false
  private failing = false

  constructor (private readonly context: EntryContext, private readonly list: InstanceList, private readonly links: LinkTransport) {
    super()
    this.registerInterval(() => this.refresh(), FETCH_PERIOD_MILLISECONDS)
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

  /** One side of each pair dials: the one whose name sorts first. */
  private connectPeers (): void {
    const { instance, failureDomain } = this.context.settings
    for (const entry of this.membership.entries()) {
      if (entry.failureDomain === failureDomain && entry.name > instance) this.links.connect(entry.name, entry.address)
    }
  }
}
