import Table from 'cli-table3'
import { z } from 'zod'

const amounts = z.object({ processorsThousandths: z.number(), memoryBytes: z.number(), accelerators: z.number() })

/** Answer to `GET /operator/status`. */
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
  /** Null before the first list has arrived. */
  instanceListAgeMilliseconds: z.number().nullable(),
  used: amounts.optional(),
  capacity: amounts.optional(),
  allowedCapacityPercent: z.number().optional()
})
export type InstanceStatus = z.infer<typeof instanceStatusSchema>

/** What one entry instance answered; `status` is undefined if it could not be reached or refused. */
export interface StatusResponse {
  readonly address: string
  readonly status: InstanceStatus | undefined
  /** Why there is no status. */
  readonly reason?: string
}

/** State of all entry instances and what is wrong with it. */
export interface SiteStatus {
  readonly newestRevision: number
  readonly responses: readonly StatusResponse[]
  /** One line for each problem; empty if all is well. */
  readonly problems: readonly string[]
}

/** Age above which the instance list counts as stale; the list is fetched every half second. */
const STALE_LIST_MILLISECONDS = 10_000

/** Judges the answers of all instances. `decidedRevision` is what the log has decided, undefined if the log is away. */
export function assessStatus (answers: readonly StatusResponse[], decidedRevision: number | undefined): SiteStatus {
  const known = answers.flatMap(answer => answer.status ?? [])
  const newestRevision = Math.max(0, decidedRevision ?? 0, ...known.map(status => status.revision))
  const problems: string[] = []
  if (decidedRevision === undefined) problems.push('the platform\'s log cannot be read')
  for (const { address, status, reason } of answers) {
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
  for (const [failureDomain, members] of groupByDomain(known)) problems.push(...domainProblems(failureDomain, members))
  return { newestRevision, responses: answers, problems }
}

/** Renders the state of all instances and of their failure domains as plain tables, followed by the problems. */
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
  const known = site.responses.flatMap(answer => answer.status ?? [])
  for (const [failureDomain, members] of groupByDomain(known)) {
    const owner = members.find(status => status.isOwner)
    const term = Math.max(...members.map(status => status.term))
    domains.push([failureDomain, owner?.instance ?? latestOwner(members) ?? '-', String(term), ...capacityCells(owner)])
  }
  const verdict = site.problems.length === 0 ? 'all is well' : site.problems.map(problem => `problem: ${problem}`).join('\n')
  return [`newest revision ${site.newestRevision}`, instances.toString(), domains.toString(), verdict].join('\n')
}

function domainProblems (failureDomain: string, members: readonly InstanceStatus[]): string[] {
  const problems: string[] = []
  const owners = members.filter(status => status.isOwner)
  if (owners.length > 1) problems.push(`${failureDomain}: ${owners.map(status => status.instance).join(' and ')} both act as owner`)
  if (owners.length === 0) problems.push(`${failureDomain}: no instance that could be reached acts as owner`)
  const [owner] = owners
  if (owner?.used !== undefined && owner.capacity !== undefined) {
    const allowed = allowedOf(owner.capacity.processorsThousandths, owner.allowedCapacityPercent)
    if (owner.used.processorsThousandths > allowed) problems.push(`${failureDomain}: ${owner.used.processorsThousandths / 1000} processors are used and ${allowed / 1000} allowed`)
  }
  return problems
}

function capacityCells (owner: InstanceStatus | undefined): string[] {
  if (owner?.used === undefined || owner.capacity === undefined) return ['-', '-', '-', '-']
  const { used, capacity, allowedCapacityPercent } = owner
  return [
    `${used.processorsThousandths / 1000} of ${capacity.processorsThousandths / 1000}`,
    `${allowedOf(capacity.processorsThousandths, allowedCapacityPercent) / 1000} (${allowedCapacityPercent ?? 100} %)`,
    `${(used.memoryBytes / 1e9).toFixed(1)} of ${(capacity.memoryBytes / 1e9).toFixed(1)} GB`,
    `${used.accelerators} of ${capacity.accelerators}`
  ]
}

function allowedOf (capacity: number, percent: number | undefined): number {
  return Math.floor(capacity * (percent ?? 100) / 100)
}

function latestOwner (members: readonly InstanceStatus[]): string | undefined {
  return [...members].sort((left, right) => right.term - left.term)[0]?.owner
}

function groupByDomain (statuses: readonly InstanceStatus[]): ReadonlyMap<string, InstanceStatus[]> {
  const groups = new Map<string, InstanceStatus[]>()
  for (const status of statuses) groups.set(status.failureDomain, [...groups.get(status.failureDomain) ?? [], status])
  return groups
}
