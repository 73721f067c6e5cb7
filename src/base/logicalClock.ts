/** Lamport clock: orders events of several processes consistently with causality. */
export class LogicalClock {
  private time = 0

  /** Advances for a local event and returns its logical time. */
  tick (): number {
    this.time += 1
    return this.time
  }

  /** Takes note of a logical time received in a message. */
  observe (received: number): void {
    if (received > this.time) this.time = received
  }

  get now (): number {
    return this.time
  }
}
