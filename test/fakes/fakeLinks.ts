import { Emitter, type Event } from '../../src/base/emitter.js'
import { linkMessageSchema, type LinkMessage } from '../../src/contracts/linkMessages.js'
import type { PeerIdentity } from '../../src/links/handshake.js'
import { LinkTransport, type ReceivedMessage } from '../../src/links/linkHub.js'
import type { Network } from './network.js'
import type { SimulatedProcess } from './pausedClock.js'

/** The network of links between all entry instances. Faults are given as percentages of the messages. */
export class FakeLinkFabric {
  readonly hubs = new Map<string, FakeLinks>()
  dropPercent = 0
  duplicatePercent = 0
  /** Upper bound of the additional delay of a message. It is drawn for each message, so that messages overtake each other. */
  reorderMilliseconds = 0

  constructor (readonly network: Network) {}

  transmit (from: FakeLinks, to: FakeLinks, message: LinkMessage): void {
    const { network } = this
    if (network.random.integerBelow(100) < this.dropPercent) return
    const copies = network.random.integerBelow(100) < this.duplicatePercent ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const extraMilliseconds = this.reorderMilliseconds === 0 ? 0 : network.random.integerBelow(this.reorderMilliseconds)
      network.clock.after(network.delayMilliseconds() + extraMilliseconds, () => {
        if (network.isOpen(from.process.failureDomain, to.process.failureDomain) && network.isOpen(from.process.name, to.process.name)) to.receive(from.identity, message)
      })
    }
  }
}

/** The links of one process. */
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

  constructor (private readonly fabric: FakeLinkFabric, readonly process: SimulatedProcess, readonly identity: PeerIdentity) {
    super()
    this.register({ dispose: () => this.closeAll() })
  }

  override async listen (): Promise<number> {
    this.fabric.hubs.set(this.process.name, this)
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
      const areListening = this.fabric.hubs.get(instance) === peer && this.fabric.hubs.get(this.process.name) === this
      if (!areListening || this.links.has(instance) || !network.isOpen(this.process.failureDomain, peer.process.failureDomain) || !network.isOpen(this.process.name, instance)) return
      this.open(peer)
      peer.open(this)
    })
  }

  /** Delivers a message from a peer, unless its link has been closed. */
  receive (from: PeerIdentity, message: LinkMessage): void {
    this.process.deliver(() => {
      if (this.links.get(from.instance)?.identity.incarnation === from.incarnation) this.didReceive.fire({ from, message: structuredClone(message) })
    })
  }

  /** Closes all links at once, as when the process exits. */
  closeAll (): void {
    if (this.fabric.hubs.get(this.process.name) === this) this.fabric.hubs.delete(this.process.name)
    for (const peer of this.links.values()) peer.close(this)
    this.links.clear()
  }

  private open (peer: FakeLinks): void {
    this.links.set(peer.process.name, peer)
    this.process.deliver(() => this.didOpen.fire(peer.identity))
  }

  private close (peer: FakeLinks): void {
    if (this.links.get(peer.process.name) !== peer) return
    this.links.delete(peer.process.name)
    this.process.deliver(() => this.didClose.fire(peer.identity))
  }
}
