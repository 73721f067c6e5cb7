/** Revisions of the site text by base revision, with late readers, relays between peers and a log that loses its oldest records. */

export type ConfigurationFault = 'greatestOffset' | 'noReplayAfterRestated' | 'replayWithoutPosition'

export interface ConfigurationBounds {
  readonly publishes: number
  readonly restatements: number
  readonly restarts: number
  readonly fault?: ConfigurationFault
}

export type ConfigurationRecord =
  | { readonly kind: 'published', readonly base: number, readonly text: number }
  /** States the revision that the records before offset `through` have decided. */
  | { readonly kind: 'restated', readonly revision: number, readonly text: number, readonly through: number }

interface Revision {
  readonly revision: number
  readonly text: number
}

/** One reader of the stream. */
export interface ReaderState {
  readonly nextOffset: number
  readonly decidedRevision: number
  readonly truncated: boolean
  /** Publish records read while truncated, for the replay after a restated text. */
  readonly undecided: ReadonlyArray<{ readonly base: number, readonly text: number, readonly offset: number }>
  /** First offset that this reader has read without a gap. */
  readonly contiguousFrom: number
  readonly inForce: Revision
}

export interface ConfigurationState {
  readonly log: readonly ConfigurationRecord[]
  /** First retained offset. */
  readonly retainedFrom: number
  readonly readers: readonly ReaderState[]
  readonly restarts: number
  /** Whether some reader's revision in force has decreased. */
  readonly reverted: boolean
}

export type ConfigurationEvent =
  | { readonly type: 'publish', readonly base: number }
  | { readonly type: 'read' | 'restate' | 'restart', readonly at: number }
  | { readonly type: 'relay', readonly at: number, readonly to: number }
  | { readonly type: 'truncate' }

const FRESH: ReaderState = { nextOffset: 0, decidedRevision: 0, truncated: false, undecided: [], contiguousFrom: 0, inForce: { revision: 0, text: -1 } }
const READERS = 2

export const INITIAL_CONFIGURATION: ConfigurationState = { log: [], retainedFrom: 0, readers: Array.from({ length: READERS }, () => FRESH), restarts: 0, reverted: false }

/** Texts in order of their revisions, as the whole log decides them. */
export function decidedTexts (log: readonly ConfigurationRecord[]): number[] {
  const texts: number[] = []
  for (const record of log) if (record.kind === 'published' && record.base === texts.length) texts.push(record.text)
  return texts
}

export class ConfigurationSpecification {
  constructor (readonly bounds: ConfigurationBounds) {}

  /** No reader reverts, and every revision in force anywhere is the one that the log has decided. */
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
        const { inForce, nextOffset: read } = state.readers[event.at] as ReaderState
        return { ...state, log: [...state.log, { kind: 'restated', ...inForce, through: read }] }
      }
      case 'truncate':
        return { ...state, retainedFrom: state.retainedFrom + 1 }
      case 'restart':
        return { ...state, readers: state.readers.map((reader, at) => at === event.at ? FRESH : reader), restarts: state.restarts + 1 }
      case 'relay': {
        const { inForce } = state.readers[event.at] as ReaderState
        return this.replace(state, event.to, reader => inForce.revision > reader.inForce.revision ? { ...reader, inForce } : reader)
      }
      case 'read':
        return this.replace(state, event.at, reader => this.read(state, reader))
    }
  }

  /** The oldest record may leave only once a record that stays restates what was decided after it. */
  private mayTruncate (state: ConfigurationState): boolean {
    return state.log.slice(state.retainedFrom + 1).some(record => record.kind === 'restated' && record.through > state.retainedFrom)
  }

  private read (state: ConfigurationState, old: ReaderState): ReaderState {
    const truncated = old.nextOffset < state.retainedFrom
    const offset = Math.max(old.nextOffset, state.retainedFrom)
    const reader = truncated ? { ...old, truncated, undecided: [], from: offset } : old
    return { ...this.decide(reader, state.log[offset] as ConfigurationRecord, offset), nextOffset: offset + 1 }
  }

  private decide (reader: ReaderState, record: ConfigurationRecord, offset: number): ReaderState {
    if (record.kind === 'restated') {
      const gap = record.through < reader.contiguousFrom && this.bounds.fault !== 'replayWithoutPosition'
      return reader.truncated && !gap ? this.replay(reader, record) : reader
    }
    if (this.bounds.fault === 'greatestOffset') return putInForce({ ...reader, decidedRevision: reader.decidedRevision + 1 }, { revision: reader.decidedRevision + 1, text: record.text })
    if (reader.truncated) return { ...reader, undecided: [...reader.undecided, { ...record, offset }] }
    if (record.base !== reader.decidedRevision) return reader
    return putInForce({ ...reader, decidedRevision: record.base + 1 }, { revision: record.base + 1, text: record.text })
  }

  private replay (reader: ReaderState, restated: Revision & { readonly through: number }): ReaderState {
    let next = putInForce({ ...reader, truncated: false, undecided: [], decidedRevision: restated.revision }, { revision: restated.revision, text: restated.text })
    if (this.bounds.fault === 'noReplayAfterRestated') return next
    for (const record of reader.undecided) {
      if (record.offset < restated.through && this.bounds.fault !== 'replayWithoutPosition') continue
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

/** Key of a state; the two readers are exchangeable. */
export function serializeConfiguration (state: ConfigurationState): string {
  const readers = state.readers.map(reader => JSON.stringify(reader)).sort()
  return `${JSON.stringify(state.log)}|${state.retainedFrom}|${state.restarts}|${state.reverted}|${readers.join('|')}`
}

function putInForce (reader: ReaderState, next: Revision): ReaderState {
  return next.revision > reader.inForce.revision ? { ...reader, inForce: next } : reader
}
