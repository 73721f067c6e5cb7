import FlatQueue from 'flatqueue'
import { fitsWithin, type Resources } from '../contracts/resources.js'
import { URGENCY_CLASSES } from '../contracts/siteText.js'
import type { JobEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Groups that are made ready in one decision at most; the rest follow in the next ones. */
const UNPARKED_GROUPS_PER_DECISION = 200

/** Jobs of one urgency whose tasks have the same size. If the tasks of one do not fit, none do. */
interface Shape {
  readonly rank: number
  readonly demand: Resources
  readonly groups: JobGroup[]
  /** Nothing fits but perhaps on workers that have grown since. */
  parked: boolean
  /** It was parked before, so that only workers that have grown since can fit. */
  unparked: boolean
}

/** Waiting jobs of one team and shape, by age. */
export interface JobGroup {
  readonly shape: Shape
  readonly team: TeamQueue
  readonly jobs: FlatQueue<JobEntry>
}

/** Groups of one team and urgency that may fit, by the age of their oldest job. */
interface TeamQueue {
  readonly team: string
  readonly ready: FlatQueue<JobGroup>
  readonly groups: Map<Shape, JobGroup>
}

interface UrgencyClass {
  readonly teams: Map<string, TeamQueue>
  readonly shapes: Map<string, Shape>
  readonly parked: Set<Shape>
}

/** What to try next. If `candidates` is given, only these workers can have room. A gang may also need workers that had room before. */
export interface NextJob {
  readonly job: JobEntry
  readonly group: JobGroup
  readonly candidates: readonly WorkerEntry[] | undefined
}

/** Waiting jobs by urgency, team and age. Sizes that did not fit are set aside until a worker has grown enough for one task. */
export class JobQueue {
  private readonly classes: readonly UrgencyClass[] = URGENCY_CLASSES.map(() => ({ teams: new Map(), shapes: new Map(), parked: new Set() }))
  private readonly grownWorkers = new Set<WorkerEntry>()
  private candidates: readonly WorkerEntry[] = []
  private unparkedShapes: Shape[] = []
  private suspendedShapes: Shape[] = []

  /** Adds a job with tasks to place, or does nothing if it is in the queue. */
  add (job: JobEntry): void {
    if (job.queued) return
    job.queued = true
    const group = this.groupOf(job)
    group.jobs.push(job, job.order)
    if (!group.shape.parked && group.jobs.peek() === job) group.team.ready.push(group, job.order)
  }

  /** Notes that a worker has more free resources than before. */
  noteCapacityIncrease (entry: WorkerEntry): void {
    this.grownWorkers.add(entry)
  }

  /** Makes sizes ready that fit on a worker that has grown. */
  unparkFitting (): void {
    if (this.grownWorkers.size === 0) return
    this.candidates = [...this.grownWorkers]
    const front = paretoFront(this.candidates)
    let unparkedGroups = 0
    for (const { parked } of this.classes) {
      for (const shape of parked) {
        if (!front.some(free => fitsWithin(shape.demand, free))) continue
        shape.parked = false
        shape.unparked = true
        this.unparkedShapes.push(shape)
        parked.delete(shape)
        for (const group of shape.groups) this.makeReady(group)
        unparkedGroups += shape.groups.length
        if (unparkedGroups >= UNPARKED_GROUPS_PER_DECISION) return
      }
    }
  }

  /** Ends a round: every size that fits on a worker that has grown has been tried. */
  endRound (): void {
    this.grownWorkers.clear()
    this.candidates = []
    for (const shape of this.unparkedShapes) shape.unparked = false
    this.unparkedShapes = []
  }

  /** Returns the job to try next: of the most urgent class, of the team with the least share, the oldest. Undefined if none is ready. */
  next (shareOf: (team: string) => number): NextJob | undefined {
    for (const { teams } of this.classes) {
      let best: NextJob | undefined
      let bestShare = Infinity
      for (const team of teams.values()) {
        if (team.ready.length === 0) continue
        const share = shareOf(team.team)
        if (share > bestShare) continue
        const head = this.head(team)
        if (head === undefined || (best !== undefined && share === bestShare && head.job.order > best.job.order)) continue
        best = head
        bestShare = share
      }
      if (best !== undefined) return best
    }
    return undefined
  }

  /** Sets the size of a group's tasks aside until more is free. */
  park (group: JobGroup): void {
    const { shape } = group
    shape.parked = true
    ;(this.classes[shape.rank] as UrgencyClass).parked.add(shape)
  }

  /** Sets the size of a group's tasks aside until `wakeHeld`, whatever is free. */
  suspend (group: JobGroup): void {
    group.shape.parked = true
    this.suspendedShapes.push(group.shape)
  }

  /** Makes all sizes ready that were set aside by `hold`. */
  resumeSuspended (): void {
    for (const shape of this.suspendedShapes) {
      shape.parked = false
      for (const group of shape.groups) this.makeReady(group)
    }
    this.suspendedShapes = []
  }

  /** Returns the first job of the team that may fit, and drops what was set aside or has nothing to place. */
  private head (team: TeamQueue): NextJob | undefined {
    for (let group = team.ready.peek(); group !== undefined; group = team.ready.peek()) {
      const job = group.shape.parked ? undefined : firstWaiting(group)
      if (job !== undefined && team.ready.peekValue() === job.order) return { job, group, candidates: group.shape.unparked && job.job.kind !== 'gang' ? this.candidates : undefined }
      team.ready.pop()
      if (job !== undefined) team.ready.push(group, job.order)
    }
    return undefined
  }

  private makeReady (group: JobGroup): void {
    const job = firstWaiting(group)
    if (job !== undefined) group.team.ready.push(group, job.order)
  }

  private groupOf (job: JobEntry): JobGroup {
    const { teams, shapes } = this.classes[job.rank] as UrgencyClass
    const { team: name, resources, kind, tasks } = job.job
    let team = teams.get(name)
    if (team === undefined) {
      team = { team: name, ready: new FlatQueue(), groups: new Map() }
      teams.set(name, team)
    }
    const key = `${kind === 'gang' ? tasks : 0} ${resources.processorsThousandths} ${resources.memoryBytes} ${resources.accelerators}`
    let shape = shapes.get(key)
    if (shape === undefined) {
      shape = { rank: job.rank, demand: resources, groups: [], parked: false, unparked: false }
      shapes.set(key, shape)
    }
    let group = team.groups.get(shape)
    if (group === undefined) {
      group = { shape, team, jobs: new FlatQueue() }
      team.groups.set(shape, group)
      shape.groups.push(group)
    }
    return group
  }
}

/** Free resources that are not covered by those of another worker. */
function paretoFront (entries: readonly WorkerEntry[]): Resources[] {
  const front: Resources[] = []
  for (const { schedulable, worker: { free } } of entries) {
    if (!schedulable || front.some(other => fitsWithin(free, other))) continue
    for (let index = front.length - 1; index >= 0; index -= 1) {
      if (fitsWithin(front[index] as Resources, free)) front.splice(index, 1)
    }
    front.push(free)
  }
  return front
}

/** Drops jobs that have nothing to place from the front of a group. They are added again when they have. */
function firstWaiting (group: JobGroup): JobEntry | undefined {
  for (let job = group.jobs.peek(); job !== undefined; job = group.jobs.peek()) {
    if (job.isWaiting && job.rank === group.shape.rank) return job
    if (job.rank === group.shape.rank) job.queued = false
    group.jobs.pop()
  }
  return undefined
}
