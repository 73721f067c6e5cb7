import { timingSafeEqual, createHash } from 'node:crypto'
import type { H3, H3Event } from 'h3'
import type { Membership } from '../machines/membership.js'
import type { LinkTransport } from '../links/linkHub.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow, type EntryContext } from './entryContext.js'
import { errorResponse } from './errorResponse.js'
import type { RequestDispatcher } from './requestDispatcher.js'
import type { JobTask } from './jobTask.js'
import type { MetricsRegistry } from './metricsRegistry.js'
import type { OwnershipTask } from './ownershipTask.js'
import type { PlacementTask } from './placementTask.js'
import type { RequestHistory } from './requestHistory.js'

/** HTTP API for operators. All routes except `/metrics` require an operator token from the settings. */
export class OperatorApi {
  constructor (
    private readonly context: EntryContext,
    private readonly configuration: ConfigurationTask,
    private readonly ownership: OwnershipTask,
    private readonly placement: PlacementTask,
    private readonly jobs: JobTask,
    private readonly requestDispatcher: RequestDispatcher,
    private readonly membership: Membership,
    private readonly links: LinkTransport,
    private readonly metrics: MetricsRegistry,
    private readonly requestHistory: RequestHistory,
    private readonly newerRecords: () => number,
    private readonly isReady: () => boolean
  ) {}

  registerRoutes (app: H3): void {
    app.get('/metrics', async () => await this.metrics.response())
    app.get('/operator/status', event => this.authorize(event, () => this.status()))
    app.get('/operator/configuration', event => this.authorize(event, () => {
      const current = this.configuration.inForce
      return Response.json({ revision: current?.revision ?? 0, text: current?.source ?? '' })
    }))
    app.get('/operator/explain/:subject', event => this.authorize(event, () => this.explain(event.context.params?.subject ?? '')))
  }

  private authorize (event: H3Event, respond: () => Response): Response {
    const authorization = event.req.headers.get('authorization') ?? ''
    const accepted = this.context.settings.operatorTokens.some(token => secretsEqual(authorization, `Bearer ${token}`))
    if (accepted) return respond()
    return errorResponse({ code: 'unauthorized', verdict: 'notRun', message: 'a valid operator token is required' })
  }

  private status (): Response {
    const { instance, failureDomain, region } = this.context.settings
    const utilization = this.placement.currentScheduler?.utilization()
    const listAge = this.membership.listAgeMilliseconds(monotonicNow())
    return Response.json({
      instance,
      incarnation: this.context.incarnation,
      failureDomain,
      region,
      ready: this.isReady(),
      revision: this.configuration.inForce?.revision ?? 0,
      owner: this.ownership.owner?.instance,
      term: this.ownership.term,
      isOwner: this.ownership.isOwner(),
      activeRequests: this.requestDispatcher.activeRequests,
      openJobs: this.jobs.registry.openJobs().length,
      outdated: this.newerRecords() > 0,
      newerRecords: this.newerRecords(),
      peers: this.links.peers().map(peer => peer.instance),
      suspected: this.membership.entries().filter(entry => this.membership.isSuspected(entry.name, monotonicNow())).map(entry => entry.name),
      instanceListAgeMilliseconds: Number.isFinite(listAge) ? Math.round(listAge) : null,
      used: utilization?.used,
      capacity: utilization?.capacity,
      allowedCapacityPercent: this.configuration.inForce?.configuration.failureDomains[failureDomain]?.allowedCapacityPercent
    })
  }

  private explain (subject: string): Response {
    const { instance } = this.context.settings
    const explanation = this.requestHistory.explain(subject)
    if (explanation !== undefined) return Response.json({ subject, subjectKind: 'request', instance, explanation })
    const job = this.jobs.registry.find(subject)
    if (job === undefined) return errorResponse({ code: 'unknownJob', verdict: 'notRun', message: `'${subject}' is not known to this instance` })
    if (job.outcome !== undefined) return Response.json({ subject, subjectKind: 'job', instance, explanation: `the job has ended: ${job.outcome}${job.reason === undefined ? '' : ` (${job.reason})`}` })
    const scheduler = this.placement.currentScheduler
    if (scheduler === undefined) {
      return Response.json({ subject, subjectKind: 'job', instance, owner: this.ownership.owner?.instance ?? 'none', explanation: `ask the owner of ${job.failureDomain}: ${this.ownership.owner?.instance ?? 'none at present'}` })
    }
    return Response.json({ subject, subjectKind: 'job', instance, owner: instance, explanation: scheduler.explain(subject, monotonicNow()) })
  }
}

function secretsEqual (left: string, right: string): boolean {
  const digest = (value: string): Buffer => createHash('sha256').update(value).digest()
  return timingSafeEqual(digest(left), digest(right))
}
