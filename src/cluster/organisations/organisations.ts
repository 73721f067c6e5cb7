import type { Organisation } from '../../contracts/clusterConfiguration.js'
import type { Step, Task } from '../job.js'
import type { WorkerState } from '../workerState.js'
import { CapGate, OrganisationCaps } from './organisationCaps.js'
import { OrganisationLedger } from './organisationLedger.js'

/** The organisations that share the workers: what they use, and what they may use. */
export class Organisations {
  readonly ledger = new OrganisationLedger()
  readonly caps = new OrganisationCaps(this.ledger)
  /** Whether the configuration has contained organisations. */
  private isEnabled = false
  private areRunsKnown = false

  constructor (private readonly workers: ReadonlyMap<string, WorkerState>) {}

  /** Applies a newer configuration. */
  configure (organisations: readonly Organisation[]): void {
    if (organisations.length > 0) this.isEnabled = true
    this.caps.configure(organisations)
  }

  /** Returns the gate for one placement pass; undefined if there are no organisations. */
  createCapGate (now: number): CapGate | undefined {
    if (!this.isEnabled) return undefined
    this.areRunsKnown ||= this.haveWorkersReported()
    return new CapGate(this.caps, this.areRunsKnown, now)
  }

  /** Returns true if a placed run may start below the cap that is in force now; recording its placement may have taken seconds. */
  mayStart (task: Task): boolean {
    return !this.isEnabled || this.caps.covers(task)
  }

  /** Returns true if tasks of the step cannot be placed now because of the cap of its organisation. */
  isAtCap (step: Step): boolean {
    return this.isEnabled && !this.caps.hasRoomFor(step, step.specification.gang ? step.tasks.length : 1)
  }

  /** Returns the tasks that do not wait for a cap, so that nothing is kept free for the others. */
  withoutCapped (tasks: ReadonlySet<Task>): ReadonlySet<Task> {
    if (!this.isEnabled || tasks.size === 0) return tasks
    return new Set([...tasks].filter(task => task.hasRun || !this.isAtCap(task.step)))
  }

  /**
   * The record of a finished job names no runs, so a former scheduler may have been stopping some that only the reports of their workers
   * show. A worker that does not respond is not waited for.
   */
  private haveWorkersReported (): boolean {
    for (const worker of this.workers.values()) {
      if (worker.isListed && !worker.hasReported && !worker.isUnresponsive) return false
    }
    return true
  }
}
