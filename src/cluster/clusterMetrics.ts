import { build, type Histogram } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'
import type { RefusalReason } from './organisations/accessControl.js'

/** Percentiles exported for each distribution. */
const EXPORTED_PERCENTILES = [50, 90, 99, 100]
/** Number of organisations that refused submissions are counted for by name. */
const MAXIMUM_NAMED_ORGANISATIONS = 10
/** Name under which the others are counted. */
const OTHER_ORGANISATIONS = '(others)'
/** Highest duration that distributions record, in milliseconds; longer ones count as this one. */
const HIGHEST_MILLISECONDS = 600_000

/** Metrics of one instance in the Prometheus text format. */
export class ClusterMetrics {
  private readonly registry = new Registry()
  private readonly answersTotal = this.counter('answers_total', 'Answers to callers', ['operation', 'status'])
  private readonly accessRefusalsTotal = this.counter('access_refusals_total', 'Calls refused for their API key, or because keys were read too long ago', ['reason'])
  private readonly submissionRefusalsTotal = this.counter('submission_refusals_total', 'Submissions refused because their organisation cannot have them served', ['organisation', 'cause'])
  private readonly namedOrganisations = new Set<string>()
  private readonly looksTotal = this.counter('looks_total', 'Looks at workers', ['outcome'])
  private readonly startsTotal = this.counter('starts_total', 'Start orders', ['outcome'])
  private readonly runEndsTotal = this.counter('run_ends_total', 'Ends of runs', ['kind'])
  private readonly lostRunsTotal = this.counter('lost_runs_total', 'Runs that no longer exist although their worker has reported no end of them', ['cause'])
  private readonly crashesTotal = this.counter('worker_crashes_total', 'Workers that have crashed under a run, counted for each run', [])
  private readonly jobsFinishedTotal = this.counter('jobs_finished_total', 'Jobs that reached a final state', ['state'])
  private readonly paceCommandsTotal = this.counter('pace_commands_total', 'Commands that set the pace of a run', ['outcome'])
  private readonly targetCrossingsTotal = this.counter('target_crossings_total', 'Times that the tail latency of a serving task crossed its target', ['direction'])
  private readonly movedRunsTotal = this.counter('moved_runs_total', 'Runs that were stopped to be moved to another worker', [])
  private readonly preemptionsTotal = this.counter('preemptions_total', 'Runs that were stopped to make room for tasks of another job', ['reason'])
  private readonly preemptionLossTotal = this.counter('preemption_unsaved_core_seconds_total', 'Unsaved work of preempted runs, in core-seconds', [])
  private readonly takeoversTotal = this.counter('takeovers_total', 'Times that this instance took the scheduler role over', [])
  private readonly durations = new Map<string, Histogram>()

  /** Registers a gauge whose value is read when metrics are scraped. */
  addGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name: `vanillaturn_${name}`, help, registers: [this.registry], collect: (): void => gauge.set(read()) })
  }

  /** Registers a gauge with one value for each name that `read` returns when metrics are scraped. */
  addGaugeByName (name: string, help: string, label: string, read: () => ReadonlyArray<readonly [name: string, value: number]>): void {
    const gauge: Gauge = new Gauge({
      name: `vanillaturn_${name}`,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect: (): void => {
        gauge.reset()
        for (const [labelValue, value] of read()) gauge.set({ [label]: labelValue }, value)
      }
    })
  }

  responseSent (operation: string, status: number, milliseconds: number): void {
    this.answersTotal.inc({ operation, status: String(status) })
    this.observe(`answer_${operation}`, milliseconds)
  }

  accessRefused (reason: RefusalReason): void {
    this.accessRefusalsTotal.inc({ reason })
  }

  submissionRefused (organisation: string, cause: string): void {
    if (this.namedOrganisations.size < MAXIMUM_NAMED_ORGANISATIONS) this.namedOrganisations.add(organisation)
    this.submissionRefusalsTotal.inc({ organisation: this.namedOrganisations.has(organisation) ? organisation : OTHER_ORGANISATIONS, cause })
  }

  pollCompleted (outcome: string): void {
    this.looksTotal.inc({ outcome })
  }

  startCommandCompleted (outcome: string, milliseconds: number): void {
    this.startsTotal.inc({ outcome })
    this.observe('start', milliseconds)
  }

  paceCommandCompleted (isConfirmed: boolean): void {
    this.paceCommandsTotal.inc({ outcome: isConfirmed ? 'confirmed' : 'unconfirmed' })
  }

  targetCrossed (isOver: boolean): void {
    this.targetCrossingsTotal.inc({ direction: isOver ? 'over' : 'within' })
  }

  runMoved (): void {
    this.movedRunsTotal.inc()
  }

  runPreempted (reason: string, unsavedCoreSeconds: number): void {
    this.preemptionsTotal.inc({ reason })
    this.preemptionLossTotal.inc(unsavedCoreSeconds)
  }

  runEnded (kind: string): void {
    this.runEndsTotal.inc({ kind })
  }

  runLost (cause: string): void {
    this.lostRunsTotal.inc({ cause })
  }

  workerCrashed (): void {
    this.crashesTotal.inc()
  }

  jobFinished (state: string): void {
    this.jobsFinishedTotal.inc({ state })
  }

  progressRecorded (milliseconds: number): void {
    this.observe('record', milliseconds)
  }

  takeoverCompleted (milliseconds: number): void {
    this.takeoversTotal.inc()
    this.observe('takeover', milliseconds)
  }

  /** Returns all metrics in the Prometheus text format. */
  async text (): Promise<string> {
    const lines = [await this.registry.metrics()]
    for (const [name, histogram] of this.durations) {
      const metric = `vanillaturn_${name}_milliseconds`
      lines.push(`# TYPE ${metric} summary`)
      for (const percentile of EXPORTED_PERCENTILES) lines.push(`${metric}{quantile="${percentile / 100}"} ${histogram.getValueAtPercentile(percentile)}`)
      lines.push(`${metric}_count ${histogram.totalCount}`)
    }
    return lines.join('\n') + '\n'
  }

  private counter (name: string, help: string, labelNames: string[]): Counter {
    return new Counter({ name: `vanillaturn_${name}`, help, labelNames, registers: [this.registry] })
  }

  private observe (name: string, milliseconds: number): void {
    let histogram = this.durations.get(name)
    if (histogram === undefined) {
      histogram = build({ bitBucketSize: 32, highestTrackableValue: HIGHEST_MILLISECONDS, numberOfSignificantValueDigits: 2 })
      this.durations.set(name, histogram)
    }
    histogram.recordValue(Math.min(HIGHEST_MILLISECONDS, Math.max(0, Math.round(milliseconds))))
  }
}
