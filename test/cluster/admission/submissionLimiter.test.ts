import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SubmissionLimiter } from '../../../src/cluster/admission/submissionLimiter.js'

/** Lets an organisation enter as often as it may. */
function fill (limiter: SubmissionLimiter, organisation: string): Array<() => void> {
  const entered: Array<() => void> = []
  for (let leave = limiter.tryEnter(organisation); leave !== undefined; leave = limiter.tryEnter(organisation)) entered.push(leave)
  return entered
}

describe('SubmissionLimiter', () => {
  it('leaves room for the others, however many submissions of one organisation are in process', () => {
    const limiter = new SubmissionLimiter()
    const hot = fill(limiter, 'hot').length
    const calm = fill(limiter, 'calm').length
    assert.ok(hot > calm && calm > hot / 4 && hot + calm < 256, `${hot} and ${calm}`)
    for (let organisation = 0; organisation < 300; organisation += 1) assert.notEqual(limiter.tryEnter(`organisation ${organisation}`), undefined)
  })

  it('admits as many again once submissions have ended', () => {
    const limiter = new SubmissionLimiter()
    const first = fill(limiter, 'hot')
    for (const leave of first) leave()
    assert.equal(fill(limiter, 'hot').length, first.length)
  })
})
