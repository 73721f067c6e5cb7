import { createServer, request as sendRequest, Agent } from 'node:http'

const LOOPBACK = '127.0.0.1'

/** Starts an HTTP server on a free loopback port. `handle` gets { method, url, headers, body, socket } and resolves with { status, body }; undefined breaks the channel. */
export async function serve (handle) {
  const server = createServer(async (incoming, outgoing) => {
    const chunks = []
    try {
      for await (const chunk of incoming) chunks.push(chunk)
    } catch {
      return
    }
    const url = new URL(incoming.url, `http://${LOOPBACK}`)
    const result = await handle({ method: incoming.method, url, headers: incoming.headers, body: Buffer.concat(chunks), socket: incoming.socket })
    if (result === undefined) {
      incoming.socket.destroy()
      return
    }
    const body = Buffer.isBuffer(result.body) ? result.body : Buffer.from(JSON.stringify(result.body ?? {}))
    outgoing.writeHead(result.status, { 'content-type': 'application/json', 'content-length': body.length })
    outgoing.end(body)
  })
  server.keepAliveTimeout = 60_000
  await new Promise(resolve => server.listen(0, LOOPBACK, resolve))
  return { address: `${LOOPBACK}:${server.address().port}`, close: () => { server.closeAllConnections(); server.close() } }
}

/** Sends one request over a channel of an agent. Resolves with { status, body } or, without an answer, with { status: 0, reason }. */
export async function call (address, { method, path, headers = {}, body, timeoutMs = 3000, agent }) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const outgoing = sendRequest({ host, port: Number(port), method, path, headers: body === undefined ? headers : { ...headers, 'content-length': Buffer.byteLength(body) }, agent, timeout: timeoutMs }, async incoming => {
      const chunks = []
      try {
        for await (const chunk of incoming) chunks.push(chunk)
        resolve({ status: incoming.statusCode, body: Buffer.concat(chunks).toString() })
      } catch (error) {
        resolve({ status: 0, reason: error.code ?? error.message })
      }
    })
    outgoing.on('timeout', () => outgoing.destroy(new Error('timed out')))
    outgoing.on('error', error => resolve({ status: 0, reason: error.code ?? error.message }))
    outgoing.end(body)
  })
}

export function newAgent () {
  return new Agent({ keepAlive: true, maxSockets: 1 })
}
