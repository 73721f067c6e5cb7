import { z } from 'zod'
import { recordSchema } from './records.js'

/** Response to `POST /streams/{stream}/records`. */
export const appendResponseSchema = z.object({ firstOffset: z.number().int(), nextOffset: z.number().int() })
export type AppendResponse = z.infer<typeof appendResponseSchema>

/** Body of `POST /streams/{stream}/records`. */
export const appendRequestSchema = z.object({ records: z.array(recordSchema).min(1).max(1000) })

/** Response to `GET /streams/{stream}/records`. `retainedFrom` is the oldest retained offset. */
export const readResponseSchema = z.object({
  retainedFrom: z.number().int(),
  nextOffset: z.number().int(),
  records: z.array(z.object({ offset: z.number().int(), record: recordSchema }))
})
export type ReadResponse = z.infer<typeof readResponseSchema>

const commonFields = { name: z.string(), failureDomain: z.string(), address: z.string(), state: z.enum(['live', 'leaving']) }

/** One machine of the platform's list of live and leaving instances. `address` is an HTTP origin, or the WebSocket origin of the links of an entry instance. */
export const listedInstanceSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('entry'), ...commonFields, callerAddress: z.string() }),
  z.object({ kind: z.literal('executor'), ...commonFields, pool: z.string() }),
  z.object({ kind: z.literal('worker'), ...commonFields, pool: z.string(), rack: z.string() })
])
export type ListedInstance = z.infer<typeof listedInstanceSchema>

/** Response to `GET /instances`. Other writers may leave entries of any content in the list: each is decoded by itself with `listedInstanceSchema`. */
export const instancesResponseSchema = z.object({ instances: z.array(z.unknown()) })
