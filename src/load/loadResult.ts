import Table from 'cli-table3'
import type { Histogram } from 'hdr-histogram-js'

/** Waiting time and outcomes of one urgency class. Times are milliseconds. */
export interface ClassResult {
  readonly sent: number
  readonly answered: number
  readonly notRun: number
  readonly mayHaveRun: number
  readonly broken: number
  readonly p50: number
  readonly p90: number
  readonly p99: number
  readonly maximum: number
}

/** Result of one run of the load tool. */
export interface LoadResult {
  readonly seed: number
  readonly durationMilliseconds: number
  readonly classes: Readonly<Record<string, ClassResult>>
  readonly jobs: ReadonlyArray<{ readonly job: string, readonly name: string, readonly state: string, readonly waitedMilliseconds: number | undefined }>
  /** Share of the workers' processors in use, sampled while jobs were open. */
  readonly packing: { readonly mean: number, readonly maximum: number }
  /** Cost of control per entry instance. */
  readonly control: ReadonlyArray<{ readonly instance: string, readonly processorSeconds: number, readonly residentBytes: number, readonly linkBytesPerSecond: number }>
}

/** Summary of a histogram of microseconds in milliseconds. */
export function summarize (histogram: Histogram): Pick<ClassResult, 'p50' | 'p90' | 'p99' | 'maximum'> {
  const at = (percentile: number): number => Math.round(histogram.getValueAtPercentile(percentile)) / 1000
  return { p50: at(50), p90: at(90), p99: at(99), maximum: histogram.totalCount === 0 ? 0 : histogram.maxValue / 1000 }
}

/** Renders a result as plain tables. */
export function formatResult (result: LoadResult): string {
  const requests = new Table({ head: ['urgency', 'sent', 'answered', 'notRun', 'mayHaveRun', 'broken', 'p50 ms', 'p90 ms', 'p99 ms', 'max ms'], style: { head: [], border: [] } })
  for (const [urgency, row] of Object.entries(result.classes)) {
    requests.push([urgency, row.sent, row.answered, row.notRun, row.mayHaveRun, row.broken, ...[row.p50, row.p90, row.p99, row.maximum].map(value => value.toFixed(1))])
  }
  const jobs = new Table({ head: ['job', 'state', 'waited ms'], style: { head: [], border: [] } })
  for (const job of result.jobs) jobs.push([job.name, job.state, job.waitedMilliseconds?.toFixed(0) ?? '-'])
  const control = new Table({ head: ['instance', 'processor s', 'resident MB', 'link bytes/s'], style: { head: [], border: [] } })
  for (const row of result.control) control.push([row.instance, row.processorSeconds.toFixed(2), (row.residentBytes / 1e6).toFixed(0), row.linkBytesPerSecond.toFixed(0)])
  const packing = `packing: mean ${(result.packing.mean * 100).toFixed(1)} %, maximum ${(result.packing.maximum * 100).toFixed(1)} % of the workers' processors`
  return ['waiting time', requests.toString(), 'jobs', jobs.toString(), packing, 'control cost', control.toString()].join('\n')
}
