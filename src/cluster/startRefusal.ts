import { discardTicket, type Step } from './job.js'
import type { CommandOutcome } from './workerPort.js'
import type { WorkerState } from './workerState.js'

/** Applies what the refusal of a start tells about the worker and the step, so that the next placement does not repeat it. */
export function applyStartRefusal (step: Step, worker: WorkerState, { reason }: Extract<CommandOutcome, { kind: 'refused' }>, now: number): void {
  if (reason === 'ticket') discardTicket(step, worker.identity)
  if (reason === 'unhealthy' || reason === 'room') worker.recordRefusal(now)
}
