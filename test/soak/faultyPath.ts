import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { LOOPBACK } from './loopbackStandin.js'

/**
 * Fault of a path. `cutRequests` drops the bytes to the target, `cutResponses` the bytes from it, `silent` both. A connection on
 * which bytes were dropped stays silent after the fault has ended, until one side closes it.
 */
export type PathFault = 'none' | 'slow' | 'late' | 'cutRequests' | 'cutResponses' | 'silent' | 'reset'

/** One-way delays in milliseconds. Calls on a `late` path arrive after their timeouts. */
const DELAYS_MILLISECONDS: Readonly<Partial<Record<PathFault, number>>> = { slow: 120, late: 2500 }
const CUTS_REQUESTS: ReadonlySet<PathFault> = new Set(['cutRequests', 'silent'])
const CUTS_RESPONSES: ReadonlySet<PathFault> = new Set(['cutResponses', 'silent'])

/** A TCP proxy to one address that delays or drops bytes, or resets connections. */
export class FaultyPath {
  private readonly sockets = new Set<Socket>()
  private readonly server = createServer({ allowHalfOpen: true }, client => this.open(client))
  private current: PathFault = 'none'
  private listeningAddress = ''

  /** `target` is an address as host:port. */
  constructor (private readonly target: string) {}

  /** The proxy's address as host:port; empty until it listens. */
  get address (): string {
    return this.listeningAddress
  }

  setFault (fault: PathFault): void {
    this.current = fault
    if (fault === 'reset') this.resetAll()
  }

  async listen (): Promise<this> {
    await new Promise<void>(resolve => this.server.listen(0, LOOPBACK, () => resolve()))
    this.listeningAddress = `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`
    return this
  }

  /** Resets all connections, as when the process at the target exits. */
  resetAll (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  dispose (): void {
    this.resetAll()
    this.server.close()
  }

  private open (client: Socket): void {
    if (this.current === 'reset') {
      client.on('error', () => {}) // The peer may have reset the connection first.
      client.resetAndDestroy()
      return
    }
    const separator = this.target.lastIndexOf(':')
    const target = connect({ host: this.target.slice(0, separator), port: Number(this.target.slice(separator + 1)), allowHalfOpen: true, noDelay: true })
    client.setNoDelay(true)
    this.forward(client, target, CUTS_REQUESTS)
    this.forward(target, client, CUTS_RESPONSES)
  }

  private forward (from: Socket, to: Socket, cuts: ReadonlySet<PathFault>): void {
    let isCut = false
    let latestAt = 0
    const schedule = (action: () => void): void => {
      isCut ||= cuts.has(this.current)
      if (isCut) return
      const now = performance.now()
      latestAt = Math.max(latestAt, now + (DELAYS_MILLISECONDS[this.current] ?? 0))
      if (latestAt <= now) action()
      else setTimeout(action, latestAt - now)
    }
    this.sockets.add(from)
    from.on('data', chunk => schedule(() => { if (!to.destroyed) to.write(chunk) }))
    from.on('end', () => schedule(() => to.end()))
    from.on('error', () => schedule(() => to.resetAndDestroy()))
    from.on('close', () => {
      this.sockets.delete(from)
      schedule(() => to.destroy())
    })
  }
}
