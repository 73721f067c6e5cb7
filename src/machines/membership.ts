import { Emitter, type Event } from '../base/emitter.js'
import type { ListedInstance } from '../contracts/platformProtocol.js'

export type ListedEntry = Extract<ListedInstance, { kind: 'entry' }>
export type ListedExecutor = Extract<ListedInstance, { kind: 'executor' }>
export type ListedWorker = Extract<ListedInstance, { kind: 'worker' }>

/** Time without a heartbeat after which a peer is suspected to have failed: three heartbeat intervals of 1 s and half a second for scheduling delays. */
export const SUSPICION_TIMEOUT_MILLISECONDS = 3500

interface Heartbeat {
  readonly incarnation: string
  readonly leaving: boolean
  readonly receivedAt: number
}

/**
 * Live and leaving machines: the platform's instance list, which lags, merged with the heartbeats of linked entry instances.
 * The last list stays in use while the platform is unavailable. An instance that announces by heartbeat that it is leaving
 * counts as leaving even while the list shows it as live.
 */
export class Membership {
  private instances = new Map<string, ListedInstance>()
  private readonly heartbeats = new Map<string, Heartbeat>()
  private updatedAt = -Infinity
  private readonly didChange = new Emitter<void>()
  readonly onDidChange: Event<void> = this.didChange.event

  /** Replaces the list; `now` is monotonic milliseconds. */
  update (instances: readonly ListedInstance[], now: number): void {
    const changed = JSON.stringify([...this.instances.values()]) !== JSON.stringify(instances)
    this.instances = new Map(instances.map(instance => [instance.name, instance]))
    this.updatedAt = now
    for (const name of this.heartbeats.keys()) if (!this.instances.has(name)) this.heartbeats.delete(name)
    if (changed) this.didChange.fire()
  }

  /** Records a heartbeat of a linked instance; `now` is monotonic milliseconds. Leaving is final for an incarnation. */
  recordHeartbeat (instance: string, incarnation: string, leaving: boolean, now: number): void {
    const previous = this.heartbeats.get(instance)
    const isLeaving = leaving || (previous?.incarnation === incarnation && previous.leaving)
    this.heartbeats.set(instance, { incarnation, leaving: isLeaving, receivedAt: now })
    if (isLeaving !== (previous?.leaving ?? false)) this.didChange.fire()
  }

  /** Returns whether the latest heartbeat of a peer is older than the suspicion timeout; false before its first heartbeat. */
  isSuspected (instance: string, now: number): boolean {
    const heartbeat = this.heartbeats.get(instance)
    return heartbeat !== undefined && now - heartbeat.receivedAt > SUSPICION_TIMEOUT_MILLISECONDS
  }

  /** Returns the age of the list in milliseconds; Infinity before the first update. */
  listAgeMilliseconds (now: number): number {
    return now - this.updatedAt
  }

  find (name: string): ListedInstance | undefined {
    const listed = this.instances.get(name)
    return listed !== undefined && this.heartbeats.get(name)?.leaving === true ? { ...listed, state: 'leaving' } : listed
  }

  entries (): ListedEntry[] {
    return this.ofKind('entry')
  }

  executors (failureDomain: string): ListedExecutor[] {
    return this.ofKind('executor').filter(instance => instance.failureDomain === failureDomain)
  }

  workers (failureDomain: string): ListedWorker[] {
    return this.ofKind('worker').filter(instance => instance.failureDomain === failureDomain)
  }

  private ofKind<Kind extends ListedInstance['kind']> (kind: Kind): Array<Extract<ListedInstance, { kind: Kind }>> {
    return [...this.instances.keys()].map(name => this.find(name) as ListedInstance).filter((instance): instance is Extract<ListedInstance, { kind: Kind }> => instance.kind === kind)
  }
}
