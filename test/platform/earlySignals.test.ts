import assert from 'node:assert/strict'
import { execFileSync, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync } from 'node:fs'
import { open } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'

const PROGRAM = fileURLToPath(new URL('../../platform/main.js', import.meta.url))

describe('instance during startup', () => {
  const directory = mkdtempSync(join(tmpdir(), 'vanillaturn-test-'))
  after(() => rmSync(directory, { recursive: true }))

  /** SIGHUP announces changed settings. Guards against a signal that terminates an instance which has not installed its handler yet. */
  it('is not terminated by SIGHUP before it reads its settings', async () => {
    const settings = join(directory, 'settings.toml')
    execFileSync('mkfifo', [settings])
    const child = spawn(process.execPath, [PROGRAM], { env: { ...process.env, VANILLATURN_BOOT: settings }, stdio: 'ignore' })
    const exited = once(child, 'exit')
    // Opening the pipe for writing blocks until the program opens it for reading.
    const pipe = await open(settings, 'w')
    child.kill('SIGHUP')
    await pipe.write('node = 1')
    await pipe.close()
    assert.deepEqual(await exited, [1, null])
  })
})
