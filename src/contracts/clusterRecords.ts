import { Packr } from 'msgpackr'
import { z } from 'zod'
import type { QueuePolicy } from './clusterConfiguration.js'
import { checkStepOrder, jobStepSchema, stepJobSchema, type StepJob, type JobState } from './stepJob.js'

/**
 * Progress of one task that is not done: index, last run, worker (empty if none), number of failed runs, checkpoint (empty if none), evidence that
 * the task crashes its workers, and start of the worker's process as Unix time in milliseconds (0 if unknown). Rows without
 * a worker or evidence, and those of earlier versions, lack the last two.
 */
export type TaskRow = readonly [index: number, run: number, worker: string, failures: number, checkpoint: string, crashEvidence?: number, processStartedAt?: number]

/** Progress of one step: indexes of the tasks that are done, rows of the others that have started, and the last run of a gang that counted as a failure. */
export type StepRow = readonly [done: readonly number[], tasks: readonly TaskRow[], lastFailedRun?: number]

/** Progress of one occurrence. */
export type OccurrenceRow = readonly [occurrence: number, steps: readonly StepRow[]]

/** A job that has been accepted. Written by the instance that accepted it; a retry writes the same record. */
export interface SubmissionRecord {
  readonly queue: string
  readonly pool: string
  /** Policy of the queue at acceptance; applies while no configuration contains the queue. Absent from records of earlier versions. */
  readonly policy?: Omit<QueuePolicy, 'pool'>
  /** Name of the organisation that submitted the job; absent if callers are not distinguished. */
  readonly organisation?: string
  readonly job: StepJob
  /** Unix time of acceptance, in milliseconds; used for ordering and statistics only. */
  readonly acceptedAt: number
}

/** Progress of a job as recorded by the active scheduler. The latest record of a job is authoritative. */
export interface ProgressRecord {
  readonly state: JobState
  readonly reason?: string
  readonly occurrences: readonly OccurrenceRow[]
}

/** Claim, renewal or resignation of the active scheduler role. */
export interface LeadershipRecord {
  readonly term: number
  readonly instance: string
  /** Random identity of the process that holds the role. */
  readonly incarnation: string
  /** Address of the holder's link, as host:port. */
  readonly address: string
  /** Whether the holder has resigned from the role. */
  readonly resigned: boolean
  /** Instance that should claim the role after a resignation; the others delay their claims. Empty if no peer had a link to the holder. */
  readonly successor?: string
}

/** What a submission must hold to be scheduled. Fields of later versions are allowed. */
const submissionSchema = z.object({
  queue: z.string(),
  pool: z.string(),
  acceptedAt: z.number(),
  job: z.object({ ...stepJobSchema.shape, steps: z.array(z.object(jobStepSchema.shape)).min(1) }).superRefine(checkStepOrder)
})

const packer = new Packr({ useRecords: false })

/** Encodes a record for the log. */
export function encodeRecord (record: SubmissionRecord | ProgressRecord | LeadershipRecord): Buffer {
  return packer.pack(record)
}

/** Decodes a submission written by `encodeRecord`; undefined if the bytes hold no submission. */
export function decodeSubmission (value: Uint8Array): SubmissionRecord | undefined {
  const record = unpackObject(value)
  return submissionSchema.safeParse(record).success ? record as unknown as SubmissionRecord : undefined
}

/** Decodes the progress of a job written by `encodeRecord`; undefined if the bytes hold no progress. */
export function decodeProgress (value: Uint8Array): ProgressRecord | undefined {
  const record = unpackObject(value)
  return typeof record?.state === 'string' && isListOf(record.occurrences, isOccurrenceRow) ? record as ProgressRecord : undefined
}

/** Decodes a leadership record written by `encodeRecord`; undefined if the bytes hold none. */
export function decodeLeadership (value: Uint8Array): LeadershipRecord | undefined {
  const record = unpackObject(value)
  return typeof record?.term === 'number' && typeof record.incarnation === 'string' && typeof record.address === 'string' ? record as LeadershipRecord : undefined
}

function isOccurrenceRow (row: unknown): boolean {
  return Array.isArray(row) && typeof row[0] === 'number' && isListOf(row[1], isStepRow)
}

function isStepRow (row: unknown): boolean {
  return Array.isArray(row) && Array.isArray(row[0]) && isListOf(row[1], isTaskRow)
}

function isTaskRow (row: unknown): boolean {
  if (!Array.isArray(row)) return false
  const [index, run, worker, failures, checkpoint] = row
  return typeof index === 'number' && typeof run === 'number' && typeof worker === 'string' && typeof failures === 'number' && typeof checkpoint === 'string'
}

function isListOf (value: unknown, isItem: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isItem)
}

/** Returns the unpacked object; undefined if the bytes hold something else. Only the fields that callers check are known to be of their type. */
function unpackObject (value: Uint8Array): Record<string, any> | undefined {
  try {
    const record: unknown = packer.unpack(value)
    return typeof record === 'object' && record !== null ? record : undefined
  } catch {
    return undefined // The caller logs the record.
  }
}
