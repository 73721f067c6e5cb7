import Table from 'cli-table3'
import { z } from 'zod'

const resourcesSchema = z.object({ processorsThousandths: z.number(), memoryBytes: z.number(), accelerators: z.number() })

/** Response body of `GET /operator/status`. */
export const instanceStatusSchema = z.object({
  instance: z.string(),
  failureDomain: z.string(),
  revision: z.number().int(),
  ready: z.boolean(),
  owner: z.string().optional(),
  term: z.number().int(),
  isOwner: z.boolean(),
  activeRequests: z.number().int(),
  openJobs: z.number().int(),
  /** Null until the first instance list is received. */
  instanceListAgeMilliseconds: z.number().nullable(),
  used: resourcesSchema.optional(),
  capacity: resourcesSchema.optional(),
  allowedCapacityPercent: z.number().optional()
})
export type InstanceStatus = z.infer<typeof instanceStatusSchema>

/** Response of an entry instance; `status` is undefined if the instance is unreachable or rejects the request. */
export interface StatusResponse {
  readonly address: string
  readonly status: InstanceStatus | undefined
  /** Why `status` is undefined. */
  readonly reason?: string
}

/** Status of all entry instances and the problems found in it. */
export interface SiteStatus {
  readonly newestRevision: number
  readonly responses: readonly StatusResponse[]
  /** One line for each problem; empty for a healthy site. */
  readonly problems: readonly string[]
}

/** Age above which the instance list counts as stale. The list is fetched every half second. */
const STALE_LIST_MILLISECONDS = 10_000

/** Finds the problems in the responses of all instances. `decidedRevision` is the revision decided by the log, undefined if the log is unavailable. */
export function assessStatus (responses: readonly StatusResponse[], decidedRevision: number | undefined): SiteStatus {
  const reached = responses.flatMap(response => response.status ?? [])
  const newestRevision = Math.max(0, decidedRevision ?? 0, ...reached.map(status => status.revision))
  const problems: string[] = []
  if (decidedRevision === undefined) problems.push('the platform\'s log cannot be read')
  for (const { address, status, reason } of responses) {
    if (status === undefined) {
      problems.push(`${address}: ${reason ?? 'unreachable'}`)
      continue
    }
    const { instance, revision, instanceListAgeMilliseconds: age } = status
    if (revision < newestRevision) problems.push(`${instance}: has revision ${revision}, the newest is ${newestRevision}`)
    if (!status.ready) problems.push(`${instance}: not ready`)
    if (age === null) problems.push(`${instance}: has not received the instance list`)
    else if (age > STALE_LIST_MILLISECONDS) problems.push(`${instance}: its instance list is ${Math.round(age / 1000)} s old`)
  }
  for (const [failureDomain, members] of groupByFailureDomain(reached)) problems.push(...findDomainProblems(failureDomain, members))
  return { newestRevision, responses, problems }
}

/** Formats the status of all instances and of their failure domains as plain-text tables, followed by the problems. */
export function formatStatus (site: SiteStatus): string {
  const style = { head: [], border: [] }
  const instances = new Table({ head: ['instance', 'failure domain', 'revision', 'ready', 'instance list age s', 'active requests', 'open jobs'], style })
  for (const { address, status, reason } of site.responses) {
    if (status === undefined) {
      instances.push([address, reason ?? 'unreachable', '', '', '', '', ''])
      continue
    }
    const lag = site.newestRevision - status.revision
    const age = status.instanceListAgeMilliseconds === null ? '-' : (status.instanceListAgeMilliseconds / 1000).toFixed(1)
    instances.push([status.instance, status.failureDomain, lag > 0 ? `${status.revision} (${lag} behind)` : String(status.revision), status.ready ? 'yes' : 'no', age, String(status.activeRequests), String(status.openJobs)])
  }
  const domains = new Table({ head: ['failure domain', 'owner', 'term', 'processors used', 'allowed', 'memory used', 'accelerators used'], style })
  const reached = site.responses.flatMap(response => response.status ?? [])
  for (const [failureDomain, members] of groupByFailureDomain(reached)) {
    const owner = members.find(status => status.isOwner)
    const term = Math.max(...members.map(status => status.term))
    domains.push([failureDomain, owner?.instance ?? findLatestOwner(members) ?? '-', String(term), ...formatCapacityCells(owner)])
  }
  const summary = site.problems.length === 0 ? 'all is well' : site.problems.map(problem => `problem: ${problem}`).join('\n')
  return [`newest revision ${site.newestRevision}`, instances.toString(), domains.toString(), summary].join('\n')
}

function findDomainProblems (failureDomain: string, members: readonly InstanceStatus[]): string[] {
  const problems: string[] = []
  const owners = members.filter(status => status.isOwner)
  if (owners.length > 1) problems.push(`${failureDomain}: ${owners.map(status => status.instance).join(' and ')} both act as owner`)
  if (owners.length === 0) problems.push(`${failureDomain}: no instance that could be reached acts as owner`)
  const [owner] = owners
  if (owner?.used !== undefined && owner.capacity !== undefined) {
    const allowed = allowedCapacity(owner.capacity.processorsThousandths, owner.allowedCapacityPercent)
    if (owner.used.processorsThousandths > allowed) problems.push(`${failureDomain}: ${owner.used.processorsThousandths / 1000} processors are used and ${allowed / 1000} allowed`)
  }
  return problems
}

function formatCapacityCells (owner: InstanceStatus | undefined): string[] {
  if (owner?.used === undefined || owner.capacity === undefined) return ['-', '-', '-', '-']
  const { used, capacity, allowedCapacityPercent } = owner
  return [
    `${used.processorsThousandths / 1000} of ${capacity.processorsThousandths / 1000}`,
    `${allowedCapacity(capacity.processorsThousandths, allowedCapacityPercent) / 1000} (${allowedCapacityPercent ?? 100} %)`,
    `${(used.memoryBytes / 1e9).toFixed(1)} of ${(capacity.memoryBytes / 1e9).toFixed(1)} GB`,
    `${used.accelerators} of ${capacity.accelerators}`
  ]
}

function allowedCapacity (capacity: number, percent: number | undefined): number {
  return Math.floor(capacity * (percent ?? 100) / 100)
}

/** Returns the owner reported by the instance with the greatest term. */
function findLatestOwner (members: readonly InstanceStatus[]): string | undefined {
  return [...members].sort((left, right) => right.term - left.term)[0]?.owner
}

function groupByFailureDomain (statuses: readonly InstanceStatus[]): ReadonlyMap<string, InstanceStatus[]> {
  const groups = new Map<string, InstanceStatus[]>()
  for (const status of statuses) groups.set(status.failureDomain, [...groups.get(status.failureDomain) ?? [], status])
  return groups
}
