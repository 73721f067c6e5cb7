/** Entry of a worker in the platform's registry. */
export interface WorkerEntry {
  readonly identity: string
  readonly pool: string
  readonly address: string
  readonly failureDomain: string
  readonly state: 'ready' | 'draining'
  readonly processorsThousandths: number
  readonly memoryMegabytes: number
  readonly accelerators: number
  readonly labels: readonly string[]
  /** Machine on which the worker runs; a later worker on the same machine replaces it. Empty if the entry does not state it. */
  readonly machine: string
  /** Minimum time until a draining worker exits, in milliseconds from the writing of the entry; undefined if unknown. */
  readonly drainRemainingMilliseconds?: number
  /** Start of the worker's process as Unix time in milliseconds, 0 if unknown. Distinguishes a restart under the same identity. */
  readonly processStartedAt: number
}

/** A run that the worker reports as running. */
export interface RunningReport {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  /** Progress in percent; for a long-running task, 100 means that it is in service. */
  readonly percent: number
  /**
   * Load over the last half second, a rough figure: for a long-running task the tail latency in milliseconds, for others the
   * processors in use in thousandths. Undefined if the worker does not report it.
   */
  readonly load?: number
}

/**
 * How a run ended. `lapsed`: the lease of the worker expired. `broken`: another member of its gang ended, with any outcome.
 * `alone`: not all members of its gang were running in time.
 */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** The end of a run. `number` numbers the ends of one process of the worker consecutively from 1. */
export interface EndReport {
  readonly number: number
  readonly task: string
  readonly run: number
  readonly kind: EndKind
  readonly checkpoint: string
}

/** Response of a worker to a poll. */
export interface WorkerReport {
  /** The worker's own monotonic clock, in milliseconds. */
  readonly clockMilliseconds: number
  readonly processStartedAt: number
  /** All runs that are running. */
  readonly running: readonly RunningReport[]
  /** Ends that are not acknowledged, in the order of their numbers. */
  readonly ended: readonly EndReport[]
  /** Whether the worker may have further unacknowledged ends, which a report lists only once those before them are acknowledged. */
  readonly mayOmitEnds: boolean
}

export type PollOutcome =
  /** `acknowledgedEnd` is the number of the last end whose acknowledgement was in fact sent; 0 for none. */
  | { readonly kind: 'report', readonly report: WorkerReport, readonly acknowledgedEnd: number }
  /** The worker has accepted a greater term. */
  | { readonly kind: 'fenced' }
  /** Another worker responds at this address. */
  | { readonly kind: 'replaced' }
  | { readonly kind: 'failed', readonly reason: string }

/**
 * Outcome of a command. `unknown` means that it may be executed, now or seconds later. Reasons of a refusal include `old`: the run,
 * or a later run of the task, has already ended or been stopped; `late`: the lease in the command has expired; `room`: too little free capacity.
 */
export type CommandOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'refused', readonly reason: 'old' | 'late' | 'room' | 'ticket' | 'unhealthy' | 'invalid' }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'replaced' }
  | { readonly kind: 'notSent', readonly reason: string }
  | { readonly kind: 'unknown', readonly reason: string }

/** Identity and address of the worker to which a command is sent. */
export interface WorkerAddress {
  readonly identity: string
  readonly address: string
}

export interface StartCommand {
  readonly task: string
  readonly run: number
  readonly specification: string
  readonly leaseUntil: number
  readonly term: number
  readonly checkpoint: string
  readonly ticket: string
}

export interface PollRequest {
  readonly term: number
  /**
   * Acknowledges the ends up to this number to the process that sent the latest report of the sequence. Another process under the
   * same identity numbers its ends from 1 again, so the acknowledgement is sent only over the connection of that report.
   */
  readonly acknowledgedEnd: number
  /** Polls of the sequence follow each other on one connection. A poll outside it is not blocked behind a long poll, and acknowledges nothing. */
  readonly isInSequence: boolean
  /** End of the lease on the worker's clock, in milliseconds; absent if the lease is not to be renewed. */
  readonly leaseUntil?: number
  /** Longest time that the worker waits for an end before it responds. */
  readonly waitMilliseconds: number
}

/** Sends polls and commands to workers. No method rejects; failures are outcomes. */
export abstract class WorkerPort {
  abstract poll (worker: WorkerAddress, request: PollRequest, signal?: AbortSignal): Promise<PollOutcome>
  abstract start (worker: WorkerAddress, command: StartCommand): Promise<CommandOutcome>
  abstract stop (worker: WorkerAddress, task: string, run: number, term: number): Promise<CommandOutcome>
  /** Sets the share of its speed at which a run works, in percent; 100 at its start. */
  abstract pace (worker: WorkerAddress, task: string, run: number, percent: number, term: number): Promise<CommandOutcome>
}

/** A worker that may run a step, with the ticket that proves it. */
export interface EligibleWorker {
  readonly worker: string
  readonly ticket: string
}

export type EligibilityOutcome =
  | { readonly kind: 'eligible', readonly workers: readonly EligibleWorker[], readonly validMilliseconds: number }
  | { readonly kind: 'failed', readonly reason: string }

/** The service that decides which workers may run a step. */
export abstract class EligibilityPort {
  /** Returns which of the workers may run the step. `workers` holds at most 100 identities. */
  abstract query (step: string, workers: readonly string[], timeoutMilliseconds: number): Promise<EligibilityOutcome>
}
