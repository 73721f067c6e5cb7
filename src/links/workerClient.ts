import { request, type Agent } from 'undici'
import { isConnectFailure } from './connectFailure.js'
import { commandResponseSchema, STALE_TERM, workerReportSchema, type RenewLeases, type StartTask, type TaskAction, type TaskActionName, type WorkerReport } from '../contracts/workerProtocol.js'

const REQUEST_TIMEOUT_MILLISECONDS = 2000

/** Outcome of a command to a worker. After `unknown` the command may have taken effect. */
export type CommandOutcome =
  | { readonly kind: 'done', readonly logicalTime?: number }
  | { readonly kind: 'refused', readonly reason: string }
  /** The worker has seen a newer term. */
  | { readonly kind: 'stale', readonly reason: string }
  | { readonly kind: 'notSent', readonly reason: string }
  | { readonly kind: 'unknown', readonly reason: string }

/** Sends commands to workers. */
export abstract class WorkerClient {
  abstract start (address: string, task: string, body: StartTask): Promise<CommandOutcome>
  abstract sendAction (address: string, task: string, action: TaskActionName, body: TaskAction): Promise<CommandOutcome>
  /** Renews leases and returns the worker's report; rejects if the worker doesn't respond. */
  abstract renewLeases (address: string, body: RenewLeases): Promise<WorkerReport>
}

/** Sends commands to workers over HTTP with JSON. */
export class HttpWorkerClient extends WorkerClient {
  constructor (private readonly agent: Agent) {
    super()
  }

  override async start (address: string, task: string, body: StartTask): Promise<CommandOutcome> {
    return await this.sendCommand('PUT', `${address}/tasks/${encodeURIComponent(task)}`, body)
  }

  override async sendAction (address: string, task: string, action: TaskActionName, body: TaskAction): Promise<CommandOutcome> {
    return await this.sendCommand('POST', `${address}/tasks/${encodeURIComponent(task)}/${action}`, body)
  }

  override async renewLeases (address: string, body: RenewLeases): Promise<WorkerReport> {
    const response = await request(`${address}/leases`, { method: 'POST', body: JSON.stringify(body), ...this.requestOptions() })
    if (response.statusCode === 200) return workerReportSchema.parse(await response.body.json())
    await response.body.dump()
    throw new Error(`the worker responded with status ${response.statusCode}`)
  }

  private async sendCommand (method: 'PUT' | 'POST', url: string, body: object): Promise<CommandOutcome> {
    try {
      const response = await request(url, { method, body: JSON.stringify(body), ...this.requestOptions() })
      const text = await response.body.text()
      if (response.statusCode < 300) return { kind: 'done', logicalTime: commandResponseSchema.safeParse(parseJson(text)).data?.logicalTime }
      if (response.statusCode === 409 && text === STALE_TERM) return { kind: 'stale', reason: text }
      if (response.statusCode < 500) return { kind: 'refused', reason: text }
      return { kind: 'unknown', reason: `status ${response.statusCode}` }
    } catch (error) {
      return isConnectFailure(error) ? { kind: 'notSent', reason: String(error) } : { kind: 'unknown', reason: String(error) }
    }
  }

  private requestOptions () {
    return { headers: { 'content-type': 'application/json' }, dispatcher: this.agent, headersTimeout: REQUEST_TIMEOUT_MILLISECONDS, bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS }
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
