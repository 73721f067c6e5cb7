import { connect, type Socket } from 'node:net'

/** A caller that writes bytes to a connection and keeps what comes back. */
export class RawCaller {
  /** What has come back. */
  received = ''
  /** How the connection ended: by an orderly end of the peer, or by a reset. */
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

  /** Statuses of the answers that have come back. */
  get statuses (): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status))
  }

  /** Answers that announce the end of the connection. */
  get closeHeaderCount (): number {
    return this.received.split(/\r\nconnection: close\r\n/i).length - 1
  }
}

/** Waits for a condition without the clock, so that it may be paused. */
export async function untilTrue (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve))
}
