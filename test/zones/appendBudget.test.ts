import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { RETENTION_CHECK_MILLISECONDS } from '../../src/entry/retentionTask.js'
import { OWNERSHIP_TIMINGS } from '../../src/zones/ownership.js'
import { REAPPEND_SHARE } from '../../src/zones/retention.js'

const DAY_SECONDS = 86_400
const BUDGET = 300
const FAILURE_DOMAINS = 22
const JOBS_A_DAY = 86_000
const CHANGES_A_DAY = 6000
const REPLACEMENTS_A_DAY = 3300
const RETAINED_RECORDS = 20_000
/** Open jobs at the target size: 210,000 running tasks as if each were a job of its own, which is the upper bound. */
const OPEN_JOBS = 210_000
/** A day of jobs brings three records each: accepted, ended, and a cancellation at most. */
const JOB_RECORDS = 3
const REAPPEND_BATCH = 200

const recordsASecond = JOBS_A_DAY * JOB_RECORDS / DAY_SECONDS
const openJobsOfADomain = OPEN_JOBS / FAILURE_DOMAINS
/** Seconds between two rounds by count: a round's own records bring the next one nearer. */
const roundSeconds = (RETAINED_RECORDS * REAPPEND_SHARE - openJobsOfADomain) / (recordsASecond / FAILURE_DOMAINS)

const LINES: ReadonlyArray<{ readonly kind: string, readonly appendsASecond: number }> = [
  { kind: 'ownership renewals', appendsASecond: FAILURE_DOMAINS * 1000 / OWNERSHIP_TIMINGS.renewalInterval },
  { kind: 'joins, claims and releases', appendsASecond: 3 * REPLACEMENTS_A_DAY / DAY_SECONDS },
  { kind: 'jobs, unbatched', appendsASecond: recordsASecond },
  { kind: 'published configurations', appendsASecond: CHANGES_A_DAY / DAY_SECONDS },
  { kind: 'restated configuration', appendsASecond: CHANGES_A_DAY / DAY_SECONDS / (RETAINED_RECORDS * REAPPEND_SHARE) },
  { kind: 'open jobs re-appended by count', appendsASecond: FAILURE_DOMAINS * Math.ceil(openJobsOfADomain / REAPPEND_BATCH) / roundSeconds },
  { kind: 'open jobs re-appended by time', appendsASecond: FAILURE_DOMAINS * 1000 / RETENTION_CHECK_MILLISECONDS }
]

/** Guards against a change of a constant that overruns the platform's appends, and against a stale page. */
describe('append budget at the target size', () => {
  const sum = LINES.reduce((total, line) => total + line.appendsASecond, 0)

  it(`is at most ${BUDGET} a second`, context => {
    context.diagnostic(`${sum.toFixed(2)} appends a second`)
    assert.ok(sum <= BUDGET)
  })

  it('leaves the open jobs of a failure domain within half of the retained records, so that re-appends do not feed themselves', () => {
    assert.ok(openJobsOfADomain < RETAINED_RECORDS * REAPPEND_SHARE)
  })

  it('is what docs/decisions/append-budget.md says', () => {
    const page = readFileSync(new URL('../../../docs/decisions/append-budget.md', import.meta.url), 'utf8')
    for (const { kind, appendsASecond } of [...LINES, { kind: 'sum', appendsASecond: sum }]) {
      assert.ok(page.includes(`| ${kind} | ${appendsASecond.toFixed(4)} |`), `| ${kind} | ${appendsASecond.toFixed(4)} |`)
    }
  })
})
