import { z } from 'zod'

/** Whether a request or job may have run: certainly not, possibly, or certainly. */
export const verdictSchema = z.enum(['notRun', 'mayHaveRun', 'ran'])
export type Verdict = z.infer<typeof verdictSchema>

const detail = { message: z.string(), retryAfterSeconds: z.number().int().nonnegative().optional() }

/** Body of every error response to a caller. `code` is stable; `verdict` states whether the request may have run. */
export const servingErrorSchema = z.discriminatedUnion('code', [
  z.object({ code: z.literal('malformedRequest'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('bodyTooLarge'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('unknownService'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('unknownJob'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('deadlineExpired'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('deadlineUnreachable'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('queueFull'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('noExecutor'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('notReady'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('stopping'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('unauthorized'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('jobNeverFits'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('logUnavailable'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('keyUnavailable'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('executorRefused'), verdict: z.literal('notRun'), ...detail }),
  z.object({ code: z.literal('cancelled'), verdict: verdictSchema, ...detail }),
  z.object({ code: z.literal('executorFailed'), verdict: z.literal('mayHaveRun'), ...detail }),
  z.object({ code: z.literal('executorTimeout'), verdict: z.literal('mayHaveRun'), ...detail }),
  /** `job` identifies the job whose acceptance is unknown. A retry with the same idempotency key submits the same job. */
  z.object({ code: z.literal('outcomeUnknown'), verdict: z.literal('mayHaveRun'), job: z.string().optional(), ...detail }),
  z.object({ code: z.literal('alreadyRan'), verdict: z.literal('ran'), ...detail })
])
export type ServingError = z.infer<typeof servingErrorSchema>
export type ServingErrorCode = ServingError['code']

const HTTP_STATUS: Readonly<Record<ServingErrorCode, number>> = {
  malformedRequest: 400,
  bodyTooLarge: 413,
  unknownService: 404,
  unknownJob: 404,
  deadlineExpired: 408,
  deadlineUnreachable: 503,
  queueFull: 503,
  noExecutor: 503,
  notReady: 503,
  stopping: 503,
  unauthorized: 401,
  jobNeverFits: 422,
  logUnavailable: 503,
  keyUnavailable: 503,
  executorRefused: 503,
  cancelled: 499,
  executorFailed: 502,
  executorTimeout: 504,
  outcomeUnknown: 409,
  alreadyRan: 409
}

/** Returns the HTTP status of an error response. */
export function httpStatusOf (error: ServingError): number {
  return HTTP_STATUS[error.code]
}
