import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Random } from '../../src/base/random.js'
import { GRANT_DRIFT_MARGIN_MILLISECONDS, GRANT_VALID_MILLISECONDS, SlotAllocator, type HolderGrants, type HolderReport } from '../../src/requests/slotAllocator.js'
import type { ExecutorLimits } from '../../src/requests/slotCommitments.js'
import { SlotHolder } from '../../src/requests/slotHolder.js'

const MAXIMUM_RUN = 2000
const LIMITS: ExecutorLimits = { name: 'x', pool: 'pool', slots: 8, connections: 60, maximumRunMilliseconds: MAXIMUM_RUN }
const GRANT_END = GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS

/** A holder with its demand. The test delivers its messages, so that it can lose, delay and duplicate them. */
class Instance {
  readonly holder = new SlotHolder()
  waiting = 0

  constructor (readonly key: string) {}

  report (now: number, leaving = false): HolderReport {
    const { sequence, uses } = this.holder.startReport(now)
    return { sequence, appliedGrant: this.holder.appliedSequence, demand: { pool: this.waiting + this.holder.inFlight('x') }, uses, leaving }
  }

  apply (decision: HolderGrants): boolean {
    return this.holder.applyGrants({ ...decision, validMilliseconds: GRANT_VALID_MILLISECONDS })
  }

  /** Starts up to `most` requests, as far as slots are free. */
  fill (now: number, most = 100): number {
    let started = 0
    while (started < most && this.holder.acquire('x', now)) started += 1
    return started
  }
}

function exchange (allocator: SlotAllocator, instances: readonly Instance[], reporter: Instance, now: number): void {
  for (const decision of allocator.onReport(reporter.key, reporter.report(now), now)) {
    instances.find(instance => instance.key === decision.holder)?.apply(decision)
  }
}

function settle (allocator: SlotAllocator, instances: readonly Instance[], now: number, rounds = 4): void {
  for (let round = 0; round < rounds; round += 1) {
    for (const instance of instances) exchange(allocator, instances, instance, now)
  }
}

function createSite (count: number, limits = LIMITS, earlierGrantsEnd = -Infinity): { allocator: SlotAllocator, instances: Instance[] } {
  const allocator = new SlotAllocator(earlierGrantsEnd)
  allocator.setExecutors([limits])
  return { allocator, instances: Array.from({ length: count }, (_, index) => new Instance(`i${index}`)) }
}

function instanceAt (instances: readonly Instance[], index: number): Instance {
  return instances[index] as Instance
}

function totalFree (instances: readonly Instance[], now: number): number {
  return instances.reduce((sum, instance) => sum + instance.holder.free('x', now), 0)
}

/** Each case guards against more than 8 requests or 60 connections at one executor. */
const CASES: ReadonlyArray<{ readonly name: string, readonly run: () => void }> = [
  {
    name: 'all slots and no more are granted to live holders',
    run: () => {
      const { allocator, instances } = createSite(3)
      settle(allocator, instances, 0)
      assert.equal(totalFree(instances, 1), 8)
    }
  },
  {
    name: 'slots of a crashed holder are granted again only after its grant has expired and the maximum run time has passed',
    run: () => {
      const { allocator, instances } = createSite(2)
      settle(allocator, instances, 0)
      const [first, crashed] = [instanceAt(instances, 0), instanceAt(instances, 1)]
      const started = crashed.fill(GRANT_VALID_MILLISECONDS - 1)
      assert.equal(started, 4)
      for (let now = 250; now < GRANT_END + MAXIMUM_RUN; now += 250) {
        exchange(allocator, [first], first, now)
        assert.equal(first.holder.free('x', now), 4)
      }
      exchange(allocator, [first], first, GRANT_END + MAXIMUM_RUN)
      assert.equal(first.holder.free('x', GRANT_END + MAXIMUM_RUN), 8)
    }
  },
  {
    name: 'an older or duplicate report frees no slot that is in use',
    run: () => {
      const { allocator, instances } = createSite(2)
      const [first, second] = [instanceAt(instances, 0), instanceAt(instances, 1)]
      settle(allocator, instances, 0)
      const old = first.report(1)
      first.fill(1)
      const demanding = first.report(2)
      allocator.onReport(first.key, demanding, 2)
      assert.deepEqual(allocator.onReport(first.key, old, 3), [])
      assert.deepEqual(allocator.onReport(first.key, demanding, 3), [])
      second.waiting = 50
      settle(allocator, [second], 3)
      assert.equal(first.holder.inFlight('x') + second.holder.free('x', 3), 8)
    }
  },
  {
    name: 'grants that arrive out of order never restore an older, greater grant',
    run: () => {
      const { allocator, instances } = createSite(2)
      const [first, second] = [instanceAt(instances, 0), instanceAt(instances, 1)]
      settle(allocator, [first], 0)
      const late = allocator.onReport(first.key, first.report(1), 1)[0] as HolderGrants
      allocator.onReport(second.key, second.report(1), 1)
      second.waiting = 20
      settle(allocator, instances, 2)
      const held = first.holder.free('x', 2)
      assert.equal(first.apply(late), false)
      assert.equal(first.holder.free('x', 2), held)
    }
  },
  {
    name: 'a lowered grant that is lost or not confirmed frees no slot',
    run: () => {
      const { allocator, instances } = createSite(2)
      const [first, second] = [instanceAt(instances, 0), instanceAt(instances, 1)]
      settle(allocator, [first], 0)
      second.waiting = 30
      allocator.onReport(first.key, first.report(1), 1)
      exchange(allocator, [second], second, 2)
      exchange(allocator, [second], second, 3)
      assert.equal(first.holder.free('x', 3) + second.holder.free('x', 3), 8)
    }
  },
  {
    name: 'a confirmed lowered grant frees an executor that the holder no longer mentions',
    run: () => {
      const { allocator, instances } = createSite(1)
      const first = instanceAt(instances, 0)
      settle(allocator, [first], 0)
      allocator.onReport(first.key, { ...first.report(1), uses: [] }, 1)
      assert.equal(allocator.committedSlots('x', 1), 8)
      first.holder.returnAll()
      allocator.onReport(first.key, { ...first.report(2, true), appliedGrant: 1000 }, 2)
      assert.equal(allocator.committedSlots('x', 2), 0)
    }
  },
  {
    name: 'a paused holder starts no request after its grant has expired, not even one that has acquired a slot',
    run: () => {
      const { allocator, instances } = createSite(1)
      const first = instanceAt(instances, 0)
      settle(allocator, instances, 0)
      assert.equal(first.holder.acquire('x', 1), true)
      assert.equal(first.holder.mayStart(GRANT_VALID_MILLISECONDS - 1), true)
      assert.equal(first.holder.mayStart(GRANT_VALID_MILLISECONDS), false)
      assert.equal(first.holder.acquire('x', GRANT_VALID_MILLISECONDS), false)
      assert.equal(first.holder.connections('x', GRANT_VALID_MILLISECONDS), 0)
    }
  },
  {
    name: 'a restarted holder does not take over the slots of its predecessor',
    run: () => {
      const { allocator, instances } = createSite(1)
      settle(allocator, instances, 0)
      const successor = new Instance('i0-again')
      exchange(allocator, [successor], successor, 100)
      assert.equal(successor.holder.free('x', 100), 0)
    }
  },
  {
    name: 'a lowered limit never leads to a negative grant and is kept once confirmed',
    run: () => {
      const { allocator, instances } = createSite(3)
      settle(allocator, instances, 0)
      for (const instance of instances) instance.fill(1)
      allocator.setExecutors([{ ...LIMITS, slots: 2, connections: 6 }])
      settle(allocator, instances, 2)
      assert.equal(totalFree(instances, 2), 0)
      for (const instance of instances) {
        while (instance.holder.inFlight('x') > 0) instance.holder.release('x')
      }
      settle(allocator, instances, 3)
      assert.equal(totalFree(instances, 3), 2)
      assert.ok(instances.reduce((sum, instance) => sum + instance.holder.connections('x', 3), 0) <= 6)
    }
  },
  {
    name: 'requests on an executor that leaves the list and returns still count',
    run: () => {
      const { allocator, instances } = createSite(2)
      const [first, crashed] = [instanceAt(instances, 0), instanceAt(instances, 1)]
      settle(allocator, instances, 0)
      crashed.fill(GRANT_VALID_MILLISECONDS - 1)
      allocator.setExecutors([])
      const returnsAt = GRANT_END + 100
      for (let now = 250; now < returnsAt; now += 250) exchange(allocator, [first], first, now)
      allocator.setExecutors([LIMITS])
      exchange(allocator, [first], first, returnsAt)
      assert.ok(first.holder.free('x', returnsAt) <= 4)
    }
  },
  {
    name: 'after a change of owner, reported slots move at once and unreported slots after grant and maximum run time',
    run: () => {
      const { allocator, instances } = createSite(3)
      settle(allocator, instances, 0)
      const [first, second, crashed] = [instanceAt(instances, 0), instanceAt(instances, 1), instanceAt(instances, 2)]
      const lost = crashed.holder.free('x', 1)
      const takeover = 1000
      const next = new SlotAllocator(takeover + GRANT_END)
      next.setExecutors([LIMITS])
      for (const instance of [first, second]) instance.holder.onOwnerChanged()
      first.waiting = 50
      settle(next, [first, second], takeover)
      assert.equal(totalFree([first, second], takeover), 8 - lost)
      assert.ok(first.holder.free('x', takeover) >= 8 - lost - 1)
      const free = takeover + GRANT_END + MAXIMUM_RUN
      settle(next, [first, second], free - 1)
      assert.equal(totalFree([first, second], free - 1), 8 - lost)
      settle(next, [first, second], free)
      assert.equal(totalFree([first, second], free), 8)
    }
  },
  {
    name: 'a holder that joins while grants of an earlier owner may be valid gets only what other holders have returned',
    run: () => {
      const { allocator, instances } = createSite(2, LIMITS, GRANT_END)
      settle(allocator, instances, 0)
      assert.equal(totalFree(instances, 0), 0)
    }
  },
  {
    name: 'a graceful shutdown returns slots at once, except for those in flight',
    run: () => {
      const { allocator, instances } = createSite(2)
      const [first, leaving] = [instanceAt(instances, 0), instanceAt(instances, 1)]
      settle(allocator, instances, 0)
      leaving.fill(1, 1)
      leaving.holder.returnAll()
      allocator.onReport(leaving.key, leaving.report(2, true), 2)
      exchange(allocator, [first], first, 2)
      assert.equal(leaving.holder.free('x', 2), 0)
      assert.equal(first.holder.free('x', 2), 7)
    }
  },
  {
    name: 'open connections of a silent holder count until its process has ended',
    run: () => {
      const { allocator, instances } = createSite(2)
      const [first, paused] = [instanceAt(instances, 0), instanceAt(instances, 1)]
      settle(allocator, instances, 0)
      const connections = paused.holder.connections('x', 1)
      const late = GRANT_END + MAXIMUM_RUN + 60_000
      exchange(allocator, [first], first, late)
      exchange(allocator, [first], first, late)
      assert.ok(first.holder.connections('x', late) + connections <= 60)
      allocator.onProcessEnded(paused.key)
      exchange(allocator, [first], first, late + 1)
      assert.equal(first.holder.connections('x', late + 1), 60)
    }
  },
  {
    name: 'connections that are being closed still count',
    run: () => {
      const { allocator, instances } = createSite(2)
      const [first, second] = [instanceAt(instances, 0), instanceAt(instances, 1)]
      settle(allocator, [first], 0)
      first.holder.setOpenConnections('x', 55)
      settle(allocator, instances, 1)
      assert.ok(second.holder.connections('x', 1) <= 5)
      first.holder.setOpenConnections('x', 0)
      settle(allocator, instances, 2)
      assert.ok(second.holder.connections('x', 2) > 20)
    }
  }
]

describe('SlotAllocator and SlotHolder', () => {
  for (const { name, run } of CASES) it(name, run)

  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    it(`keep the limits with lost, late, duplicate and reordered messages, crashes and changes of owner (seed ${seed})`, () => randomRun(seed))
  }
})

interface Running { readonly instance: Instance, readonly endsAt: number }
interface Message { readonly at: number, readonly deliver: () => void }

/** Drives holders and successive owners at random and checks the actual number of running requests. */
function randomRun (seed: number): void {
  const random = new Random(seed)
  let instances = Array.from({ length: 5 }, (_, index) => new Instance(`i${index}`))
  let allocator = new SlotAllocator(-Infinity)
  let limits = LIMITS
  let term = 1
  let started = 0
  const pausedUntil = new Map<Instance, number>()
  let running: Running[] = []
  let messages: Message[] = []
  allocator.setExecutors([limits])
  const post = (now: number, deliver: () => void): void => {
    if (random.fraction() < 0.1) return
    messages.push({ at: now + random.integerBelow(random.fraction() < 0.05 ? 3000 : 20), deliver })
    if (random.fraction() < 0.05) messages.push({ at: now + random.integerBelow(2000), deliver })
  }
  for (let now = 0; now < 60_000; now += 10) {
    if (random.fraction() < 0.0005) {
      term += 1
      allocator = new SlotAllocator(now + GRANT_END)
      for (const instance of instances) instance.holder.onOwnerChanged()
    }
    if (random.fraction() < 0.001) limits = { ...LIMITS, slots: 4 + random.integerBelow(5), connections: 30 + random.integerBelow(31) }
    allocator.setExecutors(random.fraction() < 0.01 ? [] : [limits])
    if (random.fraction() < 0.001) instances = instances.map((instance, index) => index === random.integerBelow(5) ? new Instance(`i${index}-${now}`) : instance)
    const due = messages.filter(message => message.at <= now)
    messages = messages.filter(message => message.at > now)
    for (const message of due) message.deliver()
    for (const run of running.filter(run => run.endsAt <= now)) run.instance.holder.release('x')
    running = running.filter(run => run.endsAt > now)
    for (const instance of instances) {
      if (random.fraction() < 0.0003) pausedUntil.set(instance, now + random.integerBelow(20_000))
      if ((pausedUntil.get(instance) ?? 0) > now) continue
      instance.waiting = random.fraction() < 0.3 ? random.integerBelow(20) : instance.waiting
      if (random.fraction() < 0.1) {
        const report = instance.report(now)
        const reportTerm = term
        post(now, () => {
          if (reportTerm !== term) return
          for (const decision of allocator.onReport(instance.key, report, now)) {
            const target = instances.find(candidate => candidate.key === decision.holder)
            if (target !== undefined) post(now, () => { if (reportTerm === term) target.apply(decision) })
          }
        })
      }
      if (random.fraction() < 0.3 && instance.holder.acquire('x', now)) {
        started += 1
        running.push({ instance, endsAt: now + random.integerBelow(MAXIMUM_RUN) })
      }
    }
    assert.ok(running.length <= LIMITS.slots, `${running.length} requests run at ${now}, seed ${seed}`)
  }
  assert.ok(started > 100, `only ${started} requests started`)
}
