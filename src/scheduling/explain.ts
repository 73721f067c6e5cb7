import { fitsWithin, subtractResources, type Resources } from '../contracts/resources.js'
import { tasksThatFit } from './capacity.js'
import type { CapacityReservations } from './capacityReservations.js'
import type { GangReservationPlanner } from './gangReservationPlanner.js'
import { isExemptFromThermalLimit, type ThermalLimit } from './thermalLimit.js'
import type { JobEntry } from './jobState.js'
import type { TaskLedger } from './taskLedger.js'
import type { TeamShares } from './teamShares.js'
import type { WorkerEntry } from './workerEntry.js'
import type { WorkerHealth } from './workerHealth.js'

/** State of the scheduler from which an explanation is made. */
export interface ExplainSources {
  readonly ledger: TaskLedger
  readonly reservations: CapacityReservations
  readonly health: WorkerHealth
  readonly thermalLimit: ThermalLimit
  readonly teams: TeamShares
  readonly gangReservations: GangReservationPlanner
  /** Processors that batch work may still start under the allowed capacity, in thousandths. */
  readonly thermalHeadroomThousandths: number
}

/** Explains in at most a screen of plain text why a job waits, and what would change that. */
export function explainJob (job: JobEntry, sources: ExplainSources, inventoryComplete: boolean, now: number): string {
  const { counts } = job
  const lines = [`${counts.waiting} waiting, ${counts.starting} starting, ${counts.running} running, ${counts.stopping} stopping, ${counts.finished} finished of ${job.tasks.length} tasks`]
  if (job.cancelled) lines.push('cancelled; it ends when its tasks have stopped or their leases have lapsed')
  else if (counts.waiting === 0) lines.push('all tasks have been placed')
  else if (job.mayAlreadyBePlaced && !inventoryComplete) lines.push('waits for the inventory of every worker after a change of owner; silent workers are waited for until their leases have lapsed')
  else if (job.placeable.size === 0) lines.push('waits until earlier attempts of its tasks have stopped or their leases have lapsed')
  else lines.push(...reasons(job, sources, now))
  return lines.join('\n')
}

function reasons (job: JobEntry, sources: ExplainSources, now: number): string[] {
  const { ledger, reservations, health, thermalLimit, teams, gangReservations, thermalHeadroomThousandths } = sources
  const demand = job.job.resources
  const schedulable = [...ledger.workers.values()].filter(entry => entry.schedulable)
  const largeEnough = schedulable.filter(entry => fitsWithin(demand, entry.worker.description.capacity))
  const lines = [`each task needs ${describeResources(demand)}; team ${job.job.team} uses ${formatShare(teams.dominantShare(job.job.team))} of its quota, and teams that use less go first`]
  const tasksWhenEmpty = largeEnough.reduce((sum, entry) => sum + tasksThatFit(demand, entry.worker.description.capacity), 0)
  if (tasksWhenEmpty < (job.job.kind === 'gang' ? job.job.tasks : 1)) {
    lines.push(`cannot run: the ${schedulable.length} workers that answer could carry ${tasksWhenEmpty} of its tasks at once if they were empty; workers must be added or come back, or the job must be submitted smaller`)
    return lines
  }
  if (!isExemptFromThermalLimit(job) && thermalHeadroomThousandths < demand.processorsThousandths) lines.push(`heat: ${thermalLimit.effectivePercent.toFixed(0)} % of the capacity is allowed and in use; it is placed when the share rises or tasks end`)
  const withCapacity = largeEnough.filter(entry => fitsWithin(demand, entry.worker.free))
  const unhealthy = largeEnough.filter(entry => !health.accepts(entry, job, now))
  const reserved = withCapacity.filter(entry => !reservations.allows(entry, job))
  if (unhealthy.length > 0) lines.push(`quarantine: ${unhealthy.length} workers that are large enough have failed everything lately, among them ${(unhealthy[0] as WorkerEntry).worker.name}; a finished probe releases them`)
  if (reserved.length > 0) lines.push(`${reserved.length} workers have room that is kept for a gang or for urgent work`)
  if (job.job.kind === 'gang') {
    const fitting = withCapacity.reduce((sum, entry) => sum + tasksThatFit(demand, entry.worker.free), 0)
    lines.push(`gang: ${fitting} of ${job.placeable.size} tasks would fit now, and all must; ${gangReservations.current === job ? 'room is being kept for it' : gangReservations.current === undefined ? 'no gang has a reservation' : `gang ${gangReservations.current.job.identity} has the reservation before it`}`)
  }
  const nearest = workerWithLeastLack(demand, largeEnough)
  if (withCapacity.length > 0) lines.push(`${withCapacity.length} workers have room for a task`)
  else if (nearest !== undefined) lines.push(`no worker has room; the nearest is ${nearest.worker.name}, which lacks ${describeLack(demand, nearest.worker.free)}; tasks that end there would change that`)
  return lines
}

function workerWithLeastLack (demand: Resources, workers: readonly WorkerEntry[]): WorkerEntry | undefined {
  const lack = ({ worker: { free, description: { capacity } } }: WorkerEntry): number =>
    Math.max(0, demand.processorsThousandths - free.processorsThousandths) / Math.max(1, capacity.processorsThousandths) +
    Math.max(0, demand.memoryBytes - free.memoryBytes) / Math.max(1, capacity.memoryBytes) +
    Math.max(0, demand.accelerators - free.accelerators) / Math.max(1, capacity.accelerators)
  return workers.reduce<WorkerEntry | undefined>((best, entry) => best === undefined || lack(entry) < lack(best) ? entry : best, undefined)
}

function describeLack (demand: Resources, free: Resources): string {
  const lack = subtractResources(demand, free)
  return describeResources({ processorsThousandths: Math.max(0, lack.processorsThousandths), memoryBytes: Math.max(0, lack.memoryBytes), accelerators: Math.max(0, lack.accelerators) })
}

function describeResources ({ processorsThousandths, memoryBytes, accelerators }: Resources): string {
  const parts = [
    processorsThousandths > 0 ? `${processorsThousandths / 1000} processors` : '',
    memoryBytes > 0 ? `${(memoryBytes / 1e9).toFixed(2)} GB of memory` : '',
    accelerators > 0 ? `${accelerators} accelerators` : ''
  ].filter(part => part !== '')
  return parts.length === 0 ? 'nothing' : parts.join(', ')
}

function formatShare (share: number): string {
  return share > 1e6 ? 'more than all' : `${Math.round(share * 100)} %`
}
