import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Time the peer has to read the last response and to close its side of the connection. */
export const LINGER_TIMEOUT_MILLISECONDS = 2000

const CONNECTION_HEADER = 'connection'
const RETRY_AFTER_SECONDS = 1
/** Response to a request whose head has arrived only in part. */
const INCOMPLETE_REQUEST_RESPONSE = `HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: ${RETRY_AFTER_SECONDS}\r\ncontent-length: 0\r\n\r\n`

/** One connection of an HTTP server. It closes without a TCP reset: closing a socket with unread bytes would reset it, and the peer would discard responses. */
export class HttpConnection {
  /** Responses that are not complete yet, in the order of their requests. */
  private readonly responses: ServerResponse[] = []
  private bytesReadWhenIdle = 0
  private isClosing = false

  constructor (private readonly socket: Socket) {
    // node:http calls this after a response with `connection: close`.
    socket.destroySoon = () => { this.close() }
  }

  /** Whether the peer has sent nothing yet. */
  get isFresh (): boolean {
    return this.socket.bytesRead === 0
  }

  /** Number of requests whose response is not complete yet. */
  get pendingRequests (): number {
    return this.responses.length
  }

  /** Adds the response of a new request. Returns false if the connection is closing or an earlier response has announced that it closes; the request must not be processed then. */
  add (response: ServerResponse): boolean {
    if (this.isClosing || this.responses.some(announcesClose)) return false
    this.responses.push(response)
    response.once('close', () => {
      this.responses.splice(this.responses.indexOf(response), 1)
      this.bytesReadWhenIdle = this.socket.bytesRead
    })
    return true
  }

  /** Makes the response to the latest request close the connection. */
  closeAfterLastResponse (): void {
    for (const [index, response] of this.responses.entries()) {
      if (response.headersSent) continue
      if (index === this.responses.length - 1) response.setHeader(CONNECTION_HEADER, 'close')
      else response.removeHeader(CONNECTION_HEADER)
    }
  }

  /** Closes the connection if no request is being read or processed. */
  closeIfIdle (): void {
    if (this.responses.length === 0 && this.socket.bytesRead === this.bytesReadWhenIdle) this.close()
  }

  /** Closes the connection unless a request is being processed. A request whose head has arrived only in part gets a 503 response with `retry-after`. */
  closeUnlessResponding (): void {
    if (this.responses.length > 0 || this.isClosing) return
    if (this.socket.bytesRead !== this.bytesReadWhenIdle) this.socket.write(INCOMPLETE_REQUEST_RESPONSE)
    this.close()
  }

  /** Half-closes the connection and discards incoming data until the peer closes its side. */
  close (): void {
    if (this.isClosing) return
    this.isClosing = true
    this.socket.end()
    // If a response is sent before the body of its request is read, the unread body pauses the socket.
    this.socket.on('pause', () => { this.socket.resume() })
    this.socket.resume()
    const timer = setTimeout(() => { this.socket.destroy() }, LINGER_TIMEOUT_MILLISECONDS)
    this.socket.once('close', () => { clearTimeout(timer) })
  }
}

function announcesClose (response: ServerResponse): boolean {
  return response.headersSent && response.getHeader(CONNECTION_HEADER) === 'close'
}
