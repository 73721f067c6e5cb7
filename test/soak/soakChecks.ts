import type { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { ClusterOracle } from '../fuzz/clusterOracle.js'
import type { InstanceProcess, ProcessState } from './instanceProcess.js'
import type { SoakJob, SoakSite } from './soakSite.js'

/** Time bounds that the platform states, in milliseconds. */
const VISIBLE_MILLISECONDS = 3000
const WAITING_AGE_MILLISECONDS = VISIBLE_MILLISECONDS + 2000
const CANCEL_MILLISECONDS = 3000
const UNREAD_SLACK_MILLISECONDS = 200
export const STABLE_WINDOW_MILLISECONDS = 3000

/** A request that was sent to a process. */
export interface SentRequest {
  readonly instance: InstanceProcess
  readonly process: ProcessState | undefined
  readonly description: string
  /** Monotonic time in milliseconds. */
  readonly sentAt: number
}

/** Checks the responses to callers against the runs of the workers. */
export class SoakChecks extends ClusterOracle {
  /** Number of requests interrupted so soon after they were sent that the process may not have read them. */
  interruptedUnread = 0
  /** Number of time bounds missed while the machine was slow. */
  excusedBounds = 0

  constructor (private readonly site: SoakSite) {
    super()
    this.setView(site)
  }

  override addProblem (problem: string): void {
    super.addProblem(`${new Date().toISOString()} ${problem}`)
  }

  /** Notes a missed time bound, unless the machine was too slow to meet it. */
  noteMissedBound (problem: string): void {
    if (this.site.isMachineSlow) this.excusedBounds += 1
    else this.addProblem(problem)
  }

  override onDidStart (worker: FakeClusterWorker, task: string, run: number): void {
    super.onDidStart(worker, task, run)
    const now = performance.now()
    const job = this.site.jobs.find(({ identity }) => task.startsWith(`${identity}.`))
    if (job?.cancelledAt === undefined || now < job.cancelledAt + CANCEL_MILLISECONDS || !this.site.instances.every(instance => this.site.isStable(instance))) return
    this.addProblem(`Unasked: ${task} run ${run} was started on ${worker.identity} ${Math.round(now - job.cancelledAt)} ms after its job was cancelled`)
  }

  /** Checks a connection that ended without a response. */
  onConnectionBroken ({ instance, process, description, sentAt }: SentRequest): void {
    if (process === undefined || process.isKilled || process.pausedUntil + STABLE_WINDOW_MILLISECONDS > sentAt) return
    const duration = Math.round(performance.now() - sentAt)
    if (duration <= UNREAD_SLACK_MILLISECONDS) this.interruptedUnread += 1
    else this.noteMissedBound(`WholeAnswer: ${instance.name} interrupted ${description} after ${duration} ms${process.stopRequestedAt === undefined ? '' : ` and ${Math.round(performance.now() - process.stopRequestedAt)} ms after SIGTERM`}`)
  }

  onState (job: SoakJob, { instance, sentAt }: SentRequest, status: number, state: string): void {
    if (status === 410 && job.acceptedAt !== undefined && sentAt > job.acceptedAt + VISIBLE_MILLISECONDS) this.addProblem(`NoJobLost: ${instance.name} does not know ${job.identity}, accepted ${Math.round(sentAt - job.acceptedAt)} ms before`)
    if (status !== 200) return
    const step = this.firstUnfinishedStep(job)
    if (state === 'completed' && step >= 0) this.addProblem(`CompletedMeansDone: ${instance.name} reports ${job.identity} as completed, but step ${step} is not done`)
    if (state === 'canceled' && !job.isCancelled) this.addProblem(`NoJobLost: ${instance.name} reports ${job.identity} as cancelled, but no caller cancelled it`)
    if (state === 'failed' && !this.expectedStates(job).includes('failed')) this.addProblem(`NoJobLost: ${instance.name} reports ${job.identity} as failed without cause`)
  }

  onWaitingCount (queue: string, { instance, sentAt }: SentRequest, waiting: number): void {
    if (!this.site.isStable(instance)) return
    const expected = this.site.jobs.filter(job => job.queue === queue && job.acceptedAt !== undefined && job.acceptedAt + WAITING_AGE_MILLISECONDS < sentAt && !job.isCancelled && !this.hasStarted(job.identity))
    if (2 * waiting < expected.length) this.addProblem(`WaitingCount: ${instance.name} reports ${waiting} waiting jobs of ${queue}, but ${expected.length} are waiting: ${expected[0]?.identity}`)
  }

  /** Checks the site after all faults have ended. `states` holds the last state that a caller received for each job. */
  checkFinalStates (states: ReadonlyMap<SoakJob, string>): void {
    for (const job of this.site.jobs) {
      if (!job.mayRun && this.hasStarted(job.identity)) this.addProblem(`NotRunMeansNotRun: every attempt to submit ${job.identity} was refused, but it ran`)
      const state = states.get(job) ?? 'unknown'
      const expected = this.expectedStates(job).map(expectedState => expectedState === 'cancelled' ? 'canceled' : expectedState)
      if (job.mayRun && !expected.includes(state)) this.addProblem(`NoJobLost: ${job.identity} is ${state} in the final state`)
    }
    this.checkNoRunLeft(this.site)
  }
}
