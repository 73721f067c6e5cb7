import type { QueuePolicy } from '../contracts/clusterConfiguration.js'
import type { ClusterScheduler } from './clusterScheduler.js'
import type { Step } from './job.js'
import { tasksFitWhenEmpty, sortByPlacementOrder } from './placementPass.js'
import { UrgentHeadroom } from './urgentHeadroom.js'
import type { EligibilityOutcome } from './workerPort.js'
import type { WorkerState } from './workerState.js'

/** Workers that one question may name; the service takes no more. */
const MAXIMUM_WORKERS_PER_QUESTION = 100
/** Expected duration from which a question counts as long, in milliseconds. Long ones may not occupy all lines. */
const LONG_QUESTION_MILLISECONDS = 60
/** Part of the lines that is kept for short questions. */
const SHORT_LINE_SHARE = 0.34
/** Time that an answer may take beyond the expected one, in milliseconds. */
const ANSWER_SLACK_MILLISECONDS = 500
/** Validity that must be left for a ticket not to be asked for again, in milliseconds. */
const REFRESH_MARGIN_MILLISECONDS = 400
/** Pause after a failed question about a step, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 150
/** Steps of non-urgent work, in their order, that are asked about ahead of room. */
const ASKED_AHEAD = 12
/** For what the workers could carry if no room were kept for urgent work, as none is for steps that fit nowhere otherwise. */
const NO_HEADROOM = new UrgentHeadroom()

/** One place from which questions are asked; the service handles one of its questions at a time. */
export interface EligibilityChannel {
  readonly instance: string
  request (step: string, workers: readonly string[], timeoutMilliseconds: number): Promise<EligibilityOutcome>
}

/** What became of one question. */
export interface EligibilityRequestResult {
  readonly step: string
  readonly instance: string
  /** Workers asked about and named. */
  readonly requestedCount: number
  readonly eligibleCount: number
  readonly durationMilliseconds: number
  /** Why there is no answer; empty if there is one. */
  readonly reason: string
}

interface Question {
  readonly step: Step
  readonly workers: readonly string[]
  readonly expectedMilliseconds: number
}

/** Asks the eligibility service on behalf of the acting scheduler, over the lines of all instances, for the steps whose turn comes first. */
export class EligibilityRequester {
  private readonly busy = new Set<string>()

  constructor (
    private readonly scheduler: ClusterScheduler,
    private readonly lines: () => readonly EligibilityChannel[],
    private readonly onAnswer: (answer: EligibilityRequestResult) => void,
    private readonly now: () => number
  ) {}

  /** Sends questions on all free lines. */
  sendRequests (): void {
    const lines = this.lines()
    const free = lines.filter(line => !this.busy.has(line.instance))
    if (free.length === 0) return
    let longAllowed = Math.max(1, Math.floor(lines.length * (1 - SHORT_LINE_SHARE))) - (lines.length - free.length)
    for (const question of this.questions()) {
      const isLong = question.expectedMilliseconds >= LONG_QUESTION_MILLISECONDS
      if (isLong && longAllowed <= 0) continue
      const line = free.pop()
      if (line === undefined) return
      if (isLong) longAllowed -= 1
      this.ask(line, question)
    }
  }

  private * questions (): Generator<Question> {
    const now = this.now()
    const steps = [...this.scheduler.readySteps]
    sortByPlacementOrder(steps, now)
    let ahead = 0
    for (const step of steps) {
      const policy = this.scheduler.policyOf(step.job)
      if (policy.eligibility === undefined) continue
      const workers = this.workersToAsk(step, policy, now)
      if (workers === undefined) continue
      if (policy.priority > 0) ahead += 1
      if (ahead > ASKED_AHEAD) return
      if (workers.length === 0 || step.eligibility.isRequestPending || now < step.eligibility.retryNotBefore) continue
      yield { step, workers, expectedMilliseconds: policy.eligibility.decisionMilliseconds + workers.length * policy.eligibility.perWorkerMilliseconds }
    }
  }

  /** Workers that are to be asked about now; undefined if the step can be placed on none of those that are known, so that it uses no room that others wait for. */
  private workersToAsk (step: Step, policy: QueuePolicy, now: number): string[] | undefined {
    const { tickets, requestedWorkers: asked } = step.eligibility
    const isSuitable = (worker: WorkerState | undefined): worker is WorkerState => worker !== undefined && worker.entry.pool === policy.pool && worker.isUsable(now) && worker.fitsWhenEmpty(step.specification)
    const named = [...tickets.keys()].map(identity => this.scheduler.workers.get(identity)).filter(isSuitable)
    // Workers may have become known since the first question, above all after a change of scheduler.
    if (!tasksFitWhenEmpty(named, step, step.waitingCount, this.scheduler.headroom)) {
      const unasked = [...this.scheduler.workers.values()].filter(worker => !asked.has(worker.identity)).filter(isSuitable)
      if (unasked.length > 0) return identities([...unasked, ...named])
      if (!tasksFitWhenEmpty(named, step, step.specification.gang ? step.waitingCount : 1, NO_HEADROOM)) return undefined
    }
    const stale = named.filter(worker => (tickets.get(worker.identity)?.validUntil ?? 0) - REFRESH_MARGIN_MILLISECONDS <= now)
    if (step.specification.gang) return stale.length > 0 && (step.reservation !== undefined || stale.some(worker => worker.fits(step.specification))) ? identities(named) : []
    const valid = named.filter(worker => !stale.includes(worker) && worker.fits(step.specification))
    if (valid.length > 0) return []
    return identities(stale.filter(worker => worker.fits(step.specification)))
  }

  private async ask (line: EligibilityChannel, question: Question): Promise<void> {
    const eligibility = question.step.eligibility
    eligibility.isRequestPending = true
    this.busy.add(line.instance)
    const sentAt = this.now()
    const outcome = await line.request(question.step.name, question.workers, question.expectedMilliseconds + ANSWER_SLACK_MILLISECONDS)
    this.busy.delete(line.instance)
    eligibility.isRequestPending = false
    if (outcome.kind === 'failed') {
      eligibility.retryNotBefore = this.now() + RETRY_PAUSE_MILLISECONDS
    } else {
      // The service dates a ticket by its decision, which is not before the expected duration had passed.
      const validFrom = Math.min(this.now(), sentAt + question.expectedMilliseconds)
      for (const worker of question.workers) eligibility.requestedWorkers.add(worker)
      for (const { worker, ticket } of outcome.workers) eligibility.tickets.set(worker, { ticket, validUntil: validFrom + outcome.validMilliseconds })
      if (outcome.workers.length === 0) eligibility.retryNotBefore = this.now() + RETRY_PAUSE_MILLISECONDS
    }
    this.onAnswer({
      step: question.step.name,
      instance: line.instance,
      requestedCount: question.workers.length,
      eligibleCount: outcome.kind === 'failed' ? 0 : outcome.workers.length,
      durationMilliseconds: Math.round(this.now() - sentAt),
      reason: outcome.kind === 'failed' ? outcome.reason : ''
    })
  }
}

function identities (workers: readonly WorkerState[]): string[] {
  return [...workers]
    .sort((left, right) => right.freeProcessors - left.freeProcessors)
    .slice(0, MAXIMUM_WORKERS_PER_QUESTION)
    .map(worker => worker.identity)
}
