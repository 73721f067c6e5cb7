import { z } from 'zod'
import { parseJsonWithComments, type Finding, type KeyPath, type ParseResult } from '../base/jsonWithComments.js'
import { addResources, multiplyResources, NO_RESOURCES, resourcesSchema, type Resources } from './resources.js'

/** Urgency classes, most urgent first. */
export const URGENCY_CLASSES = ['urgent', 'normal', 'deferrable'] as const
export const urgencySchema = z.enum(URGENCY_CLASSES)
export type Urgency = z.infer<typeof urgencySchema>

/** Returns the rank of an urgency class; 0 is the most urgent. */
export function urgencyRank (urgency: Urgency): number {
  return URGENCY_CLASSES.indexOf(urgency)
}

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected a name of lower-case letters, digits and hyphens')
const milliseconds = z.number().int().positive().max(86_400_000)
const counts = byName(z.number().int().nonnegative().max(100_000))

const failureDomainSchema = z.strictObject({
  region: name,
  /** Percentage of the workers' capacity that may be used; lowered when the server room overheats. */
  allowedCapacityPercent: z.number().int().min(0).max(100).default(100)
})

const serviceSchema = z.strictObject({
  urgency: urgencySchema,
  dependsOn: z.array(name).default([]),
  executorPool: name,
  /** Whether every request may safely run twice. If false, only requests with a method that HTTP defines as idempotent may. */
  idempotent: z.boolean(),
  deadlineMilliseconds: milliseconds,
  /** Maximum run time of a request, after which the executor ends it. */
  maximumRunMilliseconds: milliseconds
})

const executorPoolSchema = z.strictObject({
  slots: z.number().int().min(1).max(1024),
  connections: z.number().int().min(1).max(65_535),
  executors: counts
})

const workerPoolSchema = resourcesSchema.extend({
  workersPerRack: z.number().int().min(1),
  workers: counts
})

const teamSchema = z.strictObject({ quota: resourcesSchema })

const limitsSchema = z.strictObject({
  queuedRequests: z.number().int().min(1).default(2000),
  queuedJobs: z.number().int().min(1).default(100_000),
  requestBodyBytes: z.number().int().min(1).default(8 * 1024 * 1024),
  idempotencyWindowMilliseconds: milliseconds.default(600_000)
})

/** Configuration that operators publish for a site. */
export const siteConfigurationSchema = z.strictObject({
  site: name,
  failureDomains: byName(failureDomainSchema),
  services: byName(serviceSchema),
  executorPools: byName(executorPoolSchema),
  workerPools: byName(workerPoolSchema),
  teams: byName(teamSchema),
  limits: limitsSchema.default(() => limitsSchema.parse({}))
})
export type SiteConfiguration = z.infer<typeof siteConfigurationSchema>
export type Service = SiteConfiguration['services'][string]

/** Result of checking a site configuration: the parsed configuration, or all findings. */
export type CheckedSiteConfiguration =
  | { readonly kind: 'valid', readonly configuration: SiteConfiguration }
  | { readonly kind: 'invalid', readonly findings: readonly Finding[] }

type Problem = readonly [path: KeyPath, message: string]

/** Parses a site configuration and checks its references, cycles, urgencies and quotas. Does not throw on invalid input. */
export function checkSiteConfiguration (file: string, source: string): CheckedSiteConfiguration {
  const parsed: ParseResult<SiteConfiguration> = parseJsonWithComments(file, source, siteConfigurationSchema as z.ZodType<SiteConfiguration>)
  if (parsed.kind === 'invalid') return parsed
  const problems = [...referenceProblems(parsed.value), ...dependencyProblems(parsed.value), ...quotaProblems(parsed.value)]
  if (problems.length === 0) return { kind: 'valid', configuration: parsed.value }
  return { kind: 'invalid', findings: problems.map(([path, message]) => parsed.createFinding(path, message)) }
}

/** Returns the total capacity of all workers of a site. */
export function siteCapacity (configuration: SiteConfiguration): Resources {
  let total = NO_RESOURCES
  for (const pool of Object.values(configuration.workerPools)) {
    const workers = Object.values(pool.workers).reduce((sum, count) => sum + count, 0)
    total = addResources(total, multiplyResources(pool, workers))
  }
  return total
}

/** Schema of values by name. The parsed object inherits no properties, so that a name such as `constructor`, from a caller or an instance list, finds nothing that is not configured. */
function byName<Value extends z.ZodType> (value: Value): z.ZodType<Record<string, z.output<Value>>> {
  return z.record(name, value).transform(values => Object.assign(Object.create(null) as Record<string, z.output<Value>>, values))
}

function referenceProblems (configuration: SiteConfiguration): Problem[] {
  const problems: Problem[] = []
  if (Object.keys(configuration.failureDomains).length === 0) problems.push([['failureDomains'], 'at least one failure domain is expected'])
  for (const [serviceName, service] of Object.entries(configuration.services)) {
    if (!(service.executorPool in configuration.executorPools)) {
      problems.push([['services', serviceName, 'executorPool'], `unknown executor pool '${service.executorPool}'; expected one of ${listNames(configuration.executorPools)}`])
    }
    for (const [index, dependency] of service.dependsOn.entries()) {
      if (!(dependency in configuration.services)) problems.push([['services', serviceName, 'dependsOn', index], `unknown service '${dependency}'; expected one of ${listNames(configuration.services)}`])
    }
  }
  for (const [kind, pools] of [['executorPools', configuration.executorPools], ['workerPools', configuration.workerPools]] as const) {
    for (const [poolName, pool] of Object.entries(pools)) {
      const countsByDomain = 'executors' in pool ? pool.executors : pool.workers
      const key = 'executors' in pool ? 'executors' : 'workers'
      for (const domain of Object.keys(countsByDomain)) {
        if (!(domain in configuration.failureDomains)) problems.push([[kind, poolName, key, domain], `unknown failure domain '${domain}'; expected one of ${listNames(configuration.failureDomains)}`])
      }
    }
  }
  return problems
}

function dependencyProblems (configuration: SiteConfiguration): Problem[] {
  const problems: Problem[] = []
  const finished = new Set<string>()
  const visit = (serviceName: string, path: readonly string[]): void => {
    const service = configuration.services[serviceName]
    if (service === undefined || finished.has(serviceName)) return
    for (const [index, dependency] of service.dependsOn.entries()) {
      const key = ['services', serviceName, 'dependsOn', index]
      if (path.includes(dependency) || dependency === serviceName) {
        const cycle = [...path.slice(Math.max(0, path.indexOf(dependency))), serviceName, dependency]
        problems.push([key, `dependency cycle: ${cycle.join(' -> ')}`])
        continue
      }
      const required = configuration.services[dependency]
      if (service.urgency === 'urgent' && required?.urgency === 'deferrable') {
        problems.push([key, `urgent service '${serviceName}' depends on deferrable service '${dependency}'; expected a dependency that is urgent or normal`])
      }
      visit(dependency, [...path, serviceName])
    }
    finished.add(serviceName)
  }
  for (const serviceName of Object.keys(configuration.services)) visit(serviceName, [])
  return problems
}

function quotaProblems (configuration: SiteConfiguration): Problem[] {
  const capacity = siteCapacity(configuration)
  const problems: Problem[] = []
  for (const [teamName, team] of Object.entries(configuration.teams)) {
    for (const dimension of ['processorsThousandths', 'memoryBytes', 'accelerators'] as const) {
      if (team.quota[dimension] <= capacity[dimension]) continue
      problems.push([['teams', teamName, 'quota', dimension], `quota ${team.quota[dimension]} is above the site's capacity of ${capacity[dimension]}`])
    }
  }
  return problems
}

function listNames (named: Readonly<Record<string, unknown>>): string {
  return Object.keys(named).map(entry => `'${entry}'`).join(', ') || 'none (no name is defined)'
}
