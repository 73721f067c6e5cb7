import { mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { delay } from '../../src/base/delay.js'
import { Random } from '../../src/base/random.js'
import { Caller } from './callers.js'
import { injectFault, planFaults, type PlannedFault } from './faults.js'
import { SoakSite } from './soakSite.js'

/** Longest wait for all instances to be ready at the start, in milliseconds. */
const READY_MILLISECONDS = 60_000
/** Time for all jobs to end after the last fault, in milliseconds: jobs are to be in order again after 14 s, and then follow each other. */
const SETTLE_MILLISECONDS = 30_000
/** Time for runs that nobody wants any more to end, in milliseconds: a lease, and the time of a stop. */
const CLEAR_MILLISECONDS = 8000
const POLL_MILLISECONDS = 100
const SKIPPED_NUMBERS = 20
const CALLERS = 10
const INSTANCES = { least: 3, most: 7 }
const WORKERS = 12

export interface SoakOptions {
  readonly seed: number
  /** Time in which faults begin. */
  readonly seconds: number
  /** Faults in place of drawn ones. */
  readonly faults?: readonly PlannedFault[]
}

export interface SoakResult {
  readonly problems: readonly string[]
  readonly summary: string
  /** Where the logs of all processes are. */
  readonly directory: string
}

/** Runs one site with faults, ends all faults, and checks what must hold then. Keeps the logs of a run with problems. */
export async function soak ({ seed, seconds, faults }: SoakOptions): Promise<SoakResult> {
  const directory = join('run', 'soak', String(seed))
  rmSync(directory, { recursive: true, force: true })
  mkdirSync(directory, { recursive: true })
  const random = new Random(seed)
  // The first numbers of neighbouring seeds are alike.
  for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped += 1) random.fraction()
  const planned = faults ?? planFaults(random, 1000 * seconds)
  const site = new SoakSite(directory)
  const callers: Caller[] = []
  let settledMilliseconds = 0
  try {
    await site.start(INSTANCES.least + random.integerBelow(INSTANCES.most - INSTANCES.least + 1), WORKERS)
    while (callers.length < CALLERS) callers.push(new Caller(site, new Random(random.integerBelow(2 ** 31))))
    await site.waitUntilReady(READY_MILLISECONDS)
    await underTraffic(callers, async () => await strike(site, planned))
    const settlingAt = performance.now()
    await settle(site, callers)
    settledMilliseconds = performance.now() - settlingAt
  } finally {
    for (const caller of callers) caller.dispose()
    await site.dispose()
  }
  const { jobs, checks, instances } = site
  const summary = `${instances.length} instances, ${planned.length} faults, ${jobs.length} jobs, ${jobs.filter(job => job.acceptedAt !== undefined).length} accepted, ${jobs.filter(job => !job.mayRun).length} refused or not delivered, ${checks.interruptedUnread} requests cut unread, settled after ${Math.round(settledMilliseconds)} ms, ${checks.excusedBounds} bounds in time missed on a slow machine`
  writeFileSync(join(directory, 'soak.txt'), [`seed ${seed}, ${seconds} s, ${summary}`, ...site.history, ...checks.problems, ''].join('\n'))
  return { problems: checks.problems, summary, directory }
}

async function underTraffic (callers: readonly Caller[], act: () => Promise<void>): Promise<void> {
  const controller = new AbortController()
  const traffic = callers.map(async caller => await caller.run(controller.signal))
  await act()
  controller.abort()
  await Promise.all(traffic)
}

/** Begins the faults when they are due, and ends each after its time. */
async function strike (site: SoakSite, planned: readonly PlannedFault[]): Promise<void> {
  const startedAt = performance.now()
  const ends: Array<Promise<void>> = []
  for (const fault of planned) {
    await delay(startedAt + fault.atMilliseconds - performance.now())
    const { line, end } = injectFault(site, fault)
    site.history.push(line)
    ends.push(delay(fault.durationMilliseconds).then(end))
  }
  await Promise.all(ends)
}

/** Waits until every job has ended and nothing runs any more, or the time for that is over. */
async function settle (site: SoakSite, callers: readonly Caller[]): Promise<void> {
  const signal = AbortSignal.timeout(SETTLE_MILLISECONDS)
  const shares = callers.map((_, index) => site.jobs.filter((_, position) => position % callers.length === index))
  const states = await Promise.all(callers.map(async (caller, index) => await caller.settle(shares[index] ?? [], signal)))
  const clearBy = performance.now() + CLEAR_MILLISECONDS
  while (site.hasRunningTasks && performance.now() < clearBy) await delay(POLL_MILLISECONDS)
  site.checks.checkFinalStates(new Map(states.flatMap(share => [...share])))
}
