import assert from 'node:assert/strict'
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { after, describe } from 'node:test'
import { fileURLToPath } from 'node:url'
import { delay } from '../../src/base/delay.js'
import { checkSiteConfiguration } from '../../src/contracts/siteConfiguration.js'
import { OperatorClient } from '../../src/operator/operatorClient.js'
import { createSiteStandin } from '../../src/programs/wiring.js'
import type { SiteStandin } from '../../src/standins/siteStandin.js'
import { PersistentCallers } from '../fakes/persistentCallers.js'
import { itUnlessKnownRed } from '../knownRed.js'

const ENTRY_PROGRAM = fileURLToPath(new URL('../../src/programs/entry.js', import.meta.url))
const SITE = fileURLToPath(new URL('../../../examples/small/site.jsonc', import.meta.url))
const SERVICE_PATH = '/services/order-confirmation/orders'
const OPERATOR_TOKEN = 'graceful-shutdown-operator-token'
const CALLERS = 100
const RESPONSES_BEFORE_SHUTDOWN = 300
const POLL_INTERVAL_MILLISECONDS = 20

const directory = mkdtempSync(join(tmpdir(), 'vanillaturn-test-'))
const children: ChildProcess[] = []
after(() => {
  for (const child of children) child.kill('SIGKILL')
  rmSync(directory, { recursive: true })
})

async function startStandin (source: string): Promise<SiteStandin> {
  const checked = checkSiteConfiguration('site.jsonc', source)
  assert.ok(checked.kind === 'valid')
  const standin = createSiteStandin(checked.configuration, {
    host: '127.0.0.1', port: 0, listLagMilliseconds: 100, retainedRecords: 100_000, appendsPerSecond: 400, appendMilliseconds: 4, serviceMilliseconds: 20, seed: 1, logLevel: 'warn'
  }, () => {})
  await standin.start()
  return standin
}

/** Starts the compiled entry instance; resolves with the port that it listens on for callers. */
async function startEntry (platformAddress: string): Promise<{ process: ChildProcess, port: number }> {
  const settings = join(directory, 'entry.jsonc')
  writeFileSync(settings, JSON.stringify({
    instance: 'gent-a-1', failureDomain: 'gent-a', region: 'be-vl', callers: { port: 0 }, links: { port: 0 }, platformAddress, linkKeys: ['graceful-shutdown-link-key'], operatorTokens: [OPERATOR_TOKEN]
  }))
  const child = spawn(process.execPath, [ENTRY_PROGRAM, settings], { stdio: ['ignore', 'pipe', 'inherit'] })
  children.push(child)
  for await (const line of createInterface({ input: child.stdout })) {
    const port = /"message":"listening","address":"127\.0\.0\.1:(\d+)"/.exec(line)?.[1]
    if (port === undefined) continue
    child.stdout.resume()
    return { process: child, port: Number(port) }
  }
  throw new Error('the entry instance exited before it listened')
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await delay(POLL_INTERVAL_MILLISECONDS)
}

describe('graceful shutdown of the compiled entry instance', () => {
  /**
   * Guards against a shutdown that resets connections with requests in flight: SIGTERM arrives while all callers keep their
   * connections busy. A connection that the kernel establishes in the instant of the close may be reset before its caller sends.
   */
  itUnlessKnownRed('answers every request on kept connections, and ends with status 0', async () => {
    const source = readFileSync(SITE, 'utf8')
    const standin = await startStandin(source)
    const entry = await startEntry(standin.platform.address)
    const callers = new PersistentCallers(entry.port, SERVICE_PATH)
    try {
      standin.addInstance({ kind: 'entry', name: 'gent-a-1', failureDomain: 'gent-a', address: 'ws://127.0.0.1:1', callerAddress: `http://127.0.0.1:${entry.port}`, state: 'live' })
      const operator = new OperatorClient(standin.platform.address, [`http://127.0.0.1:${entry.port}`], OPERATOR_TOKEN)
      assert.equal((await operator.publish(source, 0, 'test')).kind, 'accepted')
      await operator.close()
      callers.start(CALLERS)
      await waitUntil(() => (callers.counts.answers['200'] ?? 0) >= RESPONSES_BEFORE_SHUTDOWN)
      const exited = once(entry.process, 'exit')
      entry.process.kill('SIGTERM')
      const [status] = await exited
      await callers.stop()
      const { brokenOnReusedConnection, brokenOnNewConnection, errors, refusalsWithoutRetryAfter } = callers.counts
      assert.deepEqual({ brokenOnReusedConnection, brokenOnNewConnection, errors, refusalsWithoutRetryAfter }, { brokenOnReusedConnection: 0, brokenOnNewConnection: 0, errors: {}, refusalsWithoutRetryAfter: 0 })
      assert.equal(status, 0)
    } finally {
      await callers.stop()
      standin.dispose()
    }
  }, { timeout: 60_000 })
})
