import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { setTimeout } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import type { SystemEvent } from '../../src/contracts/events.js'
import { checkSiteConfiguration } from '../../src/contracts/siteConfiguration.js'
import { scenarioSchema } from '../../src/load/scenario.js'
import { checkCausalOrder, filterEvents, mergeEvents, parseEvents } from '../../src/operator/timeline.js'
import { EmbeddedSite } from '../../src/programs/embeddedSite.js'

/** Time after the shutdown within which a call still in flight would fail and be logged. */
const SETTLE_MILLISECONDS = 300
const SCENARIO = scenarioSchema.parse({
  seed: 5,
  durationMilliseconds: 1000,
  requests: [{ service: 'order-confirmation', perSecond: 20 }],
  jobs: [{ atMilliseconds: 0, submission: { name: 'cutting-plan', team: 'orders', kind: 'gang', urgency: 'normal', tasks: 6, resources: { processorsThousandths: 4000, memoryBytes: 16e9 }, runMilliseconds: 300 } }]
})

/** Time limits of the services, in milliseconds. Those of the example would end requests on a very slow machine. */
const DEADLINE_MILLISECONDS = 60_000
const MAXIMUM_RUN_MILLISECONDS = 30_000

/** Events that one request and one gang must cause, in this order. */
const REQUEST_EVENTS = ['requestAccepted', 'requestDispatched', 'executorStarted', 'executorEnded', 'requestAnswered', 'callerAnswered']
const GANG_EVENTS = ['jobSubmitted', 'taskStarting', 'taskStarted', 'taskEnded', 'jobEnded']

function firstOfEach (events: readonly SystemEvent[], kinds: readonly string[]): string[] {
  return [...new Set(events.map(event => event.kind as string))].filter(kind => kinds.includes(kind))
}

describe('EmbeddedSite', () => {
  it('records one request and one gang from acceptance to end, in causal order across at least three processes', async () => {
    const source = readFileSync(fileURLToPath(new URL('../../../examples/small/site.jsonc', import.meta.url)), 'utf8')
      .replace(/("deadlineMilliseconds": )\d+/g, `$1${DEADLINE_MILLISECONDS}`)
      .replace(/("maximumRunMilliseconds": )\d+/g, `$1${MAXIMUM_RUN_MILLISECONDS}`)
    const checked = checkSiteConfiguration('site.jsonc', source)
    assert.ok(checked.kind === 'valid')
    const lines: string[] = []
    const site = new EmbeddedSite(checked.configuration, source, line => lines.push(line))
    try {
      await site.start()
      const result = await site.run(SCENARIO)
      assert.deepEqual(site.checkOutcomes(result, SCENARIO), [])
    } finally {
      await site.stop()
    }
    const linesAtShutdown = lines.length
    await setTimeout(SETTLE_MILLISECONDS)
    assert.deepEqual(lines.slice(linesAtShutdown), [], 'nothing is logged after the shutdown')
    const parsed = parseEvents(lines)
    assert.deepEqual(checkCausalOrder(parsed), [])
    const events = mergeEvents(parsed)
    const request = events.find(event => event.kind === 'callerAnswered')?.request
    const job = events.find(event => event.kind === 'jobSubmitted')?.job
    for (const [expected, recorded] of [[REQUEST_EVENTS, filterEvents(events, { request })], [GANG_EVENTS, filterEvents(events, { job })]] as const) {
      assert.deepEqual(firstOfEach(recorded, expected), expected)
      assert.ok(new Set(recorded.map(event => event.process)).size >= 3)
    }
  })
})
