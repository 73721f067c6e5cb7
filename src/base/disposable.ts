/** Something that holds a resource until it is disposed. Disposing twice has no further effect. */
export interface Disposable {
  dispose (): void
}

/** Wraps a function as a disposable that runs it at most once. */
export function toDisposable (release: () => void): Disposable {
  let released = false
  return {
    dispose () {
      if (released) return
      released = true
      release()
    }
  }
}

/** Owns disposables and disposes them in reverse order of registration. */
export class DisposableStore implements Disposable {
  private readonly owned: Disposable[] = []
  private disposed = false

  get isDisposed (): boolean {
    return this.disposed
  }

  /** Registers a disposable. One registered after disposal is disposed at once. */
  add<T extends Disposable> (disposable: T): T {
    if (this.disposed) {
      disposable.dispose()
      return disposable
    }
    this.owned.push(disposable)
    return disposable
  }

  dispose (): void {
    if (this.disposed) return
    this.disposed = true
    while (this.owned.length > 0) this.owned.pop()?.dispose()
  }
}

/** Base of every class that holds timers, sockets or listeners. */
export abstract class DisposableObject implements Disposable {
  private readonly store = new DisposableStore()

  protected get isDisposed (): boolean {
    return this.store.isDisposed
  }

  protected register<T extends Disposable> (disposable: T): T {
    return this.store.add(disposable)
  }

  /** Runs a callback every `periodMilliseconds` until this object is disposed. */
  protected registerInterval (callback: () => void, periodMilliseconds: number): Disposable {
    const timer = setInterval(callback, periodMilliseconds)
    return this.register(toDisposable(() => clearInterval(timer)))
  }

  dispose (): void {
    this.store.dispose()
  }
}
