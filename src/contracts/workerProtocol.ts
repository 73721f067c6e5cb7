import { z } from 'zod'
import { resourcesSchema } from './resources.js'

/** Attempt of a task: the owner's term and a number unique within the term. A greater pair is a later attempt. */
export const attemptSchema = z.strictObject({ term: z.number().int(), sequence: z.number().int() })
export type Attempt = z.infer<typeof attemptSchema>

/** Body of the 409 answer to a command with a lower term than the highest that the worker has seen. */
export const STALE_TERM = 'stale term'

/** State of a task on a worker. */
export const taskStateSchema = z.enum(['running', 'finished', 'failed', 'stopped', 'checkpointed', 'leaseLapsed'])
export type TaskState = z.infer<typeof taskStateSchema>

/** Body of `PUT /tasks/{task}`: starts an attempt; repeated with the same attempt it has no further effect. */
export const startTaskSchema = z.object({
  term: z.number().int(),
  attempt: attemptSchema,
  job: z.string(),
  taskIndex: z.number().int(),
  name: z.string(),
  resources: resourcesSchema,
  leaseMilliseconds: z.number().int().positive(),
  runMilliseconds: z.number().int().positive().optional(),
  checkpointable: z.boolean(),
  /** Progress of an earlier attempt from which to resume, in milliseconds of run time. */
  resumeFromMilliseconds: z.number().nonnegative(),
  logicalTime: z.number().int().nonnegative()
})
export type StartTask = z.infer<typeof startTaskSchema>

/** A task as a worker reports it. Usage lags. */
export const reportedTaskSchema = z.object({
  task: z.string(),
  attempt: attemptSchema,
  job: z.string(),
  taskIndex: z.number().int(),
  state: taskStateSchema,
  resources: resourcesSchema,
  usage: resourcesSchema,
  /** Run time kept by the last checkpoint, in milliseconds. */
  checkpointMilliseconds: z.number().nonnegative()
})
export type ReportedTask = z.infer<typeof reportedTaskSchema>

/** Body of `POST /leases`: renews the leases of the named attempts and takes note of the owner's term. */
export const renewLeasesSchema = z.object({
  term: z.number().int(),
  leaseMilliseconds: z.number().int().positive(),
  tasks: z.array(z.object({ task: z.string(), attempt: attemptSchema })),
  /** Ended attempts whose report has arrived; the worker forgets them. */
  acknowledged: z.array(z.object({ task: z.string(), attempt: attemptSchema })),
  logicalTime: z.number().int().nonnegative()
})
export type RenewLeases = z.infer<typeof renewLeasesSchema>

/** Answer to `POST /leases` and `GET /tasks`. */
export const workerReportSchema = z.object({ worker: z.string(), incarnation: z.string(), term: z.number().int(), tasks: z.array(reportedTaskSchema), logicalTime: z.number().int() })
export type WorkerReport = z.infer<typeof workerReportSchema>

/** Answer to a command that was carried out. */
export const commandResponseSchema = z.object({ logicalTime: z.number().int().nonnegative() })

/** Body of `POST /tasks/{task}/{action}`. */
export const taskActionSchema = z.object({ term: z.number().int(), attempt: attemptSchema, throttlePercent: z.number().int().min(0).max(100).optional(), logicalTime: z.number().int().nonnegative() })
export type TaskAction = z.infer<typeof taskActionSchema>
export type TaskActionName = 'stop' | 'checkpoint' | 'throttle'
