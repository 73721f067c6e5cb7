import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { EventLog } from '../contracts/eventLog.js'

/** What every stand-in is handed. */
export interface StandinContext {
  readonly logger: Logger
  readonly events: EventLog
  readonly random: Random
}
