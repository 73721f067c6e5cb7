import type { Task } from '../job.js'
import type { WorkerReport } from '../workerPort.js'
import type { WorkerState } from '../workerState.js'
import type { RunTimes } from './runTimes.js'
import type { RunPace } from './workerSoundness.js'

/** Shortest time between two reports from which a pace is derived, in milliseconds. */
const MINIMUM_INTERVAL_MILLISECONDS = 500
/** Progress to be expected between two reports from which a pace is derived, in percent; reports state whole percents. */
const MINIMUM_EXPECTED_PERCENT = 10
/** Pace relative to the expected one below which a run is slow, and above which it is usual. */
const SLOW_PACE = 0.3
const USUAL_PACE = 0.6

/** Progress of a run in an earlier report, with the worker's clock in milliseconds. */
interface ProgressSample {
  readonly run: number
  readonly percent: number
  readonly clockMilliseconds: number
  /** Progress per millisecond in percent, between the two samples before; undefined for the first. */
  readonly rate: number | undefined
}

/**
 * Derives the pace of runs from the progress in reports. Times are measured on the clock of the worker, so that delays of reports and
 * pauses of this process do not count.
 */
export class PaceObserver {
  private readonly samples = new WeakMap<Task, ProgressSample>()

  constructor (private readonly runTimes: RunTimes) {}

  /** Applies a report. Returns true if the pace of a run is known anew. */
  onReport (worker: WorkerState, { running, clockMilliseconds }: WorkerReport, now: number): boolean {
    let hasChanged = false
    for (const { task: name, run, percent } of running) {
      const task = worker.runs.get(name)
      if (task === undefined || task.run !== run || task.phase !== 'running' || !hasPace(task)) continue
      const earlier = this.samples.get(task)
      if (earlier === undefined || earlier.run !== run || clockMilliseconds < earlier.clockMilliseconds) {
        this.samples.set(task, { run, percent, clockMilliseconds, rate: undefined })
        continue
      }
      const interval = clockMilliseconds - earlier.clockMilliseconds
      const expected = 100 * interval * worker.speed / this.runTimes.expectedMilliseconds(task.step)
      if (interval < MINIMUM_INTERVAL_MILLISECONDS || expected < MINIMUM_EXPECTED_PERCENT || percent >= 100) continue
      const progress = percent - earlier.percent
      this.samples.set(task, { run, percent, clockMilliseconds, rate: progress / interval })
      if (progress > 0) this.runTimes.recordOfStep(task.step, worker.identity, 100 * interval * worker.speed / progress)
      hasChanged = this.setPace(worker, task, progress / expected, now) || hasChanged
    }
    return hasChanged
  }

  /** Takes the run time of a completed run into account. */
  onDone (worker: WorkerState, task: Task, durationMilliseconds: number, now: number): void {
    if (!hasPace(task) || task.run !== 1) return
    this.runTimes.recordOfStep(task.step, worker.identity, durationMilliseconds * worker.speed)
    this.setPace(worker, task, this.runTimes.expectedMilliseconds(task.step) / worker.speed / durationMilliseconds, now)
  }

  /** Returns the latest progress of the current run of a task per millisecond, in percent; undefined if it is not known. */
  rateOf (task: Task): number | undefined {
    const sample = this.samples.get(task)
    return sample?.run === task.run ? sample.rate : undefined
  }

  private setPace (worker: WorkerState, task: Task, relativePace: number, now: number): boolean {
    const pace: RunPace | undefined = relativePace <= 0 ? 'stalled' : relativePace < SLOW_PACE ? 'slow' : relativePace > USUAL_PACE ? 'usual' : undefined
    if (pace === undefined || (pace !== 'usual' && isFarFromData(worker, task))) return false
    worker.soundness.setPace(task, pace, now)
    return true
  }
}

/** Returns true if the progress of a task depends on its worker alone. The members of a gang wait for each other, and filler work for idle processors. */
function hasPace ({ step: { specification }, pacePercent }: Task): boolean {
  return !specification.longRunning && !specification.filler && !specification.gang && pacePercent === 100 && specification.estimateMilliseconds > 0
}

function isFarFromData (worker: WorkerState, { step: { specification } }: Task): boolean {
  return specification.dataRack !== '' && !worker.entry.labels.includes(specification.dataRack)
}
