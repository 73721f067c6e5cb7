import { DisposableObject } from '../base/disposable.js'
import type { EventLog } from '../contracts/eventLog.js'
import type { SystemEvent } from '../contracts/events.js'

/** State and outcome of one request. */
export interface TrackedRequest {
  readonly identity: string
  readonly service: string
  readonly urgency: string
  /** ISO 8601 time of acceptance. */
  readonly arrivedAt: string
  /** Time from acceptance to the first dispatch; undefined while the request waits. */
  waitedMilliseconds: number | undefined
  /** Executors that the request was dispatched to, in order. */
  readonly executors: string[]
  outcome: 'waiting' | 'running' | 'answered' | 'failed'
  /** HTTP status of a response, or code and verdict of an error. */
  code: string | undefined
  reason: string | undefined
  durationMilliseconds: number | undefined
}

/** At 300 bytes for each request the history stays below 1 MB. */
const DEFAULT_CAPACITY = 2000

/** Bounded history of the most recent requests of an entry instance, built from its events. */
export class RequestHistory extends DisposableObject {
  private readonly requests = new Map<string, TrackedRequest>()

  constructor (events: EventLog, private readonly capacity = DEFAULT_CAPACITY) {
    super()
    this.register(events.onDidRecord(event => this.observe(event)))
  }

  get size (): number {
    return this.requests.size
  }

  find (identity: string): TrackedRequest | undefined {
    return this.requests.get(identity)
  }

  /** Describes the state or outcome of a request in one sentence; undefined if the request is not in the history. */
  explain (identity: string): string | undefined {
    const request = this.requests.get(identity)
    if (request === undefined) return undefined
    const head = `request to ${request.service} (${request.urgency}), accepted ${request.arrivedAt}`
    const sent = request.executors.length === 0 ? '' : `, sent to ${request.executors.join(', then ')} after waiting ${request.waitedMilliseconds} ms`
    return `${head}${sent}: ${describeOutcome(request)}`
  }

  private observe (event: SystemEvent): void {
    if (event.request === undefined) return
    if (event.kind === 'requestAccepted') {
      this.add(event)
      return
    }
    const request = this.requests.get(event.request)
    if (request !== undefined) update(request, event)
  }

  private add (event: SystemEvent): void {
    const identity = event.request as string
    this.requests.set(identity, { identity, service: event.service ?? '', urgency: event.urgency ?? '', arrivedAt: event.time, waitedMilliseconds: undefined, executors: [], outcome: 'waiting', code: undefined, reason: undefined, durationMilliseconds: undefined })
    if (this.requests.size <= this.capacity) return
    const [oldest] = this.requests.keys()
    this.requests.delete(oldest as string)
  }
}

function update (request: TrackedRequest, event: SystemEvent): void {
  const elapsed = Date.parse(event.time) - Date.parse(request.arrivedAt)
  switch (event.kind) {
    case 'requestDispatched':
      request.waitedMilliseconds ??= elapsed
      request.executors.push(event.executor ?? '')
      request.outcome = 'running'
      return
    case 'requestRetried':
      request.outcome = 'waiting'
      return
    case 'requestAnswered':
    case 'requestFailed':
    case 'requestRefused':
      request.outcome = event.kind === 'requestAnswered' ? 'answered' : 'failed'
      request.code = event.detail
      request.reason = event.reason
      request.durationMilliseconds = elapsed
  }
}

function describeOutcome (request: TrackedRequest): string {
  switch (request.outcome) {
    case 'waiting':
      return request.executors.length === 0 ? 'it waits for a slot of an executor' : 'it waits to be sent again'
    case 'running':
      return 'it runs and has not been answered'
    case 'answered':
      return `answered with status ${request.code} after ${request.durationMilliseconds} ms`
    case 'failed':
      return `ended as ${request.code} after ${request.durationMilliseconds} ms${request.reason === undefined ? '' : `: ${request.reason}`}`
  }
}
