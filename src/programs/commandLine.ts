import { readFileSync, writeFileSync } from 'node:fs'
import type { CAC } from 'cac'
import { z } from 'zod'
import { describeError } from '../base/logger.js'
import { formatFinding, parseJsonWithComments } from '../base/jsonWithComments.js'
import { checkSiteConfiguration, type SiteConfiguration } from '../contracts/siteConfiguration.js'

/** Version that every binary prints. */
export const VERSION = '0.1.0'

/** Exit status for an invalid command line, settings file or site configuration. */
export const EXIT_USAGE = 2

/** Exit status of a valid command that failed. */
export const EXIT_FAILURE = 1

/** An error that is reported to the user in one line per finding, without a stack trace. */
export class UsageError extends Error {}

/** Option with a non-empty string value that is given at most once. */
export const textOption = z.string('expected one value').min(1, 'expected a value that is not empty')

/** Option whose value is an integer of at least 0. `expected` describes the value in error messages. */
export function wholeNumberOption (expected: string) {
  return z.string(`expected ${expected}, a whole number`).regex(/^\d{1,15}$/, `expected ${expected}, a whole number`).transform(Number)
}

/** Parses and runs a command line; reports an error on standard error and sets the exit status. */
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
    const isUsageError = error instanceof UsageError || (error as Error).name === 'CACError'
    const message = isUsageError ? describeUsageError(describeError(error)) : describeSystemError(error)
    for (const line of message.split('\n')) process.stderr.write(`${program.name}: ${line}\n`)
    process.exitCode = isUsageError ? EXIT_USAGE : EXIT_FAILURE
  }
}

/** Validates the options of a command; throws a `UsageError` that names each invalid option. */
export function checkOptions<T> (options: Readonly<Record<string, unknown>>, schema: z.ZodType<T>): T {
  const { '--': _, ...given } = options
  const rawOptions = Object.fromEntries(Object.entries(given).map(([name, value]) => [name, typeof value === 'number' ? rawValue(name, value) : value]))
  const checked = schema.safeParse(rawOptions)
  if (checked.success) return checked.data
  throw new UsageError(checked.error.issues.map(issue => `--${toKebabCase(String(issue.path[0]))}: ${issue.message}`).join('\n'))
}

/** Reads and validates a settings file; throws a `UsageError` with file, line, column, key and the expected value. */
export function readSettings<T> (file: string, schema: z.ZodType<T>): T {
  const parsed = parseJsonWithComments(file, readTextFile(file), schema)
  if (parsed.kind === 'valid') return parsed.value
  throw new UsageError(parsed.findings.map(formatFinding).join('\n'))
}

/** Reads and checks a site configuration; throws a `UsageError` with all findings. */
export function readSiteConfiguration (file: string): { source: string, configuration: SiteConfiguration } {
  const source = readTextFile(file)
  const checked = checkSiteConfiguration(file, source)
  if (checked.kind === 'valid') return { source, configuration: checked.configuration }
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

/** Writes a line to standard output. */
export function writeLine (line: string): void {
  process.stdout.write(`${line}\n`)
}

/** Describes a file system error for the user, such as `permission denied`. */
export function describeFileError (error: unknown): string {
  const { code } = error as { code?: string }
  if (code === 'ENOENT') return 'no such file or directory'
  if (code === 'EISDIR') return 'it is a directory'
  if (code === 'EACCES') return 'permission denied'
  return describeError(error)
}

/** Returns the value of an option as given on the command line; the option parser converts values that look like numbers. */
function rawValue (name: string, value: number): string {
  const flag = `--${toKebabCase(name)}`
  const { argv } = process
  const joined = argv.findLast(argument => argument.startsWith(`${flag}=`))
  if (joined !== undefined) return joined.slice(flag.length + 1)
  const index = argv.lastIndexOf(flag)
  return index < 0 ? String(value) : argv[index + 1] ?? String(value)
}

function toKebabCase (name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

/** Replaces the messages of the option parser with messages in the format of this program. */
function describeUsageError (message: string): string {
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
