#!/usr/bin/env node
import { randomUUID } from 'node:crypto'
import { closeSync, openSync, writeSync } from 'node:fs'
import { cac } from 'cac'
import { SingleBar } from 'cli-progress'
import { Agent } from 'undici'
import { z } from 'zod'
import { LogicalClock } from '../base/logicalClock.js'
import { EventLog } from '../contracts/eventLog.js'
import { operatorSettingsSchema } from '../contracts/settings.js'
import { renderPlotPage } from '../load/loadPlot.js'
import { formatResult } from '../load/loadResult.js'
import { LoadRunner } from '../load/loadRunner.js'
import { checkOutcomes } from '../load/outcomeCheck.js'
import { scenarioSchema } from '../load/scenario.js'
import { checkOptions, describeFileError, EXIT_FAILURE, readSettings, readSiteConfiguration, runCommandLine, textOption, UsageError, writeLine, writeTextFile } from './commandLine.js'

const addressOption = z.url({ protocol: /^https?$/, error: 'expected an address such as http://127.0.0.1:7711' })
const optionsSchema = z.object({
  entry: z.preprocess(value => value === undefined ? [] : [value].flat(), z.array(addressOption)),
  settings: textOption.optional(),
  token: textOption.optional(),
  standin: addressOption.optional(),
  text: z.string('expected the file of the site configuration').min(1),
  json: textOption.optional(),
  plot: textOption.optional(),
  events: textOption.optional(),
  run: textOption.optional()
})
type LoadOptions = z.infer<typeof optionsSchema>

const program = cac('vanillaturn-load')

program
  .command('<scenario>', 'Run a load scenario (JSON with comments) against entry instances')
  .option('--settings <file>', 'Settings of the operators\' tool, for addresses and token')
  .option('--entry <address>', 'Address of an entry instance for callers; may be given several times')
  .option('--token <token>', 'Operator token, to read control cost and packing')
  .option('--standin <address>', 'Address of the stand-in, to inject faults and to check the outcomes against what it ran')
  .option('--text <file>', 'Site configuration, to report by urgency class')
  .option('--json <file>', 'Write the result as JSON')
  .option('--plot <file>', 'Write a self-contained page with plots')
  .option('--run <name>', 'Name that makes the idempotency keys of this run unique; random if absent, so that every run gets new keys')
  .option('--events <file>', 'Write the events of the callers for the timeline')
  .action(async (scenarioFile: string, given: Record<string, unknown>) => {
    const options = checkLoadOptions(given)
    const scenario = readSettings(scenarioFile, scenarioSchema)
    const { configuration } = readSiteConfiguration(options.text)
    for (const { service } of scenario.requests) {
      if (!(service in configuration.services)) throw new UsageError(`${scenarioFile}: the site configuration ${options.text} has no service '${service}'`)
    }
    if (scenario.faults.length > 0 && options.standin === undefined) throw new UsageError('--standin: expected the address of the stand-in, because the scenario injects faults')
    const target = resolveTarget(options)
    const eventsFile = options.events === undefined ? undefined : openForWriting(options.events)
    const events = eventsFile === undefined ? undefined : new EventLog('load', randomUUID(), new LogicalClock(), line => writeSync(eventsFile, `${line}\n`))
    const agent = new Agent({ connections: 256 })
    const bar = process.stderr.isTTY ? new SingleBar({ format: '{bar} {percentage}%', stream: process.stderr }) : undefined
    bar?.start(100, 0)
    const runner = new LoadRunner(scenario, { ...target, standinAddress: options.standin, runIdentity: options.run ?? randomUUID(), urgencyOf: service => configuration.services[service]?.urgency ?? 'normal' }, agent, events, fraction => bar?.update(Math.round(fraction * 100)))
    const result = await runner.run()
    bar?.stop()
    const ledger = await runner.readLedger()
    await agent.destroy()
    if (eventsFile !== undefined) closeSync(eventsFile)
    writeLine(formatResult(result))
    if (options.json !== undefined) writeTextFile(options.json, `${JSON.stringify(result, undefined, 2)}\n`)
    if (options.plot !== undefined) writeTextFile(options.plot, renderPlotPage(result, `${configuration.site}: ${scenarioFile}`))
    if (options.standin === undefined) return
    if (ledger === undefined) throw new Error(`the stand-in at ${options.standin} did not report what it ran; the outcomes are not checked`)
    const problems = checkOutcomes({ outcomes: runner.outcomes, jobs: result.jobs, ledger, isIdempotent: service => configuration.services[service]?.idempotent ?? false, withFaults: scenario.faults.length > 0 })
    for (const problem of problems) writeLine(`problem: ${problem}`)
    writeLine(problems.length === 0 ? 'the responses to callers agree with what ran' : `${problems.length} problems`)
    if (problems.length > 0) process.exitCode = EXIT_FAILURE
  })

function checkLoadOptions (given: Record<string, unknown>): LoadOptions {
  const options = checkOptions(given, optionsSchema)
  if (options.entry.length === 0 && options.settings === undefined) throw new UsageError('--entry: expected the address of at least one entry instance, or --settings')
  return options
}

function resolveTarget (options: LoadOptions): { callerAddresses: readonly string[], operatorToken: string } {
  const settings = options.settings === undefined ? undefined : readSettings(options.settings, operatorSettingsSchema)
  const callerAddresses = (options.entry.length > 0 ? options.entry : settings?.entryAddresses ?? []).map(address => address.replace(/\/$/, ''))
  return { callerAddresses, operatorToken: options.token ?? settings?.operatorToken ?? '' }
}

function openForWriting (file: string): number {
  try {
    return openSync(file, 'w')
  } catch (error) {
    throw new UsageError(`cannot write ${file}: ${describeFileError(error)}`)
  }
}

await runCommandLine(program)
