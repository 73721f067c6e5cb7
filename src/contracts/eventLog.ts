import type { LogicalClock } from '../base/logicalClock.js'
import type { LineSink } from '../base/logger.js'
import type { EventFields, EventKind, SystemEvent } from './events.js'

/** Writes the events of one process for the time line, one JSON object a line. */
export class EventLog {
  constructor (
    private readonly process: string,
    private readonly incarnation: string,
    readonly clock: LogicalClock,
    private readonly sink: LineSink
  ) {}

  record (kind: EventKind, fields: EventFields = {}): void {
    const event: SystemEvent = {
      type: 'event',
      kind,
      process: this.process,
      incarnation: this.incarnation,
      logicalTime: this.clock.tick(),
      time: new Date().toISOString(),
      ...fields
    }
    this.sink(JSON.stringify(event))
  }
}
