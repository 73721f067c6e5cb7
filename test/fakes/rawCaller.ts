import { connect, type Socket } from 'node:net'

/** A caller that writes raw bytes to a connection and records the received bytes. */
export class RawCaller {
  /** All received bytes, as Latin-1 text. */
  received = ''
  /** How the connection ended: closed by the peer (`orderly`) or reset. */
  ended: 'no' | 'orderly' | 'reset' = 'no'
  readonly socket: Socket

  constructor (port: number) {
    this.socket = connect(port, '127.0.0.1')
    this.socket.on('data', data => { this.received += data.toString('latin1') })
    this.socket.on('end', () => { if (this.ended === 'no') this.ended = 'orderly' })
    this.socket.on('error', () => { this.ended = 'reset' })
  }

  write (bytes: string): void {
    this.socket.write(bytes)
  }

  /** Statuses of the received responses. */
  get statuses (): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status))
  }

  /** Number of received responses with the header `connection: close`. */
  get closeHeaderCount (): number {
    return this.received.split(/\r\nconnection: close\r\n/i).length - 1
  }
}

/** Waits for a condition without using timers, so that it also works on a paused clock. */
export async function untilTrue (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve))
}
