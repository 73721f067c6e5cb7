import { readFileSync, writeFileSync } from 'node:fs'
import type { CAC } from 'cac'
import { z } from 'zod'
import { describeError } from '../base/logger.js'
import { formatFinding, parseJsonWithComments } from '../base/jsonWithComments.js'
import { checkSiteConfiguration, type SiteConfiguration } from '../contracts/siteConfiguration.js'

/** Version that every binary prints. */
export const VERSION = '0.1.0'

/** Exit status of a wrong command line, settings file or site text. */
export const EXIT_USAGE = 2

/** Exit status of a command that was understood and did not succeed. */
export const EXIT_FAILURE = 1

/** A problem that is reported to the user in one line for each finding, without a stack trace. */
export class UsageError extends Error {}

/** An option that is given at most once and has a text as its value. */
export const textOption = z.string('expected one value').min(1, 'expected a value that is not empty')

/** An option whose value is a whole number of at least 0. `expected` says what the number is. */
export function wholeNumberOption (expected: string) {
  return z.string(`expected ${expected}, a whole number`).regex(/^\d{1,15}$/, `expected ${expected}, a whole number`).transform(Number)
}

/** Parses and runs a command line; reports a problem on the error output and sets the exit status. */
export async function runCommandLine (program: CAC): Promise<void> {
  try {
    program.help()
    program.version(VERSION)
    program.parse(process.argv, { run: false })
    if (program.options.help === true || program.options.version === true) return
    if (program.matchedCommand === undefined) {
      const given = program.args[0]
      throw new UsageError(given === undefined ? 'a command is expected; see --help' : `unknown command '${given}'; see --help`)
    }
    await program.runMatchedCommand()
  } catch (error) {
    const usage = error instanceof UsageError || (error as Error).name === 'CACError'
    const message = usage ? describeUsage(describeError(error)) : describeSystemError(error)
    for (const line of message.split('\n')) process.stderr.write(`${program.name}: ${line}\n`)
    process.exitCode = usage ? EXIT_USAGE : EXIT_FAILURE
  }
}

/** Checks the options of a command; throws a `UsageError` that names each wrong option. */
export function checkOptions<T> (options: Readonly<Record<string, unknown>>, schema: z.ZodType<T>): T {
  const { '--': _, ...given } = options
  const texts = Object.fromEntries(Object.entries(given).map(([name, value]) => [name, typeof value === 'number' ? rawValue(name, value) : value]))
  const checked = schema.safeParse(texts)
  if (checked.success) return checked.data
  throw new UsageError(checked.error.issues.map(issue => `--${toDashes(String(issue.path[0]))}: ${issue.message}`).join('\n'))
}

/** Reads and checks a settings file; throws a `UsageError` that names file, line, column, key and what is expected. */
export function readSettings<T> (file: string, schema: z.ZodType<T>): T {
  const parsed = parseJsonWithComments(file, readTextFile(file), schema)
  if (parsed.kind === 'valid') return parsed.value
  throw new UsageError(parsed.findings.map(formatFinding).join('\n'))
}

/** Reads and checks a site text; throws a `UsageError` with every finding. */
export function readSiteConfiguration (file: string): { source: string, text: SiteConfiguration } {
  const source = readTextFile(file)
  const checked = checkSiteConfiguration(file, source)
  if (checked.kind === 'valid') return { source, text: checked.configuration }
  throw new UsageError(checked.findings.map(formatFinding).join('\n'))
}

/** Reads a file that the user named; throws a `UsageError` if it cannot be read. */
export function readTextFile (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new UsageError(`cannot read ${file}: ${describeFileError(error)}`)
  }
}

/** Writes a file that the user named; throws a `UsageError` if it cannot be written. */
export function writeTextFile (file: string, text: string): void {
  try {
    writeFileSync(file, text)
  } catch (error) {
    throw new UsageError(`cannot write ${file}: ${describeFileError(error)}`)
  }
}

/** Writes a line to the standard output. */
export function writeLine (line: string): void {
  process.stdout.write(`${line}\n`)
}

/** States a problem with a file, such as `no such file`, in plain words. */
export function describeFileError (error: unknown): string {
  const { code } = error as { code?: string }
  if (code === 'ENOENT') return 'no such file or directory'
  if (code === 'EISDIR') return 'it is a directory'
  if (code === 'EACCES') return 'permission denied'
  return describeError(error)
}

/** The option parser turns values that look like numbers into numbers; this returns the text that was given. */
function rawValue (name: string, value: number): string {
  const flag = `--${toDashes(name)}`
  const { argv } = process
  const joined = argv.findLast(argument => argument.startsWith(`${flag}=`))
  if (joined !== undefined) return joined.slice(flag.length + 1)
  const index = argv.lastIndexOf(flag)
  return index < 0 ? String(value) : argv[index + 1] ?? String(value)
}

function toDashes (name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

/** Rewords the messages of the option parser. */
function describeUsage (message: string): string {
  const unknown = /^Unknown option `(.+)`$/.exec(message)?.[1]
  if (unknown !== undefined) return `unknown option ${unknown}; see --help`
  const missingValue = /^option `(\S+) (.+)` value is missing$/.exec(message)
  if (missingValue !== null) return `${missingValue[1]}: a value is expected: ${missingValue[1]} ${missingValue[2]}`
  const missingArgument = /^missing required args for command `(.+)`$/.exec(message)?.[1]
  if (missingArgument !== undefined) return `an argument is missing; expected ${missingArgument}; see --help`
  const unused = /^Unused args: (.+)$/.exec(message)?.[1]
  if (unused !== undefined) return `unexpected argument ${unused.replaceAll('`', "'")}; see --help`
  return message
}

function describeSystemError (error: unknown): string {
  const { code, address, port } = error as { code?: string, address?: string, port?: number }
  if (code === 'EADDRINUSE') return `cannot listen on ${address}:${port}: the port is taken`
  if (code === 'EACCES' && port !== undefined) return `cannot listen on ${address}:${port}: permission denied`
  if (code === 'EADDRNOTAVAIL') return `cannot listen on ${address}:${port}: the machine has no such address`
  return describeError(error)
}
