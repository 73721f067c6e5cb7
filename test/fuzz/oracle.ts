import { CONFIGURATION_STREAM } from '../../src/contracts/records.js'
import { fitsWithin } from '../../src/contracts/resources.js'
import { expectedBody, type RequestRun } from '../fakes/fakeExecutors.js'
import type { FakeSite, SubmittedRequest } from '../fakes/fakeSite.js'
import type { AttemptInterval } from '../fakes/fakeWorkers.js'
import { PLATFORM } from '../fakes/network.js'

/** Check of one invariant. Returns one line per violation. */
export type Check = (site: FakeSite) => string[]

const EXECUTOR_SLOTS = 8
const EXECUTOR_CONNECTIONS = 60
/** Time after which a leaving target receives no new work. */
const LEAVING_BOUND_MILLISECONDS = 3000
/** Maximum time that a message is in transit. */
const MESSAGE_TRANSIT_MILLISECONDS = 50
/** Tolerance for responses after their deadline: transfer of the body and the step width of the clock. */
const RESPONSE_MARGIN_MILLISECONDS = 500
const STOP_BOUND_MILLISECONDS = 30_000
const STOP_MARGIN_MILLISECONDS = 2000

/** Checked at every step of the clock. */
export function WorkerNeverOvercommitted (site: FakeSite): string[] {
  return [...site.workers.values()].filter(({ used, capacity }) => !fitsWithin(used, capacity))
    .map(({ name, used, running }) => `${name} uses ${used.processorsThousandths} thousandths of a processor for ${running.map(describeAttempt).join(', ')}`)
}

/** Checked over the recorded attempt intervals of all workers. */
export function TaskNeverInTwoPlaces (site: FakeSite): string[] {
  const byTask = new Map<string, Array<{ worker: string, interval: AttemptInterval }>>()
  for (const worker of site.workers.values()) {
    for (const interval of worker.intervals) byTask.set(interval.task, [...(byTask.get(interval.task) ?? []), { worker: worker.name, interval }])
  }
  const problems: string[] = []
  for (const attempts of byTask.values()) {
    const sorted = attempts.sort((left, right) => left.interval.startedAt - right.interval.startedAt)
    for (const [index, { worker, interval }] of sorted.entries()) {
      const next = sorted[index + 1]
      if (next !== undefined && (interval.endedAt ?? Infinity) > next.interval.startedAt) problems.push(`${describeAttempt(interval)} on ${worker} and ${describeAttempt(next.interval)} on ${next.worker}`)
    }
  }
  return problems
}

export function WholeOwnAnswer (site: FakeSite): string[] {
  return site.requests.flatMap(({ submission, outcome, key }) => {
    if (outcome?.kind !== 'complete') return []
    const own = site.requests.filter(other => other.submission === submission || (key !== undefined && other.key === key))
    return own.some(other => expectedBody(other.submission) === outcome.body) ? [] : [`${submission} received status ${outcome.status} with '${outcome.body.slice(0, 30)}', ${outcome.body.length} bytes`]
  })
}

export function NotRunMeansNotRun (site: FakeSite): string[] {
  return site.requests.flatMap(({ submission, outcome }) => {
    if (outcome?.kind !== 'error' || outcome.verdict !== 'notRun') return []
    return runsOf(site, submission).length === 0 ? [] : [`${submission} received the error ${outcome.code} but ran`]
  })
}

/** Submissions with the same key count as one request. */
export function NonIdempotentAtMostOnce (site: FakeSite): string[] {
  const runs = new Map<string, number>()
  for (const { service, submission, key } of site.requests) {
    if (service === 'booking') runs.set(key ?? submission, (runs.get(key ?? submission) ?? 0) + runsOf(site, submission).length)
  }
  return [...runs].filter(([, count]) => count > 1).map(([request, count]) => `${request} ran ${count} times`)
}

/** The bound counts from the time at which the sender could first read the list that shows the target as leaving. */
export function LeavingGetsNothingNew (site: FakeSite): string[] {
  const problems: string[] = []
  for (const [name, leavingSince] of site.directory.leavingSince) {
    const arrivals = site.executors.get(name)?.arrivals ?? site.workers.get(name)?.intervals.map(({ startedBy, startedAt }) => ({ from: startedBy, at: startedAt })) ?? []
    for (const { from, at } of arrivals) {
      const visibleSince = Math.max(leavingSince, from.resumedAt, site.network.openSince(from.failureDomain, PLATFORM), site.network.openSince(from.name, PLATFORM))
      if (at > visibleSince + LEAVING_BOUND_MILLISECONDS + MESSAGE_TRANSIT_MILLISECONDS) problems.push(`${name} received work from ${from.name} ${Math.round(at - visibleSince)} ms after it was visibly leaving`)
    }
  }
  return problems
}

/** A request to an instance that shut down gracefully receives a complete response, unless a fault of its executor or its deadline prevents it. */
export function GracefulStop (site: FakeSite): string[] {
  const problems: string[] = []
  for (const instance of site.startedInstances.filter(({ stopStartedAt, process }) => stopStartedAt !== undefined && !process.isCrashed)) {
    if (instance.interruptedRequests > 0) problems.push(`${instance.incarnation} aborted ${instance.interruptedRequests} requests`)
    if (instance.stoppedAt === undefined) continue
    for (const request of site.requests) {
      if (request.instance !== instance || hasExecutorFault(site, request)) continue
      if (request.outcome === undefined && performance.now() > instance.stoppedAt + RESPONSE_MARGIN_MILLISECONDS) problems.push(`${request.submission} has no response although ${instance.incarnation} has stopped`)
      if (request.outcome?.kind === 'broken') problems.push(`${request.submission} was aborted by the shutdown of ${instance.incarnation}`)
    }
  }
  return problems
}

/** A graceful shutdown finishes within its time bound, not counting pauses. */
export function StopEndsInTime (site: FakeSite): string[] {
  return site.startedInstances.filter(({ stoppedAt, process }) => stoppedAt === undefined && !process.isCrashed && !process.isPaused)
    .filter(({ stopStartedAt, process }) => stopStartedAt !== undefined && performance.now() > Math.max(stopStartedAt, process.resumedAt) + STOP_BOUND_MILLISECONDS + STOP_MARGIN_MILLISECONDS)
    .map(({ incarnation }) => `${incarnation} has not stopped`)
}

/** Checked at every step: the revision in force of an incarnation never decreases, and each revision has the configuration text that the log decided. */
export function ConfigurationNeverReverts (site: FakeSite): string[] {
  const decided = decidedTexts(site)
  const problems: string[] = []
  for (const instance of site.runningInstances()) {
    const current = instance.entry.components.configuration.inForce
    const revision = current?.revision ?? 0
    if (revision < instance.highestRevision) problems.push(`${instance.incarnation} went from revision ${instance.highestRevision} to ${revision}`)
    instance.highestRevision = Math.max(revision, instance.highestRevision)
    if (current !== undefined && decided[revision - 1] !== current.source) problems.push(`${instance.incarnation} has a configuration in force as revision ${revision} that the log did not decide`)
  }
  return problems
}

/** Checked after recovery: the decided configuration is in force on every instance. */
export function ConfigurationInForceEverywhere (site: FakeSite): string[] {
  const { length } = decidedTexts(site)
  return site.runningInstances().filter(({ entry }) => entry.components.configuration.inForce?.revision !== length)
    .map(({ incarnation, entry }) => `${incarnation} has revision ${entry.components.configuration.inForce?.revision ?? 0} in force, not ${length}`)
}

export function ExecutorSlotsNeverExceeded (site: FakeSite): string[] {
  return [...site.executors.values()].flatMap(({ name, maximumConcurrent, maximumConnections }) => [
    ...maximumConcurrent > EXECUTOR_SLOTS ? [`${name} ran ${maximumConcurrent} requests at once`] : [],
    ...maximumConnections > EXECUTOR_CONNECTIONS ? [`${name} had ${maximumConnections} connections`] : []
  ])
}

/** Checked after recovery: every accepted job has either ended according to the log or is running. */
export function NoAcceptedJobLost (site: FakeSite): string[] {
  return site.jobs.flatMap(({ result, name, kind, failureDomain }) => {
    if (result?.kind !== 'accepted') return []
    const ended = site.log.recordsOf(`jobs.${failureDomain}`).some(({ body }) => (body as { type: string, job: unknown }).type === 'jobEnded' && (body as { job: unknown }).job === result.job)
    const running = [...site.workers.values()].flatMap(worker => worker.running).filter(({ task }) => task.startsWith(`${result.job}#`)).length
    return ended || running > 0 ? [] : [`${name} (${kind}) has neither ended nor is it running`]
  })
}

/** Every request to an instance that has not crashed receives a response by its deadline, or shortly after the instance resumed from a pause. */
export function EveryRequestAnswered (site: FakeSite): string[] {
  return site.requests.flatMap(({ submission, instance: { process }, deadline, outcome, endedAt }) => {
    if (process.isCrashed || process.isPaused) return []
    const latest = Math.max(deadline, process.resumedAt) + RESPONSE_MARGIN_MILLISECONDS
    const at = outcome === undefined ? performance.now() : endedAt ?? 0
    return at > latest ? [`${submission} ${outcome === undefined ? 'has no response' : 'received its response'} ${Math.round(at - deadline)} ms after its deadline`] : []
  })
}

/** Checks that hold at all times. */
export const CHECKS: Readonly<Record<string, Check>> = {
  WorkerNeverOvercommitted, TaskNeverInTwoPlaces, WholeOwnAnswer, NotRunMeansNotRun, NonIdempotentAtMostOnce, LeavingGetsNothingNew, GracefulStop, StopEndsInTime, ConfigurationNeverReverts, ExecutorSlotsNeverExceeded, EveryRequestAnswered
}

/** Checks that hold after all faults are healed and the site has had time to recover. */
export const FINAL_CHECKS: Readonly<Record<string, Check>> = { ...CHECKS, ConfigurationInForceEverywhere, NoAcceptedJobLost }

/** Records violations that may be transient. Must be called at every step of the clock. */
export function recordTransientViolations (site: FakeSite): void {
  for (const [name, check] of Object.entries({ WorkerNeverOvercommitted, ConfigurationNeverReverts })) {
    const [problem] = check(site)
    if (problem !== undefined && !site.detectedProblems.has(name)) site.detectedProblems.set(name, problem)
  }
}

/** Throws an error that starts with the name of the first violated check, if any. */
export function assertChecks (site: FakeSite, checks: Readonly<Record<string, Check>> = CHECKS): void {
  const [detected] = site.detectedProblems
  if (detected !== undefined) throw new Error(detected.join(': '))
  for (const [name, check] of Object.entries(checks)) {
    const [problem] = check(site)
    if (problem !== undefined) throw new Error(`${name}: ${problem}`)
  }
}

/** Returns the configuration texts that the log has decided: a publish record becomes the next revision if it is based on the current one. */
function decidedTexts (site: FakeSite): string[] {
  const texts: string[] = []
  for (const { body } of site.log.recordsOf(CONFIGURATION_STREAM)) {
    const publish = body as { type: string, baseRevision: number, text: string }
    if (publish.type === 'configurationPublished' && publish.baseRevision === texts.length) texts.push(publish.text)
  }
  return texts
}

/** Returns the number of revisions that the log has decided. */
export function decidedRevision (site: FakeSite): number {
  return decidedTexts(site).length
}

function runsOf (site: FakeSite, submission: string): RequestRun[] {
  return [...site.executors.values()].flatMap(executor => executor.runs).filter(run => run.submission === submission)
}

function hasExecutorFault (site: FakeSite, { submission }: SubmittedRequest): boolean {
  return runsOf(site, submission).some(({ fault }) => fault !== undefined)
}

function describeAttempt ({ task, attempt }: AttemptInterval): string {
  return `${task} attempt ${attempt.term}.${attempt.sequence}`
}
