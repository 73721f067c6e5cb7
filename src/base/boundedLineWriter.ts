import { write } from 'node:fs'
import { DisposableObject } from './disposable.js'

/** Interval between writes, in milliseconds; lines queued in between are written together. */
const FLUSH_INTERVAL_MILLISECONDS = 50
/** Delay after which a write that failed with EAGAIN is retried, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 20
/** Maximum size of the queue for a slow reader, in bytes; further lines are dropped. */
const MAXIMUM_QUEUED_BYTES = 512 * 1024
/** Maximum number of lines per second; further lines are dropped. The scheduler of the largest sites writes about half as many. */
const MAXIMUM_LINES_PER_SECOND = 2000

/** Writes bytes to a file descriptor; calls back with the error or the number of bytes written. */
export type WriteBytes = (bytes: Buffer, callback: (error: NodeJS.ErrnoException | null, written: number) => void) => void

/**
 * Writes lines without blocking the process: lines are dropped while the reader is slow or has stopped.
 * A separate line states how many lines were dropped.
 */
export class BoundedLineWriter extends DisposableObject {
  private queue: string[] = []
  private queueSize = 0
  private linesInSecond = 0
  private droppedLines = 0
  private isWriting = false
  private secondStartedAt: number

  constructor (private readonly writeBytes: WriteBytes, private readonly describeDropped: (count: number) => string, private readonly now: () => number) {
    super()
    this.secondStartedAt = now()
    this.registerInterval(() => this.flush(), FLUSH_INTERVAL_MILLISECONDS)
  }

  /** Number of bytes that have not been written yet. */
  get queuedBytes (): number {
    return this.queueSize
  }

  /** Queues a line given without its terminator, or drops it if a limit is reached. */
  writeLine (line: string): void {
    if (this.now() - this.secondStartedAt >= 1000) {
      this.secondStartedAt = this.now()
      this.linesInSecond = 0
    }
    if (this.linesInSecond >= MAXIMUM_LINES_PER_SECOND || this.queueSize + line.length > MAXIMUM_QUEUED_BYTES) {
      this.droppedLines += 1
      return
    }
    this.linesInSecond += 1
    this.queue.push(line)
    this.queueSize += line.length
  }

  /** Starts writing the queued lines, unless a write is in progress. */
  flush (): void {
    if (this.isWriting || (this.queue.length === 0 && this.droppedLines === 0)) return
    if (this.droppedLines > 0) {
      this.queue.push(this.describeDropped(this.droppedLines))
      this.droppedLines = 0
    }
    const bytes = Buffer.from(this.queue.join('\n') + '\n')
    this.queue = []
    this.isWriting = true
    this.writeAll(bytes)
  }

  private writeAll (bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      const rest = error === null ? bytes.subarray(written) : bytes
      if (error !== null && error.code !== 'EAGAIN') {
        // The output is closed, so the error cannot be reported.
        this.onWritten()
        return
      }
      if (rest.length === 0) {
        this.onWritten()
        return
      }
      setTimeout(() => this.writeAll(rest), error === null ? 0 : RETRY_DELAY_MILLISECONDS)
    })
  }

  private onWritten (): void {
    this.isWriting = false
    this.queueSize = this.queue.reduce((sum, line) => sum + line.length, 0)
  }
}

/** Writes to standard output on a thread of the libuv pool, because a write to a full pipe blocks its thread. */
export function writeToStandardOutput (bytes: Buffer, callback: (error: NodeJS.ErrnoException | null, written: number) => void): void {
  write(1, bytes, callback)
}
