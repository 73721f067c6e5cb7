import { request, type Agent } from 'undici'
import { instancesResponseSchema, type ListedInstance } from '../contracts/platformProtocol.js'

const REQUEST_TIMEOUT_MILLISECONDS = 3000

/** The platform's list of live and leaving instances, which lags behind the actual state. */
export abstract class InstanceList {
  /** Fetches the list; rejects if the platform is unavailable. */
  abstract fetch (): Promise<ListedInstance[]>
}

/** Fetches the list over HTTP as JSON. */
export class HttpInstanceList extends InstanceList {
  constructor (private readonly address: string, private readonly agent: Agent) {
    super()
  }

  override async fetch (): Promise<ListedInstance[]> {
    const response = await request(`${this.address}/instances`, { dispatcher: this.agent, headersTimeout: REQUEST_TIMEOUT_MILLISECONDS, bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS })
    if (response.statusCode !== 200) {
      await response.body.dump()
      throw new Error(`the instance list responded with status ${response.statusCode}`)
    }
    return instancesResponseSchema.parse(await response.body.json()).instances
  }
}
