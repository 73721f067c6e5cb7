import { delay } from '../base/delay.js'
import { DisposableObject, type Disposable } from '../base/disposable.js'
import type { LogFollower } from '../links/logFollower.js'
import type { LinkTransport } from '../links/linkHub.js'
import type { CallerServer } from './callerServer.js'
import type { ConfigurationTask } from './configurationTask.js'
import type { EntryContext } from './entryContext.js'
import type { RequestDispatcher } from './requestDispatcher.js'
import type { JobTask } from './jobTask.js'
import type { MembershipTask } from './membershipTask.js'
import type { OwnershipTask } from './ownershipTask.js'
import type { PlacementTask } from './placementTask.js'
import type { SlotTask } from './slotTask.js'

/** Components that the life cycle of an entry instance operates on. */
export interface EntryComponents {
  readonly followers: readonly LogFollower[]
  readonly links: LinkTransport
  readonly membership: MembershipTask
  readonly configuration: ConfigurationTask
  readonly ownership: OwnershipTask
  readonly slots: SlotTask
  readonly requestDispatcher: RequestDispatcher
  readonly server: CallerServer
  readonly jobs: JobTask
  readonly placement: PlacementTask
  /** Everything that is disposed with the instance, in order of creation. */
  readonly disposables: readonly Disposable[]
}

export interface EntryPorts {
  readonly callers: number
  readonly links: number
}

const STOP_POLL_INTERVAL_MILLISECONDS = 20
const RELEASE_TIMEOUT_MILLISECONDS = 1000

/** Life cycle of one entry instance. */
export class EntryInstance extends DisposableObject {
  private accepting = true

  constructor (private readonly context: EntryContext, readonly components: EntryComponents) {
    super()
    for (const disposable of components.disposables) this.register(disposable)
  }

  /** Whether the instance has a configuration and is not stopping. */
  get isReady (): boolean {
    return this.accepting && this.components.configuration.inForce !== undefined
  }

  /** Whether the instance is ready and holds slots of at least one executor. */
  get canServe (): boolean {
    return this.isReady && this.components.slots.holder.holdsSlots(performance.now())
  }

  /** Starts listening and following the log. Rejects if an address is in use. */
  async start (): Promise<EntryPorts> {
    const { settings, events, logger } = this.context
    events.record('instanceStarted', { failureDomain: settings.failureDomain })
    const links = await this.components.links.listen(settings.links.host, settings.links.port)
    const callers = await this.components.server.listen(settings.callers.host, settings.callers.port)
    for (const follower of this.components.followers) follower.run()
    this.components.membership.refresh()
    const subscription = this.register(this.components.configuration.onDidChangeRevision(() => {
      subscription.dispose()
      logger.info('ready to serve')
      events.record('instanceReady')
    }))
    logger.info('listening', { address: `${settings.callers.host}:${callers}` })
    return { callers, links }
  }

  /** Shuts down gracefully: stops listening, refuses new requests, waits for requests in flight, releases ownership, drains connections and closes links. Resolves with the number of requests cut off. */
  async stop (): Promise<number> {
    const { settings, events, logger } = this.context
    const deadline = performance.now() + settings.stopBoundMilliseconds
    this.accepting = false
    this.components.membership.announceLeaving()
    events.record('instanceStopping')
    await this.components.server.stopListening(deadline)
    this.components.requestDispatcher.stopAccepting()
    const drained = this.components.server.drain(deadline)
    let grantsReturned = false
    while (this.components.requestDispatcher.activeRequests > 0 && performance.now() < deadline && !this.isDisposed) {
      if (!grantsReturned && this.components.requestDispatcher.waitingRequests === 0) {
        this.components.slots.returnGrants()
        grantsReturned = true
      }
      await delay(STOP_POLL_INTERVAL_MILLISECONDS)
    }
    this.components.slots.returnGrants()
    const unfinished = this.components.requestDispatcher.activeRequests
    await this.components.ownership.release(RELEASE_TIMEOUT_MILLISECONDS)
    const cutOff = Math.max(unfinished, await drained)
    if (cutOff > 0) logger.warn('shutdown deadline exceeded; requests are cut off', { count: cutOff })
    events.record('instanceStopped')
    this.dispose()
    return cutOff
  }
}
