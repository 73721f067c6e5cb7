import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import { CrashEvidence } from '../../src/cluster/crashEvidence.js'
import { CrashTracker } from '../../src/cluster/crashTracker.js'
import type { Task } from '../../src/cluster/job.js'
import { ProgressWriter } from '../../src/cluster/progressWriter.js'
import { RunReconciler, type RunReconcilerActions } from '../../src/cluster/runReconciler.js'
import { PacingController } from '../../src/cluster/serving/pacingController.js'
import { ServingSupervisor } from '../../src/cluster/serving/servingSupervisor.js'
import { WorkerSession } from '../../src/cluster/workerSession.js'
import { WorkerState } from '../../src/cluster/workerState.js'
import { OutlierEjector } from '../../src/cluster/workers/outlierEjector.js'
import { WorkersOverPaths } from '../fakes/fakeCluster.js'
import { replaceMethod, replaceGetter } from './faults.js'

/** A fault that is injected into the cluster scheduler, and the checks that must find it. */
export interface InjectedClusterFault {
  readonly name: string
  /** The fault counts as found if any of these checks fails. */
  readonly checks: readonly string[]
  readonly seed: number
  /** Minimum number of runs that finds the fault with the seed. */
  readonly runs: number
  readonly injectFault: () => () => void
}

/** Private members of `WorkerSession` that an injected fault uses. */
interface SessionInternals {
  leasesEndAt: number
  now (): number
}

export const INJECTED_CLUSTER_FAULTS: readonly InjectedClusterFault[] = [
  {
    name: 'any share of the workers is ejected',
    checks: ['EjectedShare'],
    seed: 1,
    runs: 33,
    injectFault: replaceMethod(OutlierEjector, 'hasRoom', () => true)
  },
  {
    name: 'an ejected worker gets no trial',
    checks: ['SoundWorkersReturn'],
    seed: 1,
    runs: 6,
    injectFault: replaceMethod(OutlierEjector, 'beginTrial', () => {})
  },
  {
    name: 'placements are started before they are recorded',
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
    name: 'former schedulers are not fenced from the log',
    checks: ['RunsOnce', 'WithinRoom', 'CompletedMeansDone', 'NoJobLost'],
    seed: 1,
    runs: 43,
    injectFault: replaceMethod(ProgressWriter, 'fence', () => Promise.resolve('stored'))
  },
  {
    name: 'a silent worker is abandoned before its lease ends',
    checks: ['RunsOnce'],
    seed: 1,
    runs: 238,
    injectFault: replaceMethod(WorkerSession, 'updateLeaseExpiry', (_original, self) => {
      const session = self as unknown as SessionInternals
      session.leasesEndAt = session.now() + 2000
    })
  },
  {
    name: 'a start without a response counts as not carried out',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 48,
    injectFault: replaceMethod(ClusterScheduler, 'onStartOutcome', (original, _self, task, run, outcome, now) => original(task, run, outcome === 'uncertain' ? 'notStarted' : outcome, now))
  },
  {
    name: 'capacity is free as soon as a stop is requested',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 124,
    injectFault: replaceMethod(ClusterScheduler, 'stopRun', (original, self, task) => {
      original(task)
      if ((task as Task).phase === 'stopping') (self.abandonRun as (task: unknown) => void)(task)
    })
  },
  {
    name: 'runs that a report does not list are abandoned at once',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 15,
    injectFault: replaceMethod(RunReconciler, 'isRunAbsent', () => true)
  },
  {
    name: 'runs are abandoned when their worker reports a new process',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 25,
    injectFault: replaceMethod(RunReconciler, 'onWorkerRestarted', (original, self, worker, startedAt) => {
      original(worker, startedAt)
      for (const task of [...(worker as WorkerState).runs.values()]) (self as unknown as { actions: RunReconcilerActions }).actions.onLost(task, worker as WorkerState, true, false, performance.now())
    })
  },
  {
    name: 'a successor forgets the placements of its predecessor',
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
    name: 'ends are acknowledged to whatever process responds at the address of their worker',
    checks: ['RunsOnce', 'NoJobLost'],
    seed: 1,
    runs: 279,
    injectFault: replaceMethod(WorkersOverPaths, 'isStillConnected', () => true)
  },
  {
    name: 'all recorded ends of a worker are acknowledged to whatever process responds at its address',
    checks: ['RunsOnce', 'NoJobLost'],
    seed: 1,
    runs: 47,
    injectFault: combineFaults(
      replaceGetter(WorkerState, 'endToAcknowledge', (self: { recordedEnd: number }) => self.recordedEnd),
      replaceMethod(WorkersOverPaths, 'isStillConnected', () => true)
    )
  }
]

/** Faults that only traces with tasks that last can show; found by `fuzzServing`. */
export const INJECTED_SERVING_FAULTS: readonly InjectedClusterFault[] = [
  {
    name: 'filler work beside a task over its target is not slowed down',
    checks: ['Unharmed'],
    seed: 1,
    runs: 15,
    injectFault: replaceMethod(PacingController, 'slowDown', () => [])
  },
  {
    name: 'paces are decided and not sent',
    checks: ['Unharmed'],
    seed: 1,
    runs: 25,
    injectFault: replaceMethod(ServingSupervisor, 'takePaces', () => [])
  },
  {
    name: 'serving tasks are moved however many of their step are out of service',
    checks: ['Available'],
    seed: 1,
    runs: 13,
    injectFault: replaceMethod(PacingController, 'servingToMove', (_original, _self, _servingTasks, over) => (over as Task[]).map(task => ({ task, reason: 'injected' })))
  },
  {
    name: 'a task that lasts is not placed again after it has ended',
    checks: ['KeptRunning'],
    seed: 1,
    runs: 8,
    injectFault: replaceMethod(ClusterScheduler, 'returnToWaiting', (original, self, task) => {
      original(task)
      if ((task as Task).step.specification.longRunning) (self as unknown as ClusterScheduler).readySteps.delete((task as Task).step)
    })
  }
]

/** Faults that only traces with crashing workers and changing capacities can show; found by `fuzzCrashes`. */
export const INJECTED_CRASH_FAULTS: readonly InjectedClusterFault[] = [
  {
    name: 'crashes of workers are not counted',
    checks: ['WithinCrashBudget'],
    seed: 1,
    runs: 1,
    injectFault: replaceMethod(CrashTracker, 'count', () => {})
  },
  {
    name: 'losses of silent workers are not explained later',
    checks: ['WithinCrashBudget'],
    seed: 1,
    runs: 1,
    injectFault: combineFaults(replaceMethod(CrashTracker, 'onWorkerListed', () => {}), replaceMethod(CrashTracker, 'hasLaterProcess', () => false))
  },
  {
    name: 'a task starts again before its last loss is explained',
    checks: ['WithinCrashBudget'],
    seed: 1,
    runs: 24,
    injectFault: replaceGetter(CrashEvidence, 'mayBeConclusive', () => false)
  },
  {
    name: 'a placed run starts whatever has become of its worker',
    checks: ['WithinRoom'],
    seed: 2,
    runs: 54,
    injectFault: replaceMethod(WorkerState, 'isOvercommittedBy', () => false)
  }
]

/** Combines several faults into one. */
function combineFaults (...faults: ReadonlyArray<() => () => void>): () => () => void {
  return () => {
    const removals = faults.map(injectFault => injectFault())
    return () => { for (const removeFault of removals) removeFault() }
  }
}
