import { ChannelHealth } from '../../src/cluster/channelHealth.js'
import { ClusterScheduler } from '../../src/cluster/clusterScheduler.js'
import { CrashEvidence } from '../../src/cluster/crashEvidence.js'
import { CrashTracker } from '../../src/cluster/crashTracker.js'
import type { EligibilityChannel } from '../../src/cluster/eligibilityRequester.js'
import type { Step, Task } from '../../src/cluster/job.js'
import { OrganisationCaps, type CapGate } from '../../src/cluster/organisations/organisationCaps.js'
import { Organisations } from '../../src/cluster/organisations/organisations.js'
import { PlacementPass } from '../../src/cluster/placementPass.js'
import { PreemptionController, type PreemptionHost } from '../../src/cluster/preemption/preemptionController.js'
import type { Preemption } from '../../src/cluster/preemption/preemptionPlanner.js'
import { ProgressWriter } from '../../src/cluster/progressWriter.js'
import { RunReconciler, type RunReconcilerActions } from '../../src/cluster/runReconciler.js'
import { PacingController } from '../../src/cluster/serving/pacingController.js'
import { ServingSupervisor } from '../../src/cluster/serving/servingSupervisor.js'
import { WorkerSession } from '../../src/cluster/workerSession.js'
import { WorkerState } from '../../src/cluster/workerState.js'
import type { Organisation } from '../../src/contracts/clusterConfiguration.js'
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

/** Faults that show only if a worker restarts within the time of an acknowledgement; found by `fuzzRestarts`. */
export const INJECTED_RESTART_FAULTS: readonly InjectedClusterFault[] = [
  {
    name: 'ends are acknowledged to whatever process responds at the address of their worker',
    checks: ['RunsOnce', 'NoJobLost'],
    seed: 1,
    runs: 2,
    injectFault: replaceMethod(WorkersOverPaths, 'isStillConnected', () => true)
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

/** Faults that only traces with preempted runs can show; found by `fuzzPreemption`. */
export const INJECTED_PREEMPTION_FAULTS: readonly InjectedClusterFault[] = [
  {
    name: 'a start is placed before the stop of the preempted run is confirmed',
    checks: ['RunsOnce', 'WithinRoom'],
    seed: 1,
    runs: 10,
    injectFault: replaceMethod(PreemptionController, 'apply', (original, self, preemption, now) => {
      original(preemption, now)
      const { workers } = self.host as unknown as PreemptionHost
      for (const { tasks } of (preemption as Preemption).victims) {
        for (const task of tasks) workers.get(task.worker)?.release(task)
      }
    })
  }
]

/** Faults that only traces with steps whose workers the eligibility service names can show; found by `fuzzGangs`. */
export const INJECTED_GANG_FAULTS: readonly InjectedClusterFault[] = [
  {
    name: 'an instance that cannot reach the eligibility service is used again and again',
    checks: ['Starts'],
    seed: 3,
    runs: 30,
    injectFault: replaceMethod(ChannelHealth, 'selectUsable', (_original, _self, channels, isFree) => (channels as EligibilityChannel[]).filter(isFree as (channel: EligibilityChannel) => boolean))
  },
  {
    name: 'a gang that is broken does not wait for a worker again',
    checks: ['Starts', 'NoJobLost'],
    seed: 1,
    runs: 10,
    injectFault: replaceMethod(ClusterScheduler, 'returnToWaiting', (original, self, task) => {
      original(task)
      if ((task as Task).step.specification.gang) (self as unknown as ClusterScheduler).readySteps.delete((task as Task).step)
    })
  }
]

/** Faults that only traces with caps of organisations can show; found by `fuzzOrganisations`. */
export const INJECTED_ORGANISATION_FAULTS: readonly InjectedClusterFault[] = [
  {
    name: 'runs on a worker that does not respond are not counted against the cap',
    checks: ['WithinCap', 'LedgerMatches'],
    seed: 1,
    runs: 5,
    injectFault: replaceMethod(ClusterScheduler, 'onPollFailed', (original, self, identity) => {
      original(identity)
      const scheduler = self as unknown as ClusterScheduler
      for (const task of scheduler.workers.get(identity as string)?.runs.values() ?? []) scheduler.organisations.ledger.onDidChangeUsage(task.step.job, task.step.specification, -1)
    })
  },
  {
    name: 'a successor does not count the orphaned runs of its predecessor against the cap',
    checks: ['WithinCap'],
    seed: 1,
    runs: 13,
    injectFault: replaceMethod(WorkerState, 'setOrphans', () => {})
  },
  {
    name: 'a successor does not count the restored runs of its predecessor against the cap',
    checks: ['WithinCap', 'LedgerMatches'],
    seed: 1,
    runs: 1,
    injectFault: replaceMethod(ClusterScheduler, 'adoptRestoredRun', (original, self, restored) => {
      original(restored)
      const { step, phase } = restored as Task
      if (phase === 'uncertain') (self as unknown as ClusterScheduler).organisations.ledger.onDidChangeUsage(step.job, step.specification, -1)
    })
  },
  {
    name: 'a cap is never lowered by a newer configuration',
    checks: ['WithinCap'],
    seed: 1,
    runs: 37,
    injectFault: replaceMethod(OrganisationCaps, 'configure', (original, self, organisations) => {
      const caps = self as unknown as OrganisationCaps
      original((organisations as Organisation[]).filter(({ name, cap }) => (caps.capOf(name)?.processorsThousandths ?? 0) <= cap.processorsThousandths))
    })
  },
  {
    name: 'a gang is placed if one of its members fits below the cap',
    checks: ['WithinCap'],
    seed: 1,
    runs: 2,
    injectFault: combineFaults(
      replaceMethod(PlacementPass, 'waitsForCap', (_original, self, step) => !(self as unknown as { caps: CapGate }).caps.admits(step as Step, 1)),
      replaceMethod(Organisations, 'mayStart', () => true)
    )
  }
]

/** Combines several faults into one. */
function combineFaults (...faults: ReadonlyArray<() => () => void>): () => () => void {
  return () => {
    const removals = faults.map(injectFault => injectFault())
    return () => { for (const removeFault of removals) removeFault() }
  }
}
