/** What the platform's registry says of a worker. */
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
  /** Start of the worker's process as Unix milliseconds; 0 if not stated. Tells a restart under the same identity. */
  readonly bornAt: number
}

/** A run that the worker reports as present. */
export interface RunningReport {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  /** Progress in percent; of a long-running task 100 means that it is at work. */
  readonly percent: number
}

export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** The end of a run. `number` counts the ends of one process of the worker, from 1. */
export interface EndReport {
  readonly number: number
  readonly task: string
  readonly run: number
  readonly kind: EndKind
  readonly checkpoint: string
}

/** A worker's answer to a look. */
export interface WorkerReport {
  /** The worker's own steady clock, in milliseconds. */
  readonly clockMilliseconds: number
  readonly bornAt: number
  readonly running: readonly RunningReport[]
  readonly ended: readonly EndReport[]
}

export type PollOutcome =
  /** `acknowledgedEnd`: up to which end the worker was in fact told to forget; 0 for none. */
  | { readonly kind: 'report', readonly report: WorkerReport, readonly acknowledgedEnd: number }
  /** The worker has obeyed a greater term. */
  | { readonly kind: 'fenced' }
  /** Another worker answers at this address. */
  | { readonly kind: 'replaced' }
  | { readonly kind: 'failed', readonly reason: string }

/** Outcome of an order. `unknown` means that it may be carried out, now or seconds later. */
export type CommandOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'refused', readonly reason: 'old' | 'late' | 'room' | 'ticket' | 'unhealthy' | 'invalid' }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'replaced' }
  | { readonly kind: 'notSent', readonly reason: string }
  | { readonly kind: 'unknown', readonly reason: string }

/** Identity and address of the worker that an order is meant for. */
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
   * Ends up to this number may be forgotten by the process that gave the latest report of the sequence. Another process under the
   * same identity counts its ends anew, so that the number is sent only over the connection of that report.
   */
  readonly acknowledgedEnd: number
  /** Looks of the sequence follow each other on one connection. A look beside it is not held up by one that waits, and acknowledges nothing. */
  readonly isInSequence: boolean
  /** End of the lease on the worker's clock in milliseconds; absent where nothing is to be kept running. */
  readonly leaseUntil?: number
  /** How long the worker may wait for an end before it answers. */
  readonly waitMilliseconds: number
}

/** Orders to workers. No method rejects; failures are outcomes. */
export abstract class WorkerPort {
  abstract poll (worker: WorkerAddress, order: PollRequest, signal?: AbortSignal): Promise<PollOutcome>
  abstract start (worker: WorkerAddress, order: StartCommand): Promise<CommandOutcome>
  abstract stop (worker: WorkerAddress, task: string, run: number, term: number): Promise<CommandOutcome>
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
  /** `workers`: at most 100 identities. */
  abstract query (step: string, workers: readonly string[], timeoutMilliseconds: number): Promise<EligibilityOutcome>
}
