import type { JobStep } from '../../src/contracts/stepJob.js'
import type { ClusterView } from './fakeCluster.js'
import type { FakeClusterWorker, FakeRun, FakeRunBehaviour } from './fakeClusterWorkers.js'

/** Time from the start of a long-running task until it is in service, in milliseconds. */
const STARTUP_MILLISECONDS = 300
/** Increase of the logarithm of the tail latency of serving tasks by filler work that uses a whole worker, by the image of the filler work. */
const SENSITIVITIES: Readonly<Record<string, number>> = { noisy: 3, calm: 0.3 }

/** Simulates what tasks on one worker share beyond its capacity: filler work raises the tail latency of serving tasks. */
export class SharedLoad {
  /** Tail latency of serving tasks without filler work beside them, as a share of their targets. */
  servingShare = 0.5

  constructor (private readonly view: ClusterView) {}

  /** Returns the step of a task; undefined if its job is not known. */
  stepOf (task: string): JobStep | undefined {
    const [identity, , index] = task.split('.')
    return this.view.jobs.find(job => job.identity === identity)?.job.steps[Number(index)]
  }

  describeRun (worker: FakeClusterWorker, run: FakeRun): FakeRunBehaviour {
    const step = this.stepOf(run.task)
    if (step === undefined) return { usesCapacity: true }
    if (step.filler) return { usesCapacity: false, load: step.processorsThousandths * run.pacePercent / 100 }
    if (!step.longRunning) return { usesCapacity: true }
    return { usesCapacity: true, percent: this.isInService(run) ? 100 : 0, load: step.targetMilliseconds * this.tailShare(worker) }
  }

  isInService (run: FakeRun): boolean {
    return performance.now() - run.startedAt >= STARTUP_MILLISECONDS
  }

  /** Returns the tail latency of serving tasks on a worker as a share of their targets. */
  tailShare (worker: FakeClusterWorker): number {
    return this.servingShare * Math.exp(this.disturbance(worker))
  }

  /** Returns the increase of the logarithm of the tail latency by the filler work on a worker. */
  disturbance (worker: FakeClusterWorker): number {
    let disturbance = 0
    for (const run of worker.running.values()) {
      const step = this.stepOf(run.task)
      if (step?.filler === true) disturbance += (SENSITIVITIES[step.image] ?? 1) * run.pacePercent / 100 * step.processorsThousandths / (1000 * worker.capacity)
    }
    return disturbance
  }
}
