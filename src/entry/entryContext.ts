import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { EventLog } from '../contracts/eventLog.js'
import type { EntrySettings } from '../contracts/settings.js'

/** Dependencies shared by the tasks of an entry instance. */
export interface EntryContext {
  readonly settings: EntrySettings
  /** Random identity, generated at each start of the process. */
  readonly incarnation: string
  readonly logger: Logger
  readonly events: EventLog
  readonly random: Random
}

/** Time of the monotonic clock in milliseconds. */
export function monotonicNow (): number {
  return performance.now()
}
