import { z } from 'zod'
import { jobOutcomeSchema, jobSchema } from './jobs.js'

/** Stream of the site configuration. */
export const CONFIGURATION_STREAM = 'configuration'

/** Kinds of streams that exist once per failure domain, so that an instance follows only those of its own failure domain. */
export type DomainStreamKind = 'ownership' | 'jobs' | 'keys'

/** Returns the name of a failure domain's stream. */
export function domainStreamName (kind: DomainStreamKind, failureDomain: string): string {
  return `${kind}.${failureDomain}`
}

/** Version of the record schemas that this build writes. Records of a greater version are kept and skipped. */
export const RECORD_SCHEMA_VERSION = 1

const electors = z.array(z.strictObject({ instance: z.string(), incarnation: z.string() }))
const term = z.number().int().nonnegative()
const instanceIdentity = { failureDomain: z.string(), instance: z.string(), incarnation: z.string() }

const configurationPublished = z.strictObject({
  type: z.literal('configurationPublished'),
  baseRevision: z.number().int().nonnegative(),
  text: z.string(),
  publisher: z.string()
})
/**
 * Restates the configuration in force before its record leaves the retention period. `revision` is the latest revision
 * decided by the records before `throughOffset`, so that an instance that starts later knows which publish records it still has to decide.
 */
const configurationRestated = z.strictObject({ type: z.literal('configurationRestated'), revision: z.number().int().positive(), text: z.string(), throughOffset: z.number().int().nonnegative() })
const instanceJoined = z.strictObject({ type: z.literal('instanceJoined'), ...instanceIdentity })
/** A claim is valid if it follows the current term and the claimant is an elector, the term was released, or the owner and all electors have ended. */
const ownershipClaimed = z.strictObject({ type: z.literal('ownershipClaimed'), ...instanceIdentity, afterTerm: term, electors, ownerAndElectorsGone: z.boolean() })
/** `number` increases within the term. A renewal whose number is not greater than the last is ignored, so that a delayed one cannot restore former electors. */
const ownershipRenewed = z.strictObject({ type: z.literal('ownershipRenewed'), ...instanceIdentity, term, number: z.number().int().positive(), electors })
const ownershipReleased = z.strictObject({ type: z.literal('ownershipReleased'), ...instanceIdentity, term })
const jobAccepted = z.strictObject({ type: z.literal('jobAccepted'), job: jobSchema, failureDomain: z.string() })
const jobCancelRequested = z.strictObject({ type: z.literal('jobCancelRequested'), job: z.string() })
const jobEnded = z.strictObject({ type: z.literal('jobEnded'), job: z.string(), outcome: jobOutcomeSchema, reason: z.string().optional(), atMilliseconds: z.number() })
/** Finished tasks of an open job as inclusive ranges of task indexes. The ranges of several records are combined. */
const jobProgress = z.strictObject({ type: z.literal('jobProgress'), job: z.string(), finished: z.array(z.tuple([z.number().int().nonnegative(), z.number().int().nonnegative()])) })
const keyStarted = z.strictObject({ type: z.literal('keyStarted'), key: z.string(), request: z.string(), atMilliseconds: z.number() })
const keyEnded = z.strictObject({ type: z.literal('keyEnded'), key: z.string(), request: z.string(), status: z.number().int(), body: z.string().optional(), contentType: z.string().optional(), atMilliseconds: z.number() })
const keyNotRun = z.strictObject({ type: z.literal('keyNotRun'), key: z.string(), request: z.string() })

export const recordBodySchema = z.discriminatedUnion('type', [
  configurationPublished, configurationRestated, instanceJoined, ownershipClaimed, ownershipRenewed, ownershipReleased,
  jobAccepted, jobCancelRequested, jobProgress, jobEnded, keyStarted, keyEnded, keyNotRun
])
export type RecordBody = z.infer<typeof recordBodySchema>

/** Envelope of every record. `identity` identifies repeated appends of the same record, which take effect once. */
export const recordSchema = z.object({
  identity: z.string().min(1),
  schemaVersion: z.number().int().positive(),
  writer: z.string(),
  logicalTime: z.number().int().nonnegative(),
  body: z.unknown()
})
export type RecordEnvelope = z.infer<typeof recordSchema>

/** A record as read from a stream, with its offset. */
export interface StoredRecord<Body = RecordBody> {
  readonly offset: number
  readonly identity: string
  readonly writer: string
  readonly logicalTime: number
  readonly body: Body
}
