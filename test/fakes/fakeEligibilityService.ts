import type { EligibilityChannel } from '../../src/cluster/eligibilityRequester.js'
import type { EligibilityOutcome, StartCommand } from '../../src/cluster/workerPort.js'
import type { PausedClock, SimulatedProcess } from './pausedClock.js'

/** Time that the service takes for a request, and validity of its tickets, in milliseconds. */
export const DECISION_MILLISECONDS = 400
export const PER_WORKER_MILLISECONDS = 6
export const TICKET_MILLISECONDS = 2500
/** Time after which a request without a response counts as failed, beyond the timeout that the caller states, in milliseconds. */
const ROUND_TRIP_MILLISECONDS = 50

/** Fault of the path through an instance: requests get no response, or a refusal at once. */
export type ChannelFault = 'none' | 'silent' | 'refused'

/** Service that names the workers that may run a step. It handles one request of an instance at a time, in turn. */
export class FakeEligibilityService {
  /** Faults by instance; kept by instances through changes of the scheduler. */
  readonly faults = new Map<string, ChannelFault>()
  private readonly busyUntil = new Map<string, number>()
  /** Returns whether a worker may run a step, which does not change. */
  isEligible: (step: string, worker: string) => boolean = () => true

  constructor (private readonly clock: PausedClock, private readonly instances: readonly string[], private readonly startOf: (worker: string) => number | undefined) {}

  /** Returns the channels of a scheduler in a process. */
  channelsOf (process: SimulatedProcess): EligibilityChannel[] {
    return this.instances.map(instance => ({
      instance,
      request: async (step, workers, timeoutMilliseconds) => await new Promise<EligibilityOutcome>(resolve => {
        const finish = (outcome: EligibilityOutcome): void => process.deliver(() => resolve(outcome))
        this.clock.after(timeoutMilliseconds + ROUND_TRIP_MILLISECONDS, () => finish({ kind: 'failed', reason: 'the instance did not respond' }))
        const fault = this.faults.get(instance) ?? 'none'
        if (fault === 'refused') this.clock.after(1, () => finish({ kind: 'failed', reason: 'status 429' }))
        if (fault !== 'none') return
        const now = performance.now()
        const decidedAt = Math.max(now, this.busyUntil.get(instance) ?? 0) + DECISION_MILLISECONDS + workers.length * PER_WORKER_MILLISECONDS
        this.busyUntil.set(instance, decidedAt)
        this.clock.after(decidedAt - now, () => finish({ kind: 'eligible', workers: this.decide(step, workers), validMilliseconds: TICKET_MILLISECONDS }))
      })
    }))
  }

  /** Returns whether the ticket of a command is valid on a worker now. */
  isTicketValid (worker: string, { task, ticket }: Pick<StartCommand, 'task' | 'ticket'>): boolean {
    const [step, named, start, validUntil] = ticket.split('/')
    return step === task.slice(0, task.lastIndexOf('.')) && named === worker && Number(start) === this.startOf(worker) && performance.now() <= Number(validUntil)
  }

  private decide (step: string, workers: readonly string[]): Array<{ worker: string, ticket: string }> {
    return workers.flatMap(worker => {
      const start = this.startOf(worker)
      return start === undefined || !this.isEligible(step, worker) ? [] : [{ worker, ticket: `${step}/${worker}/${start}/${performance.now() + TICKET_MILLISECONDS}` }]
    })
  }
}
