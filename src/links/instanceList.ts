import { request, type Agent } from 'undici'
import type { Logger } from '../base/logger.js'
import { instancesResponseSchema, listedInstanceSchema, type ListedInstance } from '../contracts/platformProtocol.js'

const REQUEST_TIMEOUT_MILLISECONDS = 3000

/** The platform's list of live and leaving instances, which lags behind the actual state. */
export abstract class InstanceList {
  /** Fetches the list; rejects if the platform is unavailable. */
  abstract fetch (): Promise<ListedInstance[]>
}

/** Fetches the list over HTTP as JSON. */
export class HttpInstanceList extends InstanceList {
  private unusableCount = 0

  constructor (private readonly address: string, private readonly agent: Agent, private readonly logger: Logger) {
    super()
  }

  override async fetch (): Promise<ListedInstance[]> {
    const response = await request(`${this.address}/instances`, { dispatcher: this.agent, headersTimeout: REQUEST_TIMEOUT_MILLISECONDS, bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS })
    if (response.statusCode !== 200) {
      await response.body.dump()
      throw new Error(`the instance list responded with status ${response.statusCode}`)
    }
    const entries = instancesResponseSchema.parse(await response.body.json()).instances
    const usable = entries.flatMap(entry => listedInstanceSchema.safeParse(entry).data ?? [])
    this.logUnusable(entries.length - usable.length)
    return usable
  }

  private logUnusable (count: number): void {
    if (count !== this.unusableCount) this.logger.warn('unusable entries in the instance list; the others are used', { count })
    this.unusableCount = count
  }
}
