import { parentPort, workerData } from 'node:worker_threads'
import { Executor } from './executor.mjs'

const HEARTBEAT_MS = 1500
const REPORT_MS = 50

/** Runs some executors in a thread of their own, so that they answer as independently of each other as real ones. The specification of a task names its work in milliseconds. */
const journal = []
const executors = await Promise.all(workerData.executors.map(async options => await new Executor({ ...options, workMs: (_, spec) => Number(spec), journal }).listen()))

const sendEntry = executor => parentPort.postMessage({ kind: 'entry', id: executor.id, value: executor.entry() })
executors.forEach((executor, index) => {
  sendEntry(executor)
  setTimeout(() => setInterval(() => sendEntry(executor), HEARTBEAT_MS), HEARTBEAT_MS * (index + 1) / executors.length)
})
setInterval(() => {
  // The clocks of threads begin at different times.
  const entries = journal.splice(0).map(entry => ({ ...entry, at: entry.at + performance.timeOrigin }))
  parentPort.postMessage({ kind: 'journal', entries, running: executors.reduce((sum, { running }) => sum + running.size, 0) })
}, REPORT_MS)
