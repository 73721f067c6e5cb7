import { PassThrough } from 'node:stream'
import { RequestDispatcher } from '../../src/entry/requestDispatcher.js'
import { PlacementTask } from '../../src/entry/placementTask.js'
import { RequestSender } from '../../src/entry/requestSender.js'
import { Worker } from '../../src/machines/worker.js'
import type { ExecutorClient, ExecutorResult } from '../../src/links/executorClient.js'
import type { EntryConnections } from '../../src/programs/wiring.js'
import { SlotHolder } from '../../src/requests/slotHolder.js'
import { Scheduler } from '../../src/scheduling/scheduler.js'
import { TaskLedger } from '../../src/scheduling/taskLedger.js'
import { ConfigurationHistory } from '../../src/zones/configurationHistory.js'
import { Ownership } from '../../src/zones/ownership.js'
import type { FuzzOptions } from './fuzzer.js'

/** A fault that is injected into the code, and the checks that must find it. */
export interface InjectedFault {
  readonly name: string
  /** The fault counts as found if any of these checks fails. */
  readonly checks: readonly string[]
  readonly seed: number
  /** Minimum number of runs that finds the fault with the seed. */
  readonly runs: number
  readonly options: Pick<FuzzOptions, 'injectFault' | 'wrapConnections' | 'keys'>
}

type Method = (this: never, ...parameters: never[]) => unknown
type UntypedObject = Record<string, (...parameters: unknown[]) => unknown>

/** Returns a function that replaces a method of a class, which in turn returns a function that restores it. */
export function replaceMethod (type: { prototype: object }, name: string, substitute: (original: (...parameters: unknown[]) => unknown, self: UntypedObject, ...parameters: unknown[]) => unknown): () => () => void {
  return () => {
    const prototype = type.prototype as UntypedObject
    const original = prototype[name] as Method
    if (typeof original !== 'function') throw new Error(`no method '${name}' to inject a fault into`)
    prototype[name] = function (this: UntypedObject, ...parameters: unknown[]) {
      return substitute((...passed) => original.apply(this as never, passed as never[]), this, ...parameters)
    }
    return () => { prototype[name] = original as UntypedObject[string] }
  }
}

/** Returns a function that replaces a getter of a class, which in turn returns a function that restores it. */
export function replaceGetter (type: { prototype: object }, name: string, substitute: (self: never) => unknown): () => () => void {
  return () => {
    const original = Object.getOwnPropertyDescriptor(type.prototype, name)
    if (original?.get === undefined) throw new Error(`no getter '${name}' to inject a fault into`)
    Object.defineProperty(type.prototype, name, { ...original, get () { return substitute(this as never) } })
    return () => Object.defineProperty(type.prototype, name, original)
  }
}

/** Wraps the executor client so that `change` transforms every result. */
function transformResults (change: (result: ExecutorResult, send: () => Promise<ExecutorResult>) => Promise<ExecutorResult>): FuzzOptions['wrapConnections'] {
  return (connections: EntryConnections) => {
    const client = connections.executors
    const original = client.send.bind(client)
    client.send = async (...parameters: Parameters<ExecutorClient['send']>) => await change(await original(...parameters), async () => await original(...parameters))
    return connections
  }
}

function swapBodies (): FuzzOptions['wrapConnections'] {
  let last: ExecutorResult | undefined
  return transformResults(async result => {
    if (result.kind !== 'answer' || result.response.status !== 200) return result
    const previous = last
    last = result
    return previous?.kind === 'answer' && !previous.response.body.destroyed ? { ...result, response: { ...result.response, body: previous.response.body } } : result
  })
}

function completeTruncatedBodies (): FuzzOptions['wrapConnections'] {
  return transformResults(async result => {
    if (result.kind !== 'answer') return result
    const body = new PassThrough()
    result.response.body.pipe(body)
    result.response.body.once('error', () => body.end())
    return { ...result, response: { ...result.response, body } }
  })
}

/** Table of injected faults. Those with 100 runs are not found with their seed within these runs; each of the others is found in the last of its runs. */
export const INJECTED_FAULTS: readonly InjectedFault[] = [
  {
    name: 'worker accounting ignores starts of unknown outcome',
    checks: ['WorkerNeverOvercommitted', 'TaskNeverInTwoPlaces'],
    seed: 1,
    runs: 100,
    options: { injectFault: replaceMethod(Scheduler, 'onStartOutcome', (original, _self, task, attempt, outcome, now) => original(task, attempt, outcome === 'unknown' ? 'notSent' : outcome, now)) }
  },
  {
    name: 'worker accounting ignores memory and processors',
    checks: ['WorkerNeverOvercommitted'],
    seed: 1,
    runs: 1,
    options: { injectFault: replaceMethod(Worker, 'adopt', (original, _self, task, job, attempt, resources, ...rest) => original(task, job, attempt, { ...resources as object, processorsThousandths: 0 }, ...rest)) }
  },
  {
    name: 'the lease is counted from when its renewal was read and lasts 20 s',
    checks: ['TaskNeverInTwoPlaces', 'ExecutorSlotsNeverExceeded', 'WorkerNeverOvercommitted'],
    seed: 4,
    runs: 100,
    options: {
      injectFault: replaceMethod(Ownership, 'onRenewal', (original, self, ...parameters) => {
        original(...parameters)
        const ownership = self as unknown as { holdsTerm: () => boolean, leaseUntil: number }
        if (ownership.holdsTerm()) ownership.leaseUntil = (parameters[parameters.length - 1] as number) + 20_000
      })
    }
  },
  {
    name: 'a successor does not wait for the tasks of silent workers',
    checks: ['TaskNeverInTwoPlaces', 'WorkerNeverOvercommitted'],
    seed: 1,
    runs: 100,
    options: { injectFault: replaceMethod(Scheduler, 'inventoryComplete', () => true) }
  },
  {
    name: 'a request that may have run is sent again although it is not idempotent',
    checks: ['NonIdempotentAtMostOnce'],
    seed: 11,
    runs: 1,
    options: { injectFault: replaceMethod(RequestDispatcher, 'mayRetry', (original, _self, pending, failed) => original(pending, { ...failed as object, retryable: true, sent: false })) }
  },
  { name: 'responses are swapped between two requests', checks: ['WholeOwnAnswer'], seed: 1, runs: 1, options: { wrapConnections: swapBodies() } },
  { name: 'a truncated body is passed on as complete', checks: ['WholeOwnAnswer'], seed: 2, runs: 1, options: { wrapConnections: completeTruncatedBodies() } },
  {
    name: 'an unknown outcome is reported as notRun',
    checks: ['NotRunMeansNotRun'],
    seed: 10,
    runs: 2,
    options: { wrapConnections: transformResults(async result => result.kind === 'mayHaveRun' ? { kind: 'notSent', reason: result.reason } : result) }
  },
  {
    name: 'a graceful shutdown does not wait',
    checks: ['GracefulStop', 'EveryRequestAnswered'],
    seed: 1,
    runs: 2,
    options: {
      injectFault: replaceGetter(RequestDispatcher, 'activeRequests', () => 0)
    }
  },
  {
    name: 'a grant is used after its expiry',
    checks: ['ExecutorSlotsNeverExceeded'],
    seed: 1,
    runs: 100,
    options: { injectFault: replaceMethod(SlotHolder, 'free', (original, _self, executor) => original(executor, -Infinity)) }
  },
  {
    name: 'a slot is released when its request times out',
    checks: ['ExecutorSlotsNeverExceeded'],
    seed: 1,
    runs: 100,
    options: { injectFault: replaceMethod(RequestSender, 'releaseAfterRun', (_original, self, _pending, executor) => { self.release?.(executor) }) }
  },
  {
    name: 'the publish record that was read last wins',
    checks: ['ConfigurationNeverReverts'],
    seed: 1,
    runs: 1,
    options: {
      injectFault: replaceMethod(ConfigurationHistory, 'apply', (original, self, record) => {
        const { body } = record as { body: { baseRevision?: number } }
        return original({ ...record as object, body: { ...body, baseRevision: (self as unknown as { decided: number }).decided } })
      })
    }
  },
  {
    name: 'a revision learned from a peer replaces a greater one',
    checks: ['ConfigurationNeverReverts', 'ConfigurationInForceEverywhere'],
    seed: 1,
    runs: 100,
    options: {
      injectFault: replaceMethod(ConfigurationHistory, 'learn', (original, self, ...parameters) => {
        Object.assign(self, { current: undefined })
        return original(...parameters)
      })
    }
  },
  {
    name: 'a leaving executor is still used',
    checks: ['LeavingGetsNothingNew'],
    seed: 8,
    runs: 2,
    options: {
      injectFault: replaceMethod(RequestDispatcher, 'refreshExecutors', (original, self) => {
        original()
        for (const executor of (self as unknown as { executors: Map<string, { leaving: boolean }> }).executors.values()) executor.leaving = false
      })
    }
  },
  {
    name: 'the end of a job is not appended again when the log does not confirm it',
    checks: ['NoAcceptedJobLost'],
    seed: 1,
    runs: 1,
    options: { injectFault: replaceMethod(PlacementTask, 'endJob', () => {}) }
  },
  {
    name: 'a finished task is acknowledged before its end is in the log',
    checks: ['NoAcceptedJobLost', 'TaskNeverInTwoPlaces'],
    seed: 1,
    runs: 100,
    options: {
      injectFault: replaceMethod(TaskLedger, 'onReportedTask', (original, _self, entry, reported, now) => {
        original(entry, reported, now)
        const { task, attempt, state } = reported as { task: string, attempt: unknown, state: string }
        if (state === 'finished') (entry as { pendingAcknowledgements: Map<string, unknown> }).pendingAcknowledgements.set(task, attempt)
      })
    }
  }
]
