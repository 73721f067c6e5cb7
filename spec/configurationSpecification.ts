/** Specification of how configuration revisions are decided by their base revision, with lagging readers, relays between peers and a log that truncates its oldest records. */

/** Ways to weaken the protocol. The model check must find each of them. */
export type ConfigurationFault = 'greatestOffset' | 'noReplayAfterRestated' | 'replayWithoutPosition'

/** Bounds of one exploration: the maximum number of each event. */
export interface ConfigurationBounds {
  readonly publishes: number
  readonly restatements: number
  readonly restarts: number
  readonly fault?: ConfigurationFault
}

export type ConfigurationRecord =
  | { readonly kind: 'published', readonly base: number, readonly text: number }
  /** Restates the revision that the records before `throughOffset` have decided. */
  | { readonly kind: 'restated', readonly revision: number, readonly text: number, readonly throughOffset: number }

interface Revision {
  readonly revision: number
  readonly text: number
}

/** State of one reader of the stream. */
export interface ReaderState {
  readonly nextOffset: number
  readonly decidedRevision: number
  /** Whether records were truncated before this reader had read them, and no restated revision has been read since. */
  readonly truncated: boolean
  /** Publish records that were read while truncated; they are replayed after a restated revision. */
  readonly undecided: ReadonlyArray<{ readonly base: number, readonly text: number, readonly offset: number }>
  /** First offset from which this reader has read every record. */
  readonly contiguousFrom: number
  readonly inForce: Revision
}

export interface ConfigurationState {
  readonly log: readonly ConfigurationRecord[]
  /** First retained offset. */
  readonly retainedFrom: number
  readonly readers: readonly ReaderState[]
  readonly restarts: number
  /** Whether the revision in force of any reader has ever decreased. */
  readonly reverted: boolean
}

/** `at` and `to` are indexes of readers. */
export type ConfigurationEvent =
  | { readonly type: 'publish', readonly base: number }
  | { readonly type: 'read' | 'restate' | 'restart', readonly at: number }
  | { readonly type: 'relay', readonly at: number, readonly to: number }
  | { readonly type: 'truncate' }

const INITIAL_READER: ReaderState = { nextOffset: 0, decidedRevision: 0, truncated: false, undecided: [], contiguousFrom: 0, inForce: { revision: 0, text: -1 } }
const READERS = 2

export const INITIAL_CONFIGURATION: ConfigurationState = { log: [], retainedFrom: 0, readers: Array.from({ length: READERS }, () => INITIAL_READER), restarts: 0, reverted: false }

/** Returns the texts that the whole log decides, in order of their revisions. */
export function decidedTexts (log: readonly ConfigurationRecord[]): number[] {
  const texts: number[] = []
  for (const record of log) if (record.kind === 'published' && record.base === texts.length) texts.push(record.text)
  return texts
}

export class ConfigurationSpecification {
  constructor (readonly bounds: ConfigurationBounds) {}

  /** Returns whether no reader has reverted and every revision in force is the one that the log has decided. */
  invariantHolds (state: ConfigurationState): boolean {
    const texts = decidedTexts(state.log)
    return !state.reverted && state.readers.every(reader => {
      const { revision, text } = reader.inForce
      if (revision > 0 && texts[revision - 1] !== text) return false
      return reader.truncated || reader.nextOffset < state.log.length || reader.decidedRevision === texts.length
    })
  }

  events (state: ConfigurationState): ConfigurationEvent[] {
    const events: ConfigurationEvent[] = []
    const count = (kind: ConfigurationRecord['kind']): number => state.log.filter(record => record.kind === kind).length
    const decided = decidedTexts(state.log).length
    if (count('published') < this.bounds.publishes) {
      for (const base of [decided, decided - 1]) if (base >= 0) events.push({ type: 'publish', base })
    }
    state.readers.forEach((reader, at) => {
      if (reader.nextOffset < state.log.length) events.push({ type: 'read', at })
      if (count('restated') < this.bounds.restatements && !reader.truncated && reader.decidedRevision > 0 && reader.inForce.revision === reader.decidedRevision) events.push({ type: 'restate', at })
      if (state.restarts < this.bounds.restarts) events.push({ type: 'restart', at })
      events.push({ type: 'relay', at, to: 1 - at })
    })
    if (this.mayTruncate(state)) events.push({ type: 'truncate' })
    return events
  }

  next (state: ConfigurationState, event: ConfigurationEvent): ConfigurationState {
    switch (event.type) {
      case 'publish':
        return { ...state, log: [...state.log, { kind: 'published', base: event.base, text: state.log.length }] }
      case 'restate': {
        const { inForce, nextOffset } = state.readers[event.at] as ReaderState
        return { ...state, log: [...state.log, { kind: 'restated', ...inForce, throughOffset: nextOffset }] }
      }
      case 'truncate':
        return { ...state, retainedFrom: state.retainedFrom + 1 }
      case 'restart':
        return { ...state, readers: state.readers.map((reader, at) => at === event.at ? INITIAL_READER : reader), restarts: state.restarts + 1 }
      case 'relay': {
        const { inForce } = state.readers[event.at] as ReaderState
        return this.replace(state, event.to, reader => inForce.revision > reader.inForce.revision ? { ...reader, inForce } : reader)
      }
      case 'read':
        return this.replace(state, event.at, reader => this.read(state, reader))
    }
  }

  /** Returns whether the oldest record may be truncated: only if a later record restates the revision that was decided up to it. */
  private mayTruncate (state: ConfigurationState): boolean {
    return state.log.slice(state.retainedFrom + 1).some(record => record.kind === 'restated' && record.throughOffset > state.retainedFrom)
  }

  private read (state: ConfigurationState, old: ReaderState): ReaderState {
    const truncated = old.nextOffset < state.retainedFrom
    const offset = Math.max(old.nextOffset, state.retainedFrom)
    const reader = truncated ? { ...old, truncated, undecided: [], contiguousFrom: offset } : old
    return { ...this.decide(reader, state.log[offset] as ConfigurationRecord, offset), nextOffset: offset + 1 }
  }

  private decide (reader: ReaderState, record: ConfigurationRecord, offset: number): ReaderState {
    if (record.kind === 'restated') {
      const gap = record.throughOffset < reader.contiguousFrom && this.bounds.fault !== 'replayWithoutPosition'
      return reader.truncated && !gap ? this.replay(reader, record) : reader
    }
    if (this.bounds.fault === 'greatestOffset') return putInForce({ ...reader, decidedRevision: reader.decidedRevision + 1 }, { revision: reader.decidedRevision + 1, text: record.text })
    if (reader.truncated) return { ...reader, undecided: [...reader.undecided, { ...record, offset }] }
    if (record.base !== reader.decidedRevision) return reader
    return putInForce({ ...reader, decidedRevision: record.base + 1 }, { revision: record.base + 1, text: record.text })
  }

  private replay (reader: ReaderState, restated: Revision & { readonly throughOffset: number }): ReaderState {
    let next = putInForce({ ...reader, truncated: false, undecided: [], decidedRevision: restated.revision }, { revision: restated.revision, text: restated.text })
    if (this.bounds.fault === 'noReplayAfterRestated') return next
    for (const record of reader.undecided) {
      if (record.offset < restated.throughOffset && this.bounds.fault !== 'replayWithoutPosition') continue
      if (record.base === next.decidedRevision) next = putInForce({ ...next, decidedRevision: record.base + 1 }, { revision: record.base + 1, text: record.text })
    }
    return next
  }

  private replace (state: ConfigurationState, at: number, change: (reader: ReaderState) => ReaderState): ConfigurationState {
    const before = state.readers[at] as ReaderState
    const after = change(before)
    return { ...state, readers: state.readers.map((reader, index) => index === at ? after : reader), reverted: state.reverted || after.inForce.revision < before.inForce.revision }
  }
}

/** Returns the key of a state. The two readers are interchangeable, so their order does not matter. */
export function serializeConfiguration (state: ConfigurationState): string {
  const readers = state.readers.map(reader => JSON.stringify(reader)).sort()
  return `${JSON.stringify(state.log)}|${state.retainedFrom}|${state.restarts}|${state.reverted}|${readers.join('|')}`
}

function putInForce (reader: ReaderState, next: Revision): ReaderState {
  return next.revision > reader.inForce.revision ? { ...reader, inForce: next } : reader
}
