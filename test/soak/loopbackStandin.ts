import { H3 } from 'h3'
import { createBrokenResponse, HttpStandin } from '../../src/standins/httpStandin.js'

export const LOOPBACK = '127.0.0.1'

export interface StandinRequest {
  readonly url: URL
  readonly headers: Headers
  readonly body: Buffer
}

export interface StandinResponse {
  readonly status: number
  readonly body: object | Buffer
}

/** A stand-in on a free port of the loopback interface. */
export abstract class LoopbackStandin extends HttpStandin {
  /** Number of the process that the stand-in acts as. */
  private processNumber = 1

  /** Address as host:port. */
  get hostAndPort (): string {
    return new URL(this.address).host
  }

  async listen (): Promise<this> {
    const app = new H3()
    app.all('/**', async ({ url, req }) => {
      const { processNumber } = this
      const received = await readBody(req)
      if (received === undefined || processNumber !== this.processNumber) return createBrokenResponse()
      const { status, body } = await this.handle({ url, headers: req.headers, body: received })
      return new Response(Buffer.isBuffer(body) ? new Uint8Array(body) : JSON.stringify(body), { status })
    })
    await this.startServer(app, LOOPBACK, 0)
    return this
  }

  /** Acts as a new process at the same address: the connections of the former one break, and requests that it has not handled are lost. */
  protected replaceProcess (): void {
    this.processNumber += 1
    this.breakConnections()
  }

  protected abstract handle (request: StandinRequest): Promise<StandinResponse>
}

/** Returns the body of a request; undefined if its connection breaks before. */
async function readBody (request: Request): Promise<Buffer | undefined> {
  try {
    return Buffer.from(await request.arrayBuffer())
  } catch {
    return undefined
  }
}
