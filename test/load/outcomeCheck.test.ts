import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { StandinLedger } from '../../src/contracts/standinLedger.js'
import { checkOutcomes } from '../../src/load/outcomeCheck.js'
import type { JobResult } from '../../src/load/loadResult.js'
import type { RequestOutcome } from '../../src/load/requestSender.js'

type Executor = StandinLedger['executors'][number]
type TaskRun = StandinLedger['workers'][number]['runs'][number]

const NO_RESOURCES = { processorsThousandths: 0, memoryBytes: 0, accelerators: 0 }

function outcome (fields: Partial<RequestOutcome>): RequestOutcome {
  return { service: 'booking', urgency: 'urgent', kind: 'answered', status: 200, code: undefined, request: 'r1', key: undefined, isMismatched: false, dueMilliseconds: 0, elapsedMilliseconds: 1, ...fields }
}

function executor (requests: ReadonlyArray<readonly [request: string, key?: string]>, fields: Partial<Executor> = {}): Executor {
  return { name: 'e1', slots: 8, connections: 60, maximumConcurrent: 8, maximumConnections: 60, runs: requests.map(([request, key]) => ({ request, key, method: 'POST', path: '/' })), ...fields }
}

function taskRun (fields: Partial<TaskRun>): TaskRun {
  return { task: 'zone.j/0', job: 'zone.j', attempt: { term: 1, sequence: 1 }, startedAt: 0, endedAt: 10, state: 'finished', ...fields }
}

function jobResult (fields: Partial<JobResult> = {}): JobResult {
  return { job: 'zone.j', name: 'j', kind: 'batch', urgency: 'normal', tasks: 1, state: 'finished', waitedMilliseconds: 1, ...fields }
}

interface Case {
  readonly name: string
  readonly outcomes?: readonly RequestOutcome[]
  readonly executors?: readonly Executor[]
  readonly runs?: readonly TaskRun[]
  readonly overcommittedStarts?: number
  readonly jobs?: readonly JobResult[]
  readonly withFaults?: boolean
  readonly expected: readonly RegExp[]
}

/** Each case guards against a contradiction that the check misses, or one that it reports falsely. */
const CASES: readonly Case[] = [
  { name: 'an answered request that ran once', outcomes: [outcome({})], executors: [executor([['r1']])], expected: [] },
  { name: 'an answered request that did not run', outcomes: [outcome({})], expected: [/r1 was answered and ran 0 times/] },
  { name: 'a request that ran twice', outcomes: [outcome({})], executors: [executor([['r1'], ['r1']])], expected: [/r1 to booking ran 2 times/] },
  { name: 'an idempotent request that was retried under faults', withFaults: true, outcomes: [outcome({ service: 'lookup' })], executors: [executor([['r1'], ['r1']])], expected: [] },
  { name: 'an idempotent request that ran twice without faults', outcomes: [outcome({ service: 'lookup' })], executors: [executor([['r1'], ['r1']])], expected: [/ran 2 times/] },
  { name: 'notRun that ran', withFaults: true, outcomes: [outcome({ kind: 'notRun', status: 503, code: 'queueFull' })], executors: [executor([['r1']])], expected: [/reported as notRun \(queueFull\) and ran 1 times/] },
  { name: 'an error of the executor that did not run', outcomes: [outcome({ status: 500 })], expected: [] },
  { name: 'an unknown outcome without faults', outcomes: [outcome({ kind: 'mayHaveRun', status: 502 })], expected: [/ended as mayHaveRun/] },
  { name: 'an unknown outcome under faults', withFaults: true, outcomes: [outcome({ kind: 'broken', request: undefined })], expected: [] },
  { name: 'the response to another request', outcomes: [outcome({ isMismatched: true })], executors: [executor([['r1']])], expected: [/r1 received the response to another request/] },
  { name: 'a key that ran twice over two submissions', withFaults: true, outcomes: [outcome({ kind: 'broken', request: undefined, key: 'k' }), outcome({ request: 'r2', key: 'k' })], executors: [executor([['r1', 'k'], ['r2', 'k']])], expected: [/idempotency key k ran 2 times/] },
  { name: 'a key answered from the stored response of an earlier submission', withFaults: true, outcomes: [outcome({ kind: 'broken', request: undefined, key: 'k' }), outcome({ request: 'r2', key: 'k' })], executors: [executor([['r1', 'k']])], expected: [] },
  { name: 'a key answered without a run', withFaults: true, outcomes: [outcome({ key: 'k' })], expected: [/idempotency key k was answered and ran 0 times/] },
  { name: 'more requests at once than slots', executors: [executor([], { maximumConcurrent: 9 })], expected: [/ran 9 requests at once with 8 slots/] },
  { name: 'more connections than the limit', executors: [executor([], { maximumConnections: 61 })], expected: [/had 61 connections at once; its limit is 60/] },
  { name: 'a finished job', runs: [taskRun({})], jobs: [jobResult()], expected: [] },
  { name: 'a job that did not finish', jobs: [jobResult({ state: 'running' })], expected: [/job j is running/] },
  { name: 'a finished job with a task that did not finish', runs: [taskRun({ state: 'stopped' })], jobs: [jobResult()], expected: [/0 of its 1 tasks are/] },
  { name: 'a service that runs', jobs: [jobResult({ kind: 'service', state: 'running' })], expected: [] },
  { name: 'a task that finished twice', runs: [taskRun({}), taskRun({ startedAt: 11, endedAt: 20 })], expected: [/finished 2 times/] },
  { name: 'a task that runs in two places at once', withFaults: true, runs: [taskRun({ state: 'stopped' }), taskRun({ startedAt: 9, endedAt: 20 })], expected: [/ran in two places at once/] },
  { name: 'a task that still runs elsewhere', withFaults: true, runs: [taskRun({ state: 'running', endedAt: undefined }), taskRun({ startedAt: 9, endedAt: 20 })], expected: [/ran in two places at once/] },
  { name: 'an overcommitted worker', overcommittedStarts: 1, expected: [/worker w1 was overcommitted by 1 starts/] }
]

describe('checkOutcomes', () => {
  for (const { name, expected, outcomes = [], executors = [], runs = [], overcommittedStarts = 0, jobs = [], withFaults = false } of CASES) {
    it(name, () => {
      const worker = { name: 'w1', capacity: NO_RESOURCES, mostUsed: NO_RESOURCES, overcommittedStarts, runs: [...runs] }
      const problems = checkOutcomes({ outcomes, jobs, ledger: { executors: [...executors], workers: [worker], appends: 0 }, isIdempotent: service => service === 'lookup', withFaults })
      assert.equal(problems.length, expected.length, problems.join('\n'))
      for (const [index, pattern] of expected.entries()) assert.match(problems[index] as string, pattern)
    })
  }
})
