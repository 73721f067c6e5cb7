import type { FakeCluster, SubmittedStepJob } from '../fakes/fakeCluster.js'
import { ClusterOracle } from './clusterOracle.js'

/** Time without a fault after which nothing of a former scheduler or a silent worker keeps a step from starting, in milliseconds. */
const CALM_MILLISECONDS = 13_000
/** Longest time for which a step that could start may have nothing running, in milliseconds: quarantine of a worker, requests for tickets, stops. */
const START_BOUND_MILLISECONDS = 8000

/** Also checks that each step that could run starts: its turn has come, the cluster is calm, and twice the room that it needs is free on its workers. */
export class StartOracle extends ClusterOracle {
  /** Time since which a step could run and does not, by name. */
  private readonly couldStartSince = new Map<string, number>()

  override onStep (cluster: FakeCluster): void {
    super.onStep(cluster)
    const now = performance.now()
    if (now - cluster.disturbedAt < CALM_MILLISECONDS) {
      this.couldStartSince.clear()
      return
    }
    for (const job of cluster.jobs) {
      job.job.steps.forEach((_, index) => {
        const name = `${job.identity}.0.${index}`
        if (this.couldStart(cluster, job, index)) this.check(name, now)
        else this.couldStartSince.delete(name)
      })
    }
  }

  private check (step: string, now: number): void {
    const since = this.couldStartSince.get(step)
    if (since === undefined) this.couldStartSince.set(step, now)
    else if (now - since > START_BOUND_MILLISECONDS) this.addProblem(`Starts: ${step} could run and has not started for ${START_BOUND_MILLISECONDS} ms`)
  }

  private couldStart (cluster: FakeCluster, job: SubmittedStepJob, index: number): boolean {
    const step = job.job.steps[index]
    if (step === undefined || job.isCancelled || this.isStepDone(job, index) || !step.after.every(earlier => this.isStepDone(job, earlier))) return false
    const state = cluster.runningSchedulers.at(-1)?.activeScheduler.stateOf(job.identity)
    if (state !== 'pending' && state !== 'running') return false
    const name = `${job.identity}.0.${index}`
    let free = 0
    for (const worker of cluster.workers.values()) {
      for (const task of worker.running.keys()) {
        if (task.slice(0, task.lastIndexOf('.')) === name) return false
      }
      if (job.queue !== 'restricted' || cluster.eligibility.isEligible(name, worker.identity)) free += worker.capacity - worker.usedCapacity
    }
    return free >= 2 * (step.gang ? step.count : 1)
  }
}
