import { H3 } from 'h3'
import { HttpStandin } from '../../src/standins/httpStandin.js'

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
  /** Address as host:port. */
  get hostAndPort (): string {
    return new URL(this.address).host
  }

  async listen (): Promise<this> {
    const app = new H3()
    app.all('/**', async ({ url, req }) => {
      const { status, body } = await this.handle({ url, headers: req.headers, body: Buffer.from(await req.arrayBuffer()) })
      return new Response(Buffer.isBuffer(body) ? new Uint8Array(body) : JSON.stringify(body), { status })
    })
    await this.startServer(app, LOOPBACK, 0)
    return this
  }

  protected abstract handle (request: StandinRequest): Promise<StandinResponse>
}
