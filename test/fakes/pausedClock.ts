import { AsyncLocalStorage } from 'node:async_hooks'
import FakeTimers from '@sinonjs/fake-timers'

type TimerFunction = (callback: (...parameters: unknown[]) => void, milliseconds?: number, ...parameters: unknown[]) => object
type TimerHandle = object

const storage = new AsyncLocalStorage<SimulatedProcess | undefined>()
/** The runtime's function, captured before the timers are replaced. */
const runtimeSetImmediate = setImmediate

/** One process on the shared clock. Its timers and deliveries are deferred while it is paused, and dropped after a crash. */
export class SimulatedProcess {
  private state: 'running' | 'paused' | 'crashed' = 'running'
  private readonly deferred: Array<() => void> = []
  readonly timers = new Set<TimerHandle>()
  /** Monotonic time at which the process last resumed. */
  resumedAt = -Infinity

  constructor (readonly name: string, readonly failureDomain: string) {}

  get isCrashed (): boolean {
    return this.state === 'crashed'
  }

  get isPaused (): boolean {
    return this.state === 'paused'
  }

  /** Runs work inside the process. Timers that the work sets belong to the process. */
  run<T> (work: () => T): T {
    return storage.run(this, work)
  }

  /** Runs work from outside the process, immediately or once a pause ends. */
  deliver (work: () => void): void {
    if (this.state === 'crashed') return
    if (this.state === 'paused') this.deferred.push(work)
    else this.run(work)
  }

  pause (): void {
    if (this.state === 'running') this.state = 'paused'
  }

  resume (): void {
    if (this.state !== 'paused') return
    this.state = 'running'
    this.resumedAt = performance.now()
    for (const work of this.deferred.splice(0)) this.deliver(work)
  }

  crash (): void {
    this.state = 'crashed'
    this.deferred.length = 0
    for (const timer of this.timers) clearTimeout(timer as NodeJS.Timeout)
    this.timers.clear()
  }
}

/** Replaces the runtime's clock by one that advances only on request. Timers of a simulated process are deferred by its pauses and dropped by its crash. */
export class PausedClock {
  private readonly clock: ReturnType<typeof FakeTimers.install>
  private readonly cleared = new WeakSet<TimerHandle>()
  private readonly owners = new WeakMap<TimerHandle, SimulatedProcess>()

  constructor () {
    this.clock = FakeTimers.install({ now: 1_700_000_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
    const { setTimeout: fakeTimeout, setInterval: fakeInterval, clearTimeout: fakeClearTimeout, clearInterval: fakeClearInterval } = globalThis
    const clearWith = (clear: (timer: NodeJS.Timeout) => void) => (timer: NodeJS.Timeout | undefined | null): void => {
      // Like the runtime's functions, ignores what is no timer; ws clears null.
      if (timer === undefined || timer === null) return
      this.cleared.add(timer)
      this.owners.get(timer)?.timers.delete(timer)
      clear(timer)
    }
    Object.assign(globalThis, {
      setTimeout: this.withProcess(fakeTimeout as unknown as TimerFunction, false),
      setInterval: this.withProcess(fakeInterval as unknown as TimerFunction, true),
      clearTimeout: clearWith(fakeClearTimeout),
      clearInterval: clearWith(fakeClearInterval)
    })
  }

  /** Number of pending timers. */
  get timerCount (): number {
    return this.clock.countTimers()
  }

  /** Runs work outside every simulated process after a delay. */
  after (milliseconds: number, work: () => void): NodeJS.Timeout {
    return storage.run(undefined, () => setTimeout(work, milliseconds))
  }

  /** Advances the clock in steps. After each step, pending promises settle and `onStep` runs. */
  async advance (milliseconds: number, stepMilliseconds: number, onStep: () => void = () => {}): Promise<void> {
    for (let left = milliseconds; left > 0; left -= stepMilliseconds) {
      this.clock.tick(Math.min(left, stepMilliseconds))
      await this.settle()
      onStep()
    }
  }

  /** Processes pending promises and stream events without advancing the clock. */
  async settle (): Promise<void> {
    await new Promise(resolve => runtimeSetImmediate(resolve))
    await new Promise(resolve => runtimeSetImmediate(resolve))
  }

  uninstall (): void {
    this.clock.uninstall()
  }

  private withProcess (create: TimerFunction, repeats: boolean): TimerFunction {
    return (callback, milliseconds, ...parameters) => {
      const owner = storage.getStore()
      if (owner === undefined) return create(callback, milliseconds, ...parameters)
      let deferred = false
      const handle = create(() => {
        if (!repeats) owner.timers.delete(handle)
        if (deferred) return
        deferred = owner.isPaused
        owner.deliver(() => {
          deferred = false
          if (!this.cleared.has(handle)) callback(...parameters)
        })
      }, milliseconds)
      this.owners.set(handle, owner)
      if (owner.isCrashed) clearTimeout(handle as NodeJS.Timeout)
      else owner.timers.add(handle)
      return handle
    }
  }
}
