import { z } from 'zod'
import { jobSubmissionSchema } from '../contracts/jobs.js'
import { urgencySchema } from '../contracts/siteText.js'

const requestsSchema = z.strictObject({
  service: z.string(),
  method: z.enum(['GET', 'POST', 'PUT', 'DELETE']).default('POST'),
  path: z.string().default('/'),
  /** Mean of the open-loop arrivals. */
  perSecond: z.number().positive(),
  bodyBytes: z.number().int().nonnegative().default(64),
  urgency: urgencySchema.optional(),
  deadlineMilliseconds: z.number().int().positive().optional()
})
export type RequestStream = z.infer<typeof requestsSchema>

/** One experiment: arrivals, jobs and their seed. */
export const scenarioSchema = z.strictObject({
  seed: z.number().int(),
  durationMilliseconds: z.number().int().positive().max(600_000),
  /** Time after the arrivals have ended within which jobs must end. */
  settleMilliseconds: z.number().int().nonnegative().max(600_000).default(15_000),
  requests: z.array(requestsSchema).default([]),
  jobs: z.array(z.strictObject({ atMilliseconds: z.number().int().nonnegative(), submission: jobSubmissionSchema })).default([])
})
export type Scenario = z.infer<typeof scenarioSchema>
