import type { ResourceAmounts } from '../../contracts/clusterConfiguration.js'
import type { JobStep } from '../../contracts/stepJob.js'
import type { Job } from '../job.js'

/** Receives each change of what may be running. */
export interface UsageListener {
  /** A run of a task of a step may exist from now on (`sign` is 1), or no longer exists (`sign` is -1). */
  onDidChangeUsage (job: Job, step: JobStep, sign: 1 | -1): void
}

/** The job and the step of a run. */
export interface RunOrigin {
  readonly job: Job
  readonly step: JobStep
}

/** Returns the job and the step of a task; undefined if the job is not known. The record of a finished job contains no tasks. */
export function findOrigin (jobs: ReadonlyMap<string, Job>, taskName: string): RunOrigin | undefined {
  const [identity, , index] = taskName.split('.')
  const job = jobs.get(identity ?? '')
  const step = job?.submission.job.steps[Number(index)]
  return job === undefined || step === undefined ? undefined : { job, step }
}

/** Resources in use, in the units of `ResourceAmounts`. */
type Usage = { -readonly [Name in keyof ResourceAmounts]: ResourceAmounts[Name] }

const NO_USAGE: ResourceAmounts = { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }

/**
 * What each organisation may have running over all workers. Updated with each run that begins or ceases to count against the capacity of
 * a worker, so it is known without a sum over the runs.
 */
export class OrganisationLedger implements UsageListener {
  private readonly usage = new Map<string, Usage>()

  onDidChangeUsage (job: Job, step: JobStep, sign: 1 | -1): void {
    const name = job.submission.organisation ?? ''
    const usage = this.usage.get(name) ?? { ...NO_USAGE }
    const added = resourcesOf(step)
    usage.processorsThousandths += sign * added.processorsThousandths
    usage.memoryMegabytes += sign * added.memoryMegabytes
    usage.accelerators += sign * added.accelerators
    this.usage.set(name, usage)
  }

  /** Returns the resources of the runs of an organisation that may exist. */
  usageOf (organisation: string): ResourceAmounts {
    return this.usage.get(organisation) ?? NO_USAGE
  }

  /** Names of the organisations that have had runs; empty for jobs without an organisation. */
  get organisations (): Iterable<string> {
    return this.usage.keys()
  }
}

/**
 * Returns the resources of one task. Unlike the room of a worker, caps make no exception for the processors of filler work, because caps
 * limit what an organisation has running.
 */
export function resourcesOf ({ processorsThousandths, memoryMegabytes, accelerators }: JobStep): ResourceAmounts {
  return { processorsThousandths, memoryMegabytes, accelerators }
}
