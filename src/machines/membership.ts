import { Emitter, type Event } from '../base/emitter.js'
import type { ListedInstance } from '../contracts/platformProtocol.js'

export type ListedEntry = Extract<ListedInstance, { kind: 'entry' }>
export type ListedExecutor = Extract<ListedInstance, { kind: 'executor' }>
export type ListedWorker = Extract<ListedInstance, { kind: 'worker' }>

/** Live and leaving machines by the platform's lagging list. The last list stays in use while the platform is away. */
export class Membership {
  private instances = new Map<string, ListedInstance>()
  private updatedAt = -Infinity
  private readonly didChange = new Emitter<void>()
  readonly onDidChange: Event<void> = this.didChange.event

  /** Replaces the list; `now` is monotonic milliseconds. */
  update (instances: readonly ListedInstance[], now: number): void {
    const changed = JSON.stringify([...this.instances.values()]) !== JSON.stringify(instances)
    this.instances = new Map(instances.map(instance => [instance.name, instance]))
    this.updatedAt = now
    if (changed) this.didChange.fire()
  }

  /** Age of the list in milliseconds; Infinity before the first. */
  ageMilliseconds (now: number): number {
    return now - this.updatedAt
  }

  find (name: string): ListedInstance | undefined {
    return this.instances.get(name)
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
    return [...this.instances.values()].filter((instance): instance is Extract<ListedInstance, { kind: Kind }> => instance.kind === kind)
  }
}
