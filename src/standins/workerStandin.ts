import { H3, type H3Event } from 'h3'
import { toDisposable } from '../base/disposable.js'
import { addResources, fitsWithin, NO_RESOURCES, type Resources } from '../contracts/resources.js'
import { STALE_TERM, renewLeasesSchema, startTaskSchema, taskActionSchema, type Attempt, type ReportedTask, type StartTask, type TaskActionName, type TaskState, type WorkerReport } from '../contracts/workerProtocol.js'
import { createBrokenResponse, HttpStandin } from './httpStandin.js'
import type { StandinContext } from './standinContext.js'

/** Faults of a worker, set over HTTP. */
export interface WorkerFaults {
  /** Every task fails immediately after its start. */
  failEverything: boolean
  /** Does not respond, as if partitioned from the network; tasks continue until their leases expire. */
  silent: boolean
  /** Executes commands, then breaks the connection before it responds. */
  loseAnswers: boolean
  /** Tasks of jobs whose name has this prefix fail immediately after their start. An empty prefix disables the fault. */
  failJobsNamed: string
}

/** One run of a task attempt. `endedAt` is undefined while it runs; times are monotonic milliseconds. */
export interface TaskRun {
  readonly task: string
  readonly job: string
  readonly attempt: Attempt
  readonly startedAt: number
  endedAt: number | undefined
  state: TaskState
}

interface StandinTask {
  readonly command: StartTask
  readonly run: TaskRun
  /** Progress in run time at full speed, as of `progressUpdatedAt`. */
  progressMilliseconds: number
  progressUpdatedAt: number
  checkpointMilliseconds: number
  throttlePercent: number
  leaseTimer: NodeJS.Timeout | undefined
  endTimer: NodeJS.Timeout | undefined
}

/** Worker that runs tasks under leases. It starts every task that it receives, even if the task exceeds its capacity, and counts such starts. */
export class WorkerStandin extends HttpStandin {
  readonly faults: WorkerFaults = { failEverything: false, silent: false, loseAnswers: false, failJobsNamed: '' }
  readonly runs: TaskRun[] = []
  private readonly tasks = new Map<string, StandinTask>()
  private term = 0
  private overcommittedStartCount = 0
  private peakUse = NO_RESOURCES

  constructor (private readonly context: StandinContext, readonly name: string, readonly incarnation: string, readonly capacity: Resources) {
    super()
    this.register(toDisposable(() => {
      for (const task of this.tasks.values()) this.clearTimers(task)
    }))
  }

  /** Number of starts after which the running tasks exceeded the capacity. */
  get overcommittedStarts (): number {
    return this.overcommittedStartCount
  }

  /** Peak of the resources of running tasks, for each resource. */
  get mostUsed (): Resources {
    return this.peakUse
  }

  async listen (host: string, port: number): Promise<void> {
    const app = new H3()
    app.put('/tasks/:task', async event => await this.onStart(event))
    app.post('/tasks/:task/:action', async event => await this.onAction(event))
    app.post('/leases', async event => await this.onRenewLeases(event))
    await this.startServer(app, host, port)
  }

  private async onStart (event: H3Event): Promise<Response> {
    if (this.faults.silent) return createBrokenResponse()
    const parsed = startTaskSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!parsed.success) return new Response('malformed start', { status: 400 })
    const command = parsed.data
    if (command.term < this.term) return new Response(STALE_TERM, { status: 409 })
    this.term = command.term
    this.context.events.clock.observe(command.logicalTime)
    const name = decodeURIComponent(event.context.params?.task ?? '')
    const existing = this.tasks.get(name)
    if (existing !== undefined && compareAttempts(command.attempt, existing.command.attempt) < 0) return new Response('stale attempt', { status: 409 })
    if (existing === undefined || compareAttempts(command.attempt, existing.command.attempt) > 0) this.startTask(name, command)
    if (this.faults.loseAnswers) return createBrokenResponse()
    return Response.json({ logicalTime: this.context.events.clock.tick() })
  }

  private async onAction (event: H3Event): Promise<Response> {
    if (this.faults.silent) return createBrokenResponse()
    const parsed = taskActionSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!parsed.success) return new Response('malformed action', { status: 400 })
    if (parsed.data.term < this.term) return new Response(STALE_TERM, { status: 409 })
    this.context.events.clock.observe(parsed.data.logicalTime)
    const task = this.tasks.get(decodeURIComponent(event.context.params?.task ?? ''))
    if (task === undefined || compareAttempts(parsed.data.attempt, task.command.attempt) !== 0) return new Response('unknown attempt', { status: 404 })
    this.applyAction(task, event.context.params?.action as TaskActionName, parsed.data.throttlePercent)
    if (this.faults.loseAnswers) return createBrokenResponse()
    return Response.json({ logicalTime: this.context.events.clock.tick() })
  }

  private async onRenewLeases (event: H3Event): Promise<Response> {
    if (this.faults.silent) return createBrokenResponse()
    const parsed = renewLeasesSchema.safeParse(await event.req.json().catch(() => undefined))
    if (!parsed.success) return new Response('malformed renewal', { status: 400 })
    const renewal = parsed.data
    if (renewal.term < this.term) return new Response(STALE_TERM, { status: 409 })
    this.term = renewal.term
    this.context.events.clock.observe(renewal.logicalTime)
    for (const { task, attempt } of renewal.tasks) {
      const existing = this.tasks.get(task)
      if (existing !== undefined && existing.run.state === 'running' && compareAttempts(existing.command.attempt, attempt) === 0) this.startLease(existing, renewal.leaseMilliseconds)
    }
    for (const { task, attempt } of renewal.acknowledged) {
      const existing = this.tasks.get(task)
      if (existing !== undefined && existing.run.state !== 'running' && compareAttempts(existing.command.attempt, attempt) === 0) this.tasks.delete(task)
    }
    if (this.faults.loseAnswers) return createBrokenResponse()
    return Response.json(this.createReport())
  }

  private createReport (): WorkerReport {
    const tasks = [...this.tasks].map(([task, entry]): ReportedTask => ({
      task,
      attempt: entry.command.attempt,
      job: entry.command.job,
      taskIndex: entry.command.taskIndex,
      state: entry.run.state,
      resources: entry.command.resources,
      usage: entry.run.state === 'running' ? entry.command.resources : NO_RESOURCES,
      checkpointMilliseconds: entry.checkpointMilliseconds
    }))
    return { worker: this.name, incarnation: this.incarnation, term: this.term, tasks, logicalTime: this.context.events.clock.tick() }
  }

  private startTask (name: string, command: StartTask): void {
    const previous = this.tasks.get(name)
    if (previous?.run.state === 'running') this.endTask(previous, 'stopped')
    const now = performance.now()
    const run: TaskRun = { task: name, job: command.job, attempt: command.attempt, startedAt: now, endedAt: undefined, state: 'running' }
    const task: StandinTask = { command, run, progressMilliseconds: command.resumeFromMilliseconds, progressUpdatedAt: now, checkpointMilliseconds: command.resumeFromMilliseconds, throttlePercent: 100, leaseTimer: undefined, endTimer: undefined }
    this.runs.push(run)
    this.tasks.set(name, task)
    this.context.events.record('taskStarted', { task: name, job: command.job, worker: this.name, term: command.term })
    this.startLease(task, command.leaseMilliseconds)
    this.recordResourceUse()
    const { failEverything, failJobsNamed } = this.faults
    if (failEverything || (failJobsNamed !== '' && command.name.startsWith(failJobsNamed))) this.endTask(task, 'failed')
    else this.scheduleCompletion(task)
  }

  private applyAction (task: StandinTask, action: TaskActionName, throttlePercent: number | undefined): void {
    if (task.run.state !== 'running') return
    if (action === 'stop') this.endTask(task, 'stopped')
    if (action === 'throttle') {
      this.updateProgress(task)
      task.throttlePercent = throttlePercent ?? 100
      this.scheduleCompletion(task)
    }
    if (action === 'checkpoint' && task.command.checkpointable) {
      this.updateProgress(task)
      task.checkpointMilliseconds = task.progressMilliseconds
      this.endTask(task, 'checkpointed')
    }
  }

  /** Adds the progress since the last update, at the speed that the throttle allows. */
  private updateProgress (task: StandinTask): void {
    const now = performance.now()
    task.progressMilliseconds += (now - task.progressUpdatedAt) * task.throttlePercent / 100
    task.progressUpdatedAt = now
  }

  private scheduleCompletion (task: StandinTask): void {
    clearTimeout(task.endTimer)
    const { runMilliseconds } = task.command
    if (runMilliseconds === undefined || task.throttlePercent === 0) return
    task.endTimer = setTimeout(() => this.endTask(task, 'finished'), Math.max(1, (runMilliseconds - task.progressMilliseconds) * 100 / task.throttlePercent))
  }

  private startLease (task: StandinTask, leaseMilliseconds: number): void {
    clearTimeout(task.leaseTimer)
    task.leaseTimer = setTimeout(() => {
      this.context.events.record('leaseLapsed', { task: task.run.task, job: task.run.job, worker: this.name })
      this.endTask(task, 'leaseLapsed')
    }, leaseMilliseconds)
  }

  private endTask (task: StandinTask, state: TaskState): void {
    if (task.run.state !== 'running') return
    this.clearTimers(task)
    task.run.state = state
    task.run.endedAt = performance.now()
    this.context.events.record('taskEnded', { task: task.run.task, job: task.run.job, worker: this.name, detail: state })
  }

  private recordResourceUse (): void {
    let sum = NO_RESOURCES
    for (const task of this.tasks.values()) {
      if (task.run.state === 'running') sum = addResources(sum, task.command.resources)
    }
    if (!fitsWithin(sum, this.capacity)) this.overcommittedStartCount += 1
    this.peakUse = {
      processorsThousandths: Math.max(this.peakUse.processorsThousandths, sum.processorsThousandths),
      memoryBytes: Math.max(this.peakUse.memoryBytes, sum.memoryBytes),
      accelerators: Math.max(this.peakUse.accelerators, sum.accelerators)
    }
  }

  private clearTimers (task: StandinTask): void {
    clearTimeout(task.leaseTimer)
    clearTimeout(task.endTimer)
  }
}

/** Returns a negative number if `left` is the earlier attempt, a positive one if it is the later, 0 if they are the same. */
function compareAttempts (left: Attempt, right: Attempt): number {
  return left.term - right.term || left.sequence - right.sequence
}
