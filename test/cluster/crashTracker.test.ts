import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CrashTracker, type RunLossCause } from '../../src/cluster/crashTracker.js'
import type { Task, TaskPhase } from '../../src/cluster/job.js'
import type { WorkerEntry } from '../../src/cluster/workerPort.js'
import { WorkerState } from '../../src/cluster/workerState.js'
import { createStep, createWorker } from '../fakes/runningTasks.js'

interface Loss {
  readonly cause: RunLossCause
  readonly phase: TaskPhase
  readonly isConfirmed: boolean
  readonly isAlone: boolean
  readonly isAwaitingEnd?: boolean
  readonly state: WorkerEntry['state']
  readonly startedAt: number
  /** Time of the last report before the loss. */
  readonly seenAt: number
}

const CONFIRMED: Loss = { cause: 'processReplaced', phase: 'running', isConfirmed: true, isAlone: false, state: 'ready', startedAt: 1000, seenAt: 2000 }
const SILENT: Loss = { ...CONFIRMED, cause: 'leasesExpired' }

/** Loses a run on worker `w1`, whose process started at 10. Returns what is needed to look at the evidence. */
function lose (fields: Loss): { readonly tracker: CrashTracker, readonly task: Task, readonly worker: WorkerState, readonly workers: Map<string, WorkerState> } {
  const worker = createWorker('w1', 4)
  worker.processStartedAt = 10
  worker.processSeenAt = fields.seenAt
  worker.update({ ...worker.entry, state: fields.state, processStartedAt: 10 }, 0)
  const workers = new Map([['w1', worker]])
  const [task] = createStep('aa', {}).tasks
  assert.ok(task)
  task.beginRun(1, 'w1', 10)
  Object.assign(task, { phase: fields.phase, isConfirmed: fields.isConfirmed, isAwaitingEnd: fields.isAwaitingEnd === true, startedAt: fields.startedAt })
  const tracker = new CrashTracker(workers, () => {})
  tracker.onRunLost(task, worker, fields.cause, fields.isAlone, 8000)()
  return { tracker, task, worker, workers }
}

describe('CrashTracker', () => {
  const LOSSES: ReadonlyArray<{ readonly name: string, readonly loss: Loss, readonly proven: number, readonly unexplained: number }> = [
    { name: 'a confirmed run whose worker was replaced', loss: CONFIRMED, proven: 5, unexplained: 0 },
    { name: 'a confirmed run whose worker started again', loss: { ...CONFIRMED, cause: 'processRestarted' }, proven: 5, unexplained: 0 },
    { name: 'a run that was being stopped', loss: { ...CONFIRMED, phase: 'stopping' }, proven: 5, unexplained: 0 },
    { name: 'a run that may not have begun, beside others', loss: { ...CONFIRMED, phase: 'uncertain', isConfirmed: false }, proven: 3, unexplained: 0 },
    { name: 'a run that may not have begun, on a worker of its own', loss: { ...CONFIRMED, phase: 'uncertain', isConfirmed: false, isAlone: true }, proven: 5, unexplained: 0 },
    { name: 'a run whose start has no outcome yet', loss: { ...CONFIRMED, phase: 'starting', isConfirmed: false }, proven: 0, unexplained: 0 },
    { name: 'a placed run', loss: { ...CONFIRMED, phase: 'placed', isConfirmed: false }, proven: 0, unexplained: 0 },
    { name: 'a run that its worker does not list', loss: { ...CONFIRMED, cause: 'notListed' }, proven: 0, unexplained: 0 },
    { name: 'a run that is no longer running and whose end is not listed yet', loss: { ...CONFIRMED, isAwaitingEnd: true }, proven: 0, unexplained: 0 },
    { name: 'a run on a worker that drained', loss: { ...CONFIRMED, state: 'draining' }, proven: 0, unexplained: 0 },
    { name: 'a run that had worked for a minute', loss: { ...CONFIRMED, seenAt: 61_000 }, proven: 0, unexplained: 0 },
    { name: 'a run on a silent worker', loss: SILENT, proven: 0, unexplained: 5 }
  ]
  for (const { name, loss, proven, unexplained } of LOSSES) {
    it(`weighs the loss of ${name}`, () => {
      const { crashEvidence } = lose(loss).task
      assert.deepEqual([crashEvidence.proven, crashEvidence.unexplained], [proven, unexplained])
    })
  }

  /** A silent worker proves nothing; what answers or is listed later tells whether it had crashed. */
  const EXPLANATIONS: ReadonlyArray<{ readonly name: string, readonly explain: (lost: ReturnType<typeof lose>) => void, readonly proven: number, readonly unexplained: number }> = [
    { name: 'the same process reports', explain: ({ tracker, worker }) => tracker.onWorkerReported(worker, 9000), proven: 0, unexplained: 0 },
    { name: 'another process of the worker reports', explain: ({ tracker, worker }) => { worker.processStartedAt = 20; tracker.onWorkerReported(worker, 9000) }, proven: 5, unexplained: 0 },
    { name: 'another process of the worker is listed', explain: ({ tracker, worker }) => tracker.onWorkerListed({ ...worker.entry, processStartedAt: 20 }, 9000), proven: 5, unexplained: 0 },
    { name: 'a later worker on the machine is listed', explain: ({ tracker, worker }) => tracker.onWorkerListed({ ...worker.entry, identity: 'w2', processStartedAt: 20 }, 9000), proven: 5, unexplained: 0 },
    { name: 'an earlier worker on the machine is listed', explain: ({ tracker, worker }) => tracker.onWorkerListed({ ...worker.entry, identity: 'w2', processStartedAt: 5 }, 9000), proven: 0, unexplained: 5 },
    { name: 'a worker on another machine is listed', explain: ({ tracker, worker }) => tracker.onWorkerListed({ ...worker.entry, identity: 'w2', machine: 'other', processStartedAt: 20 }, 9000), proven: 0, unexplained: 5 },
    { name: 'another worker reports', explain: ({ tracker }) => tracker.onWorkerReported(createWorker('w3', 4), 9000), proven: 0, unexplained: 5 },
    { name: 'nothing is heard for long', explain: ({ tracker }) => tracker.discardOldLosses(30_000), proven: 0, unexplained: 0 }
  ]
  for (const { name, explain, proven, unexplained } of EXPLANATIONS) {
    it(`judges the loss of a run on a silent worker when ${name}`, () => {
      const lost = lose(SILENT)
      explain(lost)
      const { crashEvidence } = lost.task
      assert.deepEqual([crashEvidence.proven, crashEvidence.unexplained], [proven, unexplained])
    })
  }

  it('clears a task that has worked for long before the crash of its worker', () => {
    const { tracker, task, worker } = lose(CONFIRMED)
    task.beginRun(2, 'w1', 10)
    Object.assign(task, { phase: 'running', isConfirmed: true, startedAt: 10_000 })
    worker.processSeenAt = 71_000
    tracker.onRunLost(task, worker, 'processReplaced', false, 72_000)()
    assert.equal(task.crashEvidence.proven, 0)
  })
})
