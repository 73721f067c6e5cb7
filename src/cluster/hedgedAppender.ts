import { DisposableObject, toDisposable } from '../base/disposable.js'
import { LogLatency } from './logLatency.js'
import type { AppendOptions, AppendOutcome, KeyedRecord, RecordLog } from './recordLog.js'

/** Minimum delay before an append is hedged, in milliseconds; ten times the usual latency of an append. */
const MINIMUM_HEDGE_DELAY_MILLISECONDS = 180
/** An append is hedged after this multiple of its average latency. */
const HEDGE_DELAY_FACTOR = 4
/** Maximum number of copies of one append. When a third of the responses is lost, all three are lost in one of twenty cases. */
const MAXIMUM_COPIES = 3

/**
 * Sends hedged appends: repeats an append that gets no response, because the response or the connection may be lost.
 * Only for appends that may safely be repeated.
 */
export class HedgedAppender extends DisposableObject {
  readonly latency: LogLatency
  private readonly timers = new Set<NodeJS.Timeout>()

  constructor (private readonly log: RecordLog, now: () => number) {
    super()
    this.latency = new LogLatency(now)
    this.register(toDisposable(() => {
      for (const timer of this.timers) clearTimeout(timer)
    }))
  }

  /** Time without a response after which a further copy is sent, in milliseconds. */
  get hedgeDelayMilliseconds (): number {
    return Math.max(MINIMUM_HEDGE_DELAY_MILLISECONDS, HEDGE_DELAY_FACTOR * this.latency.averageMilliseconds)
  }

  /** Appends and returns the first conclusive outcome. The outcome is `refused` only if every copy was refused. */
  async append (topic: string, partition: number, records: readonly KeyedRecord[], options: AppendOptions = {}): Promise<AppendOutcome> {
    const finishCall = this.latency.startCall()
    return await new Promise(resolve => {
      let sentCopies = 0
      let pendingCopies = 0
      let mayBeStored = false
      let timer: NodeJS.Timeout | undefined
      const finish = (outcome: AppendOutcome): void => {
        sentCopies = MAXIMUM_COPIES
        finishCall(outcome.kind === 'stored')
        clearTimeout(timer)
        if (timer !== undefined) this.timers.delete(timer)
        resolve(outcome)
      }
      const onOutcome = (outcome: AppendOutcome): void => {
        pendingCopies -= 1
        if (outcome.kind === 'unknown') mayBeStored = true
        if (outcome.kind !== 'unknown' && outcome.kind !== 'refused') finish(outcome)
        else if (pendingCopies === 0) finish(mayBeStored ? { kind: 'unknown', reason: outcome.reason } : outcome)
      }
      const send = (): void => {
        sentCopies += 1
        pendingCopies += 1
        this.log.append(topic, partition, records, options).then(onOutcome)
        if (sentCopies >= MAXIMUM_COPIES) return
        if (timer !== undefined) this.timers.delete(timer)
        timer = setTimeout(() => { if (sentCopies < MAXIMUM_COPIES) send() }, this.hedgeDelayMilliseconds)
        this.timers.add(timer)
      }
      send()
    })
  }
}
