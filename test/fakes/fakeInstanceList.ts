import type { ListedInstance } from '../../src/contracts/platformProtocol.js'
import { InstanceList } from '../../src/links/instanceList.js'
import { PLATFORM, type Network } from './network.js'
import type { SimulatedProcess } from './pausedClock.js'

const CALL_TIMEOUT_MILLISECONDS = 3000
const LAG_MILLISECONDS = 500

/** The platform's list of instances, in which each change becomes visible after a lag. */
export class FakeInstanceDirectory {
  private readonly visible = new Map<string, ListedInstance>()
  /** Monotonic time in milliseconds at which each leaving machine first became visible as leaving, by name. */
  readonly leavingSince = new Map<string, number>()

  constructor (private readonly network: Network) {}

  set (instance: ListedInstance): void {
    this.network.clock.after(LAG_MILLISECONDS, () => {
      this.visible.set(instance.name, instance)
      if (instance.state === 'live') this.leavingSince.delete(instance.name)
      else if (!this.leavingSince.has(instance.name)) this.leavingSince.set(instance.name, performance.now())
    })
  }

  remove (name: string): void {
    this.network.clock.after(LAG_MILLISECONDS, () => this.visible.delete(name))
  }

  snapshot (): ListedInstance[] {
    return [...this.visible.values()]
  }
}

/** The client of one process for the list. */
export class FakeInstanceList extends InstanceList {
  constructor (private readonly directory: FakeInstanceDirectory, private readonly network: Network, private readonly process: SimulatedProcess) {
    super()
  }

  override async fetch (): Promise<ListedInstance[]> {
    return await this.network.call(this.process, PLATFORM, () => this.directory.snapshot(), { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS })
  }
}
