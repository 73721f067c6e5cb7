import { delay } from '../base/delay.js'
import { DisposableObject, toDisposable } from '../base/disposable.js'
import type { Logger } from '../base/logger.js'
import type { Random } from '../base/random.js'
import type { ClusterMessage, ClusterRequest, ClusterReply } from '../contracts/clusterMessages.js'
import type { LeadershipRecord } from '../contracts/clusterRecords.js'
import type { SocketAddress } from '../contracts/clusterSettings.js'
import { ClusterLink, ClusterLinkServer, openClusterLink } from '../links/clusterLink.js'
import type { EligibilityLine } from './eligibilityDesk.js'
import { PeerSet, type Peer } from './peerSet.js'
import { schedulingCapacityOf, type InstanceResources } from './schedulingCapacity.js'
import type { EligibilityOutcome, EligibilityPort } from './workerPort.js'

/** Pause before a link that could not be opened is tried again, in milliseconds. */
const LINK_RETRY_MILLISECONDS = 150
/** Time added to a question to another instance for the way there and back, in milliseconds. */
const LINK_SLACK_MILLISECONDS = 50

/** Who this instance is to the others. */
export interface LinkIdentity extends InstanceResources {
  readonly instance: string
  readonly incarnation: string
}

/** Answers of this instance to others, and what it learns over links. */
export interface InstanceLinksObserver {
  /** State of a job, if this instance acts as the scheduler. */
  getJobState (job: string): string | undefined
  /** Waiting jobs of a queue, if this instance acts as the scheduler. */
  countWaitingJobs (queue: string): number | undefined
  /** The holder of the role has asked this instance to claim it. */
  onRoleOffer (incarnation: string): void
  /** The process that held the role has ended: its address refuses connections, or another process answers there. */
  onHolderExited (incarnation: string): void
}

/** Links between the instances: each keeps one to the holder of the role of scheduler. */
export class InstanceLinks extends DisposableObject {
  private readonly server: ClusterLinkServer
  private readonly peers: PeerSet
  private holder: LeadershipRecord | undefined
  private holderLink: { readonly incarnation: string, readonly link: ClusterLink } | undefined
  private isConnecting = false

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
   * Keeps a link to this holder of the role from now on, and to no other; to none if it is undefined. To a holder that has
   * resigned, which places on until its successor does, an open link is kept and none is opened.
   */
  setHolder (holder: LeadershipRecord | undefined): void {
    this.holder = holder
    if (this.holderLink !== undefined && this.holderLink.incarnation !== holder?.incarnation) {
      this.holderLink.link.dispose()
      this.holderLink = undefined
    }
    this.connectToHolder()
  }

  /** Asks the holder of the role; undefined without an answer in time. */
  async queryHolder (question: ClusterRequest, timeoutMilliseconds: number): Promise<ClusterReply | undefined> {
    return await this.holderLink?.link.ask(question, timeoutMilliseconds)
  }

  /** The peer to which the role should pass from here; undefined if none is linked. */
  pickSuccessor (): Peer | undefined {
    return this.peers.pickSuccessor()
  }

  /** Lines to the eligibility service: this instance's own and those of all linked instances. */
  eligibilityChannels (): EligibilityLine[] {
    const own: EligibilityLine = { instance: this.identity.instance, ask: async (step, workers, timeout) => await this.eligibility.query(step, workers, timeout) }
    const others = [...this.peers].map(({ instance, link }): EligibilityLine => ({ instance, ask: async (step, workers, timeout) => await askOverLink(link, step, workers, timeout) }))
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
      await delay(LINK_RETRY_MILLISECONDS)
      this.connectToHolder()
      return
    }
    if (this.isDisposed || this.holder?.incarnation !== holder.incarnation) {
      link.dispose()
      this.connectToHolder()
      return
    }
    this.holderLink = { incarnation: holder.incarnation, link }
    this.sayHello(link)
    link.onDidReceive(message => {
      if (message.type === 'roleOffer') this.observer.onRoleOffer(message.incarnation)
      else if (message.type !== 'hello') this.onQuestion(link, message)
      else if (message.incarnation !== holder.incarnation) this.observer.onHolderExited(holder.incarnation)
    })
    link.onDidClose(() => {
      if (this.holderLink?.link === link) this.holderLink = undefined
      this.connectToHolder()
    })
  }

  private onOpened (link: ClusterLink): void {
    let instance: string | undefined
    this.sayHello(link)
    link.onDidReceive(message => {
      if (message.type === 'hello') {
        instance = message.instance
        this.peers.add({ instance, link, capacity: schedulingCapacityOf(message) })
      } else this.onQuestion(link, message)
    })
    link.onDidClose(() => {
      if (instance !== undefined) this.peers.remove(instance, link)
    })
  }

  private sayHello (link: ClusterLink): void {
    link.send({ type: 'hello', ...this.identity })
  }

  private async onQuestion (link: ClusterLink, message: ClusterMessage): Promise<void> {
    switch (message.type) {
      case 'stateQuestion':
        link.send({ type: 'stateReply', id: message.id, state: this.observer.getJobState(message.job) ?? 'unsure' })
        return
      case 'waitingQuestion':
        link.send({ type: 'waitingReply', id: message.id, waiting: this.observer.countWaitingJobs(message.queue) ?? -1 })
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

async function askOverLink (link: ClusterLink, step: string, workers: readonly string[], timeoutMilliseconds: number): Promise<EligibilityOutcome> {
  const reply = await link.ask({ type: 'eligibilityQuestion', step, workers, timeoutMilliseconds }, timeoutMilliseconds + LINK_SLACK_MILLISECONDS)
  if (reply?.type !== 'eligibilityReply') return { kind: 'failed', reason: 'the instance did not answer' }
  if (reply.reason !== '') return { kind: 'failed', reason: reply.reason }
  return { kind: 'eligible', workers: reply.workers.map(([worker, ticket]) => ({ worker, ticket })), validMilliseconds: reply.validMilliseconds }
}
