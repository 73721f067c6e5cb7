import type { StandinLedger } from '../contracts/standinLedger.js'
import type { JobResult } from './loadResult.js'
import type { RequestOutcome } from './requestSender.js'

/** What a run is checked against. */
export interface OutcomeCheckInput {
  readonly outcomes: readonly RequestOutcome[]
  readonly jobs: readonly JobResult[]
  readonly ledger: StandinLedger
  /** Whether a service's requests may run twice without harm. */
  readonly isIdempotent: (service: string) => boolean
  /** Whether the scenario switched faults: then refusals and unknown outcomes are expected, and idempotent requests may be retried. */
  readonly withFaults: boolean
}

/** Compares what callers were told with what executors and workers ran. Returns one line for each contradiction. */
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
  const runs = countBy(ledger.executors.flatMap(executor => executor.runs.map(run => run.request)))
  const problems: string[] = []
  for (const outcome of outcomes) {
    const ran = outcome.request === undefined ? undefined : runs.get(outcome.request) ?? 0
    const mayRepeat = withFaults && isIdempotent(outcome.service)
    if (outcome.isMismatched) problems.push(`request ${outcome.request} got the answer to another request`)
    if (!withFaults && (outcome.kind === 'broken' || outcome.kind === 'mayHaveRun')) problems.push(`a request to ${outcome.service} ended as ${outcome.kind}`)
    if (outcome.kind === 'answered' && outcome.request === undefined) problems.push(`a request to ${outcome.service} was answered without an identity`)
    if (ran === undefined) continue
    if (ran > 1 && !mayRepeat) problems.push(`request ${outcome.request} to ${outcome.service} ran ${ran} times and was ${outcome.kind}`)
    // A keyed request may be answered from the record of an earlier submission.
    if (outcome.kind === 'answered' && outcome.status < 400 && ran === 0 && outcome.key === undefined) problems.push(`request ${outcome.request} was answered and ran 0 times`)
    if (outcome.kind === 'notRun' && ran > 0) problems.push(`request ${outcome.request} was told notRun (${outcome.code}) and ran ${ran} times`)
  }
  return problems
}

/** A key of a request that may not run twice runs at most once over all submissions, and once if any of them was answered. */
function checkKeys ({ outcomes, ledger, isIdempotent }: OutcomeCheckInput): string[] {
  const runs = countBy(ledger.executors.flatMap(executor => executor.runs.flatMap(run => run.key ?? [])))
  const problems: string[] = []
  const keyed = new Map<string, boolean>()
  for (const { key, service, kind, status } of outcomes) {
    if (key === undefined || isIdempotent(service)) continue
    keyed.set(key, keyed.get(key) === true || (kind === 'answered' && status < 400))
  }
  for (const [key, answered] of keyed) {
    const ran = runs.get(key) ?? 0
    if (ran > 1) problems.push(`idempotency key ${key} ran ${ran} times`)
    if (ran === 0 && answered) problems.push(`idempotency key ${key} was answered and ran 0 times`)
  }
  return problems
}

function checkWorkers ({ ledger, withFaults }: OutcomeCheckInput): string[] {
  const problems: string[] = []
  for (const { name, overcommittedStarts } of ledger.workers) {
    if (overcommittedStarts > 0) problems.push(`worker ${name} was overcommitted by ${overcommittedStarts} starts`)
  }
  const runsOfTask = new Map<string, StandinLedger['workers'][number]['runs']>()
  for (const run of ledger.workers.flatMap(worker => worker.runs)) runsOfTask.set(run.task, [...runsOfTask.get(run.task) ?? [], run])
  for (const [task, runs] of runsOfTask) {
    const ordered = [...runs].sort((left, right) => left.startedAt - right.startedAt)
    const overlaps = ordered.some((run, index) => index > 0 && (ordered[index - 1]?.endedAt ?? Infinity) > run.startedAt)
    if (overlaps) problems.push(`task ${task} ran in two places at once`)
    const finished = runs.filter(run => run.state === 'finished').length
    if (finished > 1 && !withFaults) problems.push(`task ${task} finished ${finished} times`)
  }
  return problems
}

function checkJobs ({ jobs, ledger, withFaults }: OutcomeCheckInput): string[] {
  const problems: string[] = []
  const finishedTasks = countBy(new Set(ledger.workers.flatMap(worker => worker.runs.filter(run => run.state === 'finished').map(run => `${run.job}\n${run.task}`))), entry => entry.split('\n')[0] as string)
  for (const { job, name, kind, state, tasks } of jobs) {
    if (state === 'refused' && withFaults) continue
    const expected = kind === 'service' ? 'running' : 'finished'
    if (state !== expected) problems.push(`job ${name} is ${state}`)
    else if (kind !== 'service' && (finishedTasks.get(job) ?? 0) !== tasks) problems.push(`job ${name} is finished, and ${finishedTasks.get(job) ?? 0} of its ${tasks} tasks are`)
  }
  return problems
}

function countBy<T> (values: Iterable<T>, keyOf: (value: T) => string = String): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const value of values) counts.set(keyOf(value), (counts.get(keyOf(value)) ?? 0) + 1)
  return counts
}
