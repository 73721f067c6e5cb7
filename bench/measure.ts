import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** Garbage collector, exposed by `node --expose-gc`. */
const collectGarbage = (globalThis as { gc?: () => void }).gc

/** Returns the median processor time of `work` in milliseconds. */
export async function medianProcessorMilliseconds (runs: number, work: () => void | Promise<void>): Promise<number> {
  const times: number[] = []
  for (let run = 0; run < runs; run += 1) {
    const before = process.cpuUsage()
    await work()
    const { user, system } = process.cpuUsage(before)
    times.push((user + system) / 1000)
  }
  return median(times)
}

/** Returns the median wall-clock time of synchronous `work` in milliseconds; `prepare` is not timed. */
export function medianMilliseconds<T> (runs: number, prepare: () => T, work: (prepared: T) => void): number {
  const times: number[] = []
  for (let run = 0; run < runs; run += 1) {
    const prepared = prepare()
    const before = performance.now()
    work(prepared)
    times.push(performance.now() - before)
  }
  return median(times)
}

/** Returns the heap bytes retained by the value that `build` returns. */
export function retainedBytes (build: () => unknown): number {
  if (collectGarbage === undefined) throw new Error('run with node --expose-gc')
  // The first build compiles code and fills caches, which would otherwise count as retained.
  build()
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const retained = build()
  collectGarbage()
  const after = process.memoryUsage().heapUsed
  return retained === undefined ? 0 : after - before
}

/** Prints a row of a table with columns of equal width. */
export function printRow (cells: ReadonlyArray<string | number>): void {
  process.stdout.write(`${cells.map(cell => (typeof cell === 'number' ? format(cell) : cell).padStart(14)).join('  ')}\n`)
}

export function printTitle (title: string): void {
  process.stdout.write(`\n${title}\n`)
}

/** HTTP server on an ephemeral port that counts the bytes on its sockets. */
export class ByteCountingServer {
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  constructor (handleRequest: (request: IncomingMessage, response: ServerResponse) => void) {
    this.server = createServer(handleRequest)
    this.server.on('connection', socket => this.sockets.add(socket))
  }

  async listen (): Promise<string> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Number of bytes received and sent so far. */
  get bytes (): number {
    let sum = 0
    for (const socket of this.sockets) sum += socket.bytesRead + socket.bytesWritten
    return sum
  }

  close (): void {
    this.server.closeAllConnections()
    this.server.close()
  }
}

function median (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] as number
}

function format (value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(value < 10 ? 3 : 1)
}
