import { z } from 'zod'
import { resourcesSchema } from './resources.js'

/** Attempt of a task: the owner's term and a number unique within the term. A greater pair is a later attempt. */
export const attemptSchema = z.strictObject({ term: z.number().int(), sequence: z.number().int() })
export type Attempt = z.infer<typeof attemptSchema>

/** Body of the 409 response to a command whose term is lower than the highest that the worker has seen. */
export const STALE_TERM = 'stale term'

/** State of a task on a worker. */
export const taskStateSchema = z.enum(['running', 'finished', 'failed', 'stopped', 'checkpointed', 'leaseLapsed'])
export type TaskState = z.infer<typeof taskStateSchema>

/** Body of `PUT /tasks/{task}`, which starts an attempt and is idempotent for the same attempt. */
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

/** A task as a worker reports it. `usage` lags. */
export const reportedTaskSchema = z.object({
  task: z.string(),
  attempt: attemptSchema,
  job: z.string(),
  taskIndex: z.number().int(),
  state: taskStateSchema,
  resources: resourcesSchema,
  usage: resourcesSchema,
  /** Run time saved by the last checkpoint, in milliseconds. */
  checkpointMilliseconds: z.number().nonnegative()
})
export type ReportedTask = z.infer<typeof reportedTaskSchema>

/** Body of `POST /leases`, which renews the leases of the listed attempts and announces the owner's term. */
export const renewLeasesSchema = z.object({
  term: z.number().int(),
  leaseMilliseconds: z.number().int().positive(),
  tasks: z.array(z.object({ task: z.string(), attempt: attemptSchema })),
  /** Ended attempts whose report the owner has received; the worker deletes them. */
  acknowledged: z.array(z.object({ task: z.string(), attempt: attemptSchema })),
  logicalTime: z.number().int().nonnegative()
})
export type RenewLeases = z.infer<typeof renewLeasesSchema>

/** Response to `POST /leases` and `GET /tasks`. `tasks` lists every attempt that runs, and every ended one that is not acknowledged. */
export const workerReportSchema = z.object({ worker: z.string(), incarnation: z.string(), term: z.number().int(), tasks: z.array(reportedTaskSchema), logicalTime: z.number().int() })
export type WorkerReport = z.infer<typeof workerReportSchema>

/** Response to a command that was carried out. */
export const commandResponseSchema = z.object({ logicalTime: z.number().int().nonnegative() })

/** Body of `POST /tasks/{task}/{action}`. */
export const taskActionSchema = z.object({ term: z.number().int(), attempt: attemptSchema, throttlePercent: z.number().int().min(0).max(100).optional(), logicalTime: z.number().int().nonnegative() })
export type TaskAction = z.infer<typeof taskActionSchema>
export type TaskActionName = 'stop' | 'checkpoint' | 'throttle'
