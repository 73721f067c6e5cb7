import type { Job, JobState } from '../contracts/jobs.js'
import { urgencyRank } from '../contracts/siteConfiguration.js'
import type { TeamUsage } from './teamShares.js'
import type { Attempt } from '../contracts/workerProtocol.js'

export type TaskPhase = 'waiting' | 'starting' | 'running' | 'stopping' | 'finished'

/** One task of a job. `attempt` and `worker` are those of its current attempt while it is starting, running or stopping. */
export interface TaskEntry {
  readonly job: JobEntry
  readonly task: string
  readonly index: number
  phase: TaskPhase
  attempt: Attempt | undefined
  worker: string | undefined
  /** Number of workers that hold any attempt of the task. The task is placed only if there are none. */
  holdCount: number
  checkpointMilliseconds: number
  /** Start of the current attempt, and the last preemption, in monotonic milliseconds of the owner. */
  startedAt: number
  preemptedAt: number
  /** Failed attempts, in total and by worker. */
  failures: number
  readonly failedOn: Map<string, number>
}

/** An open job and its tasks, with counts by phase that are updated on each change. */
export class JobEntry {
  readonly tasks: readonly TaskEntry[]
  /** Tasks that may be placed: waiting and held by no worker. */
  readonly placeable: Set<TaskEntry>
  /** Urgency rank by which it is placed. */
  rank: number
  readonly counts: Record<TaskPhase, number> = { waiting: 0, starting: 0, running: 0, stopping: 0, finished: 0 }
  /** Sum of the hold counts of all tasks. */
  holdCount = 0
  /** Whether it is in the queue of waiting jobs. */
  queued = false
  cancelled = false
  endDecided = false
  /** Why the job has failed, or undefined. */
  failure: string | undefined

  /**
   * @param order Position in the order of acceptance.
   * @param mayAlreadyBePlaced Whether an earlier owner may have placed tasks, so that placement waits for the inventory of every worker.
   */
  constructor (readonly job: Job, readonly addedAt: number, readonly order: number, readonly mayAlreadyBePlaced: boolean, private readonly teamUsage: TeamUsage) {
    this.rank = urgencyRank(job.urgency)
    this.tasks = Array.from({ length: job.tasks }, (_, index): TaskEntry => ({
      job: this, task: taskName(job.identity, index), index, phase: 'waiting', attempt: undefined, worker: undefined, holdCount: 0, checkpointMilliseconds: 0, startedAt: addedAt, preemptedAt: -Infinity, failures: 0, failedOn: new Map()
    }))
    this.placeable = new Set(this.tasks)
    this.counts.waiting = job.tasks
  }

  setPhase (task: TaskEntry, phase: TaskPhase): void {
    this.counts[task.phase] -= 1
    this.counts[phase] += 1
    task.phase = phase
    this.updatePlaceable(task)
  }

  /** Records that one more (1) or one fewer (-1) worker holds an attempt of the task. */
  changeHoldCount (task: TaskEntry, change: 1 | -1): void {
    task.holdCount += change
    this.holdCount += change
    this.teamUsage.adjust(this.job.resources, change)
    this.updatePlaceable(task)
  }

  /** Whether it has tasks that may be placed now. */
  get isWaiting (): boolean {
    if (this.cancelled || this.endDecided || this.placeable.size === 0) return false
    return this.job.kind !== 'gang' || this.placeable.size === this.counts.waiting
  }

  /** Subtracts what is still held from the team's usage when the job is removed. */
  releaseTeamUsage (): void {
    for (let hold = 0; hold < this.holdCount; hold += 1) this.teamUsage.adjust(this.job.resources, -1)
  }

  get state (): JobState {
    if (this.counts.running > 0) return 'running'
    return this.counts.starting > 0 ? 'starting' : 'waiting'
  }

  private updatePlaceable (task: TaskEntry): void {
    if (task.phase === 'waiting' && task.holdCount === 0) this.placeable.add(task)
    else this.placeable.delete(task)
  }
}

/** Returns the name of a job's task. */
export function taskName (job: string, index: number): string {
  return `${job}#${index}`
}

/** Returns the job that the name of a task contains. */
export function jobOfTask (task: string): string {
  return task.slice(0, task.lastIndexOf('#'))
}

/** Returns the index within its job that the name of a task contains. */
export function indexOfTask (task: string): number {
  return Number(task.slice(task.lastIndexOf('#') + 1))
}

/** Returns a negative number if `left` is the earlier attempt, a positive one if it is the later, 0 if they are the same. */
export function compareAttempts (left: Attempt, right: Attempt): number {
  return left.term - right.term || left.sequence - right.sequence
}
