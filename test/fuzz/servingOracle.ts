import type { EndReport } from '../../src/cluster/workerPort.js'
import type { JobStep } from '../../src/contracts/stepJob.js'
import type { FakeCluster } from '../fakes/fakeCluster.js'
import type { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { ClusterOracle } from './clusterOracle.js'

/** Time over the target by the fault of filler work that counts as harm, in milliseconds. */
const HARM_MILLISECONDS = 4000
/** Time without a fault after which bounds in time hold, in milliseconds: twice the stable window of the platform. */
const SETTLED_MILLISECONDS = 6000
/** Time out of service after which a task counts as unavailable, in milliseconds. */
const UNAVAILABLE_MILLISECONDS = 4500

/** Checks of tasks that last, in addition to those of all tasks. */
export class ServingOracle extends ClusterOracle {
  /** Time since which a task has been over its target by the fault of filler work beside it. */
  private readonly harmedSince = new Map<string, number>()
  /** Time at which a task was last in service. */
  private readonly lastInService = new Map<string, number>()
  /** Tasks that were stopped and have not been in service since. */
  private readonly stopped = new Set<string>()
  private cluster: FakeCluster | undefined

  override onStep (cluster: FakeCluster): void {
    super.onStep(cluster)
    this.cluster = cluster
    const now = performance.now()
    for (const worker of cluster.workers.values()) {
      worker.expire()
      for (const run of worker.running.values()) {
        const step = cluster.sharedLoad.stepOf(run.task)
        if (step?.longRunning !== true || !cluster.sharedLoad.isInService(run)) continue
        this.lastInService.set(run.task, now)
        this.stopped.delete(run.task)
        if (step.targetMilliseconds > 0) this.checkHarm(cluster, worker, run.task, now)
      }
    }
  }

  override onDidEnd (worker: FakeClusterWorker, end: EndReport): void {
    const step = this.cluster?.sharedLoad.stepOf(end.task)
    // A task that lasts is started again however it ends.
    if (step?.longRunning !== true) {
      super.onDidEnd(worker, end)
      return
    }
    this.harmedSince.delete(end.task)
    const wasInService = performance.now() - (this.lastInService.get(end.task) ?? -Infinity) < 20
    if (end.kind !== 'stopped' || !wasInService) return
    if (worker.state === 'ready') this.checkAvailability(step, end.task)
    this.stopped.add(end.task)
  }

  /** Checks that a task that lasts is running if any worker could run it. */
  checkKeptRunning (cluster: FakeCluster): void {
    const running = new Set([...cluster.workers.values()].flatMap(worker => [...worker.running.keys()]))
    for (const { identity, job, isCancelled } of cluster.jobs) {
      if (isCancelled) continue
      job.steps.forEach((step, index) => {
        if (!step.longRunning) return
        for (let task = 0; task < step.count; task += 1) {
          const name = `${identity}.0.${index}.${task}`
          const hasRoom = [...cluster.workers.values()].some(worker => worker.state === 'ready' && worker.usedCapacity < worker.capacity)
          if (!running.has(name) && hasRoom) this.addProblem(`KeptRunning: ${name} is not running although a worker has room`)
        }
      })
    }
  }

  /** A task is harmed if it is over its target, would be within it without the filler work beside it, and that work goes on. */
  private checkHarm (cluster: FakeCluster, worker: FakeClusterWorker, task: string, now: number): void {
    const { servingShare } = cluster.sharedLoad
    const isHarmed = cluster.sharedLoad.tailShare(worker) > 1 && servingShare <= 1
    if (!isHarmed || now - cluster.disturbedAt < SETTLED_MILLISECONDS) {
      this.harmedSince.delete(task)
      return
    }
    const since = this.harmedSince.get(task) ?? now
    this.harmedSince.set(task, since)
    if (now - since >= HARM_MILLISECONDS) this.addProblem(`Unharmed: ${task} has been over its target for ${now - since} ms beside filler work on ${worker.identity}`)
  }

  /** A stop of a task in service leaves fewer than `maximumUnavailable` other tasks of the step out of service. */
  private checkAvailability (step: JobStep, task: string): void {
    if (step.maximumUnavailable === 0) return
    const [identity, occurrence, index] = task.split('.')
    if (this.cluster?.jobs.find(job => job.identity === identity)?.isCancelled === true) return
    const names = Array.from({ length: step.count }, (_, other) => `${identity}.${occurrence}.${index}.${other}`)
    const away = names.filter(name => name !== task && (this.stopped.has(name) || performance.now() - (this.lastInService.get(name) ?? 0) >= UNAVAILABLE_MILLISECONDS))
    if (away.length >= step.maximumUnavailable) this.addProblem(`Available: ${task} was stopped while ${away.join(', ')} were out of service`)
  }
}
