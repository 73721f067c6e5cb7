import { mock } from 'node:test'
import { AdmissionController, MEASURE_PERIOD_MILLISECONDS } from '../../../src/cluster/admission/admissionController.js'
import { SubmissionAdmission, type AdmissionOutcome, type AdmissionQuestion } from '../../../src/cluster/admission/submissionAdmission.js'
import { ClusterScheduler } from '../../../src/cluster/clusterScheduler.js'
import type { Organisation } from '../../../src/contracts/clusterConfiguration.js'
import type { AdmissionReply } from '../../../src/contracts/clusterMessages.js'
import { stepJobSchema } from '../../../src/contracts/stepJob.js'
import { FakeClusterWorker } from '../../fakes/fakeClusterWorkers.js'
import { SILENT_OBSERVER } from '../../fakes/silentObserver.js'

export const CORES = 12
export const STEP_MILLISECONDS = 50
const INSTANCES = 4
/** A job's objective is 2.5 s: twice its second of work, and half a second. */
const QUEUE = { host: 'h', routePrefix: '/q/', pool: 'pool', attempts: 3, stretch: 2, targetMilliseconds: 500 }
const QUEUES = [{ ...QUEUE, name: 'urgent', priority: 0 }, { ...QUEUE, name: 'batch', priority: 1 }]

export interface Quota {
  /** Jobs a second, and share of the capacity. */
  readonly weight: number
  /** In cores; 0 means no limit. */
  readonly cap?: number
}

/** A scheduler with a worker of twelve cores, and instances that submit to it. Tasks take a core for a second. The caller enables the mocked Date. */
export class AdmissionSite {
  now = 0
  /** Whether the instances reach the active scheduler. */
  isLinked = true
  private scheduler = this.createScheduler()
  private term = 1
  private controller = this.createController()
  private readonly instances = Array.from({ length: INSTANCES }, () => new SubmissionAdmission(async question => this.answer(question), () => this.now))
  private submissions = 0
  private revision = 0
  private processedEnds = 0

  constructor (quotas: Readonly<Record<string, Quota>>) {
    this.setQuotas(quotas)
  }

  setQuotas (quotas: Readonly<Record<string, Quota>>): void {
    this.revision += 1
    const organisations = Object.entries(quotas).map(([name, { weight, cap = 0 }]): Organisation => ({ name, apiKeys: [], weight, cap: { processorsThousandths: 1000 * cap, memoryMegabytes: 0, accelerators: 0 } }))
    this.scheduler.configure({ revision: this.revision, queues: QUEUES, organisations, pools: [], maximumBodyBytes: 1000 })
  }

  /** Submits a job of `count` tasks at the next instance. An admitted job is stored at once. */
  async submit (organisation: string, { count = 1, queue = 'batch', identity = '' } = {}): Promise<AdmissionOutcome> {
    this.submissions += 1
    const key = identity === '' ? `j${this.submissions}` : identity
    const job = stepJobSchema.parse({ specification: '', steps: [{ count, processorsThousandths: 1000, estimateMilliseconds: 1000 }] })
    const policy = QUEUES.find(({ name }) => name === queue)
    const instance = this.instances[this.submissions % INSTANCES]
    if (policy === undefined || instance === undefined) throw new Error('no such queue')
    const outcome = await instance.decide(key, organisation, policy, job, 3000)
    if (outcome.kind === 'admitted') this.scheduler.addJob(key, { queue, pool: 'pool', organisation, job, acceptedAt: Date.now() }, this.now)
    return outcome
  }

  /** Lets time pass; `onStep` is called before each step with the time since the start, in milliseconds. */
  async run (seconds: number, onStep: (elapsed: number) => Promise<void> = async () => {}): Promise<void> {
    for (let elapsed = 0; elapsed < 1000 * seconds; elapsed += STEP_MILLISECONDS) {
      await onStep(elapsed)
      this.step()
    }
  }

  /** Replaces the scheduler by another one that has read the unfinished jobs from the log. */
  takeOver (quotas: Readonly<Record<string, Quota>>): void {
    const { jobs } = this.scheduler
    this.scheduler = this.createScheduler()
    this.setQuotas(quotas)
    for (const job of jobs.values()) {
      if (!job.isFinal) this.scheduler.addJob(job.identity, job.submission, this.now, { storedAfter: job.acceptedAt })
    }
    this.term += 1
    this.controller = this.createController()
  }

  /** Ages at their end of the finished jobs of an organisation, in milliseconds. */
  agesOf (organisation: string): number[] {
    return [...this.scheduler.jobs.values()].filter(job => job.submission.organisation === organisation && job.isFinal).map(job => job.finishedAt - job.acceptedAt)
  }

  /** Number of accepted jobs of an organisation that have not ended. */
  unfinishedOf (organisation: string): number {
    return [...this.scheduler.jobs.values()].filter(job => job.submission.organisation === organisation && !job.isFinal).length
  }

  private createScheduler (): ClusterScheduler {
    const scheduler = new ClusterScheduler(SILENT_OBSERVER)
    scheduler.upsertWorker(new FakeClusterWorker('w1', CORES, () => 0).entry, this.now)
    scheduler.onReport('w1', { clockMilliseconds: 0, processStartedAt: 0, running: [], ended: [] }, this.now, this.now)
    return scheduler
  }

  private createController (): AdmissionController {
    return new AdmissionController(this.scheduler, organisations => {
      if (!this.isLinked) return
      for (const instance of this.instances) instance.onSummary({ term: this.term, organisations })
    })
  }

  private answer (question: AdmissionQuestion): AdmissionReply | undefined {
    return this.isLinked ? this.controller.answer(question, { state: this.scheduler.jobs.has(question.job) ? 'pending' : 'unknown' }, this.now) : undefined
  }

  private step (): void {
    this.now += STEP_MILLISECONDS
    mock.timers.tick(STEP_MILLISECONDS)
    this.endTasks()
    for (const { task, run } of this.scheduler.place(this.now)) {
      if (this.scheduler.beginStart(task, run, this.now)) this.scheduler.onStartOutcome(task, run, 'started', this.now)
    }
    if (this.now % MEASURE_PERIOD_MILLISECONDS === 0) this.controller.onTick(this.now)
  }

  private endTasks (): void {
    const runs = [...this.scheduler.workers.get('w1')?.runs.values() ?? []]
    const done = runs.filter(({ startedAt }) => this.now - startedAt >= 1000)
    const ended = done.map(({ name, run }) => ({ number: ++this.processedEnds, task: name, run, kind: 'done' as const, checkpoint: '' }))
    const running = runs.filter(task => !done.includes(task)).map(({ name, run, startedAt }) => ({ task: name, run, checkpoint: '', percent: Math.floor((this.now - startedAt) / 10), load: undefined }))
    this.scheduler.onReport('w1', { clockMilliseconds: 0, processStartedAt: 0, running, ended }, this.now, this.now)
  }
}
