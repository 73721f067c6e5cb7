#!/usr/bin/env node
import { readFileSync, writeFileSync } from 'node:fs'
import { cac } from 'cac'
import Table from 'cli-table3'
import { z } from 'zod'
import { OperatorClient } from '../operator/operatorClient.js'
import { filterEvents, formatTimeLine, mergeEvents, parseEvents, renderTimeLinePage, type TimeLineFilter } from '../operator/timeLine.js'
import { readSettings, readSiteText, runCommandLine, UsageError, writeLine } from './commandLine.js'

const operatorSettingsSchema = z.strictObject({
  platformAddress: z.url(),
  entryAddresses: z.array(z.url()).min(1),
  operatorToken: z.string().min(16)
})

const DEFAULT_SETTINGS_FILE = 'vanillaturn.jsonc'

interface CommandOptions extends TimeLineFilter {
  readonly settings: string
  readonly base?: number
  readonly publisher: string
  readonly html?: string
}

async function withClient (options: CommandOptions, use: (client: OperatorClient) => Promise<void>): Promise<void> {
  const settings = readSettings(options.settings, operatorSettingsSchema)
  const client = new OperatorClient(settings.platformAddress, settings.entryAddresses, settings.operatorToken)
  try {
    await use(client)
  } finally {
    await client.close()
  }
}

const program = cac('vanillaturn')
program.option('--settings <file>', 'Settings of the operators\' tool (JSON with comments)', { default: DEFAULT_SETTINGS_FILE })

program.command('check <file>', 'Check a site text').action((file: string) => {
  const { text } = readSiteText(file)
  writeLine(`${file}: valid; site ${text.site}, ${Object.keys(text.services).length} services, ${Object.keys(text.failureDomains).length} failure domains`)
})

program
  .command('publish <file>', 'Publish a site text made from a base revision')
  .option('--base <revision>', 'Revision that the text was made from')
  .option('--publisher <name>', 'Name recorded with the publish', { default: 'operator' })
  .action(async (file: string, options: CommandOptions) => {
    if (typeof options.base !== 'number' || !Number.isInteger(options.base) || options.base < 0) throw new UsageError('--base: expected the revision that the text was made from, a whole number')
    const base = options.base
    const { source } = readSiteText(file)
    await withClient(options, async client => {
      const result = await client.publish(source, base, options.publisher)
      if (result.kind === 'accepted') {
        writeLine(`published as revision ${result.revision}`)
        return
      }
      process.exitCode = 1
      if (result.kind === 'lostRace') writeLine(`not published: revision ${result.currentRevision} by ${result.wonBy} is in force, and the text was made from revision ${base}`)
      else writeLine(`not published: ${'reason' in result ? result.reason : 'the outcome is undecided'}`)
    })
  })

program.command('show', 'Show the site text that the log has decided').action(async (options: CommandOptions) => {
  await withClient(options, async client => {
    const { revision, source } = await client.readConfiguration()
    writeLine(`// revision ${revision}`)
    writeLine(source)
  })
})

program.command('status', 'Show the state of every entry instance').action(async (options: CommandOptions) => {
  await withClient(options, async client => {
    const answers = await client.askAll('/operator/status')
    const latest = Math.max(0, ...answers.map(answer => Number(answer.body?.revision ?? 0)))
    const table = new Table({ head: ['instance', 'failure domain', 'revision', 'owner', 'term', 'active requests', 'open jobs'], style: { head: [], border: [] } })
    for (const { address, body } of answers) {
      if (body === undefined) table.push([address, 'unreachable', '', '', '', '', ''])
      else table.push([body.instance, body.failureDomain, `${body.revision}${Number(body.revision) < latest ? ' (lags)' : ''}`, body.owner ?? '-', body.term, body.activeRequests, body.openJobs].map(String))
    }
    writeLine(table.toString())
  })
})

program.command('explain <subject>', 'Say why a job or request waits or was refused').action(async (subject: string, options: CommandOptions) => {
  await withClient(options, async client => {
    const known = (await client.askAll(`/operator/explain/${encodeURIComponent(subject)}`)).filter(answer => answer.status === 200)
    const best = known.find(answer => answer.body?.owner === answer.body?.instance) ?? known.find(answer => !String(answer.body?.explanation).startsWith('ask the owner')) ?? known[0]
    if (best === undefined) throw new Error(`no entry instance knows '${subject}'`)
    writeLine(String(best.body?.explanation))
  })
})

program
  .command('timeline <...files>', 'Merge the event logs of all processes in causal order')
  .option('--job <job>', 'Only events of this job')
  .option('--request <request>', 'Only events of this request')
  .option('--worker <worker>', 'Only events of this worker')
  .option('--instance <instance>', 'Only events of this process')
  .option('--html <file>', 'Write a self-contained page instead of text')
  .action((files: string[], options: CommandOptions) => {
    const lines = files.flatMap(file => readFileSync(file, 'utf8').split('\n'))
    const events = filterEvents(mergeEvents(parseEvents(lines)), options)
    if (options.html === undefined) writeLine(formatTimeLine(events))
    else writeFileSync(options.html, renderTimeLinePage(events))
  })

await runCommandLine(program)
