import { z } from 'zod'

const identifier = z.number().int().nonnegative()

/** Queued work of one priority, in thousandths of a core times milliseconds. */
const queuedWorkSchema = z.object({
  priority: z.number(),
  /** Work of jobs that may still finish within their objective. */
  inTime: z.number(),
  /** Work of jobs that are late and still worth something; it goes after the work in time. */
  late: z.number(),
  /** Work of jobs that have become worth nothing within the last seconds while they waited. */
  overdue: z.number(),
  /** Work of jobs beyond the rate of their organisation that is not overdue; it goes after the work in time and the late work. */
  beyondRate: z.number()
})
export type QueuedWork = z.infer<typeof queuedWorkSchema>

/** An organisation that waits for room, as the active scheduler sees it. */
const organisationBacklogSchema = z.object({
  organisation: z.string(),
  /** Processors that it may have in use at most, in thousandths of a core: its cap, or else the capacity of all workers. */
  limitThousandths: z.number(),
  /** Processors that it has had in use lately, or those of its share by weight if they are more, in thousandths of a core. */
  servedThousandths: z.number(),
  /** Jobs a second that it may submit; 0 means no limit. */
  rate: z.number(),
  /** Time in which the spent part of its rate becomes available again, in milliseconds. */
  spentMilliseconds: z.number(),
  queued: z.array(queuedWorkSchema),
  /** Work of refused callers that are due back. */
  returning: z.array(queuedWorkSchema)
})
export type OrganisationBacklog = z.infer<typeof organisationBacklogSchema>

/** What a job asks of its organisation. */
const jobDemandSchema = z.object({
  /** Priority of its queue; 0 is the most urgent. */
  priority: z.number(),
  /** In thousandths of a core times milliseconds. */
  work: z.number(),
  /** Shortest time from its first start to its end, in milliseconds. */
  criticalPathMilliseconds: z.number(),
  /** Time from its submission within which it earns its full benefit, in milliseconds. */
  objectiveMilliseconds: z.number()
})
export type JobDemand = z.infer<typeof jobDemandSchema>

/** Messages between an instance and the active scheduler. Both sides send `hello` first, and again when it changes. Every request carries an id, which its reply repeats. */
export const clusterMessageSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('hello'), instance: z.string(), incarnation: z.string(), /** In cores. */ processorShare: z.number(), /** Bandwidth of the instance's own link, in megabits per second. */ linkMegabits: z.number().default(Infinity), /** Whether the sender reads `backlogSummary`; earlier versions close the link at it. */ readsBacklog: z.boolean().optional() }),
  /** The active scheduler cannot write to the log; the receiver should claim the role if it can. */
  z.object({ type: z.literal('roleOffer'), incarnation: z.string() }),
  z.object({ type: z.literal('stateQuestion'), id: identifier, job: z.string(), /** Whether an unknown job must be looked up in the log; absent in questions of earlier versions. */ isCurrent: z.boolean().optional() }),
  z.object({ type: z.literal('waitingQuestion'), id: identifier, queue: z.string() }),
  z.object({ type: z.literal('eligibilityQuestion'), id: identifier, step: z.string(), workers: z.array(z.string()), timeoutMilliseconds: z.number() }),
  /** From the active scheduler, for decisions on admission: the organisations that wait for room. */
  z.object({ type: z.literal('backlogSummary'), term: z.number(), organisations: z.array(organisationBacklogSchema) }),
  /** Asks whether a job that the sender would refuse is to be refused. */
  z.object({ type: z.literal('admissionQuestion'), id: identifier, job: z.string(), organisation: z.string(), demand: jobDemandSchema }),
  z.object({ type: z.literal('admissionReply'), id: identifier, state: z.string(), organisation: z.string().optional(), refusal: z.enum(['none', 'unservable', 'beyondRate']), /** Time after which the caller should return, in milliseconds. */ returnMilliseconds: z.number() }),
  z.object({ type: z.literal('stateReply'), id: identifier, state: z.string(), /** Organisation of the job; absent if it has none, and in replies of earlier versions. */ organisation: z.string().optional() }),
  z.object({ type: z.literal('waitingReply'), id: identifier, waiting: z.number().int() }),
  z.object({ type: z.literal('eligibilityReply'), id: identifier, reason: z.string(), workers: z.array(z.tuple([z.string(), z.string()])), validMilliseconds: z.number() })
])
export type ClusterMessage = z.infer<typeof clusterMessageSchema>
export type ClusterReply = Extract<ClusterMessage, { type: 'stateReply' | 'waitingReply' | 'eligibilityReply' | 'admissionReply' }>
export type BacklogSummary = Extract<ClusterMessage, { type: 'backlogSummary' }>
/** Decision of the active scheduler on a job, with the state of the job if it is stored already. */
export type AdmissionReply = Omit<Extract<ClusterMessage, { type: 'admissionReply' }>, 'type' | 'id'>
/** A request before its id is assigned. */
export type ClusterRequest =
  | { readonly type: 'stateQuestion', readonly job: string, readonly isCurrent?: boolean }
  | { readonly type: 'waitingQuestion', readonly queue: string }
  | { readonly type: 'eligibilityQuestion', readonly step: string, readonly workers: readonly string[], readonly timeoutMilliseconds: number }
  | { readonly type: 'admissionQuestion', readonly job: string, readonly organisation: string, readonly demand: JobDemand }
