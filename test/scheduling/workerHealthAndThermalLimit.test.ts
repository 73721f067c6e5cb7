import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FOUR_WORKERS, SimulatedSite, size } from './simulatedSite.js'

/** Each case guards against a faulty worker, a faulty job or a thermal limit that affects unrelated work, or against a wrong explanation. */
const CASES: ReadonlyArray<readonly [name: string, run: (site: SimulatedSite) => void]> = [
  ['a worker that fails everything is quarantined within a few starts, and no job fails because of it', site => {
    site.failing = worker => worker === 'w2'
    for (let index = 0; index < 16; index += 1) site.add(`job-${index}`, {})
    site.run(20_000)
    assert.deepEqual(site.lines.filter(line => line.startsWith('worker')), ['workerQuarantined w2'])
    assert.deepEqual(site.lines.filter(line => line.endsWith('failed')), [])
    assert.ok(site.lines.filter(line => line.startsWith('start')).length <= 16 + 8)
  }],
  ['a quarantined worker is probed with a deferrable task only, and released when it finishes', site => {
    site.failing = worker => worker === 'w2'
    for (let index = 0; index < 16; index += 1) site.add(`job-${index}`, {})
    site.run(10_000)
    site.failing = () => false
    site.run(60_000)
    for (let index = 0; index < 16; index += 1) assert.notEqual(site.workerOf(`job-${index}#0`), 'w2')
    site.add('probe', { urgency: 'deferrable', tasks: 2 })
    site.run(1000)
    assert.equal(['probe#0', 'probe#1'].filter(task => site.workerOf(task) === 'w2').length, 1)
    site.end(site.workerOf('probe#0') === 'w2' ? 'probe#0' : 'probe#1')
    site.run(1000)
    assert.ok(site.lines.includes('workerReleased w2'))
  }],
  ['a job that fails everywhere fails, and no worker is quarantined', site => {
    site.failing = (_, job) => job === 'bad'
    site.add('bad', {})
    site.add('good', { tasks: 8 })
    site.run(10_000)
    assert.ok(site.lines.includes('end bad failed'))
    assert.deepEqual(site.lines.filter(line => line.startsWith('worker')), [])
    assert.equal(site.running('good'), 8)
  }],
  ['a thermal limit checkpoints deferrable tasks and does not affect normal and urgent work and services', site => {
    site.add('normal', { tasks: 4 })
    site.add('front', { kind: 'service', tasks: 2 })
    site.add('batch', { urgency: 'deferrable', checkpointable: true, tasks: 10 })
    site.run(1000)
    site.scheduler.setAllowedCapacity(50)
    site.run(5000)
    assert.deepEqual([site.running('normal'), site.running('front'), site.running('batch')], [4, 2, 2])
    site.add('call', { urgency: 'urgent', tasks: 4 })
    site.run(1000)
    assert.equal(site.running('call'), 4)
  }],
  ['a thermal limit throttles deferrable tasks that cannot be checkpointed, and restores them when it is lifted', site => {
    site.add('batch', { urgency: 'deferrable', tasks: 8, resources: size(2) })
    site.run(1000)
    site.scheduler.setAllowedCapacity(75)
    site.run(3000)
    assert.equal(site.lines.filter(line => line.startsWith('throttle') && line.endsWith(' 50')).length, 4)
    site.scheduler.setAllowedCapacity(100)
    site.run(40_000)
    assert.equal(site.lines.filter(line => line.startsWith('throttle') && line.endsWith(' 100')).length, 4)
    assert.equal(site.running('batch'), 8)
  }],
  ['work starts at a limited rate after a thermal limit is lifted', site => {
    site.scheduler.setAllowedCapacity(0)
    site.add('batch', { tasks: 16 })
    site.run(2000)
    assert.equal(site.running('batch'), 0)
    site.scheduler.setAllowedCapacity(100)
    site.run(20_000)
    assert.ok(site.running('batch') >= 1 && site.running('batch') <= 4, `running ${site.running('batch')}`)
    site.run(90_000)
    assert.equal(site.running('batch'), 16)
  }],
  ['explain names the nearest worker and what it lacks', site => {
    site.add('fill', { tasks: 16 })
    site.run(1000)
    site.add('late', { resources: size(2) })
    site.run(1000)
    assert.match(site.scheduler.explain('late', site.now), /no worker has room; the nearest is w\d, which lacks 2 processors/)
  }],
  ['explain states that a job cannot run on the available workers', site => {
    site.add('large', { resources: size(8) })
    site.run(1000)
    assert.match(site.scheduler.explain('large', site.now), /cannot run: the 4 workers that answer could carry 0/)
  }],
  ['explain names the thermal limit and the reservation of another gang', site => {
    site.add('fill', { tasks: 4, resources: size(3) })
    site.add('one', { kind: 'gang', tasks: 4, resources: size(2) })
    site.add('two', { kind: 'gang', tasks: 4, resources: size(2) })
    site.run(12_000)
    assert.match(site.scheduler.explain('two', site.now), /gang: 0 of 4 tasks would fit now, and all must; gang one has the reservation/)
    site.scheduler.setAllowedCapacity(50)
    site.run(1000)
    assert.match(site.scheduler.explain('two', site.now), /heat: 50 % of the capacity is allowed/)
  }]
]

describe('Worker health, thermal limit and explanations', () => {
  for (const [name, run] of CASES) {
    it(name, () => run(new SimulatedSite(FOUR_WORKERS)))
  }
})
