import { z } from 'zod'

/** Most tasks of one step and most steps of one job; larger jobs are refused as malformed. */
const MAXIMUM_TASKS_PER_STEP = 10_000
const MAXIMUM_STEPS = 200
/** Longest specification text in bytes. */
const MAXIMUM_TEXT_BYTES = 4000

const amount = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER)
const positiveAmount = z.number().int().positive().max(Number.MAX_SAFE_INTEGER)

/** One step of a job: `count` alike tasks that start once all tasks of the steps in `after` have ended well. */
export const jobStepSchema = z.strictObject({
  count: positiveAmount.max(MAXIMUM_TASKS_PER_STEP),
  /** Processors of one task, in thousandths of a core. */
  processorsThousandths: amount.default(0),
  memoryMegabytes: amount.default(0),
  accelerators: amount.default(0),
  /** Rough duration of one task, in milliseconds; declared by the caller and often far off. */
  estimateMilliseconds: amount.default(0),
  /** Indexes of earlier steps that must be done first. */
  after: z.array(amount).default([]),
  /** The tasks work only together: all of one run are present, and end together. */
  gang: z.boolean().default(false),
  /** The tasks run slower when they are spread over several racks. */
  sameRack: z.boolean().default(false),
  requiredLabel: z.string().default(''),
  /** Rack that holds the data; the tasks run slower elsewhere. */
  dataRack: z.string().default(''),
  /** Most tasks of the step on one worker; 0 means no limit. */
  maximumPerWorker: amount.default(0),
  /** Copies of a task may run in parallel; the first that ends counts. */
  speculative: z.boolean().default(false),
  /** The tasks run until the job is cancelled and are restarted however they end. */
  longRunning: z.boolean().default(false),
  /** The tasks save progress and can resume from a checkpoint. */
  checkpointable: z.boolean().default(false),
  /** What the tasks run; tasks of one image behave alike. Empty if not stated. */
  image: z.string().default(''),
  /** Bound on the tail of response times of a serving task, in milliseconds; 0 means none. */
  targetMilliseconds: amount.default(0),
  /** The tasks use processors that others leave idle; their processors count against no capacity. */
  filler: z.boolean().default(false),
  /** Tasks of a long-running step that may be unavailable at once through actions of the system. */
  maximumUnavailable: amount.default(0)
})
export type JobStep = z.infer<typeof jobStepSchema>

/** A job of dependent steps, which may recur. */
export const stepJobSchema = z.strictObject({
  /** Handed to every task as it is. */
  specification: z.string().refine(text => Buffer.byteLength(text) <= MAXIMUM_TEXT_BYTES, `longer than ${MAXIMUM_TEXT_BYTES} bytes`),
  steps: z.array(jobStepSchema).min(1).max(MAXIMUM_STEPS),
  /** Number of occurrences; 0 means that the job runs once, at once. */
  occurrences: amount.max(1_000_000).default(0),
  /** Unix time at which the first occurrence is due, in milliseconds. */
  firstDueMilliseconds: amount.default(0),
  /** Time from one occurrence to the next, in milliseconds. */
  intervalMilliseconds: amount.default(0)
}).superRefine((job, context) => {
  job.steps.forEach((step, index) => {
    if (step.after.every(earlier => earlier < index)) return
    context.addIssue({ code: 'custom', path: ['steps', index, 'after'], message: 'names a step that is not an earlier one' })
  })
})
export type StepJob = z.infer<typeof stepJobSchema>

/** States of a job as shown to callers. */
export type JobState = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled'

export function isFinalState (state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled'
}
