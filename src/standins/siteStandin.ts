import { H3 } from 'h3'
import { z } from 'zod'
import { DisposableObject } from '../base/disposable.js'
import type { ListedInstance } from '../contracts/platformProtocol.js'
import type { StandinLedger } from '../contracts/standinLedger.js'
import type { SiteConfiguration } from '../contracts/siteConfiguration.js'
import { ExecutorStandin } from './executorStandin.js'
import { PlatformStandin, type PlatformOptions } from './platformStandin.js'
import type { StandinContext } from './standinContext.js'
import { WorkerStandin } from './workerStandin.js'

/** Options of the stand-ins of a site. */
export interface SiteOptions extends PlatformOptions {
  readonly host: string
  readonly port: number
  /** Mean service time of an executor of speed 1. */
  readonly serviceMilliseconds: number
}

/** Ratio of the service times of the slowest and the fastest executor. */
const EXECUTOR_SPEED_SPREAD = 4

const faultsSchema = z.strictObject({
  target: z.string(),
  faults: z.record(z.string(), z.union([z.boolean(), z.number()]))
})

/** Platform, workers and executors of a site configuration, each on its own port. */
export class SiteStandin extends DisposableObject {
  readonly platform: PlatformStandin
  readonly executors: ExecutorStandin[] = []
  readonly workers: WorkerStandin[] = []
  private readonly listedInstances = new Map<string, ListedInstance>()

  constructor (private readonly context: StandinContext, private readonly configuration: SiteConfiguration, private readonly options: SiteOptions) {
    super()
    this.platform = this.register(new PlatformStandin(context, options, () => [...this.listedInstances.values()]))
  }

  async start (): Promise<void> {
    await this.startExecutors()
    await this.startWorkers()
    await this.platform.listen(this.options.host, this.options.port, app => this.addControlRoutes(app))
  }

  /** Adds or replaces a machine in the instance list. */
  addInstance (instance: ListedInstance): void {
    this.listedInstances.set(instance.name, instance)
  }

  /** Removes a machine from the instance list. */
  removeInstance (name: string): void {
    this.listedInstances.delete(name)
  }

  /** Sets faults of a machine or of the platform. Returns false if the target does not exist. */
  setFaults (target: string, faults: Readonly<Record<string, boolean | number>>): boolean {
    this.context.events.record('faultSwitched', { detail: `${target} ${JSON.stringify(faults)}` })
    if (target === 'platform') {
      this.platform.setFaults(faults)
      return true
    }
    const machine = [...this.executors, ...this.workers].find(candidate => candidate.name === target)
    if (machine === undefined) return false
    if (typeof faults.leaving === 'boolean') this.setLeaving(target, faults.leaving)
    Object.assign(machine.faults, faults)
    return true
  }

  private setLeaving (name: string, leaving: boolean): void {
    const entry = this.listedInstances.get(name)
    if (entry !== undefined) this.addInstance({ ...entry, state: leaving ? 'leaving' : 'live' })
  }

  private addControlRoutes (app: H3): void {
    app.post('/standin/faults', async event => {
      const parsed = faultsSchema.safeParse(await event.req.json().catch(() => undefined))
      if (!parsed.success) return new Response('malformed faults', { status: 400 })
      return new Response(null, { status: this.setFaults(parsed.data.target, parsed.data.faults) ? 204 : 404 })
    })
    app.get('/standin/ran', () => Response.json(this.createLedger()))
  }

  /** Creates the ledger of all runs of executors and workers. */
  createLedger (): StandinLedger {
    return {
      executors: this.executors.map(executor => ({ name: executor.name, slots: executor.slots, connections: executor.connections, maximumConcurrent: executor.maximumConcurrent, maximumConnections: executor.maximumConnections, runs: executor.runs })),
      workers: this.workers.map(worker => ({ name: worker.name, capacity: worker.capacity, mostUsed: worker.mostUsed, overcommittedStarts: worker.overcommittedStarts, runs: worker.runs })),
      appends: this.platform.appendCount
    }
  }

  /** Creates a context with a separate event log and logical clock, as if the machine were a separate process. */
  private createMachineContext (machine: string): StandinContext {
    return { ...this.context, events: this.context.events.forMachine(machine) }
  }

  private async startExecutors (): Promise<void> {
    const total = Object.values(this.configuration.executorPools).flatMap(pool => Object.values(pool.executors)).reduce((sum, count) => sum + count, 0)
    for (const [poolName, pool] of Object.entries(this.configuration.executorPools)) {
      for (const [failureDomain, count] of Object.entries(pool.executors)) {
        for (let index = 0; index < count; index += 1) {
          const name = `${poolName}-${failureDomain}-${index}`
          const factor = EXECUTOR_SPEED_SPREAD ** ((this.executors.length % Math.max(1, total)) / Math.max(1, total - 1) - 0.5)
          const executor = this.register(new ExecutorStandin(this.createMachineContext(name), name, pool.slots, pool.connections, this.options.serviceMilliseconds * factor))
          await executor.listen(this.options.host, 0)
          this.executors.push(executor)
          this.addInstance({ kind: 'executor', name, failureDomain, pool: poolName, address: executor.address, state: 'live' })
        }
      }
    }
  }

  private async startWorkers (): Promise<void> {
    for (const [poolName, pool] of Object.entries(this.configuration.workerPools)) {
      const { processorsThousandths, memoryBytes, accelerators } = pool
      for (const [failureDomain, count] of Object.entries(pool.workers)) {
        for (let index = 0; index < count; index += 1) {
          const name = `${poolName}-${failureDomain}-${index}`
          const rack = `${failureDomain}-rack-${Math.floor(index / pool.workersPerRack)}`
          const worker = this.register(new WorkerStandin(this.createMachineContext(name), name, `${name}.1`, { processorsThousandths, memoryBytes, accelerators }))
          await worker.listen(this.options.host, 0)
          this.workers.push(worker)
          this.addInstance({ kind: 'worker', name, failureDomain, pool: poolName, rack, address: worker.address, state: 'live' })
        }
      }
    }
  }
}
