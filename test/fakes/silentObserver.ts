import type { SchedulerObserver } from '../../src/cluster/clusterScheduler.js'

/** For decisions whose announcements are of no interest. */
export const SILENT_OBSERVER: SchedulerObserver = {
  onDidFinishJob () {},
  onDidEndRun () {},
  onDidQuarantine () {},
  onDidFindOrphanedRun () {},
  onDidLoseRun () {},
  onDidIgnoreRunEnd () {}
}
