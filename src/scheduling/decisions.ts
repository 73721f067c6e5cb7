import type { Job, JobOutcome } from '../contracts/jobs.js'
import type { Attempt } from '../contracts/workerProtocol.js'
import type { WorkerDescription } from '../machines/worker.js'
import type { HealthChange } from './workerHealth.js'

interface TaskCommand {
  readonly worker: WorkerDescription
  readonly task: string
  readonly attempt: Attempt
}

/** What the scheduler asks the surrounding task to do or to record. */
export type SchedulingDecision =
  | TaskCommand & { readonly kind: 'start', readonly job: Job, readonly taskIndex: number, readonly resumeFromMilliseconds: number }
  | TaskCommand & { readonly kind: 'stop' | 'checkpoint' }
  | TaskCommand & { readonly kind: 'throttle', readonly percent: number }
  | { readonly kind: 'preempted', readonly task: string, readonly worker: string, readonly by: string }
  | { readonly kind: 'jobEnded', readonly job: string, readonly outcome: JobOutcome, readonly reason?: string }
  | { readonly kind: 'taskLost', readonly task: string, readonly worker: string }
  | HealthChange

/** Attempts to renew on one worker and those whose end has been taken note of. */
export interface RenewalPlan {
  readonly worker: WorkerDescription
  readonly tasks: ReadonlyArray<{ task: string, attempt: Attempt }>
  readonly acknowledged: ReadonlyArray<{ task: string, attempt: Attempt }>
}
