/** Limits of one executor as the site text states them. */
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

/** What a holder may be using of one executor. */
export interface Commitment {
  slots: number
  connections: number
  /** Grants sent that the holder has not confirmed, oldest first. */
  unconfirmed: Array<ExecutorCapacity & { sequence: number }>
  /** In flight by the last report. */
  inFlight: number
  /** Last amount decided; never more slots than the holder counts for. */
  granted: ExecutorCapacity
  expiresAt: number
  /** Greatest maximum run time while the commitment lasted. */
  maximumRunMilliseconds: number
}

/** What is known of a holder. */
export interface HolderState {
  readonly commitments: Map<string, Commitment>
  demand: Readonly<Record<string, number>>
  leaving: boolean
  lastReportAt: number
  lastReport: number
}
