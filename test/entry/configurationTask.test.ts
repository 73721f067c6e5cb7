import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { install } from '@sinonjs/fake-timers'
import { Packr } from 'msgpackr'
import { DisposableStore } from '../../src/base/disposable.js'
import { Emitter } from '../../src/base/emitter.js'
import { LogicalClock } from '../../src/base/logicalClock.js'
import { Logger } from '../../src/base/logger.js'
import { Random } from '../../src/base/random.js'
import { EventLog } from '../../src/contracts/eventLog.js'
import type { LinkMessage } from '../../src/contracts/linkMessages.js'
import type { StoredRecord } from '../../src/contracts/records.js'
import { ConfigurationTask } from '../../src/entry/configurationTask.js'
import type { EntryContext } from '../../src/entry/entryContext.js'
import type { PeerIdentity } from '../../src/links/handshake.js'
import type { LinkTransport, ReceivedMessage } from '../../src/links/linkHub.js'
import type { LogFollower } from '../../src/links/logFollower.js'

const IN_FORCE_BOUND_MILLISECONDS = 13_000
const CHANGES_PER_SECOND = 6000 / 86_400
const packer = new Packr({ useRecords: false })

function configurationSource (site: string, padding = 0): string {
  return JSON.stringify({ site, failureDomains: { 'zone-a': { region: 'north' } }, services: {}, executorPools: {}, workerPools: {}, teams: {} }) + ' '.repeat(padding)
}

/** Instances connected by links in memory. Each reads the log, unless it is cut off from the platform. */
class Network {
  private readonly store = new DisposableStore()
  private readonly nodes = new Map<string, Node>()
  private offset = 0
  bytes = 0

  add (name: string, cutOff: boolean): Node {
    const node = this.store.add(new Node(name, cutOff, this))
    this.nodes.set(name, node)
    return node
  }

  link (left: Node, right: Node): void {
    left.linked.push(right.identity)
    right.linked.push(left.identity)
    left.didOpen.fire(right.identity)
    right.didOpen.fire(left.identity)
  }

  deliver (from: PeerIdentity, to: string, message: LinkMessage): void {
    this.bytes += packer.pack(message).length
    setTimeout(() => this.nodes.get(to)?.didReceive.fire({ from, message }), 1)
  }

  publish (baseRevision: number, source: string): void {
    const record: StoredRecord = { offset: this.offset++, identity: `${this.offset}`, writer: '', logicalTime: 0, body: { type: 'configurationPublished', baseRevision, text: source, publisher: 'operator' } }
    for (const node of this.nodes.values()) if (!node.cutOff) setTimeout(() => node.didRead.fire(record), 10)
  }

  /** Waits until the hash function is compiled, which the fake clock does not cover; otherwise announcements are late on a loaded machine. */
  async whenReady (): Promise<void> {
    for (const node of this.nodes.values()) await node.task.whenReady()
  }

  dispose (): void {
    this.store.dispose()
  }
}

class Node {
  readonly identity: PeerIdentity
  readonly linked: PeerIdentity[] = []
  readonly didOpen = new Emitter<PeerIdentity>()
  readonly didReceive = new Emitter<ReceivedMessage>()
  readonly didRead = new Emitter<StoredRecord>()
  readonly task: ConfigurationTask

  constructor (name: string, readonly cutOff: boolean, network: Network) {
    this.identity = { instance: name, incarnation: name, failureDomain: 'zone-a' }
    const context = { settings: { instance: name }, logger: new Logger(name, 'error', () => {}), events: new EventLog(name, name, new LogicalClock(), () => {}), random: new Random(1) } as unknown as EntryContext
    const send = (to: string, message: LinkMessage): boolean => {
      network.deliver(this.identity, to, message)
      return true
    }
    const links = { onDidReceive: this.didReceive.event, onDidOpen: this.didOpen.event, onDidClose: new Emitter<PeerIdentity>().event, peers: () => this.linked, send } as unknown as LinkTransport
    const follower = { onDidReadRecord: this.didRead.event, onDidTruncate: new Emitter<number>().event } as unknown as LogFollower
    this.task = new ConfigurationTask(context, follower, links)
  }

  get revision (): number {
    return this.task.inForce?.revision ?? 0
  }

  dispose (): void {
    this.task.dispose()
  }
}

async function withNetwork (run: (network: Network, advance: (milliseconds: number) => Promise<void>) => Promise<void>): Promise<void> {
  const timers = install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
  const network = new Network()
  try {
    await run(network, async milliseconds => {
      await network.whenReady()
      await timers.tickAsync(milliseconds)
    })
  } finally {
    network.dispose()
    timers.uninstall()
  }
}

describe('ConfigurationTask', () => {
  it('delivers each revision over one link, in time, to a failure domain that is cut off from the platform', async () => {
    await withNetwork(async (network, advance) => {
      const [reader, border, inner] = [network.add('a-1', false), network.add('b-1', true), network.add('b-2', true)]
      network.link(reader, border)
      network.link(border, inner)
      network.publish(0, configurationSource('one'))
      await advance(IN_FORCE_BOUND_MILLISECONDS)
      assert.deepEqual([reader, border, inner].map(node => node.revision), [1, 1, 1])
      network.publish(1, configurationSource('two'))
      await advance(IN_FORCE_BOUND_MILLISECONDS)
      assert.deepEqual([reader, border, inner].map(node => node.revision), [2, 2, 2])
    })
  })

  it('delivers the configuration from a peer to an instance that is cut off at its start, and an older one does not replace it', async () => {
    await withNetwork(async (network, advance) => {
      const reader = network.add('a-1', false)
      network.publish(0, configurationSource('one'))
      network.publish(1, configurationSource('two'))
      await advance(1000)
      const starter = network.add('a-2', true)
      network.link(reader, starter)
      await advance(IN_FORCE_BOUND_MILLISECONDS)
      assert.equal(starter.revision, 2)
      starter.didReceive.fire({ from: reader.identity, message: { type: 'configurationText', logicalTime: 0, revision: 1, text: configurationSource('one') } })
      await advance(1000)
      assert.equal(starter.revision, 2)
    })
  })

  it('rejects a configuration whose digest differs from the announced one', async () => {
    await withNetwork(async (network, advance) => {
      const starter = network.add('a-2', true)
      const from: PeerIdentity = { instance: 'a-1', incarnation: 'a-1', failureDomain: 'zone-a' }
      starter.didReceive.fire({ from, message: { type: 'configurationAnnouncement', logicalTime: 0, revision: 1, digest: 'other' } })
      starter.didReceive.fire({ from, message: { type: 'configurationText', logicalTime: 0, revision: 1, text: configurationSource('one') } })
      await advance(1000)
      assert.equal(starter.revision, 0)
    })
  })

  /** Nine instances that all read the log: each link carries an announcement in each direction. The baseline sends the whole configuration instead of each announcement. */
  for (const kilobytes of [10, 100, 300]) {
    it(`transfers few bytes on links for a configuration of ${kilobytes} KB`, async context => {
      await withNetwork(async (network, advance) => {
        const nodes = Array.from({ length: 9 }, (_, index) => network.add(`a-${index}`, false))
        nodes.forEach((left, index) => { for (const right of nodes.slice(index + 1)) network.link(left, right) })
        const source = configurationSource('one', kilobytes * 1000)
        network.publish(0, source)
        await advance(IN_FORCE_BOUND_MILLISECONDS)
        const announcements = 9 * 8
        const whole = announcements * packer.pack({ type: 'configurationText', logicalTime: 1, revision: 1, text: source }).length
        const rate = (bytes: number): string => (2 * bytes / 9 * CHANGES_PER_SECOND).toFixed(1)
        context.diagnostic(`${kilobytes} KB: digests ${rate(network.bytes)} bytes/s per instance (sent and received), whole configurations ${rate(whole)}`)
        assert.ok(network.bytes < whole / 50)
      })
    })
  }
})
