import type { LinkMessageOf, SlotGrant, SlotUse } from '../contracts/linkMessages.js'

interface HeldSlots {
  granted: number
  connections: number
  inFlight: number
}

/** Slots that this entry instance holds on the executors of its failure domain. Times are monotonic milliseconds. */
export class SlotHolder {
  private readonly held = new Map<string, HeldSlots>()
  private readonly reportTimes = new Map<number, number>()
  private reportSequence = 0
  private appliedGrant = -1
  private validUntil = -Infinity

  /** Grant sequence that was applied last. */
  get appliedSequence (): number {
    return this.appliedGrant
  }

  /** Notes that a report is about to be sent and returns its sequence and content. */
  startReport (now: number): { sequence: number, uses: SlotUse[] } {
    this.reportSequence += 1
    this.reportTimes.set(this.reportSequence, now)
    this.reportTimes.delete(this.reportSequence - 100)
    const expired = now >= this.validUntil
    const uses = [...this.held].map(([executor, slots]) => ({ executor, held: expired ? 0 : slots.granted, inFlight: slots.inFlight }))
    return { sequence: this.reportSequence, uses }
  }

  /** Applies grants; returns false for those that answer an unknown report or are older than the applied ones. */
  applyGrants (message: Pick<LinkMessageOf<'slotGrants'>, 'sequence' | 'answersReport' | 'validMilliseconds' | 'grants'>): boolean {
    const reportedAt = this.reportTimes.get(message.answersReport)
    if (reportedAt === undefined) return false
    this.appliedGrant = message.sequence
    this.validUntil = reportedAt + message.validMilliseconds
    for (const slots of this.held.values()) slots.granted = 0
    for (const grant of message.grants) this.applyGrant(grant)
    for (const [executor, slots] of this.held) {
      if (slots.granted === 0 && slots.inFlight === 0) this.held.delete(executor)
    }
    return true
  }

  /** Forgets the sequence of an earlier owner's grants, which remain valid until their end. */
  onOwnerChanged (): void {
    this.reportTimes.clear()
    this.appliedGrant = -1
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

  connections (executor: string): number {
    return Math.max(1, this.held.get(executor)?.connections ?? 1)
  }

  inFlight (executor: string): number {
    return this.held.get(executor)?.inFlight ?? 0
  }

  /** Takes a slot. To be called right before bytes go out; returns false if none is held any more. */
  acquire (executor: string, now: number): boolean {
    if (this.free(executor, now) === 0) return false
    const slots = this.held.get(executor) as HeldSlots
    slots.inFlight += 1
    return true
  }

  /** Gives a slot back once the request is known to have ended. */
  release (executor: string): void {
    const slots = this.held.get(executor)
    if (slots !== undefined && slots.inFlight > 0) slots.inFlight -= 1
  }

  private applyGrant (grant: SlotGrant): void {
    const slots = this.held.get(grant.executor) ?? { granted: 0, connections: 1, inFlight: 0 }
    slots.granted = grant.slots
    slots.connections = grant.connections
    this.held.set(grant.executor, slots)
  }
}
