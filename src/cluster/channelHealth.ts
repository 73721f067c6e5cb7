/** Time for which a channel is not used after a failed request while another one is healthy, in milliseconds; longer than most requests take. */
const FAILED_CHANNEL_PAUSE_MILLISECONDS = 1000

/** A channel through an instance. */
interface InstanceChannel {
  readonly instance: string
}

/**
 * Remembers through which instances the eligibility service did not respond, so that a step is not requested again and again through an
 * instance that cannot reach it.
 */
export class ChannelHealth {
  /** Time of the latest failed request since the last response, by instance, in milliseconds of the monotonic clock. */
  private readonly failedAt = new Map<string, number>()

  /** Records the outcome of a request through an instance. */
  onOutcome (instance: string, hasFailed: boolean, now: number): void {
    if (hasFailed) this.failedAt.set(instance, now)
    else this.failedAt.delete(instance)
  }

  /** Returns the channels that may be used now, the preferred ones last: those without a failure, then those that failed longest ago. */
  selectUsable<Channel extends InstanceChannel> (channels: readonly Channel[], isFree: (channel: Channel) => boolean, now: number): Channel[] {
    const failedAt = ({ instance }: InstanceChannel): number => this.failedAt.get(instance) ?? -Infinity
    const hasRested = (channel: InstanceChannel): boolean => now - failedAt(channel) >= FAILED_CHANNEL_PAUSE_MILLISECONDS
    const candidates = channels.some(hasRested) ? channels.filter(hasRested) : channels
    // Of two channels without a failure, the later one in the list is preferred: the first is the scheduler's own.
    return candidates.filter(isFree).sort((left, right) => compare(failedAt(right), failedAt(left)))
  }
}

function compare (left: number, right: number): number {
  return left === right ? 0 : left - right
}
