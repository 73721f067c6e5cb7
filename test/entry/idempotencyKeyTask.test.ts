import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Agent } from 'undici'
import { Emitter } from '../../src/base/emitter.js'
import { Random } from '../../src/base/random.js'
import type { RecordBody, StoredRecord } from '../../src/contracts/records.js'
import type { ConfigurationTask } from '../../src/entry/configurationTask.js'
import type { EntryContext } from '../../src/entry/entryContext.js'
import { IdempotencyKeyTask, LOG_TIMEOUT_MILLISECONDS } from '../../src/entry/idempotencyKeyTask.js'
import type { OwnershipTask } from '../../src/entry/ownershipTask.js'
import type { LogAppender } from '../../src/links/logAppender.js'
import type { LogFollower } from '../../src/links/logFollower.js'
import { Membership } from '../../src/machines/membership.js'

/** Stream of idempotency keys in memory that can be unavailable and delivers one record per identity. */
class FakeStream {
  unavailable = false
  readonly appended: string[] = []
  private readonly waiting: Array<() => void> = []
  private readonly identities = new Set<string>()
  private readonly didRead = new Emitter<StoredRecord>()

  readonly follower = { onDidReadRecord: this.didRead.event, hasCaughtUp: true, reachable: true }

  append (body: RecordBody, identity: string): Promise<boolean> {
    return new Promise(resolve => {
      const store = (): void => {
        if (!this.identities.has(identity)) {
          this.identities.add(identity)
          this.appended.push(body.type)
          this.didRead.fire({ offset: this.appended.length, identity, writer: 'w', logicalTime: 0, body })
        }
        resolve(true)
      }
      if (this.unavailable) this.waiting.push(store)
      else store()
    })
  }

  setUnavailable (unavailable: boolean): void {
    this.unavailable = unavailable
    this.follower.reachable = !unavailable
    if (!unavailable) for (const store of this.waiting.splice(0)) store()
  }
}

interface Site {
  readonly stream: FakeStream
  readonly task: IdempotencyKeyTask
  owner: boolean
}

function createSite (stream = new FakeStream()): Site {
  const context = { settings: { failureDomain: 'zone', instance: 'i', linkKeys: ['0123456789abcdef'] }, random: new Random(1) } as unknown as EntryContext
  const configuration = { inForce: { configuration: { failureDomains: { zone: {} }, limits: { idempotencyWindowMilliseconds: 600_000 } } } } as unknown as ConfigurationTask
  const site = { stream, owner: true } as { stream: FakeStream, owner: boolean, task: IdempotencyKeyTask }
  const ownership = { isOwner: () => site.owner, owner: { instance: 'i', incarnation: '1' } } as unknown as OwnershipTask
  const createAppender = (): LogAppender => ({ append: (body: RecordBody, _timeout: number, identity: string) => stream.append(body, identity), dispose: () => {} }) as unknown as LogAppender
  site.task = new IdempotencyKeyTask(context, configuration, new Membership(), ownership, stream.follower as unknown as LogFollower, createAppender, new Agent(), () => 1n)
  return site
}

const LATER = performance.now() + 60_000

/** Each case guards against running a request twice. */
const CASES: ReadonlyArray<{ readonly name: string, readonly run: (site: Site) => Promise<void> }> = [
  {
    name: 'runs only one of two requests with the same key, with one append at its start and one at its end',
    run: async ({ task, stream }) => {
      const decisions = await Promise.all([task.acquire('k', 'a', LATER), task.acquire('k', 'b', LATER)])
      assert.deepEqual(decisions.map(({ kind }) => kind).sort(), ['outcomeUnknown', 'run'])
      await task.recordOutcome('k', 'a', { kind: 'ended', status: 201, bodyBase64: 'eA==' })
      assert.equal((await task.acquire('k', 'c', LATER)).kind, 'recorded')
      assert.deepEqual(stream.appended, ['keyStarted', 'keyEnded'])
    }
  },
  {
    name: 'frees the key of a request that was not run',
    run: async ({ task }) => {
      await task.acquire('k', 'a', LATER)
      await task.recordOutcome('k', 'a', { kind: 'notRun' })
      assert.equal((await task.acquire('k', 'b', LATER)).kind, 'run')
    }
  },
  {
    name: 'decides from memory while the log is unavailable, and a later owner learns the decision from the log',
    run: async ({ task, stream }) => {
      stream.setUnavailable(true)
      assert.deepEqual(await task.acquire('k', 'a', LATER), { kind: 'run', unlogged: true })
      assert.equal((await task.acquire('k', 'b', LATER)).kind, 'outcomeUnknown')
      const successor = createSite(stream)
      stream.setUnavailable(false)
      assert.equal((await successor.task.acquire('k', 'c', LATER)).kind, 'outcomeUnknown')
      assert.deepEqual(stream.appended, ['keyStarted'])
    }
  },
  {
    name: 'runs nothing on an instance that is no longer owner or has not caught up with the log',
    run: async site => {
      site.owner = false
      assert.equal((await site.task.acquire('k', 'a', LATER)).kind, 'unavailable')
      site.owner = true
      site.stream.follower.hasCaughtUp = false
      assert.equal((await site.task.acquire('k2', 'b', LATER)).kind, 'unavailable')
    }
  },
  {
    name: 'returns at the deadline of a request whose key cannot be checked in time',
    run: async site => {
      site.stream.setUnavailable(true)
      const startedAt = performance.now()
      assert.equal((await site.task.acquire('k', 'a', startedAt + 200)).kind, 'unavailable')
      assert.ok(performance.now() - startedAt < LOG_TIMEOUT_MILLISECONDS)
    }
  },
  {
    name: 'runs nothing if the owner loses its lease while it waits for the log',
    run: async site => {
      site.stream.setUnavailable(true)
      const pending = site.task.acquire('k', 'a', performance.now() + 1500)
      site.owner = false
      assert.equal((await pending).kind, 'unavailable')
    }
  }
]

describe('IdempotencyKeyTask', () => {
  for (const { name, run } of CASES) it(name, async () => { await run(createSite()) })
})
