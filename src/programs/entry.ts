#!/usr/bin/env node
import { cac } from 'cac'
import { entrySettingsSchema } from '../contracts/settings.js'
import { readSettings, runCommandLine, writeLine } from './commandLine.js'
import { createEntryInstance } from './wiring.js'

const program = cac('vanillaturn-entry')

program
  .command('<settings>', 'Run an entry instance with a settings file (JSON with comments)')
  .action(async (settingsFile: string) => {
    const settings = readSettings(settingsFile, entrySettingsSchema)
    const instance = createEntryInstance(settings, writeLine)
    let signalCount = 0
    const onSignal = async (): Promise<void> => {
      signalCount += 1
      if (signalCount > 1) process.exit(1)
      const interruptedRequests = await instance.stop()
      process.exit(interruptedRequests === 0 ? 0 : 1)
    }
    process.on('SIGTERM', onSignal)
    process.on('SIGINT', onSignal)
    try {
      await instance.start()
    } catch (error) {
      instance.dispose()
      throw error
    }
  })

await runCommandLine(program)
