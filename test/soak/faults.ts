import type { Random } from '../../src/base/random.js'
import type { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import type { PathFault } from './faultyPath.js'
import type { InstanceProcess } from './instanceProcess.js'
import { APPEND_MILLISECONDS, type SoakSite } from './soakSite.js'

/** Mean time between the starts of two faults, in milliseconds. It is shorter than their mean duration, so that faults overlap. */
const MEAN_INTERVAL_MILLISECONDS = 700
const MINIMUM_DURATION_MILLISECONDS = 200
const MEAN_DURATION_MILLISECONDS = 1500
const MAXIMUM_DURATION_MILLISECONDS = 9000
/** Range of the positions that are drawn; more than there are instances and workers. */
const POSITION_RANGE = 1000
const SLOW_APPEND_MILLISECONDS = 240
/** Longest time that a worker takes to stop a run, as stated by the platform. */
const SLOW_STOP_MILLISECONDS = 900

/** Instances that a fault affects. */
type Scope = 'one' | 'activeScheduler' | 'all'
const SCOPES: readonly Scope[] = ['one', 'one', 'one', 'one', 'activeScheduler', 'activeScheduler', 'all']
const PATH_FAULTS: readonly PathFault[] = ['slow', 'late', 'cutRequests', 'cutResponses', 'silent', 'reset']

/** A fault with its time and targets, drawn from the seed. */
export interface PlannedFault {
  readonly atMilliseconds: number
  readonly kind: string
  readonly scope: Scope
  /** Positions among the instances and the workers. */
  readonly instance: number
  readonly worker: number
  readonly pathFault: PathFault
  readonly durationMilliseconds: number
}

interface TargetedFault extends PlannedFault {
  readonly instances: readonly InstanceProcess[]
  readonly targetWorker: FakeClusterWorker
}

interface FaultKind {
  readonly weight: number
  /** Starts the fault. Returns a function that ends it, unless it ends by itself. */
  start (site: SoakSite, fault: TargetedFault): (() => void) | undefined
}

/** Creates a fault of processes, which are restarted or resumed automatically. */
function processFault (weight: number, inject: (instance: InstanceProcess, milliseconds: number) => void): FaultKind {
  return {
    weight,
    start: (_site, { instances, durationMilliseconds }) => {
      for (const instance of instances) inject(instance, durationMilliseconds)
      return undefined
    }
  }
}

/** Creates a fault of paths from the affected instances. */
function pathFault (weight: number, set: (site: SoakSite, instance: InstanceProcess, pathFault: PathFault, fault: TargetedFault) => void): FaultKind {
  return {
    weight,
    start: (site, fault) => {
      for (const instance of fault.instances) set(site, instance, fault.pathFault, fault)
      return () => { for (const instance of fault.instances) set(site, instance, 'none', fault) }
    }
  }
}

/** Creates a fault of the log itself. */
function logFault (weight: number, set: (site: SoakSite) => void): FaultKind {
  return {
    weight,
    start: site => {
      site.markUnstable(site.instances, MAXIMUM_DURATION_MILLISECONDS)
      set(site)
      return () => Object.assign(site.log, { fault: 'none', appendMilliseconds: APPEND_MILLISECONDS })
    }
  }
}

/** Creates a fault of one worker. */
function workerFault (weight: number, start: (worker: FakeClusterWorker, site: SoakSite) => void, end: (worker: FakeClusterWorker, site: SoakSite) => void = removeFaults): FaultKind {
  return {
    weight,
    start: (site, { targetWorker }) => {
      start(targetWorker, site)
      return () => end(targetWorker, site)
    }
  }
}

function removeFaults (worker: FakeClusterWorker): void {
  Object.assign(worker, { fault: 'none', endKind: 'done', stopMilliseconds: 0 })
}

const FAULT_KINDS: Readonly<Record<string, FaultKind>> = {
  kill: processFault(4, (instance, milliseconds) => instance.kill(milliseconds)),
  stop: processFault(4, (instance, milliseconds) => instance.stop(milliseconds)),
  pause: processFault(4, (instance, milliseconds) => instance.pause(milliseconds)),
  reload: processFault(1, instance => instance.reload()),
  logPath: pathFault(4, (site, instance, fault) => site.setLogPath(instance, fault)),
  linkPaths: pathFault(2, (site, instance, fault) => {
    for (const other of site.instances) {
      site.setLinkPath(instance, other, fault)
      site.setLinkPath(other, instance, fault)
    }
  }),
  workerPath: pathFault(4, (site, instance, fault, { targetWorker }) => site.setWorkerPath(instance, targetWorker, fault)),
  workerPaths: pathFault(2, (site, instance, fault) => { for (const worker of site.workers.values()) site.setWorkerPath(instance, worker, fault) }),
  allPaths: pathFault(2, (site, instance, fault) => {
    site.setLogPath(instance, fault)
    for (const worker of site.workers.values()) site.setWorkerPath(instance, worker, fault)
    for (const other of site.instances) site.setLinkPath(instance, other, fault)
  }),
  logRefuses: logFault(1, site => { site.log.fault = 'refused' }),
  logLosesAnswers: logFault(1, site => { site.log.fault = 'answerLost' }),
  logSlow: logFault(1, site => { site.log.appendMilliseconds = SLOW_APPEND_MILLISECONDS }),
  workerRestarts: workerFault(2, (worker, site) => site.crashWorker(worker), (worker, site) => site.startWorker(worker)),
  workerReplaced: workerFault(1, (worker, site) => { site.replaceWorker(worker) }),
  workerFailsRuns: workerFault(1, worker => { worker.endKind = 'failed' }),
  workerLosesAnswers: workerFault(1, worker => { worker.fault = 'answerLost' }),
  workerUnhealthy: workerFault(1, worker => { worker.fault = 'unhealthy' }),
  workerStopsSlowly: workerFault(1, worker => { worker.stopMilliseconds = SLOW_STOP_MILLISECONDS })
}

/** Draws the faults of a period, in the order of their start times. */
export function planFaults (random: Random, milliseconds: number): PlannedFault[] {
  const names = Object.entries(FAULT_KINDS).flatMap(([name, { weight }]) => Array<string>(weight).fill(name))
  const planned: PlannedFault[] = []
  for (let at = random.exponential(MEAN_INTERVAL_MILLISECONDS); at < milliseconds; at += random.exponential(MEAN_INTERVAL_MILLISECONDS)) {
    planned.push({
      atMilliseconds: Math.round(at),
      kind: random.pick(names),
      scope: random.pick(SCOPES),
      instance: random.integerBelow(POSITION_RANGE),
      worker: random.integerBelow(POSITION_RANGE),
      pathFault: random.pick(PATH_FAULTS),
      durationMilliseconds: Math.round(Math.min(MAXIMUM_DURATION_MILLISECONDS, MINIMUM_DURATION_MILLISECONDS + random.exponential(MEAN_DURATION_MILLISECONDS)))
    })
  }
  return planned
}

/** Starts a fault. Returns a history line that names its targets, and a function that ends it, unless it ends by itself. */
export function injectFault (site: SoakSite, planned: PlannedFault): { readonly line: string, readonly end: (() => void) | undefined } {
  const instances = selectInstances(site, planned)
  const workers = [...site.workers.values()]
  const targetWorker = workers[planned.worker % workers.length] as FakeClusterWorker
  site.markUnstable(instances, planned.durationMilliseconds)
  const end = FAULT_KINDS[planned.kind]?.start(site, { ...planned, instances, targetWorker })
  const line = `${new Date().toISOString()} ${planned.atMilliseconds} ms: ${planned.kind} of ${instances.map(({ name }) => name).join(', ')}; worker ${targetWorker.identity}, path ${planned.pathFault}, ${planned.durationMilliseconds} ms`
  return { line, end }
}

function selectInstances (site: SoakSite, { scope, instance }: PlannedFault): readonly InstanceProcess[] {
  switch (scope) {
    case 'one': return [site.instances[instance % site.instances.length] as InstanceProcess]
    case 'activeScheduler': return [site.activeSchedulerInstance]
    case 'all': return site.instances
  }
}
