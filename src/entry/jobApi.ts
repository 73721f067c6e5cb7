import { request, type Agent } from 'undici'
import type { JobState, JobSubmission } from '../contracts/jobs.js'
import type { Membership } from '../machines/membership.js'
import type { RegisteredJob } from '../scheduling/jobRegistry.js'
import { CALLER_HEADERS } from '../requests/headers.js'
import { errorResponse } from './errorResponse.js'
import type { EntryContext } from './entryContext.js'
import { failureDomainOf, type JobRequestResult, type JobTask } from './jobTask.js'
import type { PlacementTask } from './placementTask.js'

const FORWARD_TIMEOUT_MILLISECONDS = 2000

/** A job as shown to callers. */
export interface JobView {
  readonly job: string
  readonly failureDomain: string
  readonly name: string
  readonly kind: string
  readonly team: string
  readonly state: JobState
  readonly tasks: number
  readonly reason?: string
}

/** Serves HTTP requests about jobs. Reads of a job of another failure domain are forwarded to an entry instance there. */
export class JobApi {
  constructor (
    private readonly context: EntryContext,
    private readonly jobs: JobTask,
    private readonly placement: PlacementTask,
    private readonly membership: Membership,
    private readonly agent: Agent
  ) {}

  async submit (submission: JobSubmission, idempotencyKey: string | undefined): Promise<Response> {
    return toResponse(await this.jobs.submit(submission, idempotencyKey))
  }

  async cancel (identity: string): Promise<Response> {
    return toResponse(await this.jobs.cancel(identity))
  }

  /** Returns the jobs of the own failure domain. */
  list (): Response {
    return Response.json({ failureDomain: this.context.settings.failureDomain, jobs: this.jobs.registry.allJobs().map(registered => this.view(registered)) })
  }

  async read (identity: string, forwarded: boolean): Promise<Response> {
    const registered = this.jobs.registry.find(identity)
    if (registered !== undefined) return Response.json(this.view(registered))
    const failureDomain = failureDomainOf(identity)
    if (forwarded || failureDomain === undefined || failureDomain === this.context.settings.failureDomain) {
      return errorResponse({ code: 'unknownJob', verdict: 'notRun', message: `there is no job '${identity}'` })
    }
    return await this.forward(identity, failureDomain)
  }

  private async forward (identity: string, failureDomain: string): Promise<Response> {
    const peers = this.membership.entries().filter(entry => entry.failureDomain === failureDomain && entry.state === 'live')
    for (const peer of peers) {
      try {
        const response = await request(`${peer.callerAddress}/jobs/${encodeURIComponent(identity)}`, {
          dispatcher: this.agent, headers: { [CALLER_HEADERS.forwardedFrom]: this.context.settings.instance }, headersTimeout: FORWARD_TIMEOUT_MILLISECONDS, bodyTimeout: FORWARD_TIMEOUT_MILLISECONDS
        })
        return new Response(await response.body.text(), { status: response.statusCode, headers: { 'content-type': 'application/json' } })
      } catch {
        this.context.logger.debug('forwarding a read of a job failed', { peer: peer.name, job: identity })
      }
    }
    return errorResponse({ code: 'notReady', verdict: 'notRun', message: `failure domain '${failureDomain}' cannot be reached`, retryAfterSeconds: 2 })
  }

  private view (registered: RegisteredJob): JobView {
    const { job } = registered
    const state = registered.outcome ?? this.placement.currentScheduler?.stateOf(job.identity)?.state ?? 'waiting'
    return { job: job.identity, failureDomain: registered.failureDomain, name: job.name, kind: job.kind, team: job.team, state, tasks: job.tasks, reason: registered.reason }
  }
}

function toResponse (result: JobRequestResult): Response {
  if (result.kind === 'error') return errorResponse(result.error)
  return Response.json({ job: result.job, failureDomain: result.failureDomain }, { status: 202 })
}
