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

/** A job as callers read it. */
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

/** HTTP answers about jobs. Reads of a job of another failure domain go to an entry instance there. */
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

  /** Jobs of the own failure domain. */
  list (): Response {
    return Response.json({ failureDomain: this.context.settings.failureDomain, jobs: this.jobs.registry.allJobs().map(booked => this.view(booked)) })
  }

  async read (identity: string, forwarded: boolean): Promise<Response> {
    const booked = this.jobs.registry.find(identity)
    if (booked !== undefined) return Response.json(this.view(booked))
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
        const answer = await request(`${peer.callerAddress}/jobs/${encodeURIComponent(identity)}`, {
          dispatcher: this.agent, headers: { [CALLER_HEADERS.forwardedFrom]: this.context.settings.instance }, headersTimeout: FORWARD_TIMEOUT_MILLISECONDS, bodyTimeout: FORWARD_TIMEOUT_MILLISECONDS
        })
        return new Response(await answer.body.text(), { status: answer.statusCode, headers: { 'content-type': 'application/json' } })
      } catch {
        this.context.logger.debug('forwarding a read of a job failed', { peer: peer.name, job: identity })
      }
    }
    return errorResponse({ code: 'notReady', verdict: 'notRun', message: `failure domain '${failureDomain}' cannot be reached`, retryAfterSeconds: 2 })
  }

  private view (booked: RegisteredJob): JobView {
    const { job } = booked
    const state = booked.outcome ?? this.placement.currentScheduler?.stateOf(job.identity)?.state ?? 'waiting'
    return { job: job.identity, failureDomain: booked.failureDomain, name: job.name, kind: job.kind, team: job.team, state, tasks: job.tasks, reason: booked.reason }
  }
}

function toResponse (answer: JobRequestResult): Response {
  if (answer.kind === 'error') return errorResponse(answer.error)
  return Response.json({ job: answer.job, failureDomain: answer.failureDomain }, { status: 202 })
}
