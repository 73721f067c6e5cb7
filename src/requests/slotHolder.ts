import type { SlotGrant, SlotUse } from '../contracts/linkMessages.js'

interface HeldSlots {
  granted: number
  connections: number
  inFlight: number
  /** Connections that are open, opening or closing. */
  openConnections: number
}

/** Grants received from the owner. */
export interface ReceivedGrants {
  readonly sequence: number
  readonly answersReport: number
  readonly validMilliseconds: number
  readonly grants: readonly SlotGrant[]
}

/** Bounds on the interval of reports that request slots for urgent requests. The interval doubles while reports gain no slots. */
const MINIMUM_URGENT_REPORT_INTERVAL_MILLISECONDS = 5
const MAXIMUM_URGENT_REPORT_INTERVAL_MILLISECONDS = 20
/** Interval of reports that request slots for less urgent requests. */
const LESS_URGENT_REPORT_INTERVAL_MILLISECONDS = 100
/** Number of reports whose start time is kept, from which the validity of a late grant is counted. */
const MAXIMUM_REPORT_TIMES = 1000

/** Slots and connections that this entry instance holds on the executors of its failure domain. Times are monotonic milliseconds. */
export class SlotHolder {
  private readonly held = new Map<string, HeldSlots>()
  private readonly reportTimes = new Map<number, number>()
  private reportSequence = 0
  private lastAppliedSequence = -1
  private validUntil = -Infinity
  private hasReturnedAll = false
  private releaseReportDue = false
  private lastReportAt = -Infinity
  private urgentReportInterval = MINIMUM_URGENT_REPORT_INTERVAL_MILLISECONDS

  /** Sequence number of the grants that were applied last. */
  get appliedSequence (): number {
    return this.lastAppliedSequence
  }

  /** Whether a slot that the owner has revoked has become free, which should be reported at once because the owner grants it to another holder. */
  get hasSlotsToRelease (): boolean {
    return this.releaseReportDue
  }

  /** Returns whether the demand of waiting requests should be reported before the next regular report. */
  isDemandReportDue (hasUrgentWaiting: boolean, now: number): boolean {
    return now - this.lastReportAt >= (hasUrgentWaiting ? this.urgentReportInterval : LESS_URGENT_REPORT_INTERVAL_MILLISECONDS)
  }

  /** Starts a report and returns its sequence number and content. */
  startReport (now: number): { sequence: number, uses: SlotUse[] } {
    this.reportSequence += 1
    this.releaseReportDue = false
    this.lastReportAt = now
    this.reportTimes.set(this.reportSequence, now)
    this.reportTimes.delete(this.reportSequence - MAXIMUM_REPORT_TIMES)
    const expired = now >= this.validUntil
    const uses = [...this.held].map(([executor, slots]) => ({
      executor,
      held: expired ? 0 : slots.granted,
      inFlight: slots.inFlight,
      connections: Math.max(slots.openConnections, expired ? 0 : slots.connections)
    }))
    return { sequence: this.reportSequence, uses }
  }

  /** Applies grants. Returns false if they respond to an unknown report, are not newer than the applied ones, or arrive after `returnAll`. */
  applyGrants (message: ReceivedGrants): boolean {
    const reportedAt = this.reportTimes.get(message.answersReport)
    if (reportedAt === undefined || message.sequence <= this.lastAppliedSequence || this.hasReturnedAll) return false
    this.lastAppliedSequence = message.sequence
    this.validUntil = reportedAt + message.validMilliseconds
    const previous = new Map([...this.held].map(([executor, slots]) => [executor, slots.granted]))
    for (const slots of this.held.values()) {
      slots.granted = 0
      slots.connections = 0
    }
    for (const grant of message.grants) {
      const slots = this.getOrCreate(grant.executor)
      slots.granted = grant.slots
      slots.connections = grant.connections
    }
    const gained = [...this.held].some(([executor, slots]) => slots.granted > (previous.get(executor) ?? 0))
    this.urgentReportInterval = gained ? MINIMUM_URGENT_REPORT_INTERVAL_MILLISECONDS : Math.min(MAXIMUM_URGENT_REPORT_INTERVAL_MILLISECONDS, this.urgentReportInterval * 2)
    for (const [executor, slots] of this.held) {
      if (slots.granted < (previous.get(executor) ?? 0) && slots.inFlight < (previous.get(executor) ?? 0)) this.releaseReportDue = true
    }
    this.removeUnused()
    return true
  }

  /** Resets the sequence numbers for a new owner. Grants of the earlier owner remain valid until they expire. */
  onOwnerChanged (): void {
    this.reportTimes.clear()
    this.lastAppliedSequence = -1
  }

  /** Returns all grants for good, on a graceful shutdown. Requests in flight are still reported until they have ended. */
  returnAll (): void {
    this.hasReturnedAll = true
    for (const slots of this.held.values()) {
      slots.granted = 0
      slots.connections = 0
    }
    this.removeUnused()
  }

  /** Returns the number of free slots on an executor; 0 once the grants have expired. */
  free (executor: string, now: number): number {
    if (now >= this.validUntil) return 0
    const slots = this.held.get(executor)
    return slots === undefined ? 0 : Math.max(0, slots.granted - slots.inFlight)
  }

  /** Returns whether a slot of any executor is held. */
  holdsSlots (now: number): boolean {
    return now < this.validUntil && [...this.held.values()].some(slots => slots.granted > 0)
  }

  /** Returns how many connections to an executor may be open; 0 once the grants have expired. */
  connections (executor: string, now: number): number {
    return now >= this.validUntil ? 0 : this.held.get(executor)?.connections ?? 0
  }

  inFlight (executor: string): number {
    return this.held.get(executor)?.inFlight ?? 0
  }

  /** Acquires a slot; returns false if none is free. */
  acquire (executor: string, now: number): boolean {
    if (this.free(executor, now) === 0) return false
    this.getOrCreate(executor).inFlight += 1
    return true
  }

  /**
   * Returns whether a request that has acquired a slot may be sent. Must be checked right before the first byte is written,
   * because the grants may expire while a connection is opened. A grant that was only lowered meanwhile does not prevent
   * the request: reports count its slot as in flight.
   */
  mayStart (now: number): boolean {
    return now < this.validUntil
  }

  /** Releases a slot once its request is known to have ended. */
  release (executor: string): void {
    const slots = this.held.get(executor)
    if (slots === undefined || slots.inFlight === 0) return
    if (slots.inFlight > slots.granted) this.releaseReportDue = true
    slots.inFlight -= 1
    this.removeUnused()
  }

  /** Sets the number of connections to an executor that are open, opening or closing. */
  setOpenConnections (executor: string, open: number): void {
    this.getOrCreate(executor).openConnections = open
    this.removeUnused()
  }

  private getOrCreate (executor: string): HeldSlots {
    const slots = this.held.get(executor) ?? { granted: 0, connections: 0, inFlight: 0, openConnections: 0 }
    this.held.set(executor, slots)
    return slots
  }

  private removeUnused (): void {
    for (const [executor, slots] of this.held) {
      if (slots.granted === 0 && slots.connections === 0 && slots.inFlight === 0 && slots.openConnections === 0) this.held.delete(executor)
    }
  }
}
