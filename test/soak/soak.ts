import { mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { delay } from '../../src/base/delay.js'
import { Random } from '../../src/base/random.js'
import { Caller } from './callers.js'
import { injectFault, planFaults, type PlannedFault } from './faults.js'
import { KEYS, SoakSite } from './soakSite.js'

/** Longest wait for all instances to be ready at the start, in milliseconds. */
const READY_TIMEOUT_MILLISECONDS = 60_000
/** Time for all jobs to end after the last fault, in milliseconds: scheduling must be back to normal after 14 s, and the jobs then run one after the other. */
const SETTLE_TIMEOUT_MILLISECONDS = 30_000
/** Time for runs that are no longer needed to end, in milliseconds: a lease plus the time of a stop. */
const ORPHANED_RUN_MILLISECONDS = 8000
const POLL_MILLISECONDS = 100
/** Random numbers to discard, because the first ones of neighbouring seeds are alike. */
const DISCARDED_NUMBERS = 20
const CALLERS = 10
const INSTANCES = { minimum: 3, maximum: 7 }
const WORKERS = 12

export interface SoakOptions {
  readonly seed: number
  /** Period in which faults start. */
  readonly seconds: number
  /** Faults that replace the drawn ones. */
  readonly faults?: readonly PlannedFault[]
}

export interface SoakResult {
  readonly problems: readonly string[]
  readonly summary: string
  /** Directory of the logs of all processes. */
  readonly directory: string
}

/** Runs one site with faults, ends all faults and checks the final state. Writes a history and the logs of all processes to a directory. */
export async function soak ({ seed, seconds, faults }: SoakOptions): Promise<SoakResult> {
  const directory = join('run', 'soak', String(seed))
  rmSync(directory, { recursive: true, force: true })
  mkdirSync(directory, { recursive: true })
  const random = new Random(seed)
  for (let discarded = 0; discarded < DISCARDED_NUMBERS; discarded += 1) random.fraction()
  const planned = faults ?? planFaults(random, 1000 * seconds)
  const site = new SoakSite(directory)
  const callers: Caller[] = []
  let settledMilliseconds = 0
  try {
    await site.start(INSTANCES.minimum + random.integerBelow(INSTANCES.maximum - INSTANCES.minimum + 1), WORKERS)
    while (callers.length < CALLERS) callers.push(new Caller(site, new Random(random.integerBelow(2 ** 31)), callers.length % 2 === 0 ? KEYS.kept : KEYS.withdrawn))
    await site.waitUntilReady(READY_TIMEOUT_MILLISECONDS)
    await withTraffic(callers, async () => {
      const withdrawal = delay(500 * seconds).then(() => site.withdrawKey())
      await Promise.all([injectFaults(site, planned), withdrawal])
    })
    const settlingSince = performance.now()
    await waitUntilSettled(site, callers)
    settledMilliseconds = performance.now() - settlingSince
  } finally {
    for (const caller of callers) caller.dispose()
    await site.dispose()
  }
  const { jobs, checks, instances } = site
  const summary = `${instances.length} instances, ${planned.length} faults, ${jobs.length} jobs, ${jobs.filter(job => job.acceptedAt !== undefined).length} accepted, ${jobs.filter(job => !job.mayRun).length} refused or not delivered, ${checks.interruptedUnread} requests interrupted unread, settled after ${Math.round(settledMilliseconds)} ms, ${checks.excusedBounds} time bounds missed on a slow machine`
  writeFileSync(join(directory, 'soak.txt'), [`seed ${seed}, ${seconds} s, ${summary}`, ...site.history, ...checks.problems, ''].join('\n'))
  return { problems: checks.problems, summary, directory }
}

async function withTraffic (callers: readonly Caller[], action: () => Promise<void>): Promise<void> {
  const controller = new AbortController()
  const traffic = callers.map(async caller => await caller.run(controller.signal))
  await action()
  controller.abort()
  await Promise.all(traffic)
}

/** Starts each fault when it is due, and ends it after its duration. */
async function injectFaults (site: SoakSite, planned: readonly PlannedFault[]): Promise<void> {
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

/** Waits until every job has ended and no task runs, or until the timeouts. Then checks the final states. */
async function waitUntilSettled (site: SoakSite, callers: readonly Caller[]): Promise<void> {
  const signal = AbortSignal.timeout(SETTLE_TIMEOUT_MILLISECONDS)
  const shares = callers.map((_, index) => site.jobs.filter((_, position) => position % callers.length === index))
  const states = await Promise.all(callers.map(async (caller, index) => await caller.waitForFinalStates(shares[index] ?? [], signal)))
  const deadline = performance.now() + ORPHANED_RUN_MILLISECONDS
  while (site.hasRunningTasks && performance.now() < deadline) await delay(POLL_MILLISECONDS)
  site.checks.checkFinalStates(new Map(states.flatMap(share => [...share])))
}
