import { request, type Agent } from 'undici'
import { isConnectFailure } from './connectFailure.js'
import { commandAnswerSchema, STALE_TERM, workerReportSchema, type RenewLeases, type StartTask, type TaskAction, type TaskActionName, type WorkerReport } from '../contracts/workerProtocol.js'

const CALL_TIMEOUT_MILLISECONDS = 2000

/** Outcome of a command to a worker. `unknown` means that it may have taken effect. */
export type CommandOutcome =
  | { readonly kind: 'done', readonly logicalTime?: number }
  | { readonly kind: 'refused', readonly reason: string }
  /** The worker has seen a newer term. */
  | { readonly kind: 'stale', readonly reason: string }
  | { readonly kind: 'notSent', readonly reason: string }
  | { readonly kind: 'unknown', readonly reason: string }

/** Commands to workers. */
export abstract class WorkerClient {
  abstract start (address: string, task: string, body: StartTask): Promise<CommandOutcome>
  abstract sendAction (address: string, task: string, action: TaskActionName, body: TaskAction): Promise<CommandOutcome>
  /** Renews leases and returns the worker's report; rejects when the worker does not answer. */
  abstract renewLeases (address: string, body: RenewLeases): Promise<WorkerReport>
}

/** Commands to workers by HTTP and JSON. */
export class HttpWorkerClient extends WorkerClient {
  constructor (private readonly agent: Agent) {
    super()
  }

  override async start (address: string, task: string, body: StartTask): Promise<CommandOutcome> {
    return await this.command('PUT', `${address}/tasks/${encodeURIComponent(task)}`, body)
  }

  override async sendAction (address: string, task: string, action: TaskActionName, body: TaskAction): Promise<CommandOutcome> {
    return await this.command('POST', `${address}/tasks/${encodeURIComponent(task)}/${action}`, body)
  }

  override async renewLeases (address: string, body: RenewLeases): Promise<WorkerReport> {
    const answer = await request(`${address}/leases`, { method: 'POST', body: JSON.stringify(body), ...this.options() })
    if (answer.statusCode === 200) return workerReportSchema.parse(await answer.body.json())
    await answer.body.dump()
    throw new Error(`the worker answered with status ${answer.statusCode}`)
  }

  private async command (method: 'PUT' | 'POST', url: string, body: object): Promise<CommandOutcome> {
    try {
      const answer = await request(url, { method, body: JSON.stringify(body), ...this.options() })
      const text = await answer.body.text()
      if (answer.statusCode < 300) return { kind: 'done', logicalTime: commandAnswerSchema.safeParse(parseJson(text)).data?.logicalTime }
      if (answer.statusCode === 409 && text === STALE_TERM) return { kind: 'stale', reason: text }
      if (answer.statusCode < 500) return { kind: 'refused', reason: text }
      return { kind: 'unknown', reason: `status ${answer.statusCode}` }
    } catch (error) {
      return isConnectFailure(error) ? { kind: 'notSent', reason: String(error) } : { kind: 'unknown', reason: String(error) }
    }
  }

  private options () {
    return { headers: { 'content-type': 'application/json' }, dispatcher: this.agent, headersTimeout: CALL_TIMEOUT_MILLISECONDS, bodyTimeout: CALL_TIMEOUT_MILLISECONDS }
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
