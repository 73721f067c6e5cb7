import FlatQueue from 'flatqueue'
import { fitsWithin, type Resources } from '../contracts/resources.js'
import { URGENCY_CLASSES } from '../contracts/siteConfiguration.js'
import type { JobEntry } from './jobState.js'
import type { WorkerEntry } from './workerEntry.js'

/** Number of groups after which a pass stops unparking shapes; the rest follow in later passes. */
const UNPARKED_GROUPS_PER_PASS = 200

/** Jobs of one urgency whose tasks have the same size. If the tasks of one job do not fit, those of none do. */
interface Shape {
  readonly rank: number
  readonly demand: Resources
  readonly groups: JobGroup[]
  /** Does not fit, except perhaps on workers whose free capacity has increased since. */
  parked: boolean
  /** Was parked before, so that only workers whose free capacity has increased can fit. */
  unparked: boolean
}

/** Waiting jobs of one team and shape, ordered by age. */
export interface JobGroup {
  readonly shape: Shape
  readonly team: TeamQueue
  readonly jobs: FlatQueue<JobEntry>
}

/** Groups of one team and urgency that may fit, ordered by the age of their oldest job. */
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

/** Job to try next. If `candidates` is given, only these workers can have enough capacity. A gang may also need workers that had capacity before. */
export interface NextJob {
  readonly job: JobEntry
  readonly group: JobGroup
  readonly candidates: readonly WorkerEntry[] | undefined
}

/** Waiting jobs by urgency, team and age. Shapes that did not fit are parked until the free capacity of a worker has increased enough for one task. */
export class JobQueue {
  private readonly classes: readonly UrgencyClass[] = URGENCY_CLASSES.map(() => ({ teams: new Map(), shapes: new Map(), parked: new Set() }))
  private readonly workersWithMoreCapacity = new Set<WorkerEntry>()
  private candidates: readonly WorkerEntry[] = []
  private unparkedShapes: Shape[] = []
  private suspendedShapes: Shape[] = []

  /** Adds a job with tasks to place, or does nothing if it is already queued. */
  add (job: JobEntry): void {
    if (job.queued) return
    job.queued = true
    const group = this.groupOf(job)
    group.jobs.push(job, job.order)
    if (!group.shape.parked && group.jobs.peek() === job) group.team.ready.push(group, job.order)
  }

  /** Records that a worker has more free resources than before. */
  noteCapacityIncrease (entry: WorkerEntry): void {
    this.workersWithMoreCapacity.add(entry)
  }

  /** Unparks shapes that fit on a worker whose free capacity has increased. */
  unparkFitting (): void {
    if (this.workersWithMoreCapacity.size === 0) return
    this.candidates = [...this.workersWithMoreCapacity]
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
        if (unparkedGroups >= UNPARKED_GROUPS_PER_PASS) return
      }
    }
  }

  /** Ends a round, after every shape that fits on a worker with increased capacity has been tried. */
  endRound (): void {
    this.workersWithMoreCapacity.clear()
    this.candidates = []
    for (const shape of this.unparkedShapes) shape.unparked = false
    this.unparkedShapes = []
  }

  /** Returns the oldest job of the team with the smallest share, in the most urgent class that has a ready job; undefined if none is ready. */
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

  /** Parks the shape of a group until more capacity is free. */
  park (group: JobGroup): void {
    const { shape } = group
    shape.parked = true
    ;(this.classes[shape.rank] as UrgencyClass).parked.add(shape)
  }

  /** Suspends the shape of a group until `resumeSuspended`, regardless of free capacity. */
  suspend (group: JobGroup): void {
    group.shape.parked = true
    this.suspendedShapes.push(group.shape)
  }

  /** Makes all shapes ready that were suspended by `suspend`. */
  resumeSuspended (): void {
    for (const shape of this.suspendedShapes) {
      shape.parked = false
      for (const group of shape.groups) this.makeReady(group)
    }
    this.suspendedShapes = []
  }

  /** Returns the first job of the team that may fit, and removes groups that are parked or have nothing to place. */
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

/** Returns the free resources that are not covered by those of another worker. */
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

/** Returns the first waiting job of a group and removes those before it, which are added again when they have tasks to place. */
function firstWaiting (group: JobGroup): JobEntry | undefined {
  for (let job = group.jobs.peek(); job !== undefined; job = group.jobs.peek()) {
    if (job.isWaiting && job.rank === group.shape.rank) return job
    if (job.rank === group.shape.rank) job.queued = false
    group.jobs.pop()
  }
  return undefined
}
