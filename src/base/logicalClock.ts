/** Exclusive upper bound of a received time. Integers above 2 ** 53 are not exact, so a greater time could keep the clock from advancing. */
const RECEIVED_TIME_LIMIT = 2 ** 52

/** Lamport clock: orders events of several processes consistently with causality. */
export class LogicalClock {
  private time = 0

  /** Advances for a local event and returns its logical time. */
  tick (): number {
    this.time += 1
    return this.time
  }

  /** Advances the clock to a logical time received in a message. Values that are not safe integers below the limit are ignored. */
  observe (received: number): void {
    if (Number.isSafeInteger(received) && received < RECEIVED_TIME_LIMIT && received > this.time) this.time = received
  }

  get now (): number {
    return this.time
  }
}
