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

type Answer = 'taken' | 'refused' | 'silent' | 'lost'

/** Answers appends as scripted; the last answer repeats. A silent append is never answered, a lost one breaks after it took effect. */
class ScriptedLog extends PlatformLog {
  readonly records: RecordEnvelope[] = []
  attempts = 0
  constructor (private readonly answers: readonly Answer[]) { super() }

  override async append (_stream: string, records: readonly RecordEnvelope[]): Promise<AppendResponse> {
    const answer = this.answers[Math.min(this.attempts, this.answers.length - 1)]
    this.attempts += 1
    if (answer === 'refused') throw new AppendRefusedError('status 503')
    this.records.push(...records)
    if (answer === 'lost') throw new Error('connection reset')
    if (answer === 'silent') return await new Promise<AppendResponse>(() => {})
    return { firstOffset: 0, nextOffset: 1 }
  }

  override async read (): Promise<ReadResponse> {
    return { retainedFrom: 0, nextOffset: 0, records: [] }
  }
}

const TEXT = JSON.stringify({
  site: 'one',
  failureDomains: { 'zone-a': { region: 'north' } },
  services: {},
  executorPools: {},
  workerPools: { general: { processorsThousandths: 4000, memoryBytes: 1000, accelerators: 0, workersPerRack: 1, workers: { 'zone-a': 1 } } },
  teams: { one: { quota: { processorsThousandths: 1000, memoryBytes: 1000, accelerators: 0 } } }
})

/** Each case guards against a false verdict: `notRun` for a job that runs, or an acceptance that the log does not hold. */
const CASES: ReadonlyArray<{ readonly name: string, readonly answers: readonly Answer[], readonly readBack: boolean, readonly expected: string }> = [
  { name: 'a confirmed append is accepted', answers: ['taken'], readBack: false, expected: 'accepted' },
  { name: 'a lost answer is repeated with the same identity', answers: ['lost', 'taken'], readBack: false, expected: 'accepted' },
  { name: 'a log that refuses gives notRun in time', answers: ['refused'], readBack: false, expected: 'logUnavailable notRun' },
  { name: 'an append without answer gives mayHaveRun', answers: ['silent'], readBack: false, expected: 'outcomeUnknown mayHaveRun' },
  { name: 'a lost answer before an outage gives mayHaveRun', answers: ['lost', 'refused'], readBack: false, expected: 'outcomeUnknown mayHaveRun' },
  { name: 'a lost answer is confirmed by reading the record back', answers: ['lost', 'refused'], readBack: true, expected: 'accepted' }
]

describe('submission of a job', () => {
  for (const { name, answers, readBack, expected } of CASES) {
    it(name, async () => {
      const timers = install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'] })
      try {
        const checked = checkSiteConfiguration('text', TEXT)
        assert.equal(checked.kind, 'valid', JSON.stringify(checked))
        const logger = new Logger('entry', 'error', () => {})
        const context = { settings: { failureDomain: 'zone-a' }, events: new EventLog('entry', 'one', new LogicalClock(), () => {}), logger } as unknown as EntryContext
        const read = new Emitter<StoredRecord>()
        const readIdentity = new Emitter<string>()
        const follower = { stream: 'jobs.zone-a', onDidReadRecord: read.event, onDidReadIdentity: readIdentity.event } as unknown as LogFollower
        const configuration = { inForce: { revision: 1, text: checked.kind === 'valid' ? checked.configuration : undefined } } as unknown as ConfigurationTask
        const log = new ScriptedLog(answers)
        const jobs = new JobTask(context, configuration, follower, stream => new LogAppender(stream, 'entry', log, new LogicalClock(), logger, new Random(1)))
        const submitted = jobs.submit({ name: 'one', team: 'one', kind: 'batch', urgency: 'normal', tasks: 1, resources: { processorsThousandths: 1, memoryBytes: 1, accelerators: 0 }, checkpointable: false }, 'key')
        await timers.tickAsync(500)
        if (readBack) readIdentity.fire(log.records[0]?.identity ?? '')
        await timers.tickAsync(2600)
        const answer = await submitted
        assert.equal(answer.kind === 'error' ? `${answer.error.code} ${answer.error.verdict}` : answer.kind, expected)
        const attempts = log.attempts
        await timers.tickAsync(10_000)
        assert.equal(log.attempts, attempts, 'nothing is sent after the answer')
        assert.equal(new Set(log.records.map(record => record.identity)).size, log.records.length === 0 ? 0 : 1)
        jobs.dispose()
      } finally {
        timers.uninstall()
      }
    })
  }
})
