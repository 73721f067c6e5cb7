import type { ClusterConfiguration, Queue } from '../../contracts/clusterConfiguration.js'
import type { KeyRevocation } from '../../contracts/clusterSettings.js'
import { ApiKeyDirectory } from './apiKeyDirectory.js'

/** Syntax of a credential of the Bearer scheme (RFC 6750). */
const BEARER_PATTERN = /^bearer +([A-Za-z0-9\-._~+/]+=*) *$/i

/** What a call does: reads return a state or a count, writes store a record. */
export type AccessMode = 'read' | 'write'

/**
 * Why a call is refused. `missing`, `malformed` and `unknown` concern its key; `stale` means that this instance has not read the
 * configuration recently enough to rely on its keys.
 */
export type RefusalReason = 'missing' | 'malformed' | 'unknown' | 'stale'

/** Who calls. */
export interface CallerIdentity {
  /** Whether the caller may access the jobs of all organisations, because the configuration distinguishes no callers. */
  readonly isUnrestricted: boolean
  /** Organisation of the caller's key; undefined if the call carries no known key. */
  readonly organisation?: string | undefined
}

export type AccessDecision =
  | { readonly kind: 'granted', readonly caller: CallerIdentity }
  | { readonly kind: 'refused', readonly reason: RefusalReason }

/** Access of one call. Each check uses the configuration and the time of the check, so that a key withdrawn during a wait is refused. */
export interface CallAccess {
  check (mode: AccessMode): AccessDecision
}

/** The configuration that an instance has read. */
export interface ConfigurationSource {
  readonly configuration: ClusterConfiguration | undefined
  /** When the last successful read of the configuration was sent, in milliseconds of the monotonic clock; undefined before the first. */
  readonly configurationReadAt: number | undefined
}

const UNRESTRICTED: AccessDecision = { kind: 'granted', caller: { isUnrestricted: true } }

/** Access while callers are not distinguished. */
export const UNRESTRICTED_ACCESS: CallAccess = { check: () => UNRESTRICTED }

/** Returns whether a caller may read and cancel the jobs of an organisation. Jobs without an organisation are open to all callers. */
export function mayAccess (caller: CallerIdentity, organisation: string | undefined): boolean {
  return caller.isUnrestricted || organisation === undefined || organisation === caller.organisation
}

/** Decides by API keys who may use a queue. */
export class AccessControl {
  private directory: ApiKeyDirectory | undefined
  private directoryConfiguration: ClusterConfiguration | undefined

  constructor (private readonly source: ConfigurationSource, private readonly revocation: KeyRevocation, private readonly now: () => number) {}

  /** Returns the access of a call with the given Authorization header. `findQueue` returns the queue by the configuration at the time of a check. */
  accessOf (authorization: string | undefined, findQueue: (configuration: ClusterConfiguration) => Queue): CallAccess {
    return { check: mode => this.decide(authorization, findQueue, mode) }
  }

  private decide (authorization: string | undefined, findQueue: (configuration: ClusterConfiguration) => Queue, mode: AccessMode): AccessDecision {
    const { configuration } = this.source
    if (configuration === undefined) return { kind: 'refused', reason: 'stale' }
    const directory = this.directoryOf(configuration)
    if (!directory.isEnabled) return UNRESTRICTED
    const key = authorization === undefined ? undefined : BEARER_PATTERN.exec(authorization)?.[1]
    const isPublic = findQueue(configuration).isPublic === true
    if (key === undefined) {
      if (isPublic) return { kind: 'granted', caller: { isUnrestricted: false } }
      return { kind: 'refused', reason: authorization === undefined ? 'missing' : 'malformed' }
    }
    const organisation = directory.resolve(key)
    const isStale = this.isStale
    if (organisation === undefined) {
      if (isPublic) return { kind: 'granted', caller: { isUnrestricted: false } }
      // The key may have been added after the last read.
      return { kind: 'refused', reason: isStale ? 'stale' : 'unknown' }
    }
    if (isStale && (mode === 'write' || this.revocation.appliesToReads)) return { kind: 'refused', reason: 'stale' }
    return { kind: 'granted', caller: { isUnrestricted: false, organisation } }
  }

  /** Whether a key may have been withdrawn longer ago than the revocation time without this instance having read of it. */
  private get isStale (): boolean {
    const { configurationReadAt } = this.source
    return configurationReadAt === undefined || this.now() - configurationReadAt > this.revocation.milliseconds
  }

  private directoryOf (configuration: ClusterConfiguration): ApiKeyDirectory {
    if (this.directory === undefined || this.directoryConfiguration !== configuration) {
      this.directory = new ApiKeyDirectory(configuration)
      this.directoryConfiguration = configuration
    }
    return this.directory
  }
}
