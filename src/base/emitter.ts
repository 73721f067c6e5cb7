import { toDisposable, type Disposable } from './disposable.js'

/** Subscribes a listener; the returned disposable removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable

/** Source of a typed event. Listeners run synchronously in order of subscription. */
export class Emitter<T> implements Disposable {
  private readonly listeners = new Set<(value: T) => void>()

  readonly event: Event<T> = listener => {
    this.listeners.add(listener)
    return toDisposable(() => this.listeners.delete(listener))
  }

  fire (value: T): void {
    for (const listener of [...this.listeners]) listener(value)
  }

  dispose (): void {
    this.listeners.clear()
  }
}
