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

describe('instance that starts', () => {
  const directory = mkdtempSync(join(tmpdir(), 'vanillaturn-test-'))
  after(() => rmSync(directory, { recursive: true }))

  /** Changed settings are announced by SIGHUP, which ended an instance that had not installed its handler yet. */
  it('is not ended by SIGHUP before it has read its settings', async () => {
    const settings = join(directory, 'settings.toml')
    execFileSync('mkfifo', [settings])
    const child = spawn(process.execPath, [PROGRAM], { env: { ...process.env, VANILLATURN_BOOT: settings }, stdio: 'ignore' })
    const exited = once(child, 'exit')
    // Opening the pipe for writing waits until the program reads from it.
    const pipe = await open(settings, 'w')
    child.kill('SIGHUP')
    await pipe.write('node = 1')
    await pipe.close()
    assert.deepEqual(await exited, [1, null])
  })
})
