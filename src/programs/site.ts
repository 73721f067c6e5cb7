#!/usr/bin/env node
import { fileURLToPath } from 'node:url'
import { mkdirSync, openSync, writeSync, closeSync } from 'node:fs'
import { cac } from 'cac'
import { z } from 'zod'
import { EmbeddedSite } from './embeddedSite.js'
import { checkOptions, describeFileError, readSettings, readSiteConfiguration, runCommandLine, textOption, UsageError, writeLine } from './commandLine.js'
import { formatResult } from '../load/loadResult.js'
import { scenarioSchema } from '../load/scenario.js'

const EXAMPLES = new URL('../../../examples/', import.meta.url)

const optionsSchema = z.object({ text: textOption, scenario: textOption, events: textOption })

const program = cac('vanillaturn-site')

program
  .command('', 'Run a small site in one process with stand-ins, entry instances and load, and check the outcomes')
  .option('--text <file>', 'Site configuration', { default: fileURLToPath(new URL('small/site.jsonc', EXAMPLES)) })
  .option('--scenario <file>', 'Load scenario', { default: fileURLToPath(new URL('small/scenario.jsonc', EXAMPLES)) })
  .option('--events <directory>', 'Directory for the log of all processes', { default: 'run' })
  .action(async (given: Record<string, unknown>) => {
    const options = checkOptions(given, optionsSchema)
    const { source, configuration } = readSiteConfiguration(options.text)
    const scenario = readSettings(options.scenario, scenarioSchema)
    const file = openLog(options.events)
    let closed = false
    const site = new EmbeddedSite(configuration, source, line => { if (!closed) writeSync(file, `${line}\n`) })
    try {
      writeLine(`site ${configuration.site}: starting stand-ins and entry instances; log in ${options.events}/site.log`)
      await site.start()
      writeLine('configuration in force everywhere; running the load')
      const result = await site.run(scenario)
      writeLine(formatResult(result))
      writeLine('processor time and memory are those of the single process that runs all parts of the site')
      const problems = site.checkOutcomes(result, scenario)
      for (const problem of problems) writeLine(`problem: ${problem}`)
      writeLine(problems.length === 0 ? 'every accepted request was answered once and every job finished once' : `${problems.length} problems`)
      process.exitCode = problems.length === 0 ? 0 : 1
    } finally {
      await site.stop()
      closed = true
      closeSync(file)
    }
  })

function openLog (directory: string): number {
  try {
    mkdirSync(directory, { recursive: true })
    return openSync(`${directory}/site.log`, 'w')
  } catch (error) {
    throw new UsageError(`cannot write ${directory}/site.log: ${describeFileError(error)}`)
  }
}

await runCommandLine(program)
