import { build } from 'hdr-histogram-js'
import type { Resources } from '../src/contracts/resources.js'
import { BestFitPolicy, FullScanBestFitPolicy, PlacementPolicy } from '../src/scheduling/placementPolicy.js'
import type { WorkerEntry } from '../src/scheduling/workerEntry.js'
import { SchedulingSite } from './schedulingSite.js'

const WORKER_COUNTS = [30, 900, 5000, 20_000]
const WAITING_TASK_COUNTS = [100, 10_000, 100_000]
const DECISIONS = 200
const WARM_UP_DECISIONS = 30
/** A full scan is so slow that few decisions suffice. */
const FULL_SCAN_DECISIONS = 5
const DECISION_LIMIT = 5000
/** Tasks that end between two decisions: 1,200 per second at ten decisions per second. */
const ENDED_PER_DECISION = 120
const CANCELLATIONS = 10_000

interface DecisionMetrics {
  readonly placementsPerSecond: number
  readonly p50Microseconds: number
  readonly p99Microseconds: number
}

/** Chooses by the index until `usesFullScan` is set, so that a large site fills up in reasonable time before a full scan is measured. */
class SwitchablePolicy extends PlacementPolicy {
  usesFullScan = false
  private readonly index = new BestFitPolicy()
  private readonly fullScan = new FullScanBestFitPolicy()

  override onWorkerChanged (entry: WorkerEntry, schedulable: boolean): void {
    this.index.onWorkerChanged(entry, schedulable)
    this.fullScan.onWorkerChanged(entry, schedulable)
  }

  override choose (demand: Resources, accept: (entry: WorkerEntry) => boolean): WorkerEntry | undefined {
    return (this.usesFullScan ? this.fullScan : this.index).choose(demand, accept)
  }
}

/** Prints the cost of decisions on a full site by number of workers and waiting tasks, with the index and with a full scan. */
export function runSchedulingBench (seed: number): void {
  printLine('decisions on a full site; placements per second of processor time, decision p50 and p99 in microseconds of processor time')
  printLine('workers  waiting | index: placements/s  p50  p99 | full scan: placements/s  p50  p99 | ratio of placements/s')
  for (const workers of WORKER_COUNTS) {
    for (const waiting of WAITING_TASK_COUNTS) {
      const index = measureDecisions(workers, waiting, false, seed, DECISIONS)
      const scan = measureDecisions(workers, waiting, true, seed, FULL_SCAN_DECISIONS)
      printLine(`${workers}  ${waiting} | ${formatMetrics(index)} | ${formatMetrics(scan)} | ${(index.placementsPerSecond / scan.placementsPerSecond).toFixed(1)}`)
    }
  }
}

function measureDecisions (workers: number, waiting: number, usesFullScan: boolean, seed: number, decisions: number): DecisionMetrics {
  const policy = new SwitchablePolicy()
  const site = new SchedulingSite(workers, policy, seed)
  fillSite(site, waiting)
  policy.usesFullScan = usesFullScan
  const histogram = build()
  let milliseconds = 0
  for (let decision = 0; decision < Math.min(decisions, WARM_UP_DECISIONS); decision += 1) {
    const before = site.placed
    site.finish(ENDED_PER_DECISION)
    site.decide(DECISION_LIMIT)
    site.submit(site.placed - before)
  }
  const placedBefore = site.placed
  for (let decision = 0; decision < decisions; decision += 1) {
    const before = site.placed
    site.finish(ENDED_PER_DECISION)
    const elapsed = site.decide(DECISION_LIMIT)
    milliseconds += elapsed
    histogram.recordValue(Math.max(1, Math.round(elapsed * 1000)))
    site.submit(site.placed - before)
  }
  return { placementsPerSecond: (site.placed - placedBefore) * 1000 / milliseconds, p50Microseconds: histogram.getValueAtPercentile(50), p99Microseconds: histogram.getValueAtPercentile(99) }
}

/** Submits jobs until the site is full and `waiting` tasks wait. */
function fillSite (site: SchedulingSite, waiting: number): void {
  for (;;) {
    const before = site.placed
    site.submit(Math.max(100, site.workers.length))
    site.decide(DECISION_LIMIT)
    if (site.placed - before < site.workers.length / 50) break
  }
  site.submit(waiting)
  for (let round = 0; round < waiting / 200 + 10; round += 1) site.decide(DECISION_LIMIT)
}

/** Prints the decision time after a burst of 10,000 cancellations, compared with the usual decision time. */
export function runCancellationBench (seed: number): void {
  const site = new SchedulingSite(900, new BestFitPolicy(), seed)
  fillSite(site, 20_000)
  const usual = build()
  const afterBurst = build()
  const round = (histogram: typeof usual): void => {
    const before = site.placed
    site.finish(ENDED_PER_DECISION)
    histogram.recordValue(Math.max(1, Math.round(site.decide(DECISION_LIMIT) * 1000)))
    site.submit(site.placed - before)
  }
  const cancelled = site.submit(CANCELLATIONS)
  for (let index = 0; index < DECISIONS; index += 1) round(usual)
  const before = performance.now()
  for (const job of cancelled) site.scheduler.cancelJob(job)
  const elapsed = performance.now() - before
  for (let index = 0; index < 30; index += 1) round(afterBurst)
  printLine(`${CANCELLATIONS} cancellations at 900 workers: ${(elapsed * 1000 / CANCELLATIONS).toFixed(2)} us each; decision p99 ${usual.getValueAtPercentile(99)} us before, ${afterBurst.getValueAtPercentile(99)} us after the burst, ratio ${(afterBurst.getValueAtPercentile(99) / usual.getValueAtPercentile(99)).toFixed(2)}`)
}

function formatMetrics ({ placementsPerSecond, p50Microseconds, p99Microseconds }: DecisionMetrics): string {
  return `${Math.round(placementsPerSecond)}  ${p50Microseconds}  ${p99Microseconds}`
}

function printLine (line: string): void {
  process.stdout.write(`${line}\n`)
}
