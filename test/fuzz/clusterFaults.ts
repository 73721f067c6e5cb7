import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import type { Task } from '../../src/cluster/job.js'
import { ProgressWriter } from '../../src/cluster/progressWriter.js'
import { WorkerSession } from '../../src/cluster/workerSession.js'
import { WorkerState } from '../../src/cluster/workerState.js'
import { WorkersOverPaths } from '../fakes/fakeCluster.js'
import { replaceMethod, replaceGetter } from './faults.js'

/** A fault planted in the cluster scheduler, and the checks of which any must find it. */
export interface InjectedClusterFault {
  readonly name: string
  readonly checks: readonly string[]
  readonly seed: number
  /** Smallest number of runs that finds it with the seed. */
  readonly runs: number
  readonly injectFault: () => () => void
}

/** The worker's clock reading of a session, loosely typed. */
interface LooseSession {
  leasesEndAt: number
  now (): number
}

export const INJECTED_CLUSTER_FAULTS: readonly InjectedClusterFault[] = [
  {
    name: 'placements are ordered before they are recorded',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 3,
    injectFault: replaceMethod(ProgressWriter, 'write', (original, _self, records) => {
      original(records)
      return Promise.resolve('stored')
    })
  },
  {
    name: 'ends are acknowledged before they are recorded',
    checks: ['RunsOnce', 'CompletedMeansDone', 'NoJobLost'],
    seed: 1,
    runs: 20,
    injectFault: replaceGetter(WorkerState, 'endToAcknowledge', (self: { processedEnd: number }) => self.processedEnd)
  },
  {
    name: 'former schedulers are not shut out of the log',
    checks: ['RunsOnce', 'WithinRoom', 'CompletedMeansDone', 'NoJobLost'],
    seed: 1,
    runs: 43,
    injectFault: replaceMethod(ProgressWriter, 'fence', () => Promise.resolve('stored'))
  },
  {
    name: 'a silent worker is given up before its lease ends',
    checks: ['RunsOnce'],
    seed: 1,
    runs: 238,
    injectFault: replaceMethod(WorkerSession, 'updateLeaseExpiry', (_original, self) => {
      const session = self as unknown as LooseSession
      session.leasesEndAt = session.now() + 2000
    })
  },
  {
    name: 'a start without an answer counts as not carried out',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 48,
    injectFault: replaceMethod(ClusterScheduler, 'onStartOutcome', (original, _self, task, run, outcome, now) => original(task, run, outcome === 'uncertain' ? 'notStarted' : outcome, now))
  },
  {
    name: 'room is free as soon as a stop is ordered',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 124,
    injectFault: replaceMethod(ClusterScheduler, 'stopRun', (original, self, task) => {
      original(task)
      if ((task as Task).phase === 'stopping') (self.giveUpRun as (task: unknown) => void)(task)
    })
  },
  {
    name: 'runs that a report does not list are given up at once',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 15,
    injectFault: replaceMethod(ClusterScheduler, 'isRunAbsent', () => true)
  },
  {
    name: 'runs are given up when their worker shows a new process',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 25,
    injectFault: replaceMethod(ClusterScheduler, 'onWorkerRestarted', (original, self, worker) => {
      original(worker)
      for (const task of [...(worker as WorkerState).runs.values()]) (self.giveUpRun as (task: unknown) => void)(task)
    })
  },
  {
    name: 'a successor forgets what its predecessor has placed',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 13,
    injectFault: replaceMethod(ClusterScheduler, 'adoptRestoredRun', (_original, _self, restored) => {
      const task = restored as Task
      if (task.phase !== 'uncertain') return
      task.phase = 'waiting'
      task.step.waitingCount += 1
    })
  },
  {
    name: 'ends are acknowledged to whatever process answers at the address of their worker',
    checks: ['RunsOnce', 'NoJobLost'],
    seed: 1,
    runs: 279,
    injectFault: replaceMethod(WorkersOverPaths, 'isStillConnected', () => true)
  },
  {
    name: 'all that a worker has been told to forget is sent to whatever process answers at its address',
    checks: ['RunsOnce', 'NoJobLost'],
    seed: 1,
    runs: 47,
    injectFault: all(
      replaceGetter(WorkerState, 'endToAcknowledge', (self: { recordedEnd: number }) => self.recordedEnd),
      replaceMethod(WorkersOverPaths, 'isStillConnected', () => true)
    )
  }
]

/** Plants several faults together. */
function all (...plants: ReadonlyArray<() => () => void>): () => () => void {
  return () => {
    const restores = plants.map(plant => plant())
    return () => { for (const restore of restores) restore() }
  }
}
