import type { EndReport } from '../../src/cluster/workerPort.js'
import { ATTEMPTS, type ClusterView, type FakeCluster, type SubmittedStepJob } from '../fakes/fakeCluster.js'
import type { FakeWorker, FakeWorkerObserver } from '../fakes/fakeClusterWorkers.js'

/** An end of a run as its worker keeps it. */
interface KnownEnd {
  readonly worker: string
  readonly bornAt: number
  readonly number: number
  readonly run: number
  readonly endedAt: number
  /** The scheduler has acknowledged the end, and no lease ended between the two. */
  isAcknowledged: boolean
  /** A start that followed, as worker and run. */
  startedAfter: string | undefined
}

/** Watches workers, and notes each promise that is broken. */
export class ClusterOracle implements FakeWorkerObserver {
  readonly problems: string[] = []
  private readonly done = new Map<string, KnownEnd[]>()
  private readonly failures = new Map<string, number>()
  /** Jobs that a scheduler has shown as completed. */
  private readonly shown = new Set<string>()
  private readonly started = new Set<string>()
  private view: ClusterView | undefined

  /** Notes a promise that was broken. */
  addProblem (problem: string): void {
    this.problems.push(problem)
  }

  /** States which workers and jobs are watched. */
  setView (view: ClusterView): void {
    this.view = view
  }

  onStep (cluster: FakeCluster): void {
    this.setView(cluster)
    this.checkStates(cluster)
  }

  onDidStart (worker: FakeWorker, task: string, run: number): void {
    const start = `${task} run ${run} on ${worker.identity}`
    this.started.add(jobOf(task))
    for (const other of this.view?.workers.values() ?? []) {
      other.expire()
      const present = other.running.get(task)
      if (present !== undefined) this.addProblem(`RunsOnce: ${start} was started while run ${present.run} was on ${other.identity}`)
    }
    if (worker.running.size >= worker.room) this.addProblem(`WithinRoom: ${start} was started beside ${worker.running.size} others`)
    for (const end of this.done.get(task) ?? []) {
      if (end.isAcknowledged) this.addProblem(`RunsOnce: ${start} was started after the end of run ${end.run} was acknowledged`)
      end.startedAfter ??= start
    }
    if (this.shown.has(jobOf(task))) this.addProblem(`RunsOnce: ${start} was started after its job had been shown as completed`)
    if ((this.failures.get(task) ?? 0) >= ATTEMPTS) this.addProblem(`WithinAttempts: ${start} was started after ${ATTEMPTS} failed runs`)
    this.checkOrder(task, start)
  }

  onDidEnd (worker: FakeWorker, end: EndReport): void {
    if (end.kind !== 'done') return
    const known = { worker: worker.identity, bornAt: worker.bornAt, number: end.number, run: end.run, endedAt: performance.now(), isAcknowledged: false, startedAfter: undefined }
    this.done.set(end.task, [...this.done.get(end.task) ?? [], known])
  }

  onDidForget (worker: FakeWorker, end: EndReport): void {
    if (end.kind === 'failed') this.failures.set(end.task, (this.failures.get(end.task) ?? 0) + 1)
    const known = this.done.get(end.task)?.find(candidate => candidate.worker === worker.identity && candidate.bornAt === worker.bornAt && candidate.number === end.number)
    // A lease that ended in between makes the end uncertain for good.
    if (known === undefined || worker.lapsedAt > known.endedAt) return
    known.isAcknowledged = true
    if (known.startedAfter !== undefined) this.addProblem(`RunsOnce: ${known.startedAfter} was started after run ${known.run} had ended on ${worker.identity}, and that end was acknowledged later`)
  }

  /** What must hold once all faults are over and enough time has passed. */
  checkFinalState (cluster: FakeCluster): void {
    const scheduler = cluster.active.at(-1)
    for (const job of cluster.jobs) {
      const state = scheduler?.acting.stateOf(job.identity)
      if (!this.expectedStates(job).includes(String(state))) this.addProblem(`NoJobLost: ${job.identity} is ${state} in the end`)
    }
    this.checkNoRunLeft(cluster)
  }

  /** No worker runs anything any more. */
  checkNoRunLeft (cluster: ClusterView): void {
    for (const worker of cluster.workers.values()) {
      worker.expire()
      for (const task of worker.running.keys()) this.addProblem(`NothingLeft: ${task} still runs on ${worker.identity}`)
    }
  }

  /** Whether a task of the job has ever started. */
  hasStarted (job: string): boolean {
    return this.started.has(job)
  }

  /** Final states that a job may have. */
  expectedStates (job: SubmittedStepJob): string[] {
    const expected = ['completed']
    if (job.isCancelled) expected.push('cancelled')
    if ([...this.failures].some(([task, count]) => task.startsWith(`${job.identity}.`) && count >= ATTEMPTS)) expected.push('failed')
    return expected
  }

  private checkStates (cluster: FakeCluster): void {
    for (const { process, acting, term } of cluster.active) {
      if (process.isPaused) continue
      for (const job of cluster.jobs) {
        if (acting.stateOf(job.identity) !== 'completed') continue
        this.shown.add(job.identity)
        const missing = this.firstUnfinishedStep(job)
        if (missing >= 0) this.addProblem(`CompletedMeansDone: scheduler ${term} shows ${job.identity} as completed, step ${missing} is not done`)
      }
    }
  }

  /** Number of the first step of which a task has not ended done; -1 if there is none. */
  firstUnfinishedStep (job: SubmittedStepJob): number {
    return job.job.steps.findIndex((_, step) => !this.isStepDone(job, step))
  }

  private checkOrder (task: string, start: string): void {
    const [identity, , step] = task.split('.')
    const job = this.view?.jobs.find(candidate => candidate.identity === identity)
    if (job === undefined) {
      this.addProblem(`OnlySubmitted: ${start} belongs to no job`)
      return
    }
    for (const earlier of job.job.steps[Number(step)]?.after ?? []) {
      if (!this.isStepDone(job, earlier)) this.addProblem(`InOrder: ${start} was started before step ${earlier} was done`)
    }
  }

  /** One member's end stands for a gang. */
  private isStepDone (job: SubmittedStepJob, step: number): boolean {
    const { count, gang } = job.job.steps[step] as StepShape
    const isDone = (index: number): boolean => this.done.has(`${job.identity}.0.${step}.${index}`)
    const indexes = Array.from({ length: count }, (_, index) => index)
    return gang ? indexes.some(isDone) : indexes.every(isDone)
  }
}

function jobOf (task: string): string {
  return task.split('.', 1)[0] as string
}

type StepShape = SubmittedStepJob['job']['steps'][number]
