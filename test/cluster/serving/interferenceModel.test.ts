import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { InterferenceModel, type TailSample } from '../../../src/cluster/serving/interferenceModel.js'
import { Random } from '../../../src/base/random.js'

function sample (tailMilliseconds: number, shares: Record<string, number>): TailSample {
  return { tailMilliseconds, fillerShares: new Map(Object.entries(shares)) }
}

describe('InterferenceModel', () => {
  /** Sensitivity of the pair after one observation, relative to the assumed one. */
  const OBSERVATIONS: ReadonlyArray<{ readonly name: string, readonly previous: TailSample, readonly current: TailSample, readonly expected: 'higher' | 'lower' | 'same' }> = [
    { name: 'rises when the tail latency falls with the filler work', previous: sample(400, { f: 0.5 }), current: sample(100, {}), expected: 'higher' },
    { name: 'falls when the tail latency does not follow the filler work', previous: sample(100, {}), current: sample(100, { f: 0.8 }), expected: 'lower' },
    { name: 'stays when the load of the serving task has changed', previous: sample(100, { f: 0.5 }), current: sample(300, { f: 0.5 }), expected: 'same' },
    { name: 'stays when a tail latency is not known', previous: sample(0, {}), current: sample(300, { f: 0.5 }), expected: 'same' }
  ]
  for (const { name, previous, current, expected } of OBSERVATIONS) {
    it(`has a sensitivity that ${name}`, () => {
      const model = new InterferenceModel()
      const before = model.sensitivityOf('s', 'f')
      model.learn('s', previous, current)
      const after = model.sensitivityOf('s', 'f')
      assert.equal(Math.sign(after - before), { higher: 1, lower: -1, same: 0 }[expected], `${before} became ${after}`)
      assert.equal(model.sensitivityOf('s', 'other'), before)
      assert.equal(model.sensitivityOf('other', 'f'), before)
    })
  }

  /** Two images whose use changes independently are told apart, although the load of the serving task varies by a tenth. */
  it('tells the images apart that disturb a serving task', () => {
    const model = new InterferenceModel()
    const random = new Random(11)
    const tailAt = (calm: number, harmful: number): number => 100 * (0.95 + random.fraction() / 10) * Math.exp(0.1 * calm + 4 * harmful)
    let previous = sample(tailAt(0, 0), {})
    for (let observation = 0; observation < 200; observation += 1) {
      const [calm, harmful] = [random.fraction(), random.fraction()]
      const current = sample(tailAt(calm, harmful), { calm, harmful })
      model.learn('s', previous, current)
      previous = current
    }
    assert.ok(model.sensitivityOf('s', 'harmful') > 3, `harmful: ${model.sensitivityOf('s', 'harmful')}`)
    assert.ok(model.sensitivityOf('s', 'calm') < 1, `calm: ${model.sensitivityOf('s', 'calm')}`)
  })
})
