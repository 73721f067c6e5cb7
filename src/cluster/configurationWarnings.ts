import type { Logger } from '../base/logger.js'
import type { ClusterConfiguration } from '../contracts/clusterConfiguration.js'
import { ApiKeyDirectory } from './organisations/apiKeyDirectory.js'
import type { StoredRecord } from './recordLog.js'

/** Why a record that should hold a configuration cannot be decoded. */
export interface ConfigurationFault {
  /** Revision that the record states; undefined if it states none. */
  readonly revision: number | undefined
  readonly reason: string
}

/** Logs what is wrong with published configurations. */
export class ConfigurationWarnings {
  /** Revision of the last configuration that could not be decoded, or its offset if it states none. */
  private malformedRevision: number | undefined

  constructor (private readonly logger: Logger) {}

  /** Logs a configuration that cannot be decoded, once per revision: the same record is read again with each snapshot. */
  onMalformed ({ offset }: StoredRecord, { revision, reason }: ConfigurationFault): void {
    if ((revision ?? offset) === this.malformedRevision) return
    this.malformedRevision = revision ?? offset
    this.logger.error('the configuration cannot be decoded; the one in force stays', { ...(revision === undefined ? {} : { revision }), offset, reason })
  }

  /** Logs organisations and keys of a configuration in force that cannot be used. */
  onInForce (configuration: ClusterConfiguration): void {
    const { revision, malformedOrganisations = 0 } = configuration
    if (malformedOrganisations > 0) this.logger.warn('malformed organisations in the configuration; their keys are unknown', { revision, count: malformedOrganisations })
    const { organisationsSharingKeys } = new ApiKeyDirectory(configuration)
    if (organisationsSharingKeys.length > 0) this.logger.warn('organisations list the same key; it identifies none of them', { revision, reason: organisationsSharingKeys.join(', ') })
  }
}
