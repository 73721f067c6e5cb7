import type { EndReport } from '../../src/cluster/workerPort.js'
import { crashesOf, MAXIMUM_ATTEMPTS, type ClusterView, type FakeCluster, type SubmittedStepJob } from '../fakes/fakeCluster.js'
import type { FakeClusterWorker, FakeClusterWorkerObserver } from '../fakes/fakeClusterWorkers.js'

/** Number of workers that must have crashed under a task for its job to fail. */
const CRASHES_BEFORE_FAILURE = 3
/** Number of workers that may crash under a task before its starts are limited, and the first start after that which is a violation. */
const CRASHES_WITHOUT_LIMIT = 3
const FORBIDDEN_START_AFTER_CRASHES = 3

/** End of a run, as recorded by its worker. */
interface RecordedEnd {
  readonly worker: string
  readonly processStartedAt: number
  readonly number: number
  readonly run: number
  readonly endedAt: number
  /** Whether the scheduler has acknowledged the end, and no lease expired between the end and the acknowledgement. */
  isAcknowledged: boolean
  /** Description of the first start of the task after this end. */
  startedAfter: string | undefined
}

/** Observes workers, and records each violated invariant. */
export class ClusterOracle implements FakeClusterWorkerObserver {
  readonly problems: string[] = []
  private readonly completedRuns = new Map<string, RecordedEnd[]>()
  private readonly failedRuns = new Map<string, number>()
  /** Jobs that a scheduler has reported as completed. */
  private readonly reportedCompleted = new Set<string>()
  /** Jobs of which a task has started. */
  private readonly startedJobs = new Set<string>()
  /** Workers that have crashed under a task, by task, and the starts of a task that crashes workers after three have crashed under it. */
  private readonly crashesUnder = new Map<string, number>()
  private readonly startsAfterCrashes = new Map<string, number>()
  private view: ClusterView | undefined

  /** Records the violation of an invariant. */
  addProblem (problem: string): void {
    this.problems.push(problem)
  }

  /** Sets the workers and jobs to check. */
  setView (view: ClusterView): void {
    this.view = view
  }

  onStep (cluster: FakeCluster): void {
    this.setView(cluster)
    this.checkStates(cluster)
  }

  onDidStart (worker: FakeClusterWorker, task: string, run: number): void {
    const start = `${task} run ${run} on ${worker.identity}`
    this.startedJobs.add(jobOf(task))
    for (const other of this.view?.workers.values() ?? []) {
      other.expire()
      const duplicate = other.running.get(task)
      if (duplicate !== undefined) this.addProblem(`RunsOnce: ${start} was started while run ${duplicate.run} was on ${other.identity}`)
    }
    if (!this.isFiller(task) && worker.usedCapacity >= worker.bindingCapacity) this.addProblem(`WithinRoom: ${start} was started in addition to ${worker.usedCapacity} others`)
    for (const end of this.completedRuns.get(task) ?? []) {
      if (end.isAcknowledged) this.addProblem(`RunsOnce: ${start} was started after the end of run ${end.run} was acknowledged`)
      end.startedAfter ??= start
    }
    if (this.reportedCompleted.has(jobOf(task))) this.addProblem(`RunsOnce: ${start} was started after its job had been reported as completed`)
    if ((this.failedRuns.get(task) ?? 0) >= MAXIMUM_ATTEMPTS) this.addProblem(`WithinAttempts: ${start} was started after ${MAXIMUM_ATTEMPTS} failed runs`)
    this.checkStepOrder(task, start)
    this.checkCrashBudget(task, start)
  }

  onDidCrash (worker: FakeClusterWorker): void {
    for (const task of worker.running.keys()) this.crashesUnder.set(task, this.countCrashes(task) + 1)
  }

  /** Returns the number of workers that have crashed under a task. */
  countCrashes (task: string): number {
    return this.crashesUnder.get(task) ?? 0
  }

  /** A task that crashes its workers may be started twice more after three of them have crashed under it. */
  private checkCrashBudget (task: string, start: string): void {
    if (this.view === undefined || crashesOf(this.view, task) === undefined || this.countCrashes(task) < CRASHES_WITHOUT_LIMIT) return
    const starts = (this.startsAfterCrashes.get(task) ?? 0) + 1
    this.startsAfterCrashes.set(task, starts)
    if (starts >= FORBIDDEN_START_AFTER_CRASHES) this.addProblem(`WithinCrashBudget: ${start} was started after ${this.countCrashes(task)} workers had crashed under the task`)
  }

  onDidEnd (worker: FakeClusterWorker, end: EndReport): void {
    if (end.kind !== 'done') return
    const recorded = { worker: worker.identity, processStartedAt: worker.processStartedAt, number: end.number, run: end.run, endedAt: performance.now(), isAcknowledged: false, startedAfter: undefined }
    this.completedRuns.set(end.task, [...this.completedRuns.get(end.task) ?? [], recorded])
  }

  onDidAcknowledgeEnd (worker: FakeClusterWorker, end: EndReport): void {
    if (end.kind === 'failed') this.failedRuns.set(end.task, (this.failedRuns.get(end.task) ?? 0) + 1)
    const recorded = this.completedRuns.get(end.task)?.find(candidate => candidate.worker === worker.identity && candidate.processStartedAt === worker.processStartedAt && candidate.number === end.number)
    // If a lease expired in between, the end stays uncertain, and another start is no violation.
    if (recorded === undefined || worker.lapsedAt > recorded.endedAt) return
    recorded.isAcknowledged = true
    if (recorded.startedAfter !== undefined) this.addProblem(`RunsOnce: ${recorded.startedAfter} was started after run ${recorded.run} had ended on ${worker.identity}, and that end was acknowledged later`)
  }

  /** Checks the final state, after all faults are healed and the jobs have had time to finish. */
  checkFinalState (cluster: FakeCluster): void {
    const scheduler = cluster.runningSchedulers.at(-1)
    for (const job of cluster.jobs) {
      const state = scheduler?.activeScheduler.stateOf(job.identity)
      if (!this.expectedStates(job).includes(String(state))) this.addProblem(`NoJobLost: ${job.identity} is ${state} in the final state`)
    }
    this.checkNoRunLeft(cluster)
  }

  /** Checks that no worker has a run left. */
  checkNoRunLeft (cluster: ClusterView): void {
    for (const worker of cluster.workers.values()) {
      worker.expire()
      for (const task of worker.running.keys()) this.addProblem(`NothingLeft: ${task} is still running on ${worker.identity}`)
    }
  }

  /** Returns whether a task of the job has ever started. */
  hasStarted (job: string): boolean {
    return this.startedJobs.has(job)
  }

  /** Returns the final states that the job may have. */
  expectedStates (job: SubmittedStepJob): string[] {
    const expected = job.crashes === undefined ? ['completed'] : ['failed']
    if (job.isCancelled) expected.push('cancelled')
    if ([...this.crashesUnder].some(([task, count]) => task.startsWith(`${job.identity}.`) && count >= CRASHES_BEFORE_FAILURE)) expected.push('failed')
    if ([...this.failedRuns].some(([task, count]) => task.startsWith(`${job.identity}.`) && count >= MAXIMUM_ATTEMPTS)) expected.push('failed')
    return expected
  }

  private checkStates (cluster: FakeCluster): void {
    for (const { process, activeScheduler, term } of cluster.runningSchedulers) {
      if (process.isPaused) continue
      for (const job of cluster.jobs) {
        if (activeScheduler.stateOf(job.identity) !== 'completed') continue
        this.reportedCompleted.add(job.identity)
        const missing = this.firstUnfinishedStep(job)
        if (missing >= 0) this.addProblem(`CompletedMeansDone: scheduler ${term} reports ${job.identity} as completed, but step ${missing} is not done`)
      }
    }
  }

  /** Returns the index of the first step with a task that has not completed, or -1 if there is none. */
  firstUnfinishedStep (job: SubmittedStepJob): number {
    return job.job.steps.findIndex((_, step) => !this.isStepDone(job, step))
  }

  private checkStepOrder (task: string, start: string): void {
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

  private isFiller (task: string): boolean {
    const [identity, , step] = task.split('.')
    return this.view?.jobs.find(candidate => candidate.identity === identity)?.job.steps[Number(step)]?.filler === true
  }

  /** A gang is done as soon as one member is done. */
  protected isStepDone (job: SubmittedStepJob, step: number): boolean {
    const { count, gang } = job.job.steps[step] as StepShape
    const isDone = (index: number): boolean => this.completedRuns.has(`${job.identity}.0.${step}.${index}`)
    const indexes = Array.from({ length: count }, (_, index) => index)
    return gang ? indexes.some(isDone) : indexes.every(isDone)
  }
}

function jobOf (task: string): string {
  return task.split('.', 1)[0] as string
}

type StepShape = SubmittedStepJob['job']['steps'][number]
