import { z } from 'zod'
import { resourcesSchema } from './resources.js'
import { urgencySchema } from './siteConfiguration.js'

/** Kinds of jobs: long-running services, deferrable batch work, and gangs that need all tasks at once. */
export const jobKindSchema = z.enum(['service', 'batch', 'gang'])

/** Largest number of tasks of one job. */
export const MAXIMUM_TASKS_PER_JOB = 10_000

/** A job as a caller submits it. */
export const jobSubmissionSchema = z.strictObject({
  name: z.string().min(1).max(128),
  team: z.string().min(1).max(63),
  kind: jobKindSchema,
  urgency: urgencySchema,
  tasks: z.number().int().min(1).max(MAXIMUM_TASKS_PER_JOB),
  resources: resourcesSchema,
  /** Family whose observed sizes and run times serve as an estimate for this job; the name if absent. */
  family: z.string().min(1).max(128).optional(),
  /** Declared run time of one task; may be inaccurate. Services run until cancelled. */
  runMilliseconds: z.number().int().positive().optional(),
  /** Whether a task may be stopped at a checkpoint and resumed later. */
  checkpointable: z.boolean().default(false),
  failureDomain: z.string().optional()
})
export type JobSubmission = z.infer<typeof jobSubmissionSchema>

/** An accepted job. */
export const jobSchema = jobSubmissionSchema.extend({
  identity: z.string().min(1).max(200),
  acceptedAtMilliseconds: z.number()
})
export type Job = z.infer<typeof jobSchema>

/** Final outcome of a job. */
export const jobOutcomeSchema = z.enum(['finished', 'failed', 'cancelled'])
export type JobOutcome = z.infer<typeof jobOutcomeSchema>

/** State of a job as shown to callers. */
export const jobStateSchema = z.enum(['waiting', 'starting', 'running', 'finished', 'failed', 'cancelled'])
export type JobState = z.infer<typeof jobStateSchema>
