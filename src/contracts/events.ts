import { z } from 'zod'

/** Kinds of events on the time line. */
export const EVENT_KINDS = [
  'instanceStarted', 'instanceReady', 'instanceStopping', 'instanceStopped',
  'configurationPublished', 'configurationRefused', 'configurationInForce',
  'ownershipClaimed', 'ownershipLost', 'ownershipTaken', 'ownershipExtended', 'ownershipReleased',
  'linkOpened', 'linkClosed',
  'requestAccepted', 'requestDispatched', 'requestRetried', 'requestForwarded', 'requestAnswered', 'requestRefused', 'requestFailed',
  'executorStarted', 'executorEnded',
  'jobAccepted', 'jobPlaced', 'jobEnded', 'jobCancelRequested',
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
  peer: z.string().optional(),
  term: z.number().optional(),
  revision: z.number().optional(),
  detail: z.string().optional()
})
export type SystemEvent = z.infer<typeof eventSchema>
export type EventKind = SystemEvent['kind']
export type EventFields = Omit<SystemEvent, 'type' | 'kind' | 'process' | 'incarnation' | 'logicalTime' | 'time'>
