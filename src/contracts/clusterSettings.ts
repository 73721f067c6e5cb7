/** A TCP address. */
export interface SocketAddress {
  readonly host: string
  readonly port: number
}

/** Bounds set by the platform. */
export interface ClusterBounds {
  /** Longest lease of a worker. */
  readonly workerLeaseMilliseconds: number
  /** Grace time between the stop signal and the kill. */
  readonly graceMilliseconds: number
  /** Time from the registry's statement that a worker's capacity has shrunk until every start must respect it. */
  readonly capacityGraceMilliseconds: number
  /** Time for which the state of a finished job stays readable. */
  readonly stateRetentionMilliseconds: number
}

/** Bounds on the use of API keys that have been withdrawn. */
export interface KeyRevocation {
  /** Time from the withdrawal of a key until every instance refuses it. */
  readonly milliseconds: number
  /** Whether an instance that cannot read the configuration refuses reads too after that time, not only writes. */
  readonly appliesToReads: boolean
}

/** Settings of one instance of the cluster scheduler. */
export interface ClusterSettings {
  readonly instance: string
  readonly failureDomain: string
  readonly callers: SocketAddress
  readonly readiness: SocketAddress
  readonly link: SocketAddress
  readonly metrics: SocketAddress
  /** Processor time that the instance may use, in cores. */
  readonly processorShare: number
  /** Bandwidth of the instance's own link, in megabits per second. */
  readonly linkMegabits: number
  readonly bounds: ClusterBounds
  readonly keyRevocation: KeyRevocation
}
