import { randomUUID, randomInt } from 'node:crypto'
import { Agent } from 'undici'
import createHashing from 'xxhash-wasm'
import { toDisposable, type Disposable } from '../base/disposable.js'
import { LogicalClock } from '../base/logicalClock.js'
import { Logger, type LineSink, type LogLevel } from '../base/logger.js'
import { Random } from '../base/random.js'
import { EventLog } from '../contracts/eventLog.js'
import { CONFIGURATION_STREAM, domainStreamName } from '../contracts/records.js'
import type { EntrySettings } from '../contracts/settings.js'
import type { SiteConfiguration } from '../contracts/siteConfiguration.js'
import { CallerServer } from '../entry/callerServer.js'
import { ConfigurationTask } from '../entry/configurationTask.js'
import type { EntryContext } from '../entry/entryContext.js'
import { EntryInstance } from '../entry/entryInstance.js'
import { Forwarder } from '../entry/forwarder.js'
import { RequestDispatcher } from '../entry/requestDispatcher.js'
import { JobApi } from '../entry/jobApi.js'
import { JobTask } from '../entry/jobTask.js'
import { IdempotencyGuard } from '../entry/idempotencyGuard.js'
import { IdempotencyKeyTask } from '../entry/idempotencyKeyTask.js'
import { MembershipTask } from '../entry/membershipTask.js'
import { MetricsRegistry } from '../entry/metricsRegistry.js'
import { OperatorApi } from '../entry/operatorApi.js'
import { OwnershipTask } from '../entry/ownershipTask.js'
import { PlacementTask } from '../entry/placementTask.js'
import { RequestHistory } from '../entry/requestHistory.js'
import { RetentionTask } from '../entry/retentionTask.js'
import { SlotTask } from '../entry/slotTask.js'
import { HttpExecutorClient, type ExecutorClient } from '../links/executorClient.js'
import { HttpInstanceList, type InstanceList } from '../links/instanceList.js'
import { WebSocketLinkHub, type LinkTransport } from '../links/linkHub.js'
import { LogAppender } from '../links/logAppender.js'
import { LogFollower } from '../links/logFollower.js'
import { HttpPlatformLog, type PlatformLog } from '../links/platformLog.js'
import { HttpWorkerClient, type WorkerClient } from '../links/workerClient.js'
import { LeastExpectedTimeChooser } from '../requests/executorChooser.js'
import { SiteStandin, type SiteOptions } from '../standins/siteStandin.js'

const hashing = await createHashing()
const SEED_BOUND = 2 ** 31 - 1
/** Maximum number of connections to one address of the platform, a worker or a peer. */
const AGENT_CONNECTIONS = 16

/** Connections of an entry instance to everything outside it. Tests pass fakes. */
export interface EntryConnections {
  readonly log: PlatformLog
  readonly instanceList: InstanceList
  readonly workers: WorkerClient
  readonly executors: ExecutorClient
  /** Sends forwarded requests to entry instances of other failure domains. */
  readonly peers: ExecutorClient
  readonly links: LinkTransport
  readonly agent: Agent
}

/** Creates an entry instance from its settings. Log lines and timeline events are written to `sink`. */
export function createEntryInstance (settings: EntrySettings, sink: LineSink): EntryInstance {
  const context = createEntryContext(settings, sink, randomUUID(), randomInt(SEED_BOUND))
  const agent = new Agent({ connections: AGENT_CONNECTIONS, pipelining: 1 })
  const identity = { instance: settings.instance, incarnation: context.incarnation, failureDomain: settings.failureDomain }
  return assembleEntryInstance(context, {
    log: new HttpPlatformLog(settings.platformAddress, agent),
    instanceList: new HttpInstanceList(settings.platformAddress, agent, context.logger),
    workers: new HttpWorkerClient(agent),
    executors: new HttpExecutorClient(),
    peers: new HttpExecutorClient(),
    links: new WebSocketLinkHub(identity, settings.linkKeys, context.logger),
    agent
  })
}

/** Creates the context of an entry instance; `incarnation` must differ between starts. */
export function createEntryContext (settings: EntrySettings, sink: LineSink, incarnation: string, seed: number): EntryContext {
  const logger = new Logger(settings.instance, settings.logLevel, sink)
  const events = new EventLog(settings.instance, incarnation, new LogicalClock(), sink)
  return { settings, incarnation, logger, events, random: new Random(seed) }
}

/** Assembles an entry instance from its connections, and takes ownership of them. */
export function assembleEntryInstance (context: EntryContext, connections: EntryConnections): EntryInstance {
  const { settings, logger, random } = context
  const { clock } = context.events
  const { log, agent } = connections
  const owned: Disposable[] = []
  const own = <T extends Disposable>(disposable: T): T => {
    owned.push(disposable)
    return disposable
  }

  own(toDisposable(() => { agent.destroy() }))
  const follow = (stream: string): LogFollower => own(new LogFollower(stream, log, clock, logger, random))
  const appenders: LogAppender[] = []
  const createAppender = (stream: string): LogAppender => {
    const appender = new LogAppender(stream, settings.instance, log, clock, logger, random)
    appenders.push(appender)
    return appender
  }
  const links = own(connections.links)
  // Registered before any other listener, so that every event caused by a message gets a later logical time.
  own(links.onDidReceive(({ message }) => clock.observe(message.logicalTime)))
  const requests = own(new RequestHistory(context.events))
  const configurationFollower = follow(CONFIGURATION_STREAM)
  const ownershipFollower = follow(domainStreamName('ownership', settings.failureDomain))
  const jobFollower = follow(domainStreamName('jobs', settings.failureDomain))
  const keyFollower = follow(domainStreamName('keys', settings.failureDomain))

  const membership = own(new MembershipTask(context, connections.instanceList, links))
  const configuration = own(new ConfigurationTask(context, configurationFollower, links))
  const ownershipAppender = own(createAppender(domainStreamName('ownership', settings.failureDomain)))
  const ownership = own(new OwnershipTask(context, ownershipFollower, ownershipAppender, links, membership.membership))
  const slots = own(new SlotTask(context, ownership, configuration, membership.membership, links, () => requestDispatcher.demand(), () => requestDispatcher.hasUrgentWaiting))
  const keys = own(new IdempotencyKeyTask(context, configuration, membership.membership, ownership, keyFollower, createAppender, agent, text => hashing.h64(text)))
  const forwarder = new Forwarder(context, membership.membership, own(connections.peers))
  const executorClient = own(connections.executors)
  const requestDispatcher: RequestDispatcher = own(new RequestDispatcher(context, configuration, membership.membership, slots.holder, executorClient, new LeastExpectedTimeChooser(), slots, new IdempotencyGuard(keys), forwarder))
  own(slots.onDidChangeGrants(() => requestDispatcher.dispatchAll()))
  const jobs = own(new JobTask(context, configuration, jobFollower, createAppender))
  own(new RetentionTask(context, ownership, configuration, jobs, configurationFollower, jobFollower, createAppender))
  const placement = own(new PlacementTask(context, ownership, configuration, membership.membership, jobs, connections.workers))

  const followers = [configurationFollower, ownershipFollower, jobFollower, keyFollower]
  const metrics = new MetricsRegistry()
  metrics.addGauge('active_requests', 'Requests accepted and not yet answered to their end', () => requestDispatcher.activeRequests)
  metrics.addGauge('open_jobs', 'Jobs of the failure domain that have not ended', () => jobs.registry.openJobs().length)
  metrics.addGauge('configuration_revision', 'Revision of the site text in force', () => configuration.inForce?.revision ?? 0)
  metrics.addGauge('link_bytes', 'Bytes sent and received on links', () => links.bytesExchanged)
  metrics.addGauge('processor_seconds', 'Processor time used by the process', () => process.cpuUsage().user / 1e6 + process.cpuUsage().system / 1e6)
  metrics.addGauge('resident_bytes', 'Resident memory of the process', () => process.memoryUsage.rss())
  metrics.addGauge('log_appends', 'Appends sent to the platform\'s log', () => appenders.reduce((sum, appender) => sum + appender.appendsSent, 0))
  metrics.addGauge('malformed_frames', 'Malformed frames received on links', () => links.malformedFrames)
  const operatorApi = new OperatorApi(context, configuration, ownership, placement, jobs, requestDispatcher, membership.membership, links, metrics, requests, () => followers.reduce((sum, follower) => sum + follower.newerRecords, 0), () => instance.isReady)
  const jobApi = new JobApi(context, jobs, placement, membership.membership, agent)
  const server = own(new CallerServer(configuration, requestDispatcher, jobApi, operatorApi, keys, forwarder, () => instance.isReady))
  const instance: EntryInstance = new EntryInstance(context, { followers, links, membership, configuration, ownership, slots, requestDispatcher, server, jobs, placement, disposables: owned })
  return instance
}

/** Creates the stand-in of the platform, workers and executors of a site. */
export function createSiteStandin (configuration: SiteConfiguration, options: SiteOptions & { seed: number, logLevel: LogLevel }, sink: LineSink): SiteStandin {
  const logger = new Logger('standin', options.logLevel, sink)
  const events = new EventLog('standin', randomUUID(), new LogicalClock(), sink)
  return new SiteStandin({ logger, events, random: new Random(options.seed) }, configuration, options)
}
