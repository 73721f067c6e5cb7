import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { RETENTION_CHECK_INTERVAL_MILLISECONDS } from '../../src/entry/retentionTask.js'
import { OWNERSHIP_TIMINGS } from '../../src/zones/ownership.js'
import { REAPPEND_SHARE } from '../../src/zones/retention.js'

const SECONDS_PER_DAY = 86_400
const MAXIMUM_APPENDS_PER_SECOND = 300
const FAILURE_DOMAINS = 22
const JOBS_PER_DAY = 86_000
const CONFIGURATION_CHANGES_PER_DAY = 6000
const INSTANCE_REPLACEMENTS_PER_DAY = 3300
const RETAINED_RECORDS = 20_000
/** Upper bound on open jobs at the target size: 210,000 running tasks, each counted as a job of its own. */
const OPEN_JOBS = 210_000
/** Records per job at most: accepted, ended, and a cancellation. */
const RECORDS_PER_JOB = 3
const REAPPEND_BATCH_RECORDS = 200

const jobRecordsPerSecond = JOBS_PER_DAY * RECORDS_PER_JOB / SECONDS_PER_DAY
const openJobsPerDomain = OPEN_JOBS / FAILURE_DOMAINS
/** Seconds between two re-appends by count. The re-appended records themselves shorten the interval. */
const reappendIntervalSeconds = (RETAINED_RECORDS * REAPPEND_SHARE - openJobsPerDomain) / (jobRecordsPerSecond / FAILURE_DOMAINS)

const APPEND_SOURCES: ReadonlyArray<{ readonly kind: string, readonly appendsPerSecond: number }> = [
  { kind: 'ownership renewals', appendsPerSecond: FAILURE_DOMAINS * 1000 / OWNERSHIP_TIMINGS.renewalInterval },
  { kind: 'joins, claims and releases', appendsPerSecond: 3 * INSTANCE_REPLACEMENTS_PER_DAY / SECONDS_PER_DAY },
  { kind: 'jobs, unbatched', appendsPerSecond: jobRecordsPerSecond },
  { kind: 'published configurations', appendsPerSecond: CONFIGURATION_CHANGES_PER_DAY / SECONDS_PER_DAY },
  { kind: 'restated configuration', appendsPerSecond: CONFIGURATION_CHANGES_PER_DAY / SECONDS_PER_DAY / (RETAINED_RECORDS * REAPPEND_SHARE) },
  { kind: 'open jobs re-appended by count', appendsPerSecond: FAILURE_DOMAINS * Math.ceil(openJobsPerDomain / REAPPEND_BATCH_RECORDS) / reappendIntervalSeconds },
  { kind: 'open jobs re-appended by time', appendsPerSecond: FAILURE_DOMAINS * 1000 / RETENTION_CHECK_INTERVAL_MILLISECONDS }
]

/** Guards against a change of a constant that exceeds the append rate of the platform, and against outdated documentation. */
describe('append budget at the target size', () => {
  const sum = APPEND_SOURCES.reduce((total, source) => total + source.appendsPerSecond, 0)

  it(`is at most ${MAXIMUM_APPENDS_PER_SECOND} appends per second`, context => {
    context.diagnostic(`${sum.toFixed(2)} appends per second`)
    assert.ok(sum <= MAXIMUM_APPENDS_PER_SECOND)
  })

  it('keeps the open jobs of a failure domain below half of the retained records, so that re-appends do not trigger further re-appends', () => {
    assert.ok(openJobsPerDomain < RETAINED_RECORDS * REAPPEND_SHARE)
  })

  it('matches docs/decisions/append-budget.md', () => {
    const page = readFileSync(new URL('../../../docs/decisions/append-budget.md', import.meta.url), 'utf8')
    for (const { kind, appendsPerSecond } of [...APPEND_SOURCES, { kind: 'sum', appendsPerSecond: sum }]) {
      assert.ok(page.includes(`| ${kind} | ${appendsPerSecond.toFixed(4)} |`), `| ${kind} | ${appendsPerSecond.toFixed(4)} |`)
    }
  })
})
