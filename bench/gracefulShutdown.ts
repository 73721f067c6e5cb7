import { execFileSync, spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, mkdirSync, openSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { delay } from '../src/base/delay.js'
import { PersistentCallers } from '../test/fakes/persistentCallers.js'

/** Measures a planned stop of one of three entry instances of examples/small while callers keep their connections busy. */

const PROGRAMS = fileURLToPath(new URL('../src/programs/', import.meta.url))
const SITE = 'examples/small'
const ENTRIES = ['gent-a-1', 'gent-a-2', 'gent-b-1']
const STOPPED_PORT = 7711
const SERVICE_PATH = '/services/order-confirmation/orders'
const CALLERS = Number(process.argv[2] ?? 200)
const RUNS = Number(process.argv[3] ?? 3)
const KEEPS_CONNECTIONS = process.argv[4] !== 'fresh'
const START_MILLISECONDS = 2000
const READY_MILLISECONDS = 5000
const LOAD_MILLISECONDS = 1500
const AFTER_STOP_MILLISECONDS = 500

function start (program: string, settings: string): ChildProcess {
  const log = openSync(`run/${settings}.log`, 'w')
  const child = spawn(process.execPath, [`${PROGRAMS}${program}.js`, `${SITE}/${settings}.jsonc`], { stdio: ['ignore', log, 'inherit'] })
  closeSync(log)
  return child
}

async function measure (): Promise<object> {
  const standin = start('standin', 'standin')
  const entries = ENTRIES.map(name => start('entry', name))
  try {
    await delay(START_MILLISECONDS)
    execFileSync(process.execPath, [`${PROGRAMS}vanillaturn.js`, 'publish', `${SITE}/site.jsonc`, '--base', '0', '--settings', `${SITE}/vanillaturn.jsonc`])
    await delay(READY_MILLISECONDS)
    const callers = new PersistentCallers(STOPPED_PORT, SERVICE_PATH, KEEPS_CONNECTIONS)
    callers.start(CALLERS)
    await delay(LOAD_MILLISECONDS)
    const stopped = entries[0] as ChildProcess
    const ended = once(stopped, 'exit')
    const signalledAt = performance.now()
    stopped.kill('SIGTERM')
    const [status] = await ended
    const stopMilliseconds = Math.round(performance.now() - signalledAt)
    await delay(AFTER_STOP_MILLISECONDS)
    await callers.stop()
    return { ...callers.counts, stopMilliseconds, status }
  } finally {
    for (const child of [...entries, standin]) child.kill('SIGKILL')
  }
}

mkdirSync('run', { recursive: true })
process.stdout.write(`${CALLERS} callers on ${KEEPS_CONNECTIONS ? 'kept' : 'fresh'} connections, ${RUNS} runs\n`)
for (let run = 0; run < RUNS; run += 1) process.stdout.write(JSON.stringify(await measure()) + '\n')
