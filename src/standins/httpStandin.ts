import type { AddressInfo, Server, Socket } from 'node:net'
import { serve, type H3 } from 'h3'
import { DisposableObject, toDisposable } from '../base/disposable.js'

/** Base of the stand-ins that listen for HTTP on their own port. */
export abstract class HttpStandin extends DisposableObject {
  private origin = ''
  private readonly sockets = new Set<Socket>()
  private mostConnections = 0

  /** Address as an http origin. */
  get address (): string {
    return this.origin
  }

  /** Greatest number of connections that were open at once. */
  get maximumConnections (): number {
    return this.mostConnections
  }

  protected async startServer (app: H3, host: string, port: number): Promise<void> {
    const server = serve(app, { port, hostname: host, silent: true, gracefulShutdown: false })
    await server.ready()
    const node = server.node?.server as unknown as Server
    node.on('connection', (socket: Socket) => {
      this.sockets.add(socket)
      this.mostConnections = Math.max(this.mostConnections, this.sockets.size)
      socket.once('close', () => this.sockets.delete(socket))
    })
    this.origin = `http://${host}:${(node.address() as AddressInfo).port}`
    this.register(toDisposable(() => { server.close(true) }))
  }

  /** Breaks every open connection. */
  protected breakConnections (): void {
    for (const socket of this.sockets) socket.destroy()
  }
}

/** An answer whose connection breaks before it is complete, as when a process dies while answering. */
export function createBrokenResponse (firstBytes?: string): Response {
  const body = new ReadableStream<Uint8Array>({
    start (controller) {
      if (firstBytes !== undefined) controller.enqueue(new TextEncoder().encode(firstBytes))
    },
    pull (controller) {
      controller.error(new Error('the connection is broken on purpose'))
    }
  })
  return new Response(body)
}
