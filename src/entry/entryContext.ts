import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { EventLog } from '../contracts/eventLog.js'
import type { EntrySettings } from '../contracts/settings.js'

/** What every task of an entry instance is handed. */
export interface EntryContext {
  readonly settings: EntrySettings
  /** Random identity of this process start. */
  readonly incarnation: string
  readonly logger: Logger
  readonly events: EventLog
  readonly random: Random
}

/** Monotonic time of the runtime's clock in milliseconds. */
export function monotonicNow (): number {
  return performance.now()
}
