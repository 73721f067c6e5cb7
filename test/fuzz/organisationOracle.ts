import type { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import { findOrigin } from '../../src/cluster/organisations/organisationLedger.js'
import type { FakeCluster } from '../fakes/fakeCluster.js'
import type { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { ClusterOracle } from './clusterOracle.js'

/** Share by which what an organisation has running may exceed its cap, beside one more task. */
const TOLERATED_EXCESS = 0.1
/** Time for which a former configuration may still be in force after the last scheduler has received the next one: the longest delay of a start command. */
const CONFIGURATION_GRACE_MILLISECONDS = 3500

/** Caps of one revision of the configuration, in thousandths of a core. */
interface CapRevision {
  readonly revision: number
  readonly caps: ReadonlyMap<string, number>
  /** Last time at which a scheduler acted by this revision or an earlier one, in milliseconds of the monotonic clock. */
  inForceUntil: number
}

/** Also checks what organisations have running on the workers, and what the schedulers believe of it. */
export class OrganisationOracle extends ClusterOracle {
  private readonly revisions: CapRevision[] = []
  private cluster: FakeCluster | undefined

  override onStep (cluster: FakeCluster): void {
    super.onStep(cluster)
    this.cluster = cluster
    this.noteRevisions(cluster)
    this.checkLedgers(cluster)
  }

  override onDidStart (worker: FakeClusterWorker, task: string, run: number): void {
    super.onDidStart(worker, task, run)
    const { cluster } = this
    const started = cluster === undefined ? undefined : describeRun(cluster, task)
    if (cluster === undefined || started?.organisation === undefined) return
    this.noteRevisions(cluster)
    let running = started.processors
    for (const other of cluster.workers.values()) {
      other.expire()
      for (const name of other.running.keys()) {
        const described = describeRun(cluster, name)
        if (described?.organisation === started.organisation) running += described.processors
      }
    }
    const cap = this.highestCap(started.organisation)
    if (running > cap * (1 + TOLERATED_EXCESS) + started.processors) this.addProblem(`WithinCap: ${task} run ${run} on ${worker.identity} brought ${started.organisation} to ${running} of ${cap}`)
  }

  private noteRevisions (cluster: FakeCluster): void {
    const { revision, organisations } = cluster.configuration
    if (this.revisions.at(-1)?.revision !== revision) this.revisions.push({ revision, caps: new Map(organisations.map(({ name, cap }) => [name, cap.processorsThousandths])), inForceUntil: 0 })
    const oldest = Math.min(revision, ...cluster.runningSchedulers.map(scheduler => scheduler.revision))
    for (const noted of this.revisions) {
      if (noted.revision >= oldest) noted.inForceUntil = performance.now()
    }
  }

  private highestCap (organisation: string): number {
    const caps = this.revisions.filter(({ inForceUntil }) => performance.now() <= inForceUntil + CONFIGURATION_GRACE_MILLISECONDS).map(({ caps: revised }) => revised.get(organisation) ?? 0)
    return caps.some(cap => cap === 0) ? Infinity : Math.max(...caps)
  }

  /** Checks that the ledger of each scheduler equals the sum over the runs that it assumes to exist. */
  private checkLedgers (cluster: FakeCluster): void {
    for (const { process, activeScheduler, term } of cluster.runningSchedulers) {
      if (process.isPaused) continue
      const { scheduler } = activeScheduler as unknown as { scheduler: ClusterScheduler }
      const sums = new Map<string, number>()
      for (const worker of scheduler.workers.values()) {
        const names = [...worker.runs.keys()]
        const orphans = (worker as unknown as { orphans: ReadonlyArray<NonNullable<ReturnType<typeof findOrigin>>> }).orphans
        for (const { job, step } of [...names.flatMap(name => findOrigin(scheduler.jobs, name) ?? []), ...orphans]) {
          const { organisation = '' } = job.submission
          sums.set(organisation, (sums.get(organisation) ?? 0) + step.processorsThousandths)
        }
      }
      for (const organisation of scheduler.organisations.ledger.organisations) {
        const used = scheduler.organisations.ledger.usageOf(organisation).processorsThousandths
        if (used !== (sums.get(organisation) ?? 0)) this.addProblem(`LedgerMatches: scheduler ${term} counts ${used} for ${organisation}, its workers have ${sums.get(organisation) ?? 0}`)
      }
    }
  }
}

function describeRun (cluster: FakeCluster, task: string): { readonly organisation: string | undefined, readonly processors: number } | undefined {
  const [identity, , index] = task.split('.')
  const job = cluster.jobs.find(candidate => candidate.identity === identity)
  return job === undefined ? undefined : { organisation: job.organisation, processors: job.job.steps[Number(index)]?.processorsThousandths ?? 0 }
}
