/** Limits of one executor, from the site configuration. */
export interface ExecutorLimits {
  readonly name: string
  readonly pool: string
  readonly slots: number
  readonly connections: number
  /** Longest time a request can run on the executor, in milliseconds. */
  readonly maximumRunMilliseconds: number
}

/** Slots and connections of one executor. */
export interface ExecutorCapacity {
  readonly slots: number
  readonly connections: number
}

/** Slots and connections of one executor that a holder may be using. */
export interface Commitment {
  slots: number
  connections: number
  /** Grants that were sent but not confirmed by the holder, oldest first. */
  unconfirmed: Array<ExecutorCapacity & { sequence: number }>
  /** Requests in flight according to the last report. */
  inFlight: number
  /** Latest grant decided; its slots never exceed `slots`. */
  granted: ExecutorCapacity
  expiresAt: number
  /** Greatest maximum run time of the executor during the commitment. */
  maximumRunMilliseconds: number
}

/** State of a holder, from its reports and the grants to it. */
export interface HolderState {
  readonly commitments: Map<string, Commitment>
  demand: Readonly<Record<string, number>>
  leaving: boolean
  lastReportAt: number
  lastReportSequence: number
}
