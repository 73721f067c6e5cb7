import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { EventLog } from '../contracts/eventLog.js'

/** Dependencies passed to every stand-in. */
export interface StandinContext {
  readonly logger: Logger
  readonly events: EventLog
  readonly random: Random
}
