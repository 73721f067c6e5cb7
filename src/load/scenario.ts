import { z } from 'zod'
import { jobSubmissionSchema } from '../contracts/jobs.js'
import { urgencySchema } from '../contracts/siteConfiguration.js'

const timeOffset = z.number().int().nonnegative()
const share = z.number().min(0).max(1).default(0)

const requestStreamSchema = z.strictObject({
  service: z.string(),
  method: z.enum(['GET', 'POST', 'PUT', 'DELETE']).default('POST'),
  path: z.string().startsWith('/').default('/'),
  /** Mean rate of the open-loop arrivals. */
  perSecond: z.number().positive(),
  /** Start and end of the arrivals, relative to the start of the run; by default they last for the whole duration. */
  fromMilliseconds: timeOffset.default(0),
  untilMilliseconds: timeOffset.optional(),
  bodyBytes: z.number().int().nonnegative().max(16 * 1024 * 1024).default(64),
  urgency: urgencySchema.optional(),
  deadlineMilliseconds: z.number().int().positive().optional(),
  /** Share of the requests that carry an idempotency key. */
  keyedShare: share,
  /** Share of the keyed requests that are resubmitted with the same key, to any instance, if their outcome is unknown. */
  resubmitShare: share
})
export type RequestStream = z.infer<typeof requestStreamSchema>

/** Load scenario: arrivals, jobs, faults and the random seed. Times are milliseconds after the start of the run. */
export const scenarioSchema = z.strictObject({
  seed: z.number().int(),
  durationMilliseconds: z.number().int().positive().max(600_000),
  /** Time after the end of the arrivals within which jobs must end. */
  settleMilliseconds: z.number().int().nonnegative().max(600_000).default(15_000),
  requests: z.array(requestStreamSchema).default([]),
  jobs: z.array(z.strictObject({ atMilliseconds: timeOffset, submission: jobSubmissionSchema })).default([]),
  /** Faults to set in the stand-in; `target` is `platform` or the name of an executor or worker. */
  faults: z.array(z.strictObject({ atMilliseconds: timeOffset, target: z.string(), faults: z.record(z.string(), z.union([z.boolean(), z.number()])) })).default([])
})
export type Scenario = z.infer<typeof scenarioSchema>
