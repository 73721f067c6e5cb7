import { write } from 'node:fs'
import { DisposableObject } from './disposable.js'

/** Period in which lines are written, in milliseconds; lines in between share a write. */
const WRITE_PERIOD_MILLISECONDS = 50
/** Pause after a write that the reader could not take, in milliseconds. */
const BUSY_PAUSE_MILLISECONDS = 20
/** Lines that wait for a slow reader, in bytes; more are left out. */
const MAXIMUM_WAITING_BYTES = 512 * 1024
/** Lines accepted in one second; more are left out. A scheduler of the largest sites writes about half of it. */
const MAXIMUM_LINES_PER_SECOND = 2000

/** Writes bytes to a file descriptor; calls back with the error or the number of bytes written. */
export type WriteBytes = (bytes: Buffer, callback: (error: NodeJS.ErrnoException | null, written: number) => void) => void

/**
 * Writes lines without ever blocking the process: a reader that is slow or has stopped costs lines, not time.
 * What was left out is counted in a line of its own.
 */
export class BoundedLineWriter extends DisposableObject {
  private waiting: string[] = []
  private waitingBytes = 0
  private linesInSecond = 0
  private omitted = 0
  private isWriting = false
  private secondStartedAt: number

  constructor (private readonly writeBytes: WriteBytes, private readonly describeOmitted: (count: number) => string, private readonly now: () => number) {
    super()
    this.secondStartedAt = now()
    this.registerInterval(() => this.flush(), WRITE_PERIOD_MILLISECONDS)
  }

  /** Bytes that wait for the reader. */
  get queuedBytes (): number {
    return this.waitingBytes
  }

  /** Queues a line without its end, or leaves it out if the bounds are reached. */
  writeLine (line: string): void {
    if (this.now() - this.secondStartedAt >= 1000) {
      this.secondStartedAt = this.now()
      this.linesInSecond = 0
    }
    if (this.linesInSecond >= MAXIMUM_LINES_PER_SECOND || this.waitingBytes + line.length > MAXIMUM_WAITING_BYTES) {
      this.omitted += 1
      return
    }
    this.linesInSecond += 1
    this.waiting.push(line)
    this.waitingBytes += line.length
  }

  /** Starts writing what waits, unless a write is under way. */
  flush (): void {
    if (this.isWriting || (this.waiting.length === 0 && this.omitted === 0)) return
    if (this.omitted > 0) {
      this.waiting.push(this.describeOmitted(this.omitted))
      this.omitted = 0
    }
    const bytes = Buffer.from(this.waiting.join('\n') + '\n')
    this.waiting = []
    this.isWriting = true
    this.writeAll(bytes)
  }

  private writeAll (bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      const rest = error === null ? bytes.subarray(written) : bytes
      if (error !== null && error.code !== 'EAGAIN') {
        // The reader is gone; there is nobody to tell.
        this.onWritten()
        return
      }
      if (rest.length === 0) {
        this.onWritten()
        return
      }
      setTimeout(() => this.writeAll(rest), error === null ? 0 : BUSY_PAUSE_MILLISECONDS)
    })
  }

  private onWritten (): void {
    this.isWriting = false
    this.waitingBytes = this.waiting.reduce((sum, line) => sum + line.length, 0)
  }
}

/** Writes to standard output on a thread of the runtime's pool, because writing to a pipe blocks its thread while the pipe is full. */
export function writeToStandardOutput (bytes: Buffer, callback: (error: NodeJS.ErrnoException | null, written: number) => void): void {
  write(1, bytes, callback)
}
