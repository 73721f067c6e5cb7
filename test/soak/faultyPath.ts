import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { LOOPBACK } from './loopbackStandin.js'

/** How a path treats bytes. A connection that was cut stays silent after the path has healed, until one side gives it up. */
export type PathFault = 'none' | 'slow' | 'late' | 'cutThere' | 'cutBack' | 'silent' | 'reset'

/** Time that bytes take in one direction, in milliseconds: a slow path, and one whose calls arrive after their time limits. */
const DELAYS_MILLISECONDS: Readonly<Partial<Record<PathFault, number>>> = { slow: 120, late: 2500 }
const CUTS_THERE: ReadonlySet<PathFault> = new Set(['cutThere', 'silent'])
const CUTS_BACK: ReadonlySet<PathFault> = new Set(['cutBack', 'silent'])

/** A TCP proxy to one address that delays, resets, cuts or silences connections. */
export class FaultyPath {
  private readonly sockets = new Set<Socket>()
  private readonly server = createServer({ allowHalfOpen: true }, client => this.open(client))
  private current: PathFault = 'none'
  private listening = ''

  /** `target`: host:port. */
  constructor (private readonly target: string) {}

  /** Address as host:port, once the path listens. */
  get address (): string {
    return this.listening
  }

  setFault (fault: PathFault): void {
    this.current = fault
    if (fault === 'reset') this.resetAll()
  }

  async listen (): Promise<this> {
    await new Promise<void>(resolve => this.server.listen(0, LOOPBACK, () => resolve()))
    this.listening = `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`
    return this
  }

  /** Resets all connections, as when the process at the target ends. */
  resetAll (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  dispose (): void {
    this.resetAll()
    this.server.close()
  }

  private open (client: Socket): void {
    if (this.current === 'reset') {
      client.on('error', () => {}) // The other side may have reset it first.
      client.resetAndDestroy()
      return
    }
    const separator = this.target.lastIndexOf(':')
    const target = connect({ host: this.target.slice(0, separator), port: Number(this.target.slice(separator + 1)), allowHalfOpen: true, noDelay: true })
    client.setNoDelay(true)
    this.pump(client, target, CUTS_THERE)
    this.pump(target, client, CUTS_BACK)
  }

  private pump (from: Socket, to: Socket, cuts: ReadonlySet<PathFault>): void {
    let isCut = false
    let latestAt = 0
    const pass = (act: () => void): void => {
      isCut ||= cuts.has(this.current)
      if (isCut) return
      const now = performance.now()
      latestAt = Math.max(latestAt, now + (DELAYS_MILLISECONDS[this.current] ?? 0))
      if (latestAt <= now) act()
      else setTimeout(act, latestAt - now)
    }
    this.sockets.add(from)
    from.on('data', chunk => pass(() => { if (!to.destroyed) to.write(chunk) }))
    from.on('end', () => pass(() => to.end()))
    from.on('error', () => pass(() => to.resetAndDestroy()))
    from.on('close', () => {
      this.sockets.delete(from)
      pass(() => to.destroy())
    })
  }
}
