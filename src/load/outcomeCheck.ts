import type { StandinLedger } from '../contracts/standinLedger.js'
import type { JobResult } from './loadResult.js'
import type { RequestOutcome } from './requestSender.js'

/** Outcomes of a run and the ledger that they are checked against. */
export interface OutcomeCheckInput {
  readonly outcomes: readonly RequestOutcome[]
  readonly jobs: readonly JobResult[]
  readonly ledger: StandinLedger
  /** Returns whether requests to a service may safely run more than once. */
  readonly isIdempotent: (service: string) => boolean
  /** Whether the scenario injects faults. If so, refusals and unknown outcomes are expected, and idempotent requests may be retried. */
  readonly withFaults: boolean
}

/** Compares the outcomes that callers received with the runs of executors and workers. Returns one line for each contradiction. */
export function checkOutcomes (input: OutcomeCheckInput): string[] {
  return [...checkExecutors(input.ledger), ...checkRequests(input), ...checkKeys(input), ...checkWorkers(input), ...checkJobs(input)]
}

function checkExecutors (ledger: StandinLedger): string[] {
  const problems: string[] = []
  for (const { name, slots, connections, maximumConcurrent, maximumConnections } of ledger.executors) {
    if (maximumConcurrent > slots) problems.push(`executor ${name} ran ${maximumConcurrent} requests at once with ${slots} slots`)
    if (maximumConnections > connections) problems.push(`executor ${name} had ${maximumConnections} connections at once; its limit is ${connections}`)
  }
  return problems
}

function checkRequests ({ outcomes, ledger, isIdempotent, withFaults }: OutcomeCheckInput): string[] {
  const runCounts = countBy(ledger.executors.flatMap(executor => executor.runs.map(run => run.request)))
  const problems: string[] = []
  for (const outcome of outcomes) {
    const runCount = outcome.request === undefined ? undefined : runCounts.get(outcome.request) ?? 0
    const isRepeatAllowed = withFaults && isIdempotent(outcome.service)
    if (outcome.isMismatched) problems.push(`request ${outcome.request} received the response to another request`)
    if (!withFaults && (outcome.kind === 'broken' || outcome.kind === 'mayHaveRun')) problems.push(`a request to ${outcome.service} ended as ${outcome.kind}`)
    if (outcome.kind === 'answered' && outcome.request === undefined) problems.push(`a request to ${outcome.service} was answered without an identity`)
    if (runCount === undefined) continue
    if (runCount > 1 && !isRepeatAllowed) problems.push(`request ${outcome.request} to ${outcome.service} ran ${runCount} times and was ${outcome.kind}`)
    // A keyed request may be answered with the stored response to an earlier submission.
    if (outcome.kind === 'answered' && outcome.status < 400 && runCount === 0 && outcome.key === undefined) problems.push(`request ${outcome.request} was answered and ran 0 times`)
    if (outcome.kind === 'notRun' && runCount > 0) problems.push(`request ${outcome.request} was reported as notRun (${outcome.code}) and ran ${runCount} times`)
  }
  return problems
}

/** Checks that a non-idempotent request with a key ran at most once over all submissions, and exactly once if any of them was answered. */
function checkKeys ({ outcomes, ledger, isIdempotent }: OutcomeCheckInput): string[] {
  const runCounts = countBy(ledger.executors.flatMap(executor => executor.runs.flatMap(run => run.key ?? [])))
  const problems: string[] = []
  const answeredByKey = new Map<string, boolean>()
  for (const { key, service, kind, status } of outcomes) {
    if (key === undefined || isIdempotent(service)) continue
    answeredByKey.set(key, answeredByKey.get(key) === true || (kind === 'answered' && status < 400))
  }
  for (const [key, answered] of answeredByKey) {
    const runCount = runCounts.get(key) ?? 0
    if (runCount > 1) problems.push(`idempotency key ${key} ran ${runCount} times`)
    if (runCount === 0 && answered) problems.push(`idempotency key ${key} was answered and ran 0 times`)
  }
  return problems
}

function checkWorkers ({ ledger, withFaults }: OutcomeCheckInput): string[] {
  const problems: string[] = []
  for (const { name, overcommittedStarts } of ledger.workers) {
    if (overcommittedStarts > 0) problems.push(`worker ${name} was overcommitted by ${overcommittedStarts} starts`)
  }
  const runsByTask = new Map<string, StandinLedger['workers'][number]['runs']>()
  for (const run of ledger.workers.flatMap(worker => worker.runs)) runsByTask.set(run.task, [...runsByTask.get(run.task) ?? [], run])
  for (const [task, runs] of runsByTask) {
    const ordered = [...runs].sort((left, right) => left.startedAt - right.startedAt)
    const overlaps = ordered.some((run, index) => index > 0 && (ordered[index - 1]?.endedAt ?? Infinity) > run.startedAt)
    if (overlaps) problems.push(`task ${task} ran in two places at once`)
    const finishedCount = runs.filter(run => run.state === 'finished').length
    if (finishedCount > 1 && !withFaults) problems.push(`task ${task} finished ${finishedCount} times`)
  }
  return problems
}

function checkJobs ({ jobs, ledger, withFaults }: OutcomeCheckInput): string[] {
  const problems: string[] = []
  const finishedTaskCounts = countBy(new Set(ledger.workers.flatMap(worker => worker.runs.filter(run => run.state === 'finished').map(run => `${run.job}\n${run.task}`))), entry => entry.split('\n')[0] as string)
  for (const { job, name, kind, state, tasks } of jobs) {
    if (state === 'refused' && withFaults) continue
    const expectedState = kind === 'service' ? 'running' : 'finished'
    if (state !== expectedState) problems.push(`job ${name} is ${state}`)
    else if (kind !== 'service' && (finishedTaskCounts.get(job) ?? 0) !== tasks) problems.push(`job ${name} is finished, and ${finishedTaskCounts.get(job) ?? 0} of its ${tasks} tasks are`)
  }
  return problems
}

function countBy<T> (values: Iterable<T>, keyOf: (value: T) => string = String): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const value of values) counts.set(keyOf(value), (counts.get(keyOf(value)) ?? 0) + 1)
  return counts
}
