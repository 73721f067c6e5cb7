import { DisposableObject } from './disposable.js'

/**
 * An actor: owns its state and handles one message at a time, in order of arrival.
 * Other components change its state only by posting messages.
 */
export abstract class Task<Message> extends DisposableObject {
  private readonly mailbox: Message[] = []
  private running = false

  /** Number of queued messages. */
  get mailboxLength (): number {
    return this.mailbox.length
  }

  /** Queues a message. Messages posted after disposal are dropped. */
  post (message: Message): void {
    if (this.isDisposed) return
    this.mailbox.push(message)
    if (!this.running) this.drain()
  }

  /** Handles one message. A rejection is passed to `handleFailure` and does not stop the task. */
  protected abstract handle (message: Message): void | Promise<void>

  protected abstract handleFailure (message: Message, error: unknown): void

  private async drain (): Promise<void> {
    this.running = true
    while (this.mailbox.length > 0 && !this.isDisposed) {
      const message = this.mailbox.shift() as Message
      try {
        const pending = this.handle(message)
        if (pending !== undefined) await pending
      } catch (error) {
        this.handleFailure(message, error)
      }
    }
    this.running = false
  }
}
