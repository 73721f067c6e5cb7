import { z } from 'zod'
import { jobSubmissionSchema } from '../contracts/jobs.js'
import { urgencySchema } from '../contracts/siteConfiguration.js'

const offset = z.number().int().nonnegative()
const share = z.number().min(0).max(1).default(0)

const requestsSchema = z.strictObject({
  service: z.string(),
  method: z.enum(['GET', 'POST', 'PUT', 'DELETE']).default('POST'),
  path: z.string().startsWith('/').default('/'),
  /** Mean of the open-loop arrivals. */
  perSecond: z.number().positive(),
  /** Arrivals begin and end at these times after the start; the whole duration if absent. */
  fromMilliseconds: offset.default(0),
  untilMilliseconds: offset.optional(),
  bodyBytes: z.number().int().nonnegative().max(16 * 1024 * 1024).default(64),
  urgency: urgencySchema.optional(),
  deadlineMilliseconds: z.number().int().positive().optional(),
  /** Share of the requests that carry an idempotency key. */
  keyedShare: share,
  /** Share of the keyed requests with an unknown outcome that are submitted again with the same key, to any instance. */
  resubmitShare: share
})
export type RequestStream = z.infer<typeof requestsSchema>

/** One experiment: arrivals, jobs, faults and their seed. Times are milliseconds after the start. */
export const scenarioSchema = z.strictObject({
  seed: z.number().int(),
  durationMilliseconds: z.number().int().positive().max(600_000),
  /** Time after the arrivals have ended within which jobs must end. */
  settleMilliseconds: z.number().int().nonnegative().max(600_000).default(15_000),
  requests: z.array(requestsSchema).default([]),
  jobs: z.array(z.strictObject({ atMilliseconds: offset, submission: jobSubmissionSchema })).default([]),
  /** Faults of the stand-in: `target` is `platform` or the name of an executor or worker. */
  faults: z.array(z.strictObject({ atMilliseconds: offset, target: z.string(), faults: z.record(z.string(), z.union([z.boolean(), z.number()])) })).default([])
})
export type Scenario = z.infer<typeof scenarioSchema>
