/** A greater time would leave the clock no room to count on exactly. */
const MAXIMUM_RECEIVED = 2 ** 52

/** Lamport clock: orders events of several processes consistently with causality. */
export class LogicalClock {
  private time = 0

  /** Advances for a local event and returns its logical time. */
  tick (): number {
    this.time += 1
    return this.time
  }

  /** Takes note of a logical time received in a message. Anything but a whole number that leaves room to count on is ignored. */
  observe (received: number): void {
    if (Number.isSafeInteger(received) && received < MAXIMUM_RECEIVED && received > this.time) this.time = received
  }

  get now (): number {
    return this.time
  }
}
