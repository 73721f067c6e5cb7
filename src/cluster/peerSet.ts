import type { ClusterLink } from '../links/clusterLink.js'
import type { Random } from '../base/random.js'

/** Share of the largest peer's capacity at which a peer is an equivalent candidate for the scheduler role. */
const EQUIVALENT_CAPACITY_SHARE = 0.75

/** Another instance that has a link to this one. */
export interface Peer {
  readonly instance: string
  readonly link: ClusterLink
  /** Work of the active scheduler that the instance can handle, in cores. */
  readonly capacity: number
  /** Whether the instance reads the backlog of the organisations. */
  readonly readsBacklog: boolean
}

/** The instances that have a link to the holder of the scheduler role. */
export class PeerSet {
  private readonly peers = new Map<string, Peer>()

  constructor (private readonly random: Random) {}

  add (peer: Peer): void {
    this.peers.set(peer.instance, peer)
  }

  /** Removes a peer, unless it has opened another link in the meantime. */
  remove (instance: string, link: ClusterLink): void {
    if (this.peers.get(instance)?.link === link) this.peers.delete(instance)
  }

  [Symbol.iterator] (): Iterator<Peer> {
    return this.peers.values()
  }

  /** Returns a random one of the largest peers, because a small one could not keep up with the scheduler's work; undefined if there is none. */
  pickSuccessor (): Peer | undefined {
    const largest = Math.max(...[...this.peers.values()].map(peer => peer.capacity))
    const candidates = [...this.peers.values()].filter(peer => peer.capacity >= EQUIVALENT_CAPACITY_SHARE * largest)
    return candidates.length === 0 ? undefined : this.random.pick(candidates)
  }
}
