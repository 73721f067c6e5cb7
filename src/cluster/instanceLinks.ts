import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { AdmissionReply, BacklogSummary, ClusterMessage, ClusterRequest, ClusterReply } from '../contracts/clusterMessages.js'
import type { LeadershipRecord } from '../contracts/clusterRecords.js'
import type { SocketAddress } from '../contracts/clusterSettings.js'
import { ClusterLink, ClusterLinkServer, openClusterLink } from '../links/clusterLink.js'
import type { AdmissionQuestion } from './admission/submissionAdmission.js'
import type { EligibilityChannel } from './eligibilityRequester.js'
import { PeerSet, type Peer } from './peerSet.js'
import { schedulingCapacityOf, type InstanceResources } from './schedulingCapacity.js'
import type { EligibilityOutcome, EligibilityPort } from './workerPort.js'

/** Delay before another attempt to open a link, in milliseconds. */
const LINK_RETRY_DELAY_MILLISECONDS = 150
/** Allowance for the round trip of a request to another instance, added to its timeout, in milliseconds. */
const LINK_ROUND_TRIP_MILLISECONDS = 50

/** Identity and resources that this instance announces to the others. */
export interface LinkIdentity extends InstanceResources {
  readonly instance: string
  readonly incarnation: string
}

/** Answers the queries of other instances and receives the events of links. */
export interface InstanceLinksObserver {
  /** Returns the state of a job and its organisation, if this instance runs the active scheduler. */
  getJobStatus (job: string): { readonly state: string, readonly organisation?: string } | undefined
  /** Like `getJobStatus`, but a job is `unknown` only if the log has been read after the call. */
  getCurrentJobStatus (job: string): Promise<{ readonly state: string, readonly organisation?: string }> | undefined
  /** Returns the number of waiting jobs of a queue, if this instance runs the active scheduler. */
  countWaitingJobs (queue: string): number | undefined
  /** Returns the decision on a job that another instance would refuse, if this instance runs the active scheduler. */
  decideAdmission (question: AdmissionQuestion): Promise<AdmissionReply> | undefined
  /** Called when the active scheduler has sent the backlog of the organisations. */
  onBacklogSummary (summary: BacklogSummary): void
  /** Called when the holder of the role has asked this instance to claim it. */
  onRoleOffer (incarnation: string): void
  /** Called when the process that held the role has exited: its address refuses connections, or another process responds there. */
  onHolderExited (incarnation: string): void
}

/** Links between instances. Each instance keeps a link to the holder of the scheduler role. */
export class InstanceLinks extends DisposableObject {
  private readonly server: ClusterLinkServer
  private readonly peers: PeerSet
  private holder: LeadershipRecord | undefined
  private holderLink: { readonly incarnation: string, readonly link: ClusterLink } | undefined
  private isConnecting = false
  private readsBacklog = false

  constructor (private readonly identity: LinkIdentity, private readonly eligibility: EligibilityPort, private readonly observer: InstanceLinksObserver, private readonly logger: Logger, random: Random, private readonly now: () => number) {
    super()
    this.peers = new PeerSet(random)
    this.server = this.register(new ClusterLinkServer(logger, now))
    this.register(this.server.onDidOpen(link => this.onOpened(link)))
    this.register(toDisposable(() => this.holderLink?.link.dispose()))
  }

  /** Starts listening; resolves with the port. */
  async listen (address: SocketAddress): Promise<number> {
    return await this.server.listen(address)
  }

  /**
   * Sets the holder of the role, the only instance to which a link is kept; without a holder, none is kept. An open link to a holder
   * that has resigned is kept, because that holder places tasks until its successor does, but no new one is opened.
   */
  setHolder (holder: LeadershipRecord | undefined): void {
    this.holder = holder
    if (this.holderLink !== undefined && this.holderLink.incarnation !== holder?.incarnation) {
      this.holderLink.link.dispose()
      this.holderLink = undefined
    }
    this.connectToHolder()
  }

  /** Sends a request to the holder of the role; resolves with undefined if there is no reply in time. */
  async queryHolder (request: ClusterRequest, timeoutMilliseconds: number): Promise<ClusterReply | undefined> {
    return await this.holderLink?.link.sendRequest(request, timeoutMilliseconds)
  }

  /** Asks the holder of the role, and each later one, for the backlog of the organisations. */
  requestBacklog (): void {
    if (this.readsBacklog) return
    this.readsBacklog = true
    if (this.holderLink !== undefined) this.sendHello(this.holderLink.link)
  }

  /** Sends the backlog of the organisations to the instances that have asked for it. */
  sendBacklog (summary: BacklogSummary): void {
    for (const { link, readsBacklog } of this.peers) {
      if (readsBacklog) link.send(summary)
    }
  }

  /** Returns the peer that should take the role over from this instance; undefined if no peer has a link. */
  pickSuccessor (): Peer | undefined {
    return this.peers.pickSuccessor()
  }

  /** Returns the channels to the eligibility service: this instance's own and one through each linked instance. */
  eligibilityChannels (): EligibilityChannel[] {
    const own: EligibilityChannel = { instance: this.identity.instance, request: async (step, workers, timeout) => await this.eligibility.query(step, workers, timeout) }
    const others = [...this.peers].map(({ instance, link }): EligibilityChannel => ({ instance, request: async (step, workers, timeout) => await queryOverLink(link, step, workers, timeout) }))
    return [own, ...others]
  }

  private async connectToHolder (): Promise<void> {
    const holder = this.holder
    if (this.isDisposed || holder === undefined || holder.resigned || this.holderLink !== undefined || this.isConnecting) return
    this.isConnecting = true
    const link = await openClusterLink(holder.address, this.logger, this.now)
    this.isConnecting = false
    if (!(link instanceof ClusterLink)) {
      if (link === 'refused') this.observer.onHolderExited(holder.incarnation)
      await delay(LINK_RETRY_DELAY_MILLISECONDS)
      this.connectToHolder()
      return
    }
    if (this.isDisposed || this.holder?.incarnation !== holder.incarnation) {
      link.dispose()
      this.connectToHolder()
      return
    }
    this.holderLink = { incarnation: holder.incarnation, link }
    this.sendHello(link)
    link.onDidReceive(message => {
      if (message.type === 'roleOffer') this.observer.onRoleOffer(message.incarnation)
      else if (message.type === 'backlogSummary') this.observer.onBacklogSummary(message)
      else if (message.type !== 'hello') this.onRequest(link, message)
      else if (message.incarnation !== holder.incarnation) this.observer.onHolderExited(holder.incarnation)
    })
    link.onDidClose(() => {
      if (this.holderLink?.link === link) this.holderLink = undefined
      this.connectToHolder()
    })
  }

  private onOpened (link: ClusterLink): void {
    let instance: string | undefined
    this.sendHello(link)
    link.onDidReceive(message => {
      if (message.type === 'hello') {
        instance = message.instance
        this.peers.add({ instance, link, capacity: schedulingCapacityOf(message), readsBacklog: message.readsBacklog === true })
      } else this.onRequest(link, message)
    })
    link.onDidClose(() => {
      if (instance !== undefined) this.peers.remove(instance, link)
    })
  }

  private sendHello (link: ClusterLink): void {
    link.send({ type: 'hello', ...this.identity, ...(this.readsBacklog ? { readsBacklog: true } : {}) })
  }

  private async onRequest (link: ClusterLink, message: ClusterMessage): Promise<void> {
    switch (message.type) {
      case 'stateQuestion':
        link.send({ type: 'stateReply', id: message.id, ...(message.isCurrent === true ? await this.observer.getCurrentJobStatus(message.job) : this.observer.getJobStatus(message.job)) ?? { state: 'unsure' } })
        return
      case 'waitingQuestion':
        link.send({ type: 'waitingReply', id: message.id, waiting: this.observer.countWaitingJobs(message.queue) ?? -1 })
        return
      case 'admissionQuestion':
        link.send({ type: 'admissionReply', id: message.id, ...await this.observer.decideAdmission(message) ?? { state: 'unsure', refusal: 'none', returnMilliseconds: 0 } })
        return
      case 'eligibilityQuestion': {
        const outcome = await this.eligibility.query(message.step, message.workers, message.timeoutMilliseconds)
        link.send({
          type: 'eligibilityReply',
          id: message.id,
          reason: outcome.kind === 'failed' ? outcome.reason : '',
          workers: outcome.kind === 'failed' ? [] : outcome.workers.map(({ worker, ticket }) => [worker, ticket]),
          validMilliseconds: outcome.kind === 'failed' ? 0 : outcome.validMilliseconds
        })
      }
    }
  }
}

async function queryOverLink (link: ClusterLink, step: string, workers: readonly string[], timeoutMilliseconds: number): Promise<EligibilityOutcome> {
  const reply = await link.sendRequest({ type: 'eligibilityQuestion', step, workers, timeoutMilliseconds }, timeoutMilliseconds + LINK_ROUND_TRIP_MILLISECONDS)
  if (reply?.type !== 'eligibilityReply') return { kind: 'failed', reason: 'the instance did not respond' }
  if (reply.reason !== '') return { kind: 'failed', reason: reply.reason }
  return { kind: 'eligible', workers: reply.workers.map(([worker, ticket]) => ({ worker, ticket })), validMilliseconds: reply.validMilliseconds }
}
