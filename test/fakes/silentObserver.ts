import type { SchedulerObserver } from '../../src/cluster/clusterScheduler.js'

/** An observer that ignores all events. */
export const SILENT_OBSERVER: SchedulerObserver = {
  onDidFinishJob () {},
  onDidEndRun () {},
  onDidChangeEjection () {},
  onWillMoveStraggler () {},
  onDidFindOrphanedRun () {},
  onDidWithdrawRun () {},
  onDidLoseRun () {},
  onDidCrashWorker () {},
  onDidRestartWorker () {},
  onDidResizeWorker () {},
  onDidIgnoreRunEnd () {},
  onDidEnterService () {},
  onDidChangePace () {},
  onDidCrossTarget () {},
  onWillMoveRun () {}
}
