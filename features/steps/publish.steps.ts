import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { ConfigurationHistory, type PublishOutcome } from '../../src/zones/configurationHistory.js'

interface PublishWorld {
  history: ConfigurationHistory
  outcomes: Map<string, PublishOutcome>
  offset: number
}

function publish (world: PublishWorld, publisher: string, baseRevision: number): void {
  const text = JSON.stringify({ site: publisher.toLowerCase(), failureDomains: { 'zone-a': { region: 'north' } }, services: {}, executorPools: {}, workerPools: {}, teams: {} })
  const offset = world.offset++
  const body = { type: 'configurationPublished' as const, baseRevision, text, publisher }
  world.outcomes.set(publisher, world.history.apply({ offset, identity: `record-${offset}`, writer: publisher, logicalTime: offset, body }))
}

Given('revision 1 of the site configuration is in force', function (this: PublishWorld) {
  this.history = new ConfigurationHistory()
  this.outcomes = new Map()
  this.offset = 0
  publish(this, 'Founder', 0)
})

When(/^(\w+) publishes a configuration based on revision (\d+)$/, function (this: PublishWorld, publisher: string, base: string) {
  publish(this, publisher, Number(base))
})

Then(/^the configuration of (\w+) is accepted as revision (\d+)$/, function (this: PublishWorld, publisher: string, revision: string) {
  assert.deepEqual(this.outcomes.get(publisher), { kind: 'accepted', revision: Number(revision) })
})

Then(/^the configuration of (\w+) is rejected in favour of that of (\w+)$/, function (this: PublishWorld, loser: string, winner: string) {
  assert.deepEqual(this.outcomes.get(loser), { kind: 'lostRace', currentRevision: 2, wonBy: winner })
})
