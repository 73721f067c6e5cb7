import type { FakeWorker } from '../fakes/fakeClusterWorkers.js'
import { ClusterOracle } from '../fuzz/clusterOracle.js'
import type { InstanceProcess, Life } from './instanceProcess.js'
import type { SoakJob, SoakSite } from './soakSite.js'

/** Bounds that the platform states, in milliseconds. */
const VISIBLE_MILLISECONDS = 3000
const WAITING_AGE_MILLISECONDS = VISIBLE_MILLISECONDS + 2000
const CANCEL_MILLISECONDS = 3000
const LOSS_SLACK_MILLISECONDS = 200
export const STABLE_WINDOW_MILLISECONDS = 3000

/** A request that was sent to a process. */
export interface SentRequest {
  readonly instance: InstanceProcess
  readonly life: Life | undefined
  readonly what: string
  /** On the monotonic clock in milliseconds. */
  readonly sentAt: number
}

/** Checks what callers are told against what workers have run. */
export class SoakChecks extends ClusterOracle {
  /** Requests that were cut off so soon after they were sent that the process need not have read them. */
  cutUnread = 0
  /** Bounds in time that were not kept while the machine was slow. */
  excused = 0

  constructor (private readonly site: SoakSite) {
    super()
    this.setView(site)
  }

  override addProblem (problem: string): void {
    super.addProblem(`${new Date().toISOString()} ${problem}`)
  }

  /** Notes that a bound in time was not kept, unless the machine was too slow for it. */
  noteLate (problem: string): void {
    if (this.site.isSlow) this.excused += 1
    else this.addProblem(problem)
  }

  override onDidStart (worker: FakeWorker, task: string, run: number): void {
    super.onDidStart(worker, task, run)
    const now = performance.now()
    const job = this.site.jobs.find(({ identity }) => task.startsWith(`${identity}.`))
    if (job?.cancelledAt === undefined || now < job.cancelledAt + CANCEL_MILLISECONDS || !this.site.instances.every(instance => this.site.isInTouch(instance))) return
    this.addProblem(`Unasked: ${task} run ${run} was started on ${worker.identity} ${Math.round(now - job.cancelledAt)} ms after its job was cancelled`)
  }

  /** A connection ended without an answer. */
  onBroken ({ instance, life, what, sentAt }: SentRequest): void {
    if (life === undefined || life.isKilled || life.pausedUntil + STABLE_WINDOW_MILLISECONDS > sentAt) return
    const duration = Math.round(performance.now() - sentAt)
    if (duration <= LOSS_SLACK_MILLISECONDS) this.cutUnread += 1
    else this.noteLate(`WholeAnswer: ${instance.name} cut ${what} off after ${duration} ms${life.stoppedAt === undefined ? '' : ` and ${Math.round(performance.now() - life.stoppedAt)} ms after SIGTERM`}`)
  }

  onState (job: SoakJob, { instance, sentAt }: SentRequest, status: number, state: string): void {
    if (status === 410 && job.acceptedAt !== undefined && sentAt > job.acceptedAt + VISIBLE_MILLISECONDS) this.addProblem(`NoJobLost: ${instance.name} does not know ${job.identity}, accepted ${Math.round(sentAt - job.acceptedAt)} ms before`)
    if (status !== 200) return
    const step = this.firstUnfinishedStep(job)
    if (state === 'completed' && step >= 0) this.addProblem(`CompletedMeansDone: ${instance.name} shows ${job.identity} as completed, step ${step} is not done`)
    if (state === 'canceled' && !job.isCancelled) this.addProblem(`NoJobLost: ${instance.name} shows ${job.identity} as cancelled, nobody has cancelled it`)
    if (state === 'failed' && !this.expectedStates(job).includes('failed')) this.addProblem(`NoJobLost: ${instance.name} shows ${job.identity} as failed without cause`)
  }

  onWaiting (queue: string, { instance, sentAt }: SentRequest, waiting: number): void {
    if (!this.site.isInTouch(instance)) return
    const expected = this.site.jobs.filter(job => job.queue === queue && job.acceptedAt !== undefined && job.acceptedAt + WAITING_AGE_MILLISECONDS < sentAt && !job.isCancelled && !this.hasStarted(job.identity))
    if (2 * waiting < expected.length) this.addProblem(`WaitingCount: ${instance.name} says that ${waiting} jobs of ${queue} wait, ${expected.length} do: ${expected[0]?.identity}`)
  }

  /** What must hold at the end. `states`: the final state of each job that was accepted, as shown. */
  checkStatesInTheEnd (states: ReadonlyMap<SoakJob, string>): void {
    for (const job of this.site.jobs) {
      if (!job.mayRun && this.hasStarted(job.identity)) this.addProblem(`NotRunMeansNotRun: every attempt to submit ${job.identity} was refused, and it ran`)
      const state = states.get(job) ?? 'unknown'
      const expected = this.expectedStates(job).map(word => word === 'cancelled' ? 'canceled' : word)
      if (job.mayRun && !expected.includes(state)) this.addProblem(`NoJobLost: ${job.identity} is ${state} in the end`)
    }
    this.checkNoRunLeft(this.site)
  }
}
