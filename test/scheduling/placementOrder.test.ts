import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FOUR_WORKERS, SimulatedSite, size } from './simulatedSite.js'

/** Each case guards against one kind of wrong order, starvation or wrong preemption. */
const CASES: ReadonlyArray<readonly [name: string, run: (site: SimulatedSite) => void]> = [
  ['an urgent job on a full site starts within 6 s and preempts a task that can be checkpointed', site => {
    site.add('plain', { urgency: 'deferrable', tasks: 3, resources: size(4) })
    site.run(60_000)
    site.add('kept', { urgency: 'deferrable', checkpointable: true, resources: size(4) })
    site.run(1000)
    site.add('call', { urgency: 'urgent', resources: size(4) })
    site.run(6000)
    assert.deepEqual(site.lines.filter(line => !line.startsWith('start plain')), ['start kept#0', 'preempt kept#0 for call', 'start call#0'])
  }],
  ['among tasks that cannot be checkpointed, the one with the least run time is preempted', site => {
    site.add('old', { urgency: 'deferrable', tasks: 3, resources: size(4) })
    site.run(60_000)
    site.add('new', { urgency: 'deferrable', resources: size(4) })
    site.run(1000)
    site.add('call', { urgency: 'urgent', resources: size(4) })
    site.run(6000)
    assert.ok(site.lines.includes('preempt new#0 for call'))
    assert.equal(site.running('old'), 3)
  }],
  ['normal and urgent tasks are never preempted', site => {
    site.add('normal', { tasks: 2, resources: size(4) })
    site.add('urgent', { urgency: 'urgent', tasks: 2, resources: size(4) })
    site.run(1000)
    site.add('call', { urgency: 'urgent', resources: size(4) })
    site.run(20_000)
    assert.equal(site.running('call'), 0)
    assert.deepEqual(site.lines.filter(line => line.startsWith('preempt')), [])
  }],
  ['a preempted task is not preempted again while there is an alternative', site => {
    site.add('a', { urgency: 'deferrable', checkpointable: true, tasks: 4, resources: size(4) })
    site.run(1000)
    site.add('first', { urgency: 'urgent', resources: size(4) })
    site.run(5000)
    const victim = (site.lines.find(line => line.startsWith('preempt')) ?? '').split(' ')[1]
    site.end('first#0')
    site.run(1000)
    site.add('second', { urgency: 'urgent', resources: size(4) })
    site.run(5000)
    const victims = site.lines.filter(line => line.startsWith('preempt')).map(line => line.split(' ')[1])
    assert.equal(victims.length, 2)
    assert.notEqual(victims[1], victim)
  }],
  ['a gang gets its capacity although small tasks keep arriving', site => {
    site.add('fill', { tasks: 16 })
    site.run(1000)
    site.add('gang', { kind: 'gang', tasks: 4, resources: size(4) })
    let ended = 0
    for (let round = 0; round < 100 && site.running('gang') === 0; round += 1) {
      site.add(`small-${round}`, { tasks: 4 })
      site.run(1000)
      for (const line of site.lines.slice(ended, ended + 4)) site.end(line.slice('start '.length))
      ended += 4
    }
    assert.equal(site.running('gang'), 4)
  }],
  ['two gangs that need the whole site both run, one after the other', site => {
    site.add('one', { kind: 'gang', tasks: 4, resources: size(4) })
    site.add('two', { kind: 'gang', tasks: 4, resources: size(4) })
    site.run(20_000)
    assert.deepEqual([site.running('one'), site.running('two')], [4, 0])
    for (let index = 0; index < 4; index += 1) site.end(`one#${index}`)
    site.run(1000)
    assert.equal(site.running('two'), 4)
  }],
  ['capacity reserved for a gang is used by tasks that can be checkpointed, which release it when the rest is free', site => {
    site.add('long', { tasks: 1, resources: size(4) })
    site.add('gang', { kind: 'gang', tasks: 4, resources: size(4) })
    site.run(15_000)
    site.add('fill', { urgency: 'deferrable', checkpointable: true, tasks: 3, resources: size(4) })
    site.add('plain', { urgency: 'deferrable', tasks: 1, resources: size(4) })
    site.run(5000)
    assert.deepEqual([site.running('fill'), site.running('plain')], [3, 0])
    site.end('long#0')
    site.run(3000)
    assert.equal(site.running('gang'), 4)
  }],
  ['tasks of a service are spread over racks', site => {
    site.add('front', { kind: 'service', tasks: 2 })
    site.run(1000)
    const racks = ['front#0', 'front#1'].map(task => FOUR_WORKERS.find(([name]) => name === site.workerOf(task))?.[1])
    assert.equal(new Set(racks).size, 2)
  }],
  ['teams get equal shares of their quotas, and more while others leave theirs unused', site => {
    site.scheduler.setQuotas({ one: { quota: size(8) }, two: { quota: size(8) } })
    site.add('a', { team: 'one', tasks: 12 })
    site.run(1000)
    assert.equal(site.running('a'), 12)
    site.add('more', { team: 'one', tasks: 8 })
    site.add('b', { team: 'two', tasks: 8 })
    for (let index = 0; index < 4; index += 1) site.end(`a#${index}`)
    site.run(1000)
    assert.equal(site.running('b') >= 4, true)
  }],
  ['a deferrable job that has waited for half an hour is placed before newer normal work', site => {
    site.add('fill', { tasks: 4, resources: size(4) })
    site.run(1000)
    site.add('old', { urgency: 'deferrable', resources: size(4) })
    site.run(1_801_000)
    site.add('new', { resources: size(4) })
    site.end('fill#0')
    site.run(1000)
    assert.deepEqual([site.running('old'), site.running('new')], [1, 0])
  }]
]

describe('Order of placement', () => {
  for (const [name, run] of CASES) {
    it(name, () => run(new SimulatedSite(FOUR_WORKERS)))
  }
})
