import { createHash, timingSafeEqual } from 'node:crypto'
import type { ClusterConfiguration } from '../../contracts/clusterConfiguration.js'

interface DirectoryEntry {
  readonly digest: Buffer
  /** Name of the organisation; undefined if several organisations list the key. */
  readonly organisation: string | undefined
}

/** Maps the API keys of one configuration to organisations. Holds digests of the keys only. */
export class ApiKeyDirectory {
  /** Whether the configuration distinguishes callers by their keys. */
  readonly isEnabled: boolean
  /** Names of organisations that list a key which another organisation lists as well; the key identifies none of them. */
  readonly organisationsSharingKeys: readonly string[]
  /** Entries by the first four bytes of the digest. */
  private readonly entries = new Map<number, DirectoryEntry[]>()

  constructor ({ organisations, malformedOrganisations = 0 }: Pick<ClusterConfiguration, 'organisations' | 'malformedOrganisations'>) {
    this.isEnabled = organisations.length > 0 || malformedOrganisations > 0
    const namesOfKey = new Map<string, Set<string>>()
    for (const { name, apiKeys } of organisations) {
      for (const key of apiKeys) namesOfKey.set(key, (namesOfKey.get(key) ?? new Set()).add(name))
    }
    const sharing = new Set<string>()
    for (const [key, names] of namesOfKey) {
      const [organisation] = names
      if (names.size > 1) for (const name of names) sharing.add(name)
      const digest = digestOf(key)
      const bucket = bucketOf(digest)
      this.entries.set(bucket, [...this.entries.get(bucket) ?? [], { digest, organisation: names.size === 1 ? organisation : undefined }])
    }
    this.organisationsSharingKeys = [...sharing]
  }

  /** Returns the name of the organisation that a key identifies; undefined if it identifies none. */
  resolve (key: string): string | undefined {
    const digest = digestOf(key)
    return this.entries.get(bucketOf(digest))?.find(entry => timingSafeEqual(entry.digest, digest))?.organisation
  }
}

function digestOf (key: string): Buffer {
  return createHash('sha256').update(key).digest()
}

function bucketOf (digest: Buffer): number {
  return digest.readUInt32BE(0)
}
