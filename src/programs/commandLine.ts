import { readFileSync } from 'node:fs'
import type { CAC } from 'cac'
import type { z } from 'zod'
import { describeError } from '../base/logger.js'
import { formatFinding, parseJsonWithComments } from '../base/jsonWithComments.js'
import { checkSiteText, type SiteText } from '../contracts/siteText.js'

/** Version that every binary prints. */
export const VERSION = '0.1.0'

/** Exit status of a wrong command line, settings file or site text. */
export const EXIT_USAGE = 2

/** A problem that is reported to the user in one line, without a stack trace. */
export class UsageError extends Error {}

/** Parses and runs a command line; reports a problem on the error output and sets the exit status. */
export async function runCommandLine (program: CAC): Promise<void> {
  try {
    program.help()
    program.version(VERSION)
    program.parse(process.argv, { run: false })
    if (program.options.help === true || program.options.version === true) return
    if (program.matchedCommand === undefined) throw new UsageError(`unknown command '${program.args[0] ?? ''}'; see --help`)
    await program.runMatchedCommand()
  } catch (error) {
    process.stderr.write(`${program.name}: ${describeError(error)}\n`)
    process.exitCode = error instanceof UsageError || (error as Error).name === 'CACError' ? EXIT_USAGE : 1
  }
}

/** Reads and checks a settings file; throws a `UsageError` that names file, line, column, key and what is expected. */
export function readSettings<T> (file: string, schema: z.ZodType<T>): T {
  const parsed = parseJsonWithComments(file, readText(file), schema)
  if (parsed.kind === 'valid') return parsed.value
  throw new UsageError(parsed.findings.map(formatFinding).join('\n'))
}

/** Reads and checks a site text; throws a `UsageError` with every finding. */
export function readSiteText (file: string): { source: string, text: SiteText } {
  const source = readText(file)
  const checked = checkSiteText(file, source)
  if (checked.kind === 'valid') return { source, text: checked.text }
  throw new UsageError(checked.findings.map(formatFinding).join('\n'))
}

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new UsageError(`cannot read ${file}: ${describeError(error)}`)
  }
}

/** Writes a line to the standard output. */
export function writeLine (line: string): void {
  process.stdout.write(`${line}\n`)
}
