import type { Random } from '../../src/base/random.js'
import type { FakeWorker } from '../fakes/fakeClusterWorkers.js'
import type { PathFault } from './faultyPath.js'
import type { InstanceProcess } from './instanceProcess.js'
import { APPEND_MILLISECONDS, type SoakSite } from './soakSite.js'

/** Mean time between two faults, in milliseconds; they last longer than that, so that they overlap. */
const GAP_MILLISECONDS = 700
const MINIMUM_MILLISECONDS = 200
const MEAN_MILLISECONDS = 1500
const MAXIMUM_MILLISECONDS = 9000
/** Positions that are drawn; more than there are instances and workers. */
const POSITIONS = 1000
const SLOW_APPEND_MILLISECONDS = 240
/** Longest time that a stop takes, as the platform states it. */
const SLOW_STOP_MILLISECONDS = 900

/** Which instances a fault strikes. */
type Scope = 'one' | 'holder' | 'all'
const SCOPES: readonly Scope[] = ['one', 'one', 'one', 'one', 'holder', 'holder', 'all']
const PATH_FAULTS: readonly PathFault[] = ['slow', 'late', 'cutThere', 'cutBack', 'silent', 'reset']

/** What a fault strikes, drawn from the seed. */
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

interface Struck extends PlannedFault {
  readonly instances: readonly InstanceProcess[]
  readonly struckWorker: FakeWorker
}

interface FaultKind {
  readonly weight: number
  /** Begins the fault; returns what ends it, if it does not end by itself. */
  begin (site: SoakSite, struck: Struck): (() => void) | undefined
}

/** A fault of processes, which are started again or wake by themselves. */
function processes (weight: number, strike: (instance: InstanceProcess, milliseconds: number) => void): FaultKind {
  return {
    weight,
    begin: (_site, { instances, durationMilliseconds }) => {
      for (const instance of instances) strike(instance, durationMilliseconds)
      return undefined
    }
  }
}

/** A fault of paths from the instances that are struck. */
function paths (weight: number, set: (site: SoakSite, instance: InstanceProcess, fault: PathFault, struck: Struck) => void): FaultKind {
  return {
    weight,
    begin: (site, struck) => {
      for (const instance of struck.instances) set(site, instance, struck.pathFault, struck)
      return () => { for (const instance of struck.instances) set(site, instance, 'none', struck) }
    }
  }
}

/** A fault of the log itself. */
function log (weight: number, set: (site: SoakSite) => void): FaultKind {
  return {
    weight,
    begin: site => {
      site.markUnstable(site.instances, MAXIMUM_MILLISECONDS)
      set(site)
      return () => Object.assign(site.log, { fault: 'none', appendMilliseconds: APPEND_MILLISECONDS })
    }
  }
}

/** A fault of one worker. */
function worker (weight: number, begin: (worker: FakeWorker, site: SoakSite) => void, end: (worker: FakeWorker, site: SoakSite) => void = heal): FaultKind {
  return {
    weight,
    begin: (site, { struckWorker }) => {
      begin(struckWorker, site)
      return () => end(struckWorker, site)
    }
  }
}

function heal (worker: FakeWorker): void {
  Object.assign(worker, { fault: 'none', endKind: 'done', stopMilliseconds: 0 })
}

const KINDS: Readonly<Record<string, FaultKind>> = {
  kill: processes(4, (instance, milliseconds) => instance.kill(milliseconds)),
  stop: processes(4, (instance, milliseconds) => instance.stop(milliseconds)),
  pause: processes(4, (instance, milliseconds) => instance.pause(milliseconds)),
  reload: processes(1, instance => instance.reload()),
  logPath: paths(4, (site, instance, fault) => site.setLogPath(instance, fault)),
  linkPaths: paths(2, (site, instance, fault) => {
    for (const other of site.instances) {
      site.setLinkPath(instance, other, fault)
      site.setLinkPath(other, instance, fault)
    }
  }),
  workerPath: paths(4, (site, instance, fault, { struckWorker }) => site.setWorkerPath(instance, struckWorker, fault)),
  workerPaths: paths(2, (site, instance, fault) => { for (const one of site.workers.values()) site.setWorkerPath(instance, one, fault) }),
  allPaths: paths(2, (site, instance, fault) => {
    site.setLogPath(instance, fault)
    for (const one of site.workers.values()) site.setWorkerPath(instance, one, fault)
    for (const other of site.instances) site.setLinkPath(instance, other, fault)
  }),
  logRefuses: log(1, site => { site.log.fault = 'refused' }),
  logLosesAnswers: log(1, site => { site.log.fault = 'answerLost' }),
  logSlow: log(1, site => { site.log.appendMilliseconds = SLOW_APPEND_MILLISECONDS }),
  workerRestarts: worker(2, (one, site) => site.crashWorker(one), (one, site) => site.startWorker(one)),
  workerReplaced: worker(1, (one, site) => { site.replaceWorker(one) }),
  workerFailsRuns: worker(1, one => { one.endKind = 'failed' }),
  workerLosesAnswers: worker(1, one => { one.fault = 'answerLost' }),
  workerUnhealthy: worker(1, one => { one.fault = 'unhealthy' }),
  workerStopsSlowly: worker(1, one => { one.stopMilliseconds = SLOW_STOP_MILLISECONDS })
}

/** Draws faults for some time, in the order of their begin. */
export function planFaults (random: Random, milliseconds: number): PlannedFault[] {
  const names = Object.entries(KINDS).flatMap(([name, { weight }]) => Array<string>(weight).fill(name))
  const planned: PlannedFault[] = []
  for (let at = random.exponential(GAP_MILLISECONDS); at < milliseconds; at += random.exponential(GAP_MILLISECONDS)) {
    planned.push({
      atMilliseconds: Math.round(at),
      kind: random.pick(names),
      scope: random.pick(SCOPES),
      instance: random.integerBelow(POSITIONS),
      worker: random.integerBelow(POSITIONS),
      pathFault: random.pick(PATH_FAULTS),
      durationMilliseconds: Math.round(Math.min(MAXIMUM_MILLISECONDS, MINIMUM_MILLISECONDS + random.exponential(MEAN_MILLISECONDS)))
    })
  }
  return planned
}

/** Begins a fault; returns a line that says what was struck, and what ends it, if it does not end by itself. */
export function injectFault (site: SoakSite, planned: PlannedFault): { readonly line: string, readonly end: (() => void) | undefined } {
  const instances = strikeInstances(site, planned)
  const workers = [...site.workers.values()]
  const struckWorker = workers[planned.worker % workers.length] as FakeWorker
  site.markUnstable(instances, planned.durationMilliseconds)
  const end = KINDS[planned.kind]?.begin(site, { ...planned, instances, struckWorker })
  const line = `${new Date().toISOString()} ${planned.atMilliseconds} ms: ${planned.kind} of ${instances.map(({ name }) => name).join(', ')}; worker ${struckWorker.identity}, path ${planned.pathFault}, ${planned.durationMilliseconds} ms`
  return { line, end }
}

function strikeInstances (site: SoakSite, { scope, instance }: PlannedFault): readonly InstanceProcess[] {
  switch (scope) {
    case 'one': return [site.instances[instance % site.instances.length] as InstanceProcess]
    case 'holder': return [site.activeSchedulerInstance]
    case 'all': return site.instances
  }
}
