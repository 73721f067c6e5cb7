import assert from 'node:assert/strict'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { pack } from 'msgpackr'
import { WebSocket } from 'ws'
import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { InstanceLinks } from '../../src/cluster/instanceLinks.js'
import { EligibilityPort, type EligibilityOutcome } from '../../src/cluster/workerPort.js'
import type { LeadershipRecord } from '../../src/contracts/clusterRecords.js'

/** Longest wait for an expected reply or event, in milliseconds. */
const REPLY_TIMEOUT_MILLISECONDS = 10_000

class NobodyEligible extends EligibilityPort {
  override async query (): Promise<EligibilityOutcome> {
    return { kind: 'eligible', workers: [], validMilliseconds: 1 }
  }
}

/** Terms of the summaries that instances have received. */
const summaries: number[] = []

function createLinks (instance: string, exited: string[] = []): InstanceLinks {
  return new InstanceLinks({ instance, incarnation: `${instance}-1`, processorShare: 1, linkMegabits: 1000 }, new NobodyEligible(), {
    getJobStatus: job => ({ state: `${job} at ${instance}`, organisation: 'acme' }),
    countWaitingJobs: () => 3,
    getCurrentJobStatus: async job => ({ state: `${job} in the log of ${instance}` }),
    decideAdmission: () => undefined,
    onBacklogSummary: ({ term }) => summaries.push(term),
    onRoleOffer: () => {},
    onHolderExited: incarnation => exited.push(incarnation)
  }, new Logger(instance, 'error', () => {}), new Random(1), () => performance.now())
}

async function queryUntilAnswered (links: InstanceLinks): Promise<string | undefined> {
  const endsAt = performance.now() + REPLY_TIMEOUT_MILLISECONDS
  while (performance.now() < endsAt) {
    const reply = await links.queryHolder({ type: 'stateQuestion', job: 'aa' }, 1000)
    if (reply?.type === 'stateReply') return `${reply.state} of ${reply.organisation ?? 'nobody'}`
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  return undefined
}

async function withPair (body: (holder: InstanceLinks, record: LeadershipRecord, other: InstanceLinks, exited: string[]) => Promise<void>): Promise<void> {
  const exited: string[] = []
  const holder = createLinks('holder')
  const other = createLinks('other', exited)
  try {
    const port = await holder.listen({ host: '127.0.0.1', port: 0 })
    await body(holder, { term: 1, instance: 'holder', incarnation: 'holder-1', address: `127.0.0.1:${port}`, resigned: false }, other, exited)
  } finally {
    other.dispose()
    holder.dispose()
  }
}

describe('InstanceLinks', () => {
  it('keeps the link to a holder that has resigned, and closes it when the holder changes', async () => await withPair(async (_holder, record, other) => {
    other.setHolder(record)
    assert.equal(await queryUntilAnswered(other), 'aa at holder of acme')
    other.setHolder({ ...record, resigned: true })
    assert.equal(await queryUntilAnswered(other), 'aa at holder of acme')
    other.setHolder(undefined)
    assert.equal(await other.queryHolder({ type: 'stateQuestion', job: 'aa' }, 1000), undefined)
  }))

  it('sends the backlog to an instance once that has asked for it', async () => await withPair(async (holder, record, other) => {
    other.setHolder(record)
    await queryUntilAnswered(other)
    holder.sendBacklog({ type: 'backlogSummary', term: 1, organisations: [] })
    await queryUntilAnswered(other)
    assert.deepEqual(summaries, [])
    other.requestBacklog()
    await queryUntilAnswered(other)
    holder.sendBacklog({ type: 'backlogSummary', term: 2, organisations: [] })
    await queryUntilAnswered(other)
    assert.deepEqual(summaries, [2])
  }))

  it('offers the eligibility channels of linked instances in addition to its own', async () => await withPair(async (holder, record, other) => {
    other.setHolder(record)
    await queryUntilAnswered(other)
    assert.deepEqual(holder.eligibilityChannels().map(channel => channel.instance), ['holder', 'other'])
    assert.equal(holder.pickSuccessor()?.instance, 'other')
  }))

  it('reports that the holder has exited when another process responds at its address', async () => await withPair(async (_holder, record, other, exited) => {
    other.setHolder({ ...record, incarnation: 'holder-0' })
    const endsAt = performance.now() + REPLY_TIMEOUT_MILLISECONDS
    while (exited.length === 0 && performance.now() < endsAt) await new Promise(resolve => setTimeout(resolve, 5))
    assert.deepEqual(exited, ['holder-0'])
  }))

  /** Guards against one record that ends every process that reads it. */
  for (const address of ['', ':', 'a b:1', 'a#b', '127.0.0.1:99999', 'ws://127.0.0.1:1']) {
    it(`keeps trying if the holder's address is '${address}'`, async () => await withPair(async (_holder, record, other) => {
      other.setHolder({ ...record, incarnation: 'holder-0', address })
      await new Promise(resolve => setTimeout(resolve, 5))
      other.setHolder(record)
      assert.equal(await queryUntilAnswered(other), 'aa at holder of acme')
    }))
  }

  /** Guards against a frame that ends the process which receives it. */
  const FRAMES: ReadonlyArray<{ readonly name: string, readonly frame: Buffer | string }> = [
    { name: 'empty', frame: Buffer.alloc(0) },
    { name: 'text', frame: '{"type":"hello"}' },
    { name: 'not msgpack', frame: Buffer.from([0xc1, 0xff]) },
    { name: 'truncated', frame: pack({ type: 'stateQuestion', id: 1, job: 'aa' }).subarray(0, 9) },
    { name: 'no object', frame: pack(null) },
    { name: 'of an unknown type', frame: pack({ type: 'stop' }) },
    { name: 'lacking its fields', frame: pack({ type: 'eligibilityQuestion', id: 1 }) },
    { name: 'with fields of other types', frame: pack({ type: 'waitingQuestion', id: 'one', queue: {} }) },
    { name: 'nested deeply', frame: Buffer.alloc(200_000, 0x91) },
    { name: 'too large', frame: Buffer.alloc(300_000, 0x91) }
  ]
  for (const { name, frame } of FRAMES) {
    it(`closes a link after a frame that is ${name}, and serves the others`, async () => await withPair(async (_holder, record, other) => {
      other.setHolder(record)
      const socket = new WebSocket(`ws://${record.address}`)
      await once(socket, 'open')
      socket.on('error', () => {})
      socket.send(frame)
      await once(socket, 'close')
      assert.equal(await queryUntilAnswered(other), 'aa at holder of acme')
    }))
  }
})
