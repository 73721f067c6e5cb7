import type { SlotGrant, SlotUse } from '../contracts/linkMessages.js'

interface HeldSlots {
  granted: number
  connections: number
  inFlight: number
  /** Connections that are open, opening or closing. */
  open: number
}

/** Grants as they arrive from the owner. */
export interface ReceivedGrants {
  readonly sequence: number
  readonly answersReport: number
  readonly validMilliseconds: number
  readonly grants: readonly SlotGrant[]
}

/** Shortest and longest time between reports that ask for slots for urgent requests; it doubles while they bring none. */
const SHORTEST_ASKING_MILLISECONDS = 5
const LONGEST_ASKING_MILLISECONDS = 20
/** Time between reports that ask for slots for other requests. */
const LESS_URGENT_ASKING_MILLISECONDS = 100
/** Reports whose time is remembered, so that a late grant can be dated. */
const REMEMBERED_REPORTS = 1000

/** Slots and connections that this entry instance holds on the executors of its failure domain. Times are monotonic milliseconds. */
export class SlotHolder {
  private readonly held = new Map<string, HeldSlots>()
  private readonly reportTimes = new Map<number, number>()
  private reportSequence = 0
  private appliedGrant = -1
  private validUntil = -Infinity
  private returned = false
  private owesReport = false
  private lastReportAt = -Infinity
  private askingPeriod = SHORTEST_ASKING_MILLISECONDS

  /** Grant sequence that was applied last. */
  get appliedSequence (): number {
    return this.appliedGrant
  }

  /** Whether a slot has become free that the owner wants to grant to another holder, so that it should be told at once. */
  get hasSlotsToRelease (): boolean {
    return this.owesReport
  }

  /** Whether waiting requests are a reason to report now. */
  isDemandReportDue (urgentWaits: boolean, now: number): boolean {
    return now - this.lastReportAt >= (urgentWaits ? this.askingPeriod : LESS_URGENT_ASKING_MILLISECONDS)
  }

  /** Notes that a report is about to be sent and returns its sequence and content. */
  startReport (now: number): { sequence: number, uses: SlotUse[] } {
    this.reportSequence += 1
    this.owesReport = false
    this.lastReportAt = now
    this.reportTimes.set(this.reportSequence, now)
    this.reportTimes.delete(this.reportSequence - REMEMBERED_REPORTS)
    const expired = now >= this.validUntil
    const uses = [...this.held].map(([executor, slots]) => ({
      executor,
      held: expired ? 0 : slots.granted,
      inFlight: slots.inFlight,
      connections: Math.max(slots.open, expired ? 0 : slots.connections)
    }))
    return { sequence: this.reportSequence, uses }
  }

  /** Applies grants; returns false for those that answer an unknown report or are not newer than the applied ones, and after `returnAll`. */
  applyGrants (message: ReceivedGrants): boolean {
    const reportedAt = this.reportTimes.get(message.answersReport)
    if (reportedAt === undefined || message.sequence <= this.appliedGrant || this.returned) return false
    this.appliedGrant = message.sequence
    this.validUntil = reportedAt + message.validMilliseconds
    const before = new Map([...this.held].map(([executor, slots]) => [executor, slots.granted]))
    for (const slots of this.held.values()) {
      slots.granted = 0
      slots.connections = 0
    }
    for (const grant of message.grants) {
      const slots = this.entry(grant.executor)
      slots.granted = grant.slots
      slots.connections = grant.connections
    }
    const gained = [...this.held].some(([executor, slots]) => slots.granted > (before.get(executor) ?? 0))
    this.askingPeriod = gained ? SHORTEST_ASKING_MILLISECONDS : Math.min(LONGEST_ASKING_MILLISECONDS, this.askingPeriod * 2)
    for (const [executor, slots] of this.held) {
      if (slots.granted < (before.get(executor) ?? 0) && slots.inFlight < (before.get(executor) ?? 0)) this.owesReport = true
    }
    this.forgetUnused()
    return true
  }

  /** Forgets the sequence of an earlier owner's grants, which remain valid until their end. */
  onOwnerChanged (): void {
    this.reportTimes.clear()
    this.appliedGrant = -1
  }

  /** Gives every grant back for good, on a planned stop. What is in flight keeps counting until it has ended. */
  returnAll (): void {
    this.returned = true
    for (const slots of this.held.values()) {
      slots.granted = 0
      slots.connections = 0
    }
    this.forgetUnused()
  }

  /** Free slots on an executor; 0 once the grants have ended. */
  free (executor: string, now: number): number {
    if (now >= this.validUntil) return 0
    const slots = this.held.get(executor)
    return slots === undefined ? 0 : Math.max(0, slots.granted - slots.inFlight)
  }

  /** Whether a slot of any executor is held. */
  holdsSlots (now: number): boolean {
    return now < this.validUntil && [...this.held.values()].some(slots => slots.granted > 0)
  }

  /** Connections that may be open to an executor; 0 once the grants have ended. */
  connections (executor: string, now: number): number {
    return now >= this.validUntil ? 0 : this.held.get(executor)?.connections ?? 0
  }

  inFlight (executor: string): number {
    return this.held.get(executor)?.inFlight ?? 0
  }

  /** Takes a slot; returns false if none is held any more. */
  acquire (executor: string, now: number): boolean {
    if (this.free(executor, now) === 0) return false
    this.entry(executor).inFlight += 1
    return true
  }

  /**
   * Whether a request that has acquired a slot may start. To be asked right before bytes go out, since the grants may
   * end while a connection is opened. A grant that was only lowered meanwhile is no obstacle: reports count the slot.
   */
  mayStart (now: number): boolean {
    return now < this.validUntil
  }

  /** Gives a slot back once the request is known to have ended. */
  release (executor: string): void {
    const slots = this.held.get(executor)
    if (slots === undefined || slots.inFlight === 0) return
    if (slots.inFlight > slots.granted) this.owesReport = true
    slots.inFlight -= 1
    this.forgetUnused()
  }

  /** Notes how many connections to an executor are open, opening or closing. */
  setOpenConnections (executor: string, open: number): void {
    this.entry(executor).open = open
    this.forgetUnused()
  }

  private entry (executor: string): HeldSlots {
    const slots = this.held.get(executor) ?? { granted: 0, connections: 0, inFlight: 0, open: 0 }
    this.held.set(executor, slots)
    return slots
  }

  private forgetUnused (): void {
    for (const [executor, slots] of this.held) {
      if (slots.granted === 0 && slots.connections === 0 && slots.inFlight === 0 && slots.open === 0) this.held.delete(executor)
    }
  }
}
