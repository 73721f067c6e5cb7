import type { PollOutcome, CommandOutcome } from '../../src/cluster/workerPort.js'
import type { FakeWorker } from '../fakes/fakeClusterWorkers.js'
import { LoopbackStandin, type StandinResponse, type StandinRequest } from './loopbackStandin.js'

const MISDIRECTED: StandinResponse = { status: 421, body: {} }

/** A worker over HTTP. */
export class WorkerStandin extends LoopbackStandin {
  constructor (readonly worker: FakeWorker) {
    super()
  }

  /** The worker's entry in the registry. */
  entry (sequence: number): Buffer {
    const { pool, failureDomain, state, processorsThousandths, memoryMegabytes, labels, bornAt } = this.worker.entry
    const room = { millicpus: processorsThousandths, memMb: memoryMegabytes, gpus: 0 }
    return Buffer.from(JSON.stringify({ service: pool, addr: this.hostAndPort, zone: failureDomain, state, room, labels, born: bornAt, sequence }))
  }

  protected override async handle ({ url, headers, body }: StandinRequest): Promise<StandinResponse> {
    const { worker } = this
    if (headers.get('vanillaturn-target-instance') !== worker.identity) return MISDIRECTED
    const order = JSON.parse(body.toString())
    switch (url.pathname) {
      case '/v1/hold': return encodeLook(await worker.poll({ term: order.fence, acknowledgedEnd: order.seenUpto, isInSequence: true, leaseUntil: order.expiresAtMs, waitMilliseconds: order.waitMs ?? 0 }), worker.clock)
      case '/v1/run-start': return encodeOrder(await worker.start({ task: order.task, run: order.run, specification: order.spec, leaseUntil: order.expiresAtMs, term: order.fence, checkpoint: order.checkpointId ?? '', ticket: order.ticket ?? '' }), worker.clock)
      case '/v1/run-stop': return encodeOrder(await worker.stop(order.task, order.run, order.fence), worker.clock)
      default: return { status: 404, body: {} }
    }
  }
}

function encodeLook (outcome: PollOutcome, clockMs: number): StandinResponse {
  switch (outcome.kind) {
    case 'report': {
      const { clockMilliseconds, bornAt, running, ended } = outcome.report
      const body = {
        clockMs: clockMilliseconds,
        born: bornAt,
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

function encodeOrder (outcome: CommandOutcome, clockMs: number): StandinResponse {
  switch (outcome.kind) {
    case 'done': return { status: 200, body: { clockMs } }
    case 'fenced': return { status: 409, body: { clockMs, reason: 'fence' } }
    case 'refused': return outcome.reason === 'unhealthy' ? { status: 503, body: {} } : { status: 409, body: { clockMs, reason: outcome.reason } }
    case 'replaced': return MISDIRECTED
    default: return { status: 500, body: {} }
  }
}
