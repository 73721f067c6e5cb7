import type { Job, JobOutcome } from '../contracts/jobs.js'
import type { Attempt } from '../contracts/workerProtocol.js'
import type { WorkerDescription } from '../machines/worker.js'
import type { HealthChange } from './workerHealth.js'

interface TaskCommand {
  readonly worker: WorkerDescription
  readonly task: string
  readonly attempt: Attempt
}

/** Command or event that the scheduler asks its caller to send or to record. */
export type SchedulingDecision =
  | TaskCommand & { readonly kind: 'start', readonly job: Job, readonly taskIndex: number, readonly resumeFromMilliseconds: number }
  | TaskCommand & { readonly kind: 'stop' | 'checkpoint' }
  | TaskCommand & { readonly kind: 'throttle', readonly percent: number }
  | { readonly kind: 'preempted', readonly task: string, readonly worker: string, readonly by: string }
  | { readonly kind: 'jobEnded', readonly job: string, readonly outcome: JobOutcome, readonly reason?: string }
  | { readonly kind: 'taskLost', readonly task: string, readonly worker: string }
  | HealthChange

/** Attempts whose lease is to be renewed on one worker, and ended attempts to acknowledge to it. */
export interface RenewalPlan {
  readonly worker: WorkerDescription
  readonly tasks: ReadonlyArray<{ task: string, attempt: Attempt }>
  readonly acknowledged: ReadonlyArray<{ task: string, attempt: Attempt }>
}
