import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { EventLog } from '../contracts/eventLog.js'

/** Services that all stand-ins share. */
export interface StandinContext {
  readonly logger: Logger
  readonly events: EventLog
  readonly random: Random
}
