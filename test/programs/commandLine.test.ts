import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'

const PROGRAMS = new URL('../../src/programs/', import.meta.url)
const EXAMPLES = fileURLToPath(new URL('../../../examples/', import.meta.url))
const directory = mkdtempSync(join(tmpdir(), 'vanillaturn-test-'))
after(() => rmSync(directory, { recursive: true }))

function file (name: string, text: string): string {
  const path = join(directory, name)
  writeFileSync(path, text)
  return path
}

function run (binary: string, args: readonly string[]): { status: number | null, output: string, errors: string } {
  const { status, stdout, stderr } = spawnSync(process.execPath, [fileURLToPath(new URL(`${binary}.js`, PROGRAMS)), ...args], { encoding: 'utf8', cwd: directory, timeout: 30_000 })
  return { status, output: stdout, errors: stderr }
}

const SITE = join(EXAMPLES, 'small/site.jsonc')
const SCENARIO = join(EXAMPLES, 'small/scenario.jsonc')
const ENTRY = '"instance": "one", "failureDomain": "zone-a", "region": "north", "callers": { "port": 0 }, "links": { "port": 0 }, "platformAddress": "http://127.0.0.1:1", "linkKeys": ["0123456789abcdef"], "operatorTokens": ["0123456789abcdef"]'
const unknownKey = file('unknown-key.jsonc', `{\n  ${ENTRY},\n  "colour": 1\n}`)
const wrongType = file('wrong-type.jsonc', `{\n  ${ENTRY},\n  "stopBoundMilliseconds": "soon"\n}`)
const syntaxError = file('syntax-error.jsonc', '{\n  "instance": ,\n}')
const operator = file('operator.jsonc', '{ "platformAddress": "http://127.0.0.1:1", "entryAddresses": ["http://127.0.0.1:1"], "operatorToken": "0123456789abcdef" }')
const invalidConfiguration = file('faulty.jsonc', '{ "site": "x", "failureDomains": {}, "services": {}, "executorPools": {}, "workerPools": {}, "teams": {}, "extra": 1 }')

/** Each case guards against an invalid command line that is accepted, or reported without naming the invalid part. */
const REJECTED: ReadonlyArray<readonly [binary: string, args: readonly string[], expected: RegExp]> = [
  ['vanillaturn', [], /^vanillaturn: a command is expected; see --help\n$/],
  ['vanillaturn', ['bogus'], /^vanillaturn: unknown command 'bogus'; see --help\n$/],
  ['vanillaturn', ['check'], /^vanillaturn: an argument is missing; expected check <file>; see --help\n$/],
  ['vanillaturn', ['check', 'missing.jsonc'], /^vanillaturn: cannot read missing.jsonc: no such file or directory\n$/],
  ['vanillaturn', ['check', SITE, 'more'], /^vanillaturn: unexpected argument 'more'; see --help\n$/],
  ['vanillaturn', ['check', SITE, '--bogus'], /^vanillaturn: unknown option --bogus; see --help\n$/],
  ['vanillaturn', ['check', invalidConfiguration], /^vanillaturn: .*faulty\.jsonc:1:107: extra: unknown key; remove it or correct its name\n$/],
  ['vanillaturn', ['publish', SITE], /^vanillaturn: --base: expected the revision that the configuration is based on, a whole number\n$/],
  ['vanillaturn', ['publish', SITE, '--base'], /^vanillaturn: --base: a value is expected: --base <revision>\n$/],
  ['vanillaturn', ['publish', SITE, '--base', 'one'], /^vanillaturn: --base: expected the revision/],
  ['vanillaturn', ['publish', SITE, '--base=-1'], /^vanillaturn: --base: expected the revision/],
  ['vanillaturn', ['publish', SITE, '--base', '1.5'], /^vanillaturn: --base: expected the revision/],
  ['vanillaturn', ['publish', SITE, '--base', '0', '--base', '1'], /^vanillaturn: --base: expected the revision/],
  ['vanillaturn', ['publish', SITE, '--base', '0', '--wait', '601'], /^vanillaturn: --wait: expected at most 600 seconds\n$/],
  ['vanillaturn', ['show', '--settings', 'missing.jsonc'], /^vanillaturn: cannot read missing.jsonc: no such file or directory\n$/],
  ['vanillaturn', ['show', '--revision', 'x', '--settings', operator], /^vanillaturn: --revision: expected a revision, a whole number\n$/],
  ['vanillaturn', ['explain'], /^vanillaturn: an argument is missing; expected explain <subject> \[\.\.\.files\]; see --help\n$/],
  ['vanillaturn', ['explain', 'aa', 'missing.log'], /^vanillaturn: cannot read missing.log: no such file or directory\n$/],
  ['vanillaturn', ['timeline'], /^vanillaturn: an argument is missing; expected timeline <\.\.\.files>; see --help\n$/],
  ['vanillaturn', ['timeline', 'missing.log'], /^vanillaturn: cannot read missing.log: no such file or directory\n$/],
  ['vanillaturn', ['timeline', SITE, '--kind', 'bogus'], /^vanillaturn: --kind: expected a kind of event/],
  ['vanillaturn', ['timeline', SITE, '--since', 'noon'], /^vanillaturn: --since: expected a time such as/],
  ['vanillaturn', ['timeline', SITE, '--html', join(directory, 'none', 'page.html')], /^vanillaturn: cannot write .*: no such file or directory\n$/],
  ['entry', [], /^vanillaturn-entry: an argument is missing; expected <settings>; see --help\n$/],
  ['entry', ['missing.jsonc'], /^vanillaturn-entry: cannot read missing.jsonc: no such file or directory\n$/],
  ['entry', [directory], /^vanillaturn-entry: cannot read .*: it is a directory\n$/],
  ['entry', [unknownKey], /^vanillaturn-entry: .*unknown-key\.jsonc:3:3: colour: unknown key; remove it or correct its name\n$/],
  ['entry', [wrongType], /^vanillaturn-entry: .*wrong-type\.jsonc:3:3: stopBoundMilliseconds: Invalid input: expected number, received string\n$/],
  ['entry', [syntaxError], /^vanillaturn-entry: .*syntax-error\.jsonc:2:15: ValueExpected; JSON with comments is expected\n$/],
  ['standin', [SITE], /site\.jsonc:2:1: platform: the key is missing; expected object\n/],
  ['standin', ['--bogus'], /^vanillaturn-standin: unknown option --bogus; see --help\n$/],
  ['load', [], /^vanillaturn-load: an argument is missing; expected <scenario>; see --help\n$/],
  ['load', [SCENARIO], /^vanillaturn-load: --text: expected the file of the site configuration\n$/],
  ['load', [SCENARIO, '--text', SITE], /^vanillaturn-load: --entry: expected the address of at least one entry instance/],
  ['load', [SCENARIO, '--text', SITE, '--entry', 'nowhere'], /^vanillaturn-load: --entry: expected an address such as http:\/\/127\.0\.0\.1:7711\n$/],
  ['site', ['extra'], /^vanillaturn-site: unexpected argument 'extra'; see --help\n$/],
  ['site', ['--text', 'missing.jsonc'], /^vanillaturn-site: cannot read missing.jsonc: no such file or directory\n$/]
]

describe('command lines', () => {
  it('vanillaturn explains a job from the logs of several processes, and fails for a job that no line mentions', () => {
    const line = (process: string, message: string, fields: object): string => JSON.stringify({ type: 'log', time: '2026-05-04T13:00:00.000Z', level: 'info', process, message, ...fields })
    const first = file('entry-1.log', line('entry-1', 'job refused', { job: 'aa', reason: 'the log is away' }))
    const second = file('entry-2.log', line('entry-2', 'job accepted', { job: 'aa', durationMilliseconds: 12 }))
    const known = run('vanillaturn', ['explain', 'aa', first, second])
    assert.equal(known.output, 'refused by entry-1: the log is away; nothing was stored\naccepted by entry-2, stored in 12 ms\nno end is logged\n')
    assert.equal(known.status, 0)
    const unknown = run('vanillaturn', ['explain', 'bb', first, second])
    assert.match(unknown.errors, /^vanillaturn: no line of the 2 read is about 'bb'\n$/)
    assert.equal(unknown.status, 1)
  })

  for (const binary of ['vanillaturn', 'entry', 'standin', 'load', 'site']) {
    it(`${binary} prints help and version`, () => {
      const help = run(binary, ['--help'])
      assert.equal(help.status, 0)
      assert.match(help.output, /Usage:/)
      const version = run(binary, ['--version'])
      assert.equal(version.status, 0)
      assert.match(version.output, /^vanillaturn\S*\/0\.1\.0 /)
    })
  }

  for (const [binary, args, expected] of REJECTED) {
    it(`${binary} rejects ${args.join(' ').replaceAll(directory, '').replaceAll(EXAMPLES, '') || 'no arguments'}`, () => {
      const { status, errors } = run(binary, args)
      assert.match(errors, expected)
      assert.equal(status, 2)
    })
  }

  it('vanillaturn reports the address of an unavailable platform and publishes nothing', () => {
    const show = run('vanillaturn', ['show', '--settings', operator])
    assert.match(show.errors, /^vanillaturn: the platform's log at http:\/\/127\.0\.0\.1:1 does not answer: /)
    assert.equal(show.status, 1)
    const publish = run('vanillaturn', ['publish', SITE, '--base', '0', '--settings', operator])
    assert.match(publish.output, /^not published: the platform's log at http:\/\/127\.0\.0\.1:1 has not confirmed the record: connect ECONNREFUSED 127\.0\.0\.1:1\n$/)
    assert.equal(publish.status, 1)
  })

  it('vanillaturn status fails if an instance is unreachable', () => {
    const { status, output } = run('vanillaturn', ['status', '--settings', operator])
    assert.match(output, /problem: http:\/\/127\.0\.0\.1:1: unreachable/)
    assert.equal(status, 1)
  })

  it('entry reports a port that is in use and exits', async () => {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    const settings = file('taken.jsonc', `{ ${ENTRY.replace('"callers": { "port": 0 }', `"callers": { "port": ${port} }`)} }`)
    const { status, errors } = run('entry', [settings])
    server.close()
    assert.equal(errors, `vanillaturn-entry: cannot listen on 127.0.0.1:${port}: the port is taken\n`)
    assert.equal(status, 1)
  })
})
