import { z } from 'zod'

/** Kinds of events on the timeline. `callerAnswered` is recorded by the load tool, `executorStarted`, `executorEnded`, `leaseLapsed` and `faultSwitched` by stand-ins. */
export const EVENT_KINDS = [
  'instanceStarted', 'instanceReady', 'instanceStopping', 'instanceStopped',
  'configurationPublished', 'configurationRefused', 'configurationInForce',
  'ownershipClaimed', 'ownershipLost', 'ownershipTaken', 'ownershipExtended', 'ownershipReleased',
  'linkOpened', 'linkClosed',
  'requestAccepted', 'requestDispatched', 'requestRetried', 'requestForwarded', 'requestAnswered', 'requestRefused', 'requestFailed', 'callerAnswered',
  'executorStarted', 'executorEnded',
  'jobSubmitted', 'jobAccepted', 'jobPlaced', 'jobEnded', 'jobCancelRequested',
  'taskStarting', 'taskStarted', 'taskEnded', 'taskLost', 'taskPreempted', 'taskThrottled', 'leaseLapsed',
  'workerQuarantined', 'workerReleased',
  'faultSwitched'
] as const

/** One event, written as a JSON line. `logicalTime` is a Lamport time, so that causes sort before effects. */
export const eventSchema = z.object({
  type: z.literal('event'),
  kind: z.enum(EVENT_KINDS),
  process: z.string(),
  incarnation: z.string(),
  logicalTime: z.number().int(),
  time: z.string(),
  failureDomain: z.string().optional(),
  request: z.string().optional(),
  job: z.string().optional(),
  task: z.string().optional(),
  worker: z.string().optional(),
  executor: z.string().optional(),
  service: z.string().optional(),
  urgency: z.string().optional(),
  peer: z.string().optional(),
  term: z.number().optional(),
  revision: z.number().optional(),
  /** Stable code and verdict of an error, or another detail that distinguishes the event. */
  detail: z.string().optional(),
  reason: z.string().optional()
})
export type SystemEvent = z.infer<typeof eventSchema>
export type EventKind = SystemEvent['kind']
export type EventFields = Omit<SystemEvent, 'type' | 'kind' | 'process' | 'incarnation' | 'logicalTime' | 'time'>
