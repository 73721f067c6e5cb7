import { z } from 'zod'

const identifier = z.number().int().nonnegative()

/** Messages between an instance and the active scheduler. Both sides send `hello` first. Every request carries an id, which its reply repeats. */
export const clusterMessageSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('hello'), instance: z.string(), incarnation: z.string(), /** In cores. */ processorShare: z.number(), /** Bandwidth of the instance's own link, in megabits per second. */ linkMegabits: z.number().default(Infinity) }),
  /** The active scheduler cannot write to the log; the receiver should claim the role if it can. */
  z.object({ type: z.literal('roleOffer'), incarnation: z.string() }),
  z.object({ type: z.literal('stateQuestion'), id: identifier, job: z.string() }),
  z.object({ type: z.literal('waitingQuestion'), id: identifier, queue: z.string() }),
  z.object({ type: z.literal('eligibilityQuestion'), id: identifier, step: z.string(), workers: z.array(z.string()), timeoutMilliseconds: z.number() }),
  z.object({ type: z.literal('stateReply'), id: identifier, state: z.string(), /** Organisation of the job; absent if it has none, and in replies of earlier versions. */ organisation: z.string().optional() }),
  z.object({ type: z.literal('waitingReply'), id: identifier, waiting: z.number().int() }),
  z.object({ type: z.literal('eligibilityReply'), id: identifier, reason: z.string(), workers: z.array(z.tuple([z.string(), z.string()])), validMilliseconds: z.number() })
])
export type ClusterMessage = z.infer<typeof clusterMessageSchema>
export type ClusterReply = Extract<ClusterMessage, { type: 'stateReply' | 'waitingReply' | 'eligibilityReply' }>
/** A request before its id is assigned. */
export type ClusterRequest =
  | { readonly type: 'stateQuestion', readonly job: string }
  | { readonly type: 'waitingQuestion', readonly queue: string }
  | { readonly type: 'eligibilityQuestion', readonly step: string, readonly workers: readonly string[], readonly timeoutMilliseconds: number }
