import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import type { Random } from '../../../src/base/random.js'
import { MAXIMUM_EJECTED_SHARE, MAXIMUM_EJECTION_MILLISECONDS } from '../../../src/cluster/workers/outlierEjector.js'
import { UnevenSite } from '../../fakes/unevenSite.js'

const WORKERS = 16

/** Six sevenths of the room: 50 batch tasks and 5 urgent ones of a second each second, so that each worker has runs. */
function nearlyFull (site: UnevenSite): void {
  site.submit('batch', { count: 5 })
  if (site.now % 200 === 0) site.submit('urgent', { count: 1 })
}

/** More than the room, so that workers in doubt are used as well. */
function overfull (site: UnevenSite): void {
  site.submit('batch', { count: 7 })
}

/** Three of a hundred runs take seven times as long. */
const longTail = (random: Random): number => random.fraction() < 0.03 ? 7000 : 1000

interface FaultCase {
  readonly name: string
  readonly fault: (site: UnevenSite) => void
  /** Workers with the fault. */
  readonly unsound: readonly number[]
  /** Longest time until an unsound worker is ejected, in milliseconds. */
  readonly within: number
  readonly load?: (site: UnevenSite) => void
  readonly workMilliseconds?: (random: Random) => number
}

const FAULTS: readonly FaultCase[] = [
  { name: 'one worker at a fifth of its speed', unsound: [3], within: 4000, fault: site => { setPace(site, [3], 0.2) } },
  { name: 'one worker at a fifth of its speed beside a long tail', unsound: [3], within: 6000, workMilliseconds: longTail, fault: site => { setPace(site, [3], 0.2) } },
  { name: 'a worker whose runs stall', unsound: [5], within: 5000, fault: site => { setPace(site, [5], 0) } },
  { name: 'a worker that fails all runs', unsound: [1], within: 3000, fault: site => { setFailureShare(site, [1], 1) } },
  { name: 'a worker that fails half of its runs', unsound: [1], within: 8000, fault: site => { setFailureShare(site, [1], 0.5) } },
  { name: 'a worker that refuses commands', unsound: [2], within: 3000, load: overfull, fault: site => { (site.workers[2] ?? assert.fail()).isUnhealthy = true } },
  { name: 'two workers of one rack at a fifth of their speed', unsound: [8, 9], within: 5000, fault: site => { setPace(site, [8, 9], 0.2) } }
]

const SOUND: ReadonlyArray<Omit<FaultCase, 'unsound' | 'within'>> = [
  { name: 'a long tail', workMilliseconds: longTail, fault: () => {} },
  { name: 'a job that fails everywhere', fault: site => { site.submit('batch', { count: 8 }) } },
  { name: 'all workers at a fifth of their speed', fault: site => { setPace(site, site.workers.map((_, index) => index), 0.2) } }
]

function setPace (site: UnevenSite, indexes: readonly number[], pace: number): void {
  for (const index of indexes) (site.workers[index] ?? assert.fail()).pace = pace
}

function setFailureShare (site: UnevenSite, indexes: readonly number[], share: number): void {
  for (const index of indexes) (site.workers[index] ?? assert.fail()).failureShare = share
}

function heal (site: UnevenSite): void {
  for (const worker of site.workers) {
    worker.pace = 1
    worker.failureShare = 0
    worker.isUnhealthy = false
  }
}

describe('uneven workers', () => {
  beforeEach(() => mock.timers.enable({ apis: ['Date'] }))
  afterEach(() => mock.timers.reset())

  for (const { name, fault, unsound, within, load = nearlyFull, workMilliseconds } of FAULTS) {
    it(`ejects ${name}, and takes it back within a bound`, () => {
      const site = new UnevenSite(WORKERS, workMilliseconds)
      site.advance(6000, load)
      const before = site.changes.length
      fault(site)
      const faultAt = site.now
      site.advance(12_000, load)
      for (const index of unsound) {
        const ejection = site.changes.slice(before).find(({ worker, kind }) => worker === `w${index}` && kind === 'ejected')
        assert.ok(ejection !== undefined && ejection.at - faultAt <= within, `w${index}: ${JSON.stringify(site.changes)}`)
      }
      assert.ok(site.largestEjectedCount <= MAXIMUM_EJECTED_SHARE * WORKERS, `${site.largestEjectedCount} were ejected at once`)
      heal(site)
      site.advance(MAXIMUM_EJECTION_MILLISECONDS, load)
      for (const index of unsound) assert.equal(site.scheduler.workers.get(`w${index}`)?.soundness.phase, 'none', JSON.stringify(site.changes.slice(-6)))
    })
  }

  for (const { name, fault, workMilliseconds } of SOUND) {
    it(`keeps the ejected share under its cap beside ${name}`, () => {
      const site = new UnevenSite(WORKERS, workMilliseconds)
      site.advance(6000, nearlyFull)
      fault(site)
      site.advance(10_000, nearlyFull)
      assert.ok(site.largestEjectedCount <= MAXIMUM_EJECTED_SHARE * WORKERS, `${site.largestEjectedCount} were ejected at once`)
    })
  }

  it('ejects no worker for a job that fails everywhere', () => {
    const site = new UnevenSite(WORKERS)
    site.advance(3000, nearlyFull)
    const job = site.submit('batch', { count: 10 })
    site.advance(8000, current => {
      nearlyFull(current)
      for (const worker of current.workers) {
        for (const [task, { run }] of worker.runs) {
          if (task.startsWith(job)) worker.end(task, run, 'failed')
        }
      }
    })
    assert.equal(site.scheduler.jobs.get(job)?.state, 'failed')
    assert.deepEqual(site.changes, [])
  })

  it('ejects no failure domain whose link fails', () => {
    const site = new UnevenSite(WORKERS)
    site.advance(3000, nearlyFull)
    for (let failure = 0; failure < 4; failure += 1) {
      for (let index = 0; index < 8; index += 1) site.scheduler.onPollFailed(`w${index}`, site.now)
      site.advance(1600, nearlyFull)
    }
    assert.ok(site.scheduler.ejectedCount < 4, `${site.scheduler.ejectedCount} of 8 workers are ejected`)
    site.advance(1000, nearlyFull)
    assert.equal(site.scheduler.ejectedCount, 0)
  })

  it('ejects one worker that flaps, and forgets it', () => {
    const site = new UnevenSite(WORKERS)
    site.advance(3000, nearlyFull)
    for (let failure = 0; failure < 4; failure += 1) {
      site.scheduler.onPollFailed('w4', site.now)
      site.advance(1600, nearlyFull)
    }
    assert.deepEqual(site.ejectionsOf(4).map(({ cause }) => cause), ['flapping'])
    site.advance(MAXIMUM_EJECTION_MILLISECONDS, nearlyFull)
    assert.equal(site.scheduler.workers.get('w4')?.soundness.phase, 'none')
  })

  it('places urgent work and gangs on workers without doubt', () => {
    const site = new UnevenSite(WORKERS)
    site.advance(2000, nearlyFull)
    site.advance(2000)
    site.scheduler.workers.get('w6')?.soundness.add('failing', 3, site.now)
    for (let job = 0; job < 12; job += 1) site.submit('urgent')
    site.submit('batch', { gang: true, count: 4 })
    site.advance(100)
    assert.equal(site.runsOn(6), 0)
    assert.deepEqual(site.changes, [])
  })

  const STRAGGLERS: ReadonlyArray<{ readonly name: string, readonly step: object, readonly pace: number, readonly isMoved: boolean }> = [
    { name: 'moves checkpointed runs away from a slow worker', step: { checkpointable: true }, pace: 0.15, isMoved: true },
    { name: 'moves runs without a checkpoint that have hardly begun', step: {}, pace: 0.1, isMoved: true },
    { name: 'leaves gangs alone', step: { gang: true }, pace: 0.1, isMoved: false }
  ]
  for (const { name, step, pace, isMoved } of STRAGGLERS) {
    it(`${name}, each at most once`, () => {
      const site = new UnevenSite(WORKERS, () => 4000)
      const load = (current: UnevenSite): void => { if (current.now % 400 === 0) current.submit('batch', { estimateMilliseconds: 4000, ...step }) }
      site.advance(12_000, load)
      setPace(site, [3], pace)
      site.advance(8000, load)
      assert.equal(site.moved.length > 0, isMoved, `${site.moved.length} runs were moved`)
      assert.equal(new Set(site.moved).size, site.moved.length)
    })
  }

  it('does not restart a task that is long by itself', () => {
    const site = new UnevenSite(WORKERS, longTail)
    site.advance(20_000, nearlyFull)
    assert.deepEqual(site.moved, [])
  })
})
