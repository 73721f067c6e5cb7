import { H3 } from 'h3'
import { z } from 'zod'
import { DisposableObject } from '../base/disposable.js'
import type { ListedInstance } from '../contracts/platformProtocol.js'
import type { StandinLedger } from '../contracts/standinLedger.js'
import type { SiteText } from '../contracts/siteText.js'
import { ExecutorStandin } from './executorStandin.js'
import { PlatformStandin, type PlatformOptions } from './platformStandin.js'
import type { StandinContext } from './standinContext.js'
import { WorkerStandin } from './workerStandin.js'

/** Options of a whole site of stand-ins. */
export interface SiteOptions extends PlatformOptions {
  readonly host: string
  readonly port: number
  /** Mean time that an executor of speed 1 takes for a request, in milliseconds. */
  readonly serviceMilliseconds: number
}

/** Slowest and fastest executors differ by this factor. */
const EXECUTOR_SPEED_SPREAD = 4

const faultsSchema = z.strictObject({
  target: z.string(),
  faults: z.record(z.string(), z.union([z.boolean(), z.number()]))
})

/** Platform, workers and executors of a site text, each on its own port. */
export class SiteStandin extends DisposableObject {
  readonly platform: PlatformStandin
  readonly executors: ExecutorStandin[] = []
  readonly workers: WorkerStandin[] = []
  private readonly listed = new Map<string, ListedInstance>()

  constructor (private readonly context: StandinContext, private readonly text: SiteText, private readonly options: SiteOptions) {
    super()
    this.platform = this.register(new PlatformStandin(context, options, () => [...this.listed.values()]))
  }

  async start (): Promise<void> {
    await this.startExecutors()
    await this.startWorkers()
    await this.platform.listen(this.options.host, this.options.port, app => this.routeControl(app))
  }

  /** Adds or replaces a machine in the instance list. */
  addInstance (instance: ListedInstance): void {
    this.listed.set(instance.name, instance)
  }

  /** Removes a machine from the instance list. */
  removeInstance (name: string): void {
    this.listed.delete(name)
  }

  /** Sets faults of a machine or of the platform; returns false if there is no such target. */
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
    const entry = this.listed.get(name)
    if (entry !== undefined) this.addInstance({ ...entry, state: leaving ? 'leaving' : 'live' })
  }

  private routeControl (app: H3): void {
    app.post('/standin/faults', async event => {
      const parsed = faultsSchema.safeParse(await event.req.json().catch(() => undefined))
      if (!parsed.success) return new Response('malformed faults', { status: 400 })
      return new Response(null, { status: this.setFaults(parsed.data.target, parsed.data.faults) ? 204 : 404 })
    })
    app.get('/standin/ran', () => Response.json(this.createLedger()))
  }

  /** What the executors and workers ran. */
  createLedger (): StandinLedger {
    return {
      executors: this.executors.map(executor => ({ name: executor.name, slots: executor.slots, connections: executor.connections, maximumConcurrent: executor.maximumConcurrent, maximumConnections: executor.maximumConnections, runs: executor.runs })),
      workers: this.workers.map(worker => ({ name: worker.name, capacity: worker.capacity, mostUsed: worker.mostUsed, overcommittedStarts: worker.overcommittedStarts, runs: worker.runs })),
      appends: this.platform.appendCount
    }
  }

  /** Each machine has events and a logical time of its own, as it would as a process of its own. */
  private contextOf (machine: string): StandinContext {
    return { ...this.context, events: this.context.events.forMachine(machine) }
  }

  private async startExecutors (): Promise<void> {
    const total = Object.values(this.text.executorPools).flatMap(pool => Object.values(pool.executors)).reduce((sum, count) => sum + count, 0)
    for (const [poolName, pool] of Object.entries(this.text.executorPools)) {
      for (const [failureDomain, count] of Object.entries(pool.executors)) {
        for (let index = 0; index < count; index += 1) {
          const name = `${poolName}-${failureDomain}-${index}`
          const factor = EXECUTOR_SPEED_SPREAD ** ((this.executors.length % Math.max(1, total)) / Math.max(1, total - 1) - 0.5)
          const executor = this.register(new ExecutorStandin(this.contextOf(name), name, pool.slots, pool.connections, this.options.serviceMilliseconds * factor))
          await executor.listen(this.options.host, 0)
          this.executors.push(executor)
          this.addInstance({ kind: 'executor', name, failureDomain, pool: poolName, address: executor.address, state: 'live' })
        }
      }
    }
  }

  private async startWorkers (): Promise<void> {
    for (const [poolName, pool] of Object.entries(this.text.workerPools)) {
      const { processorsThousandths, memoryBytes, accelerators } = pool
      for (const [failureDomain, count] of Object.entries(pool.workers)) {
        for (let index = 0; index < count; index += 1) {
          const name = `${poolName}-${failureDomain}-${index}`
          const rack = `${failureDomain}-rack-${Math.floor(index / pool.workersPerRack)}`
          const worker = this.register(new WorkerStandin(this.contextOf(name), name, `${name}.1`, { processorsThousandths, memoryBytes, accelerators }))
          await worker.listen(this.options.host, 0)
          this.workers.push(worker)
          this.addInstance({ kind: 'worker', name, failureDomain, pool: poolName, rack, address: worker.address, state: 'live' })
        }
      }
    }
  }
}
