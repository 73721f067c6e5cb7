#!/usr/bin/env node
import { cac } from 'cac'
import { z } from 'zod'
import { EVENT_KINDS } from '../contracts/events.js'
import { OperatorClient, type InstanceResponse, type PublishResult } from '../operator/operatorClient.js'
import { explainHistory, formatHistory, selectHistory } from '../operator/jobHistory.js'
import { parseLog } from '../operator/logLine.js'
import { assessStatus, formatStatus } from '../operator/statusReport.js'
import { checkCausalOrder, filterEvents, formatTimeline, mergeEvents, parseEvents, renderTimelinePage } from '../operator/timeline.js'
import { checkOptions, EXIT_FAILURE, readSettings, readSiteConfiguration, readTextFile, runCommandLine, textOption, UsageError, wholeNumberOption, writeLine, writeTextFile } from './commandLine.js'
import { operatorSettingsSchema } from '../contracts/settings.js'

const DEFAULT_SETTINGS_FILE = 'vanillaturn.jsonc'
const DEFAULT_WAIT_SECONDS = '13'
const MAXIMUM_WAIT_SECONDS = 600

const settingsOption = { settings: textOption }
const timeOption = textOption.transform((text, context) => {
  const time = Date.parse(text)
  if (Number.isNaN(time)) context.addIssue({ code: 'custom', message: 'expected a time such as 2026-05-04T13:00:00Z' })
  return time
})
const commandOptions = {
  publish: z.object({
    ...settingsOption,
    base: wholeNumberOption('the revision that the configuration is based on'),
    publisher: textOption,
    wait: wholeNumberOption('a number of seconds').refine(seconds => seconds <= MAXIMUM_WAIT_SECONDS, `expected at most ${MAXIMUM_WAIT_SECONDS} seconds`)
  }),
  show: z.object({ ...settingsOption, revision: wholeNumberOption('a revision').optional() }),
  status: z.object(settingsOption),
  explain: z.object({ ...settingsOption, lines: z.boolean().optional() }),
  timeline: z.object({
    job: textOption.optional(),
    request: textOption.optional(),
    worker: textOption.optional(),
    instance: textOption.optional(),
    kind: z.enum(EVENT_KINDS, 'expected a kind of event, such as requestAccepted').optional(),
    since: timeOption.optional(),
    until: timeOption.optional(),
    html: textOption.optional()
  })
}

async function withClient (settingsFile: string, use: (client: OperatorClient) => Promise<void>): Promise<void> {
  const settings = readSettings(settingsFile, operatorSettingsSchema)
  const client = new OperatorClient(settings.platformAddress, settings.entryAddresses, settings.operatorToken)
  try {
    await use(client)
  } finally {
    await client.close()
  }
}

function describePublishResult (result: PublishResult, base: number): string {
  switch (result.kind) {
    case 'accepted':
      return `published as revision ${result.revision}`
    case 'lostRace':
      if (base > result.currentRevision) return `not published: the base revision ${base} does not exist; the latest revision is ${result.currentRevision}`
      return `not published: revision ${result.currentRevision} by ${result.wonBy} was published first, and the base revision is ${base}; see 'show --revision ${result.currentRevision}', merge and publish with --base ${result.currentRevision}`
    case 'invalid':
      return `not published: ${result.reason}`
    case 'undecided':
      return 'not decided: the log no longer retains the base revision'
    case 'notSent':
      return `not published: ${result.reason}`
    case 'unknown':
      return `unknown whether published: ${result.reason}; see 'show' before publishing again`
  }
}

/** Selects the explanations to print: for a request, those of all instances; for a job, that of the owner, or of another instance if the owner's is missing. */
function chooseExplanations (responses: readonly InstanceResponse[]): string[] {
  const found = responses.filter(response => response.status === 200).map(response => response.body ?? {})
  const requests = found.filter(body => body.subjectKind === 'request')
  if (requests.length > 0) return requests.map(body => `${body.instance}: ${body.explanation}`)
  const selected = found.find(body => body.owner !== undefined && body.owner === body.instance) ?? found.find(body => body.owner === undefined) ?? found[0]
  return selected === undefined ? [] : [String(selected.explanation)]
}

async function explainFromInstances (client: OperatorClient, subject: string): Promise<void> {
  const responses = await client.queryAll(`/operator/explain/${encodeURIComponent(subject)}`)
  const explanations = chooseExplanations(responses)
  for (const line of explanations) writeLine(line)
  if (explanations.length > 0) return
  const failed = responses.filter(response => response.status !== 404)
  const failures = failed.map(response => `\n${response.address}: ${response.reason ?? (response.status === 401 ? 'the operator token is refused' : `status ${response.status}`)}`)
  throw new Error(`no entry instance that answered knows '${subject}'${failures.join('')}`)
}

function explainFromLogs (job: string, files: readonly string[], showLines: boolean): void {
  const log = parseLog(files.flatMap(file => readTextFile(file).split('\n')))
  const explanation = explainHistory(log, job)
  if (explanation === undefined) throw new Error(`no line of the ${log.length} read is about '${job}'`)
  if (showLines) writeLine(formatHistory(selectHistory(log, job)))
  for (const sentence of explanation) writeLine(sentence)
}

const program = cac('vanillaturn')
program.option('--settings <file>', 'Settings of the operators\' tool (JSON with comments)', { default: DEFAULT_SETTINGS_FILE })

program.command('check <file>', 'Check a site configuration').action((file: string) => {
  const { configuration } = readSiteConfiguration(file)
  writeLine(`${file}: valid; site ${configuration.site}, ${Object.keys(configuration.services).length} services, ${Object.keys(configuration.failureDomains).length} failure domains`)
})

program
  .command('publish <file>', 'Publish a site configuration based on an earlier revision')
  .option('--base <revision>', 'Revision that the configuration is based on')
  .option('--publisher <name>', 'Name recorded with the publish', { default: 'operator' })
  .option('--wait <seconds>', 'Maximum time to wait until the revision is in force at every reachable instance', { default: DEFAULT_WAIT_SECONDS })
  .action(async (file: string, given: Record<string, unknown>) => {
    const options = checkOptions(given, commandOptions.publish)
    const { source } = readSiteConfiguration(file)
    await withClient(options.settings, async client => {
      const result = await client.publish(source, options.base, options.publisher)
      writeLine(describePublishResult(result, options.base))
      if (result.kind !== 'accepted') {
        process.exitCode = EXIT_FAILURE
        return
      }
      if (options.wait === 0) return
      const responses = await client.waitUntilInForce(result.revision, options.wait * 1000)
      const reachable = responses.flatMap(response => response.status ?? [])
      const outdated = reachable.filter(status => status.revision < result.revision)
      for (const { address, status, reason } of responses) {
        if (status === undefined) writeLine(`${address}: ${reason}`)
      }
      for (const status of outdated) writeLine(`${status.instance}: still has revision ${status.revision}`)
      writeLine(`in force at ${reachable.length - outdated.length} of ${responses.length} instances`)
      if (outdated.length > 0 || reachable.length === 0) process.exitCode = EXIT_FAILURE
    })
  })

program
  .command('show', 'Show the published site configuration')
  .option('--revision <revision>', 'Show this revision instead of the latest')
  .action(async (given: Record<string, unknown>) => {
    const options = checkOptions(given, commandOptions.show)
    await withClient(options.settings, async client => {
      const published = await client.readConfiguration(options.revision)
      if (published === undefined) throw new Error(`the log has no revision ${options.revision}`)
      writeLine(`// revision ${published.revision}`)
      if (published.source !== '') writeLine(published.source.trimEnd())
    })
  })

program.command('status', 'Show the state of every entry instance; exits with 0 if there are no problems').action(async (given: Record<string, unknown>) => {
  const options = checkOptions(given, commandOptions.status)
  await withClient(options.settings, async client => {
    const [responses, decided] = await Promise.all([client.readStatus(), client.readConfiguration().catch(() => undefined)])
    const site = assessStatus(responses, decided?.revision)
    writeLine(formatStatus(site))
    if (site.problems.length > 0) process.exitCode = EXIT_FAILURE
  })
})

program
  .command('explain <subject> [...files]', 'Explain what happened to a job or request, and why it waits or was refused; given the logs of all instances, explains a job on a platform from them')
  .example('vanillaturn explain 7d866a70a320b8d2 instance-*.log')
  .option('--lines', 'Also show the log lines of the job')
  .action(async (subject: string, files: string[], given: Record<string, unknown>) => {
    const options = checkOptions(given, commandOptions.explain)
    if (files.length > 0) explainFromLogs(subject, files, options.lines === true)
    else await withClient(options.settings, async client => await explainFromInstances(client, subject))
  })

program
  .command('timeline <...files>', 'Merge the event logs of all processes in causal order')
  .option('--job <job>', 'Only events of this job')
  .option('--request <request>', 'Only events of this request')
  .option('--worker <worker>', 'Only events of this worker')
  .option('--instance <instance>', 'Only events of this process')
  .option('--kind <kind>', 'Only events of this kind')
  .option('--since <time>', 'Only events at or after this time (ISO 8601)')
  .option('--until <time>', 'Only events at or before this time (ISO 8601)')
  .option('--html <file>', 'Write a self-contained page instead of text')
  .action((files: string[], given: Record<string, unknown>) => {
    if (files.length === 0) throw new UsageError('an argument is missing; expected timeline <...files>; see --help')
    const { html, since, until, ...filter } = checkOptions(given, commandOptions.timeline)
    const all = parseEvents(files.flatMap(file => readTextFile(file).split('\n')))
    const events = filterEvents(mergeEvents(all), { ...filter, sinceMilliseconds: since, untilMilliseconds: until })
    if (html !== undefined) writeTextFile(html, renderTimelinePage(events))
    else if (events.length > 0) writeLine(formatTimeline(events))
    const violations = checkCausalOrder(all)
    for (const violation of violations) process.stderr.write(`vanillaturn: the order is not causal: ${violation}\n`)
    if (violations.length > 0) process.exitCode = EXIT_FAILURE
  })

await runCommandLine(program)
