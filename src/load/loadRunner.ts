import type { Agent } from 'undici'
import { delay } from '../base/delay.js'
import { Random } from '../base/random.js'
import type { EventLog } from '../contracts/eventLog.js'
import type { StandinLedger } from '../contracts/standinLedger.js'
import type { Urgency } from '../contracts/siteConfiguration.js'
import { JobTracker } from './jobTracker.js'
import type { LoadResult } from './loadResult.js'
import { RequestSender, type RequestOutcome, type RequestStreamState } from './requestSender.js'
import type { RequestStream, Scenario } from './scenario.js'
import { computeControlCost, SiteProbe } from './siteProbe.js'

/** Entry instances under load. */
export interface LoadTarget {
  readonly callerAddresses: readonly string[]
  readonly operatorToken: string
  /** Address of the stand-in, to set faults and to read the ledger of its runs. */
  readonly standinAddress?: string
  /** Makes the idempotency keys of this run distinct from those of other runs. */
  readonly runIdentity: string
  /** Urgency class of a service, for the report. */
  readonly urgencyOf: (service: string) => Urgency
}

interface Sample {
  readonly second: number
  /** Share of all workers' processors in use. */
  readonly usedShare: number
  /** The same for the failure domains in which a job waits; undefined if no job waits. */
  readonly usedShareWhileWaiting: number | undefined
}

const SAMPLE_INTERVAL_MILLISECONDS = 100
const SERIES_QUANTILE = 0.99

/** Runs a scenario against entry instances with open-loop arrivals. */
export class LoadRunner {
  private readonly sender: RequestSender
  private readonly tracker: JobTracker
  private readonly probe: SiteProbe
  private readonly samples: Sample[] = []
  private readonly notes: string[] = []
  private readonly inFlight = new Set<Promise<void>>()

  constructor (private readonly scenario: Scenario, target: LoadTarget, agent: Agent, events: EventLog | undefined, private readonly onProgress: (fraction: number) => void) {
    const { callerAddresses, runIdentity } = target
    this.sender = new RequestSender(callerAddresses, target.urgencyOf, agent, events, runIdentity)
    this.tracker = new JobTracker(callerAddresses, agent, new Random(scenario.seed), runIdentity)
    this.probe = new SiteProbe(callerAddresses, target.operatorToken, agent, target.standinAddress)
  }

  /** Outcomes that callers received, in the order in which they were received. */
  get outcomes (): readonly RequestOutcome[] {
    return this.sender.outcomes
  }

  /** Runs until the arrivals end, and then until all jobs have ended or the settle time has elapsed. */
  async run (): Promise<LoadResult> {
    const before = await this.probe.readControlCounters()
    const startedAt = performance.now()
    const arrivals = this.scenario.requests.map(async (stream, index) => await this.runStream(stream, index, startedAt))
    const submissions = this.scenario.jobs.map(async entry => await this.tracker.submit(entry, startedAt))
    const faults = this.scenario.faults.map(async entry => await this.setFaults(entry, startedAt))
    const sampling = this.sampleUntilSettled(startedAt)
    await Promise.all([...arrivals, ...submissions, ...faults])
    await Promise.all(this.inFlight)
    await sampling
    const durationMilliseconds = performance.now() - startedAt
    const control = computeControlCost(before, await this.probe.readControlCounters(), durationMilliseconds)
    return {
      seed: this.scenario.seed,
      durationMilliseconds,
      classes: this.sender.results(),
      ...this.tracker.results(),
      packing: this.summarizePacking(),
      control,
      notes: this.notes,
      series: this.createSeries()
    }
  }

  /** Returns the ledger of the stand-ins, or undefined if there is no stand-in or it does not respond. */
  async readLedger (): Promise<StandinLedger | undefined> {
    return await this.probe.readLedger()
  }

  /** Sends each request at its due time, regardless of earlier requests that are still in flight. */
  private async runStream (stream: RequestStream, index: number, startedAt: number): Promise<void> {
    const interarrivalRandom = new Random(this.scenario.seed + 2 * index + 1)
    const state: RequestStreamState = { stream, random: new Random(this.scenario.seed + 2 * index + 2), sent: 0 }
    const end = startedAt + Math.min(this.scenario.durationMilliseconds, stream.untilMilliseconds ?? Infinity)
    let dueAt = startedAt + stream.fromMilliseconds + interarrivalRandom.exponential(1000 / stream.perSecond)
    while (dueAt < end) {
      const wait = dueAt - performance.now()
      if (wait > 0) await delay(wait)
      this.track(this.sender.send(state, dueAt, startedAt))
      dueAt += interarrivalRandom.exponential(1000 / stream.perSecond)
    }
  }

  private track (work: Promise<void>): void {
    this.inFlight.add(work)
    work.finally(() => this.inFlight.delete(work))
  }

  private async setFaults (entry: Scenario['faults'][number], startedAt: number): Promise<void> {
    await delay(Math.max(0, startedAt + entry.atMilliseconds - performance.now()))
    const failure = await this.probe.setFaults(entry.target, entry.faults)
    if (failure !== undefined) this.notes.push(`fault of ${entry.target} at ${entry.atMilliseconds} ms was not set: ${failure}`)
  }

  private async sampleUntilSettled (startedAt: number): Promise<void> {
    const arrivalsEnd = startedAt + this.scenario.durationMilliseconds
    const end = arrivalsEnd + this.scenario.settleMilliseconds
    for (let now = performance.now(); now < end; now = performance.now()) {
      await delay(SAMPLE_INTERVAL_MILLISECONDS)
      // Without jobs there is nothing to sample, and the reads would add to the control cost that is measured.
      if (this.scenario.jobs.length > 0) await this.takeSample(Math.floor((now - startedAt) / 1000))
      this.onProgress(Math.min(1, (now - startedAt) / this.scenario.durationMilliseconds))
      const allSubmitted = this.tracker.submittedCount === this.scenario.jobs.length
      if (now >= arrivalsEnd && allSubmitted && !this.tracker.hasOpenJobs) return
    }
  }

  private async takeSample (second: number): Promise<void> {
    const statuses = await this.probe.readStatuses()
    const owners = new Map([...statuses].filter(([, status]) => status.isOwner).map(([address, status]) => [status.failureDomain, address]))
    await this.tracker.poll(owners)
    const { waitingFailureDomains } = this.tracker
    const usedShareOf = (domains: Iterable<string>): number | undefined => {
      let used = 0
      let capacity = 0
      for (const domain of domains) {
        const status = statuses.get(owners.get(domain) ?? '')
        used += status?.used?.processorsThousandths ?? 0
        capacity += status?.capacity?.processorsThousandths ?? 0
      }
      return capacity > 0 ? used / capacity : undefined
    }
    const usedShare = usedShareOf(owners.keys())
    if (usedShare !== undefined) this.samples.push({ second, usedShare, usedShareWhileWaiting: usedShareOf(waitingFailureDomains) })
  }

  private summarizePacking (): LoadResult['packing'] {
    const values = this.samples.flatMap(sample => sample.usedShareWhileWaiting ?? [])
    const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
    return { mean, maximum: Math.max(0, ...values), samples: values.length }
  }

  private createSeries (): LoadResult['series'] {
    const length = Math.max(Math.ceil(this.scenario.durationMilliseconds / 1000), ...this.samples.map(sample => sample.second + 1))
    const responseTimes = new Map<string, number[][]>()
    for (const { kind, urgency, dueMilliseconds, elapsedMilliseconds } of this.outcomes) {
      if (kind !== 'answered') continue
      const seconds = responseTimes.get(urgency) ?? Array.from({ length }, (): number[] => [])
      responseTimes.set(urgency, seconds)
      seconds[Math.floor(dueMilliseconds / 1000)]?.push(elapsedMilliseconds)
    }
    const used = Array.from({ length }, (_, second) => this.samples.findLast(sample => sample.second === second)?.usedShare ?? null)
    const answerTimes = Object.fromEntries([...responseTimes].map(([urgency, seconds]) => [urgency, seconds.map(seriesQuantile)]))
    return { seconds: Array.from({ length }, (_, second) => second), answerTimes, used }
  }
}

function seriesQuantile (values: readonly number[]): number | null {
  if (values.length === 0) return null
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * SERIES_QUANTILE))] ?? null
}
