import { z } from 'zod'
import { resourcesSchema } from './resources.js'
import { attemptSchema, taskStateSchema } from './workerProtocol.js'

/** Response to `GET /standin/ran`: the requests and tasks that the stand-ins of executors and workers ran. Times are monotonic milliseconds of the stand-in's process. */
export const standinLedgerSchema = z.object({
  executors: z.array(z.object({
    name: z.string(),
    slots: z.number().int(),
    connections: z.number().int(),
    /** Maximum number of requests that ran concurrently. */
    maximumConcurrent: z.number().int(),
    maximumConnections: z.number().int(),
    runs: z.array(z.object({ request: z.string(), key: z.string().optional(), method: z.string(), path: z.string() }))
  })),
  workers: z.array(z.object({
    name: z.string(),
    capacity: resourcesSchema,
    mostUsed: resourcesSchema,
    /** Number of starts after which the running tasks exceeded the capacity. */
    overcommittedStarts: z.number().int(),
    runs: z.array(z.object({ task: z.string(), job: z.string(), attempt: attemptSchema, startedAt: z.number(), endedAt: z.number().optional(), state: taskStateSchema }))
  })),
  appends: z.number().int()
})
export type StandinLedger = z.infer<typeof standinLedgerSchema>
