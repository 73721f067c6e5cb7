import { request, type Agent } from 'undici'
import type { Logger } from '../base/logger.js'
import { instancesResponseSchema, listedInstanceSchema, type ListedInstance } from '../contracts/platformProtocol.js'

const REQUEST_TIMEOUT_MILLISECONDS = 3000

/** The platform's list of live and leaving instances, which lags behind the actual state. */
export abstract class InstanceList {
  /** Fetches the list; rejects if the platform is unavailable. */
  abstract fetch (): Promise<ListedInstance[]>
}

/** Fetches the list over HTTP as JSON. Entries that cannot be used are left out, because other writers may leave some in the list. */
export class HttpInstanceList extends InstanceList {
  private readonly httpOrigins = new OriginValidator(['http:', 'https:'])
  private readonly linkOrigins = new OriginValidator(['ws:', 'wss:'])
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
    const usable = entries.flatMap(entry => this.decode(entry) ?? [])
    this.httpOrigins.completeRound()
    this.linkOrigins.completeRound()
    this.logUnusable(entries.length - usable.length)
    return usable
  }

  /** Returns the instance in an entry; undefined if the entry is malformed. */
  private decode (entry: unknown): ListedInstance | undefined {
    const instance = listedInstanceSchema.safeParse(entry).data
    if (instance === undefined) return undefined
    const isReachable = instance.kind === 'entry'
      ? this.linkOrigins.isValid(instance.address) && this.httpOrigins.isValid(instance.callerAddress)
      : this.httpOrigins.isValid(instance.address)
    return isReachable ? instance : undefined
  }

  private logUnusable (count: number): void {
    if (count !== this.unusableCount) this.logger.warn('unusable entries in the instance list; the others are used', { count })
    this.unusableCount = count
  }
}

/** Checks that addresses are origins: URLs of only protocol, host and port. Remembers those of the latest round, because parsing a long list of them again and again takes long. */
class OriginValidator {
  private known: ReadonlySet<string> = new Set()
  private found = new Set<string>()

  constructor (private readonly protocols: readonly string[]) {}

  isValid (address: string): boolean {
    const isValid = this.known.has(address) || this.isOrigin(address)
    if (isValid) this.found.add(address)
    return isValid
  }

  /** Forgets the addresses that have not been checked since the last call. */
  completeRound (): void {
    this.known = this.found
    this.found = new Set()
  }

  private isOrigin (address: string): boolean {
    if (!URL.canParse(address)) return false
    const { protocol, pathname, search, hash } = new URL(address)
    return this.protocols.includes(protocol) && pathname === '/' && search === '' && hash === ''
  }
}
