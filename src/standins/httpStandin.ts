import type { AddressInfo, Server, Socket } from 'node:net'
import { serve, type H3 } from 'h3'
import { DisposableObject, toDisposable } from '../base/disposable.js'

/** Base class of the stand-ins that serve HTTP on a port of their own. */
export abstract class HttpStandin extends DisposableObject {
  private origin = ''
  private readonly sockets = new Set<Socket>()
  private peakConnections = 0

  /** Address as an http origin. */
  get address (): string {
    return this.origin
  }

  /** Greatest number of connections that were open at once. */
  get maximumConnections (): number {
    return this.peakConnections
  }

  protected async startServer (app: H3, host: string, port: number): Promise<void> {
    const server = serve(app, { port, hostname: host, silent: true, gracefulShutdown: false })
    await server.ready()
    const nodeServer = server.node?.server as unknown as Server
    nodeServer.on('connection', (socket: Socket) => {
      this.sockets.add(socket)
      this.peakConnections = Math.max(this.peakConnections, this.sockets.size)
      socket.once('close', () => this.sockets.delete(socket))
    })
    this.origin = `http://${host}:${(nodeServer.address() as AddressInfo).port}`
    this.register(toDisposable(() => { server.close(true) }))
  }

  /** Breaks every open connection. */
  protected breakConnections (): void {
    for (const socket of this.sockets) socket.destroy()
  }
}

/** Creates a response whose connection breaks before it is complete, as if the process crashed while it responded. */
export function createBrokenResponse (firstBytes?: string): Response {
  const body = new ReadableStream<Uint8Array>({
    start (controller) {
      if (firstBytes !== undefined) controller.enqueue(new TextEncoder().encode(firstBytes))
    },
    pull (controller) {
      controller.error(new Error('connection broken by an injected fault'))
    }
  })
  return new Response(body)
}
