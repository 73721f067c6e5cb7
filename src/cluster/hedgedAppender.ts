import { DisposableObject, toDisposable } from '../base/disposable.js'
import { LogLatency } from './logLatency.js'
import type { AppendOptions, AppendOutcome, KeyedRecord, RecordLog } from './recordLog.js'

/** Shortest time without an answer after which a copy of an append is sent, in milliseconds; ten times the usual time of an append. */
const MINIMUM_HEDGE_MILLISECONDS = 180
/** A copy is sent after this many times the usual time of an append. */
const HEDGE_FACTOR = 4
/** Copies of one append at most; of three, all answers are lost in one of twenty cases when a third is lost. */
const MAXIMUM_COPIES = 3

/**
 * Sends further copies of an append that gets no answer, because the answer or the connection may be lost.
 * Only for appends whose repeats are harmless.
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

  /** Time without an answer from which the log seems not to answer, in milliseconds. */
  get hedgeDelayMilliseconds (): number {
    return Math.max(MINIMUM_HEDGE_MILLISECONDS, HEDGE_FACTOR * this.latency.averageMilliseconds)
  }

  /** The first answer that tells what became of the records. `refused` only if every copy was refused. */
  async append (topic: string, partition: number, records: readonly KeyedRecord[], options: AppendOptions = {}): Promise<AppendOutcome> {
    const onAnswer = this.latency.startCall()
    return await new Promise(resolve => {
      let copies = 0
      let open = 0
      let mayBeStored = false
      let timer: NodeJS.Timeout | undefined
      const finish = (outcome: AppendOutcome): void => {
        copies = MAXIMUM_COPIES
        onAnswer(outcome.kind === 'stored')
        clearTimeout(timer)
        if (timer !== undefined) this.timers.delete(timer)
        resolve(outcome)
      }
      const onOutcome = (outcome: AppendOutcome): void => {
        open -= 1
        if (outcome.kind === 'unknown') mayBeStored = true
        if (outcome.kind !== 'unknown' && outcome.kind !== 'refused') finish(outcome)
        else if (open === 0) finish(mayBeStored ? { kind: 'unknown', reason: outcome.reason } : outcome)
      }
      const send = (): void => {
        copies += 1
        open += 1
        this.log.append(topic, partition, records, options).then(onOutcome)
        if (copies >= MAXIMUM_COPIES) return
        if (timer !== undefined) this.timers.delete(timer)
        timer = setTimeout(() => { if (copies < MAXIMUM_COPIES) send() }, this.hedgeDelayMilliseconds)
        this.timers.add(timer)
      }
      send()
    })
  }
}
