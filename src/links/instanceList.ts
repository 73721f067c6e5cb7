import { request, type Agent } from 'undici'
import { instancesResponseSchema, type ListedInstance } from '../contracts/platformProtocol.js'

const CALL_TIMEOUT_MILLISECONDS = 3000

/** The platform's lagging list of live and leaving instances. */
export abstract class InstanceList {
  /** Fetches the list; rejects when the platform is away. */
  abstract fetch (): Promise<ListedInstance[]>
}

/** The list by HTTP and JSON. */
export class HttpInstanceList extends InstanceList {
  constructor (private readonly address: string, private readonly agent: Agent) {
    super()
  }

  override async fetch (): Promise<ListedInstance[]> {
    const answer = await request(`${this.address}/instances`, { dispatcher: this.agent, headersTimeout: CALL_TIMEOUT_MILLISECONDS, bodyTimeout: CALL_TIMEOUT_MILLISECONDS })
    if (answer.statusCode !== 200) {
      await answer.body.dump()
      throw new Error(`the instance list answered with status ${answer.statusCode}`)
    }
    return instancesResponseSchema.parse(await answer.body.json()).instances
  }
}
