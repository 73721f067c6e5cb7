/** Expected response times and ticket validity of the eligibility service of a queue, in milliseconds. */
export interface EligibilityTiming {
  readonly decisionMilliseconds: number
  readonly perWorkerMilliseconds: number
  /** Time for which a ticket of the service is valid. */
  readonly ticketMilliseconds: number
}

/** Scheduling policy of the jobs of a queue. */
export interface QueuePolicy {
  /** Name of the worker pool that runs the queue's tasks. */
  readonly pool: string
  /** 0 is the most urgent. */
  readonly priority: number
  /** Number of failed runs of one task at which the job fails. */
  readonly attempts: number
  /** The latency objective is `stretch` times the critical path of the job plus `targetMilliseconds`. */
  readonly stretch: number
  readonly targetMilliseconds: number
  /** Present if the eligibility service decides which workers may run the queue's steps. */
  readonly eligibility?: EligibilityTiming
}

/** A queue of jobs: the route under which callers reach it and the policy of its jobs. */
export interface Queue extends QueuePolicy {
  readonly name: string
  readonly host: string
  readonly routePrefix: string
  /** Whether callers without an API key may use the queue; false if absent. */
  readonly isPublic?: boolean
}

/** Amounts of resources, in the units of the worker registry. */
export interface ResourceAmounts {
  /** Processors in thousandths of a core. */
  readonly processorsThousandths: number
  readonly memoryMegabytes: number
  readonly accelerators: number
}

/** An organisation whose callers submit jobs. */
export interface Organisation {
  readonly name: string
  /** Keys that identify its callers. */
  readonly apiKeys: readonly string[]
  /** Share of the capacity when all is in use, relative to the other organisations; also the number of jobs a second that it may submit. */
  readonly weight: number
  /** Resources that its tasks may use at the same time over all workers. An amount of 0 means no limit. */
  readonly cap: ResourceAmounts
}

/** A pool of workers. */
export interface WorkerPool {
  readonly name: string
  /** Path at which a worker of the pool responds with 200 while it considers itself healthy; empty if there is none. */
  readonly healthPath: string
}

/** One revision of the configuration that operators publish. */
export interface ClusterConfiguration {
  readonly revision: number
  readonly queues: readonly Queue[]
  /** Organisations that share the workers; empty if callers are not distinguished. */
  readonly organisations: readonly Organisation[]
  /** Number of organisations that were left out because their entries are malformed; 0 if absent. */
  readonly malformedOrganisations?: number
  readonly pools: readonly WorkerPool[]
  readonly maximumBodyBytes: number
}

/** Returns the queue of a request: the one of its host with the longest matching path prefix. */
export function findQueue (configuration: ClusterConfiguration, host: string, path: string): Queue | undefined {
  let best: Queue | undefined
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.routePrefix)) continue
    if (best === undefined || queue.routePrefix.length > best.routePrefix.length) best = queue
  }
  return best
}
