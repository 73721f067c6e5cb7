import { z } from 'zod'

/** Maximum number of tasks in a step and of steps in a job; larger jobs are refused as malformed. */
const MAXIMUM_TASKS_PER_STEP = 10_000
const MAXIMUM_STEPS = 200
/** Maximum length of a specification text, in bytes. */
const MAXIMUM_TEXT_BYTES = 4000

const amount = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER)
const positiveAmount = z.number().int().positive().max(Number.MAX_SAFE_INTEGER)

/** One step of a job: `count` identical tasks that start once all tasks of the steps in `after` have succeeded. */
export const jobStepSchema = z.strictObject({
  count: positiveAmount.max(MAXIMUM_TASKS_PER_STEP),
  /** Processors of one task, in thousandths of a core. */
  processorsThousandths: amount.default(0),
  memoryMegabytes: amount.default(0),
  accelerators: amount.default(0),
  /** Estimated duration of one task, in milliseconds; declared by the caller and often inaccurate. */
  estimateMilliseconds: amount.default(0),
  /** Indexes of earlier steps that must be done first. */
  after: z.array(amount).default([]),
  /** The tasks form a gang: they can work only if all tasks of the run are present, and they end together. */
  gang: z.boolean().default(false),
  /** The tasks run slower when they are spread across several racks. */
  sameRack: z.boolean().default(false),
  requiredLabel: z.string().default(''),
  /** Rack that holds the input data; the tasks run slower elsewhere. */
  dataRack: z.string().default(''),
  /** Maximum number of tasks of the step on one worker; 0 means no limit. */
  maximumPerWorker: amount.default(0),
  /** Copies of a task may run in parallel; the first that finishes counts. */
  speculative: z.boolean().default(false),
  /** The tasks run until the job is cancelled and are restarted whenever they end, whether they succeeded or failed. */
  longRunning: z.boolean().default(false),
  /** The tasks save progress and can resume from a checkpoint. */
  checkpointable: z.boolean().default(false),
  /** Image that the tasks run; tasks with the same image behave alike. Empty if unspecified. */
  image: z.string().default(''),
  /** Bound on the tail latency of a serving task, in milliseconds; 0 means none. */
  targetMilliseconds: amount.default(0),
  /** The tasks use processor time that others leave idle; their processors do not count against capacity. */
  filler: z.boolean().default(false),
  /** Maximum number of tasks of a long-running step that the system may make unavailable at the same time. */
  maximumUnavailable: amount.default(0)
})
export type JobStep = z.infer<typeof jobStepSchema>

/** A job of steps with dependencies, which may recur. */
export const stepJobSchema = z.strictObject({
  /** Passed to every task unchanged. */
  specification: z.string().refine(text => Buffer.byteLength(text) <= MAXIMUM_TEXT_BYTES, `longer than ${MAXIMUM_TEXT_BYTES} bytes`),
  steps: z.array(jobStepSchema).min(1).max(MAXIMUM_STEPS),
  /** Number of occurrences; 0 means that the job runs once, immediately. */
  occurrences: amount.max(1_000_000).default(0),
  /** Unix time at which the first occurrence is due, in milliseconds. */
  firstDueMilliseconds: amount.default(0),
  /** Time from one occurrence to the next, in milliseconds. */
  intervalMilliseconds: amount.default(0)
}).superRefine(checkStepOrder)
export type StepJob = z.infer<typeof stepJobSchema>

/** Reports the steps that are to run after one that is not an earlier step. */
export function checkStepOrder (job: { readonly steps: ReadonlyArray<Pick<JobStep, 'after'>> }, context: z.RefinementCtx): void {
  job.steps.forEach((step, index) => {
    if (step.after.every(earlier => earlier < index)) return
    context.addIssue({ code: 'custom', path: ['steps', index, 'after'], message: 'names a step that is not an earlier one' })
  })
}

/** States of a job as shown to callers. */
export type JobState = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled'

export function isFinalState (state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled'
}
