import type { QueuePolicy } from '../../contracts/clusterConfiguration.js'
import type { AdmissionReply, BacklogSummary, JobDemand } from '../../contracts/clusterMessages.js'
import type { StepJob } from '../../contracts/stepJob.js'
import { estimateDemand, type RefusalCause } from './admissionDecision.js'
import { BacklogView } from './backlogView.js'

/** Longest wait for the decision of the active scheduler, in milliseconds; several round trips between failure domains. */
const REPLY_TIMEOUT_MILLISECONDS = 400
/** Part of a caller's time limit that is left for storing the job after the wait, in milliseconds. */
const STORING_MARGIN_MILLISECONDS = 350
/** Maximum number of open questions to the active scheduler; beyond it, jobs are admitted. */
const MAXIMUM_OPEN_QUESTIONS = 64

export type AdmissionOutcome =
  | { readonly kind: 'admitted' }
  /** The job is in the log already. */
  | { readonly kind: 'stored', readonly organisation?: string | undefined }
  /** The job is not in the log and is to be refused. */
  | { readonly kind: 'refused', readonly cause: RefusalCause, readonly returnMilliseconds: number }

/** A job that would be refused. */
export interface AdmissionQuestion {
  readonly job: string
  readonly organisation: string
  readonly demand: JobDemand
}

/** Asks the active scheduler; resolves with undefined if it cannot be reached in time. */
export type AskAdmission = (question: AdmissionQuestion, timeoutMilliseconds: number) => Promise<AdmissionReply | undefined>

/** Decides at an instance whether a submitted job is admitted. Only the active scheduler, which knows all stored jobs, confirms a refusal. */
export class SubmissionAdmission {
  private readonly view = new BacklogView()
  private openQuestions = 0

  constructor (private readonly ask: AskAdmission, private readonly now: () => number) {}

  onSummary (summary: Pick<BacklogSummary, 'term' | 'organisations'>): void {
    this.view.onSummary(summary, this.now())
  }

  /** Decides on a job of an organisation. `timeLimitMilliseconds`: time in which the caller needs the response. */
  async decide (job: string, organisation: string, queue: QueuePolicy, specification: StepJob, timeLimitMilliseconds: number): Promise<AdmissionOutcome> {
    const demand = estimateDemand(specification, queue)
    if (demand === undefined) return { kind: 'admitted' }
    const decision = this.view.decide(organisation, demand, this.now())
    const outcome = decision.kind === 'refused' ? await this.confirm({ job, organisation, demand }, timeLimitMilliseconds) : decision
    if (outcome.kind === 'admitted') this.view.onAccepted(organisation, demand, this.now())
    return outcome
  }

  private async confirm (question: AdmissionQuestion, timeLimitMilliseconds: number): Promise<AdmissionOutcome> {
    const timeout = Math.min(REPLY_TIMEOUT_MILLISECONDS, timeLimitMilliseconds - STORING_MARGIN_MILLISECONDS)
    if (this.openQuestions >= MAXIMUM_OPEN_QUESTIONS || timeout <= 0) return { kind: 'admitted' }
    this.openQuestions += 1
    const reply = await this.ask(question, timeout).finally(() => { this.openQuestions -= 1 })
    // Storing a job again is harmless, so it is the response to everything that is not certain.
    if (reply === undefined || reply.state === 'unsure') return { kind: 'admitted' }
    if (reply.state !== 'unknown') return { kind: 'stored', organisation: reply.organisation }
    return reply.refusal === 'none' ? { kind: 'admitted' } : { kind: 'refused', cause: reply.refusal, returnMilliseconds: reply.returnMilliseconds }
  }
}
