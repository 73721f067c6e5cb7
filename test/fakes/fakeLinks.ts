import { Emitter, type Event } from '../../src/base/emitter.js'
import { linkMessageSchema, type LinkMessage } from '../../src/contracts/linkMessages.js'
import type { PeerIdentity } from '../../src/links/handshake.js'
import { LinkTransport, type ReceivedMessage } from '../../src/links/linkHub.js'
import type { Network } from './network.js'
import type { SimulatedProcess } from './pausedClock.js'

/** The links among all entry instances, with their faults in percent of messages. */
export class FakeLinkFabric {
  readonly hubs = new Map<string, FakeLinks>()
  dropPercent = 0
  duplicatePercent = 0
  /** Messages are delayed by up to this much, each on its own, so that they overtake each other. */
  reorderMilliseconds = 0

  constructor (readonly network: Network) {}

  transmit (from: FakeLinks, to: FakeLinks, message: LinkMessage): void {
    const { network } = this
    if (network.random.integerBelow(100) < this.dropPercent) return
    const copies = network.random.integerBelow(100) < this.duplicatePercent ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const extra = this.reorderMilliseconds === 0 ? 0 : network.random.integerBelow(this.reorderMilliseconds)
      network.clock.after(network.delayMilliseconds() + extra, () => {
        if (network.isOpen(from.self.failureDomain, to.self.failureDomain) && network.isOpen(from.self.name, to.self.name)) to.receive(from.identity, message)
      })
    }
  }
}

/** One process's links. */
export class FakeLinks extends LinkTransport {
  private readonly links = new Map<string, FakeLinks>()
  private readonly didReceive = this.register(new Emitter<ReceivedMessage>())
  private readonly didOpen = this.register(new Emitter<PeerIdentity>())
  private readonly didClose = this.register(new Emitter<PeerIdentity>())
  override readonly onDidReceive: Event<ReceivedMessage> = this.didReceive.event
  override readonly onDidOpen: Event<PeerIdentity> = this.didOpen.event
  override readonly onDidClose: Event<PeerIdentity> = this.didClose.event
  override readonly bytesExchanged = 0
  override readonly malformedFrames = 0

  constructor (private readonly fabric: FakeLinkFabric, readonly self: SimulatedProcess, readonly identity: PeerIdentity) {
    super()
    this.register({ dispose: () => this.closeAll() })
  }

  override async listen (): Promise<number> {
    this.fabric.hubs.set(this.self.name, this)
    return 1
  }

  override peers (): readonly PeerIdentity[] {
    return [...this.links.values()].map(link => link.identity)
  }

  override send (instance: string, message: LinkMessage): boolean {
    const peer = this.links.get(instance)
    if (peer === undefined) return false
    this.fabric.transmit(this, peer, linkMessageSchema.parse(structuredClone(message)))
    return true
  }

  override connect (instance: string): void {
    const peer = this.fabric.hubs.get(instance)
    if (peer === undefined || this.links.has(instance) || peer === this) return
    const { network } = this.fabric
    network.clock.after(network.delayMilliseconds(), () => {
      const alive = this.fabric.hubs.get(instance) === peer && this.fabric.hubs.get(this.self.name) === this
      if (!alive || this.links.has(instance) || !network.isOpen(this.self.failureDomain, peer.self.failureDomain) || !network.isOpen(this.self.name, instance)) return
      this.open(peer)
      peer.open(this)
    })
  }

  /** Takes a message from a peer whose link is still open. */
  receive (from: PeerIdentity, message: LinkMessage): void {
    this.self.deliver(() => {
      if (this.links.get(from.instance)?.identity.incarnation === from.incarnation) this.didReceive.fire({ from, message: structuredClone(message) })
    })
  }

  /** Closes every link at once, as the end of the process does. */
  closeAll (): void {
    if (this.fabric.hubs.get(this.self.name) === this) this.fabric.hubs.delete(this.self.name)
    for (const peer of this.links.values()) peer.close(this)
    this.links.clear()
  }

  private open (peer: FakeLinks): void {
    this.links.set(peer.self.name, peer)
    this.self.deliver(() => this.didOpen.fire(peer.identity))
  }

  private close (peer: FakeLinks): void {
    if (this.links.get(peer.self.name) !== peer) return
    this.links.delete(peer.self.name)
    this.self.deliver(() => this.didClose.fire(peer.identity))
  }
}
