import { fromTransition, type AnyEventObject } from 'xstate'
import { getAdjacencyMap } from 'xstate/graph'

/** Outcome of an exhaustive exploration. */
export interface Exploration<State> {
  readonly states: number
  /** A state that violates the invariant, or undefined. */
  readonly violation: State | undefined
}

/** Maximum number of states that one exploration may visit; the cost of the traversal is quadratic in it. */
export const MAXIMUM_STATES = 40_000

/** State machine to explore: a transition function, the events that are possible in each state, and an invariant. */
export interface Explorable<State, Event extends AnyEventObject> {
  readonly initial: State
  readonly next: (state: State, event: Event) => State
  readonly events: (state: State) => readonly Event[]
  readonly serialize: (state: State) => string
  readonly invariantHolds: (state: State) => boolean
}

/** Visits every reachable state until one violates the invariant. Throws if there are more than `MAXIMUM_STATES`. */
export function explore<State, Event extends AnyEventObject> (subject: Explorable<State, Event>): Exploration<State> {
  const logic = fromTransition((state: State, event: Event) => subject.next(state, event), subject.initial)
  let violation: State | undefined
  const visited = new Set<string>()
  const map = getAdjacencyMap(logic, {
    serializeState: snapshot => subject.serialize(snapshot.context),
    serializeEvent: event => JSON.stringify(event) as never,
    events: snapshot => {
      visited.add(subject.serialize(snapshot.context))
      if (visited.size > MAXIMUM_STATES) throw new Error(`more than ${MAXIMUM_STATES} states`)
      return subject.events(snapshot.context) as never
    },
    stopWhen: snapshot => {
      if (violation !== undefined) return true
      if (subject.invariantHolds(snapshot.context)) return false
      violation = snapshot.context
      return true
    }
  })
  return { states: Object.keys(map).length, violation }
}
