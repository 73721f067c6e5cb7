import assert from 'node:assert/strict'
import { After, Given, setDefaultTimeout, Then, When } from '@cucumber/cucumber'
import { FakeSite, type ServiceName, type StartedInstance, type SubmittedRequest } from '../../test/fakes/fakeSite.js'
import { PLATFORM } from '../../test/fakes/network.js'
import { assertChecks, decidedRevision, NoAcceptedJobLost, recordTransientViolations } from '../../test/fuzz/oracle.js'

interface ServingWorld {
  site: FakeSite | undefined
  publishedTexts: Array<string | undefined>
}

/** Periods of at least this length are advanced in coarse steps. */
const COARSE_STEPS_SECONDS = 15

setDefaultTimeout(60_000)

function siteOf (world: ServingWorld): FakeSite {
  assert.ok(world.site)
  return world.site
}

function instanceOf (site: FakeSite, name: string): StartedInstance {
  const instance = site.instances.get(name)
  assert.ok(instance, name)
  return instance
}

function assertComplete (requests: readonly SubmittedRequest[]): void {
  assert.ok(requests.length > 0)
  for (const { submission, outcome } of requests) assert.equal(outcome?.kind, 'complete', `${submission}: ${JSON.stringify(outcome)}`)
}

Given('a site with the failure domains gent-a and gent-b', async function (this: ServingWorld) {
  this.site = new FakeSite({ seed: 1 }, recordTransientViolations)
  await this.site.start()
})

After(async function (this: ServingWorld, { result }) {
  if (this.site === undefined) return
  let timers = 0
  try {
    if (result?.status === 'PASSED') assertChecks(this.site)
  } finally {
    timers = await this.site.dispose()
  }
  assert.equal(timers, 0, 'no timer is left')
})

Given(/^the executors take (\d+) milliseconds for a request$/, function (this: ServingWorld, milliseconds: string) {
  for (const executor of siteOf(this).executors.values()) executor.serviceMilliseconds = Number(milliseconds)
})

When(/^(\d+) seconds pass$/, async function (this: ServingWorld, seconds: string) {
  await siteOf(this).advance(Number(seconds) * 1000, Number(seconds) >= COARSE_STEPS_SECONDS)
})

When(/^(\d+) (booking|lookup|sync) requests are sent to (\S+)$/, function (this: ServingWorld, count: string, service: ServiceName, name: string) {
  const site = siteOf(this)
  for (let sent = 0; sent < Number(count); sent += 1) site.request(instanceOf(site, name), service)
})

When(/^a booking with the idempotency key (\S+) is sent to (\S+)$/, function (this: ServingWorld, key: string, name: string) {
  const site = siteOf(this)
  site.request(instanceOf(site, name), 'booking', { key })
})

When(/^(\S+) is shut down gracefully$/, function (this: ServingWorld, name: string) {
  const site = siteOf(this)
  site.stop(instanceOf(site, name))
})

When(/^(\S+) is listed as leaving$/, function (this: ServingWorld, name: string) {
  siteOf(this).listMachine(name, 'leaving')
})

When(/^operators allow (\d+) percent of the capacity$/, function (this: ServingWorld, percent: string) {
  const site = siteOf(this)
  site.publish(decidedRevision(site), Number(percent))
})

When('two operators publish from revision 1 at the same time', function (this: ServingWorld) {
  const site = siteOf(this)
  this.publishedTexts = [site.publish(1), site.publish(1)]
})

When(/^a (deferrable )?batch job of (\d+) tasks is submitted to (\S+)$/, function (this: ServingWorld, deferrable: string | null, tasks: string, name: string) {
  const site = siteOf(this)
  site.submitJob(instanceOf(site, name), 'batch', { tasks: Number(tasks), checkpointable: true, urgency: deferrable === null ? 'normal' : 'deferrable', runMilliseconds: 8000 })
})

When(/^(gent-[ab]) is partitioned from the network$/, function (this: ServingWorld, domain: string) {
  const site = siteOf(this)
  site.network.cut(domain, PLATFORM)
  site.network.cut('gent-a', 'gent-b')
})

When('the connections are restored', function (this: ServingWorld) {
  siteOf(this).network.heal()
})

When('all entry instances crash and restart', function (this: ServingWorld) {
  const site = siteOf(this)
  for (const instance of [...site.instances.values()]) site.restart(instance)
})

Then('the configuration of the first operator is in force on every instance as revision 2', function (this: ServingWorld) {
  for (const { name, entry } of siteOf(this).runningInstances()) {
    const current = entry.components.configuration.inForce
    assert.deepEqual([current?.revision, current?.source], [2, this.publishedTexts[0]], name)
  }
})

Then('every request receives a complete response', function (this: ServingWorld) {
  assertComplete(siteOf(this).requests)
})

Then('every booking request receives a complete response', function (this: ServingWorld) {
  assertComplete(siteOf(this).requests.filter(({ service }) => service === 'booking'))
})

Then('some sync requests receive the verdict notRun or are still waiting', function (this: ServingWorld) {
  assert.ok(siteOf(this).requests.some(({ service, outcome }) => service === 'sync' && (outcome === undefined || (outcome.kind === 'error' && outcome.verdict === 'notRun'))))
})

Then(/^(\S+) has stopped without aborting a request$/, function (this: ServingWorld, name: string) {
  const { stoppedAt, interruptedRequests } = instanceOf(siteOf(this), name)
  assert.notEqual(stoppedAt, undefined)
  assert.equal(interruptedRequests, 0)
})

Then(/^(\S+) has run none of the requests$/, function (this: ServingWorld, name: string) {
  assert.equal(siteOf(this).executors.get(name)?.runs.length, 0)
})

Then(/^at most (\d+) tasks run in (\S+)$/, function (this: ServingWorld, maximum: string, domain: string) {
  const running = [...siteOf(this).workers.values()].filter(({ failureDomain }) => failureDomain === domain).flatMap(worker => worker.running)
  assert.ok(running.length <= Number(maximum), `${running.length} tasks run`)
})

// The append may have taken effect although its response was lost, so neither notRun nor an acceptance would be correct.
Then('the submission receives the verdict mayHaveRun with the identity of the job', function (this: ServingWorld) {
  const result = siteOf(this).jobs[0]?.result
  assert.equal(result?.kind === 'error' ? result.error.verdict : result?.kind, 'mayHaveRun')
  assert.match(result?.kind === 'error' && result.error.code === 'outcomeUnknown' ? result.error.job ?? '' : '', /^gent-[ab]\./)
})

Then('each failure domain has one owner', function (this: ServingWorld) {
  const site = siteOf(this)
  for (const domain of site.failureDomains) {
    assert.equal(site.runningInstances().filter(({ failureDomain, entry }) => failureDomain === domain && entry.components.ownership.isOwner()).length, 1, domain)
  }
})

Then('every accepted job has ended', function (this: ServingWorld) {
  const site = siteOf(this)
  assert.ok(site.jobs.some(({ result }) => result?.kind === 'accepted'))
  assert.deepEqual(NoAcceptedJobLost(site), [])
  assert.equal([...site.workers.values()].flatMap(worker => worker.running).length, 0)
})

Then(/^the booking with the idempotency key (\S+) has run once$/, function (this: ServingWorld, key: string) {
  const site = siteOf(this)
  const submissions = new Set(site.requests.filter(request => request.key === key).map(({ submission }) => submission))
  const runs = [...site.executors.values()].flatMap(executor => executor.runs).filter(run => submissions.has(run.submission))
  assert.equal(runs.length, 1)
})
