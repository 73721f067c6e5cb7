import { execFileSync, spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, mkdirSync, openSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { delay } from '../src/base/delay.js'
import { PersistentCallers } from '../test/fakes/persistentCallers.js'

/**
 * Measures the graceful shutdown of one of three entry instances of examples/small under continuous load.
 * Arguments: the number of callers, the number of runs, and `fresh` to open a new connection for each request.
 */

const PROGRAMS = fileURLToPath(new URL('../src/programs/', import.meta.url))
const SITE = 'examples/small'
const ENTRY_NAMES = ['gent-a-1', 'gent-a-2', 'gent-b-1']
const STOPPED_ENTRY_PORT = 7711
const SERVICE_PATH = '/services/order-confirmation/orders'
const CALLER_COUNT = Number(process.argv[2] ?? 200)
const RUN_COUNT = Number(process.argv[3] ?? 3)
const KEEP_ALIVE = process.argv[4] !== 'fresh'
const STARTUP_MILLISECONDS = 2000
const READY_MILLISECONDS = 5000
const LOAD_MILLISECONDS = 1500
const AFTER_STOP_MILLISECONDS = 500

function startProgram (program: string, settings: string): ChildProcess {
  const log = openSync(`run/${settings}.log`, 'w')
  const child = spawn(process.execPath, [`${PROGRAMS}${program}.js`, `${SITE}/${settings}.jsonc`], { stdio: ['ignore', log, 'inherit'] })
  closeSync(log)
  return child
}

async function measure (): Promise<object> {
  const standin = startProgram('standin', 'standin')
  const entries = ENTRY_NAMES.map(name => startProgram('entry', name))
  try {
    await delay(STARTUP_MILLISECONDS)
    execFileSync(process.execPath, [`${PROGRAMS}vanillaturn.js`, 'publish', `${SITE}/site.jsonc`, '--base', '0', '--settings', `${SITE}/vanillaturn.jsonc`])
    await delay(READY_MILLISECONDS)
    const callers = new PersistentCallers(STOPPED_ENTRY_PORT, SERVICE_PATH, KEEP_ALIVE)
    callers.start(CALLER_COUNT)
    await delay(LOAD_MILLISECONDS)
    const stoppedEntry = entries[0] as ChildProcess
    const exited = once(stoppedEntry, 'exit')
    const signalledAt = performance.now()
    stoppedEntry.kill('SIGTERM')
    const [status] = await exited
    const stopMilliseconds = Math.round(performance.now() - signalledAt)
    await delay(AFTER_STOP_MILLISECONDS)
    await callers.stop()
    return { ...callers.counts, stopMilliseconds, status }
  } finally {
    for (const child of [...entries, standin]) child.kill('SIGKILL')
  }
}

mkdirSync('run', { recursive: true })
process.stdout.write(`${CALLER_COUNT} callers on ${KEEP_ALIVE ? 'persistent' : 'new'} connections, ${RUN_COUNT} runs\n`)
for (let run = 0; run < RUN_COUNT; run += 1) process.stdout.write(JSON.stringify(await measure()) + '\n')
