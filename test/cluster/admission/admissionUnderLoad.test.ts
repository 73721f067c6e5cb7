import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import type { AdmissionOutcome } from '../../../src/cluster/admission/submissionAdmission.js'
import { itUnlessKnownRed } from '../../knownRed.js'
import { AdmissionSite, CORES, STEP_MILLISECONDS, type Quotas } from './admissionSite.js'

beforeEach(() => mock.timers.enable({ apis: ['Date'] }))
afterEach(() => mock.timers.reset())

const OBJECTIVE_MILLISECONDS = 2500
type Refusal = Extract<AdmissionOutcome, { kind: 'refused' }>

/** Returns the number of jobs that arrive in a step at a rate of jobs a second. */
function arrivalsAt (elapsed: number, rate: number): number {
  return Math.floor((elapsed + STEP_MILLISECONDS) * rate / 1000) - Math.floor(elapsed * rate / 1000)
}

/** Submits as many jobs a second as stated for each organisation, and returns the refusals by organisation. */
async function load (site: AdmissionSite, seconds: number, rates: Readonly<Record<string, number>>): Promise<Record<string, Refusal[]>> {
  const refusals: Record<string, Refusal[]> = {}
  await site.run(seconds, async elapsed => {
    for (const [name, rate] of Object.entries(rates)) {
      for (let job = 0; job < arrivalsAt(elapsed, rate); job += 1) {
        const outcome = await site.submit(name)
        if (outcome.kind === 'refused') (refusals[name] ??= []).push(outcome)
      }
    }
  })
  return refusals
}

/** Submits more jobs at once than there is room for, and returns the kinds of their outcomes. */
async function submitSeveral (site: AdmissionSite): Promise<Array<AdmissionOutcome['kind']>> {
  return await Promise.all(Array.from({ length: 4 * CORES }, async () => (await site.submit('hot')).kind))
}

const LOADS: ReadonlyArray<{ readonly name: string, readonly quotas: Quotas, readonly rates: Readonly<Record<string, number>>, readonly cause?: string }> = [
  { name: 'all at their rates', quotas: { hot: { weight: 4 }, calm: { weight: 2 }, small: { weight: 1 } }, rates: { hot: 4, calm: 2, small: 1 } },
  { name: 'one at five times its rate while there is room', quotas: { hot: { weight: 1 }, calm: { weight: 2 } }, rates: { hot: 5, calm: 2 } },
  { name: 'one at five times its rate beside calm ones', quotas: { hot: { weight: 4 }, calm: { weight: 2 }, small: { weight: 1 } }, rates: { hot: 20, calm: 2, small: 1 }, cause: 'beyondRate' },
  { name: 'one within its rate and far beyond its cap', quotas: { hot: { weight: 20, cap: 2 }, calm: { weight: 2 } }, rates: { hot: 8, calm: 2 }, cause: 'unservable' }
]

/** Callers of an organisation at four times its cap that return when they were told to, beside newcomers. */
async function submitWithReturns (): Promise<{ refused: Array<{ readonly at: number }>, counts: { returning: number, returned: number, newcomers: number, admittedNewcomers: number } }> {
  const site = new AdmissionSite({ hot: { weight: 20, cap: 2 } })
  const refused: Array<{ readonly identity: string, readonly at: number }> = []
  const counts = { returning: 0, returned: 0, newcomers: 0, admittedNewcomers: 0 }
  await site.run(30, async elapsed => {
    for (const { identity } of refused.filter(({ at }) => at > site.now - STEP_MILLISECONDS && at <= site.now)) {
      counts.returning += 1
      if ((await site.submit('hot', { identity })).kind === 'admitted') counts.returned += 1
    }
    for (let job = 0; job < arrivalsAt(elapsed, 8); job += 1) {
      const identity = `${elapsed}-${job}`
      const outcome = await site.submit('hot', { identity })
      if (outcome.kind === 'refused') refused.push({ identity, at: site.now + outcome.returnMilliseconds })
      if (elapsed < 10_000) continue
      counts.newcomers += 1
      if (outcome.kind === 'admitted') counts.admittedNewcomers += 1
    }
  })
  return { refused, counts }
}

describe('admission under load', () => {
  for (const { name, quotas, rates, cause } of LOADS) {
    it(`${name}: refuses ${cause === undefined ? 'nothing' : 'only that one'}`, async () => {
      const site = new AdmissionSite(quotas)
      const refusals = await load(site, 20, rates)
      assert.deepEqual(Object.keys(refusals), cause === undefined ? [] : ['hot'])
      for (const refusal of refusals.hot ?? []) assert.ok(refusal.cause === cause && refusal.returnMilliseconds >= 1000 && refusal.returnMilliseconds <= 60_000)
      await site.run(3)
      for (const organisation of Object.keys(rates).filter(other => refusals[other] === undefined)) assert.ok(Math.max(...site.agesOf(organisation)) <= OBJECTIVE_MILLISECONDS, organisation)
    })
  }

  it('accepts a burst that is served within time', async () => {
    const site = new AdmissionSite({ hot: { weight: 2 }, calm: { weight: 2 } })
    for (let job = 0; job < 2 * CORES; job += 1) assert.equal((await site.submit('hot')).kind, 'admitted')
    await site.run(0.5)
    assert.equal((await site.submit('hot')).kind, 'admitted')
  })

  itUnlessKnownRed('refuses after a cap is lowered under a backlog, and serves in time to be of use nearly all that it accepts', async () => {
    const site = new AdmissionSite({ hot: { weight: 20, cap: 8 }, calm: { weight: 2 } })
    assert.deepEqual(await load(site, 5, { hot: 7, calm: 2 }), {})
    site.setQuotas({ hot: { weight: 20, cap: 2 }, calm: { weight: 2 } })
    assert.deepEqual(Object.keys(await load(site, 20, { hot: 7, calm: 2 })), ['hot'])
    await site.run(20)
    const ages = site.agesOf('hot')
    const overdue = ages.filter(age => age > 3 * OBJECTIVE_MILLISECONDS).length
    assert.ok(overdue <= 0.05 * ages.length, `${overdue} of ${ages.length} jobs were overdue`)
    assert.ok(!ages.includes(Infinity))
  })

  it('accepts more urgent work while less urgent work of the organisation is refused', async () => {
    const site = new AdmissionSite({ hot: { weight: 20, cap: 2 } })
    assert.ok((await load(site, 10, { hot: 8 })).hot !== undefined)
    assert.equal((await site.submitUrgent('hot')).kind, 'admitted')
  })

  it('spreads the returns of refused callers, and prefers them to newcomers when they return', async () => {
    const { refused, counts } = await submitWithReturns()
    const times = refused.map(({ at }) => at).filter(at => at < 60_000).sort((left, right) => left - right)
    for (const [index, at] of times.entries()) assert.ok(index === 0 || at - (times[index - 1] ?? 0) > 400, 'two callers return at the same time')
    assert.ok(counts.returning > 20 && counts.returned >= 0.5 * counts.returning, JSON.stringify(counts))
    assert.ok(counts.returned / counts.returning >= 3 * counts.admittedNewcomers / counts.newcomers, JSON.stringify(counts))
  })

  itUnlessKnownRed('admits few newcomers while refused callers are expected back', async () => {
    const { counts } = await submitWithReturns()
    assert.ok(counts.admittedNewcomers <= 0.1 * counts.newcomers, JSON.stringify(counts))
  })
})

describe('admission under failure', () => {
  const QUOTAS = { hot: { weight: 20, cap: 2 }, calm: { weight: 2 } }
  const FAILURES: ReadonlyArray<{ readonly name: string, readonly fail: (site: AdmissionSite) => void, readonly seconds: number, readonly refuses: boolean }> = [
    { name: 'no failure', fail: () => {}, seconds: 0, refuses: true },
    { name: 'the link is away, with a fresh summary', fail: site => { site.isLinked = false }, seconds: 0, refuses: false },
    { name: 'the link is away, and the summary is old', fail: site => { site.isLinked = false }, seconds: 2, refuses: false },
    { name: 'another scheduler has taken over and has not measured', fail: site => site.takeOver(QUOTAS), seconds: 0, refuses: false }
  ]
  for (const { name, fail, seconds, refuses } of FAILURES) {
    it(`${name}: ${refuses ? 'refuses all' : 'accepts all'}`, async () => {
      const site = new AdmissionSite(QUOTAS)
      await load(site, 10, { hot: 8, calm: 2 })
      assert.deepEqual(new Set(await submitSeveral(site)), new Set(['refused']))
      fail(site)
      await site.run(seconds)
      assert.deepEqual(new Set(await submitSeveral(site)), new Set([refuses ? 'refused' : 'admitted']))
    })
  }

  it('refuses what is too much after a takeover, once the backlog is known from the log', async () => {
    const site = new AdmissionSite(QUOTAS)
    await load(site, 10, { hot: 8, calm: 2 })
    site.takeOver(QUOTAS)
    await site.run(1)
    // The capacity that became free meanwhile is not kept for refused callers, which the new scheduler does not know.
    assert.ok((await submitSeveral(site)).includes('refused'))
  })

  it('accepts the retry of a job that is stored', async () => {
    const site = new AdmissionSite(QUOTAS)
    await site.submit('hot', { identity: 'stored' })
    await load(site, 10, { hot: 8 })
    assert.deepEqual(new Set(await submitSeveral(site)), new Set(['refused']))
    assert.equal((await site.submit('hot', { identity: 'stored' })).kind, 'stored')
  })
})
