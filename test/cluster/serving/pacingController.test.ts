import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Task } from '../../../src/cluster/job.js'
import { PacingController } from '../../../src/cluster/serving/pacingController.js'
import type { WorkerState } from '../../../src/cluster/workerState.js'
import { createStep, createWorker, run } from '../../fakes/runningTasks.js'

const TARGET_MILLISECONDS = 200
const SERVING = { longRunning: true, image: 'web', targetMilliseconds: TARGET_MILLISECONDS }
const FILLER = { filler: true, checkpointable: true }
/** Period of the reports, in milliseconds. */
const REPORT_MILLISECONDS = 500

interface Site { readonly controller: PacingController, readonly worker: WorkerState, readonly serving: Task, readonly fillers: Task[] }

/** A worker of ten cores with one serving task and filler runs of four cores with the images. */
function createSite (...images: string[]): Site {
  const worker = createWorker('w1', 10)
  const serving = run(createStep('serving', SERVING).tasks[0] as Task, worker, { percent: 100, load: 100 })
  const fillers = images.map((image, index) => run(createStep(`filler${index}`, { ...FILLER, image, processorsThousandths: 4000 }).tasks[0] as Task, worker, { load: 4000 }))
  return { controller: new PacingController(new Map([[worker.identity, worker]])), worker, serving, fillers }
}

/** Reports a tail latency, and the use of the fillers by their pace. Returns the paces after the decision. */
function report ({ controller, worker, serving, fillers }: Site, tailMilliseconds: number, now: number): number[] {
  serving.reportedLoad = tailMilliseconds
  for (const filler of fillers) filler.reportedLoad = 4000 * filler.pacePercent / 100
  controller.decide(worker, now)
  return fillers.map(filler => filler.pacePercent)
}

describe('PacingController', () => {
  /** First decision on a tail latency, with fillers whose influence is not known. */
  const FIRST: ReadonlyArray<{ readonly name: string, readonly tail: number, readonly images: string[], readonly expected: (paces: number[]) => boolean }> = [
    { name: 'leaves filler work alone while the target is met', tail: 190, images: ['a'], expected: ([pace]) => pace === 100 },
    { name: 'slows filler work down that could be the cause', tail: 210, images: ['a'], expected: ([pace]) => pace !== undefined && pace < 100 },
    { name: 'pauses filler work beside a task far over its target', tail: 2000, images: ['a', 'b'], expected: paces => paces.every(pace => pace === 0) }
  ]
  for (const { name, tail, images, expected } of FIRST) {
    it(name, () => {
      const paces = report(createSite(...images), tail, 0)
      assert.ok(expected(paces), `paces ${paces.join()}`)
    })
  }

  it('slows the image down that is known to disturb, and not the other one', () => {
    const site = createSite('harmful', 'calm')
    site.controller.model.learn('web', { tailMilliseconds: 600, fillerShares: new Map([['harmful', 0.4]]) }, { tailMilliseconds: 100, fillerShares: new Map() })
    site.controller.model.learn('web', { tailMilliseconds: 100, fillerShares: new Map([['calm', 0.4]]) }, { tailMilliseconds: 100, fillerShares: new Map() })
    const [harmful, calm] = report(site, 250, 0)
    assert.ok(harmful !== undefined && harmful < 100, `harmful at ${harmful}`)
    assert.equal(calm, 100)
  })

  /** The platform counts harm after 4 s over the target; the tail latency that is reported covers half a second. */
  it('pauses all filler work beside a task that stays over its target, well before that counts as harm', () => {
    const site = createSite('a', 'b', 'c')
    let now = 0
    let paces: number[] = []
    for (; now < 2500 && !(paces.length > 0 && paces.every(pace => pace === 0)); now += REPORT_MILLISECONDS) paces = report(site, 260, now)
    assert.ok(now < 2500, `paces ${paces.join()} after ${now} ms`)
  })

  it('speeds filler work up again step by step once the target is met with a margin', () => {
    const site = createSite('a')
    report(site, 1000, 0)
    const paces: number[] = []
    for (let now = 1000; now <= 8000; now += REPORT_MILLISECONDS) paces.push(...report(site, 60, now))
    assert.equal(paces.at(-1), 100)
    assert.ok(paces.every((pace, index) => pace - (paces[index - 1] ?? 0) <= 25), `paces ${paces.join()}`)
  })

  it('does not speed filler work up while that is predicted to exceed the target', () => {
    const site = createSite('a')
    site.controller.model.learn('web', { tailMilliseconds: 10_000, fillerShares: new Map([['a', 0.4]]) }, { tailMilliseconds: 100, fillerShares: new Map() })
    const slowed = report(site, 1000, 0)
    assert.deepEqual(report(site, 140, 2000), slowed)
  })

  it('lets filler work go on once no serving task is beside it', () => {
    const site = createSite('a')
    report(site, 1000, 0)
    site.worker.release(site.serving)
    assert.deepEqual(report(site, 0, 500), [100])
  })

  it('moves filler work that has been paused for long, and keeps other filler work away', () => {
    const site = createSite('a')
    report(site, 1000, 0)
    const [filler] = site.fillers
    assert.deepEqual(site.controller.decide(site.worker, 2000).moves, [])
    assert.deepEqual(site.controller.decide(site.worker, 3500).moves.map(({ task }) => task), [filler])
    site.serving.reportedLoad = 50
    site.controller.decide(site.worker, 4000)
    assert.ok(site.controller.avoidsFillers(site.worker, 5000))
    assert.ok(!site.controller.avoidsFillers(site.worker, 20_000))
  })

  /** Filler work that was moved away and comes back to the same worker would otherwise disturb it at full pace, again and again. */
  it('lets new filler work start paused where filler work had to leave', () => {
    const site = createSite('a')
    report(site, 1000, 0)
    assert.equal(site.controller.initialPaceOn(site.worker, 100), 0)
    site.controller.decide(site.worker, 3500)
    site.worker.release(site.fillers[0] as Task)
    site.serving.reportedLoad = 50
    site.controller.decide(site.worker, 4000)
    assert.equal(site.controller.initialPaceOn(site.worker, 5000), 0)
    assert.equal(site.controller.initialPaceOn(site.worker, 20_000), 100)
  })

  /** A pace command that a worker carried out late, after a newer one, leaves a run paused. */
  it('sends the pace of a run again that does not work although it should', () => {
    const site = createSite('a')
    const [filler] = site.fillers as [Task]
    filler.hasBeenPaced = true
    for (let now = 0; now < 2000; now += REPORT_MILLISECONDS) {
      filler.reportedLoad = 0
      site.controller.decide(site.worker, now)
    }
    assert.equal(filler.confirmedPacePercent, undefined)
  })

  /** A serving task over its target beside other serving tasks and no active filler work. `away`: tasks of its step that are out of service. */
  const MOVES: ReadonlyArray<{ readonly name: string, readonly maximumUnavailable: number, readonly away: number, readonly silent?: number, readonly isMoved: boolean }> = [
    { name: 'stays while another is on a worker that does not respond', maximumUnavailable: 1, away: 0, silent: 1, isMoved: false },
    { name: 'is moved', maximumUnavailable: 1, away: 0, isMoved: true },
    { name: 'stays while as many others are out of service as may be', maximumUnavailable: 1, away: 1, isMoved: false },
    { name: 'is moved while fewer others are out of service than may be', maximumUnavailable: 2, away: 1, isMoved: true },
    { name: 'of a step that states no number is moved alone', maximumUnavailable: 0, away: 0, isMoved: true },
    { name: 'of a step that states no number stays while another is out of service', maximumUnavailable: 0, away: 1, isMoved: false }
  ]
  for (const { name, maximumUnavailable, away, silent = 0, isMoved } of MOVES) {
    it(`a serving task ${name}`, () => {
      const { worker } = createSite()
      const neighbours = [0, 1].map(index => createWorker(`other${index}`, 10))
      neighbours.forEach((neighbour, index) => { neighbour.isUnresponsive = index < silent })
      const controller = new PacingController(new Map([worker, ...neighbours].map(known => [known.identity, known])))
      const step = createStep('crowded', { ...SERVING, count: 3, maximumUnavailable })
      const [crowded, ...others] = step.tasks as [Task, ...Task[]]
      run(crowded, worker, { percent: 100, load: 300 })
      others.forEach((task, index) => { if (index >= away) run(task, neighbours[index] as WorkerState, { percent: 100, load: 50 }) })
      const moved = [0, 2000, 4500].flatMap(now => controller.decide(worker, now).moves.map(({ task }) => task))
      assert.deepEqual(moved, isMoved ? [crowded] : [])
    })
  }
})
