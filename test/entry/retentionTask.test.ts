import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { DisposableStore } from '../../src/base/disposable.js'
import { Emitter } from '../../src/base/emitter.js'
import { LogicalClock } from '../../src/base/logicalClock.js'
import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { EventLog } from '../../src/contracts/eventLog.js'
import type { AppendResponse, ReadResponse } from '../../src/contracts/platformProtocol.js'
import { CONFIGURATION_STREAM, domainStreamName, RECORD_SCHEMA_VERSION, type RecordBody, type RecordEnvelope } from '../../src/contracts/records.js'
import { ConfigurationTask } from '../../src/entry/configurationTask.js'
import type { EntryContext } from '../../src/entry/entryContext.js'
import { JobTask } from '../../src/entry/jobTask.js'
import { RetentionTask } from '../../src/entry/retentionTask.js'
import { LogAppender } from '../../src/links/logAppender.js'
import { LogFollower } from '../../src/links/logFollower.js'
import type { LinkTransport } from '../../src/links/linkHub.js'
import { PlatformLog } from '../../src/links/platformLog.js'

const RETAINED_RECORDS = 40
const DOMAIN = 'zone-a'
const JOBS = domainStreamName('jobs', DOMAIN)

/** Streams in memory that retain the last records. A waiting read returns at the next append. */
class MemoryLog extends PlatformLog {
  private readonly streams = new Map<string, RecordEnvelope[]>()
  private readonly appended = new Emitter<void>()

  override async append (stream: string, records: readonly RecordEnvelope[]): Promise<AppendResponse> {
    const existing = this.streams.get(stream) ?? []
    this.streams.set(stream, [...existing, ...records])
    this.appended.fire()
    return { firstOffset: existing.length, nextOffset: existing.length + records.length }
  }

  override async read (stream: string, from: number, limit: number, waitMilliseconds: number, signal?: AbortSignal): Promise<ReadResponse> {
    if (waitMilliseconds > 0 && (this.streams.get(stream)?.length ?? 0) <= from) {
      await new Promise<void>(resolve => {
        const finish = (): void => {
          subscription.dispose()
          signal?.removeEventListener('abort', finish)
          resolve()
        }
        const subscription = this.appended.event(finish)
        signal?.addEventListener('abort', finish)
      })
    }
    const all = this.streams.get(stream) ?? []
    const retainedFrom = Math.max(0, all.length - RETAINED_RECORDS)
    const start = Math.max(from, retainedFrom)
    return { retainedFrom, nextOffset: all.length, records: all.slice(start, start + limit).map((record, index) => ({ offset: start + index, record })) }
  }

  async write (stream: string, identity: string, body: RecordBody, schemaVersion = RECORD_SCHEMA_VERSION): Promise<void> {
    await this.append(stream, [{ identity, schemaVersion, writer: 'test', logicalTime: 0, body }])
    await settle()
  }
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await nextTurn()
}

function configurationSource (site: string): string {
  return JSON.stringify({ site, failureDomains: { [DOMAIN]: { region: 'north' } }, services: {}, executorPools: {}, workerPools: {}, teams: {} })
}

function published (baseRevision: number, site: string): RecordBody {
  return { type: 'configurationPublished', baseRevision, text: configurationSource(site), publisher: 'operator' }
}

/** State that an instance rebuilds from the log. */
class Reader {
  private readonly store = new DisposableStore()
  readonly jobs: JobTask
  readonly configuration: ConfigurationTask
  readonly retention: RetentionTask
  readonly followers: readonly LogFollower[]

  constructor (log: MemoryLog, owner: boolean) {
    const logger = new Logger('entry', 'error', () => {})
    const clock = new LogicalClock()
    const context = { settings: { failureDomain: DOMAIN, instance: 'entry', logRetentionRecords: RETAINED_RECORDS }, logger, events: new EventLog('entry', 'one', clock, () => {}) } as unknown as EntryContext
    const neverFires = new Emitter<never>()
    const links = { onDidReceive: neverFires.event, onDidOpen: neverFires.event, onDidClose: neverFires.event, peers: () => [] } as unknown as LinkTransport
    const createAppender = (stream: string): LogAppender => new LogAppender(stream, 'entry', log, clock, logger, new Random(1))
    const [jobFollower, configurationFollower] = [JOBS, CONFIGURATION_STREAM].map(stream => this.store.add(new LogFollower(stream, log, clock, logger, new Random(1)))) as [LogFollower, LogFollower]
    this.followers = [jobFollower, configurationFollower]
    this.configuration = this.store.add(new ConfigurationTask(context, configurationFollower, links))
    this.jobs = this.store.add(new JobTask(context, this.configuration, jobFollower, createAppender))
    this.retention = this.store.add(new RetentionTask(context, { isOwner: () => owner }, this.configuration, this.jobs, configurationFollower, jobFollower, createAppender))
    for (const follower of this.followers) follower.run()
  }

  dispose (): void {
    this.store.dispose()
  }
}

/** Guards against the loss of open jobs or of the configuration in force for instances that start later, and against ended jobs that reappear. */
describe('RetentionTask', () => {
  it('rebuilds open jobs and the decided configuration in an instance that starts after several retention periods', async context => {
    const log = new MemoryLog()
    const owner = new Reader(log, true)
    context.after(() => owner.dispose())
    const job = (identity: string): RecordBody => ({ type: 'jobAccepted', failureDomain: DOMAIN, job: { identity, name: identity, team: 'one', kind: 'batch', urgency: 'normal', tasks: 4, resources: { processorsThousandths: 1, memoryBytes: 1, accelerators: 0 }, checkpointable: false, acceptedAtMilliseconds: 0 } })
    await log.write(JOBS, 'job:open', job('open'))
    await log.write(JOBS, 'job:ended', job('ended'))
    await log.write(JOBS, 'cancel:open', { type: 'jobCancelRequested', job: 'open' })
    await log.write(JOBS, 'progress:open', { type: 'jobProgress', job: 'open', finished: [[0, 1], [3, 3]] })
    await log.write(CONFIGURATION_STREAM, 'one', published(0, 'one'))
    for (let round = 0; round < 4 * RETAINED_RECORDS; round += 1) {
      if (round === RETAINED_RECORDS) await log.write(JOBS, 'end:ended', { type: 'jobEnded', job: 'ended', outcome: 'finished', atMilliseconds: 0 })
      if (round === RETAINED_RECORDS) await log.write(CONFIGURATION_STREAM, 'two', published(1, 'two'))
      await log.write(JOBS, `filler-${round}`, { type: 'jobCancelRequested', job: 'none' })
      await log.write(CONFIGURATION_STREAM, `loser-${round}`, published(0, 'loser'))
      if (round % 5 === 0) await owner.retention.reappendDue()
      await settle()
    }
    const late = new Reader(log, false)
    context.after(() => late.dispose())
    await settle()
    assert.deepEqual(late.jobs.registry.openJobs().map(registered => [registered.job.identity, registered.cancelRequested]), [['open', true]])
    // Finished tasks that the later instance did not know would run again.
    assert.deepEqual([...late.jobs.registry.find('open')?.finished ?? []], [0, 1, 3])
    assert.equal(late.configuration.inForce?.configuration.site, 'two')
    assert.equal(late.configuration.inForce?.revision, 2)
    await log.write(CONFIGURATION_STREAM, 'three', published(2, 'three'))
    assert.deepEqual([owner, late].map(reader => reader.configuration.inForce?.configuration.site), ['three', 'three'])
  })

  it('skips and counts a record of a newer schema version', async () => {
    const log = new MemoryLog()
    const reader = new Reader(log, false)
    await log.write(CONFIGURATION_STREAM, 'newer', published(0, 'one'), RECORD_SCHEMA_VERSION + 1)
    await log.write(CONFIGURATION_STREAM, 'known', published(0, 'two'))
    assert.deepEqual([reader.configuration.inForce?.configuration.site, reader.followers[1]?.newerRecords], ['two', 1])
    reader.dispose()
  })
})
