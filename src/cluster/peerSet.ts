import type { ClusterLink } from '../links/clusterLink.js'
import type { Random } from '../base/random.js'

/** Part of the largest peer's capacity from which a peer counts as equally fit for the role of scheduler. */
const EQUALLY_FIT_SHARE = 0.75

/** Another instance that is linked to this one. */
export interface Peer {
  readonly instance: string
  readonly link: ClusterLink
  /** Work of the acting scheduler that the instance can carry, in cores. */
  readonly capacity: number
}

/** The instances that are linked to the holder of the role of scheduler. */
export class PeerSet {
  private readonly peers = new Map<string, Peer>()

  constructor (private readonly random: Random) {}

  add (peer: Peer): void {
    this.peers.set(peer.instance, peer)
  }

  /** Drops a peer, unless it has opened another link since. */
  remove (instance: string, link: ClusterLink): void {
    if (this.peers.get(instance)?.link === link) this.peers.delete(instance)
  }

  [Symbol.iterator] (): Iterator<Peer> {
    return this.peers.values()
  }

  /** One of the largest peers, at random: a small one could not keep up with the work of the scheduler. Undefined if there is none. */
  pickSuccessor (): Peer | undefined {
    const largest = Math.max(...[...this.peers.values()].map(peer => peer.capacity))
    const fit = [...this.peers.values()].filter(peer => peer.capacity >= EQUALLY_FIT_SHARE * largest)
    return fit.length === 0 ? undefined : this.random.pick(fit)
  }
}
