#!/usr/bin/env node
import { cac } from 'cac'
import { standinSettingsSchema } from '../contracts/settings.js'
import { readSettings, readSiteConfiguration, runCommandLine, writeLine } from './commandLine.js'
import { createSiteStandin } from './wiring.js'

const program = cac('vanillaturn-standin')

program
  .command('<settings>', 'Run stand-ins of platform, workers and executors with a settings file (JSON with comments)')
  .action(async (settingsFile: string) => {
    const settings = readSettings(settingsFile, standinSettingsSchema)
    const { configuration } = readSiteConfiguration(settings.siteTextFile)
    const site = createSiteStandin(configuration, { ...settings, host: settings.platform.host, port: settings.platform.port }, writeLine)
    for (const entry of settings.entries) {
      site.addInstance({ kind: 'entry', name: entry.name, failureDomain: entry.failureDomain, address: entry.linkAddress, callerAddress: entry.callerAddress, state: 'live' })
    }
    try {
      await site.start()
    } catch (error) {
      site.dispose()
      throw error
    }
    const stop = (): void => {
      site.dispose()
      process.exit(0)
    }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
  })

await runCommandLine(program)
