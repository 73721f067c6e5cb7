import { randomUUID } from 'node:crypto'
import { Agent } from 'undici'
import { delay } from '../base/delay.js'
import { LogicalClock } from '../base/logicalClock.js'
import type { LineSink } from '../base/logger.js'
import { EventLog } from '../contracts/eventLog.js'
import type { SiteConfiguration } from '../contracts/siteConfiguration.js'
import type { EntryInstance } from '../entry/entryInstance.js'
import { LoadRunner } from '../load/loadRunner.js'
import type { LoadResult } from '../load/loadResult.js'
import { checkOutcomes } from '../load/outcomeCheck.js'
import type { Scenario } from '../load/scenario.js'
import { OperatorClient } from '../operator/operatorClient.js'
import type { SiteStandin } from '../standins/siteStandin.js'
import { createEntryInstance, createSiteStandin } from './wiring.js'

const HOST = '127.0.0.1'
const LINK_KEY = 'embedded-site-link-key'
const OPERATOR_TOKEN = 'embedded-site-operator-token'
const ENTRIES_PER_FAILURE_DOMAIN = 2
const START_TIMEOUT_MILLISECONDS = 20_000
const POLL_INTERVAL_MILLISECONDS = 50

/** Runs a whole site in one process: stand-ins, entry instances and load. */
export class EmbeddedSite {
  private readonly standin: SiteStandin
  private readonly instances: EntryInstance[] = []
  private readonly callerAddresses: string[] = []
  private readonly agent = new Agent({ connections: 128 })
  private runner: LoadRunner | undefined

  constructor (private readonly configuration: SiteConfiguration, private readonly source: string, private readonly sink: LineSink) {
    this.standin = createSiteStandin(configuration, {
      host: HOST, port: 0, listLagMilliseconds: 300, retainedRecords: 100_000, appendsPerSecond: 400, appendMilliseconds: 4, serviceMilliseconds: 20, seed: 1, logLevel: 'warn'
    }, sink)
  }

  /** Starts all parts, publishes the configuration and waits until it is in force and slots are granted. */
  async start (): Promise<void> {
    await this.standin.start()
    for (const failureDomain of Object.keys(this.configuration.failureDomains)) {
      for (let index = 1; index <= ENTRIES_PER_FAILURE_DOMAIN; index += 1) await this.startEntry(failureDomain, `${failureDomain}-${index}`)
    }
    const operator = new OperatorClient(this.standin.platform.address, this.callerAddresses, OPERATOR_TOKEN)
    const published = await operator.publish(this.source, 0, 'vanillaturn-site')
    if (published.kind !== 'accepted') throw new Error(`the site configuration was not accepted: ${published.kind}`)
    const deadline = performance.now() + START_TIMEOUT_MILLISECONDS
    while (!this.instances.every(instance => instance.canServe)) {
      if (performance.now() > deadline) throw new Error('the entry instances did not become ready in time')
      await delay(POLL_INTERVAL_MILLISECONDS)
    }
    await operator.close()
  }

  async run (scenario: Scenario): Promise<LoadResult> {
    const { address } = this.standin.platform
    const target = { callerAddresses: this.callerAddresses, operatorToken: OPERATOR_TOKEN, standinAddress: address, runIdentity: `seed-${scenario.seed}`, urgencyOf: (service: string) => this.configuration.services[service]?.urgency ?? 'normal' }
    const events = new EventLog('load', randomUUID(), new LogicalClock(), this.sink)
    this.runner = new LoadRunner(scenario, target, this.agent, events, () => {})
    return await this.runner.run()
  }

  /** Compares the responses to callers with what executors and workers ran. Returns one line for each contradiction. */
  checkOutcomes (result: LoadResult, scenario: Scenario): string[] {
    const isIdempotent = (service: string): boolean => this.configuration.services[service]?.idempotent ?? false
    return checkOutcomes({ outcomes: this.runner?.outcomes ?? [], jobs: result.jobs, ledger: this.standin.createLedger(), isIdempotent, withFaults: scenario.faults.length > 0 })
  }

  async stop (): Promise<void> {
    await this.agent.close()
    await Promise.all(this.instances.map(async instance => await instance.stop()))
    this.standin.dispose()
  }

  private async startEntry (failureDomain: string, name: string): Promise<void> {
    const region = this.configuration.failureDomains[failureDomain]?.region ?? ''
    const instance = createEntryInstance({
      instance: name, failureDomain, region, callers: { host: HOST, port: 0 }, links: { host: HOST, port: 0 }, platformAddress: this.standin.platform.address, linkKeys: [LINK_KEY], operatorTokens: [OPERATOR_TOKEN], logLevel: 'info', stopBoundMilliseconds: 5000
    }, this.sink)
    const ports = await instance.start()
    const callerAddress = `http://${HOST}:${ports.callers}`
    this.standin.addInstance({ kind: 'entry', name, failureDomain, address: `ws://${HOST}:${ports.links}`, callerAddress, state: 'live' })
    this.instances.push(instance)
    this.callerAddresses.push(callerAddress)
  }
}
