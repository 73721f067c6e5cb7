import assert from 'node:assert/strict'
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { after, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { delay } from '../../src/base/delay.js'
import { PersistentCallers } from '../fakes/persistentCallers.js'

const PROGRAM = fileURLToPath(new URL('../../platform/main.js', import.meta.url))
const HOST = '127.0.0.1'
/** Loopback address used by this process only, because other processes could take the ports named in the settings. */
const OWN_HOST = `127.${64 + (process.pid >> 16 & 63)}.${process.pid >> 8 & 255}.${process.pid & 255}`
const CALLERS = 50
const RESPONSES_BEFORE_SHUTDOWN = 500
const GRACE_SECONDS = 6
const POLL_MILLISECONDS = 20
/** A pause, in milliseconds after the stop signal, that spans the time at which the instance stops listening and usually closes idle connections. */
const PAUSE = { from: 2300, until: 3600 }

const directory = mkdtempSync(join(tmpdir(), 'vanillaturn-test-'))
const children: ChildProcess[] = []
after(() => {
  for (const child of children) child.kill('SIGKILL')
  rmSync(directory, { recursive: true })
})

async function listen (port: number): Promise<Server | undefined> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(undefined))
    server.listen(port, OWN_HOST, () => resolve(server))
  })
}

/** Returns the first of two consecutive free ports. */
async function findPortRange (): Promise<number> {
  while (true) {
    const first = await listen(0) as Server
    const { port } = first.address() as AddressInfo
    const second = port < 65_535 ? await listen(port + 1) : undefined
    first.close()
    second?.close()
    if (second !== undefined) return port
  }
}

/** Starts the compiled instance without a reachable log. Resolves with its process and its port for callers. */
async function startInstance (): Promise<{ process: ChildProcess, port: number }> {
  const ports = await findPortRange()
  const settings = join(directory, 'local.toml')
  writeFileSync(settings, `
node = "one"
ip = "${OWN_HOST}"
zone = "a"
portRange = [${ports}, ${ports + 1}]
[listen]
front = "${HOST}:0"
ready = "${HOST}:0"
[limits]
cpuShare = 1
linkMbps = 1000
cores = 1
[bounds]
holdMaxMs = 6000
graceS = ${GRACE_SECONDS}
status_s = 120
[platform]
addr = "${HOST}:1"
`)
  const child = spawn(process.execPath, [PROGRAM], { stdio: ['ignore', 'pipe', 'inherit'], env: { ...process.env, VANILLATURN_BOOT: settings } })
  children.push(child)
  for await (const line of createInterface({ input: child.stdout })) {
    const port = /"message":"listening","address":"127\.0\.0\.1:(\d+)"/.exec(line)?.[1]
    if (port === undefined) continue
    child.stdout.resume()
    return { process: child, port: Number(port) }
  }
  throw new Error('the instance exited before it listened')
}

describe('graceful shutdown of the compiled platform instance', () => {
  /** Each case guards against a shutdown that resets connections: SIGTERM arrives while all callers keep persistent connections busy and reconnect when one is closed. */
  for (const { name, pause } of [{ name: 'undisturbed', pause: undefined }, { name: 'paused as it is about to stop listening', pause: PAUSE }]) {
    it(`answers every request on persistent connections, and exits within the grace period with status 0: ${name}`, { timeout: 60_000 }, async () => {
      const instance = await startInstance()
      const callers = new PersistentCallers(instance.port, '/q/00000000000000aa')
      try {
        callers.start(CALLERS)
        while ((callers.counts.answers['503'] ?? 0) < RESPONSES_BEFORE_SHUTDOWN) await delay(POLL_MILLISECONDS)
        const exited = once(instance.process, 'exit')
        instance.process.kill('SIGTERM')
        if (pause !== undefined) {
          await delay(pause.from)
          instance.process.kill('SIGSTOP')
          await delay(pause.until - pause.from)
          instance.process.kill('SIGCONT')
        }
        const [status] = await exited
        await callers.stop()
        const { brokenOnReusedConnection, brokenOnNewConnection, resetConnections, errors } = callers.counts
        assert.deepEqual({ brokenOnReusedConnection, brokenOnNewConnection, resetConnections, errors }, { brokenOnReusedConnection: 0, brokenOnNewConnection: 0, resetConnections: 0, errors: {} })
        assert.equal(status, 0)
      } finally {
        await callers.stop()
      }
    })
  }
})
