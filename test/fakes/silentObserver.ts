import type { SchedulerObserver } from '../../src/cluster/clusterScheduler.js'

/** An observer that ignores all events. */
export const SILENT_OBSERVER: SchedulerObserver = {
  onDidFinishJob () {},
  onDidEndRun () {},
  onDidQuarantine () {},
  onDidFindOrphanedRun () {},
  onDidWithdrawRun () {},
  onDidLoseRun () {},
  onDidCrashWorker () {},
  onDidRestartWorker () {},
  onDidResizeWorker () {},
  onDidIgnoreRunEnd () {},
  onDidExplainWait () {},
  onDidEnterService () {},
  onDidChangePace () {},
  onDidCrossTarget () {},
  onWillMoveRun () {},
  onDidPreemptRun () {}
}
