import { mock } from 'node:test'
import { AdmissionController, MEASURE_PERIOD_MILLISECONDS } from '../../../src/cluster/admission/admissionController.js'
import { SubmissionAdmission, type AdmissionOutcome } from '../../../src/cluster/admission/submissionAdmission.js'
import { ClusterScheduler } from '../../../src/cluster/clusterScheduler.js'
import { stepJobSchema } from '../../../src/contracts/stepJob.js'
import { FakeClusterWorker } from '../../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../../fakes/silentObserver.js'

export const CORES = 12
export const STEP_MILLISECONDS = 50
const INSTANCES = 4
/** A job's objective is 2.5 s: twice its second of work, and half a second. */
const QUEUE = { host: 'h', routePrefix: '/q/', pool: 'pool', attempts: 3, stretch: 2, targetMilliseconds: 500 }
const QUEUES = [{ ...QUEUE, name: 'urgent', priority: 0 }, { ...QUEUE, name: 'batch', priority: 1 }] as const

/** Jobs a second, which is also the weight, and the cap in cores by organisation; a cap of 0 is no limit. */
export type Quotas = Readonly<Record<string, { readonly weight: number, readonly cap?: number }>>

/** A scheduler with a worker of twelve cores, and instances that submit to it. Tasks take a core for a second. The caller enables the mocked Date. */
export class AdmissionSite {
  now = 0
  /** Whether the instances reach the active scheduler. */
  isLinked = true
  scheduler = this.createScheduler()
  private term = 1
  private controller = this.createController()
  private readonly instances = Array.from({ length: INSTANCES }, () => new SubmissionAdmission(async question => this.isLinked ? this.controller.answer(question, { state: this.scheduler.jobs.has(question.job) ? 'pending' : 'unknown' }, this.now) : undefined, () => this.now))
  private submissions = 0
  private revision = 0
  private ends = 0

  constructor (quotas: Quotas) {
    this.setQuotas(quotas)
  }

  setQuotas (quotas: Quotas): void {
    const organisations = Object.entries(quotas).map(([name, { weight, cap = 0 }]) => ({ name, apiKeys: [], weight, cap: { processorsThousandths: 1000 * cap, memoryMegabytes: 0, accelerators: 0 } }))
    this.scheduler.configure({ revision: ++this.revision, queues: QUEUES, organisations, pools: [], maximumBodyBytes: 1000 })
  }

  /** Submits a job at the next instance. An admitted job is stored at once. */
  async submit (organisation: string, { queue = QUEUES[1] as typeof QUEUES[number], identity = '' } = {}): Promise<AdmissionOutcome> {
    this.submissions += 1
    const key = identity === '' ? `j${this.submissions}` : identity
    const job = stepJobSchema.parse({ specification: '', steps: [{ count: 1, processorsThousandths: 1000, estimateMilliseconds: 1000 }] })
    const outcome = await (this.instances[this.submissions % INSTANCES] as SubmissionAdmission).decide(key, organisation, queue, job, 3000)
    if (outcome.kind === 'admitted') this.scheduler.addJob(key, { queue: queue.name, pool: 'pool', organisation, job, acceptedAt: Date.now() }, this.now)
    return outcome
  }

  async submitUrgent (organisation: string): Promise<AdmissionOutcome> {
    return await this.submit(organisation, { queue: QUEUES[0] })
  }

  /** Lets time pass; `onStep` is called before each step with the time since the start, in milliseconds. */
  async run (seconds: number, onStep: (elapsed: number) => Promise<void> = async () => {}): Promise<void> {
    for (let elapsed = 0; elapsed < 1000 * seconds; elapsed += STEP_MILLISECONDS) {
      await onStep(elapsed)
      this.now += STEP_MILLISECONDS
      mock.timers.tick(STEP_MILLISECONDS)
      this.endTasks()
      for (const { task, run } of this.scheduler.place(this.now)) {
        if (this.scheduler.beginStart(task, run, this.now)) this.scheduler.onStartOutcome(task, run, 'started', this.now)
      }
      if (this.now % MEASURE_PERIOD_MILLISECONDS === 0) this.controller.onTick(this.now)
    }
  }

  /** Replaces the scheduler by another one that has read the unfinished jobs from the log. */
  takeOver (quotas: Quotas): void {
    const unfinished = [...this.scheduler.jobs.values()].filter(job => !job.isFinal)
    this.scheduler = this.createScheduler()
    this.setQuotas(quotas)
    for (const { identity, submission, acceptedAt } of unfinished) this.scheduler.addJob(identity, submission, this.now, { storedAfter: acceptedAt })
    this.term += 1
    this.controller = this.createController()
  }

  /** Ages of the jobs of an organisation at their end, in milliseconds; infinite for those that have not ended. */
  agesOf (organisation: string): number[] {
    return [...this.scheduler.jobs.values()].filter(job => job.submission.organisation === organisation).map(job => job.isFinal ? job.finishedAt - job.acceptedAt : Infinity)
  }

  private createScheduler (): ClusterScheduler {
    const scheduler = new ClusterScheduler(SILENT_OBSERVER)
    scheduler.upsertWorker(new FakeClusterWorker('w1', CORES, () => 0).entry, this.now)
    scheduler.onReport('w1', { clockMilliseconds: 0, processStartedAt: 0, running: [], ended: [], mayOmitEnds: false }, this.now, this.now)
    return scheduler
  }

  private createController (): AdmissionController {
    return new AdmissionController(this.scheduler, organisations => {
      for (const instance of this.isLinked ? this.instances : []) instance.onSummary({ term: this.term, organisations })
    })
  }

  private endTasks (): void {
    const runs = [...this.scheduler.workers.get('w1')?.runs.values() ?? []]
    const done = runs.filter(({ startedAt }) => this.now - startedAt >= 1000)
    const ended = done.map(({ name, run }) => ({ number: ++this.ends, task: name, run, kind: 'done' as const, checkpoint: '' }))
    const running = runs.filter(task => !done.includes(task)).map(({ name, run, startedAt }) => ({ task: name, run, checkpoint: '', percent: Math.floor((this.now - startedAt) / 10), load: undefined }))
    this.scheduler.onReport('w1', { clockMilliseconds: 0, processStartedAt: 0, running, ended, mayOmitEnds: false }, this.now, this.now)
  }
}
