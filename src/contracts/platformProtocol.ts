import { z } from 'zod'
import { recordSchema } from './records.js'

/** Answer to `POST /streams/{stream}/records`. */
export const appendResponseSchema = z.object({ firstOffset: z.number().int(), nextOffset: z.number().int() })
export type AppendResponse = z.infer<typeof appendResponseSchema>

/** Body of `POST /streams/{stream}/records`. */
export const appendRequestSchema = z.object({ records: z.array(recordSchema).min(1).max(1000) })

/** Answer to `GET /streams/{stream}/records`. `retainedFrom` is the oldest offset still kept. */
export const readResponseSchema = z.object({
  retainedFrom: z.number().int(),
  nextOffset: z.number().int(),
  records: z.array(z.object({ offset: z.number().int(), record: recordSchema }))
})
export type ReadResponse = z.infer<typeof readResponseSchema>

const place = { name: z.string(), failureDomain: z.string(), address: z.string(), state: z.enum(['live', 'leaving']) }

/** One machine of the platform's list of live and leaving instances. `address` is an http origin; for an entry instance a ws origin of its links. */
export const listedInstanceSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('entry'), ...place, callerAddress: z.string() }),
  z.object({ kind: z.literal('executor'), ...place, pool: z.string() }),
  z.object({ kind: z.literal('worker'), ...place, pool: z.string(), rack: z.string() })
])
export type ListedInstance = z.infer<typeof listedInstanceSchema>

/** Answer to `GET /instances`. */
export const instancesResponseSchema = z.object({ instances: z.array(listedInstanceSchema) })
