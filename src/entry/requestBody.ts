import { Readable } from 'node:stream'

/** Largest body that is buffered so that it can be sent again on a retry; a larger body is streamed and sent at most once. */
export const REPLAYABLE_BODY_BYTES = 64 * 1024

/** Thrown when a streamed body exceeds the limit of the site configuration. */
export class BodyTooLargeError extends Error {}

/** Body of a caller's request: buffered if it is small, otherwise streamed. */
export class RequestBody {
  private streamingStarted = false

  private constructor (private readonly buffered: Buffer, private readonly remainder: ReadableStreamDefaultReader<Uint8Array> | undefined, private readonly limitBytes: number) {}

  static readonly EMPTY = new RequestBody(Buffer.alloc(0), undefined, 0)

  /** Creates a fully buffered body. */
  static of (bytes: Buffer): RequestBody {
    return new RequestBody(bytes, undefined, bytes.length)
  }

  /** Buffers up to `bufferLimitBytes` and leaves the remainder to be streamed. Resolves with 'tooLarge' if the part read exceeds `limitBytes`; rejects if the caller disconnects or `signal` aborts. */
  static async read (stream: ReadableStream<Uint8Array>, limitBytes: number, signal: AbortSignal, bufferLimitBytes = REPLAYABLE_BODY_BYTES): Promise<RequestBody | 'tooLarge'> {
    const reader = stream.getReader()
    const cancel = (): void => { reader.cancel().catch(() => {}) }
    signal.addEventListener('abort', cancel, { once: true })
    try {
      const chunks: Uint8Array[] = []
      let size = 0
      while (size <= bufferLimitBytes) {
        const { done, value } = await reader.read()
        signal.throwIfAborted()
        if (done) return new RequestBody(Buffer.concat(chunks), undefined, limitBytes)
        size += value.length
        if (size > limitBytes) return 'tooLarge'
        chunks.push(value)
      }
      return new RequestBody(Buffer.concat(chunks), reader, limitBytes)
    } finally {
      signal.removeEventListener('abort', cancel)
    }
  }

  /** Whether the body can be sent from its start. */
  get canBeSent (): boolean {
    return this.remainder === undefined || !this.streamingStarted
  }

  /** The buffered part. */
  get bytes (): Buffer {
    return this.buffered
  }

  /** Returns the body for one attempt. A streamed body is read from the caller as fast as the executor consumes it. */
  open (): Buffer | Readable | undefined {
    if (this.remainder !== undefined) return Readable.from(this.chunks(this.remainder), { objectMode: false })
    return this.buffered.length === 0 ? undefined : this.buffered
  }

  /** Stops reading from the caller. */
  discard (): void {
    this.remainder?.cancel().catch(() => {})
  }

  private async * chunks (remainder: ReadableStreamDefaultReader<Uint8Array>): AsyncGenerator<Uint8Array> {
    this.streamingStarted = true
    let size = this.buffered.length
    yield this.buffered
    for (let next = await remainder.read(); !next.done; next = await remainder.read()) {
      size += next.value.length
      if (size > this.limitBytes) throw new BodyTooLargeError(`the body is larger than ${this.limitBytes} bytes`)
      yield next.value
    }
  }
}
