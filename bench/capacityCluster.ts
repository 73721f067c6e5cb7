import { Random } from '../src/base/random.js'
import { ClusterScheduler } from '../src/cluster/clusterScheduler.js'
import { EligibilityRequester } from '../src/cluster/eligibilityRequester.js'
import { toProgressRecord } from '../src/cluster/job.js'
import { decodeProgress, decodeSubmission, encodeRecord, type SubmissionRecord } from '../src/contracts/clusterRecords.js'
import { stepJobSchema } from '../src/contracts/stepJob.js'
import { SILENT_OBSERVER } from '../test/fakes/silentObserver.js'
import { medianMilliseconds, printRow, printTitle } from './measure.js'

const WORKER_COUNTS = [33, 245, 900] as const
const OPEN_JOB_COUNTS = [100, 1000, 5000] as const
const OPEN_STEP_COUNTS = [100, 400, 1600] as const
const BACKLOG_WORKERS = 245
/** Share of the workers for which the eligibility service returns a ticket. */
const ELIGIBLE_WORKER_SHARE = 0.4
const ELIGIBILITY_SETTINGS = { decisionMilliseconds: 30, perWorkerMilliseconds: 1, ticketMilliseconds: 3000 }
const TASKS_PER_JOB = 10
const WORKER_PROCESSORS_THOUSANDTHS = 16_000
const TASK_PROCESSORS_THOUSANDTHS = 1000
/** Share of the capacity in use before the measured placements. */
const INITIAL_LOAD_SHARE = 0.8

const QUEUE = { name: 'queue', host: 'host', routePrefix: '/', pool: 'pool', priority: 1, attempts: 2, stretch: 4, targetMilliseconds: 3000 }

const URGENT_QUEUE = { ...QUEUE, name: 'urgent', priority: 0 }

function createScheduler (workerCount: number): ClusterScheduler {
  const scheduler = new ClusterScheduler(SILENT_OBSERVER)
  scheduler.configure({ revision: 1, queues: [QUEUE], organisations: [], pools: [], maximumBodyBytes: 1000 })
  for (let index = 0; index < workerCount; index += 1) {
    const identity = `worker-${index}`
    scheduler.upsertWorker({ identity, pool: 'pool', address: 'worker:1', failureDomain: 'a', state: 'ready', processorsThousandths: WORKER_PROCESSORS_THOUSANDTHS, memoryMegabytes: 64_000, accelerators: 0, labels: ['a', `r${index >> 3}`], machine: `m-${index}`, processStartedAt: 1 }, 0)
    scheduler.onReport(identity, { clockMilliseconds: 1, processStartedAt: 1, running: [], ended: [], mayOmitEnds: false }, 0, 0)
  }
  return scheduler
}

function createSubmission (random: Random): SubmissionRecord {
  const job = stepJobSchema.parse({ specification: 'x'.repeat(400), steps: [{ count: TASKS_PER_JOB, processorsThousandths: TASK_PROCESSORS_THOUSANDTHS, memoryMegabytes: 100 + random.integerBelow(1000), estimateMilliseconds: 1000 + random.integerBelow(5000) }] })
  return { queue: 'queue', pool: 'pool', job, acceptedAt: Date.now() }
}

function addJobs (scheduler: ClusterScheduler, count: number, random: Random): void {
  const first = scheduler.jobs.size
  for (let index = first; index < first + count; index += 1) scheduler.addJob(index.toString(16).padStart(16, '0'), createSubmission(random), 0)
}

/** Measures the decision time of one start by the number of workers. */
function runPlacementBench (seed: number, runs: number): void {
  printTitle('decisions of the active scheduler: one pass fills a tenth of the workers\' capacity, on a site that is 80 % full')
  printRow(['workers', 'starts per pass', 'ms/pass', 'ms/start'])
  for (const workers of WORKER_COUNTS) {
    const slots = workers * WORKER_PROCESSORS_THOUSANDTHS / TASK_PROCESSORS_THOUSANDTHS
    const starts = Math.round(slots / 10 / TASKS_PER_JOB) * TASKS_PER_JOB
    const milliseconds = medianMilliseconds(runs, () => {
      const random = new Random(seed)
      const scheduler = createScheduler(workers)
      addJobs(scheduler, Math.round(INITIAL_LOAD_SHARE * slots / TASKS_PER_JOB), random)
      scheduler.place(0)
      addJobs(scheduler, starts / TASKS_PER_JOB, random)
      return scheduler
    }, scheduler => { scheduler.place(1) })
    printRow([workers, starts, milliseconds.toFixed(2), (milliseconds / starts).toFixed(4)])
  }
}

/** Measures one round by the number of waiting steps while no worker has free capacity: the cost of each report under overload. */
function runBacklogBench (seed: number, runs: number): void {
  printTitle('one round of the active scheduler while no worker has free capacity: 245 workers, a quarter of the steps urgent, eligibility known for each step')
  printRow(['open steps', 'ms placement', 'ms eligibility'])
  for (const steps of OPEN_STEP_COUNTS) {
    const createBacklog = (): ClusterScheduler => {
      const random = new Random(seed)
      const scheduler = createScheduler(BACKLOG_WORKERS)
      scheduler.configure({ revision: 2, queues: [QUEUE, URGENT_QUEUE].map(queue => ({ ...queue, eligibility: ELIGIBILITY_SETTINGS })), organisations: [], pools: [], maximumBodyBytes: 1000 })
      for (const worker of scheduler.workers.values()) worker.usedProcessors = WORKER_PROCESSORS_THOUSANDTHS - TASK_PROCESSORS_THOUSANDTHS / 2
      for (let index = 0; index < steps; index += 1) {
        const submission = createSubmission(random)
        scheduler.addJob(index.toString(16).padStart(16, '0'), index % 4 === 0 ? { ...submission, queue: URGENT_QUEUE.name } : submission, 0)
      }
      for (const step of scheduler.readySteps) {
        for (const identity of scheduler.workers.keys()) {
          step.eligibility.requestedWorkers.add(identity)
          if (random.fraction() < ELIGIBLE_WORKER_SHARE) step.eligibility.tickets.set(identity, { ticket: 'ticket', validUntil: Infinity })
        }
      }
      return scheduler
    }
    const placementMilliseconds = medianMilliseconds(runs, createBacklog, scheduler => { scheduler.place(1) })
    const channel = { instance: 'entry', request: async () => ({ kind: 'failed', reason: 'no request expected' }) as const }
    const requestMilliseconds = medianMilliseconds(runs, () => new EligibilityRequester(createBacklog(), () => [channel], () => {}, () => 1), requester => requester.sendRequests())
    printRow([steps, placementMilliseconds.toFixed(2), requestMilliseconds.toFixed(2)])
  }
}

/** Measures the time and the bytes of a takeover by the number of open jobs. */
function runRestoreBench (seed: number, runs: number): void {
  printTitle('takeover: open jobs decoded from the log and restored')
  printRow(['open jobs', 'KB of submissions', 'KB of progress', 'ms'])
  for (const jobs of OPEN_JOB_COUNTS) {
    const workers = Math.ceil(jobs * TASKS_PER_JOB * TASK_PROCESSORS_THOUSANDTHS / WORKER_PROCESSORS_THOUSANDTHS) + 1
    const random = new Random(seed)
    const previousScheduler = createScheduler(workers)
    addJobs(previousScheduler, jobs, random)
    previousScheduler.place(0)
    const records = [...previousScheduler.jobs.values()].map(job => ({ identity: job.identity, submission: encodeRecord(job.submission), progress: encodeRecord(toProgressRecord(job)) }))
    const milliseconds = medianMilliseconds(runs, () => createScheduler(workers), scheduler => {
      for (const { identity, submission, progress } of records) scheduler.addJob(identity, decodeSubmission(submission) as SubmissionRecord, 0, { progress: decodeProgress(progress) })
    })
    const kilobytes = (of: (record: typeof records[number]) => Buffer): string => (records.reduce((sum, record) => sum + of(record).length, 0) / 1000).toFixed(0)
    printRow([jobs, kilobytes(record => record.submission), kilobytes(record => record.progress), milliseconds.toFixed(1)])
  }
}

export function runClusterBench (seed: number, runs: number): void {
  runPlacementBench(seed, runs)
  runBacklogBench(seed, runs)
  runRestoreBench(seed, runs)
}
