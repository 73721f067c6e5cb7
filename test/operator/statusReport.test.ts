import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { assessStatus, formatStatus, type InstanceStatus, type StatusResponse } from '../../src/operator/statusReport.js'

const CAPACITY = { processorsThousandths: 100_000, memoryBytes: 1e12, accelerators: 4 }

function respondingInstance (instance: string, fields: Partial<InstanceStatus> = {}): StatusResponse {
  const isOwner = instance === 'a-1'
  const status: InstanceStatus = { instance, failureDomain: 'a', revision: 3, ready: true, owner: 'a-1', term: 2, isOwner, activeRequests: 0, openJobs: 0, instanceListAgeMilliseconds: 400, allowedCapacityPercent: 60, ...isOwner ? { used: { ...CAPACITY, processorsThousandths: 50_000 }, capacity: CAPACITY } : {}, ...fields }
  return { address: `http://${instance}`, status }
}

/** Each case guards against a problem that is not reported, or a healthy site for which one is. */
const CASES: ReadonlyArray<{ readonly name: string, readonly responses: readonly StatusResponse[], readonly decided?: number | null, readonly expected: readonly RegExp[] }> = [
  { name: 'a healthy site', responses: [respondingInstance('a-1'), respondingInstance('a-2')], expected: [] },
  { name: 'an instance with an older revision', responses: [respondingInstance('a-1'), respondingInstance('a-2', { revision: 2 })], expected: [/a-2: has revision 2, the newest is 3/] },
  { name: 'all instances behind the log', responses: [respondingInstance('a-1')], decided: 4, expected: [/a-1: has revision 3, the newest is 4/] },
  { name: 'an unavailable log', responses: [respondingInstance('a-1')], decided: null, expected: [/log cannot be read/] },
  { name: 'an unreachable instance', responses: [respondingInstance('a-1'), { address: 'http://a-2', status: undefined, reason: 'unreachable (x)' }], expected: [/http:\/\/a-2: unreachable \(x\)/] },
  { name: 'an instance that is not ready', responses: [respondingInstance('a-1'), respondingInstance('a-2', { ready: false })], expected: [/a-2: not ready/] },
  { name: 'a stale instance list', responses: [respondingInstance('a-1', { instanceListAgeMilliseconds: 12_000 })], expected: [/12 s old/] },
  { name: 'no instance list yet', responses: [respondingInstance('a-1', { instanceListAgeMilliseconds: null })], expected: [/has not received the instance list/] },
  { name: 'no owner', responses: [respondingInstance('a-2')], expected: [/a: no instance that could be reached acts as owner/] },
  { name: 'two owners', responses: [respondingInstance('a-1'), respondingInstance('a-2', { isOwner: true })], expected: [/a: a-1 and a-2 both act as owner/] },
  { name: 'more processors used than allowed', responses: [respondingInstance('a-1', { used: { ...CAPACITY, processorsThousandths: 61_000 } })], expected: [/a: 61 processors are used and 60 allowed/] }
]

describe('assessStatus', () => {
  for (const { name, responses, decided = 3, expected } of CASES) {
    it(name, () => {
      const site = assessStatus(responses, decided ?? undefined)
      assert.equal(site.problems.length, expected.length, site.problems.join('\n'))
      for (const [index, pattern] of expected.entries()) assert.match(site.problems[index] as string, pattern)
      assert.match(formatStatus(site), expected.length === 0 ? /all is well$/ : /problem: /)
    })
  }
})
