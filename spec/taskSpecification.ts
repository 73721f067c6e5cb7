/** Specification of one task on two workers under task leases, while ownership passes from one owner to the next. */

/** Ways to weaken the protocol. The model check must find each of them. */
export type TaskFault = 'noWaitForUnknownStart' | 'trustsEarlyInventory' | 'taskLeaseOutlivesWait'

export interface TaskBounds {
  /** For each worker, whether it rejects commands of a lower term than the highest that it has seen. */
  readonly checksTerms: readonly [boolean, boolean]
  readonly fault?: TaskFault
}

const OWNER_LEASE_TICKS = 2
const TASK_LEASE_TICKS = 2
/** A command that has not arrived within this time is never delivered. */
const COMMAND_LIFETIME_TICKS = 2
const MARGIN_TICKS = 1
const MAXIMUM_COMMANDS = 2

interface Command {
  readonly worker: number
  readonly term: number
  readonly remainingTicks: number
  readonly isStart: boolean
}

interface WorkerState {
  /** Ticks until the lease of the task expires; 0 if the task is not running. */
  readonly leaseTicks: number
  readonly term: number
}

interface OwnerState {
  /** Worker on which this owner has placed the task, or -1. */
  readonly placedOn: number
  /** Ticks until any other attempt, whether known to this owner or not, has certainly ended. */
  readonly uncertainTicks: number
}

export interface TaskState {
  readonly firstOwnerLeaseTicks: number
  /** Ticks until the second owner may act. */
  readonly takeoverTicks: number
  /** Ticks, counted from the takeover, until no command of the first owner can arrive any more. */
  readonly firstOwnerCommandTicks: number
  readonly workers: readonly WorkerState[]
  readonly owners: readonly [OwnerState, OwnerState]
  /** For each worker, whether the second owner has established that the task cannot run there. */
  readonly knownIdle: readonly boolean[]
  readonly commands: readonly Command[]
}

export type TaskEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'start', readonly owner: 0 | 1, readonly worker: number }
  | { readonly type: 'renew', readonly owner: 0 | 1 }
  | { readonly type: 'deliver' | 'drop', readonly index: number }
  | { readonly type: 'inventory', readonly worker: number }

export const INITIAL_TASK: TaskState = {
  firstOwnerLeaseTicks: OWNER_LEASE_TICKS,
  takeoverTicks: OWNER_LEASE_TICKS + MARGIN_TICKS,
  firstOwnerCommandTicks: COMMAND_LIFETIME_TICKS,
  workers: [{ leaseTicks: 0, term: 1 }, { leaseTicks: 0, term: 1 }],
  owners: [{ placedOn: -1, uncertainTicks: 0 }, { placedOn: -1, uncertainTicks: COMMAND_LIFETIME_TICKS + TASK_LEASE_TICKS + MARGIN_TICKS }],
  knownIdle: [false, false],
  commands: []
}

export class TaskSpecification {
  constructor (readonly bounds: TaskBounds) {}

  /** Returns whether the task runs on at most one worker. */
  invariantHolds (state: TaskState): boolean {
    return state.workers.filter(worker => worker.leaseTicks > 0).length <= 1
  }

  events (state: TaskState): TaskEvent[] {
    const events: TaskEvent[] = [{ type: 'tick' }]
    state.commands.forEach((_, index) => events.push({ type: 'deliver', index }, { type: 'drop', index }))
    for (const owner of [0, 1] as const) {
      if (!this.mayAct(state, owner) || state.commands.length >= MAXIMUM_COMMANDS) continue
      if ((state.owners[owner] as OwnerState).placedOn >= 0) events.push({ type: 'renew', owner })
      for (const worker of [0, 1]) if (this.mayStart(state, owner, worker)) events.push({ type: 'start', owner, worker })
    }
    if (this.mayAct(state, 1)) for (const worker of [0, 1]) events.push({ type: 'inventory', worker })
    return events
  }

  next (state: TaskState, event: TaskEvent): TaskState {
    switch (event.type) {
      case 'tick':
        return this.tick(state)
      case 'start':
        return this.sendCommand({ ...state, knownIdle: [false, false] }, event.owner, event.worker, true)
      case 'renew':
        return this.sendCommand(state, event.owner, (state.owners[event.owner] as OwnerState).placedOn, false)
      case 'drop':
        return { ...state, commands: state.commands.filter((_, index) => index !== event.index) }
      case 'deliver':
        return this.deliverCommand(state, event.index)
      case 'inventory':
        return this.takeInventory(state, event.worker)
    }
  }

  private mayAct (state: TaskState, owner: 0 | 1): boolean {
    return owner === 0 ? state.firstOwnerLeaseTicks > 0 : state.takeoverTicks === 0
  }

  private mayStart (state: TaskState, owner: 0 | 1, worker: number): boolean {
    const own = state.owners[owner] as OwnerState
    if (this.bounds.fault === 'noWaitForUnknownStart') return true
    if (own.placedOn === worker) return false
    if (own.uncertainTicks === 0) return true
    return owner === 1 && own.placedOn < 0 && state.knownIdle.every(isIdle => isIdle)
  }

  private sendCommand (state: TaskState, owner: 0 | 1, worker: number, isStart: boolean): TaskState {
    const lease = this.bounds.fault === 'taskLeaseOutlivesWait' ? 0 : TASK_LEASE_TICKS
    const own = { placedOn: worker, uncertainTicks: COMMAND_LIFETIME_TICKS + lease + MARGIN_TICKS }
    const owners: [OwnerState, OwnerState] = owner === 0 ? [own, state.owners[1]] : [state.owners[0], own]
    return { ...state, owners, commands: [...state.commands, { worker, term: owner + 1, remainingTicks: COMMAND_LIFETIME_TICKS, isStart }] }
  }

  private deliverCommand (state: TaskState, index: number): TaskState {
    const command = state.commands[index] as Command
    const rest = { ...state, commands: state.commands.filter((_, other) => other !== index) }
    const worker = state.workers[command.worker] as WorkerState
    const refused = this.bounds.checksTerms[command.worker] === true && command.term < worker.term
    if (refused || (!command.isStart && worker.leaseTicks === 0)) return rest
    return { ...rest, workers: replaceAt(state.workers, command.worker, { leaseTicks: TASK_LEASE_TICKS, term: Math.max(worker.term, command.term) }) }
  }

  /** The second owner requests the inventory of a worker. From then on, a worker that checks terms rejects commands of the first owner. */
  private takeInventory (state: TaskState, at: number): TaskState {
    const worker = state.workers[at] as WorkerState
    const fenced = this.bounds.checksTerms[at] === true || state.firstOwnerCommandTicks === 0 || this.bounds.fault === 'trustsEarlyInventory'
    const knownIdle = replaceAt(state.knownIdle, at, fenced && worker.leaseTicks === 0 && (state.owners[1]).placedOn < 0)
    return { ...state, knownIdle, workers: replaceAt(state.workers, at, { ...worker, term: 2 }) }
  }

  private tick (state: TaskState): TaskState {
    const decrement = (ticks: number): number => Math.max(0, ticks - 1)
    const ageOwner = (owner: OwnerState): OwnerState => ({ ...owner, uncertainTicks: decrement(owner.uncertainTicks) })
    return {
      ...state,
      firstOwnerLeaseTicks: decrement(state.firstOwnerLeaseTicks),
      takeoverTicks: decrement(state.takeoverTicks),
      firstOwnerCommandTicks: state.takeoverTicks === 0 ? decrement(state.firstOwnerCommandTicks) : state.firstOwnerCommandTicks,
      workers: state.workers.map(worker => ({ ...worker, leaseTicks: decrement(worker.leaseTicks) })),
      owners: [ageOwner(state.owners[0]), state.takeoverTicks === 0 ? ageOwner(state.owners[1]) : state.owners[1]],
      commands: state.commands.filter(command => command.remainingTicks > 0).map(command => ({ ...command, remainingTicks: command.remainingTicks - 1 }))
    }
  }
}

function replaceAt<T> (values: readonly T[], at: number, value: T): T[] {
  return values.map((old, index) => index === at ? value : old)
}
