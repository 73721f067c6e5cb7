import { Emitter, type Event } from '../base/emitter.js'
import { describeError } from '../base/logger.js'
import { Task } from '../base/task.js'
import type { LinkMessageOf } from '../contracts/linkMessages.js'
import type { SiteText } from '../contracts/siteText.js'
import type { LinkTransport } from '../links/linkHub.js'
import type { PeerIdentity } from '../links/handshake.js'
import type { Membership } from '../machines/membership.js'
import { GRANT_VALID_MILLISECONDS, SlotAllocator, type ExecutorLimits } from '../requests/slotAllocator.js'
import { SlotHolder } from '../requests/slotHolder.js'
import { holderKey } from '../zones/ownership.js'
import type { ConfigurationTask } from './configurationTask.js'
import { monotonicNow, type EntryContext } from './entryContext.js'
import type { OwnershipTask } from './ownershipTask.js'

type SlotMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'ownerChanged', readonly isOwner: boolean }
  | { readonly kind: 'report', readonly from: PeerIdentity, readonly report: LinkMessageOf<'slotReport'> }
  | { readonly kind: 'grants', readonly from: string, readonly grants: LinkMessageOf<'slotGrants'> }

const REPORT_PERIOD_MILLISECONDS = 250

/** Owns the slots this instance holds and, as owner of the failure domain, their division among its instances. */
export class SlotTask extends Task<SlotMessage> {
  readonly holder = new SlotHolder()
  private allocator: SlotAllocator | undefined
  private lastOwner: string | undefined
  private readonly didChange = new Emitter<void>()
  /** Fires when grants have been applied. */
  readonly onDidChangeGrants: Event<void> = this.didChange.event

  constructor (
    private readonly context: EntryContext,
    private readonly ownership: OwnershipTask,
    private readonly configuration: ConfigurationTask,
    private readonly membership: Membership,
    private readonly links: LinkTransport,
    private readonly demandByPool: () => Readonly<Record<string, number>>
  ) {
    super()
    this.register(this.didChange)
    this.register(ownership.onDidChangeOwner(isOwner => this.post({ kind: 'ownerChanged', isOwner })))
    this.register(links.onDidReceive(({ from, message }) => {
      if (message.type === 'slotReport') this.post({ kind: 'report', from, report: message })
      if (message.type === 'slotGrants') this.post({ kind: 'grants', from: from.instance, grants: message })
    }))
    this.registerInterval(() => this.post({ kind: 'tick' }), REPORT_PERIOD_MILLISECONDS)
  }

  protected override handle (message: SlotMessage): void {
    switch (message.kind) {
      case 'tick':
        this.report()
        return
      case 'ownerChanged':
        this.allocator = message.isOwner ? this.createAllocator() : undefined
        return
      case 'report':
        this.answerReport(holderKey(message.from), message.report, grants => this.links.send(message.from.instance, grants))
        return
      case 'grants':
        if (message.from === this.ownership.owner?.instance) this.applyGrants(message.grants)
    }
  }

  protected override handleFailure (message: SlotMessage, error: unknown): void {
    this.context.logger.error('handling a slot message failed', { code: message.kind, reason: describeError(error) })
  }

  private createAllocator (): SlotAllocator {
    const now = monotonicNow()
    return new SlotAllocator(this.ownership.term === 1 ? -Infinity : now + GRANT_VALID_MILLISECONDS)
  }

  private report (): void {
    const { owner } = this.ownership
    if (owner === undefined) return
    const ownerKey = holderKey(owner)
    if (ownerKey !== this.lastOwner) {
      this.lastOwner = ownerKey
      this.holder.onOwnerChanged()
    }
    const { sequence, uses } = this.holder.startReport(monotonicNow())
    const report: LinkMessageOf<'slotReport'> = {
      type: 'slotReport',
      logicalTime: this.context.events.clock.tick(),
      sequence,
      appliedGrant: this.holder.appliedSequence,
      term: this.ownership.term,
      demand: { ...this.demandByPool() },
      uses
    }
    if (owner.instance !== this.context.settings.instance) this.links.send(owner.instance, report)
    else this.answerReport(ownerKey, report, grants => this.applyGrants(grants))
  }

  private answerReport (holder: string, report: LinkMessageOf<'slotReport'>, answer: (grants: LinkMessageOf<'slotGrants'>) => void): void {
    const text = this.configuration.inForce?.text
    if (this.allocator === undefined || text === undefined || report.term !== this.ownership.term || !this.ownership.isOwner()) return
    this.allocator.setExecutors(executorLimits(text, this.membership, this.context.settings.failureDomain))
    const { sequence, grants } = this.allocator.onReport(holder, report, monotonicNow())
    answer({
      type: 'slotGrants',
      logicalTime: this.context.events.clock.tick(),
      term: this.ownership.term,
      sequence,
      answersReport: report.sequence,
      validMilliseconds: GRANT_VALID_MILLISECONDS,
      grants
    })
  }

  private applyGrants (grants: LinkMessageOf<'slotGrants'>): void {
    if (grants.term === this.ownership.term && this.holder.applyGrants(grants)) this.didChange.fire()
  }
}

/** Limits of the executors of a failure domain. */
export function executorLimits (text: SiteText, membership: Membership, failureDomain: string): ExecutorLimits[] {
  const limits: ExecutorLimits[] = []
  for (const executor of membership.executors(failureDomain)) {
    const pool = text.executorPools[executor.pool]
    if (pool === undefined) continue
    const runs = Object.values(text.services).filter(service => service.executorPool === executor.pool).map(service => service.maximumRunMilliseconds)
    limits.push({ name: executor.name, pool: executor.pool, slots: pool.slots, connections: pool.connections, maximumRunMilliseconds: Math.max(0, ...runs) })
  }
  return limits
}
