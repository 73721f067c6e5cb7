import { build } from 'hdr-histogram-js'
import { Random } from '../src/base/random.js'
import { BestFitPolicy } from '../src/scheduling/placementPolicy.js'
import { Scheduler } from '../src/scheduling/scheduler.js'

const WORKER_COUNTS = [30, 900, 5000]
const PLACEMENTS = 2000

/** Prints placements a second and the time of a decision by number of workers. */
export function runSchedulingBench (seed: number): void {
  process.stdout.write('placements a second and decision time by number of workers\n')
  for (const workers of WORKER_COUNTS) {
    const random = new Random(seed)
    const scheduler = new Scheduler(1, 0, new BestFitPolicy())
    const names = Array.from({ length: workers }, (_, index) => `worker-${index}`)
    const capacity = { processorsThousandths: 16_000, memoryBytes: 64e9, accelerators: 0 }
    scheduler.setWorkers(names.map(name => ({ name, failureDomain: 'zone', rack: 'rack', pool: 'general', address: '', capacity, leaving: false })))
    for (const name of names) scheduler.onReport(name, { worker: name, incarnation: '1', term: 1, tasks: [], logicalTime: 0 }, 0)
    const histogram = build()
    const startedAt = performance.now()
    let placed = 0
    for (let index = 0; index < PLACEMENTS; index += 1) {
      const resources = { processorsThousandths: 100 + random.integerBelow(400), memoryBytes: 1e8 + random.integerBelow(1e9), accelerators: 0 }
      scheduler.addJob({ identity: `job-${index}`, name: 'job', team: 'one', kind: 'batch', urgency: 'normal', tasks: 1, resources, checkpointable: false, acceptedAtMilliseconds: 0 }, index)
      const before = performance.now()
      placed += scheduler.decide(index, 10).length
      histogram.recordValue(Math.max(1, Math.round((performance.now() - before) * 1000)))
    }
    const seconds = (performance.now() - startedAt) / 1000
    process.stdout.write(`workers ${workers}: ${Math.round(placed / seconds)} placements/s, p50 ${histogram.getValueAtPercentile(50)} us, p99 ${histogram.getValueAtPercentile(99)} us\n`)
  }
}
