#!/usr/bin/env node
import { writeFileSync } from 'node:fs'
import { cac } from 'cac'
import { SingleBar } from 'cli-progress'
import { Agent } from 'undici'
import { formatResult } from '../load/loadResult.js'
import { LoadRunner } from '../load/loadRunner.js'
import { scenarioSchema } from '../load/scenario.js'
import { readSettings, readSiteText, runCommandLine, UsageError, writeLine } from './commandLine.js'

interface LoadOptions {
  readonly entry?: string | string[]
  readonly token?: string
  readonly text?: string
  readonly json?: string
}

const program = cac('vanillaturn-load')

program
  .command('<scenario>', 'Run a load scenario (JSON with comments) against entry instances')
  .option('--entry <address>', 'Address of an entry instance for callers; may be given several times')
  .option('--token <token>', 'Operator token, to read control cost and packing')
  .option('--text <file>', 'Site text, to report by urgency class')
  .option('--json <file>', 'File for the result as JSON')
  .action(async (scenarioFile: string, options: LoadOptions) => {
    const scenario = readSettings(scenarioFile, scenarioSchema)
    const callerAddresses = [options.entry ?? []].flat()
    if (callerAddresses.length === 0) throw new UsageError('--entry: expected the address of at least one entry instance')
    if (options.text === undefined) throw new UsageError('--text: expected the file of the site text')
    const { text } = readSiteText(options.text)
    const agent = new Agent({ connections: 256 })
    const bar = new SingleBar({ format: '{bar} {percentage}%', noTTYOutput: false, stream: process.stderr })
    bar.start(100, 0)
    const runner = new LoadRunner(scenario, { callerAddresses, operatorToken: options.token ?? '', urgencyOf: service => text.services[service]?.urgency ?? 'normal' }, agent, fraction => bar.update(Math.round(fraction * 100)))
    const result = await runner.run()
    bar.stop()
    await agent.destroy()
    writeLine(formatResult(result))
    if (options.json !== undefined) writeFileSync(options.json, `${JSON.stringify(result, undefined, 2)}\n`)
  })

await runCommandLine(program)
