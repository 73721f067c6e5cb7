import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { install } from '@sinonjs/fake-timers'
import { Emitter } from '../../src/base/emitter.js'
import { LogicalClock } from '../../src/base/logicalClock.js'
import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { EventLog } from '../../src/contracts/eventLog.js'
import type { AppendResponse, ReadResponse } from '../../src/contracts/platformProtocol.js'
import type { RecordEnvelope, StoredRecord } from '../../src/contracts/records.js'
import { checkSiteConfiguration } from '../../src/contracts/siteConfiguration.js'
import type { ConfigurationTask } from '../../src/entry/configurationTask.js'
import type { EntryContext } from '../../src/entry/entryContext.js'
import { JobTask } from '../../src/entry/jobTask.js'
import { LogAppender } from '../../src/links/logAppender.js'
import type { LogFollower } from '../../src/links/logFollower.js'
import { AppendRefusedError, PlatformLog } from '../../src/links/platformLog.js'

type AppendBehavior = 'confirmed' | 'refused' | 'silent' | 'lost'

/** Handles appends as scripted; the last behavior repeats. A silent append never completes; a lost one fails after it took effect. */
class ScriptedLog extends PlatformLog {
  readonly records: RecordEnvelope[] = []
  attempts = 0
  constructor (private readonly behaviors: readonly AppendBehavior[]) { super() }

  override async append (_stream: string, records: readonly RecordEnvelope[]): Promise<AppendResponse> {
    const behavior = this.behaviors[Math.min(this.attempts, this.behaviors.length - 1)]
    this.attempts += 1
    if (behavior === 'refused') throw new AppendRefusedError('status 503')
    this.records.push(...records)
    if (behavior === 'lost') throw new Error('connection reset')
    if (behavior === 'silent') return await new Promise<AppendResponse>(() => {})
    return { firstOffset: 0, nextOffset: 1 }
  }

  override async read (): Promise<ReadResponse> {
    return { retainedFrom: 0, nextOffset: 0, records: [] }
  }
}

const CONFIGURATION_SOURCE = JSON.stringify({
  site: 'one',
  failureDomains: { 'zone-a': { region: 'north' } },
  services: {},
  executorPools: {},
  workerPools: { general: { processorsThousandths: 4000, memoryBytes: 1000, accelerators: 0, workersPerRack: 1, workers: { 'zone-a': 1 } } },
  teams: { one: { quota: { processorsThousandths: 1000, memoryBytes: 1000, accelerators: 0 } } }
})

/** Each case guards against a false verdict: `notRun` for a job that runs, or acceptance of a job that is not in the log. */
const CASES: ReadonlyArray<{ readonly name: string, readonly behaviors: readonly AppendBehavior[], readonly readBack: boolean, readonly expected: string }> = [
  { name: 'accepts a job whose append is confirmed', behaviors: ['confirmed'], readBack: false, expected: 'accepted' },
  { name: 'repeats an append whose response is lost, with the same identity', behaviors: ['lost', 'confirmed'], readBack: false, expected: 'accepted' },
  { name: 'returns notRun in time if the log refuses', behaviors: ['refused'], readBack: false, expected: 'logUnavailable notRun' },
  { name: 'returns mayHaveRun for an append without a response', behaviors: ['silent'], readBack: false, expected: 'outcomeUnknown mayHaveRun' },
  { name: 'returns mayHaveRun if a response is lost before an outage', behaviors: ['lost', 'refused'], readBack: false, expected: 'outcomeUnknown mayHaveRun' },
  { name: 'accepts a job whose response is lost once its record is read back', behaviors: ['lost', 'refused'], readBack: true, expected: 'accepted' }
]

describe('submission of a job', () => {
  for (const { name, behaviors, readBack, expected } of CASES) {
    it(name, async () => {
      const timers = install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'] })
      try {
        const checked = checkSiteConfiguration('text', CONFIGURATION_SOURCE)
        assert.equal(checked.kind, 'valid', JSON.stringify(checked))
        const logger = new Logger('entry', 'error', () => {})
        const context = { settings: { failureDomain: 'zone-a' }, events: new EventLog('entry', 'one', new LogicalClock(), () => {}), logger } as unknown as EntryContext
        const read = new Emitter<StoredRecord>()
        const readIdentity = new Emitter<string>()
        const follower = { stream: 'jobs.zone-a', onDidReadRecord: read.event, onDidReadIdentity: readIdentity.event } as unknown as LogFollower
        const configuration = { inForce: { revision: 1, configuration: checked.kind === 'valid' ? checked.configuration : undefined } } as unknown as ConfigurationTask
        const log = new ScriptedLog(behaviors)
        const jobs = new JobTask(context, configuration, follower, stream => new LogAppender(stream, 'entry', log, new LogicalClock(), logger, new Random(1)))
        const submitted = jobs.submit({ name: 'one', team: 'one', kind: 'batch', urgency: 'normal', tasks: 1, resources: { processorsThousandths: 1, memoryBytes: 1, accelerators: 0 }, checkpointable: false }, 'key')
        await timers.tickAsync(500)
        if (readBack) readIdentity.fire(log.records[0]?.identity ?? '')
        await timers.tickAsync(2600)
        const result = await submitted
        assert.equal(result.kind === 'error' ? `${result.error.code} ${result.error.verdict}` : result.kind, expected)
        const attempts = log.attempts
        await timers.tickAsync(10_000)
        assert.equal(log.attempts, attempts, 'nothing is sent after the result')
        assert.equal(new Set(log.records.map(record => record.identity)).size, log.records.length === 0 ? 0 : 1)
        jobs.dispose()
      } finally {
        timers.uninstall()
      }
    })
  }
})
