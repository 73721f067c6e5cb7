#!/usr/bin/env node
import { fileURLToPath } from 'node:url'
import { mkdirSync, openSync, writeSync, closeSync } from 'node:fs'
import { cac } from 'cac'
import { EmbeddedSite } from './embeddedSite.js'
import { readSettings, readSiteText, runCommandLine, writeLine } from './commandLine.js'
import { formatResult } from '../load/loadResult.js'
import { scenarioSchema } from '../load/scenario.js'

const EXAMPLES = new URL('../../../examples/', import.meta.url)

interface SiteOptions {
  readonly text: string
  readonly scenario: string
  readonly events: string
}

const program = cac('vanillaturn-site')

program
  .command('', 'Run a whole small site in one process: stand-ins, entry instances, load, and a check of the outcome')
  .option('--text <file>', 'Site text', { default: fileURLToPath(new URL('small/site.jsonc', EXAMPLES)) })
  .option('--scenario <file>', 'Load scenario', { default: fileURLToPath(new URL('small/scenario.jsonc', EXAMPLES)) })
  .option('--events <directory>', 'Directory for the log of all processes', { default: 'run' })
  .action(async (options: SiteOptions) => {
    const { source, text } = readSiteText(options.text)
    const scenario = readSettings(options.scenario, scenarioSchema)
    mkdirSync(options.events, { recursive: true })
    const file = openSync(`${options.events}/site.log`, 'w')
    const site = new EmbeddedSite(text, source, line => writeSync(file, `${line}\n`))
    try {
      writeLine(`site ${text.site}: starting stand-ins and entry instances; log in ${options.events}/site.log`)
      await site.start()
      writeLine('configuration in force everywhere; running the load')
      const result = await site.run(scenario)
      writeLine(formatResult(result))
      const problems = site.check(result)
      for (const problem of problems) writeLine(`problem: ${problem}`)
      writeLine(problems.length === 0 ? 'every accepted request was answered once and every job finished once' : `${problems.length} problems`)
      process.exitCode = problems.length === 0 ? 0 : 1
    } finally {
      await site.stop()
      closeSync(file)
    }
  })

await runCommandLine(program)
