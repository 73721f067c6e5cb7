import type { PollOutcome, CommandOutcome } from '../../src/cluster/workerPort.js'
import type { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { LoopbackStandin, type StandinResponse, type StandinRequest } from './loopbackStandin.js'

const MISDIRECTED: StandinResponse = { status: 421, body: {} }

/** Stand-in of a worker over HTTP. */
export class WorkerStandin extends LoopbackStandin {
  constructor (readonly worker: FakeClusterWorker) {
    super()
  }

  /** Returns the worker's encoded entry in the registry. */
  entry (sequence: number): Buffer {
    const { pool, failureDomain, state, processorsThousandths, memoryMegabytes, labels, processStartedAt } = this.worker.entry
    const resources = { millicpus: processorsThousandths, memMb: memoryMegabytes, gpus: 0 }
    return Buffer.from(JSON.stringify({ service: pool, addr: this.hostAndPort, zone: failureDomain, state, room: resources, labels, born: processStartedAt, sequence }))
  }

  /** Simulates a crash and an immediate restart of the worker's process. Nothing that was sent to the former process reaches the new one. */
  restart (): void {
    this.replaceProcess()
    this.worker.restart()
  }

  protected override async handle ({ url, headers, body }: StandinRequest): Promise<StandinResponse> {
    const { worker } = this
    if (headers.get('vanillaturn-target-instance') !== worker.identity) return MISDIRECTED
    const request = JSON.parse(body.toString())
    switch (url.pathname) {
      case '/v1/hold': return encodePollOutcome(await worker.poll({ term: request.fence, acknowledgedEnd: request.seenUpto, isInSequence: true, leaseUntil: request.expiresAtMs, waitMilliseconds: request.waitMs ?? 0 }), worker.clock)
      case '/v1/run-start': return encodeCommandOutcome(await worker.start({ task: request.task, run: request.run, specification: request.spec, leaseUntil: request.expiresAtMs, term: request.fence, checkpoint: request.checkpointId ?? '', ticket: request.ticket ?? '' }), worker.clock)
      case '/v1/run-stop': return encodeCommandOutcome(await worker.stop(request.task, request.run, request.fence), worker.clock)
      default: return { status: 404, body: {} }
    }
  }
}

function encodePollOutcome (outcome: PollOutcome, clockMs: number): StandinResponse {
  switch (outcome.kind) {
    case 'report': {
      const { clockMilliseconds, processStartedAt, running, ended } = outcome.report
      const body = {
        clockMs: clockMilliseconds,
        born: processStartedAt,
        running: running.map(({ task, run, checkpoint, percent }) => [task, run, checkpoint, percent]),
        ended: ended.map(({ number, task, run, kind, checkpoint }) => [number, task, run, kind, checkpoint])
      }
      return { status: 200, body }
    }
    case 'fenced': return { status: 409, body: { clockMs, reason: 'fence' } }
    case 'replaced': return MISDIRECTED
    case 'failed': return { status: 503, body: {} }
  }
}

function encodeCommandOutcome (outcome: CommandOutcome, clockMs: number): StandinResponse {
  switch (outcome.kind) {
    case 'done': return { status: 200, body: { clockMs } }
    case 'fenced': return { status: 409, body: { clockMs, reason: 'fence' } }
    case 'refused': return outcome.reason === 'unhealthy' ? { status: 503, body: {} } : { status: 409, body: { clockMs, reason: outcome.reason } }
    case 'replaced': return MISDIRECTED
    default: return { status: 500, body: {} }
  }
}
