import { Packr } from 'msgpackr'
import { Agent } from 'undici'
import { LogicalClock } from '../src/base/logicalClock.js'
import { Logger } from '../src/base/logger.js'
import { Random } from '../src/base/random.js'
import { decodeUses, encodeGrants, encodeUses, linkMessageSchema, type LinkMessage, type SlotUse } from '../src/contracts/linkMessages.js'
import type { RecordEnvelope } from '../src/contracts/records.js'
import { LogFollower } from '../src/links/logFollower.js'
import { HttpPlatformLog } from '../src/links/platformLog.js'
import { SlotAllocator } from '../src/requests/slotAllocator.js'
import { ConfigurationHistory } from '../src/zones/configurationHistory.js'
import { ByteCountingServer, medianMilliseconds, medianProcessorMilliseconds, printRow, printTitle } from './measure.js'

const EXECUTOR_COUNTS = [10, 30, 100] as const
const HOLDER_COUNTS = [3, 9, 27] as const
const RECORDS_PER_READ = [1, 10, 100, 500] as const
const LOG_RECORDS = 5000
const SERVICE_COUNTS = [5, 50, 500] as const
const ROUNDS = 3

/** Measures one report of every holder and its response: packing, parsing and validation of the frames on both sides, and the allocation itself. */
export function runSlotBench (runs: number): void {
  printTitle('slot reports: one report of each holder and its grants')
  printRow(['executors', 'holders', 'report bytes', 'grants bytes', 'us/report'])
  const packer = new Packr({ useRecords: false })
  const sendOverLink = (message: LinkMessage): { frame: Buffer, received: LinkMessage } => {
    const frame = packer.pack(message)
    return { frame, received: linkMessageSchema.parse(packer.unpack(frame)) }
  }
  for (const executors of EXECUTOR_COUNTS) {
    for (const holders of HOLDER_COUNTS) {
      const allocator = new SlotAllocator(-Infinity)
      allocator.setExecutors(Array.from({ length: executors }, (_, index) => ({ name: `swatch-gent-a-${index}`, pool: 'swatch', slots: 8, connections: 60, maximumRunMilliseconds: 5000 })))
      const stateByHolder = new Map<number, { sequence: number, uses: SlotUse[] }>()
      let reportBytes = 0
      let grantBytes = 0
      let now = 0
      const round = (): void => {
        now += 250
        for (let holder = 0; holder < holders; holder += 1) {
          const state = stateByHolder.get(holder) ?? { sequence: -1, uses: [] }
          const report = sendOverLink({ type: 'slotReport', logicalTime: now, sequence: now, appliedGrant: state.sequence, term: 1, demand: { swatch: 20 }, uses: encodeUses(state.uses), leaving: false })
          if (report.received.type !== 'slotReport') throw new Error('the message is not a slot report')
          const [decision] = allocator.onReport(`holder-${holder}`, { ...report.received, uses: decodeUses(report.received.uses) }, now)
          if (decision === undefined) throw new Error('the allocator returned no grants for the report')
          const { sequence, grants } = decision
          const response = sendOverLink({ type: 'slotGrants', logicalTime: now, term: 1, sequence, answersReport: now, validMilliseconds: 10_000, grants: encodeGrants(grants) })
          stateByHolder.set(holder, { sequence, uses: grants.map(grant => ({ executor: grant.executor, held: grant.slots, inFlight: Math.min(1, grant.slots), connections: grant.connections })) })
          reportBytes = report.frame.length
          grantBytes = response.frame.length
        }
      }
      for (let warmUp = 0; warmUp < ROUNDS; warmUp += 1) round()
      const milliseconds = medianMilliseconds(runs, () => undefined, () => { for (let index = 0; index < ROUNDS; index += 1) round() })
      printRow([executors, holders, reportBytes, grantBytes, milliseconds * 1000 / ROUNDS / holders])
    }
  }
}

/** Measures following a stream over HTTP. The processor time includes that of the server, which runs in the same process. */
export async function runLogBench (runs: number): Promise<void> {
  printTitle('log following over HTTP by records per response')
  printRow(['records/response', 'bytes/record', 'us/record', 'us/response'])
  const logger = new Logger('bench', 'error', () => {})
  for (const perRead of RECORDS_PER_READ) {
    const count = Math.min(LOG_RECORDS, perRead * 500)
    const server = new ByteCountingServer((request, response) => {
      const from = Number(new URL(request.url ?? '', 'http://localhost').searchParams.get('from'))
      const records = Array.from({ length: Math.min(perRead, count - from) }, (_, index) => ({ offset: from + index, record: createRecord(from + index) }))
      if (records.length > 0) response.setHeader('content-type', 'application/json').end(JSON.stringify({ retainedFrom: 0, nextOffset: count, records }))
    })
    const log = new HttpPlatformLog(await server.listen(), new Agent({ connections: 1 }))
    let readCount = 0
    const milliseconds = await medianProcessorMilliseconds(runs, async () => {
      const follower = new LogFollower('jobs.gent-a', log, new LogicalClock(), logger, new Random(1))
      await new Promise<void>(resolve => {
        follower.onDidReadRecord(() => { readCount += 1 })
        follower.onDidCatchUp(resolve)
        follower.run()
      })
      follower.dispose()
    })
    if (readCount !== count * runs) throw new Error(`${readCount} records were read, ${count * runs} expected`)
    printRow([perRead, Math.round(server.bytes / runs / count), milliseconds * 1000 / count, milliseconds * 1000 / (count / perRead)])
    server.close()
  }
}

/** Measures packing a configuration text for a peer, and parsing, validating and applying it. */
export function runConfigurationBench (runs: number): void {
  printTitle('configuration text sent to a peer, by its size')
  printRow(['services', 'text bytes', 'frame bytes', 'pack ms', 'apply ms'])
  const packer = new Packr({ useRecords: false })
  for (const services of SERVICE_COUNTS) {
    const text = createConfigurationText(services)
    const message: LinkMessage = { type: 'configurationText', logicalTime: 1, revision: 1, text }
    const frame = packer.pack(message)
    const pack = medianMilliseconds(runs, () => undefined, () => { packer.pack(message) })
    const apply = medianMilliseconds(runs, () => new ConfigurationHistory(), history => {
      const received = linkMessageSchema.parse(packer.unpack(frame))
      if (received.type !== 'configurationText' || !history.learn(received.revision, received.text)) throw new Error('the configuration text was rejected')
    })
    printRow([services, text.length, frame.length, pack, apply])
  }
}

function createRecord (index: number): RecordEnvelope {
  const job = { identity: `gent-a.${index}`, name: 'colour-match', team: 'catalogue', kind: 'batch' as const, urgency: 'deferrable' as const, tasks: 10, resources: { processorsThousandths: 1000, memoryBytes: 1e9, accelerators: 0 }, checkpointable: true, acceptedAtMilliseconds: 0 }
  return { identity: `job:gent-a.${index}`, schemaVersion: 1, writer: 'gent-a-1', logicalTime: index + 1, body: { type: 'jobAccepted', job, failureDomain: 'gent-a' } }
}

function createConfigurationText (services: number): string {
  const names = Array.from({ length: services }, (_, index) => `service-${index}`)
  const service = (index: number): object => ({ urgency: 'normal', dependsOn: index === 0 ? [] : [`service-${index - 1}`], executorPool: 'pool', idempotent: true, deadlineMilliseconds: 1000, maximumRunMilliseconds: 1000 })
  return JSON.stringify({
    site: 'bench',
    failureDomains: { 'zone-a': { region: 'north' } },
    services: Object.fromEntries(names.map((name, index) => [name, service(index)])),
    executorPools: { pool: { slots: 8, connections: 60, executors: { 'zone-a': 2 } } },
    workerPools: {},
    teams: {}
  }, undefined, 2)
}
