import { Agent } from 'undici'
import { Random } from '../src/base/random.js'
import type { Job } from '../src/contracts/jobs.js'
import type { ListedInstance } from '../src/contracts/platformProtocol.js'
import type { ReportedTask, WorkerReport } from '../src/contracts/workerProtocol.js'
import { HttpWorkerClient } from '../src/links/workerClient.js'
import { Membership } from '../src/machines/membership.js'
import { JobRegistry } from '../src/scheduling/jobRegistry.js'
import { BestFitPolicy } from '../src/scheduling/placementPolicy.js'
import { TASK_LEASE_MILLISECONDS } from '../src/scheduling/holdTimers.js'
import { taskName } from '../src/scheduling/jobState.js'
import { Scheduler } from '../src/scheduling/scheduler.js'
import { ByteCountingServer, medianMilliseconds, medianProcessorMilliseconds, printRow, printTitle, retainedBytes } from './measure.js'

/** Unmeasured exchanges that open connections and let the runtime compile the code. */
const WARM_UP_EXCHANGES = 4000
const CAPACITY = { processorsThousandths: 64_000, memoryBytes: 128e9, accelerators: 2 }
const TASKS_PER_JOB = 10
const LEASE_SIZES = [[100, 0], [100, 11], [300, 11], [900, 0], [900, 11], [900, 22]] as const
const RECOVERY_SIZES = [[100, 1000], [300, 3300], [900, 3300], [900, 10_000]] as const
const MEMORY_SIZES = [1000, 10_000, 50_000] as const
const MEMBERSHIP_SIZES = [300, 3000, 20_000] as const

interface Inventory {
  readonly jobs: readonly Job[]
  readonly reports: ReadonlyMap<string, WorkerReport>
  readonly workers: Parameters<Scheduler['setWorkers']>[0]
}

/** Creates jobs whose tasks all run, spread over the workers, and the reports of the workers. */
function createInventory (workerCount: number, taskCount: number, seed: number): Inventory {
  const random = new Random(seed)
  const workers = Array.from({ length: workerCount }, (_, index) => ({ name: `general-gent-a-${index}`, failureDomain: 'gent-a', rack: `gent-a-rack-${Math.floor(index / 8)}`, pool: 'general', address: 'http://127.0.0.1:1', capacity: CAPACITY, leaving: false }))
  const tasksByWorker = new Map(workers.map(worker => [worker.name, [] as ReportedTask[]]))
  const jobs: Job[] = []
  for (let placed = 0; placed < taskCount; placed += TASKS_PER_JOB) {
    const resources = { processorsThousandths: 500 + random.integerBelow(1000), memoryBytes: 1e8 + random.integerBelow(1e9), accelerators: 0 }
    const job: Job = { identity: `gent-a.${'0123456789abcdef'.repeat(2).slice(0, 26)}${placed.toString(16).padStart(6, '0')}`, name: 'colour-match', team: 'catalogue', kind: 'batch', urgency: 'deferrable', tasks: Math.min(TASKS_PER_JOB, taskCount - placed), resources, checkpointable: true, acceptedAtMilliseconds: 0 }
    jobs.push(job)
    for (let index = 0; index < job.tasks; index += 1) {
      const worker = workers[(placed + index) % workerCount] as typeof workers[number]
      tasksByWorker.get(worker.name)?.push({ task: taskName(job.identity, index), attempt: { term: 1, sequence: placed + index + 1 }, job: job.identity, taskIndex: index, state: 'running', resources, usage: resources, checkpointMilliseconds: 0 })
    }
  }
  const reports = new Map([...tasksByWorker].map(([worker, tasks]) => [worker, { worker, incarnation: '1', term: 1, tasks, logicalTime: 1 }]))
  return { jobs, reports, workers }
}

function createScheduler (inventory: Inventory, address = ''): Scheduler {
  const scheduler = new Scheduler(1, 0, new BestFitPolicy())
  scheduler.setWorkers(inventory.workers.map(worker => ({ ...worker, address: `${address}/${worker.name}` })))
  for (const job of inventory.jobs) scheduler.addJob(job, 0)
  for (const [worker, report] of inventory.reports) scheduler.onReport(worker, report, 0)
  return scheduler
}

/** Measures one round of lease renewals over HTTP to all workers. The processor time includes that of the server, which runs in the same process. */
export async function runLeaseBench (seed: number, runs: number): Promise<void> {
  printTitle('lease renewals: one exchange with each worker over HTTP')
  printRow(['workers', 'tasks/worker', 'bytes/worker', 'us/worker', 'round ms'])
  for (const [workers, tasksPerWorker] of LEASE_SIZES) {
    const inventory = createInventory(workers, workers * tasksPerWorker, seed)
    const responses = new Map([...inventory.reports].map(([worker, report]) => [worker, JSON.stringify(report)]))
    const server = new ByteCountingServer((request, response) => {
      request.resume()
      request.once('end', () => response.setHeader('content-type', 'application/json').end(responses.get(request.url?.split('/')[1] ?? '')))
    })
    const address = await server.listen()
    const agent = new Agent({ connections: 16, pipelining: 1 })
    const client = new HttpWorkerClient(agent)
    const scheduler = createScheduler(inventory, address)
    const round = async (): Promise<void> => {
      await Promise.all(scheduler.planRenewals(1).map(async plan => {
        const report = await client.renewLeases(plan.worker.address, { term: 1, leaseMilliseconds: TASK_LEASE_MILLISECONDS, tasks: [...plan.tasks], acknowledged: [...plan.acknowledged], logicalTime: 1 })
        scheduler.onReport(plan.worker.name, report, 1)
      }))
    }
    for (let warmUp = 0; warmUp < WARM_UP_EXCHANGES; warmUp += workers) await round()
    const before = server.bytes
    const milliseconds = await medianProcessorMilliseconds(runs, round)
    printRow([workers, tasksPerWorker, Math.round((server.bytes - before) / runs / workers), milliseconds * 1000 / workers, milliseconds])
    await agent.destroy()
    server.close()
  }
}

/** Measures a recovery: a new owner applies the reports of all workers and makes its first decisions. */
export function runRecoveryBench (seed: number, runs: number): void {
  printTitle('recovery of a failure domain: from parsed reports to the first decision, without the network')
  printRow(['workers', 'tasks', 'jobs ms', 'reports ms', 'decide ms'])
  for (const [workers, tasks] of RECOVERY_SIZES) {
    const inventory = createInventory(workers, tasks, seed)
    // The reports carry the term of the new owner, the attempts of their tasks that of the previous owner.
    const reports = [...inventory.reports].map(([worker, report]) => [worker, { ...report, term: 2 }] as const)
    const createEmptyScheduler = (): Scheduler => {
      const scheduler = new Scheduler(2, 0, new BestFitPolicy())
      scheduler.setWorkers(inventory.workers)
      return scheduler
    }
    const addJobs = (scheduler: Scheduler): void => { for (const job of inventory.jobs) scheduler.addJob(job, 0) }
    const applyReports = (scheduler: Scheduler): void => { for (const [worker, report] of reports) scheduler.onReport(worker, report, 0) }
    const createSchedulerWithJobs = (): Scheduler => {
      const scheduler = createEmptyScheduler()
      addJobs(scheduler)
      return scheduler
    }
    printRow([workers, tasks, medianMilliseconds(runs, createEmptyScheduler, addJobs), medianMilliseconds(runs, createSchedulerWithJobs, applyReports), medianMilliseconds(runs, () => createScheduler(inventory), scheduler => { scheduler.decide(1, 200) })])
  }
}

/** Measures the memory that the state of an owner and of a follower takes. */
export function runMemoryBench (seed: number): void {
  printTitle('memory of the job registry (open jobs), the scheduler (running tasks, 10 per job, 11 per worker) and the membership')
  printRow(['state', 'size', 'kB', 'bytes each'])
  const printMemory = (state: string, size: number, bytes: number): void => printRow([state, size, Math.round(bytes / 1000), Math.round(bytes / size)])
  for (const size of MEMORY_SIZES) {
    const records = JSON.stringify(createInventory(1, size * TASKS_PER_JOB, seed).jobs)
    printMemory('registered jobs', size, retainedBytes(() => {
      const registry = new JobRegistry(size)
      for (const [offset, job] of (JSON.parse(records) as Job[]).entries()) registry.apply({ offset, identity: job.identity, writer: 'one', logicalTime: offset, body: { type: 'jobAccepted', job, failureDomain: 'gent-a' } })
      return registry
    }))
  }
  for (const size of MEMORY_SIZES) {
    const inventory = createInventory(Math.ceil(size / 11), size, seed)
    const text = JSON.stringify([...inventory.reports])
    printMemory('running tasks', size, retainedBytes(() => {
      const reports = new Map(JSON.parse(text) as Array<[string, WorkerReport]>)
      return createScheduler({ ...inventory, reports })
    }))
  }
  for (const size of MEMBERSHIP_SIZES) {
    const text = JSON.stringify(Array.from({ length: size }, (_, index): ListedInstance => ({ kind: 'worker', name: `general-gent-a-${index}`, failureDomain: 'gent-a', address: `http://10.0.0.1:${index}`, state: 'live', pool: 'general', rack: `gent-a-rack-${index}` })))
    printMemory('listed machines', size, retainedBytes(() => {
      const membership = new Membership()
      membership.update(JSON.parse(text) as ListedInstance[], 0)
      return membership
    }))
    const update = medianMilliseconds(5, () => {
      const membership = new Membership()
      membership.update(JSON.parse(text) as ListedInstance[], 0)
      return membership
    }, membership => membership.update(JSON.parse(text) as ListedInstance[], 1))
    process.stdout.write(`  one fetched list of ${size} machines: ${text.length} bytes, ${update.toFixed(2)} ms to parse and compare\n`)
  }
}
