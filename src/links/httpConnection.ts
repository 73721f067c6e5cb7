import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Time that a peer has to read the last answer and to close its side, in milliseconds. */
export const LINGER_TIMEOUT_MILLISECONDS = 2000

const CONNECTION_HEADER = 'connection'
const RETRY_AFTER_SECONDS = 1
/** Answer to a request whose head has not arrived whole. */
const UNREAD_REQUEST_ANSWER = `HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: ${RETRY_AFTER_SECONDS}\r\ncontent-length: 0\r\n\r\n`

/** One connection of an HTTP server. It closes without a reset: bytes that are unread when a socket closes would make the peer discard answers. */
export class HttpConnection {
  /** Requests that have been read and not answered to their end, in order of arrival. */
  private readonly responses: ServerResponse[] = []
  private bytesReadWhenIdle = 0
  private isClosing = false

  constructor (private readonly socket: Socket) {
    // Called by node:http after an answer with `connection: close`.
    socket.destroySoon = () => { this.close() }
  }

  /** Number of requests that have been read and not answered to their end. */
  get pendingRequests (): number {
    return this.responses.length
  }

  /** Takes a request, unless an answer before it has announced the end of the connection; such a request must not be processed. */
  add (response: ServerResponse): boolean {
    if (this.isClosing || this.responses.some(announcesClose)) return false
    this.responses.push(response)
    response.once('close', () => {
      this.responses.splice(this.responses.indexOf(response), 1)
      this.bytesReadWhenIdle = this.socket.bytesRead
    })
    return true
  }

  /** Lets the answer to the last request read so far close the connection. */
  closeAfterLastResponse (): void {
    for (const [index, response] of this.responses.entries()) {
      if (response.headersSent) continue
      if (index === this.responses.length - 1) response.setHeader(CONNECTION_HEADER, 'close')
      else response.removeHeader(CONNECTION_HEADER)
    }
  }

  /** Closes the connection if no request is being read or answered. */
  closeIfIdle (): void {
    if (this.responses.length === 0 && this.socket.bytesRead === this.bytesReadWhenIdle) this.close()
  }

  /** Closes the connection unless a request is being answered. A request whose head has not arrived whole is told to come back. */
  closeUnlessResponding (): void {
    if (this.responses.length > 0 || this.isClosing) return
    if (this.socket.bytesRead !== this.bytesReadWhenIdle) this.socket.write(UNREAD_REQUEST_ANSWER)
    this.close()
  }

  /** Closes the own side, discards what still arrives, and ends when the peer has closed its side. */
  close (): void {
    if (this.isClosing) return
    this.isClosing = true
    this.socket.end()
    // The body of a request that was answered before it was read pauses the socket.
    this.socket.on('pause', () => { this.socket.resume() })
    this.socket.resume()
    const timer = setTimeout(() => { this.socket.destroy() }, LINGER_TIMEOUT_MILLISECONDS)
    this.socket.once('close', () => { clearTimeout(timer) })
  }
}

function announcesClose (response: ServerResponse): boolean {
  return response.headersSent && response.getHeader(CONNECTION_HEADER) === 'close'
}
