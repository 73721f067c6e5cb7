import Table from 'cli-table3'
import type { Histogram } from 'hdr-histogram-js'

/** Percentiles in milliseconds. */
export interface Percentiles {
  readonly p50: number
  readonly p90: number
  readonly p99: number
  readonly maximum: number
}

/** Outcomes and response times of one urgency class. Response times are measured from the due time of a request, over all its submissions. */
export interface ClassResult extends Percentiles {
  readonly sent: number
  readonly resubmitted: number
  readonly answered: number
  readonly notRun: number
  readonly mayHaveRun: number
  readonly ran: number
  readonly broken: number
}

/** Time from submission to start for the jobs of one kind and urgency class. */
export interface JobClassResult extends Percentiles {
  readonly jobs: number
  readonly started: number
}

/** Last observed state of a job. `waitedMilliseconds` has the resolution of the polling, 100 ms. */
export interface JobResult {
  readonly job: string
  readonly name: string
  readonly kind: string
  readonly urgency: string
  readonly tasks: number
  readonly state: string
  readonly waitedMilliseconds: number | undefined
}

/** Control-plane cost of one entry instance over the run. */
export interface ControlResult {
  readonly instance: string
  readonly processorSeconds: number
  readonly residentBytes: number
  readonly linkBytesPerSecond: number
  readonly appends: number
}

/** Result of one run of the load tool. */
export interface LoadResult {
  readonly seed: number
  readonly durationMilliseconds: number
  readonly classes: Readonly<Record<string, ClassResult>>
  readonly jobs: readonly JobResult[]
  readonly jobClasses: Readonly<Record<string, JobClassResult>>
  /** Share of the processors in use in the failure domains in which a job waited for its start, and the number of samples. */
  readonly packing: { readonly mean: number, readonly maximum: number, readonly samples: number }
  readonly control: readonly ControlResult[]
  /** Faults that could not be set. */
  readonly notes: readonly string[]
  /** For each second of the run: the 99th percentile of the response times by urgency class in milliseconds, and the share of processors in use. */
  readonly series: { readonly seconds: readonly number[], readonly answerTimes: Readonly<Record<string, ReadonlyArray<number | null>>>, readonly used: ReadonlyArray<number | null> }
}

/** Returns percentiles in milliseconds of a histogram of microseconds. */
export function summarize (histogram: Histogram): Percentiles {
  const at = (percentile: number): number => Math.round(histogram.getValueAtPercentile(percentile)) / 1000
  return { p50: at(50), p90: at(90), p99: at(99), maximum: histogram.totalCount === 0 ? 0 : histogram.maxValue / 1000 }
}

/** Formats a result as text tables. */
export function formatResult (result: LoadResult): string {
  const style = { head: [], border: [] }
  const percentileColumns = ['p50 ms', 'p90 ms', 'p99 ms', 'max ms']
  const percentiles = (row: Percentiles): string[] => [row.p50, row.p90, row.p99, row.maximum].map(value => value.toFixed(1))
  const requests = new Table({ head: ['urgency', 'sent', 'answered', 'notRun', 'mayHaveRun', 'ran', 'broken', 'resubmitted', ...percentileColumns], style })
  for (const [urgency, row] of Object.entries(result.classes)) {
    requests.push([urgency, row.sent, row.answered, row.notRun, row.mayHaveRun, row.ran, row.broken, row.resubmitted, ...percentiles(row)])
  }
  const classes = new Table({ head: ['jobs by kind and urgency', 'jobs', 'started', ...percentileColumns], style })
  for (const [name, row] of Object.entries(result.jobClasses)) classes.push([name, row.jobs, row.started, ...percentiles(row)])
  const jobs = new Table({ head: ['job', 'state', 'waited ms'], style })
  for (const job of result.jobs) jobs.push([job.name, job.state, job.waitedMilliseconds?.toFixed(0) ?? '-'])
  const control = new Table({ head: ['instance', 'processor s', 'resident MB', 'link bytes/s', 'appends'], style })
  for (const row of result.control) control.push([row.instance, row.processorSeconds.toFixed(2), (row.residentBytes / 1e6).toFixed(0), row.linkBytesPerSecond.toFixed(0), row.appends])
  const { packing } = result
  const packingLine = packing.samples === 0 ? 'packing: no job waited when sampled' : `packing while jobs waited: mean ${(packing.mean * 100).toFixed(1)} %, maximum ${(packing.maximum * 100).toFixed(1)} % of the processors of their failure domains, ${packing.samples} samples`
  return [`response time from the due time of a request, seed ${result.seed}`, requests.toString(), 'waiting time of jobs', classes.toString(), jobs.toString(), packingLine, 'control cost', control.toString(), ...result.notes].join('\n')
}
