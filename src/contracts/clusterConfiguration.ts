/** Response times that the eligibility service of a queue takes, in milliseconds. */
export interface EligibilityTiming {
  readonly decisionMilliseconds: number
  readonly perWorkerMilliseconds: number
  /** How long a ticket of the service is accepted. */
  readonly ticketMilliseconds: number
}

/** How the jobs of a queue are treated. */
export interface QueuePolicy {
  /** Name of the worker pool that runs the queue's tasks. */
  readonly pool: string
  /** 0 is the most urgent. */
  readonly priority: number
  /** Runs of one task that may fail before the job fails. */
  readonly attempts: number
  /** The latency objective is `stretch` times the chain of work plus `targetMilliseconds`. */
  readonly stretch: number
  readonly targetMilliseconds: number
  /** Present if only workers that the eligibility service names may run the queue's steps. */
  readonly eligibility?: EligibilityTiming
}

/** A queue of jobs: the route by which callers reach it and the policy of its jobs. */
export interface Queue extends QueuePolicy {
  readonly name: string
  readonly host: string
  readonly routePrefix: string
}

/** One revision of the operators' configuration. */
export interface ClusterConfiguration {
  readonly revision: number
  readonly queues: readonly Queue[]
  readonly maximumBodyBytes: number
}

/** The queue that a request selects: its host's longest matching path prefix. */
export function findQueue (configuration: ClusterConfiguration, host: string, path: string): Queue | undefined {
  let best: Queue | undefined
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.routePrefix)) continue
    if (best === undefined || queue.routePrefix.length > best.routePrefix.length) best = queue
  }
  return best
}
