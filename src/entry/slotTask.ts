import { Emitter, type Event } from '../base/emitter.js'
import { describeError } from '../base/logger.js'
import { Task } from '../base/task.js'
import { decodeGrants, decodeUses, encodeGrants, encodeUses, type LinkMessageOf } from '../contracts/linkMessages.js'
import type { SiteConfiguration } from '../contracts/siteConfiguration.js'
import type { LinkTransport } from '../links/linkHub.js'
import type { PeerIdentity } from '../links/handshake.js'
import type { Membership } from '../machines/membership.js'
import { RunTimeBounds } from '../requests/runTimeBounds.js'
import { GRANT_DRIFT_MARGIN_MILLISECONDS, GRANT_VALID_MILLISECONDS, SlotAllocator, type HolderGrants } from '../requests/slotAllocator.js'
import type { ExecutorLimits } from '../requests/slotCommitments.js'
import { SlotHolder } from '../requests/slotHolder.js'
import { instanceKey } from '../zones/ownership.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow, type EntryContext } from './entryContext.js'
import type { OwnershipTask } from './ownershipTask.js'

type SlotMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'reportNow' }
  | { readonly kind: 'leave' }
  | { readonly kind: 'ownerChanged', readonly isOwner: boolean }
  | { readonly kind: 'report', readonly from: PeerIdentity, readonly report: LinkMessageOf<'slotReport'> }
  | { readonly kind: 'grants', readonly from: string, readonly grants: LinkMessageOf<'slotGrants'> }

const REPORT_INTERVAL_MILLISECONDS = 250
/** Maximum age of the instance list at which an instance that is not listed is considered to have ended. */
const MAXIMUM_LIST_AGE_MILLISECONDS = 3000

/** Manages the slots that this instance holds and, as owner of the failure domain, the allocation of slots to its instances. */
export class SlotTask extends Task<SlotMessage> {
  readonly holder = new SlotHolder()
  private allocator: SlotAllocator | undefined
  private allocatorTerm = 0
  private lastReportedTerm: number | undefined
  private leaving = false
  private readonly runTimeBounds = new RunTimeBounds(GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS)
  private readonly instanceOfHolder = new Map<string, string>()
  private readonly didChange = new Emitter<void>()
  /** Fires when grants have been applied. */
  readonly onDidChangeGrants: Event<void> = this.didChange.event

  constructor (
    private readonly context: EntryContext,
    private readonly ownership: OwnershipTask,
    private readonly configuration: ConfigurationTask,
    private readonly membership: Membership,
    private readonly links: LinkTransport,
    private readonly demandByPool: () => Readonly<Record<string, number>>,
    private readonly hasUrgentWaiting: () => boolean
  ) {
    super()
    this.register(this.didChange)
    this.register(ownership.onDidChangeOwner(isOwner => this.post({ kind: 'ownerChanged', isOwner })))
    this.register(links.onDidReceive(({ from, message }) => {
      if (message.type === 'slotReport') this.post({ kind: 'report', from, report: message })
      if (message.type === 'slotGrants') this.post({ kind: 'grants', from: from.instance, grants: message })
    }))
    // Instances that are not owner track lowered run times as well, because they may become owner.
    this.register(configuration.onDidChangeRevision(({ configuration: siteConfiguration }) => {
      for (const pool of Object.keys(siteConfiguration.executorPools)) this.runTimeBounds.update(pool, maximumRunMilliseconds(siteConfiguration, pool), monotonicNow())
    }))
    this.registerInterval(() => this.post({ kind: 'tick' }), REPORT_INTERVAL_MILLISECONDS)
  }

  /** Requests slots for waiting requests ahead of the next regular report. */
  requestSlots (): void {
    if (this.holder.isDemandReportDue(this.hasUrgentWaiting(), monotonicNow())) this.post({ kind: 'reportNow' })
  }

  /** Reports at once that a slot has become free which the owner has revoked to grant it to another instance. */
  reportFreedSlots (): void {
    if (this.holder.hasSlotsToRelease) this.post({ kind: 'reportNow' })
  }

  /** Returns all grants on a graceful shutdown, once no request is waiting, and reports that at once. */
  returnGrants (): void {
    this.post({ kind: 'leave' })
  }

  protected override handle (message: SlotMessage): void {
    switch (message.kind) {
      case 'tick':
      case 'reportNow':
        this.report()
        return
      case 'leave':
        this.leaving = true
        this.holder.returnAll()
        this.report()
        return
      case 'ownerChanged':
        if (message.isOwner) this.prepareAllocator()
        return
      case 'report':
        this.onReport(message.from.instance, instanceKey(message.from), message.report)
        return
      case 'grants':
        if (message.from === this.ownership.owner?.instance) this.applyGrants(message.grants)
    }
  }

  protected override handleFailure (message: SlotMessage, error: unknown): void {
    this.context.logger.error('handling a slot message failed', { code: message.kind, reason: describeError(error) })
  }

  /** Creates the allocator of a new term. An owner whose lease lapsed and was extended in the same term keeps its allocator, and with it the grants. */
  private prepareAllocator (): void {
    if (this.allocatorTerm === this.ownership.term) return
    this.allocatorTerm = this.ownership.term
    this.allocator = new SlotAllocator(this.ownership.term === 1 ? -Infinity : monotonicNow() + GRANT_VALID_MILLISECONDS + GRANT_DRIFT_MARGIN_MILLISECONDS)
  }

  private report (): void {
    const { owner, term } = this.ownership
    if (owner === undefined) return
    if (term !== this.lastReportedTerm) {
      this.lastReportedTerm = term
      this.holder.onOwnerChanged()
    }
    const { sequence, uses } = this.holder.startReport(monotonicNow())
    const report: LinkMessageOf<'slotReport'> = {
      type: 'slotReport',
      logicalTime: this.context.events.clock.tick(),
      sequence,
      appliedGrant: this.holder.appliedSequence,
      term,
      demand: { ...this.demandByPool() },
      uses: encodeUses(uses),
      leaving: this.leaving
    }
    if (owner.instance !== this.context.settings.instance) this.links.send(owner.instance, report)
    else this.onReport(owner.instance, instanceKey(owner), report)
  }

  private onReport (instance: string, holder: string, report: LinkMessageOf<'slotReport'>): void {
    const siteConfiguration = this.configuration.inForce?.configuration
    if (this.allocator === undefined || siteConfiguration === undefined || report.term !== this.allocatorTerm || !this.mayGrant()) return
    this.allocator.setExecutors(executorLimits(siteConfiguration, this.membership, this.context.settings.failureDomain, this.runTimeBounds, monotonicNow()))
    this.instanceOfHolder.set(holder, instance)
    this.handleEndedProcesses(instance, holder)
    for (const decision of this.allocator.onReport(holder, { ...report, uses: decodeUses(report.uses) }, monotonicNow())) {
      if (this.mayGrant()) this.sendGrants(decision)
    }
  }

  private mayGrant (): boolean {
    return this.allocatorTerm === this.ownership.term && this.ownership.isOwner()
  }

  private sendGrants (decision: HolderGrants): void {
    const message: LinkMessageOf<'slotGrants'> = {
      type: 'slotGrants',
      logicalTime: this.context.events.clock.tick(),
      term: this.allocatorTerm,
      sequence: decision.sequence,
      answersReport: decision.answersReport,
      validMilliseconds: GRANT_VALID_MILLISECONDS,
      grants: encodeGrants(decision.grants)
    }
    const instance = this.instanceOfHolder.get(decision.holder)
    if (instance === this.context.settings.instance) this.applyGrants(message)
    else if (instance !== undefined) this.links.send(instance, message)
  }

  /** Notifies the allocator of ended processes. A process has ended if its successor reports, or if the instance list no longer contains its instance. */
  private handleEndedProcesses (reporter: string, holder: string): void {
    const listIsFresh = this.membership.listAgeMilliseconds(monotonicNow()) < MAXIMUM_LIST_AGE_MILLISECONDS
    const remaining = new Set(this.allocator?.holderKeys())
    for (const [key, instance] of this.instanceOfHolder) {
      const replaced = instance === reporter && key !== holder
      const unlisted = listIsFresh && key !== holder && this.membership.find(instance) === undefined
      if (replaced || unlisted) this.allocator?.onProcessEnded(key)
      if (!remaining.has(key) && key !== holder) this.instanceOfHolder.delete(key)
    }
  }

  private applyGrants (grants: LinkMessageOf<'slotGrants'>): void {
    if (grants.term !== this.ownership.term || grants.term !== this.lastReportedTerm || !this.holder.applyGrants({ ...grants, grants: decodeGrants(grants.grants) })) return
    this.didChange.fire()
    this.reportFreedSlots()
  }
}

/** Returns the limits of the executors of a failure domain. */
export function executorLimits (siteConfiguration: SiteConfiguration, membership: Membership, failureDomain: string, runTimeBounds: RunTimeBounds, now: number): ExecutorLimits[] {
  const limits: ExecutorLimits[] = []
  const maximumRunByPool = new Map(Object.keys(siteConfiguration.executorPools).map(pool => [pool, runTimeBounds.update(pool, maximumRunMilliseconds(siteConfiguration, pool), now)]))
  for (const executor of membership.executors(failureDomain)) {
    const pool = siteConfiguration.executorPools[executor.pool]
    if (pool === undefined) continue
    limits.push({ name: executor.name, pool: executor.pool, slots: pool.slots, connections: pool.connections, maximumRunMilliseconds: maximumRunByPool.get(executor.pool) ?? 0 })
  }
  return limits
}

function maximumRunMilliseconds (siteConfiguration: SiteConfiguration, pool: string): number {
  return Math.max(0, ...Object.values(siteConfiguration.services).filter(service => service.executorPool === pool).map(service => service.maximumRunMilliseconds))
}
