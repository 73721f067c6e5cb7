import { Job, Occurrence, type Step, type Task } from '../../src/cluster/job.js'
import { WorkerState } from '../../src/cluster/workerState.js'
import { stepJobSchema, type JobStep } from '../../src/contracts/stepJob.js'
import { FakeClusterWorker } from './fakeClusterWorkers.js'

/** Returns the only step of a new job with the given fields. */
export function createStep (identity: string, fields: Partial<JobStep>): Step {
  const job = stepJobSchema.parse({ specification: '', steps: [{ count: 1, processorsThousandths: 1000, estimateMilliseconds: 1000, ...fields }] })
  const [step] = new Occurrence(new Job(identity, { queue: 'queue', pool: 'pool', job, acceptedAt: 0 }, 0), 0).steps
  return step as Step
}

export function createWorker (name: string, cores: number): WorkerState {
  return new WorkerState(new FakeClusterWorker(name, cores, () => 0).entry)
}

/** Lets a task run on a worker, with the values of a report. */
export function run (task: Task, worker: WorkerState, report: { readonly percent?: number, readonly load?: number, readonly startedAt?: number }): Task {
  task.beginRun(task.run + 1, worker.identity, worker.processStartedAt)
  worker.allocate(task)
  task.phase = 'running'
  task.percent = report.percent ?? 0
  task.reportedLoad = report.load
  task.startedAt = report.startedAt ?? 0
  task.progressedAt = task.startedAt
  return task
}
