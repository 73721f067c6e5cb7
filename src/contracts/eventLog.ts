import { Emitter, type Event } from '../base/emitter.js'
import { LogicalClock } from '../base/logicalClock.js'
import type { LineSink } from '../base/logger.js'
import type { EventFields, EventKind, SystemEvent } from './events.js'

/** Writes the events of one process for the timeline, one JSON object per line. */
export class EventLog {
  private readonly didRecord = new Emitter<SystemEvent>()
  /** Fires after an event has been written. */
  readonly onDidRecord: Event<SystemEvent> = this.didRecord.event

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
    this.didRecord.fire(event)
  }

  /** Creates the log of another machine, with a separate clock and the same sink. */
  forMachine (name: string): EventLog {
    return new EventLog(name, this.incarnation, new LogicalClock(), this.sink)
  }
}
